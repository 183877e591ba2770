"""The stand-in directory with a queue of calls and with lost answers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.network import Network
from emberlatch.net.http_connection import Connection, NoResponseError, connect, parse_address
from emberlatch.standins import Directory, DirectoryServer, ServiceCost, ServiceQueue
from emberlatch.standins.directory import Member, Notice


class Observer:
    """Records requests, lists and lost answers."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []

    def on_list_request(self, process: str) -> None:
        self.events.append(("request",))

    def on_list(self, process: str, members: list[Member]) -> None:
        self.events.append(("list", [member["id"] for member in members]))

    def on_lost_answer(self, process: str, requested_at: float, watch_s: float | None) -> None:
        self.events.append(("lost", watch_s))

    def on_notice(self, process: str, notice: Notice) -> None:
        pass


def served(test: Callable[[Directory, DirectoryServer, Observer], Awaitable[None]]) -> None:
    """Run a test against a directory of three members on a virtual clock."""
    loop = VirtualLoop()
    Network(loop, 1, latency=0.0)
    observer = Observer()
    directory = Directory(observer=observer)
    for name in ("a", "b", "c"):
        directory.change(name, phase="SERVING")
    server = DirectoryServer(directory)

    async def run() -> None:
        await server.start()
        await test(directory, server, observer)

    loop.run_until_complete(run())


async def ask(server: DirectoryServer, query: str = "") -> tuple[int, float, Any]:
    """Request a list; returns the status, the duration in seconds, and the document."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    connection: Connection = await connect(parse_address(server.address), 1.0, 1 << 20)
    answer = await connection.exchange(f"GET /v1/servers{query} HTTP/1.1\r\n\r\n".encode())
    took = loop.time() - began
    return answer.status, round(took, 3), json.loads(answer.body) if answer.body else None


def test_calls_are_served_in_turn_and_longer_lists_take_longer() -> None:
    async def test(directory: Directory, server: DirectoryServer, observer: Observer) -> None:
        directory.service_queue.cost = ServiceCost(call=0.2, entry=0.1, queue_timeout=1.0)
        answers = await asyncio.gather(*(ask(server) for _ in range(4)))
        assert sorted((took, status) for status, took, _ in answers) == [
            (0.5, 200),
            (1.0, 200),
            (1.0, 503),  # its wait of 1.5 s would exceed the time-out
            (1.5, 200),
        ]
        assert (await ask(server, "?since=3&timeout_ms=0"))[1] == 0.3  # the answer has one entry

    served(test)


def test_a_change_queues_every_watch_again() -> None:
    async def test(directory: Directory, server: DirectoryServer, observer: Observer) -> None:
        directory.service_queue.cost = ServiceCost(call=0.1)
        watches = [asyncio.ensure_future(ask(server, "?since=4&timeout_ms=9000")) for _ in range(3)]
        await asyncio.sleep(2.0)
        directory.change("a", phase="DRAINING")
        took = sorted([(await watch)[1] for watch in watches])
        assert took == [2.1, 2.2, 2.3]
        assert await ask(server, "?since=5&timeout_ms=500") == (
            200,
            0.6,
            {"revision": 5, "complete": False, "members": []},
        )

    served(test)


def test_an_unavailable_service_answers_its_watches_with_503() -> None:
    async def test(directory: Directory, server: DirectoryServer, observer: Observer) -> None:
        watch = asyncio.ensure_future(ask(server, "?since=4&timeout_ms=9000"))
        await asyncio.sleep(1.0)
        directory.down = True
        directory.wake()
        assert (await watch)[:2] == (503, 1.0)

    served(test)


def test_with_drop_every_2_the_second_answer_is_lost_and_the_observer_notified() -> None:
    async def test(directory: Directory, server: DirectoryServer, observer: Observer) -> None:
        directory.service_queue.drop_every = 2
        assert (await ask(server))[0] == 200
        with pytest.raises(NoResponseError) as raised:
            await ask(server, "?since=1&timeout_ms=3000")
        assert raised.value.written
        assert observer.events == [("request",), ("list", ["a", "b", "c"]), ("request",), ("lost", 3.0)]
        assert (await ask(server))[0] == 200
        directory.hang_on_lost_answer = True
        silent = asyncio.ensure_future(ask(server))
        await asyncio.sleep(60.0)
        assert not silent.done() and observer.events[-1] == ("lost", None)
        silent.cancel()

    served(test)


def test_a_call_that_queues_too_long_fails_without_using_the_worker() -> None:
    service_queue = ServiceQueue(ServiceCost(call=1.0, queue_timeout=1.5))
    assert [service_queue.turn(0.0, 0).at for _ in range(3)] == [1.0, 2.0, 1.5]
    assert [service_queue.turn(0.0, 0).served for _ in range(2)] == [False, False]
    assert service_queue.turn(2.0, 0).at == 3.0
