"""The connection between predecessor and successor: frames over a Unix socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from emberlatch.takeover.errors import HandoverConnectionError
from emberlatch.takeover.frames import HEADER, MAX_DESCRIPTORS, Fields, Frame, FrameDecoder, encode_frame

READ_BYTES = 64 * 1024  # maximum size of one read from the socket


class HandoverConnection(Protocol):
    """A connection between predecessor and successor.

    `post` and `send` raise HandoverConnectionError if the other process has closed the connection or has
    ended; `receive` raises it if the connection breaks.
    """

    closed: bool

    def post(self, kind: str, **body: object) -> None:
        """Send a short frame without waiting."""

    async def send(self, kind: str, body: Fields, descriptors: Sequence[int] = ()) -> None:
        """Send a frame."""

    async def receive(self) -> Frame | None:
        """Return the next frame, or None once the other process has closed the connection."""

    def close(self) -> None:
        """Close the connection."""


class UnixConnection:
    """A connection over a Unix socket; implements `HandoverConnection`.

    At most one `send` and one `receive` may run at a time.
    """

    def __init__(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        self._socket = connection
        self._decoder = FrameDecoder()
        self.closed = False

    def post(self, kind: str, **body: object) -> None:
        """Send a short frame without waiting. Raises HandoverConnectionError if that is not possible."""
        data = encode_frame(kind, body, 0)
        try:
            written = self._socket.send(data)
        except OSError as error:
            raise HandoverConnectionError(str(error)) from error
        if written < len(data):
            raise HandoverConnectionError(
                f"the other process does not read: sent {written} of {len(data)} bytes of a {kind!r} frame"
            )

    async def send(self, kind: str, body: Fields, descriptors: Sequence[int] = ()) -> None:
        """Send a frame. Raises HandoverConnectionError if the connection is broken."""
        loop, data = asyncio.get_running_loop(), encode_frame(kind, body, len(descriptors))
        try:
            sent = 0
            while descriptors and not sent:
                try:
                    sent = socket.send_fds(self._socket, [data[: HEADER.size]], list(descriptors))
                except BlockingIOError:
                    await self._ready(loop.add_writer, loop.remove_writer)
            await loop.sock_sendall(self._socket, data[sent:])
        except OSError as error:
            raise HandoverConnectionError(str(error)) from error

    async def receive(self) -> Frame | None:
        """Return the next frame, or None once the other process has closed the connection.

        Raises HandoverConnectionError if the connection breaks or the received data is not a valid frame.
        """
        while (frame := self._decoder.next()) is None:
            if not await self._read():
                return None
        return frame

    async def _read(self) -> bool:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, descriptors, _, _ = socket.recv_fds(self._socket, READ_BYTES, MAX_DESCRIPTORS)
                break
            except BlockingIOError:
                await self._ready(loop.add_reader, loop.remove_reader)
            except OSError as error:
                raise HandoverConnectionError(str(error)) from error
        self._decoder.feed(data, descriptors)
        return bool(data)

    async def _ready(
        self,
        register: Callable[[socket.socket, Callable[[], None]], None],
        unregister: Callable[[socket.socket], bool],
    ) -> None:
        """Wait until the socket is readable or writable, depending on `register`."""
        ready = asyncio.Event()
        register(self._socket, ready.set)
        try:
            await ready.wait()
        finally:
            unregister(self._socket)

    def close(self) -> None:
        """Close the connection and the file descriptors of incomplete frames."""
        if not self.closed:
            self.closed = True
            self._socket.close()
            self._decoder.close()
