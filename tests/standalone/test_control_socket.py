"""The control socket: permissions, limits, and answers to invalid requests and failed commands."""

from __future__ import annotations

import asyncio
import socket
import stat
from pathlib import Path

import pytest

from emberlatch.standalone.answers import Command, StatusAnswer, decode
from emberlatch.standalone.control_socket import SOCKET_NAME, ControlServer, send_command
from tests.peers import Peer, accept, never_respond
from tests.standalone.running_gateway import inventory_row, run_async_test, running_gateway, submit


def test_only_its_owner_may_open_the_socket_and_status_shows_messages_in_flight(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            Peer(never_respond) as peer,
            running_gateway(tmp_path, inventory_row("m1", peer)) as (_, port),
        ):
            path = tmp_path / "state" / SOCKET_NAME
            assert stat.S_IMODE(path.stat().st_mode) == 0o600
            assert await submit(port, "p1") == 202
            await peer.next()
            answer = await asyncio.to_thread(send_command, tmp_path / "state", Command.STATUS)
            assert (answer["held"], answer["slots_free"]) == (1, 9)
            status = decode(answer, StatusAnswer)
            assert (status.in_flight, status.free_slots, status.inventory.endpoints) == (1, 9, 1)
            (pool,) = status.pools
            assert (pool.partner, pool.leases) == ("momo", 1)
            assert pool.routes[0].endpoints[0].target.startswith("m1@east-wing/")

    run_async_test(test)


@pytest.mark.parametrize(
    "request_line", [b"nonsense\n", b"[]\n", b'{"do":"format"}\n', b'{"do":[]}\n', b"\xff\n"]
)
def test_an_invalid_request_is_answered_with_the_known_commands(tmp_path: Path, request_line: bytes) -> None:
    async def test() -> None:
        async with Peer(accept) as peer, running_gateway(tmp_path, inventory_row("m1", peer)):
            reader, writer = await asyncio.open_unix_connection(tmp_path / "state" / SOCKET_NAME)
            writer.write(request_line)
            assert b"known are status, reload" in await reader.read()
            writer.close()
            flood = await asyncio.open_unix_connection(tmp_path / "state" / SOCKET_NAME)
            flood[1].write(b"x" * 100_000)
            assert await flood[0].read() == b""
            flood[1].close()
            assert "held" in await asyncio.to_thread(send_command, tmp_path / "state", "status")

    run_async_test(test)


def test_after_a_failed_command_the_socket_answers_the_next_one(tmp_path: Path) -> None:
    async def test() -> None:
        async def broken() -> dict[str, object]:
            raise RuntimeError("a defect")

        control = ControlServer(tmp_path, {"status": broken})
        await control.start()
        for _ in range(2):
            answer = await asyncio.to_thread(send_command, tmp_path, "status")
            assert "a defect" in str(answer["error"])
        control.stop()

    run_async_test(test)


def test_a_socket_of_a_killed_process_is_replaced_and_a_too_long_path_is_an_error(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket(socket.AF_UNIX) as stale:
            stale.bind(str(tmp_path / SOCKET_NAME))
        control = ControlServer(tmp_path, {})
        await control.start()
        control.stop()
        deep = tmp_path / ("x" * 100)
        deep.mkdir()
        with pytest.raises(OSError, match="too long"):
            await ControlServer(deep, {}).start()

    run_async_test(test)
