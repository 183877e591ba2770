"""The last good set, kept in the state folder: a restart goes on with it while the files are broken.

JSON lines: a head with version, time and digest, then an endpoint a line.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import dataclass, fields
from itertools import chain
from pathlib import Path
from typing import Any

from emberlatch.inventory.model import Endpoint, Inventory

NAME = "inventory.jsonl"
WRITTEN = 1 << 20  # bytes at once
_FIELDS = tuple(field.name for field in fields(Endpoint))
_VERSION = 1


@dataclass(frozen=True, slots=True)
class LastGood:
    """A set and when it was taken (Unix time in seconds)."""

    inventory: Inventory
    taken: float

    def __str__(self) -> str:
        when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(self.taken))
        return f"set {self.inventory.digest} of {when} with {len(self.inventory)} endpoints"


def keep(folder: Path, inventory: Inventory, taken: float) -> None:
    """Write a set in the place of the one before it; raises OSError, and then that one stays."""
    new = folder / f"{NAME}.new"
    head = {"version": _VERSION, "taken": taken, "digest": inventory.digest}
    # One call for all of them would hold the event loop while it lasts. So would many small writes: a thread
    # that lets go of the interpreter for a moment, again and again, does not let a waiting one in.
    with new.open("w", buffering=WRITTEN) as file:
        for document in chain([head], map(_document, inventory.endpoints.values())):
            file.write(json.dumps(document, separators=(",", ":")) + "\n")
    os.replace(new, folder / NAME)


def recall(folder: Path) -> LastGood | None:
    """The set that was kept, or None if there is none or it can't be read or is not what was written."""
    try:
        with (folder / NAME).open() as file:
            head = json.loads(file.readline())
            if head["version"] != _VERSION:
                return None
            inventory = Inventory(_endpoint(json.loads(line)) for line in file)
        return LastGood(inventory, head["taken"]) if inventory.digest == head["digest"] else None
    except (OSError, ValueError, KeyError, TypeError):
        return None


def _document(endpoint: Endpoint) -> dict[str, Any]:
    return {name: getattr(endpoint, name) for name in _FIELDS}


def _endpoint(values: dict[str, Any]) -> Endpoint:
    host, port = values["address"]
    return Endpoint(**values | {"address": (host, port), "tags": tuple(values["tags"])})
