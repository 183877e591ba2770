"""Scenarios in which the stores that have a copy of a message change before the message ends."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any

from ward import each, test

from emberlatch.cluster.membership import MembershipView
from emberlatch.cluster.message_store import Record
from emberlatch.cluster.message_store.messages import MessageIds
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ownership_messages import AssumeOwnershipRequest
from emberlatch.cluster.message_store.record_batches import MAX_BATCH_BYTES, record_bytes, split_by_size
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.cluster.rpc.frames import MAX_FRAME_BYTES, Request, encode
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.history import SentMessage
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import (
    Fault,
    FaultKind,
    Plan,
    call_control,
    executed_more_than_once,
    patched_attribute,
    play,
    record,
    stores_with_durable_copy,
    submit,
    submit_in_turn,
    success_count,
    until,
)

LEAVING = "s1"
call_peer = Peer.call


async def decommission(cluster: SimulatedCluster, store: str) -> None:
    """Order that a store be emptied, wait until it is, and take it away with its disk."""
    path = f"/api/retire/{store}"
    assert (await call_control(cluster, "s2", "POST", f"{path}/initiate", b'{"period_s":8}')).status == 200
    end = cluster.loop.time() + 10.0
    while b"completed" not in (await call_control(cluster, "s2", "GET", f"{path}/retrieve")).body:
        assert cluster.loop.time() < end, f"{store} is not empty after 10 s"
        await asyncio.sleep(0.05)
    cluster.nodes[store].power_off(1000.0, wipe=True)


def all_succeeded(cluster: SimulatedCluster, sent: list[SentMessage]) -> Callable[[], bool]:
    return lambda: all(success_count(cluster, one.id) > 0 for one in sent)


def replicas_of(cluster: SimulatedCluster, sent: list[SentMessage]) -> list[str]:
    """Return the stores that have these messages, the owner first; all have to be on the same stores."""
    indexes = [node.message_store.local_store.index for node in cluster.nodes.values() if node.is_store]
    found = {index.records[one.id].replicas for index in indexes for one in sent if one.id in index.records}
    assert len(found) == 1, f"the messages are on {found}"
    return list(*found)


# Guards against: the owner does not know of copies that a store makes while it is emptied, and does not report
# the success to them; they run a second time when the owner is restarted (review, case 2).
@test("messages that succeed after a store was emptied do not run again when {restarted} is restarted")
def _(restarted: str = each("s0", "s2")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 60, delay_ms=1500)
        await decommission(cluster, LEAVING)
        assert not any(success_count(cluster, one.id) for one in sent), "the delay was too short"
        await until(all_succeeded(cluster, sent))
        cluster.nodes[restarted].terminate()
        await asyncio.sleep(4.0)
        assert not executed_more_than_once(cluster)

    assert not play(Plan(61, stores=4), steps)[1]


async def confirm_late(self: Peer, method: str, payload: object, timeout: float) -> object:
    """Call a peer; the reply to records that were sent arrives 3 s late."""
    reply = await call_peer(self, method, payload, timeout)
    if method == RpcMethod.REPAIR:
        await asyncio.sleep(3.0)
    return reply


# Guards against: a message succeeds while its owner copies it to one more store, which is not told.
@test("messages that succeed before their new copies are confirmed do not run again when the owner stops")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", delay_ms=4000) for _ in range(20)]
        owner, replica = replicas_of(cluster, sent)
        cluster.nodes[replica].power_off(1000.0)
        with (
            patched_attribute(Peer, "call", confirm_late),
            patched_attribute(Repair, "start_due", do_nothing),
        ):
            await until(all_succeeded(cluster, sent))
            cluster.nodes[owner].terminate()
            await asyncio.sleep(3.0)
        assert not executed_more_than_once(cluster)

    play(Plan(62, stores=4), steps)


# Guards against: the store that is emptied does not count a copy on a disk that can't be written, but the owner
# does, so that neither of them makes one more.
@test("when a store is emptied, its messages come on two disks besides one that is full")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", 30_000) for _ in range(20)]
        owner, replica = replicas_of(cluster, sent)
        scenario.apply_fault(Fault(0.0, FaultKind.DISK_FULL, owner, 60.0))
        await submit(scenario, "f0", 30_000)  # a write shows the fault
        path = f"/api/retire/{replica}/initiate"
        assert (await call_control(cluster, "s2", "POST", path, b'{"period_s":8}')).status == 200
        await asyncio.sleep(4.0)
        copies = [{*stores_with_durable_copy(cluster, one.id)} - {owner, replica} for one in sent]
        assert all(len(nodes) == 2 for nodes in copies)

    play(Plan(62, stores=4), steps)


# Guards against: a store keeps a queued copy of a message that has ended until the second comparison with it.
@test("a store that sends a queued copy of an ended message learns the end at once")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", 500) for _ in range(10)]
        owner, replica = replicas_of(cluster, sent)
        stores = {name: cluster.nodes[name].message_store.local_store for name in ("s1", owner)}
        now = cluster.loop.time()
        for one in sent:  # s1 has a copy that the owner does not know of
            stale = stores[owner].index.records[one.id].to_wire(now, one.body)
            stores["s1"].absorb(Record.from_wire(stale, now))
        await until(all_succeeded(cluster, sent))
        repair = cluster.nodes["s1"].message_store.repair
        program = cluster.nodes["s1"].program
        assert program is not None and "s1" not in (owner, replica)
        await repair.repair_peer(program.membership.stores()[owner])
        await asyncio.sleep(0.1)
        assert not [one.id for one in sent if stores["s1"].index.records[one.id].is_queued]

    with patched_attribute(Repair, "start_due", do_nothing):
        play(Plan(62, stores=4), steps)


# Guards against: the owner tells only the new owner of a hand-over, and another replica takes the message over
# from the stopped process as well, so that both deliver it.
@test("messages that a store hands over when it stops are delivered by their new owner only (seed {seed})")
def _(seed: int = each(1, 2, 3)) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit_in_turn(scenario, 30, delay_ms=1200)
        stopped = cluster.nodes["s1"]
        assert stopped.message_store.local_store.index.owned_by("s1")
        stopped.terminate()
        await until(lambda: not stopped.up)
        stopped.powered_off = True  # it is not started again
        await until(all_succeeded(cluster, sent))
        await asyncio.sleep(1.0)
        assert not executed_more_than_once(cluster)

    assert not play(Plan(seed, stores=5, tolerated_losses=2), steps)[1]


# Guards against: a batch of large messages exceeds the largest frame, so that the copies that are missing
# after a store was lost are never made, and the next lost disk takes messages along (review, case 3).
@test("messages of 200,000 bytes are on two disks again after the store with their replicas was {event}")
def _(event: str = each("lost", "emptied")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", 60_000, bytes(200_000)) for _ in range(120)]
        _, replica = replicas_of(cluster, sent)
        if event == "emptied":
            await decommission(cluster, replica)
        else:
            cluster.nodes[replica].power_off(1000.0, wipe=True)
            await asyncio.sleep(10.0)
        few = [one.id for one in sent if len({*stores_with_durable_copy(cluster, one.id)} - {replica}) < 2]
        assert not few, f"{len(few)} of {len(sent)} messages are on fewer than two disks"

    play(Plan(62, stores=4), steps)


# Guards against: the reply to a store that fetches large messages exceeds the largest frame, so that a store
# with an empty disk gets none of them from a peer that can't send them by itself.
@test("a store with an empty disk fetches messages of 200,000 bytes")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f0", 60_000, bytes(200_000)) for _ in range(100)]
        _, replica = replicas_of(cluster, sent)
        with patched_attribute(Repair, "send", do_nothing_async):
            cluster.nodes[replica].power_off(0.5, wipe=True)
            await asyncio.sleep(8.0)
        store = cluster.nodes[replica].message_store.local_store
        assert all(one.id in store.index.records for one in sent)

    play(Plan(62, stores=4), steps)


@test(
    "batches of records fit into a frame, contain every record in order, and are as few as their sizes allow"
)
def _() -> None:
    rng = random.Random(64)
    records = []
    for number in range(3000):
        drawn = record(f"{number}")
        drawn.body = bytes(rng.choice((0, 600, 30_000, 262_144)))
        drawn.path = "/" * rng.choice((10, 16_000))
        records.append(drawn)
    now = 0.0
    for with_bodies in (True, False):
        batches = list(split_by_size(records, with_bodies))
        assert [one for batch in batches for one in batch] == records
        for batch in batches:
            payload = [one.to_wire(now, one.body if with_bodies else None) for one in batch]
            size = len(encode(Request(1, 1, 1, RpcMethod.REPAIR, payload)))
            assert size < MAX_FRAME_BYTES / 8
        pairs = itertools.pairwise(batches)
        full = (sum(record_bytes(one, with_bodies) for one in [*batch, after[0]]) for batch, after in pairs)
        assert all(size > MAX_BATCH_BYTES for size in full)


async def do_nothing_async(*_: object) -> None:
    """Send nothing: a store gets only what it fetches."""


def do_nothing(*_: object) -> None:
    """Do nothing: stores are not compared."""


# Guards against: messages that a store could not hand over when it began to be emptied stay with it for ever, and
# are never delivered (review, case 6).
@test("a store is emptied while {other} has no power: each of its messages is delivered in time")
def _(other: str = each("s0", "s2")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f1", delay_ms=8000) for _ in range(60)]
        cluster.nodes[other].power_off(2.8)
        await asyncio.sleep(0.2)
        await order_to_empty(cluster)
        await assert_delivered_in_time(cluster, sent)

    play(Plan(63, stores=4), steps)


# Guards against: another store begins its shutdown while messages are handed over to it, and takes a part of them.
@test("a store is emptied and {other} is shut down: each of its messages is delivered in time")
def _(other: str = each("s0", "s2")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f1", delay_ms=8000) for _ in range(60)]
        with patched_attribute(Ownership, "assume_ownership", refuse_half(Ownership.assume_ownership)):
            await order_to_empty(cluster)
            cluster.nodes[other].terminate()
            await asyncio.sleep(1.0)
        await assert_delivered_in_time(cluster, sent)

    play(Plan(65, stores=4), steps)


def refuse_half(assume: Callable[[Ownership, Any], MessageIds]) -> Callable[[Ownership, Any], MessageIds]:
    """Return a handler of ASSUME_OWNERSHIP that takes every second message."""

    def assume_half(self: Ownership, request: AssumeOwnershipRequest) -> MessageIds:
        assume(self, AssumeOwnershipRequest(request.offers[::2]))
        return MessageIds(tuple(offer.id for offer in request.offers[1::2]))

    return assume_half


async def order_to_empty(cluster: SimulatedCluster) -> None:
    path = f"/api/retire/{LEAVING}/initiate"
    assert (await call_control(cluster, "s3", "POST", path, b'{"period_s":8}')).status == 200


async def assert_delivered_in_time(cluster: SimulatedCluster, sent: list[SentMessage]) -> None:
    """Wait until all messages have succeeded, and assert that each ran once and in time, and the order ended."""
    await until(all_succeeded(cluster, sent), 12.0)
    assert not executed_more_than_once(cluster)
    late = [one for one in sent if cluster.history.runs[one.id][0].at > one.sent_at + one.delay_s + 1.0]
    assert not late
    retrieved = await call_control(cluster, "s3", "GET", f"/api/retire/{LEAVING}/retrieve")
    assert b"completed" in retrieved.body


# Guards against: a store takes messages, its answer is lost, and the next store is offered them with the same epoch;
# both own and deliver them.
@test("after the answer to a hand-over is lost, another store gets the messages with a later epoch")
def _() -> None:
    unanswered: set[str] = set()
    writable_stores = MembershipView.writable_stores

    async def lose_answer(self: Peer, method: str, payload: object, timeout: float) -> object:
        reply = await call_peer(self, method, payload, timeout)
        if method == RpcMethod.ASSUME_OWNERSHIP and self.name == "s3":
            unanswered.add(self.name)
            raise CallFailedError(method, self.name, "its answer is lost", True)
        return reply

    def writable_and_answering(self: MembershipView) -> list[Peer]:
        return [peer for peer in writable_stores(self) if peer.name not in unanswered]

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = [await submit(scenario, "f1", delay_ms=5000) for _ in range(60)]
        with (
            patched_attribute(Peer, "call", lose_answer),
            patched_attribute(MembershipView, "writable_stores", writable_and_answering),
            patched_attribute(Repair, "start_due", do_nothing),
        ):
            await order_to_empty(cluster)
            await asyncio.sleep(2.0)
            assert unanswered, "no message was offered to s3"
            for one in sent:
                assert len(owners_by_own_account(cluster, one.id)) == 1
        await until(all_succeeded(cluster, sent))
        assert not executed_more_than_once(cluster)

    assert not play(Plan(64, stores=4), steps)[1]


def owners_by_own_account(cluster: SimulatedCluster, id: str) -> list[str]:
    """Return the stores whose own record of a queued message names them as the owner."""
    stores = {
        name: node.message_store.local_store.index for name, node in cluster.nodes.items() if node.is_store
    }
    found = ((name, index.records.get(id)) for name, index in stores.items())
    return [name for name, one in found if one is not None and one.is_queued and one.owner == name]
