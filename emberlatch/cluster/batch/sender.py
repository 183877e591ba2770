"""Runs a batch job through the public API: submits each item, and queries its state until it is final.

The id of a submission is on disk before the request is sent. If the outcome of a submission is unknown, or
this process died before the response arrived, the state of that id is queried. An item is submitted again,
under a new id, only if it was certainly not accepted. An item whose outcome stays unknown is never submitted
again, so that no duplicate can arise; the operator has to decide about it.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass

from emberlatch.cluster.batch.progress import BatchProgress, ItemState, ProgressEntry
from emberlatch.net.http_connection import NoResponseError, Response, connect

MAX_RESPONSE_BYTES = 1 << 20
RESPONSE_TIMEOUT_S = 2.0
RESOLVE_TIMEOUT_S = 10.0  # time limit for finding out whether a submission was accepted
# A submission was not accepted if no store knows its id during this period: no request takes longer.
NOT_FOUND_PERIOD_S = 3.0
POLL_INTERVAL_S = 0.2  # pause between queries, and before a retry without a Retry-After
MAX_RETRY_AFTER_S = 5.0
UNLIMITED_ROUNDS = 1_000_000

FINAL_STATES = {ItemState.UNKNOWN, ItemState.REJECTED, ItemState.COMPLETED, ItemState.DEAD_LETTERED}
STATES_BY_API_NAME = {
    "queued": ItemState.ACCEPTED,
    "completed": ItemState.COMPLETED,
    "dead_letter": ItemState.DEAD_LETTERED,
}


@dataclass(slots=True)
class BatchItem:
    """A message of the batch job; except for `body`, its fields are those of `ProgressEntry`."""

    number: int
    body: bytes
    state: ItemState = ItemState.WAITING
    id: str = ""
    attempts: int = 0
    seal: str = ""


@dataclass(frozen=True, slots=True)
class BatchRoute:
    """Destination of a batch: host name and path of a configured route, and the forwarders to use."""

    host: str
    path: str
    forwarders: tuple[tuple[str, int], ...]


class BatchSender:
    """One batch job, resumed from the progress that earlier incarnations logged.

    Attributes:
        items: one item for each message body, in order.
    """

    def __init__(self, name: str, bodies: list[bytes], route: BatchRoute, progress: BatchProgress) -> None:
        self._name, self._route, self._progress = name, route, progress
        self.items = [BatchItem(number, body) for number, body in enumerate(bodies)]
        self._requests = 0
        for entry in progress.entries:
            item = self.items[entry.item]
            item.state, item.id = entry.state, entry.id
            item.attempts, item.seal = entry.attempts, entry.seal

    def counts(self) -> Counter[str]:
        """Return how many items are in each state, by the state's name on disk."""
        return Counter(item.state.value for item in self.items)

    async def run(self, per_s: float, max_rounds: int = UNLIMITED_ROUNDS) -> None:
        """Submit waiting items, at most `per_s` a second, and query items until their states are final."""
        for item in self.items:
            if item.state is ItemState.SUBMITTING:  # an earlier incarnation may have submitted it
                await self._resolve(item)
        for item in self.items:
            while item.state is ItemState.WAITING:
                await self._submit(item)
                await asyncio.sleep(1 / per_s)
        for _ in range(max_rounds):
            pending = [item for item in self.items if item.state not in FINAL_STATES]
            if not pending:
                return
            for item in pending:
                await self._query_state(item)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _change_state(self, item: BatchItem, state: ItemState, id: str = "", seal: str = "") -> None:
        """Change an item's state and log the change to disk; states are changed only here."""
        item.state, item.id, item.seal = state, id or item.id, seal
        if state is ItemState.SUBMITTING:
            item.attempts += 1
        self._progress.append(ProgressEntry(item.number, state, item.id, item.attempts, seal))

    async def _request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response | None:
        """Send one request to the next forwarder; return None if there is no response in time."""
        self._requests += 1
        forwarders = self._route.forwarders
        address = forwarders[self._requests % len(forwarders)]
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                connection = await connect(address, RESPONSE_TIMEOUT_S, MAX_RESPONSE_BYTES)
                try:
                    head = f"{method} {path} HTTP/1.1\r\nHost: {self._route.host}\r\n"
                    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
                    data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
                    return await connection.exchange(data)
                finally:
                    connection.close()
        except (OSError, NoResponseError, TimeoutError):
            return None

    async def _submit(self, item: BatchItem) -> None:
        self._change_state(item, ItemState.SUBMITTING, f"{self._name}-{item.number}-{item.attempts}")
        headers = {"Emberlatch-Attempt-Id": item.id}
        response = await self._request("POST", self._route.path, item.body, headers)
        status = response.status if response is not None else 0
        if status == 202:
            self._change_state(item, ItemState.ACCEPTED)
        elif status in (408, 421, 429, 503) and response is not None:
            self._change_state(item, ItemState.WAITING)
            retry_after_s = float(response.headers.get("retry-after", POLL_INTERVAL_S))
            await asyncio.sleep(min(MAX_RETRY_AFTER_S, retry_after_s))
        elif 400 <= status < 500:
            self._change_state(item, ItemState.REJECTED)
        else:
            await self._resolve(item)

    async def _resolve(self, item: BatchItem) -> None:
        """Determine whether a submission was accepted.

        It was not accepted if, during `NOT_FOUND_PERIOD_S`, all stores answered and none knew the id.
        If there is no result within `RESOLVE_TIMEOUT_S`, the item's state becomes UNKNOWN.
        """
        loop = asyncio.get_running_loop()
        started_at = last_inconclusive_at = loop.time()
        while loop.time() < started_at + RESOLVE_TIMEOUT_S:
            found = await self._query_state(item)
            if found:
                return
            if found is None:
                last_inconclusive_at = loop.time()
            if loop.time() > last_inconclusive_at + NOT_FOUND_PERIOD_S:
                self._change_state(item, ItemState.WAITING)
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self._change_state(item, ItemState.UNKNOWN)

    async def _query_state(self, item: BatchItem) -> bool | None:
        """Query and store an item's state; return whether its id was found, None if the query failed."""
        response = await self._request("GET", f"/api/message/{item.id}", b"", {})
        if response is None or response.status != 200:
            return False if response is not None and response.status == 404 else None
        message = json.loads(bytes(response.body))
        state = STATES_BY_API_NAME[message["state"]]
        if state is not item.state:
            self._change_state(item, state, seal=message.get("seal", ""))
        return True
