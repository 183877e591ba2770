"""Ownership of messages: whether this store may deliver, and how it passes its messages to other stores.

`Record.owner` names the owner, and `Record.epoch` is the epoch of that ownership; of two queued copies the
later epoch counts. Only the owner delivers. Ownership changes here by hand-over: the owner passes a message
to another store, with the next epoch. It also changes by takeover, once the owner has surely stopped (see
`takeover`), and when an ingress node submits a message to a second store (see `accept_service` and
`cancellation.Cancellation.probe`).
"""

from __future__ import annotations

import asyncio
import contextlib

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.local_store import LocalStore
from emberlatch.cluster.message_store.messages import MessageIds, StateReport
from emberlatch.cluster.message_store.ownership_messages import AssumeOwnershipRequest, OwnershipOffer
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import Record
from emberlatch.cluster.message_store.repair import NEVER, Repair, split
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.rpc import CallFailedError, Peer, PeerState, RpcMethod

# Seconds. An owner that is unreachable for longer has surely stopped delivering, because its own links have
# timed out as well (see `rpc.peer`).
LEASE_S = 2.4
REFUSED_PORT_S = 0.25  # a process whose port has refused connections for longer has ended
# A longer gap between ticks shows that this process was suspended, so that others may have taken over.
MAX_TICK_GAP_S = 0.7
HAND_OVER_TIMEOUT_S = 1.0  # timeout of one ASSUME_OWNERSHIP call
MAX_HANDED_OVER_RECORDS = 500  # maximum number of records in one request


class Ownership:
    """Decides whether this process may deliver and which stores have stopped, and hands messages over."""

    def __init__(
        self, local_store: LocalStore, repair: Repair, reports: ReplicaReports, cluster: ClusterView
    ) -> None:
        self._local_store, self._repair, self._cluster = local_store, repair, cluster
        self._reports = reports
        self._ticked_at = asyncio.get_running_loop().time()
        # Last time at which this process had no majority contact. It may have been partitioned until then:
        # that it could not reach a peer does not show that the peer stopped.
        self._cut_off_at = NEVER
        self._stalled_at = NEVER  # end of the last suspension of this process
        self._handing_over: set[str] = set()  # ids of records that are being offered to another store
        # Ids of records that were offered to a store which has not answered, and the name of that store.
        self._unanswered_offers: dict[str, str] = {}

    # Permission to deliver.

    def may_deliver(self) -> bool:
        """Return True if no other store can have taken over the messages that this process owns.

        This requires a majority of voters that are in contact with this process or have surely stopped. After
        a suspension this process must first have compared its records with all stores that are up.
        """
        return self._cluster.has_majority_contact() and not self._may_have_lost_ownership()

    def _may_have_lost_ownership(self) -> bool:
        """Return whether this process was suspended and has not yet compared with all stores that are up."""
        if asyncio.get_running_loop().time() - self._ticked_at > MAX_TICK_GAP_S:
            return True
        repaired_at, stalled_at = self._repair.repaired_at, self._stalled_at
        stores = self._cluster.counted_stores()
        return any(p.up and repaired_at.get(n, NEVER) < stalled_at for n, p in stores.items())

    def tick(self, now: float) -> None:
        """Record the time of a tick. Must be called often: a gap shows that this process was suspended."""
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self._stalled_at = now
            self._repair.repaired_at.clear()
            log_event(Event.PROCESS_STALLED, seconds=f"{now - self._ticked_at:.2f}")
        if not self._cluster.has_majority_contact():
            self._cut_off_at = now
        self._ticked_at = now

    # Hand-over.

    async def hand_over(self, records: list[Record]) -> None:
        """Make other stores the owners of these records, with the next epoch.

        Used at shutdown, at decommissioning and on a disk fault. Also used for a message whose acceptance
        ends after this store has left the phase `SERVING`. This process remains the owner of records that
        cannot be handed over: the caller tries again, or the process ends and others take over. Two kinds of
        records are left out: those that are being handed over already, since two stores must not be offered
        the same epoch; and those that were offered to a store which may still take them.
        """
        excluded = self._handing_over | self._unanswered_offers.keys()
        by_owner = self._choose_owners([r for r in records if r.id not in excluded])
        chosen = {record.id for theirs in by_owner.values() for record in theirs}
        self._handing_over |= chosen
        try:
            stores = self._cluster.counted_stores()
            _, *taken = await asyncio.gather(
                self._resolve_unanswered_offers(),
                *(self._hand_over_to(stores[name], theirs) for name, theirs in by_owner.items()),
            )
        finally:
            self._handing_over -= chosen
        counts = {name: count for name, count in zip(by_owner, taken, strict=True) if count}
        if counts:
            log_event(Event.OWNERSHIP_HANDED_OVER, **counts)

    def _choose_owners(self, records: list[Record]) -> dict[str, list[Record]]:
        """Choose a writable store for each owned record: the first of its replicas, if one is writable.

        A replica that misses the hand-over's report chooses by the same order; see `takeover`.
        """
        by_owner: dict[str, list[Record]] = {}
        writable = [peer.name for peer in self._cluster.writable_stores()]
        for position, record in enumerate(records):
            if writable and record.is_queued and record.owner == self._local_store.me:
                fallback = writable[position % len(writable)]
                owner = next((node for node in record.replicas if node in writable), fallback)
                by_owner.setdefault(owner, []).append(record)
        return by_owner

    async def _hand_over_to(self, peer: Peer, records: list[Record]) -> int:
        """Pass records to one store until it fails to answer; return how many it took."""
        with contextlib.suppress(CallFailedError):
            for part in split(records, MAX_HANDED_OVER_RECORDS):
                await self._pass_to(peer, part)
        return sum(record.owner == peer.name for record in records)

    async def _pass_to(self, peer: Peer, records: list[Record]) -> None:
        """Pass some records to one store, with copies of those that it lacks. Raises CallFailedError."""
        without_copy = [r for r in records if peer.name not in r.replicas]
        for record in records:
            self._local_store.add_replica_holders(record, [*record.unconfirmed_replicas, peer.name])
        await self._repair.send(peer, without_copy)
        missing = await self._offer(peer, records)
        if missing:  # the peer has received no copy, or its disk accepts no writes
            await self._repair.send(peer, missing)
            await self._offer(peer, missing)

    async def _offer(self, peer: Peer, records: list[Record]) -> list[Record]:
        """Offer the ownership of records to a peer; return those that it did not take.

        Raises CallFailedError if the peer does not answer. It may have taken them, or take them late: this
        process then owns them with a later epoch than the offered one, and offers them to no other store
        until that peer has said what it knows of them.
        """
        offers = tuple(OwnershipOffer(r.id, r.epoch + 1, r.attempts) for r in records)
        request = AssumeOwnershipRequest(offers)
        try:
            reply = await peer.call(RpcMethod.ASSUME_OWNERSHIP, request.to_wire(), HAND_OVER_TIMEOUT_S)
        except CallFailedError as error:
            if error.may_have_arrived:
                self._supersede_offers(peer, offers)
            raise
        missing = set(MessageIds.from_wire(reply).ids)
        accepted = []
        for record, offer in zip(records, offers, strict=True):
            if record.id not in missing:
                self._local_store.set_owner(record, offer.epoch, peer.name, record.attempts)
                accepted.append(record)
        self._reports.add(accepted)
        return [record for record in records if record.id in missing]

    def _supersede_offers(self, peer: Peer, offers: tuple[OwnershipOffer, ...]) -> None:
        """Keep the ownership of records that a peer was offered, with the epoch after the offered one."""
        for offer in offers:
            record = self._local_store.index.records.get(offer.id)
            if record is not None and self._local_store.owns_with_body(record):
                self._local_store.set_owner(record, offer.epoch + 1, record.owner, record.attempts)
                self._unanswered_offers[record.id] = peer.name

    async def _resolve_unanswered_offers(self) -> int:
        """Ask the stores that have not answered an offer whether they took the message.

        Return the number of offers that were open.
        """
        unanswered = list(self._unanswered_offers.items())
        await asyncio.gather(*(self._resolve_offer(id, node) for id, node in unanswered))
        return len(unanswered)

    async def _resolve_offer(self, id: str, node: str) -> None:
        """Ask a store about a record that it was offered; forget the offer once that is known.

        The store keeps the message if it delivers it already. Otherwise it learns that this process owns it,
        with a later epoch than that of the offer, which has no effect if it arrives after that.
        """
        record = self._local_store.index.records.get(id)
        peer = self._cluster.stores().get(node)
        now = asyncio.get_running_loop().time()
        if peer is None or self.has_surely_stopped(peer, now):
            record = None
        if peer is not None and record is not None and self._local_store.owns_with_body(record):
            report = self._local_store.state_report(record)
            try:
                reply = await peer.call(RpcMethod.PROBE, report.to_wire(), HAND_OVER_TIMEOUT_S)
            except CallFailedError:
                return
            self._local_store.merge_report(record, StateReport.from_wire(reply))
        self._unanswered_offers.pop(id, None)

    def assume_ownership(self, request: AssumeOwnershipRequest) -> MessageIds:
        """Handle ASSUME_OWNERSHIP: become the owner of the offered messages.

        Return the ids of messages of which this store has no copy; all ids if its disk accepts no writes.
        """
        if not self._local_store.writable:
            return MessageIds(tuple(offer.id for offer in request.offers))
        missing = []
        for offer in request.offers:
            record = self._local_store.index.records.get(offer.id)
            if record is None:
                missing.append(offer.id)
            else:
                self._local_store.set_owner(record, offer.epoch, self._local_store.me, offer.attempts)
        return MessageIds(tuple(missing))

    # Stores that have stopped.

    def has_surely_stopped(self, peer: Peer, now: float) -> bool:
        """Return whether a peer surely delivers nothing.

        Its process has ended, can't read its disk, or has lost contact with a majority of the voters.
        """
        if peer.state is PeerState.REFUSED:  # a later handshake comes from a new incarnation
            return (
                peer.last_inbound_handshake_at < peer.state_since and now - peer.state_since > REFUSED_PORT_S
            )
        if peer.up and self._cluster.disk_unreadable_s(peer.name) > REFUSED_PORT_S:
            return self.may_deliver()  # a peer that has not read its disk does not know what it owns
        since = max(peer.last_up_at, peer.created_at, peer.last_inbound_handshake_at, self._cut_off_at)
        if peer.up or now - since <= LEASE_S or not self.may_deliver():
            return False
        return self._cluster.unreachable_s(peer.name) > LEASE_S  # other voters may still reach it
