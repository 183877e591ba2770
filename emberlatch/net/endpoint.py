"""The state of one target in a carrier."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from emberlatch.core.interface import Entry
from emberlatch.engine import Address
from emberlatch.net.http_connection import Connection


@dataclass(slots=True)
class Endpoint:
    """A target that is listed or has a call in flight.

    Attributes:
        usable_until: the event loop's time until which calls may be sent to the target. It is infinite while
            the target is ready. If the target drains or is removed, it lies within the grace period.
        deregistered: whether the target is no longer listed.
        idle: the idle connections, the most recently used one last; only the connection pool changes them.
        in_flight: number of calls in flight.
    """

    entry: Entry
    address: Address
    usable_until: float = math.inf
    deregistered: bool = False
    idle: list[Connection] = field(default_factory=list)
    in_flight: int = 0
