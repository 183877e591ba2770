"""Runs a single plan and reports the breaches of the rules."""

from __future__ import annotations

import contextlib
import hashlib
import logging
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from emberlatch.faults.checks import Breach, Rule
from emberlatch.faults.environment import SimulatedEnvironment
from emberlatch.faults.loop import DeadlockError, VirtualLoop, close_loop
from emberlatch.faults.plan import Fault, Plan
from emberlatch.faults.process import ProcessKilled, current_process
from emberlatch.faults.service_level import ServiceLevel
from emberlatch.faults.trace import TraceEntry

MAX_LOG_TEXT = 80  # number of characters of a log line that a breach quotes


@dataclass(frozen=True, slots=True)
class Report:
    """The results of a run: breaches in order of time, the trace, service levels and counts."""

    plan: Plan
    breaches: tuple[Breach, ...]
    trace: tuple[TraceEntry, ...]
    steps: int  # number of callbacks that the loop ran
    messages: int  # number of submitted messages
    since_last_fault: ServiceLevel
    after_recovery: ServiceLevel

    @property
    def lines(self) -> Iterator[str]:
        """The trace as text, identical in every replay."""
        return map(str, self.trace)


class _ExceptionObserver(logging.Handler):
    """Reports exceptions that the forwarder caught and logged, because they are defects too."""

    def __init__(self, environment: SimulatedEnvironment) -> None:
        super().__init__(logging.ERROR)
        self._environment = environment

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        if error is not None and not isinstance(error, ProcessKilled) and current_process.get().alive:
            text = f"{record.getMessage()[:MAX_LOG_TEXT]}: {error!r}"
            self._environment.add_breach(Rule.CRASH, text)


@contextlib.contextmanager
def _observed_log(environment: SimulatedEnvironment) -> Iterator[None]:
    """Report exceptions in the forwarder's log, and suppress the log's output."""
    observer, logger = _ExceptionObserver(environment), logging.getLogger("emberlatch")
    propagate, logger.propagate = logger.propagate, False
    logger.addHandler(observer)
    logging.disable(logging.WARNING)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)
        logger.removeHandler(observer)
        logger.propagate = propagate


def run_plan(plan: Plan) -> Report:
    """Run a plan in the current thread."""
    loop = VirtualLoop()
    environment = SimulatedEnvironment(plan, loop)
    with _observed_log(environment):
        try:
            loop.run_until_complete(environment.run())
        except DeadlockError as error:
            environment.add_breach(Rule.STUCK, str(error))
        finally:
            logging.disable(logging.CRITICAL)  # closing unfinished tasks logs errors
            close_loop(loop)
    return Report(
        plan,
        tuple(environment.breaches),
        tuple(environment.trace.entries),
        loop.steps,
        len(environment.checks.messages),
        environment.service.since(plan.last_fault_end_s),
        environment.service.after_recovery(),
    )


def trace_digest(report: Report) -> str:
    """A hash of a trace, which is the same for the same plan in every process."""
    hashed = hashlib.blake2b(digest_size=8)
    for line in report.lines:
        hashed.update(line.encode() + b"\n")
    return hashed.hexdigest()


def shrink(plan: Plan, rule: str) -> Plan:
    """Remove faults from a plan as long as a run with the remaining faults still breaks the rule."""
    changed = True
    while changed:
        changed = False
        for part in _removable_parts(plan):
            smaller = plan.without(part)
            if any(breach.rule == rule for breach in run_plan(smaller).breaches):
                plan, changed = smaller, True
                break
    return plan


def _removable_parts(plan: Plan) -> Iterable[tuple[Fault, ...]]:
    """Yield the halves of the faults, then the quarters and so on, down to single faults."""
    size = len(plan.faults) // 2
    while size >= 1:
        for start in range(0, len(plan.faults), size):
            yield plan.faults[start : start + size]
        size //= 2
