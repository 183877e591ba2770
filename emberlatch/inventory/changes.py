"""Compares the endpoints of two inventories, regardless of their files and rows."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields

from emberlatch.inventory.model import Endpoint, Inventory


@dataclass(frozen=True, slots=True)
class Change:
    """An endpoint before and after a change. `before` is None if it was added, `after` is None if removed."""

    before: Endpoint | None
    after: Endpoint | None

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint after the change, or before the change if the endpoint was removed."""
        endpoint = self.after or self.before
        assert endpoint is not None
        return endpoint

    @property
    def fields(self) -> list[str]:
        """The names of the fields that differ; empty for an added or removed endpoint."""
        if self.before is None or self.after is None:
            return []
        return [
            f.name for f in fields(Endpoint) if getattr(self.before, f.name) != getattr(self.after, f.name)
        ]

    def __str__(self) -> str:
        before, after, name = self.before, self.after, f"{self.endpoint.id} ({self.endpoint.partner})"
        if before is None:
            return f"+ {name}: added in {self.endpoint.wing} at {self.endpoint.host_port}, cold"
        if after is None:
            return f"- {name}: removed from {before.wing}"
        return f"~ {name}: " + ", ".join(_describe(field, before, after) for field in self.fields)


def _describe(field: str, before: Endpoint, after: Endpoint) -> str:
    """Describe one changed field for operators."""
    match field:
        case "draining":
            return "drains" if after.draining else "serves again"
        case "address":
            return f"moves from {before.host_port} to {after.host_port}"
        case "limit":
            return f"limit {before.limit or 'none'} -> {after.limit or 'none'}"
        case "tags":
            return f"tags {' '.join(before.tags) or 'none'} -> {' '.join(after.tags) or 'none'}"
        case _:
            return f"{field} {getattr(before, field)} -> {getattr(after, field)}"


def diff(old: Inventory, new: Inventory) -> list[Change]:
    """Return the changes from the inventory `old` to `new`, ordered by id.

    An endpoint that changed its wing or its destination is reported as one removed and one added.
    """
    return sorted(_changes(old, new), key=lambda change: (change.endpoint.id, change.after is not None))


def _changes(old: Inventory, new: Inventory) -> Iterator[Change]:
    for target, before in old.endpoints.items():
        after = new.endpoints.get(target)
        if before != after:
            yield Change(before, after)
    for target, after in new.endpoints.items():
        if target not in old.endpoints:
            yield Change(None, after)
