"""Changes the states of peers after updates of other members, failed probes and expired suspicions."""

from __future__ import annotations

from emberlatch.fleet.frames import MemberState, MemberUpdate
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership.isolation import IsolationDetector
from emberlatch.fleet.membership.peers import Peer
from emberlatch.fleet.membership.probing import Prober
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance
from emberlatch.fleet.membership.suspicion import Suspicion


class PeerTransitions:
    """The only part that changes the states of peers. Times are in seconds on the machine's clock."""

    def __init__(
        self, own_name: str, instance: ProtocolInstance, partition: IsolationDetector, prober: Prober
    ) -> None:
        self._own_name, self._partition, self._prober = own_name, partition, prober
        self._peers, self._queue, self._outbox = instance.peers, instance.queue, instance.outbox
        self._parameters = instance.parameters
        self._suspects: set[str] = set()

    def apply(self, now: float, update: MemberUpdate) -> None:
        """Apply an update that another member sent. An update on an unconfigured member is ignored."""
        peer = self._peers.get(update.name)
        if peer is None or update.state is MemberState.JOINING:
            return
        is_same_incarnation = update.incarnation == peer.incarnation
        if update.state is MemberState.UNREACHABLE and is_same_incarnation and peer.is_present:
            self._verify_failure(now, peer, update)
        elif peer.is_superseded_by(update):
            self.set_state(now, peer, update)
        elif peer.state is MemberState.SUSPECT is update.state and is_same_incarnation:
            self._confirm(peer, update.suspected_by, update)

    def suspect(self, now: float, peer: Peer) -> None:
        """Suspect a peer that has not answered a probe of this member."""
        update = self._suspicion_of(peer, self._own_name)
        if peer.state is MemberState.ALIVE:
            self.set_state(now, peer, update)
            self._prober.ping(now, peer.name)  # the ping carries the suspicion, which the peer can refute
        else:
            self._confirm(peer, self._own_name, update)

    def _suspicion_of(self, peer: Peer, suspected_by: str) -> MemberUpdate:
        return MemberUpdate(peer.name, MemberState.SUSPECT, peer.incarnation, peer.run_id, suspected_by)

    def _confirm(self, peer: Peer, suspected_by: str, update: MemberUpdate) -> None:
        if peer.suspicion is not None and peer.suspicion.confirm(suspected_by):
            self._queue.add(update)

    def _verify_failure(self, now: float, peer: Peer, update: MemberUpdate) -> None:
        """Treat an UNREACHABLE update on a peer as a suspicion, and send the peer a final probe.

        After a network partition has healed, members that were on its other side send such updates.
        """
        if peer.state is MemberState.ALIVE:
            self.set_state(now, peer, self._suspicion_of(peer, update.suspected_by))
        if peer.suspicion is not None and not peer.suspicion.in_final_probe:
            self._start_final_probe(now, peer, peer.suspicion)

    def _start_final_probe(self, now: float, peer: Peer, suspicion: Suspicion) -> None:
        timeout_s = max(2 * self._parameters.probe_timeout_s, 2 * self._prober.rtt_s)
        suspicion.start_final_probe(now, timeout_s)
        self._prober.ping(now, peer.name)
        self._prober.request_indirect(now, peer.name)

    def set_state(self, now: float, peer: Peer, update: MemberUpdate) -> None:
        """Set the state and incarnation of a peer to those of an update, and queue the update."""
        old_state, old_generation = peer.state, peer.generation
        peer.state = update.state
        if old_state is MemberState.UNREACHABLE and update.state is MemberState.ALIVE:
            peer.returned_at.append(now)
        peer.incarnation, peer.run_id = update.incarnation, update.run_id or peer.run_id
        peer.suspicion = None
        self._suspects.discard(peer.name)
        if update.state is MemberState.SUSPECT:
            self._start_suspicion(now, peer, update.suspected_by or self._own_name)
        self._queue.add(update)
        if old_state is not peer.state or old_generation != peer.generation:
            peer.state_since = now
            self._log_state(peer, old_state)
        self._partition.review(now)

    def _log_state(self, peer: Peer, old_state: MemberState) -> None:
        self._outbox.log(
            FleetEvent.PEER_STATE_CHANGED,
            member=peer.name,
            state=peer.state.name.lower(),
            was=old_state.name.lower(),
            incarnation=peer.incarnation,
            life=peer.generation,
        )

    def _start_suspicion(self, now: float, peer: Peer, suspected_by: str) -> None:
        parameters = self._parameters
        flaps = peer.recent_returns(now, parameters.flap_window_s, parameters.max_flaps)
        present, rtt_s = self._peers.present_count, self._prober.rtt_s
        peer.suspicion = Suspicion(now, suspected_by, present, parameters, rtt_s, flaps)
        self._suspects.add(peer.name)

    @property
    def deadlines(self) -> list[float]:
        """The deadlines of all suspicions."""
        suspicions = (self._peers[name].suspicion for name in self._suspects)
        return [suspicion.deadline for suspicion in suspicions if suspicion is not None]

    def tick(self, now: float) -> None:
        """Send final probes that are due. Declare suspects unreachable whose final probe timed out."""
        for name in list(self._suspects):
            peer = self._peers[name]
            if peer.suspicion is None or now < peer.suspicion.deadline:
                continue
            if not peer.suspicion.in_final_probe:  # a refutation may have been lost on its way to this member
                self._start_final_probe(now, peer, peer.suspicion)
            else:
                update = MemberUpdate(name, MemberState.UNREACHABLE, peer.incarnation, peer.run_id)
                self.set_state(now, peer, update)

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicions after a stall of this process."""
        for name in self._suspects:
            if (suspicion := self._peers[name].suspicion) is not None:
                suspicion.restart(now)

    def remove(self, names: list[str]) -> None:
        """Remove the suspicions of peers that are no longer configured."""
        self._suspects.difference_update(names)
