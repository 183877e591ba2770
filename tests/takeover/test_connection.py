"""The connection between predecessor and successor: frames and file descriptors over a Unix socket."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from emberlatch.takeover import HandoverConnectionError, UnixConnection
from emberlatch.takeover.frames import MAX_DESCRIPTORS, MAX_FRAME_BYTES
from emberlatch.takeover.unix_socket import connect, listen


def run(test: Callable[[UnixConnection, UnixConnection], Awaitable[None]]) -> None:
    async def limited() -> None:
        one, two = (UnixConnection(each) for each in socket.socketpair(socket.AF_UNIX))
        try:
            await asyncio.wait_for(test(one, two), 30)
        finally:
            one.close()
            two.close()

    asyncio.run(limited())


def test_frames_arrive_complete_and_in_order_with_their_descriptors() -> None:
    async def test(one: UnixConnection, two: UnixConnection) -> None:
        pipes = [os.pipe() for _ in range(3)]
        sent = asyncio.ensure_future(send(one, pipes))
        first, large, third = [await two.receive() for _ in range(3)]
        assert first is not None and large is not None and third is not None
        assert (first.kind, first.body["n"], first.descriptors) == ("a", 1, [])
        assert len(large.body["text"]) == 3_000_000 and len(large.descriptors) == 2
        assert len(third.descriptors) == 1
        for frame, pipe in ((large, pipes[0]), (third, pipes[2])):
            os.write(pipe[1], b"x")
            assert os.read(frame.descriptors[0], 1) == b"x"
            frame.close()
        await sent
        for pipe in pipes:
            os.close(pipe[0])
            os.close(pipe[1])

    async def send(connection: UnixConnection, pipes: list[tuple[int, int]]) -> None:
        connection.post("a", n=1)
        # This frame is larger than the socket buffer.
        await connection.send("b", {"text": "x" * 3_000_000}, [pipes[0][0], pipes[1][0]])
        await connection.send("c", {}, [pipes[2][0]])

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">IH", MAX_FRAME_BYTES + 1, 0),
        struct.pack(">IH", 2, MAX_DESCRIPTORS + 1) + b"{}",
        struct.pack(">IH", 2, 0) + b"{}",
        struct.pack(">IH", 3, 0) + b"\xff{}",
        struct.pack(">IH", 12, 1) + b'{"kind":"a"}',
        struct.pack(">IH", 4, 0) + b"[[[[",
    ],
)
def test_invalid_frame_data_raises_handover_connection_error(data: bytes) -> None:
    async def test(one: UnixConnection, two: UnixConnection) -> None:
        one._socket.send(data)
        with pytest.raises(HandoverConnectionError):
            await two.receive()

    run(test)


def test_after_the_peer_closed_receive_returns_none_and_a_send_fails() -> None:
    async def test(one: UnixConnection, two: UnixConnection) -> None:
        one.close()
        assert await two.receive() is None
        with pytest.raises(HandoverConnectionError):
            await two.send("a", {"text": "x" * 1_000_000})
        with pytest.raises(HandoverConnectionError):
            two.post("a")

    run(test)


@pytest.mark.parametrize("depth", [0, 12])
def test_a_stale_socket_file_is_replaced_and_a_path_may_exceed_the_address_length(
    tmp_path: Path, depth: int
) -> None:
    folder = tmp_path.joinpath(*(["a-long-name-of-a-folder"] * depth))
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "handover.sock"
    listen(path).close()  # leaves a socket file without a listener, as an ended process does
    with pytest.raises(ConnectionRefusedError):
        connect(path)
    listener = listen(path)
    assert path.stat().st_mode & 0o777 == 0o600
    client = connect(path)
    accepted, _ = listener.accept()
    for each in (listener, client, accepted):
        each.close()
