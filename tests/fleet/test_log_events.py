"""The logged names of a member's events, which operators search for and stored histories contain."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest
import structlog

from emberlatch.fleet.log_events import FleetEvent
from emberlatch.storm import EventKind

ROOT = Path(__file__).parent.parent.parent
OPERATORS_PAGE = ROOT / "docs" / "operators" / "fleet.md"
STORED_NAMES = {
    FleetEvent.MEMBER_PROCESS_STARTED: "life",
    FleetEvent.LEAVING: "leaves",
    FleetEvent.HALTED: "halted",
    FleetEvent.GENERATION_ADVANCED: "new_life",
    FleetEvent.SUSPICION_REFUTED: "refuted",
    FleetEvent.STALL_DETECTED: "stalled",
    FleetEvent.ISOLATED: "cut",
    FleetEvent.MAJORITY_REACHED: "majority",
    FleetEvent.QUOTA_SHARE_CHANGED: "standing",
    FleetEvent.PEER_STATE_CHANGED: "member",
    FleetEvent.PEER_REACHED_DIRECTLY: "reached",
    FleetEvent.PEER_REACHED_INDIRECTLY: "unreached",
    FleetEvent.LINK_REFUSED: "link_refused",
    FleetEvent.ENDPOINT_REPORTED: "told_of",
}


def documented_names() -> list[str]:
    """Return the names in the first column of the operators' table of log events."""
    _, table = OPERATORS_PAGE.read_text(encoding="utf-8").split("| in the log | means |\n| --- | --- |\n")
    rows = table.split("\n\n")[0].splitlines()
    return [name for row in rows for name in re.findall(r"`([a-z_]+)`", row.split("|")[1])]


def test_the_operators_table_has_each_event_once_and_nothing_else() -> None:
    assert sorted(documented_names()) == sorted(FleetEvent)


def test_the_logged_names_are_unchanged() -> None:
    assert {event: event.value for event in FleetEvent} == STORED_NAMES


@pytest.mark.parametrize("event", FleetEvent)
def test_an_event_is_rendered_as_its_plain_name(event: FleetEvent) -> None:
    name = STORED_NAMES[event]
    as_json, as_text = structlog.processors.JSONRenderer(), structlog.dev.ConsoleRenderer(colors=False)
    assert as_json(None, "info", {"event": event}) == json.dumps({"event": name})
    assert as_text(None, "info", {"event": event, "a": 1}) == as_text(None, "info", {"event": name, "a": 1})


def test_histories_use_the_logged_names() -> None:
    """A kind of history event with the same identifier as a member's event has the same stored name."""
    shared = [kind for kind in EventKind if kind.name in FleetEvent.__members__]
    assert len(shared) == 9
    for kind in shared:
        assert kind.value == FleetEvent[kind.name].value and type(kind.value) is str
