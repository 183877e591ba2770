"""Tests, for every RPC method, that an immediate or late duplicate of a call does not change the outcome."""

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
from tests.cluster.rpc_support import reject_request
from tests.cluster.support import (
    Fault,
    FaultKind,
    Plan,
    assert_all_completed,
    patched_attribute,
    play,
    play_faults,
    until,
)

LATE_S = 1.3  # delay of a late duplicate; longer than any caller of these methods waits
SOON_S = 0.02  # delay of a duplicate after which the link of the call is certainly still up
FAULTS = (
    Fault(0.7, FaultKind.CONFIGURE),
    Fault(1.0, FaultKind.KILL, "s1", 0.7),
    Fault(1.5, FaultKind.TARGET_LEAVE),
    Fault(2.2, FaultKind.PARTITION, "s0", 0.5),
    Fault(3.5, FaultKind.TERMINATE, "s2"),
    Fault(4.5, FaultKind.CONFIGURE_CONCURRENTLY),
)
"""Faults of a simulated run in which every method except `control` is called.

Only a process without a disk calls `control`, to forward a request of an operator. In these simulations
operators call only processes that have a disk.
"""

METHODS = tuple(name for name in METHOD_RULES if name != "control")
IDEMPOTENT_METHODS = tuple(
    name for name in METHODS if METHOD_RULES[name].idempotency is Idempotency.IDEMPOTENT
)

_original_serve = RequestHandlers.serve


async def _outcome(result: Any) -> Any:
    return await result if inspect.iscoroutine(result) else result


class CallDuplicator:
    """Serves each call of one method twice.

    The duplicate is served `delay_s` seconds after the call, or concurrently with it if `delay_s` is 0.
    """

    def __init__(self, name: str, delay_s: float) -> None:
        self.name, self.delay_s, self.count = name, delay_s, 0

    def serve(self, handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any) -> Any:
        if method != self.name:
            return _original_serve(handlers, connection, method, payload)
        if self.delay_s:
            connection.tasks.spawn(self._serve_later(handlers, connection, method, payload))
            self.count += 1  # counted only here, since a call that failed before this line has no duplicate
            return _original_serve(handlers, connection, method, payload)
        self.count += 1
        return self._serve_concurrently(handlers, connection, method, payload)

    async def _serve_concurrently(
        self, handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any
    ) -> Any:
        """Return the response of the duplicate, which must be equivalent to that of the first call."""
        first = asyncio.create_task(_outcome(_original_serve(handlers, connection, method, payload)))
        second = asyncio.create_task(_outcome(_original_serve(handlers, connection, method, payload)))
        await asyncio.wait({first, second})
        first.exception()
        return second.result()

    async def _serve_later(
        self, handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any
    ) -> None:
        await asyncio.sleep(self.delay_s)
        with contextlib.suppress(ValueError):
            await _outcome(_original_serve(handlers, connection, method, payload))


def run_day_with_duplicates(name: str, delay_s: float) -> int:
    """Simulate a run with duplicated calls of one method, and check that it breaches no rule.

    Returns the number of duplicates.
    """
    duplicator = CallDuplicator(name, delay_s)

    def serve(handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any) -> Any:
        return duplicator.serve(handlers, connection, method, payload)

    with patched_attribute(RequestHandlers, "serve", serve):
        cluster, breaches = play_faults(*FAULTS, forced_failure_share=0.02)
    assert not breaches, str((name, delay_s, breaches[:3]))
    accepted = [s for s in cluster.history.sent.values() if s.status == 202]
    assert len(accepted) > 50
    return duplicator.count


@test("the table of methods lists exactly the methods that a store serves")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        store = scenario.cluster.nodes["s0"].running.request_handlers
        assert store.methods == set(METHOD_RULES), str(store.methods ^ set(METHOD_RULES))
        assert scenario.cluster.nodes["f0"].running.request_handlers.methods < store.methods

    assert not play(Plan(60), steps)[1]


@test("a call of a method without a handler fails with the text that other versions of the program expect")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        unconnected = RpcConnection(LocalEndpoint(ANY_NODE), reject_request, Tasks(), TrafficCounters())
        texts = list[str]()
        for node in ("s0", "f0"):
            try:
                scenario.cluster.nodes[node].running.request_handlers.serve(unconnected, "gone", None)
            except RequestError as error:
                texts.append(repr(error))
        assert texts == ["ValueError('no such question: gone')", "ValueError('gone: not kept here')"]

    assert not play(Plan(62), steps)[1]


@test("a day with faults and without duplicate calls has no breach and completes all messages")
def _() -> None:
    cluster, breaches = play_faults(*FAULTS)
    assert not breaches, str(breaches[:3])
    assert_all_completed(cluster)


@test("an immediate duplicate of {name} has the outcome of one call")
def _(name: str = each(*METHODS)) -> None:
    assert run_day_with_duplicates(name, 0.0) > 0


@test("a late duplicate of {name} has the outcome of one call")
def _(name: str = each(*IDEMPOTENT_METHODS)) -> None:
    assert run_day_with_duplicates(name, LATE_S) > 0


HEARTBEAT = {
    "service": "ledger", "address": "10.0.9.9:80", "zone": "z0", "revision": "v1", "capacity": 3,
    "state": "in_service", "warmup_left_ms": 0, "sequence": 4,
}  # fmt: skip


def forwarded_request(method: str, path: str, content: object = None) -> list[Any]:
    """The payload with which a request to the control API is forwarded to another process."""
    return [method, path.strip("/").split("/"), json.dumps(content).encode() if content is not None else b""]


@test("an immediate or late duplicate of control has the outcome of one call for every forwarded request")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        stores = [node for node in cluster.nodes.values() if node.is_store]

        unconnected = RpcConnection(stores[0].running.endpoint, reject_request, Tasks(), TrafficCounters())

        async def send_twice(payload: list[Any], *expected: int, delay_s: float = 0.0) -> None:
            """Send the request twice to each of two stores, as if the first store had not responded."""
            statuses = list[int]()
            for store in stores[:2]:
                for _ in range(2):
                    answer: Any = store.running.request_handlers.serve(unconnected, "control", payload)
                    status, _body = await answer
                    statuses.append(status)
                    await asyncio.sleep(delay_s)
            assert statuses == list(expected), str((payload[:2], statuses))

        for delay_s in (0.0, LATE_S):
            id = f"i-{delay_s}"
            await send_twice(
                forwarded_request("POST", f"/api/instances/{id}/heartbeat", HEARTBEAT),
                *[200] * 4,
                delay_s=delay_s,
            )
            assert all(s.target_directory.targets_by_id[id].state is TargetState.IN_SERVICE for s in stores)
            await send_twice(
                forwarded_request("POST", f"/api/instances/{id}/deregister"), *[200] * 4, delay_s=delay_s
            )
            await send_twice(
                forwarded_request("POST", f"/api/instances/{id}/heartbeat", HEARTBEAT),
                *[200] * 4,
                delay_s=delay_s,
            )
            assert all(s.target_directory.targets_by_id[id].state is TargetState.DEREGISTERED for s in stores)
            revision = 20 + int(delay_s)
            configuration = cluster.configuration(revision)
            await send_twice(
                forwarded_request("POST", "/api/configuration/replace", configuration),
                *[200] * 4,
                delay_s=delay_s,
            )
            assert [s.running.active_configuration.revision for s in stores] == [revision] * len(stores)
            await send_twice(
                forwarded_request("GET", "/api/configuration/retrieve"), *[200] * 4, delay_s=delay_s
            )
        await send_twice(
            forwarded_request("POST", "/api/retire/nobody/initiate", {"period_s": 5}), *[404] * 4
        )
        await send_twice(forwarded_request("POST", "/api/retire/s3/initiate", {"period_s": 5}), *[200] * 4)
        await until(
            lambda: stores[0].control_plane.service.state.decommission_mark("s3") is DecommissionMark.EMPTY
        )
        await send_twice(
            forwarded_request("POST", "/api/retire/s3/initiate", {"period_s": 5}), *[200] * 4, delay_s=LATE_S
        )
        assert [mark for _, mark in stores[0].control_plane.service.state.decommissions] == [
            DecommissionMark.EMPTY
        ]

    assert not play(Plan(61, stores=4), steps)[1]


@test("a late duplicate request of {name} does not run on a day with faults, and causes no breach")
def _(name: str = each("take", "claim"), delay_s: float = each(LATE_S, SOON_S)) -> None:
    original = RpcConnection._on_request
    requests, served = set[tuple[Incarnation, int]](), list[Any]()

    def handle_and_repeat(connection: RpcConnection, request: Request, remote: Incarnation) -> None:
        original(connection, request, remote)
        if request.method == name:
            requests.add((remote, request.number))
            asyncio.get_running_loop().call_later(delay_s, repeat, connection, request, remote)

    def repeat(connection: RpcConnection, request: Request, remote: Incarnation) -> None:
        if not connection.closed:
            original(connection, request, remote)

    def serve(handlers: RequestHandlers, connection: RpcConnection, method: str, payload: Any) -> Any:
        served.extend([payload] if method == name else [])
        return _original_serve(handlers, connection, method, payload)

    with (
        patched_attribute(RpcConnection, "_on_request", handle_and_repeat),
        patched_attribute(RequestHandlers, "serve", serve),
    ):
        cluster, breaches = play_faults(*FAULTS)
    assert not breaches, str(breaches[:3])
    nodes = [node.program for node in cluster.nodes.values() if node.program is not None]
    assert (
        sum(node.membership.counters.count_unexpected(UnexpectedMessage.DUPLICATE_REQUEST) for node in nodes)
        > 0
    )
    assert 0 < len(served) == len(requests)


@test("take, claim and control are the methods whose duplicates a receiver does not run")
def _() -> None:
    once = {name for name, method in METHOD_RULES.items() if method.idempotency is Idempotency.AT_MOST_ONCE}
    assert once == {"take", "claim", "control"}
