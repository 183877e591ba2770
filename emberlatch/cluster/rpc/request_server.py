"""Handling of the requests and notifications that arrive on one connection."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from typing import Protocol

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc.counters import UnexpectedMessage
from emberlatch.cluster.rpc.dedupe import CallKey, CompletedCalls
from emberlatch.cluster.rpc.errors import CallFailedError, FrameTooLargeError
from emberlatch.cluster.rpc.frames import ErrorResponse, Notification, Request, Response, encode
from emberlatch.cluster.rpc.incarnation import Incarnation
from emberlatch.cluster.rpc.methods import runs_once
from emberlatch.engine import Tasks

MAX_ERROR_TEXT_CHARS = 200  # limit for the text of an error that is sent to the caller
MAX_LOGGED_ERROR_CHARS = 300  # limit for the text of an error in the log


class ResponseChannel(Protocol):
    """The connection on which responses are sent."""

    name: str

    def send_response(self, data: bytes, method: str) -> None:
        """Queue an encoded response to a request of this method."""

    def drop(self, kind: UnexpectedMessage, detail: str) -> None:
        """Count a message that is dropped, and log it as event 207."""


class RequestServer:
    """Runs requests and sends their responses. Requests of at-most-once methods run once per number.

    `handler` receives the method and the payload. It returns the response's payload, or a coroutine that
    returns it.
    """

    def __init__(
        self,
        channel: ResponseChannel,
        handler: Callable[[str, object], object],
        tasks: Tasks,
        completed: CompletedCalls,
    ) -> None:
        self._channel, self._handler = channel, handler
        self._tasks, self._completed = tasks, completed

    def handle_request(self, request: Request, remote: Incarnation) -> None:
        """Run a request. A duplicate of an at-most-once call only gets the retained response, if any."""
        if not runs_once(request.method):
            return self._run(request, None)
        key = CallKey(remote.node, remote.number, request.number)
        duplicate = self._completed.begin(key, asyncio.get_running_loop().time())
        if duplicate is None:
            return self._run(request, key)
        self._channel.drop(UnexpectedMessage.DUPLICATE_REQUEST, f"{request.method} number={request.number}")
        # A call that is still running is answered only on the connection that its first request arrived on.
        if duplicate.response is not None:
            self._channel.send_response(duplicate.response, request.method)
        return None

    def handle_notification(self, notification: Notification) -> None:
        """Run a notification; log its errors."""
        try:
            result = self._handler(notification.method, notification.payload)
        except Exception as error:
            return self._log_failure(notification.method, error)
        if inspect.iscoroutine(result):
            self._tasks.spawn(self._finish_notification(notification.method, result))
        return None

    def _run(self, request: Request, key: CallKey | None) -> None:
        try:
            result = self._handler(request.method, request.payload)
        except Exception as error:
            if not isinstance(error, CallFailedError):
                self._log_failure(request.method, error)
            return self._send_error(request, error, key)
        if inspect.iscoroutine(result):
            self._tasks.spawn(self._finish_request(request, key, result))
        else:
            self._send_result(request, result, key)
        return None

    async def _finish_request(
        self, request: Request, key: CallKey | None, work: Coroutine[object, object, object]
    ) -> None:
        try:
            result = await work
        except Exception as error:
            if not isinstance(error, CallFailedError):
                self._log_failure(request.method, error)
            return self._send_error(request, error, key)
        self._send_result(request, result, key)
        return None

    async def _finish_notification(self, method: str, work: Coroutine[object, object, object]) -> None:
        try:
            await work
        except Exception as error:
            if not isinstance(error, CallFailedError):
                self._log_failure(method, error)

    def _send_result(self, request: Request, result: object, key: CallKey | None) -> None:
        response = Response(request.number, request.caller_incarnation, request.receiver_incarnation, result)
        self._send(request, response, key)

    def _send_error(self, request: Request, error: Exception, key: CallKey | None) -> None:
        text = repr(error)[:MAX_ERROR_TEXT_CHARS]
        response = ErrorResponse(
            request.number, request.caller_incarnation, request.receiver_incarnation, text
        )
        self._send(request, response, key)

    def _send(self, request: Request, response: Response | ErrorResponse, key: CallKey | None) -> None:
        try:
            data = encode(response)
        except FrameTooLargeError as error:
            log_event(Event.FRAME_TOO_LARGE, peer=self._channel.name, method=request.method, size=error.size)
            return self._send_error(request, error, key)
        if key is not None:
            self._completed.finish(key, data)
        self._channel.send_response(data, request.method)
        return None

    def _log_failure(self, method: str, error: Exception) -> None:
        log_event(
            Event.REQUEST_FAILED,
            method=method,
            peer=self._channel.name,
            error=repr(error)[:MAX_LOGGED_ERROR_CHARS],
        )
