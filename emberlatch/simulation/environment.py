"""The interface of a cluster to the simulated clients, targets and operators that use it.

`SimulatedCluster` implements it on a virtual clock and network, `emberlatch-cluster try` with real processes
on loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import random
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TypeVar

from emberlatch.faults.process import Process
from emberlatch.simulation.configuration import (
    FIXED_ENDPOINT_SERVICE,
    Configuration,
    Route,
    build_configuration,
)
from emberlatch.simulation.history import History
from emberlatch.simulation.plan import Plan

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of a deployment, in seconds."""

    heartbeat_interval_s: float = 1.2  # time between two heartbeats of a target
    drain_s: float = 3.0  # time for which a draining target still receives messages
    early_tolerance_s: float = 0.1  # time by which a delayed message may run early
    grace_s: float = 6.0  # time from SIGTERM to SIGKILL


class Environment(ABC):
    """A cluster as its users see it. `history` records what they observe."""

    def __init__(self, plan: Plan, chance: random.Random) -> None:
        self.plan = plan
        self.random = chance
        self.history = History()
        self.timing = Timing()
        self.services = ["ledger", "desk"]
        self.routes = [Route("ledger", "a.example", "/l/"), Route("desk", "a.example", "/d/")]
        if plan.rate_limit_per_s:
            self.routes.append(Route(FIXED_ENDPOINT_SERVICE, "b.example", "/o/"))
        self._last_number = 0

    def next_number(self) -> int:
        """Return a number that is unique in this cluster, for use in ids."""
        self._last_number += 1
        return self._last_number

    @abstractmethod
    def control_addresses(self) -> list[tuple[str, int]]:
        """The addresses of the control interface, shuffled."""

    @abstractmethod
    def pick_forwarder(self, zone: str, chance: random.Random) -> tuple[str, int] | None:
        """The address of a ready forwarder, of this zone if it has one; None if no forwarder is ready."""

    @abstractmethod
    def run_in(self, process: Process, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        """Run a coroutine as a task of `process`; the task ends when the process is killed."""

    def configuration(self, revision: int) -> Configuration:
        """Revision `revision` of this deployment's configuration."""
        return build_configuration(revision, self.routes, self.services, self.plan.rate_limit_per_s)

    def configuration_body(self, revision: int, nominal_start_ms: int) -> bytes:
        """The body of a request with a revision whose routes have the given `nominal_start_ms`."""
        configuration = self.configuration(revision)
        for route in configuration["route_entries"]:
            route["nominal_start_ms"] = nominal_start_ms
        return json.dumps(configuration).encode()
