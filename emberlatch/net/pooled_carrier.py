"""The base class of carriers, which send calls to targets.

`PooledCarrier` keeps track of the targets and their draining, obeys Retry-After, reuses idle connections, and
runs the calls. A subclass encodes a call and classifies its response.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Sequence

from emberlatch.core.interface import Entry, Outcome, Phase, Result, Settings
from emberlatch.engine import Address, Addresses, CallItem, Counters, Tasks
from emberlatch.net.call import Call
from emberlatch.net.connection_pool import ConnectionPool
from emberlatch.net.endpoint import Endpoint
from emberlatch.net.http_connection import Connection, NoResponseError, Response, connect
from emberlatch.net.retry_after import ExportedScope, RetryAfterTable, Scope
from emberlatch.store import MAX_BODY_BYTES

log = logging.getLogger(__name__)

USABLE_DRAIN_GRACE_SHARE = 0.8
"""Share of a draining target's grace period in which calls are sent.

The rest is a margin for delays of the event loop.
"""


class PooledCarrier(ABC):
    """Carries out calls; `report` gets one outcome for each message of a call.

    `max_connections` limits the idle connections and those in use together: before a new connection is
    opened, idle ones are closed as needed. `emberlatch.core` limits the number of calls in flight.

    A call is passed to `_prepare`, then to `_request` once it has a connection. Its response is passed to
    `_on_response`; without a valid response, `_on_no_response` is called. A message that has no outcome after
    that gets the result ERROR: it may have been executed.
    """

    def __init__(
        self,
        settings: Settings,
        max_connections: int,
        report: Callable[[Outcome], None],
        tasks: Tasks,
        counters: Counters | None = None,
    ) -> None:
        self._settings, self._report, self._tasks = settings, report, tasks
        self._counters = counters or Counters()
        self._targets: dict[bytes, Endpoint] = {}
        self._deregistered: set[bytes] = set()  # names kept in `_targets` while calls are in flight
        self._retry_after = RetryAfterTable()
        self._pool = ConnectionPool(max_connections, settings.connection_idle)
        self._calls_in_flight = 0
        self._calls: dict[tuple[int, int], Call] = {}  # by message reference and attempt

    @property
    def in_flight(self) -> int:
        """Number of calls in flight."""
        return self._calls_in_flight

    def update(self, entries: Sequence[Entry], addresses: Addresses, is_complete: bool) -> None:
        """Apply a membership update; a complete one deregisters all targets that it does not list."""
        now = asyncio.get_running_loop().time()
        usable_until = now + USABLE_DRAIN_GRACE_SHARE * self._settings.rules.drain_grace
        for entry in entries:
            address = addresses[entry.target]
            target = self._targets.setdefault(entry.target, Endpoint(entry, address))
            if target.address != address:
                self.close_idle(entry.target)
            target.entry, target.address = entry, address
            target.deregistered = entry.phase is Phase.REMOVED
            self._deregistered.discard(entry.target)
            if target.deregistered:
                self._deregistered.add(entry.target)
            ready = entry.phase is Phase.READY
            target.usable_until = math.inf if ready else min(target.usable_until, usable_until)
        for name in self._targets.keys() - addresses.keys() if is_complete else ():
            target = self._targets[name]
            target.deregistered, target.usable_until = True, min(target.usable_until, usable_until)
            self._deregistered.add(name)
        for name in list(self._deregistered):
            self._remove_if_unused(name)
        self._retry_after.expire(now)

    def _remove_if_unused(self, name: bytes) -> None:
        """Remove a deregistered target without calls in flight, so that replaced targets don't accumulate."""
        target = self._targets[name]
        if target.deregistered and not target.in_flight:
            self.close_idle(name)
            del self._targets[name]
            self._deregistered.discard(name)

    def entry(self, target: bytes) -> Entry | None:
        """The directory's entry of a target, if the target is listed or has a call in flight."""
        endpoint = self._targets.get(target)
        return endpoint.entry if endpoint is not None else None

    def call(self, target: bytes, items: list[CallItem]) -> None:
        """Start a call with one or more messages."""
        call, endpoint = Call(target, items, lambda outcome: self._report(outcome)), self._targets.get(target)
        if endpoint is None:
            call.complete_all(Result.NOT_EXECUTED)
            return
        self._calls_in_flight += 1
        endpoint.in_flight += 1
        self._calls.update(((item.ref, item.attempt), call) for item in items)
        self._tasks.spawn(self._run(endpoint, call))

    # Handover to another process.

    def export_retry_after(self) -> list[tuple[ExportedScope, float]]:
        """Return the scope of each Retry-After and the event loop's time at which it ends."""
        return self._retry_after.export()

    def import_retry_after(self, exported: Iterable[tuple[ExportedScope, float]]) -> None:
        """Apply each Retry-After that another process exported."""
        self._retry_after.apply_exported(exported)

    def apply_retry_after(self, target: bytes, retry_after_s: float) -> None:
        """Apply a Retry-After that another process has just received."""
        if (endpoint := self._targets.get(target)) is not None:
            self._set_retry_after(endpoint, retry_after_s)

    def redirect_outcomes(self, report: Callable[[Outcome], None]) -> None:
        """Report all outcomes to another function from now on, including those of calls in flight."""
        self._report = report

    def listed_targets(self) -> list[tuple[Entry, Address]]:
        """The listed targets and their addresses."""
        return [
            (endpoint.entry, endpoint.address)
            for endpoint in self._targets.values()
            if not endpoint.deregistered
        ]

    def export_connections(self) -> Iterator[tuple[bytes, int]]:
        """Yield the target and the descriptor of each idle connection.

        A connection is closed here when the next item is requested.
        """
        for name, endpoint in self._targets.items():
            while endpoint.idle:
                connection = self._pool.take(endpoint)
                if connection.usable and (descriptor := connection.descriptor) is not None:
                    yield name, descriptor
                connection.close()

    async def adopt_connection(self, target: bytes, sock: socket.socket) -> None:
        """Continue to use an idle connection that another process exported."""
        sock.setblocking(False)
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: Connection(MAX_BODY_BYTES), sock=sock
        )
        endpoint = self._targets.get(target)
        if endpoint is not None and self._pool.has_capacity(in_use=self._calls_in_flight):
            self._release(endpoint, connection)
        else:
            connection.close()

    def cancel(self, ref: int, attempt: int) -> None:
        """Cancel one message of a call that was sent; close the connection if no other message is pending."""
        if (call := self._calls.get((ref, attempt))) is not None:
            call.cancel(ref, attempt)

    def close_idle(self, target: bytes) -> None:
        """Close the idle connections to a target."""
        if (endpoint := self._targets.get(target)) is not None:
            self._pool.close_idle(endpoint)

    @abstractmethod
    def _request(self, target: Endpoint, call: Call) -> bytes:
        """Encode a call; `call.items` contains those of its messages that have no outcome yet."""

    @abstractmethod
    async def _on_response(self, target: Endpoint, call: Call, response: Response) -> None:
        """Give each message its outcome; the caller gives ERROR to each message that has none afterwards."""

    def _response_filter(self, call: Call) -> Callable[[Response], bool] | None:
        """Return a function that tells whether a response belongs to this call, not to an earlier one.

        Return None if responses do not identify their call.
        """
        return None

    async def _prepare(self, target: Endpoint, call: Call) -> None:  # noqa: B027
        """Prepare a call before it gets a connection; raises OSError if it can't be sent."""

    def _is_wanted(self, call: Call) -> bool:
        """Whether a call must still be sent, now that a connection is available."""
        return True

    def _is_reusable(self, connection: Connection, call: Call) -> bool:
        """Whether a call may be sent on an idle connection."""
        return True

    def _on_send(self, connection: Connection, call: Call) -> None:  # noqa: B027
        """Called when a call is sent on a connection."""

    async def _connect(self, target: Endpoint) -> Connection:
        return await connect(target.address, self._settings.connect_timeout)

    def _on_no_response(self, call: Call, error: NoResponseError) -> None:
        call.complete_all(Result.RESET if error.written else Result.CONNECT_FAILED)

    async def _run(self, target: Endpoint, call: Call) -> None:
        try:
            response = await self._exchange(target, call)
            if response is not None:
                await self._on_response(target, call, response)
            call.complete_all(Result.ERROR)
        except NoResponseError as error:
            self._on_no_response(call, error)
        except OSError as error:
            not_executed = call.connection is None and not call.response_received
            if not not_executed:
                log.error("call to %r failed, its messages may have been executed: %r", call.target, error)
            call.complete_all(Result.CONNECT_FAILED if not_executed else Result.ERROR)
        except Exception:  # a fault affects only this call, whose messages may have been executed
            log.exception("call to %r failed with an unexpected error", call.target)
            call.complete_all(Result.ERROR)
        finally:
            self._calls_in_flight -= 1
            target.in_flight -= 1
            for item in call.all_items:
                self._calls.pop((item.ref, item.attempt), None)
            if target.deregistered and self._targets.get(call.target) is target:
                self._remove_if_unused(call.target)

    async def _exchange(self, target: Endpoint, call: Call) -> Response | None:
        """Send a call; return its response, or None if all its messages have an outcome already."""
        await self._prepare(target, call)
        connection = self._pool.acquire(target, lambda idle: self._is_reusable(idle, call))
        if connection is None and (connection := await self._open_connection(target, call)) is None:
            return None
        if not (call.pending and self._accepts_requests(target) and self._is_wanted(call)):
            # Since the call was started, a Retry-After or a drain began, or all messages got an outcome.
            self._release(target, connection)
            call.complete_all(Result.NOT_EXECUTED)
            return None
        call.items = list(call.pending)
        self._on_send(connection, call)
        response_future = connection.exchange(self._request(target, call), self._response_filter(call))
        call.connection = connection
        sent_at_once = connection.written
        self._counters.count("dispatches", by=len(call.items) * sent_at_once)
        try:
            await call.wait_for(response_future, lambda: connection.written)
        finally:
            self._counters.count("dispatches", by=len(call.items) * (connection.written and not sent_at_once))
            if response_future.cancel():
                connection.close()  # closing frees the slot at the target
        if response_future.cancelled():
            return None
        response = response_future.result()
        call.connection, call.response_received = None, True
        self._release(target, connection)
        return response

    async def _open_connection(self, target: Endpoint, call: Call) -> Connection | None:
        """Connect to a target; return None if all messages of the call time out first."""
        self._pool.evict(in_use=self._calls_in_flight)
        self._counters.count_target(call.target, "connects")
        connecting = asyncio.ensure_future(self._connect(target))
        try:
            await call.wait_for(connecting, lambda: False)
        finally:
            connecting.cancel()
        return connecting.result() if connecting.done() else None

    def _release(self, target: Endpoint, connection: Connection) -> None:
        if connection.closed:
            return
        if self._targets.get(target.entry.target) is not target or target.deregistered:
            connection.close()
        else:
            self._pool.release(target, connection)

    def _set_retry_after(self, target: Endpoint, retry_after_s: float) -> None:
        until = asyncio.get_running_loop().time() + retry_after_s
        self._retry_after.block(self._retry_after_scope(target), until)

    def _retry_after_scope(self, target: Endpoint) -> Scope:
        """Return the scope of a Retry-After from a target.

        This is the target if its kind has separate routes, otherwise its destination.
        """
        kind = target.entry.kind
        is_separate = any(self._settings.separate_routes[kind : kind + 1])
        return target.entry.target if is_separate else target.entry.destination

    def _accepts_requests(self, target: Endpoint) -> bool:
        now = asyncio.get_running_loop().time()
        is_blocked = self._retry_after.is_blocked(self._retry_after_scope(target), now)
        return not is_blocked and now < target.usable_until
