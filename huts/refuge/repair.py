"""Copies are compared by digests over ranges and mended from the newer; what has too few copies gets more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from emberlatch.engine import Tasks
from huts.events import Event, say
from huts.refuge.record import Record, State
from huts.refuge.stock import Stock
from huts.rope import Lost, Peer

BATCH = 256 * 1024  # bytes of records in one frame
EVERY = 5.0  # seconds between two comparisons with a peer that is up all the time
ASK = 2.0  # seconds for a peer to answer
GONE_FOR = 1.5  # seconds after which a copy on a machine that is not there counts no more
LOOK = 0.25  # seconds between two looks for what has too few copies


class Repair:
    """`stores` are the other stores by node, `able` those of them that take copies; `enough` says whether
    these machines' disks bear what may be lost."""

    def __init__(
        self,
        stock: Stock,
        tasks: Tasks,
        stores: Callable[[], dict[str, Peer]],
        able: Callable[[], list[Peer]],
        partners: Callable[[set[str]], Iterator[Peer]],
        enough: Callable[[Iterable[str]], bool],
    ) -> None:
        self._stock, self._tasks = stock, tasks
        self._stores, self._able, self._partners, self._enough = stores, able, partners, enough
        self.mended: dict[str, float] = {}
        self._mending: set[str] = set()
        self._spreading = False
        self._looked = 0.0
        self.leaving: Callable[[], set[str]] = lambda: set()  # machines whose copies are not to count

    def due(self, now: float) -> None:
        """Compare with those that came up since the last time, and with all now and then."""
        for name, peer in self._stores().items():
            last = self.mended.get(name, -1e9)
            if peer.up and name not in self._mending and (now - last > EVERY or last < peer.since):
                self._tasks.spawn(self.mend(peer))

    async def mend(self, peer: Peer) -> None:
        """Compare with another store, and make both alike where they differ."""
        if peer.name in self._mending:
            return
        self._mending.add(peer.name)
        shelf, loop = self._stock.shelf, asyncio.get_running_loop()
        began = loop.time()
        try:
            told = await peer.ask("ranges", shelf.digests(peer.name), ASK)
            want, give = shelf.compare(peer.name, told["differ"], told["summary"])
            for ids in parts(want, 200):
                for record in await peer.ask("records", ids, ASK):
                    self._stock.absorb(record)
            await self.give(peer, give)
            await self._stock.standing()
            if want or give:
                say(Event.MENDED, peer.name, f"taken={len(want)} given={len(give)}")
            self.mended[peer.name] = began
        except Lost:
            pass
        finally:
            self._mending.discard(peer.name)

    async def give(self, peer: Peer, records: list[Record]) -> None:
        """Send records; Lost if that store does not have them on its disk now."""
        batch, size = list[dict[str, Any]](), 0
        for record in records:
            batch.append(self._stock.told(record))
            size += 300 + len(record.body or b"")
            if size > BATCH:
                await peer.ask("mend", batch, ASK)
                batch, size = [], 0
        if batch:
            await peer.ask("mend", batch, ASK)

    # What others ask.

    def ranges(self, node: str, theirs: list[int]) -> dict[str, Any]:
        """Another store's digests: where ours differ, and what we know there."""
        differ = self._stock.shelf.differ(node, theirs)
        return {"differ": differ, "summary": self._stock.shelf.summary(node, differ)}

    def records(self, ids: list[str]) -> list[dict[str, Any]]:
        """Records for another store."""
        found = (self._stock.shelf.records.get(id) for id in ids)
        return [self._stock.told(record) for record in found if record is not None]

    async def take(self, told: list[dict[str, Any]]) -> bool:
        """Another store sends what we lack; true once it is on our disk."""
        for record in told:
            self._stock.absorb(record)
        await self._stock.standing()
        return True

    # Copies.

    def _living(self, now: float) -> set[str]:
        """Machines whose copies count."""
        stores = self._stores()
        there = {n for n, p in stores.items() if p.up or now - max(p.last_up, p.began) < GONE_FOR}
        return ({self._stock.me} | there) - self.leaving()

    def spread_due(self, now: float) -> None:
        """What we hold and too few living machines keep gets another copy."""
        if self._spreading or now - self._looked < LOOK:
            return
        self._looked = now
        living = self._living(now)
        if living >= {self._stock.me, *self._stores()}:
            return
        records = self._stock.shelf.records.values()
        lacking = [
            r
            for r in records
            if r.open and r.holder == self._stock.me and not self._enough(living & set(r.keepers))
        ]
        if lacking:
            self._spreading = True
            self._tasks.spawn(self._spread(lacking, living))

    async def _spread(self, records: list[Record], living: set[str]) -> None:
        try:
            count = await self.copy_out(records, living)
            if count:
                say(Event.COPIED, f"messages={count}")
        finally:
            self._spreading = False

    async def copy_out(self, records: list[Record], counted: set[str]) -> int:
        """Bring each of these to enough machines, of which only those counted are; how many got there."""
        by_peer: dict[str, list[Record]] = {}
        peers = {p.name: p for p in self._able()}
        for record in records:
            have = counted & set(record.keepers)
            while not self._enough(have):
                peer = next((p for p in self._partners(have) if p.name in peers), None)
                if peer is None:
                    break
                have.add(peer.name)
                by_peer.setdefault(peer.name, []).append(record)
        done = 0
        for name, theirs in by_peer.items():
            for part in parts(theirs, 100):
                keepers = [(r, (*r.keepers, name)) for r in part]
                try:
                    batch = [self._stock.told(r) | {"keepers": list(k)} for r, k in keepers]
                    await peers[name].ask("mend", batch, ASK)
                except Lost:
                    break
                for record, kept in keepers:
                    self._stock.kept_by(record, kept)
                done += len(part)
        return done

    def alone(self, counted: set[str]) -> list[Record]:
        """Our records of which too few of the counted machines have a copy."""
        records = self._stock.shelf.records.values()
        return [
            r for r in records if r.state is not State.VOID and not self._enough(counted & set(r.keepers))
        ]


def parts(items: list[Any], size: int) -> Iterable[list[Any]]:
    """A list in pieces."""
    return (items[at : at + size] for at in range(0, len(items), size))
