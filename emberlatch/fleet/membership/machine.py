"""The membership machine: creates its parts, and passes frames and the time to them in a fixed order.

A member's view of the fleet may be wrong. The view may therefore influence when something is tried. It must
not decide whether something is done that may be done only once.
"""

from __future__ import annotations

from collections.abc import Iterable

from emberlatch.fleet.frames import (
    Ack,
    AnyFrame,
    Digest,
    Gossip,
    Handshake,
    MembershipTable,
    MemberState,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
)
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership.actions import Action
from emberlatch.fleet.membership.anti_entropy import AntiEntropy
from emberlatch.fleet.membership.dissemination import Gossiper
from emberlatch.fleet.membership.identity import OwnIdentity, ProcessIdentity
from emberlatch.fleet.membership.isolation import IsolationDetector, IsolationReason
from emberlatch.fleet.membership.local_health import LocalHealth
from emberlatch.fleet.membership.parameters import ProtocolParameters
from emberlatch.fleet.membership.peers import PRESENT, generation_of, sample_names
from emberlatch.fleet.membership.probing import Prober
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance
from emberlatch.fleet.membership.transitions import PeerTransitions

MAX_CONFIRMATION_PINGS = 50  # pings that an isolated member sends at once


class MembershipMachine:
    """One member's view of its fleet.

    Attributes:
        due: when `tick` is to be called next. Times are in seconds on one monotonic clock.
        peers: the other configured members; callers must not change them.
        identity, partition, health, prober: the machine's parts; callers must not change them.
    """

    def __init__(
        self,
        process: ProcessIdentity,
        member_names: Iterable[str],
        now: float,
        seed: int,
        parameters: ProtocolParameters | None = None,
    ) -> None:
        """`member_names` are the configured members, with or without this one; `seed` is for random draws."""
        self.parameters = parameters or ProtocolParameters()
        instance = ProtocolInstance.begin(self.parameters, seed)
        self._rng, self._queue, self._outbox = instance.rng, instance.queue, instance.outbox
        self.peers, self.health = instance.peers, LocalHealth(self.parameters.max_health_score)
        self.identity = OwnIdentity(process, instance, self.health)
        self.partition = IsolationDetector(instance, now)
        self.prober = Prober(instance, self.partition, self.health, now)
        self._transitions = PeerTransitions(process.name, instance, self.partition, self.prober)
        self._gossiper = Gossiper(instance, now)
        self._anti_entropy = AntiEntropy(instance, self.identity, now)
        self.due = now
        self.configure(now, member_names)

    # Operations that the caller requests.

    def take_actions(self) -> list[Action]:
        """Return and remove the actions that were requested since the last call."""
        return self._outbox.take()

    def handshake(self, fleet: str) -> Handshake:
        """Return the handshake, the first frame on each link."""
        return self.identity.handshake(fleet, self.peers.configured_size)

    def membership_table(self) -> MembershipTable:
        """Return this member's view of all members."""
        return self._anti_entropy.table()

    def configure(self, now: float, member_names: Iterable[str]) -> None:
        """Apply a changed list of members, and send its size to the members that are present."""
        other_names = set(member_names) - {self.identity.name}
        changed = other_names != set(self.peers)
        removed = self.peers.configure(now, other_names)
        self._transitions.remove(removed)
        self.prober.remove(removed)
        if changed:  # all members use the size of the longest list, also those that have not reloaded theirs
            for name in self.peers.names_in(*PRESENT):
                self._outbox.send(name, self.membership_table())
        self.partition.review(now)

    def leave(self, now: float) -> None:
        """Announce that this member leaves the fleet."""
        self._gossiper.announce_leaving(self.identity.leave())

    # Events on links.

    def on_handshake(self, now: float, handshake: Handshake) -> None:
        """Handle a handshake: a link to a member is new, or a linked member has a new incarnation."""
        self._detect_stall(now)
        if (peer := self.peers.get(handshake.name)) is None:
            return
        self.peers.record_size(handshake.name, handshake.member_count)
        alive = MemberUpdate(handshake.name, MemberState.ALIVE, handshake.incarnation, handshake.run_id)
        self._apply(now, (alive,))
        if handshake.run_id == peer.run_id:
            peer.last_frame_at = now
        self._outbox.send(handshake.name, self.membership_table())
        if self.partition.is_isolated:
            self.prober.ping(now, handshake.name)
        self._schedule(now)

    def on_link_down(self, now: float, name: str) -> None:
        """Handle the loss of a link: probe that member next.

        If its process has ended, a new connection is refused; behind a network partition, nothing answers.
        """
        self._detect_stall(now)
        if (peer := self.peers.get(name)) is not None and peer.is_present:
            self.prober.probe_next(name)
        self._schedule(now)

    def on_frame(self, now: float, sender: str, incarnation: int, frame: AnyFrame) -> None:
        """Handle a frame; `incarnation` is the sender's incarnation in the handshake of the link."""
        self._detect_stall(now)
        peer = self.peers.get(sender)
        if peer is None or generation_of(incarnation) < peer.generation:
            return  # the sender is not configured, or sent the frame before its restart
        peer.last_frame_at = now
        match frame:
            case Ping(sequence, updates):
                self._apply(now, updates)
                self._outbox.send(sender, Ack(sequence, updates=self._queue.take(peer.refutable_update())))
            case Ack(updates=updates):
                self._apply(now, updates)  # before `on_ack`, so that a relay can forward a refutation
                self.prober.on_ack(now, sender, frame)
            case PingRequest(updates=updates):
                self._apply(now, updates)
                self.prober.relay_ping(now, sender, frame)
            case Nack(sequence):
                self.prober.on_nack(sequence)
            case Gossip(updates):
                self._apply(now, updates)
            case Digest():
                self._anti_entropy.on_digest(sender, frame)
            case MembershipTable():
                self._on_table(now, sender, frame)
            case _:
                pass  # EndpointUpdates, which `EndpointExchange` handles
        self._schedule(now)

    def _on_table(self, now: float, sender: str, table: MembershipTable) -> None:
        self.peers.record_size(sender, table.member_count)
        self.identity.end_join_window_at(now + self.parameters.join_window_s)
        self._apply(now, table.updates)
        if table.reply_requested:
            self._outbox.send(sender, self.membership_table())

    def _apply(self, now: float, updates: Iterable[MemberUpdate]) -> None:
        for update in updates:
            if update.name == self.identity.name:
                self.identity.on_update(now, update)
            else:
                self._transitions.apply(now, update)

    # Timer and stall detection.

    def tick(self, now: float) -> None:
        """Do all that is due now: probes, final probes, expired suspicions, gossip and anti-entropy."""
        self._detect_stall(now)
        self.prober.tick(now)
        self._transitions.tick(now)
        if now >= self.prober.next_interval_at:
            if (failed := self.prober.conclude_probe()) is not None:
                self._transitions.suspect(now, failed)
            self.prober.start_interval(now)
        for name in sample_names(self._rng, self.partition.start_confirmation(now), MAX_CONFIRMATION_PINGS):
            self.prober.ping(now, name)
        self._gossiper.tick(now)
        self._anti_entropy.tick(now)
        self._schedule(now)

    def _detect_stall(self, now: float) -> None:
        """Begin an isolation if this process did not run for a while.

        The view is out of date after a stall, so each event handler calls this method first.
        """
        late_s = now - self.due
        if now <= self.due + self.parameters.stall_s:
            return
        self._outbox.log(FleetEvent.STALL_DETECTED, seconds=round(late_s, 3))
        self.prober.restart(now)
        self._transitions.restart_suspicions(now)
        self.due = now
        self.partition.begin_isolation(now, IsolationReason.STALLED)

    def _schedule(self, now: float) -> None:
        times = [
            self.prober.due,
            self.partition.due,
            self._gossiper.due,
            self._anti_entropy.due,
            # Keeps `due` near even if probes are rare, so that `_detect_stall` notices a stall.
            now + self.parameters.stall_s / 2,
            *self._transitions.deadlines,
        ]
        self.due = max(now, min(times))
