"""How a relay impairs the data that it forwards, on real sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from emberlatch.storm.relay import DirectionFaults, Relay

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
NO_DATA_S = 0.3  # no data may arrive during this time


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), 30))


class Destination:
    """The server behind the relay; queues each connection that it accepts."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[Streams] = asyncio.Queue()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.connections.put((reader, writer))


@asynccontextmanager
async def relay_to_destination() -> AsyncIterator[tuple[Relay, Destination]]:
    destination = Destination()
    server = await asyncio.start_server(destination.accept, "127.0.0.1", 0)
    relay = Relay(server.sockets[0].getsockname()[:2], DirectionFaults(), DirectionFaults(), random.Random(1))
    await relay.start()
    try:
        yield relay, destination
    finally:
        relay.close()
        server.close()


async def connect(relay: Relay, destination: Destination) -> tuple[Streams, Streams]:
    client = await asyncio.open_connection("127.0.0.1", relay.port)
    return client, await destination.connections.get()


async def read_until_error(reader: asyncio.StreamReader, received: bytearray) -> None:
    while True:
        received += await reader.readexactly(1)


async def receives_nothing(reader: asyncio.StreamReader) -> bool:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(10), NO_DATA_S)
    return True


def test_a_partition_of_one_direction_delays_data_and_then_delivers_it_in_order() -> None:
    async def test() -> None:
        async with relay_to_destination() as (relay, destination):
            client, server_side = await connect(relay, destination)
            relay.forward.open.clear()
            client[1].write(b"one")
            server_side[1].write(b"back")
            assert await client[0].readexactly(4) == b"back"
            assert await receives_nothing(server_side[0])
            client[1].write(b"two")
            relay.forward.open.set()
            assert await server_side[0].readexactly(6) == b"onetwo"

    run(test)


def test_a_disconnect_ends_the_connection_in_the_middle_of_a_chunk() -> None:
    async def test() -> None:
        async with relay_to_destination() as (relay, destination):
            client, server_side = await connect(relay, destination)
            relay.forward.disconnects = True
            client[1].write(b"0123456789")
            received = bytearray()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_until_error(server_side[0], received)
            assert received == b"01234"
            assert await client[0].read(1) == b""

    run(test)


def test_a_blackhole_accepts_connections_and_forwards_nothing_until_it_ends() -> None:
    async def test() -> None:
        async with relay_to_destination() as (relay, destination):
            relay.forwarding.clear()
            client = await asyncio.open_connection("127.0.0.1", relay.port)
            client[1].write(b"hello")
            assert await receives_nothing(client[0]) and destination.connections.empty()
            relay.forwarding.set()
            server_side = await destination.connections.get()
            assert await server_side[0].readexactly(5) == b"hello"

    run(test)


def test_delay_loss_and_throttle_keep_the_order_of_data() -> None:
    async def test() -> None:
        async with relay_to_destination() as (relay, destination):
            client, server_side = await connect(relay, destination)
            faults = relay.forward
            faults.delay_s, faults.bytes_per_s, faults.loss = 0.01, 1e6, 0.2
            data = bytes(range(256)) * 400
            client[1].write(data)
            assert await server_side[0].readexactly(len(data)) == data

    run(test)


def test_connections_are_refused_without_a_listener_and_reset_without_a_destination() -> None:
    async def test() -> None:
        async with relay_to_destination() as (relay, destination):
            relay.stop_listening()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", relay.port)
            await relay.start()
            client, server_side = await connect(relay, destination)
            server_side[1].transport.abort()
            assert await client[0].read(1) == b""

    run(test)
