"""The environment of a member's process: its machine, clock, log and random seed."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from emberlatch.engine import Machine, Tasks
from emberlatch.fleet.log_events import EventLog

LOGGER_NAME = "emberlatch.fleet.service"  # part of each log line; operators' log searches may match it
SEED_BITS = 64


def _loop_clock() -> Callable[[], float]:
    return asyncio.get_running_loop().time


def _process_log() -> EventLog:
    """Return the process's event log, with the present logging configuration."""
    log: structlog.stdlib.BoundLogger = structlog.stdlib.get_logger(LOGGER_NAME)
    return log.info


def _draw_seed() -> int:
    return secrets.randbits(SEED_BITS)


@dataclass(frozen=True, slots=True)
class ProcessEnvironment:
    """The environment of one process of a member.

    It must be created on the event loop of that process. The defaults are those of a real process;
    simulations pass a clock, a log and a seed of their own.

    Attributes:
        tasks: the background tasks of the process.
        machine: the facilities of the machine that the process runs on.
        clock: the monotonic clock for all times, in seconds; by default the clock of the event loop.
        log_event: logs an event; by default to the process's log.
        seed: the 64-bit seed of all random numbers; by default random.
    """

    tasks: Tasks
    machine: Machine
    clock: Callable[[], float] = field(default_factory=_loop_clock)
    log_event: EventLog = field(default_factory=_process_log)
    seed: int = field(default_factory=_draw_seed)

    @property
    def run_id(self) -> str:
        """The random id of this process, which distinguishes it from others of the same generation."""
        return f"{self.seed & 0xFFFFFFFF:08x}{(self.seed >> 32) & 0xFFFFFFFF:08x}"
