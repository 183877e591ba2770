"""The identity of a process in calls: its incarnation, and the state that its connections share."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from emberlatch.cluster.rpc.dedupe import CompletedCalls


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a node's process.

    `number` increases with each start and is greater than 0. An expected number of 0 matches any start.
    """

    node: str
    number: int

    def __str__(self) -> str:
        return f"{self.node}/{self.number}"

    def satisfies(self, expected: Incarnation) -> bool:
        """Whether this is the expected node in the expected incarnation or a later one.

        An empty node name in `expected` matches any node.
        """
        return not expected.node or (self.node == expected.node and self.number >= expected.number)


ANY_NODE = Incarnation("", 0)
"""Expected peer of a connection to an address whose node is not known."""


@dataclass(slots=True)
class LocalEndpoint:
    """State that all connections of this process share: incarnation, request numbers and completed calls."""

    incarnation: Incarnation
    completed: CompletedCalls = field(default_factory=CompletedCalls)
    _numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def next_request_number(self) -> int:
        """Return a new request number, unique among all connections of this incarnation."""
        return next(self._numbers)
