"""New settings held against those in force, without I/O: what a file lacks, and what binds at once."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from emberlatch.core import interface as api

AT_ONCE = (
    "categories",
    "tenants",
    "max_attempts",
    "slots",
    "open_cap",
    "forwarders",
    "over_share_worth",
    "decay",
    "retry_after",
    "max_retry_after",
)
"""What binds at once. The rest is read by lists and calls that are out, and binds at the next start."""
UNLIKE = "known"  # holds a list of targets, which differ and are read one by one


def merged(now: api.Settings, new: api.Settings) -> api.Settings:
    """The settings in force once the new ones are taken."""
    return replace(now, **{name: getattr(new, name) for name in AT_ONCE})


def lacking(now: Mapping[str, Any], new: Mapping[str, Any], path: str = "") -> str | None:
    """The first key that the object in force has and the new one has not, or not with a value; None if all
    are there. Of objects in a list, such as classes, each must have what all of those in force have."""
    for key, value in now.items():
        here = f"{path}{key}"
        if value is not None and new.get(key) is None:
            return here
        if here == UNLIKE:
            continue
        found: str | None = None
        if isinstance(value, Mapping) and isinstance(new[key], Mapping):
            found = lacking(value, new[key], f"{here}.")
        elif isinstance(value, list) and isinstance(new[key], list):
            found = _lacking_in_list(value, new[key], f"{here}[].")
        elif isinstance(value, Mapping | list):
            return here
        if found is not None:
            return found
    return None


def _lacking_in_list(now: list[Any], new: list[Any], path: str) -> str | None:
    if not now or not all(isinstance(item, Mapping) for item in now):
        return None
    common = {key: value for key, value in now[0].items() if all(key in item for item in now)}
    for item in new:
        if not isinstance(item, Mapping):
            return path.removesuffix(".")
        if (found := lacking(common, item, path)) is not None:
            return found
    return None
