"""The simulated clients of one forwarder, which submit messages at random times on persistent connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from emberlatch.faults.capacity_bound import DemandedMessage
from emberlatch.faults.checks import CheckedMessage, RuleChecks
from emberlatch.faults.plan import PARTNERS, Plan
from emberlatch.faults.process import Address
from emberlatch.faults.settings import CATEGORIES, DEADLINE_S
from emberlatch.faults.trace import Trace, TraceEvent

ANSWER_TIMEOUT_S = 0.4
FIRST_SUBMISSION_S = 0.5  # delay from the start of the run to the first submission
MIN_REMAINING_S = 1.0  # a message is not submitted if less time than this is left until its deadline
RETRY_DELAY_S = 0.3  # delay before a retry after no answer, or a rejection without Retry-After
RECONNECT_DELAY_S = 0.25
MAX_SUBMISSIONS = 3  # most submissions of one request
PARTNER_SHARES = (0.5, 0.3, 0.2)  # shares of the requests, in the order of `PARTNERS`
DRAWN_CATEGORIES = ("note", "payout", "payout", "order")  # drawn uniformly; payouts are more likely
BURST_SIZES = (1, 1, 1, 1, 1, 1, 1, 6)
NO_ANSWER = 0  # pseudo-status of a submission without an answer
GAVE_UP = 500  # status reported for a request too close to its deadline to be submitted


class ClientResponse(NamedTuple):
    """The status of an answer (`NO_ANSWER` if there was none) and its Retry-After in seconds, 0 for none."""

    status: int
    retry_after_s: float


@dataclass(slots=True)
class ClientRequest:
    """A client's request, which may take several submissions; each submission has its own message id."""

    number: int
    category: str
    partner: int
    requested_at: float
    message_ids: list[str] = field(default_factory=list)

    @property
    def due_at(self) -> float:
        """The time by which the request must be completed to count as on time."""
        return self.requested_at + CATEGORIES[self.category].latency_target_s


class SimulatedClients:
    """Submits messages to the forwarder with a name and address.

    `pending_count` is the number of requests that still wait for an answer.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        plan: Plan,
        loop: asyncio.AbstractEventLoop,
        checks: RuleChecks,
        trace: Trace,
    ) -> None:
        self.name, self.pending_count = name, 0
        self._address, self._plan, self._loop, self._checks, self._trace = address, plan, loop, checks, trace
        self._random = random.Random(f"clients {name} {plan.seed}")
        self._idle_connections: list[_ClientConnection] = []
        self._requests: list[ClientRequest] = []

    async def run(self, until: float) -> None:
        """Submit messages until the time `until`, in seconds from the start of the run."""
        await asyncio.sleep(FIRST_SUBMISSION_S)
        while self._trace.now < until:
            await asyncio.sleep(self._random.expovariate(self._plan.rate_per_s))
            for _ in range(self._random.choice(BURST_SIZES)):
                category = self._random.choice(DRAWN_CATEGORIES)
                partner = self._random.choices(range(len(PARTNERS)), PARTNER_SHARES)[0]
                request = ClientRequest(len(self._requests), category, partner, self._trace.now)
                self._requests.append(request)
                self._loop.create_task(self._submit_until_answered(request))

    def served_in_time(
        self, since: float, until: float, messages: Mapping[str, CheckedMessage]
    ) -> Iterator[tuple[float, bool]]:
        """Yield the time of each request from `since` to `until`, and whether it was delivered in time."""
        for request in self._requests:
            if since <= request.requested_at < until:
                delivered_at = min(
                    (messages[name].delivered_at for name in request.message_ids if name in messages),
                    default=1e9,
                )
                yield request.requested_at, delivered_at <= request.due_at

    def demanded(self) -> Iterator[DemandedMessage]:
        """All requests, completed or not."""
        for request in self._requests:
            yield DemandedMessage(PARTNERS[request.partner], request.requested_at, request.due_at)

    async def _submit_until_answered(self, request: ClientRequest) -> None:
        self.pending_count += 1
        retry_reason = ""
        try:
            for number in range(MAX_SUBMISSIONS):
                status, retry_after_s = await self._submit(request, number, retry_reason)
                if status in (429, 503):
                    retry_reason = "1"
                    await asyncio.sleep(retry_after_s or RETRY_DELAY_S)
                elif status == NO_ANSWER and request.category != "order":  # an order may have been accepted
                    retry_reason = "again"
                    await asyncio.sleep(RETRY_DELAY_S)
                else:
                    return
        finally:
            self.pending_count -= 1

    async def _submit(self, request: ClientRequest, number: int, retry_reason: str) -> ClientResponse:
        """Submit a request once; the status is `GAVE_UP` if its deadline is too close."""
        remaining_s = self._remaining_s(request)
        if remaining_s < MIN_REMAINING_S:
            return ClientResponse(GAVE_UP, 0.0)
        while (connection := await self._open_connection()) is None:  # the forwarder is down
            await asyncio.sleep(RECONNECT_DELAY_S)
            remaining_s = self._remaining_s(request)
            if remaining_s < MIN_REMAINING_S:
                return ClientResponse(GAVE_UP, 0.0)
        message_id = f"{self.name}-{request.number}-{number}"
        request.message_ids.append(message_id)
        effect = CATEGORIES[request.category].effect
        self._checks.on_submitted(self.name, message_id, effect, self._trace.now + remaining_s)
        self._trace.record(TraceEvent.SUBMITTED, self.name, message_id, request.category, request.partner + 1)
        response = await connection.exchange(
            self._request_bytes(request, message_id, remaining_s, retry_reason)
        )
        self._trace.record(TraceEvent.RESPONSE, message_id, response.status)
        if response.status != NO_ANSWER:
            self._checks.on_submission_answered(self._trace.now, message_id, response.status)
        if not connection.closed:
            self._idle_connections.append(connection)
        return response

    def _remaining_s(self, request: ClientRequest) -> float:
        return DEADLINE_S - (self._trace.now - request.requested_at)

    def _request_bytes(
        self, request: ClientRequest, message_id: str, remaining_s: float, retry_reason: str
    ) -> bytes:
        key = f"Idempotency-Key: k-{self.name}-{request.number}\r\n" if request.category == "payout" else ""
        retried = f"X-Retried: {retry_reason}\r\n" if retry_reason else ""
        return (
            f"POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {message_id}\r\n"
            f"X-Priority-Class: {request.category}\r\n"
            f"X-Tenant-Id: acme\r\nX-Timeout-Ms: {remaining_s * 1000:.0f}\r\n{key}{retried}"
            f"Envelope: dest={request.partner + 1}\r\nContent-Length: 5\r\n\r\nhello"
        ).encode()

    async def _open_connection(self) -> _ClientConnection | None:
        """Return an idle connection or open a new one; None if the forwarder can't be reached."""
        while self._idle_connections and self._idle_connections[-1].closed:
            self._idle_connections.pop()
        if self._idle_connections:
            return self._idle_connections.pop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                _, connection = await self._loop.create_connection(_ClientConnection, *self._address)
        except OSError:
            return None
        return connection


class _ClientConnection(asyncio.Protocol):
    """A connection of a client, which carries one request at a time."""

    def __init__(self) -> None:
        self.closed = False
        self._data = b""
        self._response: asyncio.Future[ClientResponse] | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._complete(ClientResponse(NO_ANSWER, 0.0))

    def data_received(self, data: bytes) -> None:
        self._data += data
        if b"\r\n\r\n" not in self._data:
            return
        lines = self._data.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        if headers.get("connection") == "close":
            self.closed = True
            self._transport.close()
        status = int(lines[0].split(" ")[1])
        self._complete(ClientResponse(status, float(headers.get("retry-after", 0))))

    async def exchange(self, request: bytes) -> ClientResponse:
        """Send a request and return its answer.

        The status is `NO_ANSWER` after `ANSWER_TIMEOUT_S`, or if the connection is lost.
        """
        if self.closed:
            return ClientResponse(NO_ANSWER, 0.0)
        self._data = b""
        loop = asyncio.get_running_loop()
        response: asyncio.Future[ClientResponse] = loop.create_future()
        self._response = response
        self._transport.write(request)
        timer = loop.call_later(ANSWER_TIMEOUT_S, self._on_timeout)
        try:
            return await response
        finally:
            timer.cancel()

    def _on_timeout(self) -> None:
        self.closed = True
        self._transport.abort()
        self._complete(ClientResponse(NO_ANSWER, 0.0))

    def _complete(self, response: ClientResponse) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_result(response)
