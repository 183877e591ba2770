"""Parses durations and sizes, which the configuration file gives with a unit."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import BeforeValidator

_QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]*)")
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_PER_UNIT = {"B": 1, "KB": 10**3, "MB": 10**6, "GB": 10**9, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}


def _quantity(value: object, units: dict[str, float] | dict[str, int], example: str) -> float:
    match = _QUANTITY.fullmatch(value.strip()) if isinstance(value, str) else None
    if match is None or match[2] not in units:
        known = ", ".join(units)
        raise ValueError(f"must be a number with a unit ({known}) in quotes, like {example!r}")
    return float(match[1]) * units[match[2]]


def parse_duration(value: object) -> float:
    """Parse a duration like `"500ms"` or `"25s"` to seconds; raises ValueError with the remedy."""
    return _quantity(value, SECONDS_PER_UNIT, "500ms")


def parse_size(value: object) -> int:
    """Parse a size like `"64KiB"` to bytes; raises ValueError with the remedy."""
    return round(_quantity(value, BYTES_PER_UNIT, "64KiB"))


Duration = Annotated[float, BeforeValidator(parse_duration)]
"""A duration, in seconds once parsed."""

Size = Annotated[int, BeforeValidator(parse_size)]
"""A size, in bytes once parsed."""
