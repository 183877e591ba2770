"""A forwarder on real sockets in this process: clients, Retry-After, batches, discovery, notices."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from emberlatch.core.interface import Arrival
from emberlatch.net import server as server_module
from emberlatch.net.server_connection import MAX_PIPELINED_REQUESTS
from emberlatch.platform import PlatformForwarder
from emberlatch.store import Entry, Folder, Journal
from tests.forwarders import started_forwarder
from tests.peers import (
    Exchange,
    Gate,
    Handler,
    Peer,
    PlatformService,
    accept,
    config,
    free_port,
    listed_target,
    member,
    message_bytes,
    message_headers,
    never_respond,
    read_status,
    request,
    run,
    submit,
)


@asynccontextmanager
async def running_forwarder(
    folder: Path, handler: Handler, flavor: str = "rural-bank", discovery: str = "ask", **limits: float
) -> AsyncIterator[tuple[int, Peer, PlatformService, PlatformForwarder]]:
    """Run a forwarder in this process; yield its port, its target, the platform and the forwarder."""
    async with listed_target(handler, flavor=flavor) as (target, platform, service):
        port = await free_port()
        document = config(service.address, platform.document(), port, **limits)
        document["settings"] = document["settings"] | {"discovery": discovery}
        async with started_forwarder(folder, document) as under_test:
            yield port, target, platform, under_test


@pytest.mark.parametrize(
    ("method", "path", "changes", "size", "status"),
    [
        ("GET", "/healthz", {}, 0, 200),
        ("POST", "/api", {}, 65536, 202),
        ("POST", "/api", {}, 65537, 413),
        ("POST", "/api", {}, 900_000, 413),
        ("GET", "/api", {}, 0, 405),
        ("POST", "/healthz", {}, 0, 405),
        ("POST", "/other", {}, 0, 404),
        ("POST", "/api", {"X_Request_ID": ""}, 1, 400),
        ("POST", "/api", {"X_Priority_Class": "nope"}, 1, 400),
        ("POST", "/api", {"X_Priority_Class": "payout"}, 1, 400),  # a keyed class without a key
        ("POST", "/api", {"X_Tenant_Id": "nobody"}, 1, 400),
        ("POST", "/api", {"Envelope": "dest=8"}, 1, 400),
        ("POST", "/api", {"Envelope": "x"}, 1, 400),
        ("POST", "/api", {"X_Timeout_Ms": "soon"}, 1, 400),
        ("POST", "/api", {"X_Timeout_Ms": ""}, 1, 400),
        ("POST", "/api", {"X_Timeout_Ms": "9" * 400}, 1, 400),
        ("POST", "/api", {"Idempotency_Key": "a b"}, 1, 400),
    ],
)
def test_each_request_gets_its_status(
    tmp_path: Path, method: str, path: str, changes: dict[str, str], size: int, status: int
) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, _, _, _):
            got, headers = await request(port, method, path, message_headers("m1", **changes), bytes(size))
            assert got == status
            assert headers.get("allow") == ({"/api": "POST", "/healthz": "GET"}[path] if got == 405 else None)

    run(test)


def test_invalid_and_incomplete_requests_do_not_affect_other_clients(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, target, _, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"nonsense\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"400"
            await reader.read()  # ends when the connection is closed after the response
            writer.close()
            _, incomplete = await asyncio.open_connection("127.0.0.1", port)
            incomplete.write(b"POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")
            await incomplete.drain()
            incomplete.transport.abort()
            assert await submit(port) == 202
            assert (await target.next()).headers["x-request-id"] == "m1"

    run(test)


def test_pipelined_and_half_closed_clients_receive_their_responses_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, _, _, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(message_bytes("m1", b"x") + b"GET /none HTTP/1.1\r\n\r\n")
            writer.write_eof()
            assert [await read_status(reader) for _ in range(2)] == [202, 404]
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_an_incomplete_request_is_answered_with_408_after_the_time_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(server_module, "REQUEST_TIMEOUT_S", 0.05)
        monkeypatch.setattr(server_module, "TIMEOUT_CHECK_INTERVAL_S", 0.02)
        async with running_forwarder(tmp_path, accept) as (port, _, _, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")
            assert (await reader.readline()).split()[1] == b"408"
            writer.close()

    run(test)


def test_a_new_connection_at_the_limit_causes_an_idle_one_to_be_closed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept, sockets=34) as (port, _, _, _):
            first = await asyncio.open_connection("127.0.0.1", port)
            others = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
            assert await first[0].read() == b""
            assert (await request(port, "GET", "/healthz"))[0] == 200
            for _, writer in [first, *others]:
                writer.close()

    run(test)


def test_clients_that_keep_idle_connections_can_still_open_new_ones(tmp_path: Path) -> None:
    """Clients use at most a third of the descriptors, and the forwarder has more connection slots than that.

    If the forwarder closed idle connections only when all slots are in use, clients could open no
    connection for a new request (incident rf29a1f).
    """

    async def test() -> None:
        async with running_forwarder(tmp_path, accept, sockets=128) as (port, _, _, _):
            kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
            for number in range(120):
                while len(kept) >= 128 // 3:  # the client opens no more until one is closed
                    ended = [asyncio.ensure_future(reader.read()) for reader, _ in kept]
                    done, rest = await asyncio.wait(ended, timeout=4, return_when=asyncio.FIRST_COMPLETED)
                    assert done, f"locked out after {number}"
                    for each in rest:
                        each.cancel()
                    await asyncio.gather(*rest, return_exceptions=True)
                    kept = [pair for pair, each in zip(kept, ended, strict=True) if each not in done]
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
                assert await read_status(reader) == 200
                kept.append((reader, writer))
            for _, writer in kept:
                writer.close()

    run(test)


def test_a_message_submitted_twice_is_sent_once(tmp_path: Path) -> None:
    async def test() -> None:
        gate = Gate()
        async with running_forwarder(tmp_path, gate) as (port, target, _, _):
            assert await submit(port, "m1") == await submit(port, "m1") == 202
            await target.next()
            gate.open()
            assert await submit(port, "m2") == 202
            assert (await target.next()).headers["x-request-id"] == "m2"

    run(test)


async def pipeline(port: int, names: list[str], **timeouts: str) -> list[int]:
    """Submit several messages in one write; return the statuses of the responses."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for name in names:
        writer.write(message_bytes(name, b"\0", X_Timeout_Ms=timeouts.get(name, "24000")))
    statuses = [await read_status(reader) for _ in names]
    writer.close()
    return statuses


def test_messages_of_one_decision_are_accepted_only_while_the_journal_has_capacity(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, never_respond, disk_mb=1) as (port, _, _, under_test):
            capacities = iter([True, True, False])
            under_test.journal.has_capacity = lambda size: next(capacities)  # type: ignore[method-assign]
            assert await pipeline(port, ["a", "b", "c"]) == [202, 202, 503]
            assert [entry.id for entry in under_test.engine.messages.open_messages.values()] == ["a", "b"]

    run(test)


def test_a_failure_during_a_decision_fails_only_the_message_concerned(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, target, _, under_test):
            arrive = under_test.engine._forwarder.event_handlers[Arrival]
            seen: list[Arrival] = []

            def fail_on_second(event: Arrival) -> None:
                seen.append(event)
                if len(seen) == 2:
                    raise RuntimeError("a defect of the module")
                arrive(event)

            under_test.engine._forwarder.event_handlers[Arrival] = fail_on_second
            assert await pipeline(port, ["a", "b", "c"]) == [202, 500, 202]
            assert {(await target.next()).headers["x-request-id"] for _ in "ac"} == {"a", "c"}

    run(test)


def test_the_same_id_twice_in_one_decision_is_accepted_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, _, _, _):
            assert await pipeline(port, ["a", "a"]) == [202, 503]

    run(test)


async def deliver(port: int, target: Peer, forwarder: PlatformForwarder, name: str) -> None:
    """Submit a message, and wait until it is delivered and completed."""
    assert await submit(port, name) == 202
    await target.next()
    while forwarder.engine.messages.open_messages:
        await asyncio.sleep(0.01)


def batch_ids(body: bytes) -> list[bytes]:
    """Return the ids of the messages of a batch, in order."""
    return [line.split()[0] for line in body.split(b"\r\n")[::2] if line]


def test_a_burst_is_sent_as_one_batch_and_its_retry_after_is_respected(tmp_path: Path) -> None:
    times: list[float] = []

    async def handle(exchange: Exchange) -> None:
        times.append(asyncio.get_running_loop().time())
        if len(times) == 1:
            await asyncio.sleep(0.1)  # the usual latency, which limits the wait for a lease
            await exchange.answer(200)
        elif len(times) == 2:
            await exchange.answer(429, Retry_After="0.7")
        else:
            lines = b"".join(name + b" ok\r\n" for name in batch_ids(exchange.body))
            await exchange.answer(200, lines if exchange.path.endswith(":batch") else b"")

    async def test() -> None:
        async with running_forwarder(tmp_path, handle, flavor="wallet-operator") as (
            port,
            target,
            _,
            under_test,
        ):
            await deliver(port, target, under_test, "m0")
            # Three requests in one write are read in one loop turn, so they make one call.
            assert await pipeline(port, ["a", "b", "c"]) == [202] * 3
            rejected = await target.next()
            assert rejected.path == "/v1/messages:batch" and rejected.body.count(b"\r\n") == 6
            await target.next()
            assert times[2] - times[1] >= 0.7

    run(test)


def test_a_batch_is_ordered_by_deadline_with_the_latest_first(tmp_path: Path) -> None:
    """A hung partner may answer a batch when the batch's first message expires.

    All other messages must have expired by then.
    """

    async def test() -> None:
        async with running_forwarder(tmp_path, accept, flavor="wallet-operator") as (
            port,
            target,
            _,
            under_test,
        ):
            await deliver(port, target, under_test, "m0")
            timeouts = {"a": "4000", "b": "9000", "c": "2000", "d": "6000"}
            assert await pipeline(port, list(timeouts), **timeouts) == [202] * 4
            batch = await target.next()
            assert batch_ids(batch.body) == [b"b", b"d", b"a", b"c"]

    run(test)


def test_a_message_rejected_in_the_same_decision_gets_429_and_no_notice(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, never_respond) as (port, _, platform, _):
            status, headers = await request(
                port, "POST", "/api", message_headers("m1", X_Timeout_Ms="1"), b"x"
            )
            assert status == 429 and float(headers["retry-after"]) >= 0
            assert platform.notices.empty()
            assert not any(b"m1" in path.read_bytes() for path in (tmp_path / "state").iterdir())

    run(test)


def test_a_message_rejected_later_gets_a_bounced_notice_with_a_retry_after(tmp_path: Path) -> None:
    async def refuse(exchange: Exchange) -> None:
        await exchange.answer(503)

    async def test() -> None:
        async with running_forwarder(tmp_path, refuse) as (port, _, platform, _):
            assert await submit(port, "m1", X_Timeout_Ms="600") == 202
            notice = await platform.notice()
            assert (notice["ref"], notice["result"]) == ("m1", "bounced") and notice["wait_ms"] >= 0

    run(test)


def test_a_notice_that_is_rejected_does_not_delay_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, never_respond) as (port, _, platform, _):
            platform.notice_status = 400
            assert await submit(port, "m1", X_Timeout_Ms="100") == 202
            assert (await platform.notice())["ref"] == "m1"
            platform.notice_status = 204
            assert await submit(port, "m2", X_Timeout_Ms="100") == 202
            while (await platform.notice())["ref"] != "m2":  # the notice of m1 may have been sent once more
                pass

    run(test)


@pytest.mark.parametrize("discovery", ["ask", "push"])  # with push, lists arrive without being requested
def test_new_messages_are_not_sent_to_a_target_listed_as_draining(tmp_path: Path, discovery: str) -> None:
    async def test() -> None:
        async with (
            Peer(accept) as other,
            running_forwarder(tmp_path, accept, discovery=discovery) as (port, target, platform, _),
        ):
            await wait_for_watch(platform)
            platform.change([member(target.address, phase="DRAINING"), member(other.address, "s-2")])
            await wait_for_watch(platform)  # the next watch shows that the change was received
            assert await submit(port) == 202
            assert (await other.next()).headers["x-request-id"] == "m1"
            assert target.exchanges.empty()

    run(test)


def test_a_watch_continues_after_a_change_and_is_restarted_after_a_failure(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (_, target, platform, _):
            await wait_for_watch(platform)
            platform.change([member(target.address)])
            loop = asyncio.get_running_loop()
            answered = loop.time()
            assert await asyncio.wait_for(platform.watches.get(), 10) - answered < 0.2
            platform.down = True
            platform.change([])  # the open watch gets its answer, the next watches get 503
            assert await asyncio.wait_for(platform.watches.get(), 10)
            platform.down = False
            assert await asyncio.wait_for(platform.watches.get(), 10)

    run(test)


def test_a_watch_without_an_answer_is_sent_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("emberlatch.directory.client.WATCH_TIMEOUT_S", 0.05)
        async with running_forwarder(tmp_path, accept) as (port, target, platform, _):
            await wait_for_watch(platform)  # this watch gets no answer
            await wait_for_watch(platform)
            assert await submit(port) == 202
            assert (await target.next()).headers["x-request-id"] == "m1"

    run(test)


def test_a_lookup_returns_the_complete_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            Peer(accept) as other,
            running_forwarder(tmp_path, accept) as (port, target, platform, under_test),
        ):
            await wait_for_watch(platform)
            platform.members = [member(other.address, "s-2")]  # the previous target is no longer listed
            under_test.directory.request_list()
            await wait_for_watch(platform)
            while b"s-2" not in under_test.carrier._targets:
                await asyncio.sleep(0.01)
            assert await submit(port) == 202
            assert (await other.next()).headers["x-request-id"] == "m1"
            assert target.exchanges.empty()

    run(test)


def test_while_the_journal_cannot_be_written_submissions_get_503_and_nothing_is_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, target, _, _):

            def full(*_: Any) -> int:
                raise OSError(28, "No space left on device")

            with monkeypatch.context() as patch:
                patch.setattr("emberlatch.store.files.os.write", full)
                assert await submit(port, "m1") == 503
                assert target.exchanges.empty()
            assert await submit(port, "m2") == 202
            assert (await target.next()).headers["x-request-id"] == "m2"

    run(test)


async def wait_for_watch(platform: PlatformService) -> None:
    await asyncio.wait_for(platform.watches.get(), 10)


def head(changes: str = "", **headers: str) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in message_headers("m1", **headers).items())
    return f"POST /api HTTP/1.1\r\n{lines}{changes}\r\n".encode()


HIDDEN = head("Content-Length: 1\r\n", X_Request_ID="hidden") + b"x"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (head("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + b"0\r\n\r\n" + HIDDEN, 400),
        (head("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n") + b"0\r\n\r\n" + HIDDEN, 400),
        (head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + b"0\r\n\r\n" + HIDDEN, 400),
        (head("Transfer-Encoding: identity\r\n") + HIDDEN, 400),
        (head("Content-Length: 1\r\nContent-Length: 1\r\n") + b"x" + HIDDEN, 400),
        (head("Content-Length: -1\r\n") + HIDDEN, 400),
        (head("Content-Length: 60000000\r\n") + HIDDEN, 413),
        (
            head("Transfer-Encoding: chunked\r\n")
            + b"11000\r\n"
            + bytes(0x11000)
            + b"\r\n0\r\n\r\n"
            + HIDDEN,
            413,
        ),
        (head("Upgrade: x\r\nConnection: upgrade\r\n") + HIDDEN, 400),
        (head("X-Request-ID: other\r\n") + HIDDEN, 400),
        (head("Envelope: dest=8\r\n") + HIDDEN, 400),
        (b"POST /api HTTP/1.1\r\nA: " + b"a" * 100_000, 431),
        (b"POST /api HTTP/1.1\r\n" + b"A: a\r\n" * 10_000, 431),
        (b"POST /" + b"a" * 100_000, 431),
        (b"\x16\x03\x01\x00noise\r\n\r\n" + HIDDEN, 400),
    ],
)
def test_after_an_invalid_request_a_connection_is_answered_once_and_closed(
    tmp_path: Path, sent: bytes, status: int
) -> None:
    """The data after an invalid request may contain another message, which must be ignored."""

    async def test() -> None:
        async with running_forwarder(tmp_path, never_respond) as (port, _, _, under_test):
            for first, statuses in ((b"", []), (b"GET /healthz HTTP/1.1\r\n\r\n", [200])):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(first + sent)
                got = [await read_status(reader) for _ in range(len(statuses) + 1)]
                assert got == [*statuses, status]
                assert await reader.read() == b""
                writer.close()
            assert not under_test.engine.messages.open_messages

    run(test)


@pytest.mark.parametrize(
    "changes",
    [
        *({"X_Timeout_Ms": text} for text in ("1_0", "+7", "-7", "0", " ", "7.5", "nan", "0x10", "٣", "1e3")),
        *({"Envelope": text} for text in ("dest=+7", "dest=7_0", "dest=7;x", "dest=7;dest=7", "dest=", "=7")),
        {"Envelope": "dest=7; =", "X_Timeout_Ms": "100"},
    ],
)
def test_numbers_and_envelopes_are_parsed_strictly(tmp_path: Path, changes: dict[str, str]) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, never_respond) as (port, _, _, under_test):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head("Content-Length: 0\r\n", **changes))
            assert await read_status(reader) == 400
            assert not under_test.engine.messages.open_messages
            writer.close()

    run(test)


def test_pipelined_requests_over_the_limit_get_429(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, never_respond) as (port, _, _, under_test):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            one = b"Content-Length: 0\r\n"
            names = [f"m{n}" for n in range(300)]
            writer.write(b"".join(head(one.decode(), X_Request_ID=name) for name in names))
            statuses = [line.split()[1] for line in (await reader.read()).split(b"\r\n") if b"HTTP" in line]
            assert statuses == [b"202"] * MAX_PIPELINED_REQUESTS + [b"429"]
            assert len(under_test.engine.messages.open_messages) == MAX_PIPELINED_REQUESTS
            writer.close()

    run(test)


def test_a_client_that_reads_no_responses_is_paused_and_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(server_module, "REQUEST_TIMEOUT_S", 0.3)
        async with running_forwarder(tmp_path, never_respond) as (port, _, _, under_test):
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.setblocking(False)
                loop = asyncio.get_running_loop()
                with pytest.raises(ConnectionError):
                    while True:  # the forwarder stops reading, and then closes the connection
                        await loop.sock_sendall(client, b"GET /none HTTP/1.1\r\n\r\n")
            assert not under_test.server.has_clients

    run(test)


def test_a_new_connection_without_a_request_is_closed_before_a_proven_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept, sockets=48) as (port, _, _, _):
            proven = await asyncio.open_connection("127.0.0.1", port)
            proven[1].write(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert await read_status(proven[0]) == 200
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(40)]
            assert await submit(port) == 202
            for reader, _ in silent[:30]:
                with suppress(ConnectionError):
                    assert await reader.read() == b""
            proven[1].write(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert await read_status(proven[0]) == 200
            monkeypatch.setattr(server_module, "REQUEST_TIMEOUT_S", 0.05)
            for reader, writer in silent:  # the others are closed after the time limit
                with suppress(ConnectionError):
                    assert await reader.read() == b""
                writer.close()
            proven[1].close()

    run(test)


def test_a_connection_that_arrives_without_free_descriptors_is_accepted_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, _, _, _):
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            waiting = socket.create_connection(("127.0.0.1", port))
            used = len(os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (used - 1, hard))
            try:
                await asyncio.sleep(0.1)  # the connection is accepted once descriptors are free again
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            waiting.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
            waiting.setblocking(False)
            assert b" 200 " in await asyncio.get_running_loop().sock_recv(waiting, 100)
            waiting.close()

    run(test)


def test_changing_targets_clients_and_keys_do_not_accumulate(tmp_path: Path) -> None:
    """After many changes the tables contain only current entries."""

    async def test() -> None:
        async with running_forwarder(tmp_path, accept) as (port, target, platform, under_test):
            for n in range(40):
                await wait_for_watch(platform)
                name = f"s-{n}"
                platform.change([member(target.address, name)])
                while name.encode() not in under_test.carrier._targets:
                    await asyncio.sleep(0.001)
                keyed: dict[str, Any] = {"X_Priority_Class": "payout", "Idempotency_Key": f"key-{n}"}
                assert await submit(port, f"m{n}", **keyed) == 202
                await target.next()
            module = under_test.engine._forwarder
            while under_test.engine.messages.open_messages or module.calls or under_test.carrier.in_flight:
                await asyncio.sleep(0.01)
            assert len(under_test.carrier._targets) == len(module.endpoints) == 1
            assert len(under_test.carrier._pool) <= 1
            assert [len(pool.routes) for pool in module.pools.values()] == [1]
            assert module.queue.key_order.is_empty
            for table in (
                module.open_messages,
                under_test.engine.messages._open_ids,
            ):
                assert not table
            assert (
                not under_test.engine.messages.completed
                and not under_test.engine._submissions._pending
                and not under_test.engine._submissions._pending_ids
            )

    run(test)


def test_a_list_with_invalid_members_keeps_the_others_and_the_watch(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as other, running_forwarder(tmp_path, accept) as (port, _, platform, _):
            await wait_for_watch(platform)
            invalid: list[Any] = [
                None,
                7,
                {},
                member("nowhere", "s-2"),
                member(other.address, "s-3", cell="x"),
            ]
            invalid += [member(other.address, "s-4", phase="ODD"), member(other.address, "s-5", size="nan")]
            platform.change([*invalid, member(other.address, "s-6")])
            await wait_for_watch(platform)  # the watch continues
            assert await submit(port) == 202
            assert (await other.next()).headers["x-request-id"] == "m1"

    run(test)


def test_a_message_of_an_unknown_class_in_the_journal_is_abandoned(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "state").mkdir()
        store = Journal(Folder(tmp_path / "state"), 3_000_000)
        store.load()
        store.add(Entry(1, "m1", "", "no-such-class", "acme", 7, time.time() + 10, b"x"))
        store.close()
        async with running_forwarder(tmp_path, accept) as (_, _, platform, under_test):
            assert await platform.notice() == {"ref": "m1", "result": "dead"}
            while under_test.engine.messages.completed:
                await asyncio.sleep(0.01)

    run(test)
