"""When members were down and links were impaired, computed from the history of a storm without I/O."""

from __future__ import annotations

import math
from collections import defaultdict

from emberlatch.storm.history import RUNNER, EventKind, History

RESTART_GRACE_S = 1.5  # time after a restart or a resume in which no deadline of the member can expire
IMPAIRMENT_TAIL_S = 2.0  # time after the end of a link fault in which delayed data may still arrive

Span = tuple[float, float]
"""Start and end of a time span, in seconds since the storm began; the end may be infinite."""

MAX_CLOCK_DRIFT = 0.03  # largest relative rate error of a member's clock in a plan; the rules allow for it


class Availability:
    """When each member was suspended or down, and when its state folder was wiped."""

    def __init__(self, history: History) -> None:
        self.downtimes: dict[str, list[Span]] = {name: [] for name in history.plan.member_names}
        self.wiped_at: dict[str, list[float]] = defaultdict(list)
        down_since: dict[str, float] = {}
        for event in history.events:
            if event.source != RUNNER or "member" not in event.payload:
                continue
            if (name := event.member) not in self.downtimes:  # a duplicate process, not a member of the plan
                continue
            match event.kind:
                case EventKind.KILLED | EventKind.TERMINATED | EventKind.SUSPENDED | EventKind.PROCESS_EXITED:
                    down_since.setdefault(name, event.at)
                case EventKind.SERVING | EventKind.RESUMED:
                    if name in down_since:
                        self.downtimes[name].append((down_since.pop(name), event.at))
                case EventKind.STATE_WIPED:
                    self.wiped_at[name].append(event.at)
        for name, at in down_since.items():
            self.downtimes[name].append((at, math.inf))

    def extend_deadline(self, name: str, deadline: float, grace_s: float = RESTART_GRACE_S) -> float:
        """Return a member's deadline, extended if the member was down or had just restarted at that time."""
        for begin, end in self.downtimes.get(name, ()):
            if begin <= deadline <= end + grace_s:
                deadline = max(deadline, end + grace_s)
        return deadline

    def was_down(self, name: str, since: float, until: float) -> bool:
        """Return whether a member was suspended or down at some moment of a span."""
        return any(begin <= until and end >= since for begin, end in self.downtimes.get(name, ()))


class LinkImpairments:
    """The time spans in which faults of the plan impaired each direction of each link."""

    def __init__(self, history: History) -> None:
        self._spans: dict[tuple[str, str], list[Span]] = defaultdict(list)
        for fault in history.plan.faults:
            for direction in fault.directions():
                self._spans[direction].append((fault.at, fault.end + IMPAIRMENT_TAIL_S))

    def overlap(self, one: str, other: str, since: float, until: float) -> bool:
        """Return whether either direction between two parties was impaired at some moment of a span."""
        spans = self._spans[one, other] + self._spans[other, one]
        return any(begin <= until and end >= since for begin, end in spans)
