"""Parsers for what a member process writes: its log on stderr and the outcome file in its state folder."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from emberlatch.storm.history import EventKind, Payload

SERVING_EVENT = "serving"
DROPPED_FIELDS = ("timestamp", "logger")


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A log event: its name and its fields. All events at level error or critical are named ERROR_LOGGED."""

    name: str
    fields: Payload

    @property
    def is_text(self) -> bool:
        """Whether the name is a sentence for people; names of events have no spaces."""
        return " " in self.name


def parse_log_line(line: bytes) -> LoggedEvent | None:
    """Return the event of a log line, or None if the line is not a JSON log event."""
    try:
        fields = json.loads(line)
        name = str(fields.pop("event"))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    if fields.get("level") in ("error", "critical"):
        fields["text"], name = name, EventKind.ERROR_LOGGED
    for key in DROPPED_FIELDS:
        fields.pop(key, None)
    return LoggedEvent(name, fields)


class OutcomeReader:
    """Reads the outcomes that a gateway appends to a file, and returns each of them once."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = 0  # position in the file, in bytes

    def restart(self) -> None:
        """Read from the beginning of the file next time, because the file was deleted."""
        self._offset = 0

    def read_new(self) -> list[Payload]:
        """Return the outcomes in the complete lines that were written since the last call."""
        try:
            with self._path.open("rb") as file:
                file.seek(self._offset)
                data = file.read()
        except FileNotFoundError:
            return []
        complete = data[: data.rfind(b"\n") + 1]
        self._offset += len(complete)
        outcomes = []
        for line in complete.splitlines():
            try:
                outcome = json.loads(line)
                outcomes.append({key: outcome[key] for key in ("id", "state", "ref")})
            except (ValueError, KeyError, TypeError):
                continue  # a kill cut this line off; the next process writes the outcome again
        return outcomes
