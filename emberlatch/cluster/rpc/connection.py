"""One connection between two processes: CBOR in frames of a length (4 bytes, big-endian) and so many bytes.

A frame is an array: [0, number, method, payload] asks, [1, number, payload] answers, [2, number, text] says
that it could not be answered, [3, method, payload] tells and wants no answer. Both sides may ask. What can't
be read costs its sender the connection, and nothing else.
"""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from typing import Any, cast

import cbor2

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc.counters import TrafficCounters
from emberlatch.engine import Machine, Tasks
from emberlatch.net.accept import Acceptor

MOST_FRAME = 8 * 1024 * 1024  # bytes
MOST_ASKED = 20_000  # questions of one connection that have no answer yet
ASK, ANSWER, FAILED, TELL = range(4)

Serve = Callable[["RpcConnection", str, Any], Any]
"""Serves a question: returns the answer, or a coroutine that brings it. Raises what is told as text."""


class Lost(Exception):
    """A call has no answer. `sent`: it may have arrived; else it surely did not."""

    def __init__(self, step: str, peer: str, text: str, sent: bool) -> None:
        super().__init__(f"{step} at {peer}: {text}")
        self.step, self.peer, self.text, self.sent = step, peer, text, sent


class RpcConnection(asyncio.Protocol):
    """One end of a connection."""

    transport: asyncio.Transport

    def __init__(self, serve: Serve, tasks: Tasks, counters: TrafficCounters, name: str = "?") -> None:
        self.name, self._serve, self._tasks, self._counters = name, serve, tasks, counters
        self._buffer = bytearray()
        self._number = 0
        self._asked: dict[int, asyncio.Future[Any]] = {}
        self._since: dict[int, float] = {}  # when each was asked
        self._out: list[bytes] = []
        self.closed = False
        self.heard = 0.0  # loop time at which something came last
        self.gone: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # a loop's own need not be of that class
        self.heard = asyncio.get_running_loop().time()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        asked, self._asked = self._asked, {}
        for future in asked.values():
            if not future.done():
                future.set_exception(Lost("call", self.name, "connection lost", True))
        self.gone()

    def close(self) -> None:
        """End it at once."""
        self.closed = True
        self.transport.abort()

    def leave(self) -> None:
        """End it once what was written has gone out."""
        self._flush()
        self.transport.close()

    def ask(self, method: str, payload: Any) -> asyncio.Future[Any]:
        """Ask; the future brings the answer or Lost."""
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        if self.closed:
            future.set_exception(Lost(method, self.name, "no connection", False))
            return future
        self._number += 1
        number = self._number
        self._asked[number] = future
        self._since[number] = asyncio.get_running_loop().time()
        future.add_done_callback(lambda _: self._asked.pop(number, None))
        self._write([ASK, number, method, payload], method)
        return future

    def lag(self) -> float:
        """For how long the oldest question has been without an answer, whether it is waited for or not."""
        oldest = next(iter(self._since.values()), None)
        return 0.0 if oldest is None else asyncio.get_running_loop().time() - oldest

    def tell(self, method: str, payload: Any) -> None:
        """Tell, and want no answer."""
        if not self.closed:
            self._write([TELL, method, payload], method)

    def _write(self, frame: list[Any], about: str) -> None:
        data = cbor2.dumps(frame)
        self._counters.count(self.name, about, 4 + len(data))
        if not self._out:  # what is written in one turn leaves in one piece
            asyncio.get_running_loop().call_soon(self._flush)
        self._out.append(len(data).to_bytes(4, "big"))
        self._out.append(data)

    def _flush(self) -> None:
        out, self._out = self._out, []
        if out and not self.closed:
            self.transport.write(b"".join(out))

    def data_received(self, data: bytes) -> None:
        self.heard = asyncio.get_running_loop().time()
        self._buffer += data
        at, size = 0, len(self._buffer)
        try:
            while size - at >= 4:
                length = int.from_bytes(self._buffer[at : at + 4], "big")
                if length > MOST_FRAME:
                    raise ValueError(f"a frame of {length} bytes")
                if size - at < 4 + length:
                    break
                frame = cbor2.loads(bytes(self._buffer[at + 4 : at + 4 + length]))
                at += 4 + length
                self._frame(frame)
                if self.closed:
                    return
        except Exception as error:  # whatever it is, it costs its sender this connection
            log_event(Event.PEER_RUBBISH, self.name, repr(error)[:200])
            return self.close()
        del self._buffer[:at]

    def _frame(self, frame: list[Any]) -> None:
        if not isinstance(frame, list) or not 3 <= len(frame) <= 4:
            raise ValueError("no frame")
        if frame[0] == ANSWER or frame[0] == FAILED:
            self._since.pop(frame[1], None)
            future = self._asked.get(frame[1])
            if future is None or future.done():
                return  # it was waited for no longer
            if frame[0] == ANSWER:
                future.set_result(frame[2])
            else:
                future.set_exception(Lost("call", self.name, str(frame[2]), True))
        elif frame[0] == ASK:
            self._served(frame[1], frame[2], frame[3])
        elif frame[0] == TELL:
            self._served(None, frame[1], frame[2])
        else:
            raise ValueError("no frame")

    def _served(self, number: int | None, method: str, payload: Any) -> None:
        try:
            answer = self._serve(self, method, payload)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, method, self.name, repr(error)[:300])
            if number is not None:
                self._write([FAILED, number, repr(error)[:200]], f"={method}")
            return
        if inspect.iscoroutine(answer):
            self._tasks.spawn(self._later(number, method, answer))
        elif number is not None:
            self._write([ANSWER, number, answer], f"={method}")

    async def _later(self, number: int | None, method: str, answer: Coroutine[Any, Any, Any]) -> None:
        try:
            told = await answer
        except Exception as error:
            if not isinstance(error, Lost):
                log_event(Event.REQUEST_FAILED, method, self.name, repr(error)[:300])
            if number is not None and not self.closed:
                self._write([FAILED, number, repr(error)[:200]], f"={method}")
            return
        if number is not None and not self.closed:
            self._write([ANSWER, number, told], f"={method}")


class RpcServer:
    """Listens for other processes."""

    def __init__(
        self,
        machine: Machine,
        address: tuple[str, int],
        serve: Serve,
        tasks: Tasks,
        counters: TrafficCounters,
    ) -> None:
        self._serve, self._tasks, self._counters = serve, tasks, counters
        self.connections: set[RpcConnection] = set()
        self._acceptor = Acceptor(machine.listen(address), self._make, tasks)

    def _make(self) -> RpcConnection:
        connection = RpcConnection(self._serve, self._tasks, self._counters)
        self.connections.add(connection)
        connection.gone = lambda: self.connections.discard(connection)
        return connection

    def close(self) -> None:
        """Listen no more, and end what came in."""
        self._acceptor.close()
        for connection in list(self.connections):
            connection.leave()
