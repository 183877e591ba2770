"""Keeps messages on this machine's disk and a copy of each on others', and sees that one process holds each.

Who takes a message holds it from the same write and delivers it; the other keepers only store it. A holder
that leaves hands over; of one that is dead the first living keeper takes over, with a higher epoch. Who
comes back compares with all others before it delivers anything.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, Protocol

from emberlatch.engine import Tasks
from huts.events import Event, say
from huts.refuge.ledger import Ledger
from huts.refuge.record import WORDS, Record, State
from huts.refuge.shelf import Shelf
from huts.rope import Lost, Peer, PeerState

COPY = 0.25  # seconds for another store to have a copy on its disk
TAKE = 0.42  # seconds in which a message stands, or is not taken
VOID = 0.15  # seconds for another store to say that it has taken a cancellation
LEASE = 2.4  # seconds of silence after which a holder has surely stopped (it stops after `Peer`'s SILENT)
DEAD = 0.25  # seconds for which a port has refused: its process has ended
BATCH = 256 * 1024  # bytes of records in one frame
EVERY = 5.0  # seconds between two comparisons with a peer that is up all the time
LATE = 0.5  # seconds after its retention at which a message is dead for sure, whatever clock says so
ROOM = 0.8  # share of the disk that records may fill
IN_MEMORY = 0.35  # share of the memory that waiting bodies may fill
ALONE = 3.0  # seconds after which a start goes on without those that do not answer


class Phase(Enum):
    """What a keeper does."""

    STARTING = "starting"  # compares with the others; takes and delivers nothing
    SERVING = "serving"
    CLOSING = "closing"  # takes nothing, hands over, finishes what is out


class Deliverer(Protocol):
    """Who delivers what this process holds."""

    def deliver(self, record: Record) -> None:
        """It is ours to deliver from now on."""

    def withdraw(self, record: Record) -> bool:
        """It is ours no longer, or has ended; false if a call of it is out."""


class Keeper:
    """See the module."""

    def __init__(
        self,
        me: str,
        shelf: Shelf,
        ledger: Ledger,
        tasks: Tasks,
        enough: Callable[[Iterable[str]], bool],
        stores: Callable[[], dict[str, Peer]],
        serving: Callable[[str], bool],
        limits: tuple[float, float],
        keep_s: float,
    ) -> None:
        """`stores` are the other stores by node, `serving` whether one said that it takes copies; `limits`
        are bytes of memory and of disk."""
        self.me, self.shelf, self.ledger = me, shelf, ledger
        self._tasks, self._enough, self._stores, self._serving = tasks, enough, stores, serving
        self._memory, self._disk, self._keep_s = limits[0] * IN_MEMORY, limits[1] * ROOM, keep_s
        self.phase = Phase.STARTING
        self.deliverer: Deliverer
        self._taking: dict[str, asyncio.Future[dict[str, Any]]] = {}
        self._mended: dict[str, float] = {}
        self._mending: set[str] = set()
        self._turn = random.randrange(1000)
        self.full = False
        self.phase_changed: Callable[[Phase], None] = lambda _: None

    # Its phases.

    def become(self, phase: Phase) -> None:
        """The one place in which its phase changes."""
        if phase is self.phase or self.phase is Phase.CLOSING:
            return
        self.phase = phase
        if phase is Phase.SERVING:
            for record in self.shelf.held(self.me):
                self.deliverer.deliver(record)
        self.phase_changed(phase)

    async def start(self, first: bool) -> None:
        """Read the disk and compare with the others until this process knows what it holds.

        `first`: nothing was ever taken anywhere. An empty disk at any other start is a loss.
        """
        loop = asyncio.get_running_loop()
        records = self.ledger.load(loop.time())
        for record in records:
            self.shelf.put(record)
        lost = self.ledger.noted("life") is None and not first
        say(Event.DISK_READ, f"records={len(records)}") if not lost else say(Event.DISK_EMPTY)
        self.ledger.note("life", 1)
        began = loop.time()
        while not first and not self._known(loop.time() - began, lost):
            self._mend_due(loop.time())
            await asyncio.sleep(0.02)
        self.become(Phase.SERVING)

    def _known(self, waited: float, lost: bool) -> bool:
        """Whether enough of the others were compared with to act.

        Those whose port refuses hold nothing now. A lost disk wants all that answer, and at least one.
        """
        others = self._stores()
        heard = [n for n in others if n in self._mended]
        silent = [p for n, p in others.items() if n not in self._mended and p.state is not PeerState.REFUSED]
        if lost and not heard:
            return False
        if not silent and (heard or not others or waited > ALONE):
            return True
        return waited > ALONE and 2 * (1 + len(heard)) > 1 + len(others)

    def in_touch(self) -> bool:
        """Whether nobody can have taken over what we hold: most of the stores hear us, or are surely dead."""
        others = self._stores().values()
        there = sum(peer.up or peer.state is PeerState.REFUSED for peer in others)
        return 2 * (1 + there) > 1 + len(others)

    # Taking.

    def _partners(self, but: set[str]) -> list[Peer] | None:
        """Others that together with us bear what may be lost; None if there are too few."""
        others = [p for n, p in sorted(self._stores().items()) if p.up and self._serving(n) and n not in but]
        self._turn += 1
        at = self._turn % max(1, len(others))
        chosen: list[Peer] = []
        for peer in others[at:] + others[:at]:
            if self._enough([self.me, *(p.name for p in chosen)]):
                break
            chosen.append(peer)
        return chosen if self._enough([self.me, *(p.name for p in chosen)]) else None

    async def take(self, told: dict[str, Any]) -> dict[str, Any]:
        """A message is handed in: `ok`, or `clear` if it surely never runs."""
        id = str(told["id"])
        if (taking := self._taking.get(id)) is not None:
            return await asyncio.shield(taking)
        if (known := self.shelf.records.get(id)) is not None:
            return {"ok": known.state is not State.VOID, "clear": False, "why": "known"}
        if self.phase is not Phase.SERVING:
            return {"ok": False, "clear": True, "why": self.phase.value}
        if self.full or self.shelf.bytes + len(told["body"]) > self._memory:
            return {"ok": False, "clear": True, "why": "full"}
        if (partners := self._partners(set())) is None:
            return {"ok": False, "clear": True, "why": "too few stores"}
        taking = self._taking[id] = asyncio.get_running_loop().create_future()
        try:
            answer = await self._take(told, partners)
            taking.set_result(answer)
        finally:
            del self._taking[id]
            if not taking.done():
                taking.set_result({"ok": False, "clear": False, "why": "failed"})
        return answer

    async def _take(self, told: dict[str, Any], partners: list[Peer]) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        now = loop.time()
        record = Record(told["id"], told["host"], told["method"], told["path"], told["content"], told["body"])
        record.sent = now - told["age"]
        record.due, record.end = record.sent + told["delay"], record.sent + told["retention"]
        record.version, record.holder, record.epoch = told["version"], self.me, 1 + told["tries"]
        record.keepers = (self.me, *(p.name for p in partners))
        self.shelf.put(record)
        self.ledger.put(record, now)
        own = self._standing()
        asked: set[str] = set()
        have: set[str] = set()
        while partners and not self._enough([self.me, *have]):
            asked |= {p.name for p in partners}
            left = min(COPY, now + TAKE - loop.time())
            if left <= 0:
                break
            copies = await asyncio.gather(*(self._copy(p, record, left) for p in partners))
            have |= {p.name for p, there in zip(partners, copies, strict=True) if there}
            asked -= {p.name for p, there in zip(partners, copies, strict=True) if there is None}
            if self._enough([self.me, *have]):
                break
            partners = self._partners(asked - have) or []
            partners = [p for p in partners if p.name not in have]
            self.shelf.keep_by(record, [self.me, *sorted(asked | {p.name for p in partners})])
            self.ledger.mark(record, now)
        await own
        if self._enough([self.me, *have]) and record.open:
            if record.holder == self.me and self.phase is Phase.SERVING:
                self.deliverer.deliver(record)
            elif record.holder == self.me:
                await self.hand_over([record])
            return {"ok": True, "clear": False, "why": ""}
        return {"ok": False, "clear": await self._void(record, asked), "why": "no copy"}

    async def _copy(self, peer: Peer, record: Record, timeout: float) -> bool | None:
        """Whether it has a copy on its disk; None if it surely never heard of it."""
        now = asyncio.get_running_loop().time()
        try:
            return bool(await peer.ask("keep", record.told(now, record.body), timeout))
        except Lost as lost:
            return False if lost.sent else None

    async def _void(self, record: Record, asked: set[str]) -> bool:
        """It is not taken after all; whether no copy of it can ever run."""
        self._ended(record, State.VOID, "")
        own = self._standing()
        word = [self._word(record)]
        others = [p for n, p in self._stores().items() if n in asked]
        sure = await asyncio.gather(*(self._sure(p, word) for p in others))
        await own
        return all(sure) and len(others) == len(asked)

    async def _sure(self, peer: Peer, word: list[Any]) -> bool:
        try:
            return bool(await peer.ask("ended", word, VOID))
        except Lost:
            return False

    @property
    def busy(self) -> bool:
        """Whether a message is being taken."""
        return bool(self._taking)

    async def settled(self) -> None:
        """All that was written by now is on disk."""
        await self._standing()

    def _standing(self) -> asyncio.Future[None]:
        """Done once all that is written by now is on disk."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.ledger.stands(lambda: None if done.done() else done.set_result(None))
        return done

    async def keep(self, told: dict[str, Any]) -> bool:
        """Another store sends a copy; whether it is on our disk now."""
        if self.phase is Phase.CLOSING:
            return False
        record = self._absorb(told)
        await self._standing()
        return record is not None and record.state is not State.VOID

    def _absorb(self, told: dict[str, Any]) -> Record | None:
        """A copy of a record from elsewhere: new here, or merged."""
        now = asyncio.get_running_loop().time()
        record = self.shelf.records.get(str(told["id"]))
        if record is not None:
            if set(told["keepers"]) - set(record.keepers):
                self.shelf.keep_by(record, sorted({*record.keepers, *map(str, told["keepers"])}))
            self._merge(
                record, State(told["state"]), told["seal"], told["epoch"], told["holder"], told["attempts"]
            )
            return record
        if told["state"] == State.QUEUED and told["body"] is None:
            return None
        record = Record.read(told, now)
        if self.me not in record.keepers:
            record.keepers = (*record.keepers, self.me)
        self.shelf.put(record)
        self.ledger.put(record, now)
        if record.open and record.holder == self.me and self.phase is Phase.SERVING:
            self.deliverer.deliver(record)
        return record

    def _merge(self, record: Record, state: State, seal: str, epoch: int, holder: str, attempts: int) -> None:
        was_mine = record.open and record.holder == self.me
        if not record.merge(state, seal, epoch, holder, attempts):
            return
        now = asyncio.get_running_loop().time()
        if not record.open and not record.ended:
            record.ended = now
        mine = record.open and record.holder == self.me
        if was_mine and not mine:
            self.deliverer.withdraw(record)
        if record.state in (State.DONE, State.VOID):
            self.shelf.unload(record)
        self.shelf.changed(record)
        self.ledger.mark(record, now)
        self.ledger.settle()
        if mine and not was_mine and self.phase is Phase.SERVING:
            self.deliverer.deliver(record)

    # Ends.

    def finish(self, record: Record, state: State, seal: str = "") -> None:
        """The delivery of a message that we hold has ended it."""
        self._ended(record, state, seal)
        word = [self._word(record)]
        for node in record.keepers:
            peer = self._stores().get(node)
            if peer is not None:
                peer.tell("ended", word)  # who does not hear it now hears it when copies are compared

    def _ended(self, record: Record, state: State, seal: str) -> None:
        self._merge(record, state, seal, record.epoch, record.holder, record.attempts)

    def _word(self, record: Record) -> list[Any]:
        return [record.id, int(record.state), record.seal, record.epoch, record.holder, record.attempts]

    async def ended(self, words: list[list[Any]]) -> bool:
        """Another store tells how messages ended; true once that is on our disk.

        A void that comes before its copy is kept as one, so that the copy can't bring it back.
        """
        now = asyncio.get_running_loop().time()
        for id, state, seal, epoch, holder, attempts in words:
            record = self.shelf.records.get(id)
            if record is not None:
                self._merge(record, State(state), seal, epoch, holder, attempts)
            elif state == State.VOID:
                record = Record(id, "", "", "", "", None)
                record.state, record.epoch, record.holder = State.VOID, epoch, holder
                record.keepers, record.ended, record.end = (self.me, holder), now, now
                self.shelf.put(record)
                self.ledger.put(record, now)
        await self._standing()
        return True

    def state_of(self, id: str) -> list[Any] | None:
        """State and seal; None if it is not known here."""
        record = self.shelf.records.get(id)
        if record is None or record.state is State.VOID:
            return None
        return [WORDS[record.state], record.seal]

    async def body_of(self, id: str) -> bytes | None:
        """The bytes of a message that waits or is dead."""
        record = self.shelf.records.get(id)
        if record is None or record.state in (State.VOID, State.DONE):
            return None
        return record.body if record.body is not None else await self.ledger.body(id)

    # Repair.

    async def mend(self, peer: Peer) -> None:
        """Compare with another store, and make both alike where they differ."""
        if peer.name in self._mending:
            return
        self._mending.add(peer.name)
        try:
            told = await peer.ask("ranges", self.shelf.digests(peer.name), 2.0)
            want, give = self.shelf.compare(peer.name, told["differ"], told["summary"])
            for ids in _parts(want, 200):
                for record in await peer.ask("records", ids, 2.0):
                    self._absorb(record)
            await self._give(peer, give)
            await self._standing()
            if want or give:
                say(Event.MENDED, peer.name, f"taken={len(want)} given={len(give)}")
            self._mended[peer.name] = asyncio.get_running_loop().time()
        except Lost:
            pass
        finally:
            self._mending.discard(peer.name)

    async def _give(self, peer: Peer, records: list[Record]) -> None:
        now, batch, size = asyncio.get_running_loop().time(), list[dict[str, Any]](), 0
        for record in records:
            body = record.body if record.open else None
            batch.append(record.told(now, body))
            size += 300 + len(body or b"")
            if size > BATCH:
                await peer.ask("mend", batch, 2.0)
                batch, size = [], 0
        if batch:
            await peer.ask("mend", batch, 2.0)

    def ranges(self, node: str, theirs: list[int]) -> dict[str, Any]:
        """Another store's digests: where ours differ, and what we know there."""
        differ = self.shelf.differ(node, theirs)
        return {"differ": differ, "summary": self.shelf.summary(node, differ)}

    def records(self, ids: list[str]) -> list[dict[str, Any]]:
        """Records for another store."""
        now = asyncio.get_running_loop().time()
        found = (self.shelf.records.get(id) for id in ids)
        return [r.told(now, r.body if r.open else None) for r in found if r is not None]

    async def mended(self, told: list[dict[str, Any]]) -> bool:
        """Another store sends what we lack."""
        for record in told:
            self._absorb(record)
        await self._standing()
        return True

    # Who holds what.

    async def hand_over(self, records: list[Record]) -> None:
        """These are to be delivered by others from now on."""
        by_heir: dict[str, list[Record]] = {}
        for record in records:
            heir = self._heir(record)
            if heir is not None and record.open and record.holder == self.me:
                by_heir.setdefault(heir, []).append(record)
        for heir, theirs in by_heir.items():
            peer = self._stores()[heir]
            for part in _parts(theirs, 500):
                await self._hand(peer, part)
        if by_heir:
            say(Event.HANDED_OVER, *(f"{heir}={len(theirs)}" for heir, theirs in by_heir.items()))

    def _heir(self, record: Record) -> str | None:
        stores = self._stores()
        able = [n for n in sorted(stores) if stores[n].up and self._serving(n)]
        return next((n for n in able if n in record.keepers), able[0] if able else None)

    async def _hand(self, peer: Peer, records: list[Record]) -> None:
        try:
            words = [[r.id, r.epoch + 1, r.attempts] for r in records]
            missing = set(await peer.ask("own", words, 1.0))
            for record in records:
                if record.id in missing:
                    self.shelf.keep_by(record, [*record.keepers, peer.name])
                record.merge(record.state, "", record.epoch + 1, peer.name, record.attempts)
                self.shelf.changed(record)
                self.ledger.mark(record, asyncio.get_running_loop().time())
            await self._give(peer, [r for r in records if r.id in missing])
        except Lost:
            pass  # they stay ours: our next life, or who takes over, delivers them

    def own(self, words: list[list[Any]]) -> list[str]:
        """A holder that leaves makes us the holder; which of them we do not have."""
        missing = []
        for id, epoch, attempts in words:
            record = self.shelf.records.get(id)
            if record is None:
                missing.append(id)
            else:
                self._merge(record, record.state, record.seal, epoch, self.me, attempts)
        return missing

    def _dead(self, peer: Peer, now: float) -> bool:
        if peer.state is PeerState.REFUSED:
            return now - peer.since > DEAD
        return peer.state is PeerState.SILENT and now - max(peer.last_up, 0.0) > LEASE and self.in_touch()

    def take_over(self) -> None:
        """What dead holders held, and we are the first living keeper of, is ours from now on."""
        stores, now = self._stores(), asyncio.get_running_loop().time()
        dead = {name for name, peer in stores.items() if self._dead(peer, now)}
        if not dead or self.phase is not Phase.SERVING:
            return
        count = 0
        for record in list(self.shelf.records.values()):
            if not record.open or record.holder not in dead:
                continue
            first = next((n for n in record.keepers if n == self.me or (n in stores and stores[n].up)), None)
            if first == self.me:
                count += 1
                self._merge(record, record.state, "", record.epoch + 1, self.me, record.attempts)
        if count:
            say(Event.TAKEN_OVER, f"of={','.join(sorted(dead))} messages={count}")

    def _mend_due(self, now: float) -> None:
        """Compare with those that came up since the last time, and with all now and then."""
        for name, peer in self._stores().items():
            last = self._mended.get(name, -1e9)
            if peer.up and name not in self._mending and (now - last > EVERY or last < peer.since):
                self._tasks.spawn(self.mend(peer))

    async def tend(self) -> None:
        """What has to be done now and then."""
        loop = asyncio.get_running_loop()
        swept = loop.time()
        while True:
            await asyncio.sleep(0.1)
            now = loop.time()
            self.take_over()
            self._mend_due(now)
            if now - swept > 1.0:
                swept = now
                await self._sweep(now)

    async def _sweep(self, now: float) -> None:
        for record in list(self.shelf.records.values()):
            if (
                record.open
                and record.holder == self.me
                and now > record.end + LATE
                and self.phase is Phase.SERVING
            ):
                if self.deliverer.withdraw(record):
                    say(Event.ENDED_DEAD, record.id, "retention")
                    self.finish(record, State.DEAD)
            elif not record.open and now - record.ended > self._keep_s + 5:
                self.shelf.drop(record)
                self.ledger.drop(record.id)
        self.ledger.settle()
        full = self._disk > 0 and await self.ledger.used() > self._disk
        if full and not self.full:
            say(Event.DISK_FULL)
        self.full = full


def _parts(items: list[Any], size: int) -> Iterable[list[Any]]:
    return (items[at : at + size] for at in range(0, len(items), size))
