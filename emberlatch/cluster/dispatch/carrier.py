"""Calls to targets over HTTP: encodes the request of a delivery and classifies the response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from emberlatch.cluster.dispatch.delivery_result import MODULE_RESULTS, DeliveryResult, classify_response
from emberlatch.cluster.dispatch.target_connection import TargetConnection, connect_to_target
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store import Record
from emberlatch.core.interface import Outcome, Result, Settings
from emberlatch.engine import Tasks
from emberlatch.net.call import Call
from emberlatch.net.endpoint import Endpoint
from emberlatch.net.http_connection import Connection, Response
from emberlatch.net.pooled_carrier import PooledCarrier
from emberlatch.net.retry_after import parse_retry_after

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
ATTEMPT_ID_HEADER = "emberlatch-attempt-id"  # response header: id of the message that is answered
SEAL_HEADER = "emberlatch-server-seal"
NOT_EXECUTED_HEADER = "emberlatch-not-executed"


@dataclass(frozen=True, slots=True)
class DeliveryRequest:
    """One delivery to one target.

    Attributes:
        record: the message.
        guard_s: seconds from the start of the call after which the target stops executing the message.
        expected_instance: id of the instance expected at the target's address; empty if not known.
    """

    record: Record
    guard_s: float
    expected_instance: str


class DeliverySource(Protocol):
    """Provides the content of the carrier's calls, and receives the results of the calls."""

    def delivery_request(self, ref: int, target: bytes) -> DeliveryRequest:
        """Return the content of a call; `ref` identifies the delivery in the decision module."""

    def is_wanted(self, ref: int) -> bool:
        """Return whether the message still has to be sent."""

    def on_delivery_result(self, ref: int, delivery_result: DeliveryResult, seal: str) -> None:
        """Store the delivery result of a response; `on_outcome` is called for the same call afterwards."""

    def on_outcome(self, outcome: Outcome) -> None:
        """Process the outcome of a call; each call has exactly one."""


class Carrier(PooledCarrier):
    """Sends deliveries to targets over at most `max_connections` pooled connections."""

    def __init__(
        self, settings: Settings, max_connections: int, tasks: Tasks, deliveries: DeliverySource
    ) -> None:
        super().__init__(settings, max_connections, deliveries.on_outcome, tasks)
        self._deliveries = deliveries

    def _is_wanted(self, call: Call) -> bool:
        # While the connection was being opened, another store may have taken over or ended the message.
        return self._deliveries.is_wanted(call.items[0].ref)

    async def _connect(self, target: Endpoint) -> Connection:
        return await connect_to_target(target.address, self._settings.connect_timeout, MAX_RESPONSE_BYTES)

    def _is_reusable(self, connection: Connection, call: Call) -> bool:
        # A connection that carried an earlier attempt of this message is not reused: a duplicate response to
        # that attempt would have the same attempt id as the response to this one.
        return isinstance(connection, TargetConnection) and call.items[0].id not in connection.message_ids

    def _request(self, target: Endpoint, call: Call) -> bytes:
        request = self._deliveries.delivery_request(call.items[0].ref, call.target)
        # The time that the call has taken so far is deducted, so that the target stops before it times out.
        remaining_s = request.guard_s - call.age
        record, body = request.record, request.record.body or b""
        head = (
            f"{record.method} {record.path} HTTP/1.1\r\nHost: {record.host}\r\n"
            f"Emberlatch-Attempt-Id: {record.id}\r\n"
            f"Emberlatch-Deadline-Ms: {max(1, round(remaining_s * 1000))}\r\n"
        )
        if request.expected_instance:
            head += f"Emberlatch-Expected-Instance: {request.expected_instance}\r\n"
        if record.content_type:
            head += f"Content-Type: {record.content_type}\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body

    async def _on_response(self, target: Endpoint, call: Call, response: Response) -> None:
        headers = response.headers
        seal = headers.get(SEAL_HEADER, "")
        delivery_result = classify_response(response.status, seal, NOT_EXECUTED_HEADER in headers)
        retry_after_s = (
            parse_retry_after(headers.get("retry-after"))
            if delivery_result is DeliveryResult.OVERLOADED
            else 0.0
        )
        if delivery_result is DeliveryResult.UNKNOWN:
            log_event(Event.UNKNOWN_RESPONSE_STATUS, call.target.decode(), status=response.status)
        self._deliveries.on_delivery_result(call.items[0].ref, delivery_result, seal)
        result, ended = MODULE_RESULTS[delivery_result]
        if response.status == 504 and delivery_result is DeliveryResult.UNKNOWN:
            result = Result.TIMEOUT
        call.complete_all(result, ended, retry_after_s)

    def _on_send(self, connection: Connection, call: Call) -> None:
        if isinstance(connection, TargetConnection):
            connection.message_ids.append(call.items[0].id)

    def _response_filter(self, call: Call) -> Callable[[Response], bool]:
        expected = call.items[0].id

        def repeats_attempt_id(response: Response) -> bool:
            # A response without an id is accepted, as no other request is pending on this connection.
            found = response.headers.get(ATTEMPT_ID_HEADER, expected)
            if found != expected:
                log_event(
                    Event.FOREIGN_RESPONSE, call.target.decode(), expected=expected, found=f"{found:.64}"
                )
            return found == expected

        return repeats_attempt_id
