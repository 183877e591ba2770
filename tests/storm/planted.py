"""The program with a bug planted, as a process of a storm: `python -m tests.storm.planted CONFIG --plant
NAME`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from emberlatch.core import interface as api
from emberlatch.engine import Engine
from emberlatch.fleet import FleetService
from emberlatch.fleet.frames import MemberUpdate
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership import Halt, LogEvent, generation_of, identity
from emberlatch.fleet.membership.identity import OwnIdentity
from emberlatch.net.pooled_carrier import PooledCarrier
from emberlatch.store import Entry, Journal
from emberlatch.storm.process import main


def forgets_intents() -> None:
    """An attempt goes out before the journal knows of it."""
    update = Journal.update

    def later(self: Journal, entry: Entry) -> None:
        if entry.notice is not None or not entry.unknown_outcomes:
            update(self, entry)

    Journal.update = later  # type: ignore[method-assign]


def forgets_messages() -> None:
    """202 is answered though nothing is written."""
    Journal.add = lambda self, entry: None  # type: ignore[method-assign]


def hears_no_waits() -> None:
    outcome = Engine.on_attempt_outcome

    def deaf(self: Engine, told: api.Outcome) -> None:
        outcome(self, replace(told, retry_after=0.0))

    PooledCarrier._set_retry_after = lambda self, target, retry_after_s: None  # type: ignore[method-assign]
    Engine.on_attempt_outcome = deaf  # type: ignore[assignment,method-assign]


def passes_no_waits_on() -> None:
    """What one member was told stays with it."""
    FleetService.share_endpoint_hold = lambda self, target, seconds: None  # type: ignore[method-assign]


def never_halts(patch: Callable[..., None]) -> None:
    patch(identity, "Halt", lambda reason: LogEvent("stays", {}))  # type: ignore[arg-type]


def the_later_one_halts(patch: Callable[..., None]) -> None:
    """The later process gives its name up while it joins, and the earlier one never does."""
    on_update = OwnIdentity.on_update

    def backwards(self: OwnIdentity, now: float, update: MemberUpdate) -> None:
        if update.run_id == self.run_id or generation_of(update.incarnation) < self.generation:
            on_update(self, now, update)
        elif now < self.joined_at and not self.is_halted:
            self.is_halted = True
            self._outbox.log(FleetEvent.HALTED, why="it was there before")
            self._outbox.add(Halt(""))

    patch(OwnIdentity, "on_update", backwards)


def twins_cannot_start() -> None:
    """The second process of a name gives up at its start."""
    if any("-twin-" in argument for argument in sys.argv):
        raise SystemExit("state: in use")


PLANTED = (forgets_intents, forgets_messages, hears_no_waits, passes_no_waits_on, twins_cannot_start)
BUGS: dict[str, Callable[[], None]] = {bug.__name__: bug for bug in PLANTED}
BUGS |= {bug.__name__: partial(bug, setattr) for bug in (never_halts, the_later_one_halts)}


def prepare(name: str) -> None:
    BUGS[name]()


if __name__ == "__main__":
    sys.exit(main(prepare))


def program(name: str) -> tuple[str, ...]:
    """What a rig is told to run."""
    return ("-m", "tests.storm.planted", f"--plant={name}")


__all__ = ["BUGS", "never_halts", "program", "the_later_one_halts"]
