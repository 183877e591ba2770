"""What each member believes of each other member, computed from the history of a storm without I/O."""

from __future__ import annotations

import math

from emberlatch.storm.history import EventKind, History


class MembershipViews:
    """The beliefs of all members at one moment, computed from the events that they had logged by then."""

    def __init__(self, history: History, until: float = math.inf) -> None:
        """`until` is in seconds since the storm began; the events up to that time must be in order."""
        self._states: dict[str, dict[str, str]] = {}
        self._partition_causes: dict[str, str] = {}
        for event in history.events:
            if event.at > until:
                break
            match event.kind:
                case EventKind.MEMBER_PROCESS_STARTED:
                    self._states[event.source] = {}
                    self._partition_causes[event.source] = "joining"
                case EventKind.PEER_STATE_CHANGED if event.source in self._states:
                    self._states[event.source][event.member] = event.payload["state"]
                case EventKind.ISOLATED:
                    self._partition_causes[event.source] = event.payload["why"]
                case EventKind.MAJORITY_REACHED:
                    self._partition_causes[event.source] = ""

    def state_of(self, peer: str, observer: str) -> str:
        """Return the state of a peer as the observer last logged it; `joining` if it has logged none."""
        return self._states.get(observer, {}).get(peer, "joining")

    def is_partitioned(self, observer: str) -> bool:
        """Return whether an observer believes that it lacks a majority."""
        return bool(self._partition_causes.get(observer, "joining"))

    def unseen_by(self, observer: str, members: tuple[str, ...]) -> list[str]:
        """Return the other members that an observer does not believe to be alive."""
        return [peer for peer in members if peer != observer and self.state_of(peer, observer) != "alive"]

    def are_complete(self, members: tuple[str, ...]) -> bool:
        """Return whether each member sees all others alive and has a majority."""
        return not any(self.is_partitioned(name) or self.unseen_by(name, members) for name in members)
