"""An inventory as CSV or YAML text, which read again gives the same set."""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Iterator

from emberlatch.inventory.fields import FIELDS
from emberlatch.inventory.model import UNNUMBERED, Endpoint, Inventory


def cells(endpoint: Endpoint) -> dict[str, str]:
    """The cells of an endpoint; those that a reader would add by itself are empty."""
    return {
        "id": endpoint.id,
        "address": endpoint.host_port,
        "destination": str(endpoint.destination) if endpoint.destination < UNNUMBERED else "",
        "partner": endpoint.partner,
        "kind": endpoint.kind,
        "wing": endpoint.wing,
        "protocol": endpoint.protocol,
        "limit": f"{endpoint.limit:.6f}".rstrip("0").rstrip(".") if endpoint.limit else "",
        "phase": endpoint.phase,
        "tags": " ".join(endpoint.tags),
    }


def to_csv(inventory: Inventory) -> str:
    """All endpoints by id, with a header."""
    text = io.StringIO()
    writer = csv.DictWriter(text, FIELDS, lineterminator="\n")
    writer.writeheader()
    writer.writerows(map(cells, inventory.endpoints.values()))
    return text.getvalue()


def to_yaml(inventory: Inventory) -> str:
    """All endpoints by id, in one group for each kind and wing."""
    return "".join(f"{line}\n" for line in _yaml(inventory))


def _yaml(inventory: Inventory) -> Iterator[str]:
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for endpoint in inventory.endpoints.values():
        groups.setdefault((endpoint.kind, endpoint.wing), []).append(endpoint)
    yield "all:"
    yield "  children:"
    for (kind, wing), endpoints in sorted(groups.items()):
        yield f"    {_quoted(f'{kind}.{wing}'[:64])}:"
        yield f"      vars: {{kind: {_quoted(kind)}, wing: {_quoted(wing)}}}"
        yield "      hosts:"
        for endpoint in endpoints:
            yield f"        {_quoted(endpoint.id)}: {{{_fields(endpoint)}}}"


def _fields(endpoint: Endpoint) -> str:
    told = {k: v for k, v in cells(endpoint).items() if v and k not in ("id", "kind", "wing")}
    numbers = ("limit", "destination")
    return ", ".join(f"{k}: {v if k in numbers else _quoted(v)}" for k, v in told.items())


def _quoted(text: str) -> str:
    return json.dumps(text, ensure_ascii=False)  # a JSON string is a YAML one
