"""The behaviour of the virtual loop, network and disk that the code under test relies on."""

from __future__ import annotations

import asyncio
import contextvars
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from emberlatch.faults.disk import Disk, KillMoment
from emberlatch.faults.loop import DeadlockError, VirtualLoop
from emberlatch.faults.network import Network
from emberlatch.faults.process import Process, ProcessKilled, current_process
from emberlatch.faults.transport import KERNEL_BUFFER_BYTES

SERVER_ADDRESS = ("10.0.0.1", 80)


def run_on_virtual_loop(test: Callable[[VirtualLoop, Network], Awaitable[Any]]) -> Any:
    loop = VirtualLoop()
    network = Network(loop, seed=1)

    async def main() -> Any:
        return await test(loop, network)

    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()


class RecordingProtocol(asyncio.Protocol):
    """Records the events that its transport reports."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.data = b""
        self.paused = False
        self.keep_open = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> bool:
        self.events.append("eof")
        return self.keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        self.events.append(exc if exc is None else type(exc))

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False


async def connect_pair(loop: VirtualLoop, network: Network) -> tuple[RecordingProtocol, RecordingProtocol]:
    servers: list[RecordingProtocol] = []

    def factory() -> RecordingProtocol:
        servers.append(RecordingProtocol())
        return servers[-1]

    network.serve(factory, SERVER_ADDRESS)
    _, client = await loop.create_connection(RecordingProtocol, *SERVER_ADDRESS)
    await asyncio.sleep(0.01)
    return client, servers[0]


def test_virtual_clock_advances_only_when_nothing_is_ready_and_without_real_time() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        started_at = loop.time()
        for _ in range(100):
            await asyncio.sleep(0)
        assert loop.time() == started_at
        await asyncio.sleep(86400)
        assert loop.time() == pytest.approx(started_at + 86400)

    started_at = time.monotonic()
    run_on_virtual_loop(test)
    assert time.monotonic() - started_at < 5


def test_waiting_for_nothing_raises_deadlock_error() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        await asyncio.Event().wait()

    with pytest.raises(DeadlockError, match="nothing is due"):
        run_on_virtual_loop(test)


@pytest.mark.parametrize(
    "call",
    [
        lambda loop: asyncio.to_thread(time.sleep, 0),
        lambda loop: loop.getaddrinfo("localhost", 80),
        lambda loop: loop.sock_connect(None, SERVER_ADDRESS),
    ],
)
def test_threads_and_real_sockets_raise_runtime_error(call: Any) -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        with pytest.raises(RuntimeError, match="virtual clock"):
            await call(loop)

    run_on_virtual_loop(test)


def test_bytes_arrive_in_order_after_the_latency_followed_by_the_end() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        client, server = await connect_pair(loop, network)
        for n in range(50):
            client.transport.write(b"%d," % n)
        client.transport.close()
        assert server.data == b""
        await asyncio.sleep(0.05)
        assert server.data == b"".join(b"%d," % n for n in range(50))
        assert server.events == ["eof", None] and client.events == [None]

    run_on_virtual_loop(test)


def test_half_closed_connection_still_receives() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        client, server = await connect_pair(loop, network)
        server.keep_open = True
        client.transport.write_eof()
        await asyncio.sleep(0.05)
        server.transport.write(b"late")
        await asyncio.sleep(0.05)
        assert client.data == b"late" and client.events == []

    run_on_virtual_loop(test)


def test_abort_resets_the_peer_after_the_sent_bytes() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        client, server = await connect_pair(loop, network)
        client.transport.write(b"x")
        client.transport.abort()
        await asyncio.sleep(0.05)
        assert server.data == b"x" and server.events == [ConnectionResetError]
        assert client.events == [None] and not network.transports

    run_on_virtual_loop(test)


def test_paused_reader_pauses_the_writer() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        client, server = await connect_pair(loop, network)
        client.transport.set_write_buffer_limits(high=0)
        server.transport.pause_reading()
        client.transport.write(bytes(KERNEL_BUFFER_BYTES))
        await asyncio.sleep(1)
        assert not client.paused
        client.transport.write(b"more")
        assert client.paused and server.data == b""
        server.transport.resume_reading()
        await asyncio.sleep(1)
        assert not client.paused and len(server.data) == KERNEL_BUFFER_BYTES + 4
        assert not server.transport.get_extra_info("unread")()

    run_on_virtual_loop(test)


def test_connection_is_refused_without_a_listener_and_reset_after_an_isolation() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(RecordingProtocol, *SERVER_ADDRESS)
        client, server = await connect_pair(loop, network)
        network.isolate(SERVER_ADDRESS)
        client.transport.write(b"x")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30):
                await loop.create_connection(RecordingProtocol, *SERVER_ADDRESS)
        assert server.data == b"" and client.events == []
        network.end_isolation(SERVER_ADDRESS)
        await asyncio.sleep(0.05)
        assert client.events == [ConnectionResetError]
        await loop.create_connection(RecordingProtocol, *SERVER_ADDRESS)

    run_on_virtual_loop(test)


def test_killed_process_has_its_connections_reset_and_runs_no_callback() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        await connect_pair(loop, network)
        process, late_events = Process("p"), list[str]()

        async def work() -> None:
            listener = network.listen(("10.0.0.2", 80))
            _, client = await loop.create_connection(RecordingProtocol, *SERVER_ADDRESS)
            loop.call_later(5, late_events.append, "timer")
            assert listener.fileno() == 0 and client.data == b""
            try:
                await asyncio.sleep(10)
            finally:
                late_events.append("unwound")

        context = contextvars.copy_context()
        context.run(current_process.set, process)
        loop.create_task(work(), context=context)
        await asyncio.sleep(1)
        process.kill()
        await asyncio.sleep(20)
        assert late_events == [] and not process.connections and len(network.transports) == 2
        network.listen(("10.0.0.2", 80))  # the killed process's address is free again

    run_on_virtual_loop(test)


def test_connecting_without_free_descriptors_raises_emfile() -> None:
    async def test(loop: VirtualLoop, network: Network) -> None:
        network.serve(RecordingProtocol, SERVER_ADDRESS)
        process, errors = Process("p", descriptors=10), []

        async def work() -> None:
            try:
                for _ in range(5):
                    await loop.create_connection(RecordingProtocol, *SERVER_ADDRESS)
            except OSError as error:
                errors.append((error.errno, len(process.connections)))

        context = contextvars.copy_context()
        context.run(current_process.set, process)
        await loop.create_task(work(), context=context)
        assert errors == [(24, 2)]

    run_on_virtual_loop(test)


def write(disk: Disk, data: bytes, name: str = "a") -> int:
    return disk.write(disk.append_to(name), memoryview(data))


def test_disk_keeps_written_data_over_a_restart_and_counts_full_blocks() -> None:
    disk = Disk()
    assert write(disk, b"x" * 600) == 600 and write(disk, b"y", "b") == 1
    disk.restart()
    assert (
        disk.read("a") == b"x" * 600
        and disk.names() == ["a", "b"]
        and disk.used_bytes == disk.peak_bytes == 1536
    )
    disk.remove("a")
    assert disk.used_bytes == 512 and disk.peak_bytes == 1536
    with pytest.raises(FileNotFoundError):
        disk.read("a")


def test_full_failing_or_short_disk_limits_or_fails_writes() -> None:
    disk = Disk()
    disk.faults.capacity_bytes = 1024
    assert write(disk, b"x" * 2000) == 1024
    with pytest.raises(OSError, match="no space"):
        write(disk, b"x")
    disk.faults.capacity_bytes = None
    disk.faults.short = True
    assert write(disk, b"x" * 10) == 5
    disk.faults.failing = True
    with pytest.raises(OSError, match="input/output"):
        write(disk, b"x")


@pytest.mark.parametrize(
    ("moment", "expected_bytes"), [(KillMoment.BEFORE, 0), (KillMoment.WITHIN, 5), (KillMoment.AFTER, 10)]
)
def test_process_is_killed_at_the_chosen_point_of_a_disk_call(
    moment: KillMoment, expected_bytes: int
) -> None:
    disk, process = Disk(), Process("p")
    disk.kill_at = 2, moment
    context = contextvars.copy_context()
    context.run(current_process.set, process)
    with pytest.raises(ProcessKilled):
        context.run(write, disk, b"0123456789")
    assert not process.alive and len(disk.read("a")) == expected_bytes
