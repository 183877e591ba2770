"""This member's view of each other member, and the rule that decides which updates replace the view."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from emberlatch.fleet.frames import MemberState, MemberUpdate
from emberlatch.fleet.membership.suspicion import Suspicion

REFUTATION_BITS = 20  # low bits of an incarnation, which count refutations; the high bits are the generation
UNKNOWN_INCARNATION = -1
PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)
ABSENT = (MemberState.JOINING, MemberState.UNREACHABLE)


def first_incarnation(generation: int) -> int:
    """Return the first incarnation of a generation; each process of a member has its own generation."""
    return generation << REFUTATION_BITS


def generation_of(incarnation: int) -> int:
    """Return the generation of an incarnation."""
    return incarnation >> REFUTATION_BITS


@dataclass(slots=True)
class Peer:
    """This member's view of one other member. Times are in seconds on the machine's clock."""

    name: str
    state: MemberState = MemberState.JOINING
    incarnation: int = UNKNOWN_INCARNATION
    run_id: str = ""
    state_since: float = 0.0
    last_frame_at: float = -math.inf  # when a frame from the peer itself last arrived
    is_reached_directly: bool = True  # whether the peer's latest answer was to a direct ping
    suspicion: Suspicion | None = None
    returned_at: list[float] = field(default_factory=list)  # times of its returns from unreachable

    @property
    def is_present(self) -> bool:
        """Whether the peer is alive or suspect."""
        return self.state in PRESENT

    @property
    def generation(self) -> int:
        """The peer's generation; negative while it is unknown."""
        return generation_of(self.incarnation)

    def is_superseded_by(self, update: MemberUpdate) -> bool:
        """Return whether an update is newer than the present view of the peer.

        Updates are ordered by incarnation and then by state. All members therefore reach the same view, in
        whatever order the updates arrive.
        """
        if self.state is MemberState.JOINING:
            return update.state is not MemberState.JOINING
        if update.incarnation != self.incarnation:
            return update.incarnation > self.incarnation
        return update.state > self.state

    def as_update(self) -> MemberUpdate:
        """Return an update with the present view of the peer."""
        suspected_by = next(iter(self.suspicion.suspected_by)) if self.suspicion is not None else ""
        return MemberUpdate(self.name, self.state, self.incarnation, self.run_id, suspected_by)

    def refutable_update(self) -> MemberUpdate | None:
        """Return the update that a suspect or unreachable peer must receive to refute it, else None."""
        seems_failed = self.state in (MemberState.SUSPECT, MemberState.UNREACHABLE)
        return self.as_update() if seems_failed else None

    def recent_returns(self, now: float, window_s: float, maximum: int) -> int:
        """Return how often the peer returned from being unreachable within a window, up to a maximum."""
        self.returned_at = [at for at in self.returned_at if at > now - window_s]
        return min(maximum, len(self.returned_at))


class PeerTable(dict[str, Peer]):
    """The other configured members by name, in a fixed order. Only `configure` adds and removes members."""

    def __init__(self) -> None:
        super().__init__()
        self._recorded_sizes: dict[str, int] = {}

    @property
    def fleet_size(self) -> int:
        """The size of the largest fleet that may be alive: the longest list of members, here or at a peer."""
        return max([self.configured_size, *self._recorded_sizes.values()])

    @property
    def configured_size(self) -> int:
        """The number of configured members, this one included."""
        return len(self) + 1

    @property
    def present_count(self) -> int:
        """The number of members that are alive or suspect, this one included."""
        return 1 + sum(peer.is_present for peer in self.values())

    def record_size(self, name: str, size: int) -> None:
        """Record how many members a peer has in its configuration."""
        self._recorded_sizes[name] = size

    def configure(self, now: float, names: Iterable[str]) -> list[str]:
        """Apply the names of all other members; return the names that were removed."""
        wanted = set(names)
        removed = [name for name in self if name not in wanted]
        for name in removed:
            del self[name]
            self._recorded_sizes.pop(name, None)
        for name in sorted(wanted - set(self)):
            self[name] = Peer(name, state_since=now)
        return removed

    def names_in(self, *states: MemberState) -> list[str]:
        """Return the names of the peers that are in one of the states."""
        return [peer.name for peer in self.values() if peer.state in states]

    def known_updates(self) -> list[MemberUpdate]:
        """Return an update on each peer that is not in the state JOINING."""
        return [peer.as_update() for peer in self.values() if peer.state is not MemberState.JOINING]


def sample_names(rng: random.Random, names: list[str], maximum: int) -> list[str]:
    """Return up to `maximum` of the names, at random."""
    return rng.sample(names, min(maximum, len(names)))
