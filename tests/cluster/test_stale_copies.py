"""Scenarios in which a report between stores is lost, late or out of order, and then its sender is shut down.

A store that keeps a queued copy of an ended message would deliver it again. Stores are not compared in these
scenarios: a comparison would hide for how long a copy is out of date.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any

from ward import each, test

from emberlatch.cluster.membership import MembershipView
from emberlatch.cluster.message_store import MessageState, Record, StateReport
from emberlatch.cluster.message_store.disk_watch import DiskWatch
from emberlatch.cluster.message_store.index import range_of
from emberlatch.cluster.message_store.messages import CommitStateRequest
from emberlatch.cluster.message_store.ownership import Ownership
from emberlatch.cluster.message_store.ownership_messages import AssumeOwnershipRequest, OwnershipOffer
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.history import SentMessage
from emberlatch.simulation.node import SimulatedNode
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import (
    Plan,
    call_control,
    executed_more_than_once,
    patched_attribute,
    play,
    record,
    submit,
    success_count,
    until,
)

Intercept = Callable[[Peer, str, object], Awaitable[None] | None]
"""Called before a request or notification is sent, with the link, method and payload.

It returns an awaitable to delay it, and raises CallFailedError to lose it.
"""
call_peer, notify_peer = Peer.call, Peer.notify


def sender_of(peer: Peer) -> str:
    return peer._delegate.endpoint.incarnation.node


@contextmanager
def intercepted(intercept: Intercept) -> Iterator[None]:
    """Apply `intercept` to all links within the context; stores are not compared."""

    async def call(self: Peer, method: str, payload: object, timeout: float) -> object:
        delay = intercept(self, method, payload)
        if delay is not None:
            await delay
        return await call_peer(self, method, payload, timeout)

    def notify(self: Peer, method: str, payload: object) -> bool:
        try:
            delay = intercept(self, method, payload)
        except CallFailedError:
            return True
        if delay is None:
            return notify_peer(self, method, payload)

        async def later() -> None:
            await delay
            notify_peer(self, method, payload)

        self._tasks.spawn(later())
        return True

    with ExitStack() as stack:
        for owner, name, replacement in (
            (Peer, "call", call),
            (Peer, "notify", notify),
            (Repair, "start_due", lambda *_: None),
        ):
            stack.enter_context(patched_attribute(owner, name, replacement))
        yield


def lost(peer: Peer, method: str) -> CallFailedError:
    return CallFailedError(method, peer.name, "lost by the test", True)


def record_at(cluster: SimulatedCluster, store: str, id: str) -> Record | None:
    return cluster.nodes[store].message_store.local_store.index.records.get(id)


def queued_at(cluster: SimulatedCluster, store: str, sent: list[SentMessage]) -> list[str]:
    """Return the ids of which a store has a queued copy."""
    records = (record_at(cluster, store, one.id) for one in sent)
    return [record.id for record in records if record is not None and record.is_queued]


async def submit_delayed(scenario: Scenario, count: int, delay_ms: int) -> tuple[list[SentMessage], str, str]:
    """Submit messages through one forwarder; return them, the store that owns all, and their other replica."""
    sent = [await submit(scenario, "f0", delay_ms) for _ in range(count)]
    owner = next(n.name for n in stores(scenario.cluster) if owned_at(scenario.cluster, n.name, sent[0].id))
    replicas = {record.replicas for one in sent if (record := record_at(scenario.cluster, owner, one.id))}
    assert len(replicas) == 1, str(replicas)
    owner, replica = replicas.pop()
    return sent, owner, replica


def stores(cluster: SimulatedCluster) -> list[SimulatedNode]:
    return [node for node in cluster.nodes.values() if node.is_store]


def owned_at(cluster: SimulatedCluster, store: str, id: str) -> bool:
    record = record_at(cluster, store, id)
    return record is not None and record.owner == store


async def until_all_succeeded(cluster: SimulatedCluster, sent: list[SentMessage]) -> None:
    await until(lambda: all(success_count(cluster, one.id) for one in sent))


async def shut_down_for_good(node: SimulatedNode) -> None:
    """Send SIGTERM, and wait until other stores would have taken over what the process owned."""
    node.terminate()
    await until(lambda: not node.up)
    node.powered_off = True  # it is not started again
    await asyncio.sleep(3.0)


def give_copies(
    cluster: SimulatedCluster, sent: list[SentMessage], owner: str, store: str, replicas: tuple[str, ...]
) -> None:
    """Give a store queued copies that name these replicas; their owner does not learn of it."""
    now = cluster.loop.time()
    for one in sent:
        record = record_at(cluster, owner, one.id)
        assert record is not None
        copy = Record.from_wire(record.to_wire(now, record.body), now)
        copy.replicas = replicas
        cluster.nodes[store].message_store.local_store.absorb(copy)


# Guards against: a store is shut down before its replicas know how its messages ended, as the reports were lost
# once or were late; they run again at the store that takes over (review, case 2).
@test("messages whose end is reported {fault} do not run again when their owner is shut down")
def _(fault: str = each("not at all for 1.5 s", "0.6 s late")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        ends_at = cluster.loop.time() + 1.5

        def intercept(peer: Peer, method: str, payload: Any) -> Awaitable[None] | None:
            if method != RpcMethod.COMMIT_STATE:
                return None
            if fault == "0.6 s late":
                return asyncio.sleep(0.6)
            if cluster.loop.time() < ends_at:
                raise lost(peer, method)
            return None

        with intercepted(intercept):
            sent, owner, _ = await submit_delayed(scenario, 20, 300)
            ends_at = cluster.loop.time() + 1.5
            await until_all_succeeded(cluster, sent)
            await shut_down_for_good(cluster.nodes[owner])
        assert not executed_more_than_once(cluster)

    play(Plan(81, stores=4), steps)


# Guards against: a store that is emptied counts as empty before its replicas know how its last messages ended.
@test("messages that end at a store while it is emptied do not run again once it is taken away")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        reports_arrive, replica = False, ""

        def intercept(peer: Peer, method: str, payload: Any) -> None:
            is_report = method in (RpcMethod.COMMIT_STATE, RpcMethod.REPAIR)
            if is_report and peer.name == replica and not reports_arrive:
                raise lost(peer, method)

        with intercepted(intercept):
            sent, owner, replica = await submit_delayed(scenario, 12, 300)
            await until_in_flight(cluster, owner, sent)
            other = next(node.name for node in stores(cluster) if node.name != owner)
            path = f"/api/retire/{owner}"
            ordered = await call_control(cluster, other, "POST", f"{path}/initiate", b'{"period_s":8}')
            assert ordered.status == 200
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(1.0)
            reports_arrive = b"completed" not in (await retrieve(cluster, other, path))
            await asyncio.sleep(1.0)
            assert b"completed" in (await retrieve(cluster, other, path))
            assert not queued_at(cluster, replica, sent)
            cluster.nodes[owner].kill(restart_after_s=1000.0)
            await asyncio.sleep(4.0)
        assert not executed_more_than_once(cluster)

    play(Plan(82, stores=4), steps)


async def retrieve(cluster: SimulatedCluster, store: str, path: str) -> bytes:
    return bytes((await call_control(cluster, store, "GET", f"{path}/retrieve")).body)


async def until_in_flight(
    cluster: SimulatedCluster, owner: str, sent: list[SentMessage], mean_run_s: float = 0.3
) -> None:
    """Make the targets slow, and wait until the owner has sent one of the messages to a target."""
    for target in cluster.targets.values():
        target.mean_run_s = mean_run_s
    is_in_flight = cluster.nodes[owner].message_store.local_store.delivery.is_in_flight
    records = [record for one in sent if (record := record_at(cluster, owner, one.id)) is not None]
    await until(lambda: any(is_in_flight(record) for record in records))


# Guards against: a store takes over by a copy of which the owner knew nothing, though another store knows that
# the message has ended.
@test("messages that have succeeded do not run again at a store whose copy their owner does not know of")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 20, 800)
            third = next(node.name for node in stores(cluster) if node.name not in (owner, replica))
            give_copies(cluster, sent, owner, third, (owner, third))
            await until_all_succeeded(cluster, sent)
            await shut_down_for_good(cluster.nodes[owner])
        assert not executed_more_than_once(cluster)

    play(Plan(83, stores=4), steps)


# Guards against: two replicas with different lists of replicas both regard themselves as the first that still
# runs, and both take over.
@test("messages that wait are delivered by one of two replicas that do not know of each other")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 20, 3000)
            third = next(node.name for node in stores(cluster) if node.name not in (owner, replica))
            give_copies(cluster, sent, owner, third, (owner, third))
            cluster.nodes[owner].power_off(1000.0)
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(1.0)
        assert not executed_more_than_once(cluster)

    play(Plan(84, stores=4), steps)


# Guards against: a store takes over a message whose call is in flight at its new owner, since its own copy still
# names the old one.
@test("messages in flight at their new owner are not delivered by a store that knows only the old one")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 8, 700)
            third = next(node.name for node in stores(cluster) if node.name not in (owner, replica))
            give_copies(cluster, sent, owner, third, (owner, third))
            cluster.nodes[owner].terminate()
            await until_in_flight(cluster, replica, sent)
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(1.0)
        assert not executed_more_than_once(cluster)

    play(Plan(85, stores=4), steps)


# Guards against: a store that asks before it takes over adopts the cancellation of another attempt to accept the
# message, which a store refused before this one accepted it.
@test("messages are taken over though a third store refused them before they were accepted")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 20, 2000)
            third = next(node.name for node in stores(cluster) if node.name not in (owner, replica))
            for one in sent:
                cluster.nodes[third].message_store.local_store.add_tombstone(one.id, 1, third)
            cluster.nodes[owner].power_off(1000.0)
            await until_all_succeeded(cluster, sent)
        assert not executed_more_than_once(cluster)

    play(Plan(90, stores=4), steps)


# Guards against: the owner was started again while a store asked the others, and both deliver.
@test("an owner that is started again during a takeover's inquiry keeps its messages")
def _() -> None:
    async def inquire_late(self: Peer, method: str, payload: object, timeout: float) -> object:
        if method != RpcMethod.TAKEOVER_INQUIRY:
            return await call_peer(self, method, payload, timeout)
        await asyncio.sleep(2.0)
        return await call_peer(self, method, payload, timeout)

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with patched_attribute(Peer, "call", inquire_late):
            sent, owner, _ = await submit_delayed(scenario, 8, 3000)
            await asyncio.sleep(0.7)
            cluster.nodes[owner].kill(restart_after_s=0.7)
            await asyncio.sleep(1.5)
            await until_in_flight(cluster, owner, sent, mean_run_s=0.15)
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(1.0)
        assert not executed_more_than_once(cluster)

    play(Plan(91, stores=4), steps)


# Guards against: a stopped owner's offer arrives after the takeover and has the same epoch.
@test("an offer of the stopped owner that arrives after the takeover has no effect")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 10, 3000)
            third = max(node.name for node in stores(cluster) if node.name != owner)
            assert third > replica
            give_copies(cluster, sent, owner, third, (owner, replica, third))
            cluster.nodes[owner].kill(restart_after_s=1000.0)
            await until(lambda: all(owned_at(cluster, replica, one.id) for one in sent))
            await asyncio.sleep(0.1)
            offers = tuple(OwnershipOffer(one.id, 2, 0) for one in sent)
            cluster.nodes[third].message_store.ownership.assume_ownership(AssumeOwnershipRequest(offers))
            assert not any(owned_at(cluster, third, one.id) for one in sent)

    play(Plan(92, stores=4), steps)


# Guards against: a store regards a running owner as stopped, and takes its messages over.
@test("an owner that another store wrongly regards as stopped keeps its messages")
def _() -> None:
    has_surely_stopped = Ownership.has_surely_stopped
    suspected: set[str] = set()

    def suspect(self: Ownership, peer: Peer, now: float) -> bool:
        return peer.name in suspected or has_surely_stopped(self, peer, now)

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None), patched_attribute(Ownership, "has_surely_stopped", suspect):
            sent, owner, _ = await submit_delayed(scenario, 10, 1000)
            suspected.add(owner)
            await asyncio.sleep(0.5)
            assert all(owned_at(cluster, owner, one.id) for one in sent)
            await until_all_succeeded(cluster, sent)
        assert not executed_more_than_once(cluster)

    play(Plan(93, stores=4), steps)


# Guards against: a message is taken over from its stopped owner while another store still has a call in flight
# for it, as the owner had got it from that store meanwhile.
@test("a store whose call is in flight keeps the message when its owner on record has stopped")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 6, 600)
            third = next(node.name for node in stores(cluster) if node.name not in (owner, replica))
            cluster.nodes[third].kill(restart_after_s=1000.0)
            await until_in_flight(cluster, owner, sent)
            for store in (owner, replica):
                local_store = cluster.nodes[store].message_store.local_store
                for one in sent:
                    record = local_store.index.records[one.id]
                    local_store.set_owner(record, 2, third, 0)
                    local_store.index.set_replicas(record, (replica, owner, third))
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(1.0)
        assert not executed_more_than_once(cluster)

    play(Plan(94, stores=4), steps)


# Guards against: an offer is not answered, and neither is the report that takes it back; another store is offered
# the message, while the first one takes it late.
@test("messages that are offered to a store late are delivered once, though reports to it are lost")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        late: dict[str, float] = {}
        writable_stores = MembershipView.writable_stores

        def intercept(peer: Peer, method: str, payload: Any) -> Awaitable[None] | None:
            now = cluster.loop.time()
            if method == RpcMethod.REPAIR and peer.name in late:
                raise lost(peer, method)
            if method == RpcMethod.PROBE and now < late.get(peer.name, now) + 2.5:
                raise lost(peer, method)
            if method == RpcMethod.ASSUME_OWNERSHIP and not late:
                late[peer.name] = now
            if method == RpcMethod.ASSUME_OWNERSHIP and peer.name in late:
                return offer_late(peer, method, payload)
            return None

        async def offer_late(peer: Peer, method: str, payload: Any) -> None:
            peer._tasks.spawn(arrive_late(peer, method, payload))
            await asyncio.sleep(1.0)
            raise lost(peer, method)

        async def arrive_late(peer: Peer, method: str, payload: Any) -> None:
            await asyncio.sleep(1.3)
            await call_peer(peer, method, payload, 1.0)

        def not_late(self: MembershipView) -> list[Peer]:
            return [peer for peer in writable_stores(self) if peer.name not in late]

        with intercepted(intercept), patched_attribute(MembershipView, "writable_stores", not_late):
            sent, owner, _ = await submit_delayed(scenario, 20, 4000)
            other = next(node.name for node in stores(cluster) if node.name != owner)
            path = f"/api/retire/{owner}/initiate"
            assert (await call_control(cluster, other, "POST", path, b'{"period_s":8}')).status == 200
            await until(lambda: late)
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(1.0)
        assert not executed_more_than_once(cluster)

    play(Plan(86, stores=4), steps)


# Guards against: another store gets a message whose call is in flight at the store that it probes, since that
# store's record names a third one as the owner.
@test("a store that is probed keeps a message whose call is in flight, whoever owns it on record")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, _ = await submit_delayed(scenario, 1, 300)
            await until_in_flight(cluster, owner, sent)
            store = cluster.nodes[owner].message_store
            store.local_store.set_owner(store.local_store.index.records[sent[0].id], 4, "s9", 0)
            report = StateReport(sent[0].id, MessageState.QUEUED, "", 5, "s8", 0)
            reply = store.cancellation.probe(report)
            assert (reply.owner, reply.epoch) == (owner, 6)

    play(Plan(96, stores=4), steps)


# Guards against: the report of an end overtakes the copy, is dropped, and the copy stays queued.
@test("a copy that arrives after the end of its message was reported is not queued")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        delayed: set[str] = set()

        def intercept(peer: Peer, method: str, payload: Any) -> Awaitable[None] | None:
            if method == RpcMethod.REPLICATE and (not delayed or peer.name in delayed):
                delayed.add(peer.name)
                return asyncio.sleep(1.0)
            return None

        with intercepted(intercept):
            sent = [await submit(scenario, "f0") for _ in range(5)]
            assert all(one.status == 202 for one in sent)
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(2.0)
            late_store = delayed.pop()
            assert any(record_at(cluster, late_store, one.id) for one in sent)
            assert not queued_at(cluster, late_store, sent)

    play(Plan(87), steps)


# Guards against: the record on disk replaces the end that was reported before the disk was read, or is counted
# beside it in the digests; and the body of a copy stays in memory though its message is completed.
@test("an end that is reported before the {source} is merged outweighs it, and its body is not kept")
def _(source: str = each("record on disk", "copy of another store")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        store = scenario.cluster.nodes["s1"].message_store
        index, copy = store.local_store.index, record("m", owner="s0", replicas=("s0", "s1"))
        end = StateReport("m", MessageState.COMPLETED, "seal", 1, "s0", 0)
        await store.state_commits.commit_states(CommitStateRequest((end,)))

        async def read_records(_: DiskWatch) -> tuple[list[Record], bool]:
            return [copy], False

        with patched_attribute(DiskWatch, "read_records", read_records):
            if source == "record on disk":
                await store._startup._read_disk(first=False)
            else:
                store.local_store.absorb(copy)
        merged = index.records["m"]
        assert (merged.state, merged.seal, merged.body) == (MessageState.COMPLETED, "seal", None)
        assert index.body_bytes == 0
        assert index.digests("s0")[range_of("m")] == merged.fingerprint()

    assert not play(Plan(95), steps)[1]


# Guards against: a store fetches a queued copy, and the owner does not report the end to it.
@test("a store that fetched queued copies from {source} learns how the messages end")
def _(source: str = each("their owner", "their replica")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with intercepted(lambda *_: None):
            sent, owner, replica = await submit_delayed(scenario, 20, 800)
            third = next(node.name for node in stores(cluster) if node.name not in (owner, replica))
            program = cluster.nodes[third].running
            peer = program.membership.stores()[owner if source == "their owner" else replica]
            repair = cluster.nodes[third].message_store.repair
            await repair.fetch(peer, [one.id for one in sent])
            assert len(queued_at(cluster, third, sent)) == len(sent)
            await until_all_succeeded(cluster, sent)
            await asyncio.sleep(0.5)
            assert not queued_at(cluster, third, sent)

    play(Plan(88, stores=4), steps)


@contextmanager
def first_store_answers_late() -> Iterator[list[str]]:
    """Let the store that a forwarder asks first answer after its time-out; yield the stores that were asked."""
    asked: list[str] = []

    async def answer_late(self: Peer, method: str, payload: object, timeout: float) -> object:
        if method != RpcMethod.ACCEPT:
            return await call_peer(self, method, payload, timeout)
        if self.name not in asked:
            asked.append(self.name)
        if self.name != asked[0]:
            return await call_peer(self, method, payload, timeout)
        await call_peer(self, method, payload, 1.0)
        await asyncio.sleep(timeout)
        raise lost(self, method)

    with intercepted(lambda *_: None), patched_attribute(Peer, "call", answer_late):
        yield asked


async def submit_twice(scenario: Scenario, delay_ms: int = 1500) -> list[SentMessage]:
    """Submit messages that two stores accept, with copies on different stores, and wait until they succeeded."""
    for number, node in enumerate(stores(scenario.cluster)):
        node.running.membership._selection._selections += 7 * number
    sent = [await submit(scenario, "f0", delay_ms) for _ in range(10)]
    await until_all_succeeded(scenario.cluster, sent)
    return sent


# Guards against: a forwarder submits a message to a second store since the first one is slow; each of the two
# places a copy on a store that the other does not know of, which takes over when the first one is shut down.
@test("messages that two stores accepted do not run again when {restarted} of them is shut down")
def _(restarted: str = each("the first", "the second")) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        with first_store_answers_late() as asked:
            await submit_twice(scenario)
            assert len(asked) >= 2
            await shut_down_for_good(cluster.nodes[asked[0 if restarted == "the first" else 1]])
        assert not executed_more_than_once(cluster)

    play(Plan(89, zones=1, stores=5), steps)


# Guards against: of a message that two stores accepted, one keeps a queued copy after the end. A message that is
# in flight when the second store accepts it stays with the first one.
@test(
    "all stores with a copy of messages that two stores accepted learn how these end (due after {delay_ms} ms)"
)
def _(delay_ms: int = each(1500, 0)) -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        for target in cluster.targets.values():
            target.mean_run_s = 0.3
        with first_store_answers_late():
            sent = await submit_twice(scenario, delay_ms)
            await until(lambda: not any(queued_at(cluster, node.name, sent) for node in stores(cluster)), 3.0)

    play(Plan(89, zones=1, stores=5), steps)
