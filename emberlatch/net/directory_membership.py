"""Gets the list of targets from a directory service over HTTP.

`emberlatch.directory` decides when to send which request; this module sends the requests.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable, Mapping, Sequence
from typing import cast

from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind
from emberlatch.directory import CancelRequest, Client, Failure, RequestContent, SendRequest
from emberlatch.engine import Address, Addresses, Counters, Tasks
from emberlatch.net.directory_list import LIST_DECODE_ERRORS, DirectoryListCodec, ListDocument
from emberlatch.net.http_connection import Connection, NoResponseError, Response, connect

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.8
MAX_LIST_BYTES = 1 << 20


class _DiscoveryError(Exception):
    """A request for a list failed; `retry_after` is the delay in seconds that the service asked for, or 0."""

    def __init__(self, failure: Failure, cause: str, retry_after: float = 0.0) -> None:
        super().__init__(cause)
        self.failure, self.retry_after = failure, retry_after


class DirectoryMembership:
    """Watches the directory service; `on_update` gets each update with the addresses of its targets.

    `initial_list` is the list of targets in the configuration. `callers` is the number of forwarders that use
    the service.
    """

    def __init__(
        self,
        service: Address,
        initial_list: Mapping[str, object],
        settings: Mapping[str, object],
        on_update: Callable[[DirectoryUpdate, Addresses], None],
        tasks: Tasks,
        seed: int,
        callers: int,
        counters: Counters,
    ) -> None:
        self._service, self._initial_list, self._on_update, self._tasks = (
            service,
            initial_list,
            on_update,
            tasks,
        )
        self._counters = counters
        self._uses_push = settings.get("discovery") != "ask"
        self.codec = DirectoryListCodec(
            cast(Sequence[str], settings.get("failure-domains") or ()),
            cast(Sequence[str], settings.get("machine-types") or ()),
        )
        # With push, the service is an agent on the same machine that serves this process only.
        self._client = Client(seed, callers=1 if self._uses_push else callers)
        self._calls: dict[int, asyncio.Task[None]] = {}
        self._idle_connection: Connection | None = None  # kept for the next request
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start from the list in the configuration; raises one of LIST_DECODE_ERRORS.

        With push, `emberlatch.core` does not request lists. This object watches an agent on the same machine
        instead. Every list that the agent has received counts as delivered to this process.
        """
        initial = self.codec.decode(self._initial_list)
        self._client.start_from(asyncio.get_running_loop().time(), initial.revision)
        self._on_update(
            DirectoryUpdate(ListKind.CACHED, initial.revision, initial.entries), initial.addresses
        )
        if self._uses_push:
            self.set_watching(True)

    def set_initial_list(self, initial_list: Mapping[str, object]) -> None:
        """Start from this list instead of the one in the configuration."""
        self._initial_list = initial_list

    def close(self) -> None:
        """Cancel all requests, because another process takes over."""
        self._client.watch(False)
        for call in self._calls.values():
            call.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._keep_connection(None)

    def encode_list(self, listed: Sequence[tuple[Entry, Address]]) -> ListDocument:
        """Encode a list in the format of the service, so that another process can start from this list."""
        return self.codec.encode(self._client.revision or 0, listed)

    def set_watching(self, active: bool) -> None:
        """Watch for changes if `active`; otherwise stop after the current request."""
        self._client.watch(active)
        self._run_client()

    def request_list(self) -> None:
        """Request the complete list, unless such a request is in flight already."""
        self._client.look_up()
        self._run_client()

    def change_address(self, service: Address) -> None:
        """Use the service at another address from now on, and ignore late answers from the previous one."""
        self._service = service
        self._keep_connection(None)
        self._client.change_address(asyncio.get_running_loop().time())
        self._run_client()

    def _run_client(self) -> None:
        """Carry out the actions of the client that are due, and schedule the next run."""
        loop = asyncio.get_running_loop()
        for action in self._client.take_actions(loop.time()):
            if isinstance(action, SendRequest):
                self._counters.count("asks")
                self._calls[action.call] = self._tasks.spawn(self._call(action))
            else:
                self._drop_call(action)
        if self._timer is not None:
            self._timer.cancel()
        due = self._client.due
        self._timer = loop.call_at(due, self._run_client) if due < math.inf else None

    def _drop_call(self, action: CancelRequest) -> None:
        task = self._calls.pop(action.call, None)
        if task is not None and task.cancel():
            log.info("discovery: request without an answer cancelled")
            self._report_failure()

    async def _call(self, ask: SendRequest) -> None:
        try:
            received = self.codec.decode(json.loads((await self._exchange(ask)).body))
        except LIST_DECODE_ERRORS as error:
            self._on_failure(ask.call, Failure.UNREADABLE, 0.0, repr(error))
            return
        except _DiscoveryError as error:
            self._on_failure(ask.call, error.failure, error.retry_after, str(error))
            return
        finally:
            self._calls.pop(ask.call, None)
        now = asyncio.get_running_loop().time()
        if self._client.on_answer(now, ask.call, received.revision, received.is_complete):
            kind = ListKind.FULL if received.is_complete else ListKind.DELTA
            self._counters.count("lists")
            self._on_update(DirectoryUpdate(kind, received.revision, received.entries), received.addresses)
        else:
            log.info("discovery: late or outdated answer with revision %d ignored", received.revision)
        self._run_client()

    def _on_failure(self, call: int, failure: Failure, retry_after: float, cause: str) -> None:
        log.info("discovery request to %s:%d failed: %s", *self._service, cause)
        self._counters.count("ask failed")
        if self._client.on_failure(asyncio.get_running_loop().time(), call, failure, retry_after):
            self._report_failure()
        self._run_client()

    def _report_failure(self) -> None:
        overdue = self._client.overdue(asyncio.get_running_loop().time())
        self._on_update(
            DirectoryUpdate(ListKind.FAILED, self._client.revision or 0, may_miss_changes=overdue), {}
        )

    async def _exchange(self, ask: SendRequest) -> Response:
        """Send one request; keep its connection if the request succeeds, otherwise close the connection."""
        connection, succeeded = None if ask.on_new_connection else self._idle_connection, False
        if connection is not None:
            self._idle_connection = None
        try:
            if connection is None or not connection.usable:
                connection = await self._connect()
            response = await connection.exchange(_encode_request(self._service, ask.content))
            if response.status != 200:
                after = _parse_retry_after(response.headers.get("retry-after"))
                raise _DiscoveryError(
                    Failure.NO_VALID_ANSWER, f"status {response.status}, expected 200", after
                )
            succeeded = True
            return response
        except NoResponseError as error:
            raise _DiscoveryError(
                Failure.NO_VALID_ANSWER if error.written else Failure.UNSENT, str(error)
            ) from error
        finally:  # runs also when this task is cancelled
            if connection is not None and not succeeded:
                connection.close()
            elif connection is not None:
                self._keep_connection(connection)

    async def _connect(self) -> Connection:
        try:
            return await connect(self._service, CONNECT_TIMEOUT_S, MAX_LIST_BYTES)
        except OSError as error:
            raise _DiscoveryError(Failure.UNSENT, repr(error)) from error

    def _keep_connection(self, connection: Connection | None) -> None:
        """Keep `connection`, which may be None, for the next request; close the connection kept before."""
        if self._idle_connection is not None:
            self._idle_connection.close()
        self._idle_connection = connection


def _encode_request(service: Address, content: RequestContent) -> bytes:
    path = "/v1/servers"
    if content.since is not None:
        path += f"?since={content.since}&timeout_ms={content.wait * 1000:.0f}"
    return f"GET {path} HTTP/1.1\r\nHost: {service[0]}:{service[1]}\r\n\r\n".encode()


def _parse_retry_after(text: str | None) -> float:
    """Return the delay that the service asks for, in seconds; 0 if the header is absent or invalid."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 < value < math.inf else 0.0
