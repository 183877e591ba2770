"""A response is matched to its message by the attempt id; connections with other data are closed."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from ward import each, test

from emberlatch.cluster.discovery import Target, TargetState
from emberlatch.cluster.dispatch import Carrier, DeliveryRequest, DeliveryResult, Dispatcher, DispatchSettings
from emberlatch.cluster.message_store import Record
from emberlatch.cluster.settings import read_configuration
from emberlatch.core import interface as api
from emberlatch.engine import CallItem, Tasks
from tests.cluster.dispatch_support import RecordingOwner
from tests.cluster.rpc_support import ConnectionEnd, World, run_with_fixture
from tests.cluster.support import record

TARGET = ("target", 1)
GUARD_S = 0.5  # time in which a target must respond to a delivery
RESPONSE_MARGIN_S = 0.15  # time after the guard time in which a response may still arrive


def response(id: str | None, status: int = 200, seal: str = "seal", body: bytes = b"") -> bytes:
    """Encode a response as a target sends it."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += f"Emberlatch-Attempt-Id: {id}\r\n" if id is not None else ""
    head += f"Emberlatch-Server-Seal: {seal}\r\n" if seal and status == 200 else ""
    return head.encode() + b"\r\n" + body


def requested_deadline_s(request: bytes) -> float:
    """Return the time limit that a request sets for its target."""
    return float(request.partition(b"Emberlatch-Deadline-Ms: ")[2].partition(b"\r")[0]) / 1000


class ScriptedTarget(ConnectionEnd):
    """The target's end of a connection; the test writes the responses."""

    def __init__(self, fixture: CarrierFixture) -> None:
        super().__init__()
        self.fixture, self.data = fixture, b""
        fixture.connections.append(self)

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.fixture.requests.append((self.fixture.world.loop.time(), self, data))
        self.fixture.on_request(self, data)

    async def write(self, data: bytes) -> None:
        """Write to the carrier, and wait until it has arrived."""
        self.transport.write(data)
        await asyncio.sleep(0.02)

    def msg_ids(self) -> list[str]:
        """Return the message ids of the requests that arrived on this connection."""
        lines = self.data.decode("latin-1").split("\r\n")
        return [line.partition(": ")[2] for line in lines if line.startswith("Emberlatch-Attempt-Id")]


class CarrierFixture:
    """A carrier, and the target that it calls."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.connections: list[ScriptedTarget] = []
        self.requests: list[tuple[float, ScriptedTarget, bytes]] = []
        self.outcomes: list[api.Outcome] = []
        self.delivery_results: list[tuple[int, DeliveryResult, str]] = []
        self.on_request: Callable[[ScriptedTarget, bytes], None] = lambda connection, data: None
        world.network.serve(lambda: ScriptedTarget(self), TARGET)
        settings = api.Settings(
            categories=(api.Category("x", api.Effect.SAFE, 1.0, 2.0),), slots=8, open_cap=100,
            max_attempts=100, separate_routes=(True,), zone_fees=(0.0,), connect_timeout=0.5,
            connection_idle=60.0, retry_after=True, max_retry_after=2.0,
        )  # fmt: skip
        self.records: dict[int, Record] = {}
        self.carrier = Carrier(settings, 8, Tasks(), self)
        self.carrier.update([api.Entry(b"t", 0)], {b"t": TARGET}, is_complete=False)

    def delivery_request(self, ref: int, target: bytes) -> DeliveryRequest:
        return DeliveryRequest(self.records[ref], GUARD_S, "t")

    def is_wanted(self, ref: int) -> bool:
        return True

    def on_delivery_result(self, ref: int, delivery_result: DeliveryResult, seal: str) -> None:
        self.delivery_results.append((ref, delivery_result, seal))

    def on_outcome(self, outcome: api.Outcome) -> None:
        self.outcomes.append(outcome)

    async def send(self, ref: int, id: str, attempt: int = 0) -> None:
        """Start a call, and wait until its request has arrived."""
        self.records[ref] = record(id)
        self.carrier.call(b"t", [CallItem(ref, attempt, id, "", b"", GUARD_S + RESPONSE_MARGIN_S)])
        await asyncio.sleep(0.02)

    async def deliver(self, ref: int, id: str) -> None:
        """Run a call that gets the expected response."""
        await self.send(ref, id)
        await self.requests[-1][1].write(response(id))
        assert self.delivery_results[-1] == (ref, DeliveryResult.COMPLETED, "seal")

    @property
    def results(self) -> list[api.Result]:
        return [outcome.result for outcome in self.outcomes]


@test("successive messages with expected responses reuse one connection")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        for ref in range(5):
            await fixture.deliver(ref, f"m{ref}")
        assert len(fixture.connections) == 1 and fixture.results == [api.Result.OK] * 5

    run_with_fixture(CarrierFixture, steps)


UNSOLICITED = {
    "a success of the next message": response("m1"),
    "the last success again": response("m0"),
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "one byte": b"x",
    "an empty line": b"\r\n",
}


@test("bytes that arrive while no request is pending close the connection: {name}")
def _(name: str = each(*UNSOLICITED)) -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.deliver(0, "m0")
        await fixture.connections[0].write(UNSOLICITED[name])
        assert fixture.connections[0].lost
        await fixture.deliver(1, "m1")
        assert len(fixture.connections) == 2 and len(fixture.delivery_results) == 2

    run_with_fixture(CarrierFixture, steps)


@test("unread bytes on an idle connection close it before the next request is sent")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.deliver(0, "m0")
        (connection,) = fixture.carrier._targets[b"t"].idle
        connection._transport.pause_reading()
        await fixture.connections[0].write(response("m1"))
        await fixture.send(1, "m1")
        assert fixture.connections[0].msg_ids() == ["m0"] and fixture.connections[1].msg_ids() == ["m1"]
        assert len(fixture.delivery_results) == 1

    run_with_fixture(CarrierFixture, steps)


@test("a second response in the same segment closes the connection, and the first response counts")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.send(0, "m0")
        await fixture.connections[0].write(response("m0", seal="first") + response("m0", seal="second"))
        assert (
            fixture.delivery_results == [(0, DeliveryResult.COMPLETED, "first")]
            and fixture.connections[0].lost
        )
        await fixture.deliver(1, "m1")
        assert len(fixture.connections) == 2

    run_with_fixture(CarrierFixture, steps)


@test(
    "a response to another message is dropped; the expected one completes the call and closes the connection"
)
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.deliver(0, "m0")
        await fixture.send(1, "m1")
        await fixture.connections[0].write(response("m0", seal="late"))
        assert len(fixture.delivery_results) == 1
        await fixture.connections[0].write(response("m1", seal="mine"))
        assert fixture.delivery_results[1:] == [(1, DeliveryResult.COMPLETED, "mine")]
        assert fixture.connections[0].lost
        await fixture.deliver(2, "m2")
        assert len(fixture.connections) == 2

    run_with_fixture(CarrierFixture, steps)


@test("only a response to another message: no delivery result, a timeout, a closed connection, no retry")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.send(0, "m0")
        fixture.connections[0].transport.write(response("other"))
        await asyncio.sleep(GUARD_S + RESPONSE_MARGIN_S + 0.1)
        assert not fixture.delivery_results and fixture.results == [api.Result.TIMEOUT]
        assert fixture.connections[0].lost and len(fixture.requests) == 1

    run_with_fixture(CarrierFixture, steps)


@test("a retry is not sent on a connection that carried its message, so a duplicate failure counts once")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.send(0, "m0")
        first = fixture.connections[0]
        await first.write(response("m0", 500))
        await fixture.deliver(1, "m1")  # on the same connection
        assert first.msg_ids() == ["m0", "m1"]
        await fixture.send(2, "m0", 1)
        await first.write(response("m0", 500))
        assert [delivery_result for _, delivery_result, _ in fixture.delivery_results] == [
            DeliveryResult.ATTEMPT_FAILED,
            DeliveryResult.COMPLETED,
        ]
        await fixture.connections[1].write(response("m0", seal="second"))
        assert fixture.delivery_results[-1] == (2, DeliveryResult.COMPLETED, "second")

    run_with_fixture(CarrierFixture, steps)


@test("a reset at every byte of a response: completed only if the response is complete, and no retry here")
def _() -> None:
    complete = response("m0", body=b"0123456789")
    completed_cuts = set[int]()
    for cut in range(len(complete) + 1):

        async def steps(fixture: CarrierFixture, cut: int = cut) -> None:
            await fixture.send(0, "m0")
            await fixture.connections[0].write(complete[:cut])
            fixture.connections[0].transport.abort()
            await asyncio.sleep(2.0)
            assert len(fixture.requests) == 1 and len(fixture.outcomes) == 1
            if fixture.delivery_results:
                completed_cuts.add(cut)
            else:
                assert fixture.results == [api.Result.RESET], str(cut)

        run_with_fixture(CarrierFixture, steps)
    assert completed_cuts == {len(complete)}


@test("a truncated response that is never completed gives no delivery result, and its connection is closed")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.send(0, "m0")
        fixture.connections[0].transport.write(response("m0", body=b"0123456789")[:-1])
        await asyncio.sleep(2.0)
        assert (
            not fixture.delivery_results
            and fixture.results == [api.Result.RESET]
            and fixture.connections[0].lost
        )

    run_with_fixture(CarrierFixture, steps)


@test("no response: a timeout after the guard time, a closed connection, and a late response is ignored")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        await fixture.send(0, "m0")
        await asyncio.sleep(GUARD_S + RESPONSE_MARGIN_S + 0.1)
        assert fixture.results == [api.Result.TIMEOUT] and fixture.connections[0].lost
        fixture.connections[0].transport.write(response("m0"))
        await fixture.deliver(1, "m1")
        assert len(fixture.requests) == 2 and len(fixture.connections) == 2

    run_with_fixture(CarrierFixture, steps)


@test("the deadline of a request ends before the call times out, however long connecting took")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        fixture.world.network.latency = 0.15  # a round trip of up to 0.45 s
        started_at = fixture.world.loop.time()
        await fixture.send(0, "m0")
        await asyncio.sleep(2.0)
        ((arrived, connection, data),) = fixture.requests
        deadline_s = requested_deadline_s(data)
        sent = arrived - 0.225  # earliest possible time of sending: a latency is at most 0.225 s
        assert sent + deadline_s <= started_at + GUARD_S + 0.002, str((arrived - started_at, deadline_s))
        assert fixture.results == [api.Result.TIMEOUT] and connection.lost

    run_with_fixture(CarrierFixture, steps)


ROUTE = {
    "name": "r", "host_name": "a.example", "path_prefix": "/l/", "route_type": "deferred",
    "guard_timer_ms": 1000, "nominal_ms": 80, "priority": 1, "service": "ledger", "max_attempts": 4,
    "in_order": False, "retention_s": 60.0, "notify_uri": False, "nominal_start_ms": 800,
}  # fmt: skip
CONFIGURATION = json.dumps(
    {
        "revision": 1,
        "route_entries": [ROUTE],
        "services": [{"name": "ledger", "max_connections": 60}],
        "limits": {},
    }
).encode()


class DispatcherFixture:
    """A dispatcher with one message, and one target that responds only if the test does."""

    def __init__(self, fixture: CarrierFixture) -> None:
        self.owner = RecordingOwner()
        self.dispatcher = Dispatcher(DispatchSettings("z", 1, 5.0, 1.1, 8), Tasks(), self.owner)
        self.dispatcher.configure(read_configuration(CONFIGURATION))
        now = fixture.world.loop.time()
        target = Target("t", "ledger", TARGET, "z", 4, TargetState.IN_SERVICE, 1, now)
        self.dispatcher.update_target(target)
        message = record("m0")
        message.host, message.path, message.due_at = "a.example", "/l/x", now
        message.expires_at = now + 60
        self.dispatcher.deliver(message)


@test("after a timeout a message is retried, but only after the deadline of the previous attempt")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        DispatcherFixture(fixture)
        await asyncio.sleep(8.0)
        assert len(fixture.requests) >= 3
        for (first, _, data), (second, _, _) in zip(fixture.requests, fixture.requests[1:], strict=False):
            deadline_s = requested_deadline_s(data)
            assert second > first + deadline_s, str((first, deadline_s, second))

    run_with_fixture(CarrierFixture, steps)


@test("a second response to a failed attempt does not count as another failure")
def _() -> None:
    async def steps(fixture: CarrierFixture) -> None:
        def on_request(connection: ScriptedTarget, data: bytes) -> None:
            # The first attempt gets the same failure response five times; later attempts get no response.
            if len(fixture.requests) == 1:
                for delay in (0.0, 0.1, 0.2, 0.3, 0.4):
                    fixture.world.loop.call_later(delay, connection.transport.write, response("m0", 500))

        fixture.on_request = on_request
        dispatching = DispatcherFixture(fixture)
        await asyncio.sleep(8.0)
        assert not dispatching.owner.finished and len(fixture.requests) > 3
        (delivery,) = dispatching.dispatcher._deliveries.by_id.values()
        assert delivery.record.attempts == 1

    run_with_fixture(CarrierFixture, steps)
