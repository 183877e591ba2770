"""Probes the peers in a random round-robin order, by direct pings and by indirect pings through relays."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.fleet.frames import Ack, MemberState, Nack, Ping, PingRequest
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership.isolation import IsolationDetector
from emberlatch.fleet.membership.local_health import LocalHealth
from emberlatch.fleet.membership.peers import ABSENT, PRESENT, Peer, sample_names
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance

PING_RETENTION_S = 10.0  # a later answer to a ping is ignored
NACK_FRACTION = 0.8  # part of the probe time-out after which a relay sends a Nack
RTT_GAIN_UP, RTT_GAIN_DOWN = 0.3, 0.05  # gains of the moving average: it rises fast and falls slowly
INTERVAL_JITTER = (0.9, 1.1)  # each interval is multiplied by a random factor in this range
MIN_INTERVAL_RTTS, MIN_TIMEOUT_RTTS = 3, 1.5  # shortest probe interval and time-out, in round-trip times


@dataclass(frozen=True, slots=True)
class _Relay:
    """A PingRequest that this member answers as a relay; at `nack_at`, it sends a Nack to the requester."""

    requester: str
    sequence: int
    nack_at: float


@dataclass(slots=True)
class _SentPing:
    """A Ping or PingRequest that this member has sent."""

    target: str
    sent_at: float
    relay: _Relay | None = None


@dataclass(slots=True)
class _Probe:
    """The probe of the current interval."""

    target: str
    started_at: float
    indirect_at: float  # when indirect probes are requested if there is no answer
    is_answered: bool = False
    relays: int = 0  # number of relays that were asked; 1 if no peer could serve as a relay
    nacks: int = 0

    @property
    def awaits_timeout(self) -> bool:
        """Whether indirect probes may still be requested."""
        return not self.is_answered and not self.relays


class Prober:
    """Sends probes and matches the answers. Times are in seconds on the machine's clock.

    `rtt_s` is the moving average of round-trip times; `next_interval_at` is when the next peer is due.
    """

    def __init__(
        self, instance: ProtocolInstance, partition: IsolationDetector, health: LocalHealth, now: float
    ) -> None:
        self._peers, self._queue, self._outbox = instance.peers, instance.queue, instance.outbox
        self._parameters, self._rng = instance.parameters, instance.rng
        self._partition, self._health = partition, health
        self.rtt_s = 0.0
        self.next_interval_at = now
        self._probe: _Probe | None = None
        self._sent_pings: dict[int, _SentPing] = {}  # by sequence number
        self._sequence = 0
        self._unprobed: list[str] = []  # peers still to be probed in this round; the last is next

    # Sending pings and requests.

    def ping(self, now: float, name: str) -> None:
        """Send a ping to a peer."""
        self._ping(now, name, None)

    def relay_ping(self, now: float, requester: str, request: PingRequest) -> None:
        """Send a ping to a peer on behalf of another peer."""
        if request.target in self._peers:
            timeout_s = self._health.scale(self._parameters.probe_timeout_s) * NACK_FRACTION
            self._ping(now, request.target, _Relay(requester, request.sequence, now + timeout_s))

    def _ping(self, now: float, name: str, relay: _Relay | None) -> None:
        self._sequence += 1
        self._sent_pings[self._sequence] = _SentPing(name, now, relay)
        updates = self._queue.take(self._peers[name].refutable_update())
        self._outbox.send(name, Ping(self._sequence, updates))

    def request_indirect(self, now: float, target: str) -> int:
        """Ask randomly chosen peers to ping the target; return how many were asked."""
        alive = [name for name in self._peers.names_in(MemberState.ALIVE) if name != target]
        relays = sample_names(self._rng, alive, self._parameters.indirect_probes)
        for relay in relays:
            self._sequence += 1
            self._sent_pings[self._sequence] = _SentPing(target, now)
            self._outbox.send(relay, PingRequest(self._sequence, target, self._queue.take()))
        return len(relays)

    # Handling answers.

    def on_ack(self, now: float, sender: str, ack: Ack) -> None:
        """Match an answer with its ping. If a member requested the ping, forward the answer to it."""
        ping = self._sent_pings.pop(ack.sequence, None)
        if ping is None or ping.target != (ack.answered_by or sender):
            return
        if ping.relay is not None:
            self._outbox.send(ping.relay.requester, Ack(ping.relay.sequence, answered_by=ping.target))
        is_direct = not ack.answered_by
        if is_direct:
            self._measure_rtt(now - ping.sent_at)
        peer = self._peers.get(ping.target)
        if peer is not None and peer.is_reached_directly != is_direct:
            peer.is_reached_directly = is_direct
            event = FleetEvent.PEER_REACHED_DIRECTLY if is_direct else FleetEvent.PEER_REACHED_INDIRECTLY
            self._outbox.log(event, member=peer.name)
        probe = self._probe
        if probe is not None and probe.target == ping.target and ping.sent_at >= probe.started_at:
            probe.is_answered = True
        self._partition.record_answer(now, ping.target, ping.sent_at)

    def _measure_rtt(self, rtt_s: float) -> None:
        gain = RTT_GAIN_UP if rtt_s > self.rtt_s else RTT_GAIN_DOWN
        self.rtt_s += (rtt_s - self.rtt_s) * gain

    def on_nack(self, sequence: int) -> None:
        """Record a relay's Nack: the target did not answer, but the relay and the link to it work."""
        if self._probe is not None and sequence in self._sent_pings:
            self._probe.nacks += self._sent_pings[sequence].target == self._probe.target

    # Intervals and time-outs.

    @property
    def due(self) -> float:
        """When `tick` or `start_interval` is to be called next."""
        times = [self.next_interval_at]
        if self._probe is not None and self._probe.awaits_timeout:
            times.append(self._probe.indirect_at)
        times += [ping.relay.nack_at for ping in self._sent_pings.values() if ping.relay is not None]
        return min(times)

    def tick(self, now: float) -> None:
        """Request indirect probes and send Nacks that are due, and discard old pings."""
        probe = self._probe
        if probe is not None and probe.awaits_timeout and now >= probe.indirect_at:
            relays = self.request_indirect(now, probe.target)
            probe.relays = max(1, relays)
            if not relays:  # no relay was asked, so no Nack can be missing
                probe.nacks = 1
        for sequence, ping in list(self._sent_pings.items()):
            if ping.relay is not None and now >= ping.relay.nack_at:
                self._outbox.send(ping.relay.requester, Nack(ping.relay.sequence))
                ping.relay = None
            if now > ping.sent_at + PING_RETENTION_S:
                del self._sent_pings[sequence]

    def conclude_probe(self) -> Peer | None:
        """End the probe of this interval; return the probed peer if it is to be suspected, else None.

        A missing Nack suggests that this member itself is slow, and raises its health score.
        """
        probe, self._probe = self._probe, None
        if probe is None:
            return None
        if probe.is_answered:
            self._health.adjust(-1)
            return None
        self._health.adjust(max(0, probe.relays - probe.nacks) if probe.relays else 1)
        peer = self._peers.get(probe.target)
        if peer is None or peer.last_frame_at >= probe.started_at or not peer.is_present:
            return None
        return peer

    def start_interval(self, now: float) -> None:
        """Probe the next peer. Also ping a random absent peer: its own frames may not arrive here."""
        parameters = self._parameters
        interval_s = max(self._health.scale(parameters.probe_interval_s), MIN_INTERVAL_RTTS * self.rtt_s)
        self.next_interval_at = now + interval_s * self._rng.uniform(*INTERVAL_JITTER)
        if (name := self._next_target()) is not None:
            timeout_s = max(self._health.scale(parameters.probe_timeout_s), MIN_TIMEOUT_RTTS * self.rtt_s)
            self._probe = _Probe(name, now, now + timeout_s)
            self.ping(now, name)
        for absent in sample_names(self._rng, self._peers.names_in(*ABSENT), 1):
            self.ping(now, absent)

    def _next_target(self) -> str | None:
        """Return the next peer to probe: each peer once per round, in a random order."""
        while True:
            while self._unprobed:
                name = self._unprobed.pop()
                if self._peers[name].is_present:
                    return name
            self._unprobed = self._peers.names_in(*PRESENT)
            if not self._unprobed:
                return None
            self._rng.shuffle(self._unprobed)

    def probe_next(self, name: str) -> None:
        """Probe this peer before all others."""
        self._unprobed = [*(other for other in self._unprobed if other != name), name]

    def remove(self, names: list[str]) -> None:
        """Remove peers from this round that are no longer configured."""
        self._unprobed = [name for name in self._unprobed if name not in names]

    def restart(self, now: float) -> None:
        """Discard the pings sent before a stall: answers to them do not show the present state of peers."""
        self._probe = None
        self._sent_pings.clear()
        self.next_interval_at = now
