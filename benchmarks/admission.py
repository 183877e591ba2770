"""Measures requests lost to clients that connect and send nothing, with two policies for idle connections.

    python -m benchmarks.admission [--seconds 4]

The server has 256 descriptors and runs in a process of its own. Half of the honest requests come from clients
that reuse a connection. The other half each open a connection and keep it, at most a third of the
descriptors. Silent clients connect and send nothing, at multiples of the honest rate. In rows `before`,
connections that have sent a request may occupy all slots of the server while idle; in rows `now`, half of
them.
"""

from __future__ import annotations

import argparse
import asyncio
import resource
import time
from collections import deque
from dataclasses import dataclass, field
from multiprocessing import Pipe, get_context
from multiprocessing.connection import Connection

from emberlatch.admission import ConnectionLimiter
from emberlatch.engine import Tasks
from emberlatch.net.descriptor_limits import split_descriptors
from emberlatch.net.server import Reply, Request, Server

DESCRIPTORS = 256
HONEST_REQUESTS_PER_S = 80.0
REUSING_CLIENTS = 8  # clients that reuse a connection; together they send half of the honest requests
RESPONSE_TIMEOUT_S = 0.4  # limit for connecting and the response together
SILENT_RATE_FACTORS = (0, 1, 5, 20)
REQUEST = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\nContent-Length: 5\r\n\r\nhello"


def _accept(_request: Request, reply: Reply) -> None:
    reply.send(202)


async def _serve(proven_share: float, ready: Connection) -> None:
    clients, _ = split_descriptors(DESCRIPTORS)
    server = Server(("127.0.0.1", 0), _accept, clients, Tasks())
    server.limiter = ConnectionLimiter(clients, proven_share)
    server.start()
    assert server._acceptor is not None and server._acceptor._listener is not None
    ready.send(server._acceptor._listener.getsockname()[1])  # type: ignore[attr-defined]
    await asyncio.to_thread(ready.recv)


def _server(proven_share: float, ready: Connection) -> None:
    asyncio.run(_serve(proven_share, ready))
    ready.send(
        resource.getrusage(resource.RUSAGE_SELF).ru_utime + resource.getrusage(resource.RUSAGE_SELF).ru_stime
    )


@dataclass(slots=True)
class _Figures:
    latencies_s: list[float] = field(default_factory=list)
    lost: int = 0
    silent_connections: int = 0


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _request(streams: Streams) -> bool:
    streams[1].write(REQUEST)
    head = await streams[0].readuntil(b"\r\n\r\n")
    return head.startswith(b"HTTP/1.1 202")


async def _reusing_client(port: int, ends_at: float, figures: _Figures) -> None:
    """Send requests on one connection, and reconnect if the server closed it."""
    streams: Streams | None = None
    while time.perf_counter() < ends_at:
        started_at = time.perf_counter()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                if streams is None or streams[0].at_eof():
                    streams = await asyncio.open_connection("127.0.0.1", port)
                accepted = await _request(streams)
            figures.latencies_s.append(time.perf_counter() - started_at) if accepted else None
            figures.lost += not accepted
        except (OSError, asyncio.IncompleteReadError):
            figures.lost += 1
            streams = None
        await asyncio.sleep(2 * REUSING_CLIENTS / HONEST_REQUESTS_PER_S)


async def _keeping_clients(port: int, ends_at: float, figures: _Figures) -> None:
    """Send each request on a new connection and keep it open; a request that gets no connection is lost."""
    kept: deque[Streams] = deque()

    async def request_once() -> None:
        started_at = time.perf_counter()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                while len(kept) >= DESCRIPTORS // 3:
                    for streams in [streams for streams in kept if streams[0].at_eof()]:
                        kept.remove(streams)
                        streams[1].close()
                    await asyncio.sleep(0.005)
                streams = await asyncio.open_connection("127.0.0.1", port)
                kept.append(streams)
                accepted = await _request(streams)
            figures.latencies_s.append(time.perf_counter() - started_at) if accepted else None
            figures.lost += not accepted
        except (OSError, asyncio.IncompleteReadError):
            figures.lost += 1

    tasks = set()
    while time.perf_counter() < ends_at:
        tasks.add(asyncio.create_task(request_once()))
        await asyncio.sleep(2 / HONEST_REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def _silent_clients(port: int, ends_at: float, rate: float, figures: _Figures) -> None:
    """Open connections at a rate, and send nothing on them."""
    silent: deque[Streams] = deque(maxlen=1000)
    started_at, count = time.perf_counter(), 0
    while rate and time.perf_counter() < ends_at:
        while count < (time.perf_counter() - started_at) * rate:
            count += 1
            try:
                silent.append(await asyncio.open_connection("127.0.0.1", port))
                figures.silent_connections += 1
            except OSError:
                continue
        for streams in [streams for streams in silent if streams[0].at_eof()]:
            silent.remove(streams)
            streams[1].close()
        await asyncio.sleep(0.01)


async def _measure(proven_share: float, factor: float, seconds: float) -> tuple[_Figures, float]:
    parent_end, child_end = Pipe()
    process = get_context("spawn").Process(target=_server, args=(proven_share, child_end))
    process.start()
    port, figures = await asyncio.to_thread(parent_end.recv), _Figures()
    ends_at = time.perf_counter() + seconds
    reusing_clients = [_reusing_client(port, ends_at, figures) for _ in range(REUSING_CLIENTS)]
    await asyncio.gather(
        _keeping_clients(port, ends_at, figures),
        _silent_clients(port, ends_at, HONEST_REQUESTS_PER_S * factor, figures),
        *reusing_clients,
    )
    parent_end.send("stop")
    cpu_s = await asyncio.to_thread(parent_end.recv)
    await asyncio.to_thread(process.join)
    return figures, float(cpu_s)


async def _run(seconds: float) -> None:
    print("silent  idle       sent   lost    p99 ms   CPU s   silent connections")
    base_cpu_s: dict[float, float] = {}
    for factor in SILENT_RATE_FACTORS:
        for name, proven_share in (("before", 1.0), ("now", 0.5)):
            figures, cpu_s = await _measure(proven_share, factor, seconds)
            requests = len(figures.latencies_s) + figures.lost
            p99 = (
                sorted(figures.latencies_s)[int(0.99 * (len(figures.latencies_s) - 1))] * 1e3
                if figures.latencies_s
                else float("nan")
            )
            cost = ""
            if not factor:
                base_cpu_s[proven_share] = cpu_s
            elif figures.silent_connections:
                cost = (
                    f", {(cpu_s - base_cpu_s[proven_share]) / figures.silent_connections * 1e6:.0f} us each"
                )
            share = figures.lost / max(1, requests)
            line = f"{factor:>4}x   {name:7} {requests:>7} {share:>6.1%} {p99:>9.1f} {cpu_s:>7.2f}   "
            print(f"{line}{figures.silent_connections}{cost}")


def main() -> None:
    """Parse the command line, measure, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0, help="for each figure")
    asyncio.run(_run(parser.parse_args().seconds))


if __name__ == "__main__":
    main()
