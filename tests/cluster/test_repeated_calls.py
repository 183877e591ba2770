"""Of every method between processes: a call that runs twice, at once or late, has the outcome of one."""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import json
from typing import Any

from ward import each, test

from emberlatch.cluster.consensus import DecommissionMark
from emberlatch.cluster.discovery import TargetState
from emberlatch.cluster.node.request_handlers import RequestError, RequestHandlers
from emberlatch.cluster.rpc import (
    ANY_NODE,
    Incarnation,
    LocalEndpoint,
    RpcConnection,
    TrafficCounters,
    UnexpectedMessage,
)
from emberlatch.cluster.rpc.frames import Request
from emberlatch.cluster.rpc.methods import METHOD_RULES, Idempotency
from emberlatch.engine import Tasks
from emberlatch.simulation.scenario import Scenario
from tests.cluster.rpc_support import nothing_served
from tests.cluster.support import (
    Fault,
    FaultKind,
    Plan,
    assert_all_completed,
    planted,
    play,
    play_faults,
    until,
)

LATE_S = 1.3  # seconds after which a late repeat comes; longer than any caller of these waits
SOON_S = 0.02  # seconds after which the link that carried a call is surely still there
FAULTS = (
    Fault(0.7, FaultKind.CONFIGURE),
    Fault(1.0, FaultKind.KILL, "s1", 0.7),
    Fault(1.5, FaultKind.TARGET_LEAVE),
    Fault(2.2, FaultKind.PARTITION, "s0", 0.5),
    Fault(3.5, FaultKind.TERMINATE, "s2"),
    Fault(4.5, FaultKind.CONFIGURE_CONCURRENTLY),
)
"""A day on which every method is called but `control`: there, all who take calls of operators have a disk."""

DAYS = tuple(name for name in METHOD_RULES if name != "control")
HARMLESS = tuple(name for name in DAYS if METHOD_RULES[name].idempotency is Idempotency.IDEMPOTENT)

_sound_serve = RequestHandlers.serve


async def _outcome(result: Any) -> Any:
    return await result if inspect.iscoroutine(result) else result


class Doubling:
    """Serves each call of one method twice; `late` is in seconds, and 0 is at once."""

    def __init__(self, name: str, late: float) -> None:
        self.name, self.late, self.count = name, late, 0

    def serve(self, handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any) -> Any:
        if method != self.name:
            return _sound_serve(handlers, connection, method, payload)
        if self.late:
            connection.tasks.spawn(self._again(handlers, connection, method, payload))
            self.count += 1  # not before: an error ahead of here would be a failed call, and nothing doubled
            return _sound_serve(handlers, connection, method, payload)
        self.count += 1
        return self._both(handlers, connection, method, payload)

    async def _both(
        self, handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any
    ) -> Any:
        """The answer of the second one: it must be as good as the first."""
        first = asyncio.create_task(_outcome(_sound_serve(handlers, connection, method, payload)))
        second = asyncio.create_task(_outcome(_sound_serve(handlers, connection, method, payload)))
        await asyncio.wait({first, second})
        first.exception()
        return second.result()

    async def _again(
        self, handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any
    ) -> None:
        await asyncio.sleep(self.late)
        with contextlib.suppress(ValueError):
            await _outcome(_sound_serve(handlers, connection, method, payload))


def doubled_day(name: str, late: float) -> int:
    """How many calls were doubled on a day on which nothing went wrong."""
    doubling = Doubling(name, late)

    def serve(handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any) -> Any:
        return doubling.serve(handlers, connection, method, payload)

    with planted(RequestHandlers, "serve", serve):
        cluster, breaches = play_faults(*FAULTS, forced_failure_share=0.02)
    assert not breaches, str((name, late, breaches[:3]))
    accepted = [s for s in cluster.history.sent.values() if s.status == 202]
    assert len(accepted) > 50
    return doubling.count


@test("the table names every method that a process serves, and no other")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        store = scenario.cluster.nodes["s0"].running.request_handlers
        assert store.methods == set(METHOD_RULES), str(store.methods ^ set(METHOD_RULES))
        assert scenario.cluster.nodes["f0"].running.request_handlers.methods < store.methods

    assert not play(Plan(60), steps)[1]


@test("a method without a handler fails with the text that programs of other versions know")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        nobody = RpcConnection(LocalEndpoint(ANY_NODE), nothing_served, Tasks(), TrafficCounters())
        texts = list[str]()
        for node in ("s0", "f0"):
            try:
                scenario.cluster.nodes[node].running.request_handlers.serve(nobody, "gone", None)
            except RequestError as error:
                texts.append(repr(error))
        assert texts == ["ValueError('no such question: gone')", "ValueError('gone: not kept here')"]

    assert not play(Plan(62), steps)[1]


@test("a day on which no call is doubled")
def _() -> None:
    cluster, breaches = play_faults(*FAULTS)
    assert not breaches, str(breaches[:3])
    assert_all_completed(cluster)


@test("a repeat of {name} at once has the outcome of one call")
def _(name: str = each(*DAYS)) -> None:
    assert doubled_day(name, 0.0) > 0


@test("a late repeat of {name} has the outcome of one call")
def _(name: str = each(*HARMLESS)) -> None:
    assert doubled_day(name, LATE_S) > 0


BEAT = {
    "service": "ledger", "address": "10.0.9.9:80", "zone": "z0", "revision": "v1", "capacity": 3,
    "state": "in_service", "warmup_left_ms": 0, "sequence": 4,
}  # fmt: skip


def call(method: str, path: str, told: object = None) -> list[Any]:
    """What is passed on of a call to a control address."""
    return [method, path.strip("/").split("/"), json.dumps(told).encode() if told is not None else b""]


@test("a repeat of control, at once or late, has the outcome of one call, whatever is passed on")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        stores = [node for node in cluster.nodes.values() if node.is_store]

        nobody = RpcConnection(stores[0].running.endpoint, nothing_served, Tasks(), TrafficCounters())

        async def twice(payload: list[Any], *expected: int, late: float = 0.0) -> None:
            """At two stores, as after a silence of the first, and each of them twice."""
            statuses = list[int]()
            for store in stores[:2]:
                for _ in range(2):
                    answer: Any = store.running.request_handlers.serve(nobody, "control", payload)
                    status, _body = await answer
                    statuses.append(status)
                    await asyncio.sleep(late)
            assert statuses == list(expected), str((payload[:2], statuses))

        for late in (0.0, LATE_S):
            id = f"i-{late}"
            await twice(call("POST", f"/api/instances/{id}/heartbeat", BEAT), *[200] * 4, late=late)
            assert all(s.target_directory.known[id].state is TargetState.IN_SERVICE for s in stores)
            await twice(call("POST", f"/api/instances/{id}/deregister"), *[200] * 4, late=late)
            await twice(call("POST", f"/api/instances/{id}/heartbeat", BEAT), *[200] * 4, late=late)
            assert all(s.target_directory.known[id].state is TargetState.DEREGISTERED for s in stores)
            revision = 20 + int(late)
            order = cluster.configuration(revision)
            await twice(call("POST", "/api/configuration/replace", order), *[200] * 4, late=late)
            assert [s.running.active_configuration.revision for s in stores] == [revision] * len(stores)
            await twice(call("GET", "/api/configuration/retrieve"), *[200] * 4, late=late)
        await twice(call("POST", "/api/retire/nobody/initiate", {"period_s": 5}), *[404] * 4)
        await twice(call("POST", "/api/retire/s3/initiate", {"period_s": 5}), *[200] * 4)
        await until(
            lambda: stores[0].control_plane.service.state.decommission_mark("s3") is DecommissionMark.EMPTY
        )
        await twice(call("POST", "/api/retire/s3/initiate", {"period_s": 5}), *[200] * 4, late=LATE_S)
        assert [mark for _, mark in stores[0].control_plane.service.state.decommissions] == [
            DecommissionMark.EMPTY
        ]

    assert not play(Plan(61, stores=4), steps)[1]


@test("a late repeat of a request of {name} does not run on a day of faults, and harms nobody")
def _(name: str = each("take", "claim"), late: float = each(LATE_S, SOON_S)) -> None:
    sound = RpcConnection._on_request
    requests, served = set[tuple[Incarnation, int]](), list[Any]()

    def requested(connection: RpcConnection, request: Request, remote: Incarnation) -> None:
        sound(connection, request, remote)
        if request.method == name:
            requests.add((remote, request.number))
            asyncio.get_running_loop().call_later(late, again, connection, request, remote)

    def again(connection: RpcConnection, request: Request, remote: Incarnation) -> None:
        if not connection.closed:
            sound(connection, request, remote)

    def serve(handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any) -> Any:
        served.extend([payload] if method == name else [])
        return _sound_serve(handlers, connection, method, payload)

    with planted(RpcConnection, "_on_request", requested), planted(RequestHandlers, "serve", serve):
        cluster, breaches = play_faults(*FAULTS)
    assert not breaches, str(breaches[:3])
    nodes = [node.program for node in cluster.nodes.values() if node.program is not None]
    assert (
        sum(node.membership.counters.count_unexpected(UnexpectedMessage.DUPLICATE_REQUEST) for node in nodes)
        > 0
    )
    assert 0 < len(served) == len(requests)


@test("the methods whose repeats a receiver refuses are those that the table says")
def _() -> None:
    once = {name for name, method in METHOD_RULES.items() if method.idempotency is Idempotency.AT_MOST_ONCE}
    assert once == {"take", "claim", "control"}
