"""Quantities with their units, as people write them."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator

_NUMBER = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)")
SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}


def _quantity(value: Any, units: dict[str, float] | dict[str, int], example: str) -> float:
    match = _NUMBER.fullmatch(value.strip()) if isinstance(value, str) else None
    if match is None or match[2] not in units:
        known = ", ".join(units)
        raise ValueError(f"must be a number with a unit ({known}) in quotes, like {example!r}")
    return float(match[1]) * units[match[2]]


def seconds(value: Any) -> float:
    """`"500ms"` or `"25s"` in seconds; ValueError says what would be right."""
    return _quantity(value, SECONDS, "500ms")


def octets(value: Any) -> int:
    """`"64KiB"` in bytes; ValueError says what would be right."""
    return round(_quantity(value, BYTES, "64KiB"))


Duration = Annotated[float, BeforeValidator(seconds)]
Size = Annotated[int, BeforeValidator(octets)]
