"""How far a batch is, on disk: a line for each step that somebody outside may have seen, synced before it."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any


class Progress:
    """Appends to one file. A last line that is torn was no step: nothing was done upon it."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.steps: list[dict[str, Any]] = []
        if path.exists():
            raw = path.read_bytes()
            whole = raw[: raw.rfind(b"\n") + 1]
            self.steps = [json.loads(line) for line in whole.splitlines()]
            if len(whole) < len(raw):
                with path.open("r+b") as file:
                    file.truncate(len(whole))
        self._file = path.open("ab")

    def note(self, **step: Any) -> None:
        """A step; it is on disk when this returns."""
        self.steps.append(step)
        self._file.write(json.dumps(step, separators=(",", ":")).encode() + b"\n")
        self._file.flush()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """No more steps."""
        self._file.close()
