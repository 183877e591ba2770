"""The last good set, kept in the state folder: a restart goes on with it while the files are broken."""

from __future__ import annotations

import json
import os
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from emberlatch.inventory.model import Endpoint, Inventory

NAME = "inventory.json"
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
    endpoints = [asdict(endpoint) for endpoint in inventory.endpoints.values()]
    document = {"version": _VERSION, "taken": taken, "digest": inventory.digest, "endpoints": endpoints}
    new = folder / f"{NAME}.new"
    new.write_text(json.dumps(document, separators=(",", ":")))
    os.replace(new, folder / NAME)


def recall(folder: Path) -> LastGood | None:
    """The set that was kept, or None if there is none or it can't be read or is not what was written."""
    try:
        document = json.loads((folder / NAME).read_bytes())
        if document["version"] != _VERSION:
            return None
        inventory = Inventory(map(_endpoint, document["endpoints"]))
        return LastGood(inventory, document["taken"]) if inventory.digest == document["digest"] else None
    except (OSError, ValueError, KeyError, TypeError):
        return None


def _endpoint(values: dict[str, object]) -> Endpoint:
    endpoint = Endpoint(**values)  # type: ignore[arg-type]
    host, port = endpoint.address
    object.__setattr__(endpoint, "address", (host, port))
    object.__setattr__(endpoint, "tags", tuple(endpoint.tags))
    return endpoint
