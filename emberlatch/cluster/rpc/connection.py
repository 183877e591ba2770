"""One connection between two processes, on which both sides may call each other.

Each side first identifies itself, and the dialling side also names the peer that it expects: a connection to
any other peer is closed. A request is sent once, under a number that this process never reuses. A response
that matches no awaited call is dropped and counted. If it is a late response to an abandoned call, the
connection stays open; otherwise the peer can't be trusted and the connection is closed. Malformed bytes close
the connection on which they arrive and affect no other connection.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import cast

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc.call_table import CallTable, PendingCall
from emberlatch.cluster.rpc.counters import TrafficCounters, UnexpectedMessage
from emberlatch.cluster.rpc.errors import CallFailedError, ForeignPeerError, FrameError, FrameTooLargeError
from emberlatch.cluster.rpc.frames import (
    VERSION,
    ErrorResponse,
    Frame,
    FrameReader,
    Identify,
    Notification,
    Request,
    Response,
    encode,
)
from emberlatch.cluster.rpc.incarnation import Incarnation, LocalEndpoint
from emberlatch.cluster.rpc.request_server import RequestServer
from emberlatch.cluster.rpc.send_queue import SendQueue
from emberlatch.engine import Tasks

MAX_OUTSTANDING_CALLS = 20_000  # limit of unanswered requests on one connection
MAX_LOGGED_ERROR_CHARS = 200  # limit for the text of an error in the log

RequestHandler = Callable[["RpcConnection", str, object], object]
"""Handles a request, given its connection, method and payload. Returns the response's payload, or a coroutine
that returns it. If the handler raises an error, the text of the error is sent to the caller."""


class RpcConnection(asyncio.Protocol):
    """One end of a connection.

    `expected` is the peer that the dialling side wants to reach; None on the accepting side. `on_lost` is
    called once when the connection ends, whatever the reason.

    Attributes:
        name: Node name of the peer; "?" on the accepting side until the peer has identified itself.
        remote: Incarnation of the peer; None until the peer has identified itself.
        tasks: Runs the coroutines that the handler returns.
        last_received_at: Loop time in seconds at which bytes last arrived.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        endpoint: LocalEndpoint,
        handler: RequestHandler,
        tasks: Tasks,
        counters: TrafficCounters,
        name: str = "?",
        expected: Incarnation | None = None,
        on_lost: Callable[[RpcConnection], None] | None = None,
    ) -> None:
        self.name, self.tasks, self._counters = name, tasks, counters
        self._endpoint, self._expected, self._on_lost = endpoint, expected, on_lost
        self._requests = RequestServer(self, functools.partial(handler, self), tasks, endpoint.completed)
        self.remote: Incarnation | None = None
        self._foreign_peer: Incarnation | None = None  # the peer that was found instead of the expected one
        self._peer_known_or_lost = asyncio.Event()  # set once the peer is known or the connection is lost
        self._reader = FrameReader()
        self._calls = CallTable()
        self._queue = SendQueue()
        self._late_response_logged = False
        self.closed = False
        self.last_received_at = 0.0

    # Connection lifecycle.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attach the transport; the dialling side sends its Identify frame at once."""
        # The cast does not check the class, because the transports of other event loops may have another one.
        self.transport = cast(asyncio.Transport, transport)
        self._queue.attach(self.transport)
        self.last_received_at = asyncio.get_running_loop().time()
        if self._expected is not None:
            self._send_identify(self._expected)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all awaited calls. A request that is still queued has certainly not reached the peer."""
        self._mark_closed()
        unsent = self._queue.unsent_requests()
        for call in self._calls.drain():
            call.response.set_exception(
                CallFailedError("call", self.name, "connection lost", call.number not in unsent)
            )
        self._peer_known_or_lost.set()
        if self._on_lost is not None:
            self._on_lost(self)

    def pause_writing(self) -> None:
        """Stop writing, because the transport's buffer is full."""
        self._queue.pause()

    def resume_writing(self) -> None:
        """Write again, because the transport accepts data again."""
        self._queue.resume()

    def abort(self) -> None:
        """Close at once and discard all queued frames."""
        self._mark_closed()
        self.transport.abort()

    def close(self) -> None:
        """Close after all queued frames are written."""
        self._queue.resume()
        self.transport.close()

    def _mark_closed(self) -> None:
        self.closed = True
        self._queue.close()

    async def established(self) -> Incarnation:
        """Wait until the peer has identified itself.

        Raises ForeignPeerError if another peer than the expected one answers, and CallFailedError if the
        connection is lost.
        """
        await self._peer_known_or_lost.wait()
        if self._foreign_peer is not None and self._expected is not None:
            raise ForeignPeerError(self._expected, self._foreign_peer)
        if self.remote is None:
            raise CallFailedError("greeting", self.name, "connection lost", False)
        return self.remote

    # Sending.

    def call(self, method: str, payload: object) -> PendingCall:
        """Send a request once. If it can't be sent, the returned call has already failed."""
        loop = asyncio.get_running_loop()
        response: asyncio.Future[object] = loop.create_future()
        remote = self.remote
        if self.closed or remote is None:
            response.set_exception(CallFailedError(method, self.name, "no connection", False))
            return PendingCall(0, response)
        if len(self._calls) >= MAX_OUTSTANDING_CALLS:
            error = CallFailedError(method, self.name, "too many requests without an answer", False)
            response.set_exception(error)
            return PendingCall(0, response)
        number = self._endpoint.next_request_number()
        request = Request(number, self._endpoint.incarnation.number, remote.number, method, payload)
        try:
            data = encode(request)
        except FrameTooLargeError as error:
            self._log_too_large(method, error)
            response.set_exception(CallFailedError(method, self.name, str(error), False))
            return PendingCall(0, response)
        self._calls.add(number, response, loop.time())
        self._send_encoded(data, method, number)
        return PendingCall(number, response)

    def abandon(self, call: PendingCall) -> bool:
        """Stop awaiting a call and return whether its request may have been sent.

        A request that is still queued is withdrawn and never sent.
        """
        call.response.cancel()
        withdrawn = self._queue.withdraw(call.number)
        if withdrawn:
            self._calls.withdraw(call.number)
        return not withdrawn

    def notify(self, method: str, payload: object) -> None:
        """Send a message that has no response.

        Nothing is sent if the connection is not established, or if the frame would be too large.
        """
        if self.closed or self.remote is None:
            return
        try:
            self._send(Notification(method, payload), method)
        except FrameTooLargeError as error:
            self._log_too_large(method, error)

    def send_response(self, data: bytes, method: str) -> None:
        """Queue an encoded response to a request of this method."""
        self._send_encoded(data, f"={method}")

    def oldest_unanswered_s(self) -> float:
        """The age in seconds of the oldest unanswered request, also if abandoned; 0 if there is none."""
        return self._calls.oldest_unanswered_s(asyncio.get_running_loop().time())

    def flush(self) -> None:
        """Write all queued frames now instead of in the next iteration of the event loop."""
        self._queue.flush()

    def _send_identify(self, expected: Incarnation) -> None:
        local = self._endpoint.incarnation
        self._send(Identify(VERSION, local.node, local.number, expected.node, expected.number), "greeting")

    def _log_too_large(self, method: str, error: FrameTooLargeError) -> None:
        log_event(Event.FRAME_TOO_LARGE, peer=self.name, method=method, size=error.size)

    def _send(self, frame: Frame, counted_as: str) -> None:
        self._send_encoded(encode(frame), counted_as)

    def _send_encoded(self, data: bytes, counted_as: str, request_number: int | None = None) -> None:
        if self.closed:
            return
        self._counters.count(self.name, counted_as, len(data))
        self._queue.append(data, request_number)

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes and handle all complete frames."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                if self.closed:
                    return
                self._receive(frame)
        except Exception as error:  # an error of any kind closes only this connection
            log_event(Event.MALFORMED_FRAME, peer=self.name, error=repr(error)[:MAX_LOGGED_ERROR_CHARS])
            self.abort()

    def _receive(self, frame: Frame) -> None:
        if isinstance(frame, Identify):
            return self._on_identify(frame)
        if self.remote is None:
            raise FrameError(f"received a {type(frame).__name__} frame before the Identify frame")
        match frame:
            case Response() | ErrorResponse():
                self._on_response(frame, self.remote)
            case Request():
                self._on_request(frame, self.remote)
            case Notification():
                self._requests.handle_notification(frame)
        return None

    def _on_identify(self, identify: Identify) -> None:
        """Accept the peer, or close the connection if either side is not the peer that the other expects."""
        if self.remote is not None or identify.version != VERSION:
            raise FrameError(
                f"unexpected Identify frame: version {identify.version}, expected {VERSION}; "
                f"peer identified so far: {self.remote}"
            )
        remote, local = Incarnation(identify.node, identify.incarnation), self._endpoint.incarnation
        local_as_expected = Incarnation(identify.expected_node, identify.expected_incarnation)
        if self._expected is not None:
            if not remote.satisfies(self._expected):
                return self._reject(remote, self._expected)
        else:
            # Identify this process even to a peer that expects another: that peer then closes the connection.
            self.name = identify.node
            self._send_identify(remote)
        if not local.satisfies(local_as_expected):
            self.drop(
                UnexpectedMessage.FOREIGN_PEER,
                f"{remote} expects {local_as_expected}, this process is {local}",
            )
            return self.close()
        self.remote = remote
        self._peer_known_or_lost.set()
        return None

    def _reject(self, remote: Incarnation, expected: Incarnation) -> None:
        self.drop(UnexpectedMessage.FOREIGN_PEER, f"expected {expected}, found {remote}")
        self._foreign_peer = remote
        self._peer_known_or_lost.set()
        self.abort()

    def _on_request(self, request: Request, remote: Incarnation) -> None:
        local = self._endpoint.incarnation
        if request.receiver_incarnation != local.number or request.caller_incarnation != remote.number:
            return self._abort_untrusted(UnexpectedMessage.FOREIGN_REQUEST, request.number)
        self._requests.handle_request(request, remote)
        return None

    def _on_response(self, frame: Response | ErrorResponse, remote: Incarnation) -> None:
        expected = frame.caller_incarnation == self._endpoint.incarnation.number
        expected = expected and frame.receiver_incarnation == remote.number
        if not expected or not self._calls.was_issued(frame.number):
            return self._abort_untrusted(UnexpectedMessage.UNKNOWN_RESPONSE, frame.number)
        if not self._calls.mark_answered(frame.number):
            return self._abort_untrusted(UnexpectedMessage.DUPLICATE_RESPONSE, frame.number)
        response = self._calls.find_awaited(frame.number)
        if response is None:
            self.drop(UnexpectedMessage.LATE_RESPONSE, f"number={frame.number}")
        elif isinstance(frame, Response):
            response.set_result(frame.payload)
        else:
            response.set_exception(CallFailedError("call", self.name, frame.text, True))
        return None

    def _abort_untrusted(self, kind: UnexpectedMessage, number: int) -> None:
        """Drop a message that the peer should not have sent. Close at once, as the peer can't be trusted."""
        self.drop(kind, f"number={number}")
        self.abort()

    def drop(self, kind: UnexpectedMessage, detail: str) -> None:
        """Count a message that is dropped, and log it as event 207.

        Of the late responses on a connection, only the first is logged.
        """
        self._counters.count_dropped(self.name, kind)
        late = kind is UnexpectedMessage.LATE_RESPONSE
        if not (late and self._late_response_logged):
            log_event(Event.UNEXPECTED_MESSAGE, detail, peer=self.name, kind=kind.value)
        self._late_response_logged = self._late_response_logged or late
