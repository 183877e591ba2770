"""A simulated target, written from the user documentation: it answers requests and sends heartbeats."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine
from enum import StrEnum
from typing import cast

import httptools

from emberlatch.faults.process import Process
from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.environment import Environment
from emberlatch.simulation.history import Run
from emberlatch.simulation.http_client import send_request

REASON_PHRASES = {
    200: "OK",
    409: "Conflict",
    421: "Misdirected",
    422: "Never",
    429: "Limit",
    500: "Failed",
    503: "Full",
    504: "Late",
}
CONTROL_TIMEOUT_S = 1.0
FAILURE_SHARE = 0.02  # share of runs that fail at random
DEREGISTER_DELAY_S = 0.5  # time from the end of the drain period until the target deregisters


class TargetState(StrEnum):
    """The states of a target, with the values that heartbeats carry."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    STOPPED = "gone"


class TargetConnection(asyncio.Protocol):
    """One connection to a target, which serves one request at a time."""

    def __init__(self, target: SimulatedTarget) -> None:
        self._target = target
        self._parser = httptools.HttpRequestParser(self)
        self.headers: dict[str, str] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.headers, self.body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the request."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the request's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Serve the complete request."""
        self._target.spawn(self._target.serve(self))


class SimulatedTarget:
    """One incarnation of a target. Its address may have belonged to another target before.

    `answer_loss` is the share of runs whose answer is not sent, and `mean_run_s` the mean duration of a run.
    At most `capacity` requests run at the same time, and at most `max_queued` wait.
    """

    def __init__(
        self, environment: Environment, id: str, service: str, zone: str, address: tuple[str, int]
    ) -> None:
        self.id, self.service, self.zone, self.address = id, service, zone, address
        self.capacity, self.max_queued = 2, 8
        self.mean_run_s, self.answer_loss = 0.06, 0.0
        self.state = TargetState.IN_SERVICE
        self.process = Process(f"target {id}")
        self._environment = environment
        self._running = self._queued = 0
        self._sequence = 0  # sequence number of the last heartbeat
        self._slot_freed: asyncio.Event

    def spawn(self, work: Coroutine[object, object, None]) -> None:
        """Run a coroutine in this target's process."""
        self._environment.run_in(self.process, work)

    async def start(self) -> None:
        """Listen for connections, and begin to send heartbeats."""
        self._slot_freed = asyncio.Event()
        await asyncio.get_running_loop().create_server(lambda: TargetConnection(self), *self.address)
        self.spawn(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        rng = self._environment.random
        await asyncio.sleep(rng.uniform(0, 0.5))
        while self.state is not TargetState.STOPPED:
            await self.send_heartbeat()
            await asyncio.sleep(self._environment.timing.heartbeat_interval_s * rng.uniform(0.9, 1.0))

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat to one store after the other until one acknowledges it; False if none does."""
        heartbeat: dict[str, object] = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "revision": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left_ms": 0,
        }
        for control in self._environment.control_addresses():
            self._sequence += 1
            body = json.dumps(heartbeat | {"sequence": self._sequence}).encode()
            if await self._post(control, "heartbeat", body) == 200:
                return True
        return False

    async def _post(self, control: tuple[str, int], action: str, body: bytes) -> int | None:
        """Send a POST request for this target; return the status of the answer, None if there was none."""
        path = f"/api/instances/{self.id}/{action}"
        try:
            answer = await send_request(control, "POST", path, body, {"Host": "c"}, CONTROL_TIMEOUT_S)
        except (OSError, NoResponseError, TimeoutError):
            return None
        return answer.status

    async def leave(self) -> None:
        """Drain, deregister and end the process."""
        self.state = TargetState.DRAINING
        if await self.send_heartbeat():
            drained = self._environment.history.drain_acknowledged_at
            drained[self.id] = asyncio.get_running_loop().time()
        await asyncio.sleep(self._environment.timing.drain_s + DEREGISTER_DELAY_S)
        self.state = TargetState.STOPPED
        for control in self._environment.control_addresses():
            if await self._post(control, "deregister", b"") is not None:
                break
        self.process.kill()

    def crash(self) -> None:
        """End the process at once, without draining."""
        self.state = TargetState.STOPPED
        self.process.kill()

    async def serve(self, connection: TargetConnection) -> None:
        """Answer one request."""
        history, loop = self._environment.history, asyncio.get_running_loop()
        attempt_id = connection.headers.get("emberlatch-attempt-id", "")
        if connection.headers.get("emberlatch-expected-instance", self.id) != self.id:
            self._reject(connection, 421)
            return
        history.arrivals.setdefault(self.service, []).append(loop.time())
        if not await self._wait_for_slot():
            self._reject(connection, 503)
            return
        self._running += 1
        try:
            run = self._begin_run(attempt_id, connection.body)
            await asyncio.sleep(self._environment.random.expovariate(1 / self.mean_run_s))
        finally:
            self._running -= 1
            freed, self._slot_freed = self._slot_freed, asyncio.Event()
            freed.set()
        if self._environment.random.random() < self.answer_loss:
            connection.transport.abort()
            return
        run.answered, run.soon_after_fault = True, history.is_soon_after_fault(loop.time())
        self._answer(connection, run.status, run.seal)

    async def _wait_for_slot(self) -> bool:
        """Wait until a request may run; return False if too many requests are waiting already."""
        if self._running >= self.capacity:
            if self._queued >= self.max_queued:
                return False
            self._queued += 1
            while self._running >= self.capacity:
                await self._slot_freed.wait()
            self._queued -= 1
        return True

    def _begin_run(self, attempt_id: str, body: bytes) -> Run:
        """Record that a request is run, and decide how it will be answered."""
        environment, now = self._environment, asyncio.get_running_loop().time()
        sent = environment.history.sent.get(attempt_id)
        seal = f"{environment.next_number():x}.{self.id}"
        if sent is not None and sent.forced_status:
            status = sent.forced_status
        else:
            status = 500 if environment.random.random() < FAILURE_SHARE else 200
        run = Run(now, self.id, self.service, status, seal if status == 200 else "")
        timing = environment.timing
        environment.history.record_run(attempt_id, run, timing.drain_s, timing.early_tolerance_s)
        if sent is not None and sent.body != body:
            environment.history.record_breach(
                "UNASKED", now, f"{attempt_id} ran with another body than was sent"
            )
        return run

    def _reject(self, connection: TargetConnection, status: int) -> None:
        self._write(connection, status, "Emberlatch-Not-Executed: 1\r\n")

    def _answer(self, connection: TargetConnection, status: int, seal: str) -> None:
        self._write(connection, status, f"Emberlatch-Server-Seal: {seal}\r\n" if seal else "")

    @staticmethod
    def _write(connection: TargetConnection, status: int, header_line: str) -> None:
        head = f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
        head += "Content-Length: 0\r\nKeep-Alive: timeout=10\r\n"
        head += f"Emberlatch-Attempt-Id: {connection.headers.get('emberlatch-attempt-id', '')}\r\n"
        connection.transport.write(f"{head}{header_line}\r\n".encode())
