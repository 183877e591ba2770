"""The HTTP carrier with targets on loopback sockets: which response leads to which outcome."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from typing import Any

import pytest

from emberlatch.core.interface import Entry, Outcome, Phase, Result
from emberlatch.engine import Address, CallItem
from emberlatch.engine.tasks import Tasks
from emberlatch.net.http_carrier import HttpCarrier
from emberlatch.net.http_connection import RESPONSE_COMPLETION_TIMEOUT_S, Connection, connect, parse_address
from emberlatch.simlink.settings import decode_settings
from tests.peers import SETTINGS, Exchange, Handler, Peer, accept, free_port, never_respond, respond

TARGET = b"s-1"


def run(test: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(test, 30))


class Caller:
    """A carrier with one target, and the outcomes of its calls."""

    def __init__(self, address: str) -> None:
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        settings = decode_settings(json.dumps(SETTINGS).encode())
        self.carrier = HttpCarrier(settings, 100, self.outcomes.put_nowait, Tasks())
        self.address = parse_address(address)
        self.update_target()

    def update_target(self, phase: Phase = Phase.READY) -> None:
        self.carrier.update([Entry(TARGET, 7, phase)], {TARGET: self.address}, is_complete=True)

    async def call(self, *ids: str, timeout: float = 10.0, body: bytes = b"x") -> list[Outcome]:
        items = [CallItem(n, 0, name, f"k-{name}", body, timeout) for n, name in enumerate(ids or ("m1",))]
        self.carrier.call(TARGET, items)
        return [await self.outcomes.get() for _ in items]


def respond_with(status: int, lines: bytes = b"", **headers: str) -> Handler:
    async def handle(exchange: Exchange) -> None:
        await exchange.answer(status, lines, **headers)

    return handle


@pytest.mark.parametrize(
    ("status", "headers", "result", "closed", "retry_after_s"),
    [
        (200, {}, Result.OK, True, 0.0),
        (500, {}, Result.ERROR, False, 0.0),
        (429, {"Retry_After": "0.512"}, Result.FULL, False, 0.512),
        (503, {}, Result.FULL, False, 0.0),
        (503, {"Slots_Taken": "1"}, Result.NOT_EXECUTED, False, 0.0),
        (504, {}, Result.NOT_EXECUTED, False, 0.0),
        (410, {}, Result.NOT_EXECUTED, True, 0.0),
    ],
)
def test_each_response_status_leads_to_its_outcome(
    status: int, headers: dict[str, Any], result: Result, closed: bool, retry_after_s: float
) -> None:
    async def test() -> None:
        async with Peer(respond_with(status, **headers, X_Server_Load="x1=25,x0=0.4")) as peer:
            (outcome,) = await Caller(peer.address).call()
            assert (outcome.result, outcome.is_final, outcome.retry_after) == (result, closed, retry_after_s)
            assert outcome.report == (0.4, 25.0)
            seen = await peer.next()
            assert (seen.path, seen.body, seen.headers["x-request-id"]) == ("/v1/messages", b"x", "m1")
            assert (seen.headers["idempotency-key"], seen.headers["x-timeout-ms"]) == ("k-m1", "10000")

    run(test())


def test_a_refused_connection_is_connect_failed_and_an_unanswered_call_is_a_timeout() -> None:
    async def test() -> None:
        (outcome,) = await Caller(f"127.0.0.1:{await free_port()}").call()
        assert outcome.result is Result.CONNECT_FAILED
        async with Peer(never_respond) as peer:
            caller = Caller(peer.address)
            (outcome,) = await caller.call(timeout=0.1)
            assert outcome.result is Result.TIMEOUT
            # After the time-out the carrier closes the connection, which frees the slot at the target.
            seen = await peer.next()
            assert await seen.reader.read() == b""

    run(test())


def test_a_reset_on_a_reused_connection_is_not_a_delivery() -> None:
    """Guards against a fault that lost messages: the 200 of the previous call was taken for the response."""

    async def handle(exchange: Exchange) -> None:
        await exchange.answer(200) if exchange.headers["x-request-id"] == "m1" else exchange.reset()

    async def test() -> None:
        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            assert (await caller.call("m1"))[0].result is Result.OK
            assert (await caller.call("m2"))[0].result is Result.RESET
            assert peer.connections == 1

    run(test())


def test_a_connection_aborted_before_the_last_byte_of_the_request_is_connect_failed() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        writer.transport.abort()

    async def test() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1)
        async with server:
            host, port = server.sockets[0].getsockname()
            (outcome,) = await Caller(f"{host}:{port}").call(body=bytes(16 << 20))
            assert outcome.result is Result.CONNECT_FAILED

    run(test())


def test_a_status_line_with_200_is_a_delivery_although_the_body_is_incomplete() -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
        await exchange.writer.drain()
        exchange.writer.close()

    async def test() -> None:
        async with Peer(handle) as peer:
            assert (await Caller(peer.address).call())[0].result is Result.OK
            one, two = await Caller(peer.address).call("a", "b")  # a batch needs the complete response
            assert one.result is two.result is Result.RESET

    run(test())


def test_a_batch_response_gives_each_message_its_result_and_its_retry_after_stops_calls() -> None:
    lines = b"a ok\r\nb error\r\nc later\r\nd gone\r\ne exhausted\r\n"

    async def test() -> None:
        async with Peer(respond_with(200, lines, Retry_After="5")) as peer:
            caller = Caller(peer.address)
            outcomes = await caller.call("a", "b", "c", "d", "e", body=b"hi\r\n")
            assert [(o.result, o.is_final) for o in outcomes] == [
                (Result.OK, True),
                (Result.ERROR, False),
                (Result.FULL, False),
                (Result.NOT_EXECUTED, True),
                (Result.NOT_EXECUTED, False),
            ]
            assert {o.retry_after for o in outcomes} == {5.0}
            seen = await peer.next()
            assert (seen.path, seen.body[:14]) == ("/v1/messages:batch", b"a k-a 4\r\nhi\r\n\r")
            # The Retry-After applies to all later calls.
            assert (await caller.call("f"))[0].result is Result.NOT_EXECUTED
            assert peer.exchanges.empty()

    run(test())


@pytest.mark.parametrize(("status", "result"), [(429, Result.FULL), (500, Result.ERROR), (503, Result.FULL)])
def test_a_status_other_than_200_applies_to_all_messages_of_a_batch(status: int, result: Result) -> None:
    async def test() -> None:
        async with Peer(respond_with(status)) as peer:
            assert [o.result for o in await Caller(peer.address).call("a", "b")] == [result, result]

    run(test())


def test_no_call_is_sent_after_the_grace_period_of_a_draining_target(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("emberlatch.net.pooled_carrier.USABLE_DRAIN_GRACE_SHARE", 0.0)
        async with Peer(accept) as peer:
            caller = Caller(peer.address)
            caller.update_target(Phase.DRAINING)
            assert (await caller.call())[0].result is Result.NOT_EXECUTED
            assert peer.exchanges.empty()

    run(test())


def test_a_connection_is_reused_unless_its_idle_timeout_is_about_to_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with Peer(accept) as peer:
            caller = Caller(peer.address)
            await caller.call()
            await caller.call()
            assert peer.connections == 1
            monkeypatch.setattr("emberlatch.net.connection_pool.IDLE_TIMEOUT_MARGIN_S", 15.0)
            await caller.call()
            assert peer.connections == 2

    run(test())


def test_an_invalid_response_affects_only_its_own_call() -> None:
    async def handle(exchange: Exchange) -> None:
        if exchange.headers["x-request-id"] == "m1":
            exchange.writer.write(b"\x00garbage\r\n\r\n")
        else:
            await respond(exchange.writer, 200)

    async def test() -> None:
        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            assert (await caller.call("m1"))[0].result is Result.RESET
            assert (await caller.call("m2"))[0].result is Result.OK

    run(test())


INVALID_RESPONSES = [
    b"\x00\x07noise",
    b"HTTP/1.1 503 X\r\nRetry-After",  # an incomplete head
    b"HTTP/1.1 503 X\r\nContent-Length: 500\r\n\r\nshort",
    b"HTTP/1.1 503 X\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 500 X\r\nContent-Length: 3000000000\r\n\r\n" + bytes(1000),
    b"HTTP/1.1 503 X\r\n\r\n" + bytes(200_000),  # no length, and a body over the limit
    b"HTTP/1.1 503 X\r\nA: " + b"a" * 40_000,
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
]


@pytest.mark.parametrize("answer", INVALID_RESPONSES)
def test_after_an_invalid_response_the_outcome_is_reset_and_the_connection_is_closed(answer: bytes) -> None:
    """The target keeps the connection open, so only the carrier can free the slot before the time-out."""

    async def handle(exchange: Exchange) -> None:
        if exchange.headers["x-request-id"] != "m1":
            return await exchange.answer(200)
        exchange.writer.write(answer)
        await exchange.reader.read()
        return None

    async def test() -> None:
        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            assert (await caller.call("m0"))[0].result is Result.OK  # this success must not count for m1
            assert (await caller.call("m1"))[0].result is Result.RESET
            assert (await caller.call("m2"))[0].result is Result.OK
            assert peer.connections == 2

    run(test())


@pytest.mark.parametrize(
    "remainder", [b"Content-Le", b"\x00\r\n\r\n", b"Content-Length: 9000000000\r\n\r\nx", b"\r\n"]
)
def test_a_status_line_with_200_is_a_delivery_whatever_follows(remainder: bytes) -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 200 OK\r\n" + remainder)
        await exchange.reader.read()

    async def test() -> None:
        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            (outcome,) = await caller.call("m1")
            assert (outcome.result, outcome.is_final) == (Result.OK, True)
            # For a batch the status line alone confirms nothing.
            assert {o.result for o in await caller.call("a", "b")} == {Result.RESET}

    run(test())


COMPLETE_RESPONSE = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("extra", [COMPLETE_RESPONSE, b"\x00noise", b"HTTP/1.1 2"])
@pytest.mark.parametrize("late", [False, True])
def test_data_after_a_response_is_not_taken_for_the_next_one(extra: bytes, late: bool) -> None:
    async def handle(exchange: Exchange) -> None:
        if exchange.headers["x-request-id"] == "m1":
            exchange.writer.write(COMPLETE_RESPONSE if late else COMPLETE_RESPONSE + extra)
            if late:
                await asyncio.sleep(0.01)
                exchange.writer.write(extra)
            await exchange.reader.read()
        else:
            await exchange.answer(200)

    async def test() -> None:
        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            assert (await caller.call("m1"))[0].result is Result.FULL  # the response itself is valid
            if late:
                (connection,) = caller.carrier._pool.idle
                while connection.usable:  # until the extra data has arrived
                    await asyncio.sleep(0.001)
            assert (await caller.call("m2"))[0].result is Result.OK
            assert peer.connections == 2

    run(test())


def test_interim_responses_are_ignored() -> None:
    async def handle(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
        # The time limit for completing a response does not run between two responses.
        await asyncio.sleep(2 * RESPONSE_COMPLETION_TIMEOUT_S)
        await exchange.answer(429, Retry_After="0.5")

    async def test() -> None:
        async with Peer(handle) as peer:
            (outcome,) = await Caller(peer.address).call()
            assert (outcome.result, outcome.retry_after) == (Result.FULL, 0.5)

    run(test())


@pytest.mark.parametrize(
    "report", ["x0=nan,x1=5", "x0=0.5,x1=inf", "x0=0.5,x1=-3", "x1=5", "x0=0.5,x1", "=,,=="]
)
def test_an_invalid_load_report_is_ignored(report: str) -> None:
    async def test() -> None:
        async with Peer(respond_with(200, X_Server_Load=report)) as peer:
            (outcome,) = await Caller(peer.address).call()
            assert (outcome.result, outcome.report) == (Result.OK, ())

    run(test())


@pytest.mark.parametrize(
    ("text", "retry_after_s"), [("nan", 0.0), ("-1", 0.0), ("soon", 0.0), ("inf", 3600.0)]
)
def test_an_invalid_retry_after_is_ignored_and_an_infinite_one_limited(
    text: str, retry_after_s: float
) -> None:
    async def test() -> None:
        async with Peer(respond_with(429, Retry_After=text)) as peer:
            assert (await Caller(peer.address).call())[0].retry_after == retry_after_s

    run(test())


def test_deregistered_targets_leave_no_state() -> None:
    async def test() -> None:
        async with Peer(respond_with(429, Retry_After="0.001")) as peer:
            caller = Caller(peer.address)
            for n in range(50):
                await caller.call(f"m{n}")
                name = b"s-%d" % n
                caller.carrier.update([Entry(name, 7)], {name: caller.address}, is_complete=True)
                caller.carrier.call(name, [CallItem(0, 0, "x", "", b"", 10.0)])
                await caller.outcomes.get()
                caller.update_target()
            await caller.call()
            await asyncio.sleep(0.002)  # the last Retry-After has ended
            caller.update_target()
            assert len(caller.carrier._targets) == 1
            assert not caller.carrier._retry_after and len(caller.carrier._pool) <= 1
            # A call to a target that is no longer listed is not executed.
            caller.carrier.call(b"s-3", [CallItem(0, 0, "late", "", b"", 10.0)])
            assert (await caller.outcomes.get()).result is Result.NOT_EXECUTED

    run(test())


def test_a_call_in_flight_to_a_deregistered_target_gets_its_outcome() -> None:
    async def test() -> None:
        may_respond = asyncio.Event()

        async def handle(exchange: Exchange) -> None:
            await may_respond.wait()
            await exchange.answer(200)

        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            call = asyncio.ensure_future(caller.call())
            await peer.next()
            caller.carrier.update([], {}, is_complete=True)
            may_respond.set()
            assert (await call)[0].result is Result.OK
            await asyncio.sleep(0)
            assert not caller.carrier._targets

    run(test())


def test_a_message_that_times_out_while_its_call_connects_gets_its_outcome_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a late outcome.

    A message in a call with other messages used to wait until the connection was established.
    """

    async def test() -> None:
        async with Peer(accept) as peer:
            caller, may_connect = Caller(peer.address), asyncio.Event()

            async def connect_late(address: Address, timeout: float) -> Connection:
                await may_connect.wait()
                return await connect(address, timeout)

            monkeypatch.setattr("emberlatch.net.pooled_carrier.connect", connect_late)
            items = [CallItem(0, 0, "brief", "", b"x", 0.02), CallItem(1, 0, "long", "", b"x", 10.0)]
            caller.carrier.call(TARGET, items)
            first = await caller.outcomes.get()
            assert (first.ref, first.result) == (0, Result.CONNECT_FAILED)
            may_connect.set()
            second = await caller.outcomes.get()
            assert (second.ref, second.result) == (1, Result.OK)
            assert (await peer.next()).headers["x-request-id"] == "long"  # the other message is not sent

    run(test())


def test_a_call_whose_messages_are_all_cancelled_closes_its_connection() -> None:
    async def test() -> None:
        async with Peer(never_respond) as peer:
            caller = Caller(peer.address)
            items = [CallItem(n, 0, f"m{n}", "k", b"x", 10.0) for n in range(2)]
            caller.carrier.call(TARGET, items)
            seen = await peer.next()
            caller.carrier.cancel(0, 1)  # attempt 1 does not exist
            caller.carrier.cancel(0, 0)
            first = await caller.outcomes.get()
            assert (first.ref, first.result) == (0, Result.CANCELLED)
            assert caller.carrier.in_flight == 1  # the other message is still pending
            caller.carrier.cancel(1, 0)
            assert (await caller.outcomes.get()).result is Result.CANCELLED
            assert await seen.reader.read() == b""  # closing frees the slot at the target
            while caller.carrier.in_flight:
                await asyncio.sleep(0)
            assert caller.outcomes.empty() and not caller.carrier._calls

    run(test())


def test_a_cancelled_message_that_is_delivered_after_all_is_completed() -> None:
    """The call continues for another message, and its response confirms both."""
    may_respond = asyncio.Event()

    async def handle(exchange: Exchange) -> None:
        await may_respond.wait()
        await exchange.answer(200, b"m0 ok\r\nm1 ok\r\n")

    async def test() -> None:
        async with Peer(handle) as peer:
            caller = Caller(peer.address)
            caller.carrier.call(TARGET, [CallItem(n, 0, f"m{n}", "k", b"x", 10.0) for n in range(2)])
            await peer.next()
            caller.carrier.cancel(0, 0)
            assert (await caller.outcomes.get()).result is Result.CANCELLED
            may_respond.set()
            outcomes = [await caller.outcomes.get() for _ in range(2)]
            assert sorted((o.ref, o.result, o.is_final) for o in outcomes) == [
                (0, Result.OK, True),
                (1, Result.OK, True),
            ]

    run(test())
