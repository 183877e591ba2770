"""Provides the engine with endpoints from an inventory: watches the files, and reports changes."""

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
from emberlatch.inventory import last_good
from emberlatch.inventory.changes import Change, diff
from emberlatch.inventory.file_set import InventoryFiles
from emberlatch.inventory.model import Endpoint, Inventory, Problem, RefusedError, Vocabulary
from emberlatch.inventory.reader import UnstableFileError

log = logging.getLogger(__name__)

CHANGES_PER_UPDATE = 200  # a larger update would block the event loop for too long
MAX_LOGGED_PROBLEMS = 50  # `emberlatch check` shows all of them
RELOAD_RETRY_DELAY_S = 0.25  # just over `stability.FORCED_QUIET_PERIOD_S`


class InventoryMembership:
    """Keeps one valid inventory in use, and passes each update of it to `on_update`."""

    def __init__(
        self,
        paths: Sequence[Path],
        state_folder: Path,
        vocabulary: Vocabulary,
        poll_interval_s: float,
        quiet_period_s: float,
        on_update: Callable[[DirectoryUpdate, Addresses], None],
        tasks: Tasks,
    ) -> None:
        """Load the first inventory; raises RefusedError if files and state folder have no valid one."""
        self._files = InventoryFiles(paths, quiet_period_s, vocabulary)
        self._state_folder, self._vocabulary = state_folder, vocabulary
        self._poll_interval_s = poll_interval_s
        self._on_update, self._tasks = on_update, tasks
        self._revision = 0
        self._scan_lock = asyncio.Lock()
        self.inventory = Inventory(())
        self.taken_at = 0.0
        """Unix time, in seconds, from which the current inventory was used."""
        self.problems: tuple[Problem, ...] = ()
        """Why the newest files were rejected; empty if they are in use or may be incompletely written."""
        self._load_first()

    def _load_first(self) -> None:
        """Use the files if they are valid and complete, else the last good inventory.

        Without a last good inventory, files that may be incomplete are used too.
        """
        last = last_good.load(self._state_folder)
        if last is not None and not _fits(last.inventory, self._vocabulary):
            last = None
        try:
            self._files.read_first(time.monotonic(), time.time(), accept_recent=last is None)
            if last is not None and self._files.waiting:
                raise UnstableFileError(", ".join(self._files.waiting))
            inventory = self._files.assemble()
        except (RefusedError, UnstableFileError) as error:
            if last is None:
                raise
            self.inventory, self.taken_at = last.inventory, last.taken_at
            self._report_rejection(error)
            log.warning("going on with the last good inventory: %s", last)
            return
        self.inventory, self.taken_at = inventory, time.time()
        if last is not None and last.inventory == inventory:
            self.taken_at = last.taken_at
        else:
            self._save_last_good()

    @property
    def waiting(self) -> Mapping[str, str]:
        """Path of each file that has not been read yet -> the reason."""
        return self._files.waiting

    def named(self, partner: str) -> int | None:
        """Return the destination number of a partner; None if the inventory has no such partner."""
        return self.inventory.names.get(partner)

    def start(self) -> None:
        """Report all endpoints, as not needing a slow start, and begin to watch the files."""
        entries = tuple(self._entry(endpoint) for endpoint in self.inventory.endpoints.values())
        addresses = {target: endpoint.address for target, endpoint in self.inventory.endpoints.items()}
        self._revision += 1
        self._on_update(DirectoryUpdate(ListKind.CACHED, self._revision, entries), addresses)
        self._tasks.spawn(self._poll())

    def set_watching(self, active: bool) -> None:
        """Do nothing: the files are always watched."""

    def request_list(self) -> None:
        """Scan the files now."""
        self._tasks.spawn(self._scan(forced=True))

    async def reload(self) -> None:
        """Scan the files now, and once more if some were unstable."""
        await self._scan(forced=True)
        if self._files.waiting:
            await asyncio.sleep(RELOAD_RETRY_DELAY_S)
            await self._scan(forced=True)

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(self._poll_interval_s)
            await self._scan(forced=False)

    async def _scan(self, forced: bool) -> None:
        async with self._scan_lock:
            before = dict(self._files.waiting)
            try:
                new = await asyncio.to_thread(self._read_files, forced)
            except RefusedError as error:
                self._report_rejection(error)
                return
            for path, why in self._files.waiting.items():
                if before.get(path) != why:
                    log.info("inventory file %s is %s: waiting until it is stable", path, why)
            if new is not None:
                self.problems = ()
                await self._apply(new)

    def _read_files(self, forced: bool) -> Inventory | None:
        """Read changed files; return the new inventory, or None if no file has changed. Runs in a thread."""
        with _garbage_collection_paused():
            if not self._files.update(time.monotonic(), forced):
                return None
            new = self._files.assemble().sharing(self.inventory)
            _ = new.digest, new.names  # computed and cached here, not on the event loop
            return new

    def _report_rejection(self, error: RefusedError | UnstableFileError) -> None:
        self.problems = error.problems if isinstance(error, RefusedError) else ()
        for problem in self.problems[:MAX_LOGGED_PROBLEMS]:
            log.error("inventory: %s", problem)
        if self.problems:
            log.error(
                "inventory has %d problems; set %s stays in use", len(self.problems), self.inventory.digest
            )
        else:
            log.warning("inventory files may be incompletely written: %s", error)

    async def _apply(self, new: Inventory) -> None:
        changes = await asyncio.to_thread(diff, self.inventory, new)
        if not changes:
            return
        log.info(
            "inventory set %s is now in use: %d changes, %d endpoints", new.digest, len(changes), len(new)
        )
        self.inventory, self.taken_at = new, time.time()
        # Removals come first, then draining endpoints, then all others. Removals and drains must take effect
        # within 500 ms, and an endpoint that changes its wing must not be in two wings at once.
        changes.sort(key=lambda c: (c.after is not None, c.after is not None and not c.after.draining))
        for start in range(0, len(changes), CHANGES_PER_UPDATE):
            self._report_changes(changes[start : start + CHANGES_PER_UPDATE])
            await asyncio.sleep(0)
        await asyncio.to_thread(self._save_last_good_in_thread)

    def _report_changes(self, changes: list[Change]) -> None:
        self._revision += 1
        entries = tuple(self._entry(c.endpoint, gone=c.after is None, cold=c.before is None) for c in changes)
        addresses = {c.endpoint.target: c.endpoint.address for c in changes}
        self._on_update(DirectoryUpdate(ListKind.DELTA, self._revision, entries), addresses)

    def _entry(self, endpoint: Endpoint, gone: bool = False, cold: bool = False) -> Entry:
        phase = Phase.REMOVED if gone else Phase.DRAINING if endpoint.draining else Phase.READY
        return Entry(
            target=endpoint.target,
            destination=endpoint.destination,
            phase=phase,
            kind=self._vocabulary.kinds.index(endpoint.kind),
            zone=self._vocabulary.wings.index(endpoint.wing),
            weight=endpoint.limit,
            needs_slow_start=cold,
        )

    def _save_last_good_in_thread(self) -> None:
        with _garbage_collection_paused():
            self._save_last_good()

    def _save_last_good(self) -> None:
        try:
            last_good.save(self._state_folder, self.inventory, self.taken_at)
        except OSError as error:
            _report_save_failure(error)


def _report_save_failure(error: OSError) -> None:
    log.error("the last good inventory cannot be saved: %s", error)


@contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """Pause the garbage collector: its traversal of all new objects would stall the event loop.

    The new objects have no reference cycles, so they don't need the collector.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _fits(inventory: Inventory, vocabulary: Vocabulary) -> bool:
    """Return whether a stored inventory is still valid under the configuration."""
    return all(
        e.wing in vocabulary.wings
        and e.kind in vocabulary.kinds
        and e.protocol in vocabulary.protocols
        and (e.protocol != "as2" or (e.partner in vocabulary.profiles and e.kind not in vocabulary.batched))
        for e in inventory.endpoints.values()
    )
