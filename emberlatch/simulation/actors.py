"""Targets, clients and an operator, written from the users' pages."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any, cast

import httptools

from emberlatch.faults.loop import Process
from emberlatch.net.http import BrokenError, Connection, Response, connect
from emberlatch.simulation.history import Run, Sent

if TYPE_CHECKING:
    from emberlatch.simulation.cluster import SimulatedCluster

MOST = 1 << 20
REASON = {
    200: "OK",
    409: "Conflict",
    421: "Misdirected",
    422: "Never",
    429: "Limit",
    500: "Failed",
    503: "Full",
    504: "Late",
}


async def ask(
    address: tuple[str, int], method: str, path: str, body: bytes, headers: dict[str, str], timeout: float
) -> Response:
    """One request on a connection of its own; OSError, BrokenError or TimeoutError if there is no answer."""
    async with asyncio.timeout(timeout):
        connection: Connection = await connect(address, timeout, MOST)
        try:
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            return await connection.exchange(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        finally:
            connection.close()


class TargetConnection(asyncio.Protocol):
    """One connection to a target: one request at a time."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._parser = httptools.HttpRequestParser(self)
        self.headers: dict[str, str] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.headers, self.body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self._target.spawn(self._target.serve(self))


class Target:
    """One life of a target. `address` may have been another's."""

    def __init__(
        self, world: SimulatedCluster, id: str, service: str, zone: str, address: tuple[str, int]
    ) -> None:
        self.world, self.id, self.service, self.zone, self.address = world, id, service, zone, address
        self.capacity, self.queue, self.busy, self.waiting = 2, 8, 0, 0
        self.work, self.lost = 0.06, 0.0
        self.state, self.sequence = "in_service", 0
        self.process = Process(f"target {id}")
        self._freed: asyncio.Event
        self.process.died = lambda: None

    def spawn(self, work: Any) -> None:
        """Run something in this target's process."""
        self.world.run_in(self.process, work)

    async def start(self) -> None:
        """Listen, and announce itself."""
        self._freed = asyncio.Event()
        await asyncio.get_running_loop().create_server(lambda: TargetConnection(self), *self.address)
        self.spawn(self._beats())

    async def _beats(self) -> None:
        await asyncio.sleep(self.world.random.uniform(0, 0.5))
        while self.state != "gone":
            await self.beat()
            await asyncio.sleep(self.world.beat_s * self.world.random.uniform(0.9, 1.0))

    async def beat(self) -> bool:
        """Tell any store; whether one acknowledged."""
        told = {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "revision": "v1", "capacity": self.capacity, "state": self.state, "warmup_left_ms": 0,
        }  # fmt: skip
        for control in self.world.controls():
            self.sequence += 1
            body = json.dumps(told | {"sequence": self.sequence}).encode()
            try:
                answer = await ask(
                    control, "POST", f"/api/instances/{self.id}/heartbeat", body, {"Host": "c"}, 1.0
                )
            except (OSError, BrokenError, TimeoutError):
                continue
            if answer.status == 200:
                return True
        return False

    async def leave(self) -> None:
        """Drain, and end."""
        self.state = "draining"
        if await self.beat():
            self.world.history.drained[self.id] = asyncio.get_running_loop().time()
        await asyncio.sleep(self.world.drain_s + 0.5)
        self.state = "gone"
        for control in self.world.controls():
            try:
                await ask(control, "POST", f"/api/instances/{self.id}/deregister", b"", {"Host": "c"}, 1.0)
                break
            except (OSError, BrokenError, TimeoutError):
                continue
        self.process.kill()

    def crash(self) -> None:
        """End without a word."""
        self.state = "gone"
        self.process.kill()

    async def serve(self, connection: TargetConnection) -> None:
        """Answer one request."""
        history, loop = self.world.history, asyncio.get_running_loop()
        id = connection.headers.get("emberlatch-attempt-id", "")
        expected = connection.headers.get("emberlatch-expected-instance", self.id)
        if expected != self.id:
            return self._answer(connection, 421, "", True)
        history.arrivals.setdefault(self.service, []).append(loop.time())
        if self.busy >= self.capacity:
            if self.waiting >= self.queue:
                return self._answer(connection, 503, "", True)
            self.waiting += 1
            while self.busy >= self.capacity:
                await self._freed.wait()
            self.waiting -= 1
        self.busy += 1
        try:
            sent = history.sent.get(id)
            self.world.count += 1
            seal = f"{self.world.count:x}.{self.id}"
            poison = sent.poison if sent is not None else ""
            status = int(poison) if poison else 500 if self.world.random.random() < 0.02 else 200
            run = Run(loop.time(), self.id, self.service, status, seal if status == 200 else "")
            history.run(id, run, self.world.drain_s, self.world.early_s)
            if sent is not None and sent.body != connection.body:
                history.breach("UNASKED", loop.time(), f"{id} with another body")
            await asyncio.sleep(self.world.random.expovariate(1 / self.work))
        finally:
            self.busy -= 1
            freed, self._freed = self._freed, asyncio.Event()
            freed.set()
        if self.world.random.random() < self.lost:
            return connection.transport.abort()
        run.read, run.disturbed = True, history.troubled(loop.time())
        self._answer(connection, status, run.seal, False)

    def _answer(self, connection: TargetConnection, status: int, seal: str, not_run: bool) -> None:
        head = f"HTTP/1.1 {status} {REASON[status]}\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n"
        head += f"Emberlatch-Attempt-Id: {connection.headers.get('emberlatch-attempt-id', '')}\r\n"
        head += f"Emberlatch-Server-Seal: {seal}\r\n" if seal else ""
        head += "Emberlatch-Not-Executed: 1\r\n" if not_run else ""
        connection.transport.write(head.encode() + b"\r\n")


class Clients:
    """Clients of one zone: a request each, a few tries, each by another forwarder."""

    def __init__(self, world: SimulatedCluster, zone: str, per_s: float) -> None:
        self.world, self.zone, self.per_s = world, zone, per_s
        self.random = random.Random(f"{world.plan.seed} {zone}")

    async def run(self, seconds: float) -> None:
        """Hand messages in for so long."""
        loop, tasks = asyncio.get_running_loop(), []
        until = loop.time() + seconds
        while loop.time() < until:
            tasks.append(loop.create_task(self._message()))
            await asyncio.sleep(self.random.expovariate(self.per_s))
        await asyncio.gather(*tasks)

    async def _message(self) -> None:
        world, loop = self.world, asyncio.get_running_loop()
        service, host, prefix = self.random.choice(world.places)
        body = self.random.randbytes(self.random.randrange(1, 3000))
        delay = self.random.uniform(0.5, 6.0) if self.random.random() < 0.1 else 0.0
        poison = self.random.choice(("422", "500")) if self.random.random() < world.plan.poison else ""
        deadline = loop.time() + 0.5
        for _ in range(3):
            world.count += 1
            sent = Sent(
                f"{world.count:x}m{self.random.randrange(1 << 32):x}",
                loop.time(),
                delay,
                service,
                body,
                poison,
            )
            headers = {"Host": host, "Emberlatch-Attempt-Id": sent.id, "Emberlatch-Deadline-Ms": "500"}
            if delay:
                headers["Emberlatch-Delay-Ms"] = str(round(delay * 1000))
            front = world.front(self.zone, self.random)
            if front is None:
                return
            world.history.sent[sent.id] = sent
            try:
                answer = await ask(
                    front, "POST", f"{prefix}x", body, headers, max(0.01, deadline - loop.time())
                )
            except (OSError, BrokenError, TimeoutError):
                return
            sent.answer, sent.answered = answer.status, loop.time()
            if answer.status not in (429, 503) or loop.time() > deadline - 0.1:
                return
            await asyncio.sleep(min(0.2, float(answer.headers.get("retry-after", 0.1))))


class Operator:
    """Sends configurations, each until it is acknowledged, and reads back what stands."""

    def __init__(self, world: SimulatedCluster) -> None:
        self.world = world

    async def send(self, revision: int, tries: int = 20) -> bool:
        """One version; whether it was acknowledged."""
        body = json.dumps(self.world.configuration(revision)).encode()
        for control in self.world.controls() * tries:
            try:
                answer = await ask(control, "POST", "/api/configuration/replace", body, {"Host": "c"}, 1.0)
            except (OSError, BrokenError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                self.world.history.acknowledged.append(revision)
                return True
            if answer.status == 400:
                return False
            await asyncio.sleep(0.1)
        return False

    async def send_raw(self, body: bytes, controls: list[tuple[str, int]] | None = None) -> int:
        """Anything; the status of the answer."""
        for control in (controls or self.world.controls()) * 3:
            try:
                return (
                    await ask(control, "POST", "/api/configuration/replace", body, {"Host": "c"}, 1.0)
                ).status
            except (OSError, BrokenError, TimeoutError):
                continue
        return 0

    async def read_back(self) -> int:
        """The version that stands; -1 if none comes for a while."""
        for control in self.world.controls() * 8:
            try:
                answer = await ask(control, "GET", "/api/configuration/retrieve", b"", {"Host": "c"}, 1.0)
                if answer.status == 200:
                    return int(json.loads(bytes(answer.body))["revision"])
            except (OSError, BrokenError, TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return -1
