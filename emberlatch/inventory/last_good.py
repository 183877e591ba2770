"""Stores the last valid inventory in the state folder; it is used if the files are invalid at a restart.

The file has JSON lines: a header with version, time and digest, then one endpoint per line.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import dataclass
from itertools import chain
from pathlib import Path

from emberlatch.inventory.model import Endpoint, Inventory

FILE_NAME = "inventory.jsonl"
WRITE_BUFFER_BYTES = 1 << 20
_FORMAT_VERSION = 1

_STORED_KEYS = {
    "id": "id",
    "address": "address",
    "partner": "partner",
    "destination": "destination",
    "kind": "kind",
    "wing": "wing",
    "protocol": "protocol",
    "limit": "limit",
    "draining": "draining",
    "tags": "tags",
}
"""Attribute of `Endpoint` -> key in the stored file, in the order of the keys. The keys must never change."""


@dataclass(frozen=True, slots=True)
class LastGoodInventory:
    """An inventory, and the Unix time in seconds from which the gateway used it."""

    inventory: Inventory
    taken_at: float

    def __str__(self) -> str:
        when = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(self.taken_at))
        return f"set {self.inventory.digest} of {when} with {len(self.inventory)} endpoints"


def save(folder: Path, inventory: Inventory, taken_at: float) -> None:
    """Replace the stored inventory; if that raises OSError, the stored inventory is unchanged."""
    new = folder / f"{FILE_NAME}.new"
    header = {"version": _FORMAT_VERSION, "taken": taken_at, "digest": inventory.digest}
    # A single `json.dumps` call for all endpoints would block the event loop, as it does not release the
    # interpreter lock. Many small writes would block it too: each releases the lock only for an instant, so
    # that the event loop's thread rarely gets it.
    with new.open("w", buffering=WRITE_BUFFER_BYTES) as file:
        for document in chain([header], map(_to_document, inventory.endpoints.values())):
            file.write(json.dumps(document, separators=(",", ":")) + "\n")
    os.replace(new, folder / FILE_NAME)


def load(folder: Path) -> LastGoodInventory | None:
    """Load the stored inventory; None if none is stored, it can't be read or its digest doesn't match."""
    try:
        with (folder / FILE_NAME).open() as file:
            header = json.loads(file.readline())
            if header["version"] != _FORMAT_VERSION:
                return None
            inventory = Inventory(_from_line(line) for line in file)
        if inventory.digest != header["digest"]:
            return None
        return LastGoodInventory(inventory, header["taken"])
    except (OSError, ValueError, KeyError, TypeError):
        return None


def _to_document(endpoint: Endpoint) -> dict[str, object]:
    return {key: getattr(endpoint, attribute) for attribute, key in _STORED_KEYS.items()}


def _from_line(line: str) -> Endpoint:
    """Decode an endpoint; raises ValueError, KeyError or TypeError. Keys with a default may be missing."""
    document = json.loads(line)
    if unknown := set(document) - set(_STORED_KEYS.values()):
        raise ValueError(f"unknown keys {sorted(unknown)}")
    attributes = {name: document[key] for name, key in _STORED_KEYS.items() if key in document}
    host, port = document["address"]
    return Endpoint(**attributes | {"address": (host, port), "tags": tuple(document["tags"])})
