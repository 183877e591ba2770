"""Takeover: a store becomes the owner of the messages whose owner has surely stopped.

A copy can be out of date: the owner's last reports may not have arrived, or the owner may not have known of
the copy. So the store first asks all other stores what they know of the messages, and begins to own and
deliver only those of which none knows an end or another owner. Of two stores that are about to take over the
same message, the one with the lower name continues.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.messages import StateReport
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ownership_messages import (
    TakeoverCandidate,
    TakeoverInquiry,
    TakeoverReply,
)
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.message_store.repair import split
from emberlatch.cluster.message_store.replica_reports import ReplicaReports
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.engine import Tasks

MAX_CANDIDATES_PER_INQUIRY = 500
# A takeover skips one epoch: the stopped owner may have offered the message with the next one, and that offer
# may still arrive somewhere.
TAKEOVER_EPOCHS = 2
# Time within which a store that is not known to have stopped has to answer an inquiry. A store that stays
# silent for longer is about to lose its link, see `rpc.peer`; the takeover then continues without it.
INQUIRY_TIMEOUT_S = 1.0
INQUIRY_RETRY_S = 0.02  # pause before an inquiry is repeated after its link was lost


class Takeover:
    """Takes over the messages of stopped stores, and answers the inquiries of other stores."""

    def __init__(
        self,
        local_store: LocalStore,
        ownership: Ownership,
        reports: ReplicaReports,
        tasks: Tasks,
        cluster: ClusterView,
    ) -> None:
        self._local_store, self._ownership, self._reports = local_store, ownership, reports
        self._tasks, self._cluster = tasks, cluster
        self._claimed: set[str] = set()  # ids of messages that this store is about to take over

    # Messages of stopped stores.

    def start_if_due(self, now: float) -> None:
        """Begin to take over the messages that stopped stores own.

        This process takes over a message only if it is the first live store in the message's `replicas`.
        """
        peers = self._cluster.stores().items()
        stopped = {name for name, peer in peers if self._ownership.has_surely_stopped(peer, now)}
        if not stopped or not self._local_store.delivers:
            return
        candidates = self._candidates(stopped)
        if candidates:
            self._claimed.update(record.id for record in candidates)
            self._tasks.spawn(self._take_over(candidates, stopped))

    def _candidates(self, stopped: set[str]) -> list[Record]:
        """Return the records that this store has to take over and has not claimed yet."""
        me, stores = self._local_store.me, self._cluster.counted_stores()
        live = {me, *(node for node, peer in stores.items() if peer.up and node not in stopped)}
        return [
            record
            for record in self._local_store.index.records.values()
            if record.is_queued
            and record.owner in stopped
            and record.id not in self._claimed
            and next((node for node in record.replicas if node in live), None) == me
        ]

    async def _take_over(self, records: list[Record], stopped: set[str]) -> None:
        """Take over records, part by part, after all stores that still run were asked about them."""
        taken, known_by = 0, Counter[str]()
        try:
            for part in split(records, MAX_CANDIDATES_PER_INQUIRY):
                former = {record.id: (record.owner, record.epoch) for record in part}
                known_by.update(await self._inquire(part, stopped))
                taken += self._own([r for r in part if (r.owner, r.epoch) == former[r.id]])
                self._reports.add(part)
        finally:
            self._claimed.difference_update(record.id for record in records)
        former_owners = ",".join(sorted(stopped))
        if taken:
            log_event(Event.OWNERSHIP_TAKEN_OVER, of=former_owners, messages=taken)
        if known_by:
            log_event(Event.TAKEOVER_ABANDONED, of=former_owners, **known_by)

    def _own(self, records: list[Record]) -> int:
        """Become the owner of those records that are still claimed; return their number.

        An owner that was started again meanwhile has compared its records with the other stores before it
        delivers: it keeps its messages.
        """
        if not self._local_store.delivers:
            return 0
        peers, now = self._cluster.stores(), asyncio.get_running_loop().time()
        owners = {record.owner for record in records}
        running = {n for n in owners if n in peers and not self._ownership.has_surely_stopped(peers[n], now)}
        taken = [r for r in records if r.is_queued and r.id in self._claimed and r.owner not in running]
        for record in taken:
            epoch = record.epoch + TAKEOVER_EPOCHS
            self._local_store.set_owner(record, epoch, self._local_store.me, record.attempts)
        return len(taken)

    # Asking the other stores.

    async def _inquire(self, records: list[Record], stopped: set[str]) -> Counter[str]:
        """Ask all stores that may answer about records, and merge what they know.

        Return the number of records of which each of them knew a later state.
        """
        candidates = tuple(TakeoverCandidate(record.id, record.epoch) for record in records)
        inquiry = TakeoverInquiry(self._local_store.me, candidates)
        counted = self._cluster.counted_stores()
        peers = [peer for node, peer in counted.items() if peer.up or node not in stopped]
        replies = await asyncio.gather(*(self._ask(peer, inquiry) for peer in peers))
        known_by = Counter[str]()
        for peer, reply in zip(peers, replies, strict=True):
            self._claimed.difference_update(reply.claimed_ids)
            later = sum(self._merge(peer, report) for report in reply.reports)
            if later:
                known_by[peer.name] = later
        return known_by

    async def _ask(self, peer: Peer, inquiry: TakeoverInquiry) -> TakeoverReply:
        """Return a store's answer; an empty one if it gives none in time, or has stopped meanwhile.

        A store whose link is down is asked once the link is up again.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + INQUIRY_TIMEOUT_S
        while (remaining_s := deadline - loop.time()) > 0:
            if not peer.up and self._ownership.has_surely_stopped(peer, loop.time()):
                break
            try:
                reply = await peer.call(RpcMethod.TAKEOVER_INQUIRY, inquiry.to_wire(), remaining_s)
                return TakeoverReply.from_wire(reply)
            except CallFailedError:
                if peer.up:  # it was silent for too long, or is of a version that does not know the method
                    break
                await asyncio.sleep(INQUIRY_RETRY_S)
        return TakeoverReply((), ())

    def _merge(self, peer: Peer, report: StateReport) -> bool:
        """Merge a store's answer, and note its copy; return whether its copy was in a later state.

        A cancellation is ignored: it may be of another attempt to accept the message, which was accepted
        since. The store that cancels reports it to every store that may have a copy of that attempt.
        """
        record = self._local_store.index.records.get(report.id)
        if record is None or report.state is MessageState.CANCELLED:
            return False
        self._local_store.add_replica_holders(record, [peer.name])
        return self._local_store.merge_report(record, report)

    # Inquiries of other stores.

    def answer(self, inquiry: TakeoverInquiry) -> TakeoverReply:
        """Handle TAKEOVER_INQUIRY: return what this store knows of the messages.

        The claimant is named as a replica, so that it learns how the messages end.
        """
        reports, claimed_ids = list[StateReport](), list[str]()
        for candidate in inquiry.candidates:
            record = self._local_store.index.records.get(candidate.id)
            if record is None:
                continue
            self._local_store.add_replica_holders(record, [inquiry.claimant])
            if record.is_queued and self._delivers(record):
                self._keep(record, candidate)
            elif record.id in self._claimed and self._local_store.me < inquiry.claimant:
                claimed_ids.append(record.id)
            else:
                self._claimed.discard(record.id)
            reports.append(self._local_store.state_report(record))
        return TakeoverReply(tuple(reports), tuple(claimed_ids))

    def _keep(self, record: Record, candidate: TakeoverCandidate) -> None:
        """Own a message that this store delivers, with a later epoch than the claimant knows."""
        me = self._local_store.me
        if record.owner != me or record.epoch <= candidate.epoch:
            epoch = max(record.epoch, candidate.epoch) + 1
            self._local_store.set_owner(record, epoch, me, record.attempts)
            self._reports.add([record])

    def _delivers(self, record: Record) -> bool:
        """Return whether this store delivers a queued message: it owns it, or its call is in flight."""
        if self._local_store.delivery.is_in_flight(record):
            return True
        return record.owner == self._local_store.me and self._local_store.phase is not Phase.STARTING
