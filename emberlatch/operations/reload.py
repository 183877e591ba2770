"""Reload of settings, without I/O: which keys a new file lacks, and which settings take effect at once."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from emberlatch.core import interface as api

RELOADABLE_SETTINGS = (
    "categories",
    "tenants",
    "max_attempts",
    "slots",
    "open_cap",
    "forwarders",
    "over_quota_value_factor",
    "decay",
    "retry_after",
    "max_retry_after",
)
"""Settings that take effect at once.

The others need a restart, because lists of targets and calls in flight depend on them.
"""
MEMBER_LIST_KEY = "known"
"""The key of the list of targets. The lists are not compared: targets differ and are validated one by one."""


def with_reloadable(current: api.Settings, new: api.Settings) -> api.Settings:
    """Return the current settings, with the reloadable settings replaced by those of `new`."""
    return replace(current, **{name: getattr(new, name) for name in RELOADABLE_SETTINGS})


def missing_key(current: Mapping[str, object], new: Mapping[str, object], path: str = "") -> str | None:
    """Return the path of the first key of the current file that the new file lacks or sets to null.

    Returns None if there is no such key.

    Each object in a list, such as a class, must have the keys that all objects of the current list have.
    """
    for key, value in current.items():
        key_path = f"{path}{key}"
        new_value = new.get(key)
        if value is not None and new_value is None:
            return key_path
        if key_path == MEMBER_LIST_KEY:
            continue
        missing: str | None = None
        if isinstance(value, Mapping) and isinstance(new_value, Mapping):
            missing = missing_key(value, new_value, f"{key_path}.")
        elif isinstance(value, list) and isinstance(new_value, list):
            missing = _missing_key_in_list(value, new_value, f"{key_path}[].")
        elif isinstance(value, Mapping | list):
            return key_path
        if missing is not None:
            return missing
    return None


def _missing_key_in_list(current: Sequence[object], new: Sequence[object], path: str) -> str | None:
    """Return the path of the first key that an object in the new list lacks, or None; see `missing_key`.

    If the current list is empty or contains anything but objects, the lists are not compared.
    """
    objects = [item for item in current if isinstance(item, Mapping)]
    if not objects or len(objects) < len(current):
        return None
    common = {key: value for key, value in objects[0].items() if all(key in item for item in objects)}
    for item in new:
        if not isinstance(item, Mapping):
            return path.removesuffix(".")
        if (missing := missing_key(common, item, path)) is not None:
            return missing
    return None
