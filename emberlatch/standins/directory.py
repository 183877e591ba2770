"""A stand-in for the platform's discovery service and its endpoint for reports.

The service handles the calls of all forwarders one after another (`service_queue`). A test can make the
service slow or unavailable, or make it leave requests without an answer or lose some answers.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypedDict
from urllib.parse import parse_qs, urlsplit

from emberlatch.standins.http_connection import HttpConnection, HttpRequest, OpenConnections
from emberlatch.standins.service_queue import ServiceQueue

REPORTS_PATH = "/reports"
DELETED = "DELETED"
"""The phase of a member that is removed."""

Member = dict[str, object]
"""A member by the keys of the platform's API, `id` and `phase` among them."""
Notice = dict[str, object]
"""A reported outcome by the keys of the platform's API: `ref`, `result`, `wait_ms`."""


class MemberList(TypedDict):
    """An answer of the platform's API."""

    revision: int
    complete: bool
    members: list[Member]


class DirectoryObserver(Protocol):
    """Is notified of lists that are requested and sent, and of reported outcomes."""

    def on_list_request(self, process: str) -> None:
        """A process has requested the list, or the changes since a revision."""

    def on_list(self, process: str, members: list[Member]) -> None:
        """The list, or the changes since a revision, are written to a process."""

    def on_lost_answer(self, process: str, requested_at: float, watch_s: float | None) -> None:
        """The answer to a request was lost; `requested_at` is the request's time on the loop's clock."""

    def on_notice(self, process: str, notice: Notice) -> None:
        """A notice was received from a process and is confirmed."""


@dataclass
class Directory:
    """The list of members, its revisions, and the faults of the service."""

    members: dict[str, Member] = field(default_factory=dict)
    revision: int = 1
    down: bool = False
    """Whether requests for lists are answered with 503; notices are still confirmed."""
    silent: bool = False
    """Whether requests for lists are left without an answer."""
    answer_delay_s: float = 0.0
    """Additional delay of each list, in seconds."""
    garbled: bool = False
    """Whether lists are sent as text that cannot be parsed."""
    service_queue: ServiceQueue = field(default_factory=ServiceQueue)
    hang_on_lost_answer: bool = False
    """Whether the connection of a lost answer stays open without data; otherwise it is reset."""
    reports_down: bool = False
    """Whether notices are answered with 503."""
    observer: DirectoryObserver | None = None
    changes: list[tuple[int, str]] = field(default_factory=list)
    """The number of each revision, with the member that changed in this revision."""
    watches: dict[Callable[[], None], None] = field(default_factory=dict)
    """Callbacks that resume waiting watches, in the watches' order of arrival. The dict is an ordered set."""

    def change(self, name: str, **values: object) -> None:
        """Change a member, or add it if it is new; `phase="DELETED"` removes it."""
        self.revision += 1
        self.members.setdefault(name, {"id": name}).update(values)
        self.changes.append((self.revision, name))
        self.wake()

    def wake(self) -> None:
        """Resume all waiting watches, which then check for changes."""
        for wake in list(self.watches):
            wake()

    def entries(self, since: int | None) -> int:
        """Return the number of members that an answer costs; a complete list counts removed ones too."""
        if since is None or since > self.revision:
            return len(self.members)
        return len({name for revision, name in self.changes if revision > since})

    def document(self, since: int | None = None) -> MemberList:
        """Return the complete list, or the members that changed since a revision."""
        if since is None or since > self.revision:
            members = [member for member in self.members.values() if member["phase"] != DELETED]
            return {"revision": self.revision, "complete": True, "members": members}
        names = dict.fromkeys(name for revision, name in self.changes if revision > since)
        members = [self.members[name] for name in names]
        return {"revision": self.revision, "complete": False, "members": members}


class DirectoryServer:
    """Serves a directory on one address."""

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.address = ""
        self._server: asyncio.Server | None = None
        self._connections = OpenConnections()

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self.directory, self._connections), "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self, at_once: bool = True) -> None:
        """Accept no new connections, and break the open ones if `at_once`."""
        if self._server is not None:
            self._server.close()
        if at_once:
            self._connections.abort_all()


class _Connection(HttpConnection):
    """A forwarder's connection, with one request at a time: for a list, for a watch, or with a report."""

    def __init__(self, directory: Directory, connections: OpenConnections) -> None:
        super().__init__(connections)
        self._directory = directory
        self._since: int | None = None
        self._requested_at = self._watch_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._directory.watches.pop(self._resume, None)
        if self._timer is not None:
            self._timer.cancel()

    def on_request(self, request: HttpRequest) -> None:
        url = urlsplit(request.path.decode())
        if url.path == REPORTS_PATH:
            self._confirm_report(request.body)
            return
        query = parse_qs(url.query)
        self._requested_at = asyncio.get_running_loop().time()
        self._since = int(query["since"][0]) if "since" in query else None
        self._watch_s = float(query.get("timeout_ms", ["0"])[0]) / 1000
        if self._directory.observer is not None:
            self._directory.observer.on_list_request(self.process)
        if self._directory.silent:
            return
        if self._directory.down:
            self._answer(503, b"")
        else:
            self._queue()

    def _resume(self) -> None:
        """Queue the watch again, after a change or at its time-out."""
        self._directory.watches.pop(self._resume, None)
        if self._timer is not None:
            self._timer.cancel()
        self._queue()

    def _queue(self) -> None:
        loop, directory = asyncio.get_running_loop(), self._directory
        turn = directory.service_queue.turn(loop.time(), directory.entries(self._since))
        respond = self._respond if turn.served else lambda: self._answer(503, b"")
        self._timer = loop.call_at(turn.at + directory.answer_delay_s, respond)

    def _respond(self) -> None:
        """Answer the request; a watch without a change waits instead, until a change or its time-out."""
        loop, directory = asyncio.get_running_loop(), self._directory
        if directory.down:
            self._answer(503, b"")
            return
        watch_ends_at = self._requested_at + self._watch_s
        if self._since is not None and directory.revision <= self._since and loop.time() < watch_ends_at:
            directory.watches[self._resume] = None
            self._timer = loop.call_at(watch_ends_at, self._resume)
            return
        if directory.service_queue.drops_answer():
            self._lose_answer()
            return
        document = directory.document(self._since)
        body = b"{garbled" if directory.garbled else json.dumps(document).encode()
        if directory.observer is not None and not directory.garbled:
            directory.observer.on_list(self.process, document["members"])
        self._answer(200, body)

    def _lose_answer(self) -> None:
        if self._directory.observer is not None:
            watch_s = None if self._since is None else self._watch_s
            self._directory.observer.on_lost_answer(self.process, self._requested_at, watch_s)
        if not self._directory.hang_on_lost_answer:
            self.transport.abort()

    def _confirm_report(self, body: bytes) -> None:
        if self._directory.reports_down:
            self._answer(503, b"")
            return
        for line in body.splitlines():
            if self._directory.observer is not None:
                self._directory.observer.on_notice(self.process, json.loads(line))
        self._answer(204, b"")

    def _answer(self, status: int, body: bytes) -> None:
        if not self.transport.is_closing():
            length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
            self.transport.write(f"HTTP/1.1 {status} X\r\n{length}\r\n".encode() + body)
