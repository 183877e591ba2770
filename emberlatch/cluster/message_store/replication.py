"""Replication of a message to other stores before its client is answered."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from emberlatch.cluster.message_store.local_store import LocalStore, Phase
from emberlatch.cluster.message_store.messages import ReplicateReply
from emberlatch.cluster.message_store.ports import ClusterView
from emberlatch.cluster.message_store.record import MessageState, Record
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod

REPLICATE_TIMEOUT_S = 0.25  # timeout for another store to write a copy to its disk
HEDGE_DELAY_S = 0.035  # time without a reply after which a copy is sent to one more store
ACCEPT_TIMEOUT_S = 0.42  # time limit for a message to be durable on enough stores; else it is not accepted


@dataclass(slots=True)
class ReplicationOutcome:
    """The stores that have a copy on disk, and those that may have a copy now or later."""

    durable: set[str] = field(default_factory=set)
    possible: set[str] = field(default_factory=set)


class Replication:
    """Sends copies to other stores, and stores the copies that they send."""

    def __init__(self, local_store: LocalStore, cluster: ClusterView) -> None:
        self._local_store, self._cluster = local_store, cluster

    def _next_candidate(self, have: set[str]) -> Peer | None:
        """Return the best store for one more copy besides the stores in `have`; None if there is none."""
        return next(self._cluster.replica_candidates({self._local_store.me, *have}), None)

    def _satisfies_quorum_with(self, *nodes: str) -> bool:
        """Return whether copies on these stores and on this one satisfy the quorum."""
        return self._cluster.satisfies_quorum([self._local_store.me, *nodes])

    def choose_replicas(self) -> list[Peer]:
        """Choose the stores that are to receive copies.

        All are chosen before the first copy is written, because each copy names all stores that have one.
        Otherwise copies would differ when they are compared.
        """
        chosen: dict[str, Peer] = {}
        while not self._satisfies_quorum_with(*chosen):
            peer = self._next_candidate(set(chosen))
            if peer is None:
                break
            chosen[peer.name] = peer
        return list(chosen.values())

    async def replicate_until_quorum(self, record: Record, chosen: list[Peer]) -> ReplicationOutcome:
        """Send copies to other stores until enough are durable or the time limit is reached.

        If no store replies within `HEDGE_DELAY_S`, one more is asked in parallel.
        """
        loop = asyncio.get_running_loop()
        deadline, outcome, rejected = loop.time() + ACCEPT_TIMEOUT_S, ReplicationOutcome(), set[str]()
        in_flight: dict[asyncio.Task[ReplicateReply], str] = {}
        hedge = False  # whether no store replied within `HEDGE_DELAY_S`
        while not self._satisfies_quorum_with(*outcome.durable) and loop.time() < deadline:
            if hedge or not self._satisfies_quorum_with(*outcome.durable, *in_flight.values()):
                peer = chosen.pop(0) if chosen else self._next_candidate(outcome.possible | rejected)
                if peer is not None:
                    hedge = False
                    outcome.possible.add(peer.name)
                    in_flight[self._start(peer, record)] = peer.name
                    continue
            if not in_flight:
                break
            is_last = self._next_candidate(outcome.possible | rejected) is None
            remaining_s = deadline - loop.time()
            timeout = remaining_s if is_last else min(HEDGE_DELAY_S, remaining_s)
            done, _ = await asyncio.wait(in_flight, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            hedge = not done
            for task in done:
                _count_reply(task.result(), in_flight.pop(task), outcome, rejected)
        return outcome

    def _start(self, peer: Peer, record: Record) -> asyncio.Task[ReplicateReply]:
        self._local_store.add_replica_holders(record, [peer.name])
        return asyncio.get_running_loop().create_task(self._replicate_to(peer, record))

    async def _replicate_to(self, peer: Peer, record: Record) -> ReplicateReply:
        """Send a copy to one store."""
        copy = self._local_store.to_wire(record)
        try:
            reply = await peer.call(RpcMethod.REPLICATE, copy, REPLICATE_TIMEOUT_S)
        except CallFailedError as failure:
            return ReplicateReply.UNCERTAIN if failure.may_have_arrived else ReplicateReply.REJECTED
        return ReplicateReply.from_wire(reply)

    async def replicate(self, copy: Record) -> ReplicateReply:
        """Handle REPLICATE: merge a copy that another store sends; reply whether it is on disk."""
        local_store = self._local_store
        if local_store.phase in (Phase.CLOSING, Phase.RETIRING) or not local_store.commits_promptly():
            return ReplicateReply.REJECTED
        record = local_store.absorb(copy)
        durable = await local_store.durable()
        if durable and record is not None and record.state is not MessageState.CANCELLED:
            return ReplicateReply.DURABLE
        return ReplicateReply.UNCERTAIN


def _count_reply(reply: ReplicateReply, name: str, outcome: ReplicationOutcome, rejected: set[str]) -> None:
    if reply is ReplicateReply.DURABLE:
        outcome.durable.add(name)
    if reply is ReplicateReply.REJECTED:
        outcome.possible.discard(name)
        rejected.add(name)
