"""Stores a member's generation in its state folder. Each new process takes the next generation."""

from __future__ import annotations

import json

from emberlatch.store import Files

GENERATION_FILE = "lives"  # has one line per generation; the last line is the current one
MAX_FILE_BYTES = 4096


class GenerationStore:
    """Reads and appends generations. `is_new` is true if the folder had none when it was opened."""

    def __init__(self, files: Files) -> None:
        """Read the last generation; raises OSError if the folder can't be read."""
        self._files = files
        self.last_generation, self.is_new = self._load()

    def _load(self) -> tuple[int, bool]:
        try:
            return int(json.loads(self._files.read(GENERATION_FILE).splitlines()[-1])), False
        except (FileNotFoundError, IndexError):
            return 0, True
        except (ValueError, TypeError):  # last line is no number, as after a kill: use the highest
            lines = self._files.read(GENERATION_FILE).splitlines()
            found = [int(line) for line in lines if line.isdigit()]
            return max(found, default=0), not found

    def save(self, generation: int) -> None:
        """Append a generation; raises OSError if it can't be written."""
        files = self._files
        if GENERATION_FILE in files.names() and len(files.read(GENERATION_FILE)) > MAX_FILE_BYTES:
            # If the process is killed after this, the next process learns the generation from its peers.
            files.remove(GENERATION_FILE)
        handle = files.append_to(GENERATION_FILE)
        try:
            files.write(handle, memoryview(f"{generation}\n".encode()))
        finally:
            files.close(handle)
