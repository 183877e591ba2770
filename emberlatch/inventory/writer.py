"""Writes an inventory as CSV or YAML text. Parsing the text gives an equal inventory."""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Iterator

from emberlatch.inventory.fields import FIELDS
from emberlatch.inventory.model import FIRST_DERIVED_DESTINATION, Endpoint, Inventory

_GROUP_FIELDS = ("id", "kind", "wing")
"""Fields that are not in a host's mapping in YAML: `id` is the host's key, the others are group vars."""

_NUMBERS = ("limit", "destination")
_MAX_GROUP_CHARACTERS = 64


def cells(endpoint: Endpoint) -> dict[str, str]:
    """Return the cells of an endpoint by field. A value that a parser derives itself is left empty."""
    derived = endpoint.destination >= FIRST_DERIVED_DESTINATION
    return {
        "id": endpoint.id,
        "address": endpoint.host_port,
        "destination": "" if derived else str(endpoint.destination),
        "partner": endpoint.partner,
        "kind": endpoint.kind,
        "wing": endpoint.wing,
        "protocol": endpoint.protocol,
        "limit": f"{endpoint.limit:.6f}".rstrip("0").rstrip(".") if endpoint.limit else "",
        "phase": endpoint.phase,
        "tags": " ".join(endpoint.tags),
    }


def to_csv(inventory: Inventory) -> str:
    """Return CSV text with a header and all endpoints, ordered by id."""
    text = io.StringIO()
    writer = csv.DictWriter(text, FIELDS, lineterminator="\n")
    writer.writeheader()
    writer.writerows(map(cells, inventory.endpoints.values()))
    return text.getvalue()


def to_yaml(inventory: Inventory) -> str:
    """Return YAML text with one group per kind and wing, and its endpoints ordered by id."""
    return "".join(f"{line}\n" for line in _yaml_lines(inventory))


def _yaml_lines(inventory: Inventory) -> Iterator[str]:
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for endpoint in inventory.endpoints.values():
        groups.setdefault((endpoint.kind, endpoint.wing), []).append(endpoint)
    yield "all:"
    yield "  children:"
    for (kind, wing), endpoints in sorted(groups.items()):
        yield f"    {_quoted(f'{kind}.{wing}'[:_MAX_GROUP_CHARACTERS])}:"
        yield f"      vars: {{kind: {_quoted(kind)}, wing: {_quoted(wing)}}}"
        yield "      hosts:"
        for endpoint in endpoints:
            yield f"        {_quoted(endpoint.id)}: {{{_host_fields(endpoint)}}}"


def _host_fields(endpoint: Endpoint) -> str:
    own = {field: text for field, text in cells(endpoint).items() if text and field not in _GROUP_FIELDS}
    return ", ".join(
        f"{field}: {text if field in _NUMBERS else _quoted(text)}" for field, text in own.items()
    )


def _quoted(text: str) -> str:
    return json.dumps(text, ensure_ascii=False)  # every JSON string is a valid YAML string
