"""This member's own incarnation. The member refutes suspicions, and halts if a later process has its name."""

from __future__ import annotations

import math
from dataclasses import dataclass

from emberlatch.fleet.frames import Handshake, MemberState, MemberUpdate
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership.actions import Halt, IncarnationChanged
from emberlatch.fleet.membership.local_health import LocalHealth
from emberlatch.fleet.membership.peers import first_incarnation, generation_of
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Identifies a process of a member when it starts.

    `generation` is one more than the last generation in the state folder. `run_id` is a random id, which
    distinguishes two processes of the same generation.
    """

    name: str
    generation: int
    run_id: str


class OwnIdentity:
    """The member's name, its incarnation, and the random id of this process. Times are in seconds.

    An incarnation combines a generation, which counts the processes of the member, with a count of
    refutations.
    """

    def __init__(self, process: ProcessIdentity, instance: ProtocolInstance, health: LocalHealth) -> None:
        self.name, self.run_id = process.name, process.run_id
        self.incarnation = first_incarnation(process.generation)
        self.is_leaving = False
        self.is_halted = False
        # The end of the join window. A later generation that is seen after it belongs to another process.
        self.joined_at = math.inf
        self._health, self._queue, self._outbox = health, instance.queue, instance.outbox

    @property
    def generation(self) -> int:
        """The generation of this process."""
        return generation_of(self.incarnation)

    def handshake(self, fleet: str, configured_size: int) -> Handshake:
        """Return the handshake, the first frame on each link."""
        return Handshake(fleet, self.name, self.incarnation, self.run_id, member_count=configured_size)

    def as_update(self) -> MemberUpdate:
        """Return an update with this member's own state, which is ALIVE or LEFT."""
        state = MemberState.LEFT if self.is_leaving else MemberState.ALIVE
        return MemberUpdate(self.name, state, self.incarnation, self.run_id)

    def leave(self) -> MemberUpdate:
        """Leave the fleet; return the update that announces it."""
        self.is_leaving = True
        update = self.as_update()
        self._queue.add(update)
        return update

    def end_join_window_at(self, at: float) -> None:
        """Set when the join window ends; if it was set before, the earlier of the two times counts.

        If an update shows a later generation during the join window, this process takes the generation after
        it instead of halting.
        """
        self.joined_at = min(self.joined_at, at)

    def on_update(self, now: float, update: MemberUpdate) -> None:
        """Handle an update on this member that another member has sent."""
        if update.incarnation < self.incarnation and update.state is not MemberState.ALIVE:
            self._queue.add(self.as_update())  # the sender has not received a refutation: send it again
        if self._is_about_this_process(update):
            if update.incarnation >= self.incarnation and update.state is not MemberState.ALIVE:
                self._refute(update)
        elif generation_of(update.incarnation) >= self.generation and not self.is_halted:
            self._resolve_conflict(now, update)

    def _is_about_this_process(self, update: MemberUpdate) -> bool:
        if update.run_id:
            return update.run_id == self.run_id
        return generation_of(update.incarnation) == self.generation

    def _refute(self, update: MemberUpdate) -> None:
        if self.is_leaving:
            return
        if update.state is MemberState.SUSPECT:
            self._health.adjust(1)  # if this member's frames get lost, it may also miss frames of others
        self._advance_to(update.incarnation + 1)
        state = update.state.name.lower()
        self._outbox.log(FleetEvent.SUSPICION_REFUTED, state=state, by=update.suspected_by)

    def _resolve_conflict(self, now: float, update: MemberUpdate) -> None:
        """Handle an update on another process with this name, of the same generation or a later one."""
        other = generation_of(update.incarnation)
        if now < self.joined_at:  # the generation of an earlier process, missing in the state folder
            self._outbox.log(FleetEvent.GENERATION_ADVANCED, before=other, life=other + 1)
            self._advance_to(first_incarnation(other + 1))
        elif other > self.generation:
            self.is_halted = True
            own = self.generation
            reason = (
                f"another process is {self.name} in generation {other};"
                f" this process, of generation {own}, stops"
            )
            self._outbox.log(FleetEvent.HALTED, why=reason)
            self._outbox.add(Halt(reason))
        elif update.state is not MemberState.ALIVE or update.run_id < self.run_id:
            self._advance_to(first_incarnation(other + 1))  # of two processes in one generation, one advances

    def _advance_to(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self._queue.add(MemberUpdate(self.name, MemberState.ALIVE, incarnation, self.run_id))
        self._outbox.add(IncarnationChanged(incarnation))
