"""Takeovers between real processes of the program, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from emberlatch.takeover import VERSION, Frame, UnixConnection, handover_socket_path
from emberlatch.takeover.unix_socket import connect, listen
from tests.operators import call, read_metrics, until
from tests.peers import (
    ROOT,
    Exchange,
    Handler,
    Peer,
    PlatformService,
    accept,
    config,
    free_port,
    listed_target,
    message_bytes,
    never_respond,
    read_status,
    run,
)

PAYOUT: dict[str, Any] = {"X_Priority_Class": "payout", "Idempotency_Key": "k1"}
ORDER: dict[str, Any] = {"X_Priority_Class": "order"}


@dataclass
class Running:
    """A process of the program, and the port of its operators' interface."""

    process: asyncio.subprocess.Process
    operators: int

    async def ready(self) -> None:
        """Wait until the process reports that it is ready."""
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.01)

    async def is_ready(self) -> bool:
        try:
            return (await call(self.operators, "GET", "/ops/readiness"))[0] == 200
        except OSError:
            return False

    async def ended(self) -> int:
        return await asyncio.wait_for(self.process.wait(), 20)


class Machine:
    """The platform, which holds the listening socket and starts processes on one state folder."""

    def __init__(self, folder: Path, service: Peer, known: dict[str, Any]) -> None:
        self.folder, self.service, self.known = folder, service, known
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = int(self.listener.getsockname()[1])
        self.running: list[Running] = []
        self.temporary = folder / "tmp"
        for each in ("tmp", "state"):
            (folder / each).mkdir()
        self.document = config(service.address, known, self.port)

    async def start(self, **environment: str) -> Running:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.document))
        operators = await free_port()
        variables = {
            "EDGE_CONFIG": str(path),
            "EDGE_STATE": str(self.folder / "state"),
            "EDGE_OPS": f"127.0.0.1:{operators}",
            "EDGE_FD": str(self.listener.fileno()),
            "TMPDIR": str(self.temporary),
        }
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "emberlatch"),
                cwd=ROOT,
                env=os.environ | variables | environment,
                stderr=log,
                pass_fds=[self.listener.fileno()],
            )
        self.running.append(Running(process, operators))
        return self.running[-1]

    async def ready(self) -> Running:
        running = await self.start()
        await running.ready()
        return running

    def handover_path(self) -> Path:
        os.environ["TMPDIR"], before = str(self.temporary), os.environ.get("TMPDIR")
        try:
            return handover_socket_path(self.document["name"])
        finally:
            os.environ.pop("TMPDIR") if before is None else os.environ.update(TMPDIR=before)

    async def request_handover(
        self, kind: str = "take", body: dict[str, Any] | None = None
    ) -> tuple[UnixConnection, Frame | None]:
        """Request a takeover as a successor does; return the connection and the first answer."""
        connection = UnixConnection(connect(self.handover_path()))
        await connection.send(kind, {"version": VERSION} if body is None else body)
        return connection, await connection.receive()

    def log(self) -> str:
        return (self.folder / "log").read_text()

    async def close(self) -> None:
        for each in self.running:
            if each.process.returncode is None:
                each.process.kill()
            await each.process.wait()
        self.listener.close()

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@dataclass
class Client:
    """A persistent connection of a client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, name: str, **headers: Any) -> None:
        self.writer.write(message_bytes(name, b"x", **headers))

    async def status(self) -> int:
        return await asyncio.wait_for(read_status(self.reader), 10)

    async def submit(self, name: str, **headers: str) -> int:
        self.send(name, **headers)
        return await self.status()


@asynccontextmanager
async def machine(
    folder: Path, handler: Handler = accept
) -> AsyncIterator[tuple[Machine, Peer, PlatformService]]:
    """Yield a machine on which no process runs yet, its only target, and the platform service."""
    async with listed_target(handler) as (target, platform, service):
        machine_under_test = Machine(folder, service, platform.document())
        try:
            yield machine_under_test, target, platform
        finally:
            await machine_under_test.close()


class Calls:
    """Queues the calls that a target receives, so that a test can answer them one by one."""

    def __init__(self) -> None:
        self._waiting: asyncio.Queue[Exchange] = asyncio.Queue()

    async def __call__(self, exchange: Exchange) -> None:
        self._waiting.put_nowait(exchange)

    async def next(self) -> Exchange:
        return await self._waiting.get()


@dataclass
class CallInFlight:
    """A process whose call for the message `m1` has reached the target and is not answered yet."""

    platform: Machine
    target: Peer
    service: PlatformService
    calls: Calls
    owner: Running
    client: Client
    call: Exchange


@asynccontextmanager
async def call_in_flight(folder: Path, **headers: str) -> AsyncIterator[CallInFlight]:
    """Start a process, submit a message to it, and yield once its call has reached the target."""
    calls = Calls()
    async with machine(folder, calls) as (platform, target, service):
        owner = await platform.ready()
        client = await platform.client()
        assert await client.submit("m1", **headers) == 202
        yield CallInFlight(platform, target, service, calls, owner, client, await calls.next())


def test_client_and_target_connections_are_kept_and_the_predecessor_exits(tmp_path: Path) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, target, _):
            old = await platform.ready()
            idle, half, partial = [await platform.client() for _ in range(3)]
            for number, client in enumerate((idle, half)):
                assert await client.submit(f"before{number}") == 202
            request = message_bytes("half", b"0123456789")
            half.writer.write(request[:-4])  # the headers and a part of the body
            partial.writer.write(request.replace(b"half", b"head")[:40])  # only a part of the headers
            assert await idle.submit("last") == 202  # all earlier data has been read by now
            await until(old.operators, {"success.status-update": 3})
            connections = target.connections
            new = await platform.ready()
            assert await old.ended() == 0
            assert await idle.submit("after") == 202
            await until(new.operators, {"success.status-update": 1})
            assert target.connections == connections  # the idle connection to the target is handed over too
            half.writer.write(request[-4:])
            partial.writer.write(request.replace(b"half", b"head")[40:])
            assert [await half.status(), await partial.status()] == [202, 202]
            names: set[str] = set()
            bodies: dict[str, bytes] = {}
            while not {"before0", "before1", "last", "after", "head"} <= names:
                seen = await target.next()
                names.add(seen.headers["x-request-id"])
                bodies[seen.headers["x-request-id"]] = seen.body
            assert bodies["head"] == b"0123456789"
            reported = await until(new.operators, {"concurrent": 0})
            assert reported["success.status-update"] >= 2 and reported["error.status-update"] == 0

    run(test)


@pytest.mark.parametrize("headers", [{}, PAYOUT, ORDER])
def test_the_outcome_of_a_call_in_flight_is_relayed_and_its_message_is_not_sent_twice(
    tmp_path: Path, headers: dict[str, Any]
) -> None:
    """The predecessor relays the outcome, and the successor counts it."""

    async def test() -> None:
        async with call_in_flight(tmp_path, **headers) as setup:
            new = await setup.platform.ready()
            assert not await setup.owner.is_ready()
            before, after = await read_metrics(setup.owner.operators), await read_metrics(new.operators)
            assert after["concurrent"] == 1 and before["concurrent"] == 0
            assert setup.owner.process.returncode is None  # the predecessor waits for the call
            # The predecessor ignores SIGHUP: it does not reload its settings any more.
            setup.owner.process.send_signal(signal.SIGHUP)
            await setup.call.answer(200)
            category = headers.get("X_Priority_Class", "status-update")
            reported = await until(new.operators, {"concurrent": 0})
            assert reported[f"success.{category}"] == 1 and reported["dispatches"] == 0
            assert await setup.owner.ended() == 0
            assert setup.target.exchanges.qsize() == 1 and setup.service.notices.empty()

    run(test)


def test_the_outcome_of_a_call_in_flight_is_relayed_over_two_takeovers(tmp_path: Path) -> None:
    """Guards against a fault found by seed 1103.

    The second process exited too early, so the calls of the first one counted as reset.
    """

    async def test() -> None:
        async with call_in_flight(tmp_path, **ORDER) as setup:
            second = await setup.platform.ready()
            third = await setup.platform.ready()
            assert (await read_metrics(third.operators))["concurrent"] == 1
            assert setup.owner.process.returncode is None and second.process.returncode is None
            await setup.call.answer(200)
            reported = await until(third.operators, {"concurrent": 0})
            assert reported["success.order"] == 1 and setup.service.notices.empty()
            assert [await setup.owner.ended(), await second.ended()] == [0, 0]
            assert setup.target.exchanges.qsize() == 1

    run(test)


def test_the_first_of_three_processes_aborts_its_calls_when_the_second_is_killed(tmp_path: Path) -> None:
    """Outcomes can no longer be relayed, and the third process sends the message again.

    The first process must therefore abort its call.
    """

    async def test() -> None:
        async with call_in_flight(tmp_path) as setup:
            second = await setup.platform.ready()
            third = await setup.platform.ready()
            second.process.kill()
            # Wait until the process closes the connection of its call.
            while not setup.call.writer.transport.is_closing():
                await asyncio.sleep(0.01)
            assert await setup.owner.ended() == 0
            await (await setup.calls.next()).answer(200)  # a safe message is sent again
            await until(third.operators, {"success.status-update": 1})

    run(test)


def test_a_relayed_retry_after_delays_the_next_call(tmp_path: Path) -> None:
    async def test() -> None:
        async with call_in_flight(tmp_path) as setup:
            new = await setup.platform.ready()
            loop = asyncio.get_running_loop()
            await setup.call.answer(429, Retry_After="1.5")
            retry_at = loop.time() + 1.4
            await until(new.operators, {"targets_disabled": 1})
            assert await setup.client.submit("m2") == 202
            again = await setup.calls.next()
            assert loop.time() >= retry_at
            await again.answer(200)

    run(test)


@pytest.mark.parametrize("headers", [{}, PAYOUT, ORDER])
def test_calls_in_flight_of_a_killed_predecessor_have_unknown_outcomes(
    tmp_path: Path, headers: dict[str, Any]
) -> None:
    async def test() -> None:
        async with call_in_flight(tmp_path, **headers) as setup:
            new = await setup.platform.ready()
            setup.target.handler = accept
            setup.owner.process.kill()
            if headers is ORDER:  # the message may have been executed, and must not be executed twice
                assert await setup.service.notice() == {"ref": "m1", "result": "dead"}
                assert setup.target.exchanges.qsize() == 1
            else:
                await until(new.operators, {"concurrent": 0, "dispatches": 1})

    run(test)


@pytest.mark.parametrize("when", ["before its request", "with the state", "after it owns"])
def test_after_the_end_of_a_successor_another_process_owns_the_folder(tmp_path: Path, when: str) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            client = await platform.client()
            assert await client.submit("m1") == 202
            if when == "after it owns":
                new = await platform.ready()
                new.process.kill()
                await new.ended()
                # The process has handed over everything; the platform starts another one.
                assert await old.ended() == 0
                third = await platform.ready()
                assert await (await platform.client()).submit("m2") == 202
                await until(third.operators, {"success.status-update": 1})
                return
            if when == "with the state":
                connection, frame = await platform.request_handover()
                assert frame is not None and frame.kind == "state"
            else:
                connection = UnixConnection(connect(platform.handover_path()))
            connection.close()
            assert await client.submit("m2") == 202  # on the client's existing connection
            await old.ready()
            assert await (await platform.client()).submit("m3") == 202
            await until(old.operators, {"success.status-update": 3, "concurrent": 0})
            await platform.ready()  # another successor can take over
            assert await client.submit("m4") == 202

    run(test)


def test_a_successor_that_does_not_answer_pauses_the_owner_for_two_seconds(tmp_path: Path) -> None:
    async def test() -> None:
        async with call_in_flight(tmp_path) as setup:
            connection, frame = await setup.platform.request_handover()
            assert frame is not None and frame.body["module"]["calls"]
            await setup.call.answer(200)  # the response arrives while the owner is unknown
            setup.client.send("m2")
            second, reply = await setup.platform.request_handover()
            assert reply is not None and reply.kind == "busy"
            assert await setup.client.status() == 202  # after OWNERSHIP_TIMEOUT_S, two seconds
            (await setup.calls.next()).writer.close()
            metrics = await until(setup.owner.operators, {"success.status-update": 1})
            assert metrics["dispatches"] >= 1
            connection.close()
            second.close()

    run(test)


@pytest.mark.parametrize(
    ("body", "kind"), [({"version": VERSION + 1}, "take"), ({}, "take"), ({"version": VERSION}, "give")]
)
def test_a_declined_request_leaves_the_owner_serving(tmp_path: Path, body: dict[str, Any], kind: str) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            connection, frame = await platform.request_handover(kind, body)
            assert frame is not None and frame.kind == "cannot"
            assert await connection.receive() is None
            assert await old.is_ready()
            assert await (await platform.client()).submit("m1") == 202
            connection.close()

    run(test)


def test_after_an_invalid_state_the_successor_waits_until_the_owner_exits(tmp_path: Path) -> None:
    """Once the lock is released, the successor starts from the journal alone."""

    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            client = await platform.client()
            assert await client.submit("m1") == 202
            await until(old.operators, {"success.status-update": 1})
            listener = listen(platform.handover_path())  # the test answers instead of the owner
            new = await platform.start()
            loop = asyncio.get_running_loop()
            accepted, _ = await loop.sock_accept(listener)
            connection = UnixConnection(accepted)
            assert await connection.receive() is not None
            await connection.send("state", {"version": VERSION, "module": {"calls": [{}]}})
            # The successor closes the connection, and the owner keeps the lock.
            assert await connection.receive() is None
            assert not await new.is_ready() and await old.is_ready()
            old.process.send_signal(signal.SIGTERM)
            await new.ready()
            assert await (await platform.client()).submit("m2") == 202
            assert await old.ended() == 0
            listener.close()

    run(test)


def test_a_hung_owner_is_replaced_once_it_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with machine(tmp_path, never_respond) as (platform, target, _):
            old = await platform.ready()
            client = await platform.client()
            assert await client.submit("m1") == 202
            await target.next()
            old.process.send_signal(signal.SIGSTOP)
            new = await platform.start()
            while "the owner did not hand over" not in platform.log():
                await asyncio.sleep(0.05)
            assert not await new.is_ready()
            target.handler = accept
            old.process.kill()
            await new.ready()
            await until(new.operators, {"success.status-update": 1, "concurrent": 0})

    run(test)


def test_with_two_simultaneous_successors_each_message_is_sent_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, target, _):
            first = await platform.ready()
            client = await platform.client()
            two, three = await platform.start(), await platform.start()
            names: list[str] = []
            while first.process.returncode is None or two.process.returncode == three.process.returncode:
                names.append(f"m{len(names)}")
                assert await client.submit(names[-1]) == 202
                # The first process hands over to one successor, which hands over to the other one later.
            remaining = two if two.process.returncode is None else three
            await remaining.ready()
            await until(remaining.operators, {"concurrent": 0})
            seen = [
                target.exchanges.get_nowait().headers["x-request-id"] for _ in range(target.exchanges.qsize())
            ]
            assert sorted(seen) == sorted(names)  # each message was sent once

    run(test)


def test_sigterm_while_relaying_does_not_end_the_relay(tmp_path: Path) -> None:
    async def test() -> None:
        async with call_in_flight(tmp_path, **ORDER) as setup:
            new = await setup.platform.ready()
            setup.owner.process.send_signal(signal.SIGTERM)
            # The successor serves meanwhile.
            assert await setup.client.submit("m2", X_Timeout_Ms="300") == 202
            await setup.call.answer(200)
            await until(new.operators, {"success.order": 1})
            assert await setup.owner.ended() == 0

    run(test)


def test_sigterm_while_waiting_for_the_lock_ends_the_successor_only(tmp_path: Path) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            listener = listen(platform.handover_path())  # requests of the successor are not answered
            new = await platform.start()
            while not (await figures_or_none(new)):
                await asyncio.sleep(0.01)
            assert not await new.is_ready()
            new.process.send_signal(signal.SIGTERM)
            assert await new.ended() == 0
            assert await (await platform.client()).submit("m1") == 202
            assert await old.is_ready()
            listener.close()

    run(test)


async def figures_or_none(running: Running) -> dict[str, int] | None:
    try:
        return await read_metrics(running.operators)
    except OSError:
        return None


def test_an_unconfirmed_notice_is_sent_again_after_a_takeover(tmp_path: Path) -> None:
    async def test() -> None:
        async with machine(tmp_path, never_respond) as (platform, _, service):
            service.notice_status = 503
            await platform.ready()
            client = await platform.client()
            assert await client.submit("m1", X_Timeout_Ms="400") == 202
            first = await service.notice()
            await platform.ready()
            service.notice_status = 204
            while (await service.notice()) != first:
                pass

    run(test)


def test_a_torn_record_at_a_takeover_is_skipped_and_other_records_are_read(tmp_path: Path) -> None:
    async def test() -> None:
        async with call_in_flight(tmp_path) as setup:
            (segment,) = (tmp_path / "state").glob("*.log")
            with segment.open("ab") as file:
                file.write(b"\xe5EL1\x00\x00\x01\x00torn")
            new = await setup.platform.ready()
            assert (await read_metrics(new.operators))["concurrent"] == 1
            await setup.call.answer(200)
            await until(new.operators, {"concurrent": 0, "success.status-update": 1})

    run(test)


def test_a_drain_ends_with_the_drained_process(tmp_path: Path) -> None:
    """The successor accepts messages until an operator starts a drain of it as well."""

    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            assert (await call(old.operators, "POST", "/ops/drain/start"))[0] == 200
            await platform.ready()
            assert await (await platform.client()).submit("m1") == 202

    run(test)


def test_settings_that_change_between_the_start_of_a_successor_and_its_takeover_are_used(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            document = json.loads(json.dumps(platform.document))
            extra = document["settings"]["categories"][1] | {"name": "status-2"}
            document["settings"]["categories"].append(extra)
            old.process.send_signal(signal.SIGSTOP)
            new = await platform.start()
            while not (await figures_or_none(new)):  # the new process may not have read its settings yet
                await asyncio.sleep(0.01)
            (tmp_path / "new.json").write_text(json.dumps(document))
            (tmp_path / "new.json").replace(tmp_path / "config.json")
            old.process.send_signal(signal.SIGHUP)
            old.process.send_signal(signal.SIGCONT)
            await new.ready()
            assert await (await platform.client()).submit("m1", X_Priority_Class="status-2") == 202

    run(test)


@pytest.mark.parametrize("descriptor", ["0", "999", "x"])
def test_an_invalid_listener_descriptor_gives_one_error_line_and_exit_status_2(
    tmp_path: Path, descriptor: str
) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            running = await platform.start(EDGE_FD=descriptor)
            assert await running.ended() == 2
            assert "emberlatch: EDGE_FD: " in platform.log()

    run(test)


def test_a_second_forwarder_on_a_folder_in_use_gives_one_error_line_and_exit_status_2(tmp_path: Path) -> None:
    async def test() -> None:
        async with machine(tmp_path) as (platform, _, _):
            old = await platform.ready()
            second = await platform.start(EDGE_FD="")
            assert await second.ended() == 2
            assert "in use by another forwarder" in platform.log()
            assert await old.is_ready()

    run(test)
