"""Works through a batch by the users' own calls: hand in, ask what became of it.

An item is handed in under an id that is on disk before it goes out. Where the answer is unclear, or this
process died before it came, the id's state is asked for; only an item that was surely not taken is handed in
again, under a new id. One that stays unclear is left to the operator: it is never doubled.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from emberlatch.cluster.batch.progress import Progress
from emberlatch.net.http import BrokenError, Response, connect

MOST_ANSWER = 1 << 20
PATIENCE = 2.0  # seconds for an answer
ASKING = 10.0  # seconds for which the state of an unclear one is asked for
NOBODY = 3.0  # seconds for which all have to say that they do not know it: nothing is on its way so long
PAUSE = 0.2  # seconds between two questions, or two tries, where nobody told when to come again


class Step(Enum):
    """Where an item is; it only goes forward."""

    WAITING = "waiting"
    TRYING = "trying"  # its id is on disk, and it may be out
    TAKEN = "taken"
    UNCLEAR = "unclear"  # nobody could say whether it was taken
    REFUSED = "refused"  # it can't be handed in at all
    COMPLETED = "completed"
    DEAD = "dead_letter"


OVER = {Step.UNCLEAR, Step.REFUSED, Step.COMPLETED, Step.DEAD}


@dataclass(slots=True)
class Item:
    """A message of the batch."""

    number: int
    body: bytes
    step: Step = Step.WAITING
    id: str = ""
    tries: int = 0
    seal: str = ""


class BatchSender:
    """`fronts` are forwarders that may be asked, host and port; the route is a host name and a path."""

    def __init__(
        self,
        name: str,
        bodies: list[bytes],
        host: str,
        path: str,
        fronts: list[tuple[str, int]],
        progress: Progress,
    ) -> None:
        self._name, self._host, self._path, self._fronts, self._progress = name, host, path, fronts, progress
        self.items = [Item(number, body) for number, body in enumerate(bodies)]
        self._turn = 0
        for told in progress.steps:
            item = self.items[told["item"]]
            item.step, item.id = Step(told["step"]), told["id"]
            item.tries, item.seal = told["tries"], told.get("seal", "")

    def _become(self, item: Item, step: Step, id: str = "", seal: str = "") -> None:
        """The one place in which an item's step changes; it is on disk when this returns."""
        item.step, item.id, item.seal = step, id or item.id, seal
        item.tries += step is Step.TRYING
        told = {"item": item.number, "step": step.value, "id": item.id, "tries": item.tries}
        self._progress.note(**told, **({"seal": seal} if seal else {}))

    def counts(self) -> Counter[str]:
        """How many items are where."""
        return Counter(item.step.value for item in self.items)

    async def _ask(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Response | None:
        """One request to the next forwarder; None if there is no answer."""
        self._turn += 1
        address = self._fronts[self._turn % len(self._fronts)]
        try:
            async with asyncio.timeout(PATIENCE):
                connection = await connect(address, PATIENCE, MOST_ANSWER)
                try:
                    head = f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n"
                    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
                    data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
                    return await connection.exchange(data)
                finally:
                    connection.close()
        except (OSError, BrokenError, TimeoutError):
            return None

    async def work(self, per_s: float, rounds: int = 1_000_000) -> None:
        """Hand in what waits, at most so many a second, and ask until all is over."""
        for item in self.items:
            if item.step is Step.TRYING:  # an earlier life may have handed it in
                await self._find_out(item)
        for item in self.items:
            while item.step is Step.WAITING:
                await self._hand_in(item)
                await asyncio.sleep(1 / per_s)
        for _ in range(rounds):
            left = [item for item in self.items if item.step not in OVER]
            if not left:
                return
            for item in left:
                await self._state(item)
            await asyncio.sleep(PAUSE)

    async def _hand_in(self, item: Item) -> None:
        self._become(item, Step.TRYING, f"{self._name}-{item.number}-{item.tries}")
        answer = await self._ask("POST", self._path, item.body, {"Emberlatch-Attempt-Id": item.id})
        status = answer.status if answer is not None else 0
        if status == 202:
            self._become(item, Step.TAKEN)
        elif status in (408, 421, 429, 503) and answer is not None:
            self._become(item, Step.WAITING)
            await asyncio.sleep(min(5.0, float(answer.headers.get("retry-after", PAUSE))))
        elif 400 <= status < 500:
            self._become(item, Step.REFUSED)
        else:
            await self._find_out(item)

    async def _find_out(self, item: Item) -> None:
        """Whether an unclear one was taken. That all stores answer and none knows it says, after a while,
        that it was not; if that can't be had either, it is left as unclear."""
        loop = asyncio.get_running_loop()
        began = unheard = loop.time()  # until when it was not clear that nobody knows it
        while loop.time() < began + ASKING:
            known = await self._state(item)
            if known:
                return
            unheard = loop.time() if known is None else unheard
            if loop.time() > unheard + NOBODY:
                return self._become(item, Step.WAITING)
            await asyncio.sleep(PAUSE)
        self._become(item, Step.UNCLEAR)

    async def _state(self, item: Item) -> bool | None:
        """Ask what became of it; whether anybody knows it, None if that is not known."""
        answer = await self._ask("GET", f"/api/message/{item.id}", b"", {})
        if answer is None or answer.status != 200:
            return False if answer is not None and answer.status == 404 else None
        told = json.loads(bytes(answer.body))
        step = {"queued": Step.TAKEN, "completed": Step.COMPLETED, "dead_letter": Step.DEAD}[told["state"]]
        if step is not item.step:
            self._become(item, step, seal=told.get("seal", ""))
        return True
