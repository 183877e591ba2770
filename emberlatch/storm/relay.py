"""A TCP relay between two parties that delays, withholds or throttles data, or disconnects the parties.

As with TCP, no data is lost on an open connection. Data that is withheld because of a partition or a lost
chunk arrives later, in order.

Unlike a real network, the relay accepts a connection through a partition, and then delivers no data on it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field

from emberlatch.standins import reserve_port

Address = tuple[str, int]
MAX_CHUNK_BYTES = 16 * 1024  # largest chunk that is read at once
MAX_QUEUED_CHUNKS = 64  # chunks of one direction that are queued before the relay stops reading
FIRST_RETRANSMIT_S = 0.2  # time until a lost chunk is sent again; doubled for each additional loss
MAX_RETRANSMIT_S = 1.6  # longest wait before a retransmission; a chunk sent after this wait is not lost


def draw_retransmit_delay(rng: random.Random, loss: float) -> float:
    """Draw the delay of a chunk, in seconds, that is lost with probability `loss` each time it is sent."""
    delay_s, wait_s = 0.0, FIRST_RETRANSMIT_S
    while loss and rng.random() < loss and wait_s <= MAX_RETRANSMIT_S:
        delay_s, wait_s = delay_s + wait_s, wait_s * 2
    return delay_s


@dataclass(slots=True)
class DirectionFaults:
    """The current faults of one direction; the event `open` is clear while the direction is partitioned."""

    delay_s: float = 0.0  # least delay of a chunk; each delay is drawn from this value to twice this value
    loss: float = 0.0  # probability that a chunk is lost, each time that it is sent
    bytes_per_s: float = 0.0  # 0 means unlimited
    disconnects: bool = False  # whether to forward half of the next chunk and then end its connection
    open: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.open.set()

    def draw_delay(self, rng: random.Random) -> float:
        """Draw the delay of the next chunk, in seconds."""
        delay_s = self.delay_s * rng.uniform(1.0, 2.0) if self.delay_s else 0.0
        return delay_s + draw_retransmit_delay(rng, self.loss)

    def clear(self) -> None:
        """End all faults."""
        self.open.set()
        self.delay_s = self.loss = self.bytes_per_s = 0.0
        self.disconnects = False


class Relay:
    """Listens on a port of its own, reserved until `close`, and forwards each connection to `destination`."""

    def __init__(
        self, destination: Address, forward: DirectionFaults, backward: DirectionFaults, rng: random.Random
    ) -> None:
        """`forward` has the faults of data to the destination, `backward` those of data from it."""
        self.destination, self.forward, self.backward, self._rng = destination, forward, backward, rng
        self.forwarding = asyncio.Event()  # while it is clear, new connections are accepted but not forwarded
        self.forwarding.set()
        self._reservation = reserve_port()
        self.port: int = self._reservation.getsockname()[1]
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, unless the relay already does."""
        if self._server is None:
            self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port, reuse_port=True)

    def stop_listening(self) -> None:
        """Stop listening, so that new connections are refused; open connections are not affected."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Close all connections and release the port."""
        self.stop_listening()
        for task in self._connections:
            task.cancel()
        self._reservation.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.forwarding.wait()
        destination_reader, destination_writer = await asyncio.open_connection(*self.destination)
        try:
            directions = [
                asyncio.ensure_future(
                    _forward_direction(reader, destination_writer, self.forward, self._rng)
                ),
                asyncio.ensure_future(
                    _forward_direction(destination_reader, writer, self.backward, self._rng)
                ),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_EXCEPTION)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        finally:
            destination_writer.transport.abort()


@dataclass(frozen=True, slots=True)
class _Chunk:
    """The result of one read: `data` is None at the end of the stream, empty if the connection broke."""

    due: float  # earliest time at which the chunk is forwarded, on the loop's clock
    data: bytes | None


async def _read_chunks(
    reader: asyncio.StreamReader,
    queue: asyncio.Queue[_Chunk],
    faults: DirectionFaults,
    rng: random.Random,
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        try:
            data: bytes | None = await reader.read(MAX_CHUNK_BYTES) or None
        except OSError:
            data = b""
        await queue.put(_Chunk(loop.time() + faults.draw_delay(rng), data))
        if not data:
            return


async def _forward_direction(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, faults: DirectionFaults, rng: random.Random
) -> None:
    """Forward one direction until the end of its stream; raises OSError if the connection breaks."""
    loop = asyncio.get_running_loop()
    queue: asyncio.Queue[_Chunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
    reading = asyncio.ensure_future(_read_chunks(reader, queue, faults, rng))
    try:
        while True:
            chunk = await queue.get()
            await asyncio.sleep(max(0.0, chunk.due - loop.time()))
            await faults.open.wait()
            if chunk.data is None:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            if not chunk.data or faults.disconnects:
                faults.disconnects = False
                writer.write(chunk.data[: len(chunk.data) // 2])
                await asyncio.sleep(0)
                raise ConnectionResetError
            writer.write(chunk.data)
            await writer.drain()
            if faults.bytes_per_s:
                await asyncio.sleep(len(chunk.data) / faults.bytes_per_s)
    finally:
        reading.cancel()
