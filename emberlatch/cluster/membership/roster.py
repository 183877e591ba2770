"""The members that this process knows. Pure: each call receives the current time.

A member is identified by its node, and its incarnation number increases with each start. Each message from a
member to this process renews the member's lease. A report from a third process may add a member to the roster
but does not renew its lease.
"""

from __future__ import annotations

from zlib import crc32

from emberlatch.cluster.membership.member import Member

MAX_MEMBERS = 4096
_NEVER = -1e9  # a loop time earlier than any message


class Roster:
    """The members by node; `me` is always one of them."""

    def __init__(self, me: Member) -> None:
        self.me = me
        self.members: dict[str, Member] = {me.node: me}
        self._renewed_at: dict[str, float] = {}  # loop time of the last message from each node
        self._removed: dict[str, int] = {}  # removed incarnations; a late update must not add them again
        self._digest: int | None = None  # None if it must be computed
        self._stores: list[Member] | None = None  # sorted by node; None if it must be computed

    def add(self, member: Member) -> bool:
        """Add a member or a later incarnation of one; return whether the roster has changed."""
        known = self.members.get(member.node)
        if member.node == self.me.node or (known is not None and known.incarnation >= member.incarnation):
            return False
        if known is None and not self._may_join(member):
            return False
        self.members[member.node] = member
        self._invalidate()
        return True

    def _may_join(self, member: Member) -> bool:
        removed = self._removed.get(member.node, -1) >= member.incarnation
        return not removed and len(self.members) < MAX_MEMBERS

    def _invalidate(self) -> None:
        self._digest = self._stores = None

    def renew(self, node: str, now: float) -> None:
        """Renew the lease of a member whose message arrived at the loop time `now`."""
        if node in self.members:
            self._renewed_at[node] = now

    def renewed_at(self, node: str) -> float:
        """The loop time of the last message from a member; far in the past if there was none."""
        return self._renewed_at.get(node, _NEVER)

    def remove(self, node: str) -> None:
        """Remove a member. A removed store can join again only with a later incarnation."""
        member = self.members.get(node)
        if member is not None and node != self.me.node:
            del self.members[node]
            self._renewed_at.pop(node, None)
            self._invalidate()
            if member.store and len(self._removed) < MAX_MEMBERS:
                self._removed[node] = member.incarnation

    def expire_leases(self, before: float) -> list[str]:
        """Remove forwarders whose lease was last renewed before the loop time `before`; return their nodes.

        Stores stay until the control state excludes them, since the messages on their disks are still needed.
        """
        expired = [
            node
            for node, member in self.members.items()
            if not member.store and node != self.me.node and self.renewed_at(node) < before
        ]
        for node in expired:
            self.remove(node)
        return expired

    def stores(self) -> list[Member]:
        """All members that are stores, sorted by node."""
        if self._stores is None:
            self._stores = sorted((m for m in self.members.values() if m.store), key=lambda m: m.node)
        return self._stores

    def digest(self) -> int:
        """A checksum of the stores and their incarnations; equal rosters have equal checksums."""
        if self._digest is None:
            self._digest = crc32(" ".join(f"{m.node}/{m.incarnation}" for m in self.stores()).encode())
        return self._digest
