"""Checks changes of the configured members.

Only one member may change at a time. Any majority of the old list and any majority of the new list then have
a member in common.
"""

from __future__ import annotations

from collections.abc import Mapping

from emberlatch.engine import Address


def membership_change_error(old: Mapping[str, Address], new: Mapping[str, Address], own_name: str) -> str:
    """Return why a changed list of members is rejected, or an empty text if it is accepted.

    A member with a new address counts as one changed member.
    """
    if own_name not in new:
        return f"it does not contain {own_name!r}, which is this member"
    changed = {name for name in {*old, *new} if old.get(name) != new.get(name)}
    if len(changed) > 1:
        return f"{len(changed)} members change at once ({', '.join(sorted(changed))}); change one at a time"
    return ""
