"""The inventory as the engine's membership: looks at the files, and tells what changes in effect."""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path

from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Phase
from emberlatch.engine import Addresses, Tasks
from emberlatch.inventory import lastgood
from emberlatch.inventory.changes import Change, diff
from emberlatch.inventory.model import Endpoint, Inventory, Place, Problem, RefusedError, Vocabulary
from emberlatch.inventory.parsed import Packed
from emberlatch.inventory.reader import UnsettledError, parse, read, scan
from emberlatch.inventory.settle import Settling, Signature
from emberlatch.inventory.whole import assemble

log = logging.getLogger(__name__)

SLICE = 200  # entries told in one turn of the loop: a large change must not hold everything else up
MOST_LOGGED = 50  # problems in the log; `check` shows all


class _Files:
    """The newest whole contents of each file, parsed. It runs in a thread: reading and parsing take time."""

    def __init__(self, paths: Sequence[Path], settle: float, words: Vocabulary) -> None:
        self._paths, self._words, self._settle = paths, words, settle
        self._settling = Settling(settle)
        self._parsed: dict[str, Packed] = {}
        self.waiting: dict[str, str] = {}

    def begin(self, now: float, wall: float, trusting: bool) -> None:
        """The first look: what is there is taken, but for files so young that they may be half saved.

        Where there is no set to fall back on (`trusting`), those are taken as well.
        """
        if missing := [path for path in self._paths if not path.exists()]:
            raise RefusedError([Problem(Place(str(path), 1), "", "is not there") for path in missing])
        seen = scan(self._paths)
        for path, signature in seen.items():
            if trusting or wall - signature.modified / 1e9 >= self._settle or signature.replaces(None):
                self._take(path, signature)
        self.waiting = self._settling.look(now, seen).waiting

    def look(self, now: float, forced: bool) -> bool:
        """Take what has settled; whether that changed anything."""
        look = self._settling.look(now, scan(self._paths), forced)
        self.waiting = look.waiting
        taken = [self._take(path, None) for path in look.read]
        for path in look.gone:
            log.warning("inventory file %s is gone: what it listed goes too", path)
            self._settling.dropped(path)
            self._parsed.pop(path, None)
        return any(taken) or bool(look.gone)

    def _take(self, path: str, seen: Signature | None) -> bool:
        try:
            signature, data = read(path)
        except UnsettledError:
            return False  # the next look finds another signature
        except OSError as error:
            log.warning("inventory file %s cannot be read: %s", path, error.strerror)
            return False
        if seen is not None and seen != signature:
            return False
        self._settling.took(path, signature)
        self._parsed[path] = Packed(parse(data, path, self._words))
        return True

    def assemble(self) -> Inventory:
        """The set that they make together; raises RefusedError."""
        return assemble((packed.unpack() for packed in self._parsed.values()), self._words)


class InventoryMembership:
    """Keeps one good set in force; `tell` gets each update with the addresses of its targets."""

    def __init__(
        self,
        paths: Sequence[Path],
        state: Path,
        words: Vocabulary,
        poll: float,
        settle: float,
        tell: Callable[[DirectoryUpdate, Addresses], None],
        tasks: Tasks,
    ) -> None:
        self._files = _Files(paths, settle, words)
        self._state, self._words, self._poll = state, words, poll
        self._tell, self._tasks = tell, tasks
        self._revision = 0
        self._looking = asyncio.Lock()
        self.inventory = Inventory(())
        self.taken = 0.0  # when that set was taken, Unix time
        self.problems: tuple[Problem, ...] = ()  # why the newest files are not taken
        self.open()

    def open(self) -> None:
        """Find the set to start with; raises RefusedError if there is none."""
        last = lastgood.recall(self._state)
        last = last if last is not None and _known(last.inventory, self._words) else None
        try:
            self._files.begin(time.monotonic(), time.time(), trusting=last is None)
            if last is not None and self._files.waiting:
                raise UnsettledError(", ".join(self._files.waiting))
            inventory = self._files.assemble()
        except (RefusedError, UnsettledError) as error:
            if last is None:
                raise
            self.inventory, self.taken = last.inventory, last.taken
            self._refused(error)
            log.warning("going on with the last good inventory: %s", last)
            return
        self.inventory, self.taken = inventory, time.time()
        if last is not None and last.inventory == inventory:
            self.taken = last.taken
        else:
            self._keep()

    @property
    def waiting(self) -> Mapping[str, str]:
        """Files that are not read yet, and why."""
        return self._files.waiting

    def named(self, partner: str) -> int | None:
        """The number of a partner's destination."""
        return self.inventory.names.get(partner)

    def start(self) -> None:
        """Tell the whole set; what is in it at the start is not taken for cold."""
        entries = tuple(self._entry(endpoint) for endpoint in self.inventory.endpoints.values())
        addresses = {target: endpoint.address for target, endpoint in self.inventory.endpoints.items()}
        self._revision += 1
        self._tell(DirectoryUpdate(ListKind.CACHED, self._revision, entries), addresses)
        self._tasks.spawn(self._run())

    def watch(self, active: bool) -> None:
        """The files are always watched."""

    def look_up(self) -> None:
        """Look at the files now."""
        self._tasks.spawn(self._look(forced=True))

    async def reload(self) -> None:
        """Look at the files now and once more when what is being saved has had time to end."""
        await self._look(forced=True)
        if self._files.waiting:
            await asyncio.sleep(0.25)
            await self._look(forced=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._poll)
            await self._look(forced=False)

    async def _look(self, forced: bool) -> None:
        async with self._looking:
            before = dict(self._files.waiting)
            try:
                new = await asyncio.to_thread(self._gather, forced)
            except RefusedError as error:
                return self._refused(error)
            for path, why in self._files.waiting.items():
                if before.get(path) != why:
                    log.info("inventory file %s is %s: waiting until it stands still", path, why)
            if new is not None:
                self.problems = ()
                await self._apply(new)

    def _gather(self, forced: bool) -> Inventory | None:
        """In a thread: the new set, or None if nothing has changed."""
        with _uncollected():
            if not self._files.look(time.monotonic(), forced):
                return None
            new = self._files.assemble().sharing(self.inventory)
            _ = new.digest, new.names  # reckoned here, so that the loop does not wait for them
            return new

    def _refused(self, error: RefusedError | UnsettledError) -> None:
        self.problems = error.problems if isinstance(error, RefusedError) else ()
        for problem in self.problems[:MOST_LOGGED]:
            log.error("inventory: %s", problem)
        if self.problems:
            log.error("%d problems; set %s stays in force", len(self.problems), self.inventory.digest)
        else:
            log.warning("inventory files may be half saved: %s", error)

    async def _apply(self, new: Inventory) -> None:
        changes = await asyncio.to_thread(diff, self.inventory, new)
        if not changes:
            return
        log.info("inventory set %s taken: %d changes, %d endpoints", new.digest, len(changes), len(new))
        self.inventory, self.taken = new, time.time()
        # What leaves goes first: drains have 500 ms, and what changes its wing must not be in two.
        changes.sort(key=lambda c: (c.after is not None, c.after is not None and not c.after.draining))
        for first in range(0, len(changes), SLICE):
            self._tell_changes(changes[first : first + SLICE])
            await asyncio.sleep(0)
        await asyncio.to_thread(self._keep_quietly)

    def _tell_changes(self, changes: list[Change]) -> None:
        self._revision += 1
        entries = tuple(self._entry(c.endpoint, gone=c.after is None, cold=c.before is None) for c in changes)
        addresses = {c.endpoint.target: c.endpoint.address for c in changes}
        self._tell(DirectoryUpdate(ListKind.DELTA, self._revision, entries), addresses)

    def _entry(self, endpoint: Endpoint, gone: bool = False, cold: bool = False) -> Entry:
        phase = Phase.GONE if gone else Phase.DRAINING if endpoint.draining else Phase.READY
        return Entry(
            target=endpoint.target,
            destination=endpoint.destination,
            phase=phase,
            kind=self._words.kinds.index(endpoint.kind),
            zone=self._words.wings.index(endpoint.wing),
            weight=endpoint.limit,
            cold=cold,
        )

    def _keep_quietly(self) -> None:
        with _uncollected():
            self._keep()

    def _keep(self) -> None:
        try:
            lastgood.keep(self._state, self.inventory, self.taken)
        except OSError as error:
            log.error("the last good inventory cannot be kept: %s", error)


@contextmanager
def _uncollected() -> Iterator[None]:
    """No round of the collector meanwhile: it would walk all that is made here, with the loop standing still.

    What is made has no cycles, so nothing waits for the collector.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _known(inventory: Inventory, words: Vocabulary) -> bool:
    """Whether a kept set still fits the configuration."""
    return all(
        e.wing in words.wings
        and e.kind in words.kinds
        and e.protocol in words.protocols
        and (e.protocol != "as2" or (e.partner in words.profiles and e.kind not in words.batched))
        for e in inventory.endpoints.values()
    )
