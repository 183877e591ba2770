"""Discovery: the known list, lookups and the watch, as updates for the decision module."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Phase
from emberlatch.engine import Address, Addresses, Tasks
from emberlatch.net.http import BrokenError, Connection, connect, parse_address

log = logging.getLogger(__name__)

WATCH_FOR = 5.0  # seconds that one call of the watch may wait: so long a silent service goes unnoticed
LEAST_GAP = 0.05  # seconds between two calls of it
PATIENCE = 1.8  # seconds beyond that until it counts as failed: after 2, what it had to tell counts as told
MAX_LIST = 1 << 20  # bytes of a list
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)
PHASES = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.GONE}


class Directory:
    """Keeps one watch going; `tell` gets each update with the addresses of its targets."""

    def __init__(
        self,
        service: Address,
        known: Mapping[str, Any],
        settings: Mapping[str, Any],
        tell: Callable[[DirectoryUpdate, Addresses], None],
        tasks: Tasks,
    ) -> None:
        self._service, self._known, self._tell, self._tasks = service, known, tell, tasks
        self._zones: Sequence[str] = settings.get("failure-domains") or ()
        self._kinds: Sequence[str] = settings.get("machine-types") or ()
        self._revision: int | None = None
        self._wanted = False
        self._watching: asyncio.Task[None] | None = None
        self._looking: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start from the list that came with the configuration; raises one of UNREADABLE."""
        self._take(self._known, cached=True)

    def watch(self, active: bool) -> None:
        """Begin to watch, or go on; or stop after the present call."""
        self._wanted = active
        if active and not _runs(self._watching):
            self._watching = self._tasks.spawn(self._watch())

    def look_up(self) -> None:
        """Ask for the whole list once; a second one while the first is out would tell the same."""
        if not _runs(self._looking):
            self._looking = self._tasks.spawn(self._look_up())

    def move(self, service: Address) -> None:
        """From now on discovery is elsewhere: nothing that the old place still says counts."""
        for task in (self._watching, self._looking):
            if task is not None:
                task.cancel()
        self._watching = self._looking = None
        # Revisions belong to the place that gave them: the new one is asked for the whole list.
        self._service, self._revision = service, None

    async def _look_up(self) -> None:
        connection = await self._ask(None, "/v1/servers", 0.0)
        if connection is not None:
            connection.close()

    async def _watch(self) -> None:
        connection: Connection | None = None
        loop = asyncio.get_running_loop()
        try:
            while self._wanted:
                asked = loop.time()
                path = "/v1/servers"
                if self._revision is not None:
                    path += f"?since={self._revision}&timeout_ms={WATCH_FOR * 1000:.0f}"
                connection = await self._ask(connection, path, WATCH_FOR)
                if connection is None:
                    return
                # A watch goes on if the next call comes within 200 ms: time enough not to spin on a
                # service that answers at once, again and again.
                await asyncio.sleep(max(0.0, asked + LEAST_GAP - loop.time()))
        finally:  # also when this task is cancelled between two calls
            if connection is not None:
                connection.close()

    async def _ask(self, connection: Connection | None, path: str, wait: float) -> Connection | None:
        """One call; its connection if it went well. A failure is told to the decision module."""
        request = f"GET {path} HTTP/1.1\r\nHost: {self._service[0]}:{self._service[1]}\r\n\r\n"
        good = False
        try:
            async with asyncio.timeout(wait + PATIENCE):
                if connection is None or not connection.usable:
                    connection = await connect(self._service, PATIENCE, MAX_LIST)
                response = await connection.exchange(request.encode())
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            self._take(json.loads(response.body), cached=False)
            good = True
            return connection
        except (OSError, BrokenError, *UNREADABLE) as error:
            log.info("discovery failed: %r", error)
            self._tell(DirectoryUpdate(ListKind.FAILED, self._revision or 0), {})
            return None
        finally:  # also when this task is cancelled
            if connection is not None and not good:
                connection.close()

    def _take(self, document: Mapping[str, Any], cached: bool) -> None:
        revision, whole, entries, addresses = self.read(document)
        self._revision = revision
        kind = ListKind.CACHED if cached else ListKind.FULL if whole else ListKind.DELTA
        self._tell(DirectoryUpdate(kind, revision, tuple(entries)), addresses)

    def read(self, document: Mapping[str, Any]) -> tuple[int, bool, list[Entry], dict[bytes, Address]]:
        """Revision, whether it is whole, members and their addresses; raises one of UNREADABLE."""
        revision, whole = int(document["revision"]), bool(document["complete"])
        entries: list[Entry] = []
        addresses: dict[bytes, Address] = {}
        for member in document["members"]:
            try:
                entry = self._entry(member)
                addresses[entry.target] = parse_address(member["host_port"])
            except UNREADABLE as error:  # costs itself, not the rest of the list
                log.warning("member of the list cannot be read: %r: %r", member, error)
                continue
            entries.append(entry)
        return revision, whole, entries, addresses

    def _entry(self, member: Mapping[str, Any]) -> Entry:
        return Entry(
            target=str(member["id"]).encode(),
            destination=int(member["cell"]),
            phase=PHASES[member["phase"]],
            kind=_index(self._kinds, member.get("flavor")),
            zone=_index(self._zones, member.get("locality")),
            weight=_finite(member.get("size", 1.0)),
        )


def _runs(task: asyncio.Task[None] | None) -> bool:
    return task is not None and not task.done()


def _finite(value: Any) -> float:
    """A number that the decision module can reckon with."""
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"not a size: {value!r}")
    return number


def _index(names: Sequence[str], name: object) -> int:
    """The number of a name; one that the settings lack gets a number of no meaning."""
    return names.index(name) if isinstance(name, str) and name in names else len(names)
