"""`python -m tests.storm.planted CONFIG --plant NAME`: a member of a storm whose program has a planted bug.

Some bugs are also planted in simulated fleets. The function names of the bugs are test ids.
"""

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
    """Send attempts without recording them in the journal first."""
    update = Journal.update

    def skip_unknown_outcomes(self: Journal, entry: Entry) -> None:
        if entry.notice is not None or not entry.unknown_outcomes:
            update(self, entry)

    Journal.update = skip_unknown_outcomes  # type: ignore[method-assign]


def forgets_messages() -> None:
    """Answer 202 without writing the message to the journal."""
    Journal.add = lambda self, entry: None  # type: ignore[method-assign]


def hears_no_waits() -> None:
    """Ignore the Retry-After of endpoints."""
    outcome = Engine.on_attempt_outcome

    def without_retry_after(self: Engine, reported: api.Outcome) -> None:
        outcome(self, replace(reported, retry_after=0.0))

    PooledCarrier._set_retry_after = lambda self, target, retry_after_s: None  # type: ignore[method-assign]
    Engine.on_attempt_outcome = without_retry_after  # type: ignore[assignment,method-assign]


def passes_no_waits_on() -> None:
    """Do not share the Retry-After times that one member receives with the other members."""
    FleetService.share_endpoint_hold = lambda self, target, seconds: None  # type: ignore[method-assign]


def never_halts(patch: Callable[..., None]) -> None:
    """Do not exit when another process with the same name is found."""
    patch(identity, "Halt", lambda reason: LogEvent("stays", {}))  # type: ignore[arg-type]


def the_later_one_halts(patch: Callable[..., None]) -> None:
    """Of two processes with one name, make the later one exit while it joins, not the earlier one."""
    on_update = OwnIdentity.on_update

    def halt_while_joining(self: OwnIdentity, now: float, update: MemberUpdate) -> None:
        if update.run_id == self.run_id or generation_of(update.incarnation) < self.generation:
            on_update(self, now, update)
        elif now < self.joined_at and not self.is_halted:
            self.is_halted = True
            self._outbox.log(FleetEvent.HALTED, why="it was there before")
            self._outbox.add(Halt(""))

    patch(OwnIdentity, "on_update", halt_while_joining)


def duplicates_cannot_start() -> None:
    """Exit with an error at the start of a second process with a member's name."""
    if any("-twin-" in argument for argument in sys.argv):
        raise SystemExit("state: in use")


PLANTED = (forgets_intents, forgets_messages, hears_no_waits, passes_no_waits_on, duplicates_cannot_start)
BUGS: dict[str, Callable[[], None]] = {bug.__name__: bug for bug in PLANTED}
BUGS |= {bug.__name__: partial(bug, setattr) for bug in (never_halts, the_later_one_halts)}


def prepare(name: str) -> None:
    """Plant the bug of that name."""
    BUGS[name]()


if __name__ == "__main__":
    sys.exit(main(prepare))


def program(name: str) -> tuple[str, ...]:
    """Return the command-line arguments with which Python runs the program with a planted bug."""
    return ("-m", "tests.storm.planted", f"--plant={name}")


__all__ = ["BUGS", "never_halts", "program", "the_later_one_halts"]
