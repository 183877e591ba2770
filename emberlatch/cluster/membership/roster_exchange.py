"""How the rosters of all processes become equal.

A store that learns of a new store sends one update about it to the others. Each heartbeat carries a digest of
the sender's stores. A process whose own digest differs requests the sender's roster, and so also learns of
stores whose update was lost.
"""

from __future__ import annotations

import asyncio
import contextlib

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.membership.links import PeerLinks
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.messages import MembershipUpdate
from emberlatch.cluster.membership.roster import Roster
from emberlatch.cluster.membership.roster_storage import RosterStorage
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcConnection, RpcMethod
from emberlatch.engine import Tasks

ROSTER_REQUEST_INTERVAL_S = 1.5  # minimum seconds between two requests for another roster
ROSTER_REQUEST_TIMEOUT_S = 1.0  # seconds to wait for the answer
UPDATE_BATCH_DELAY_S = 0.1  # seconds for which new stores are collected into one update
_NEVER = -1e9  # a loop time earlier than any request


class RosterExchange:
    """Applies updates of other processes to the roster. `storage` is None if this process is not a store."""

    def __init__(self, roster: Roster, links: PeerLinks, tasks: Tasks, storage: RosterStorage | None) -> None:
        self._roster, self._links, self._tasks, self._storage = roster, links, tasks, storage
        self._requested_at = _NEVER  # loop time of the last request for a roster
        self._pending_stores: dict[str, Member] = {}  # stores to send with the next update, by node

    def restore(self) -> None:
        """Add the stores that the previous incarnation knew. Raises OSError if the disk can't be read."""
        assert self._storage is not None
        for member in self._storage.load():
            self._roster.add(member)

    def create_update(self) -> MembershipUpdate:
        """The description of this process and, if it is a store, of all stores that it knows."""
        me = self._roster.me
        return MembershipUpdate(me, tuple(self._roster.stores()) if me.store else ())

    def apply_update(self, update: MembershipUpdate, link: Peer | RpcConnection | None) -> None:
        """Apply an update of another process; `link` is the link to that process."""
        sender, now = update.me, asyncio.get_running_loop().time()
        new_stores = [m for m in (*update.roster, sender) if self._roster.add(m) and m.store]
        self._roster.renew(sender.node, now)
        if link is not None:
            link.name = sender.node
        if sender.node in self._links.missing_witnesses():
            self._links.dial()
        if not new_stores:
            return
        for member in new_stores:
            log_event(Event.MEMBER_JOINED, member.node, member.ip, incarnation=member.incarnation)
        self._links.dial()
        if self._storage is not None:
            self._storage.save(self._roster.stores())
            self._schedule_update(new_stores)

    def _schedule_update(self, new_stores: list[Member]) -> None:
        if not self._pending_stores:
            asyncio.get_running_loop().call_later(UPDATE_BATCH_DELAY_S, self._send_updates)
        self._pending_stores.update((member.node, member) for member in new_stores)

    def _send_updates(self) -> None:
        """Notify the other stores, and the forwarders that dialled this one, of the new stores."""
        new_stores, self._pending_stores = self._pending_stores, {}
        payload = MembershipUpdate(self._roster.me, tuple(new_stores.values())).to_wire()
        for peer in self._links.reachable_stores():
            peer.notify(RpcMethod.MEMBERSHIP_UPDATE, payload)
        for connection in self._links.inbound_connections():
            member = self._roster.members.get(connection.name)
            if member is not None and not member.store:
                connection.notify(RpcMethod.MEMBERSHIP_UPDATE, payload)

    def compare_digest(self, peer: Peer, digest: int | None) -> None:
        """Request a peer's roster if its digest differs, at most once per `ROSTER_REQUEST_INTERVAL_S`."""
        now = asyncio.get_running_loop().time()
        differs = digest is not None and digest != self._roster.digest()
        if differs and now - self._requested_at > ROSTER_REQUEST_INTERVAL_S:
            self._requested_at = now
            self._tasks.spawn(self._request_roster(peer))

    async def _request_roster(self, peer: Peer) -> None:
        with contextlib.suppress(CallFailedError):  # the next heartbeat with another digest causes a retry
            payload = await peer.call(RpcMethod.ROSTER, None, ROSTER_REQUEST_TIMEOUT_S)
            self.apply_update(MembershipUpdate.from_wire(payload), peer)
