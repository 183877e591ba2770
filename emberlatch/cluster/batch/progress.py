"""The progress log of a batch job: one line per state change of an item, on disk before it takes effect."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Self


class ItemState(Enum):
    """The state of an item; the values are those of the log on disk."""

    WAITING = "waiting"
    SUBMITTING = "trying"  # its id is on disk, and its request may have been sent
    ACCEPTED = "taken"
    UNKNOWN = "unclear"  # whether it was accepted could not be determined
    REJECTED = "refused"  # a forwarder rejected it, and a retry would not help
    COMPLETED = "completed"
    DEAD_LETTERED = "dead_letter"


class ProgressLogError(ValueError):
    """A complete line of the progress log is malformed."""

    def __init__(self, path: Path, line: int, reason: object) -> None:
        super().__init__(
            f"{path}:{line}: not an entry of a batch's progress ({reason}); "
            "if this file is of another program, give another one with --progress"
        )


@dataclass(frozen=True, slots=True)
class ProgressEntry:
    """A state change of an item.

    Attributes:
        item: number of the item in the batch, from 0.
        state: the new state.
        id: message id of its last submission; empty before the first.
        attempts: number of submissions so far.
        seal: proof of execution; empty unless the item completed.
    """

    item: int
    state: ItemState
    id: str
    attempts: int
    seal: str = ""

    def to_json(self) -> bytes:
        """Encode the entry as a line of the log, without the newline."""
        fields: dict[str, object] = {
            "item": self.item,
            "step": self.state.value,
            "id": self.id,
            "tries": self.attempts,
        }
        if self.seal:
            fields["seal"] = self.seal
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def from_json(cls, line: bytes) -> Self:
        """Decode a line of the log.

        Raises:
            ValueError, KeyError, TypeError: the line is not an entry.
        """
        fields = json.loads(line)
        return cls(
            int(fields["item"]),
            ItemState(fields["step"]),
            str(fields["id"]),
            int(fields["tries"]),
            str(fields.get("seal", "")),
        )


class BatchProgress:
    """The progress log in one file, which is read and then opened for appending.

    An incomplete last line is removed: its entry was never synced, so it had no effects yet.

    Attributes:
        entries: all entries, the earliest first.

    Raises:
        ProgressLogError: a complete line is malformed.
        OSError: the file can't be opened.
    """

    def __init__(self, path: Path) -> None:
        self.entries: list[ProgressEntry] = []
        if path.exists():
            raw = path.read_bytes()
            complete = raw[: raw.rfind(b"\n") + 1]
            for number, line in enumerate(complete.splitlines(), 1):
                try:
                    self.entries.append(ProgressEntry.from_json(line))
                except (ValueError, KeyError, TypeError) as error:
                    raise ProgressLogError(path, number, error) from error
            if len(complete) < len(raw):
                with path.open("r+b") as file:
                    file.truncate(len(complete))
        self._file = path.open("ab")

    def append(self, entry: ProgressEntry) -> None:
        """Append an entry and sync it to disk."""
        self.entries.append(entry)
        self._file.write(entry.to_json() + b"\n")
        self._file.flush()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Close the file."""
        self._file.close()
