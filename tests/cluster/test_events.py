"""The catalogue of log events, and the documentation page generated from it."""

from __future__ import annotations

import ast
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from ward import test

from emberlatch.cluster.events import DESCRIPTIONS, Event, catalogue, log, log_event
from emberlatch.cluster.message_store import UndeliverableReason, log_undeliverable
from tests.cluster.support import record

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs/system/events.md"
NOT_LOGGED = "Not logged at present"
"""Prefix of the explanation of an event that no code logs and that only reserves its number."""


def logged_events(folder: Path) -> set[Event]:
    """Return the events that modules below a folder refer to, apart from the catalogue itself."""
    return {
        Event[node.attr]
        for path in folder.rglob("*.py")
        if path.name != "events.py"
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "Event"
    }


@contextmanager
def log_lines(level: int) -> Iterator[list[str]]:
    """Collect the lines logged within the context at this level or above, as level and message."""
    lines: list[str] = []

    class Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            lines.append(f"{record.levelname} {record.getMessage()}")

    collector, level_before, propagate_before = Collector(), log.level, log.propagate
    log.addHandler(collector)
    log.setLevel(level)
    log.propagate = False
    try:
        yield lines
    finally:
        log.removeHandler(collector)
        log.setLevel(level_before)
        log.propagate = propagate_before


@test("every event has a description, and no two descriptions have the same title")
def _() -> None:
    assert set(DESCRIPTIONS) == set(Event)
    titles = [description.title for description in DESCRIPTIONS.values()]
    assert len(set(titles)) == len(titles)


@test("the events that no code logs are exactly those whose explanations say that they are not logged")
def _() -> None:
    unlogged = {event for event in Event if DESCRIPTIONS[event].explanation.startswith(NOT_LOGGED)}
    assert set(Event) - logged_events(ROOT / "emberlatch/cluster") == unlogged


@test("the documentation page of events equals the output of the command")
def _() -> None:
    assert PAGE.read_text() == catalogue()


@test("a log line has number, title, subjects and named values; an event below the log level is not logged")
def _() -> None:
    with log_lines(logging.WARNING) as lines:
        log_event(Event.PEER_DOWN, "s1", state="unreachable")
        log_event(Event.DISK_FULL)
        log_event(Event.PEER_UP, "s1")
    assert lines == ["WARNING 202 peer down s1 state=unreachable", "ERROR 507 disk nearly full"]


@test("the log line of a dead letter contains the reason that operators search for")
def _() -> None:
    message = record("m1")
    message.attempts = 3
    with log_lines(logging.INFO) as lines:
        for reason in UndeliverableReason:
            log_undeliverable(message, reason)
    reasons = ("422", "attempts=3", "its route is gone", "retention")
    assert lines == [f"INFO 601 message dead-lettered m1 {reason}" for reason in reasons]
