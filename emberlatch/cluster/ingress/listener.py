"""An HTTP listener that passes each complete request to a handler, which may answer later."""

from __future__ import annotations

from collections.abc import Callable, Coroutine

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.settings.configuration import Limits
from emberlatch.engine import Address, Machine, Tasks
from emberlatch.net.server import Reply, Request, Server

MAX_LOGGED_ERROR = 300  # characters
UNIQUE_HEADERS = frozenset(
    {
        "content-length",
        "transfer-encoding",
        "host",
        "emberlatch-attempt-id",
        "emberlatch-delay-ms",
        "emberlatch-deadline-ms",
    }
)
"""Headers that a request may have only once. Given two values, two programs could use different values."""

RequestHandler = Callable[[Request, Reply], Coroutine[object, object, None]]
"""Answers a request through the `Reply` that is passed with it."""


class HttpListener(Server):
    """Accepts client connections. `handle` answers their requests, many of them concurrently."""

    def __init__(
        self, address: Address, handle: RequestHandler, max_clients: int, tasks: Tasks, machine: Machine
    ) -> None:
        super().__init__(
            address, self._submit, max_clients, tasks, machine=machine, unique_headers=UNIQUE_HEADERS
        )
        self._handle, self._request_tasks = handle, tasks
        self.pending_requests = 0  # number of requests whose handlers have not finished

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits that a configuration sets for clients."""
        self.set_limits(
            max_body_bytes=limits.max_body_bytes,
            idle_timeout_s=limits.idle_timer_ms / 1000,
        )
        self.max_head_bytes, self.request_timeout_s = limits.max_header_bytes, limits.header_timer_ms / 1000

    def set_limits(self, max_body_bytes: int, idle_timeout_s: float) -> None:
        """Set the largest size of a body and the longest idle time of a connection between two requests."""
        self.max_body_bytes, self.idle_timeout_s = max_body_bytes, idle_timeout_s

    def route(self, request: Request, reply: Reply) -> None:
        """Pass a complete request to the handler, whatever its path."""
        self._submit(request, reply)

    def _submit(self, request: Request, reply: Reply) -> None:
        self.pending_requests += 1
        self._request_tasks.spawn(self._answer(self._handle(request, reply), reply))

    async def _answer(self, work: Coroutine[object, object, None], reply: Reply) -> None:
        try:
            await work
        except Exception as error:  # A failing handler must not affect other requests.
            log_event(Event.REQUEST_FAILED, repr(error)[:MAX_LOGGED_ERROR])
            if reply.data is None:
                reply.send(500)
        finally:
            self.pending_requests -= 1
