"""A simulated disk: written data survives the death of the process, synced data also survives a power loss.

A power loss keeps a random part of the unsynced data: all, nothing, a prefix cut at any byte, a subset of the
sectors, or a prefix followed by zeros. Unsynced creations and removals of files may or may not survive
(ALICE, Pillai 2014).

The disk counts the calls that read, open, write or remove a file. At a chosen call it can kill the calling
process: before the call, after it, or in the middle of a write. Writes can also fail or be short.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from emberlatch.faults.process import kill_current_process

BLOCK_BYTES = 512
FIRST_HANDLE = 4


class KillMoment(Enum):
    """The point in a system call at which the process is killed; the values are those of plan files."""

    BEFORE = "before"
    WITHIN = "within"  # after half of a write's data is written; in other calls, the same as `AFTER`
    AFTER = "after"


@dataclass(slots=True)
class DiskFaults:
    """The faults that apply to all later writes."""

    capacity_bytes: int | None = None  # limit for all files together, in full blocks; None is unlimited
    failing: bool = False  # every write fails with EIO
    short: bool = False  # each write writes only half of its data


class Disk:
    """One folder on the disk of a machine; implements `store.Files`.

    `faults` may be changed at any time. `kill_at` selects the call at which the process is killed, by the
    value that `calls` has in it, and the point in the call. The next `failing_syncs` syncs of files fail.
    `on_call` is called at each counted call, with the call's number and name. `sizes_at_sync_start` is set
    while a slow sync runs, because that sync covers only the data that was written before it started.
    """

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.calls = 0
        self.faults = DiskFaults()
        self.kill_at: tuple[int, KillMoment] | None = None
        self.failing_syncs = 0
        self.peak_bytes = 0  # the most space ever used, in full blocks
        self.on_call: Callable[[int, str], None] | None = None
        self.sizes_at_sync_start: dict[int, int] | None = None
        self._handles: dict[int, str] = {}
        self._last_handle = FIRST_HANDLE - 1
        self._synced_bytes: dict[int, int] = {}  # length of the synced prefix, by the content's id()
        self._synced_names: dict[str, bytearray] = {}  # the files in the folder at its last sync
        self._removed: list[bytearray] = []  # keeps removed files, so that their id()s are not reused

    @property
    def used_bytes(self) -> int:
        """The bytes that all files use, each rounded up to full blocks."""
        return sum(-(-len(data) // BLOCK_BYTES) * BLOCK_BYTES for data in self.files.values())

    def restart(self) -> None:
        """Prepare for the next process: close all handles and cancel a planned kill."""
        self._handles.clear()
        self.kill_at = None

    def _count_call(self, name: str) -> KillMoment | None:
        """Count a call; returns the point in the call at which the caller must kill the process, or None."""
        self.calls += 1
        if self.on_call is not None:
            self.on_call(self.calls, name)
        if self.kill_at is None or self.calls != self.kill_at[0]:
            return None
        if self.kill_at[1] is KillMoment.BEFORE:
            kill_current_process()
        return self.kill_at[1]

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """The content of a file; raises FileNotFoundError."""
        if self._count_call("read") is not None:
            kill_current_process()
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self.files[name])

    def append_to(self, name: str) -> int:
        """Open a file for appending, creating it if it does not exist; returns a handle."""
        kill = self._count_call("open")
        self.files.setdefault(name, bytearray())
        self._last_handle += 1
        self._handles[self._last_handle] = name
        if kill is not None:
            kill_current_process()
        return self._last_handle

    def write(self, handle: int, data: memoryview) -> int:
        """Append to an open file; returns the number of bytes written, or raises OSError as `faults` says."""
        kill = self._count_call("write")
        file = self.files[self._handles[handle]]
        size = len(data)
        if kill is KillMoment.WITHIN:
            file += data[: size // 2]
            kill_current_process()
        if self.faults.failing:
            raise OSError(errno.EIO, "input/output error")
        if self.faults.capacity_bytes is not None:
            free_bytes = self.faults.capacity_bytes - self.used_bytes + (-len(file) % BLOCK_BYTES)
            size = min(size, max(0, free_bytes))
            if not size:
                raise OSError(errno.ENOSPC, "no space left on device")
        if self.faults.short and size > 1:
            size = (size + 1) // 2
        file += data[:size]
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        if kill is not None:
            kill_current_process()
        return size

    def close(self, handle: int) -> None:
        """Close a handle."""
        self._handles.pop(handle, None)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        kill = self._count_call("remove")
        if (file := self.files.pop(name, None)) is not None:
            self._removed.append(file)
        if kill is not None:
            kill_current_process()

    def sizes(self) -> dict[int, int]:
        """The current size of each file by the id() of its content; see `sizes_at_sync_start`."""
        return {id(file): len(file) for file in self.files.values()}

    def sync(self, handle: int) -> None:
        """Sync the content of an open file; raises OSError while `failing_syncs` is not 0."""
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "input/output error")
        if (file := self.files.get(self._handles[handle])) is not None:
            sizes = self.sizes_at_sync_start
            synced_bytes = len(file) if sizes is None else sizes.get(id(file), 0)
            self._synced_bytes[id(file)] = max(synced_bytes, self._synced_bytes.get(id(file), 0))

    def sync_folder(self) -> None:
        """Sync the names of the files."""
        sizes = self.sizes_at_sync_start
        self._synced_names = {
            name: file for name, file in self.files.items() if sizes is None or id(file) in sizes
        }

    def power_loss(self, rng: random.Random) -> None:
        """Lose power: replace all files with a random state that a real disk could have after it."""
        kept: dict[str, bytearray] = {}
        for name in sorted({*self.files, *self._synced_names}):
            current, synced = self.files.get(name), self._synced_names.get(name)
            file = current if current is synced else rng.choice((current, synced))
            if file is not None:
                kept[name] = _surviving_content(bytes(file), self._synced_bytes.get(id(file), 0), rng)
        self.files = kept
        self._synced_bytes = {id(file): len(file) for file in kept.values()}
        self._synced_names = dict(kept)
        self._handles.clear()


def _surviving_content(data: bytes, synced_bytes: int, rng: random.Random) -> bytearray:
    """Draw the content of a file after a power loss; its first `synced_bytes` always survive."""
    tail = data[synced_bytes:]
    match rng.choice(("all", "nothing", "torn", "sectors", "zeros")) if tail else "all":
        case "nothing":
            tail = b""
        case "torn":
            tail = tail[: rng.randrange(len(tail) + 1)]
        case "sectors":  # each sector survives or is lost independently; lost ones read as zeros
            first_sector, sectors = -(synced_bytes % BLOCK_BYTES), []
            for start in range(first_sector, len(tail), BLOCK_BYTES):
                sector = tail[max(start, 0) : start + BLOCK_BYTES]
                sectors.append(sector if rng.random() < 0.5 else bytes(len(sector)))
            tail = b"".join(sectors)
        case "zeros":
            cut = rng.randrange(len(tail) + 1)
            tail = tail[:cut] + bytes(len(tail) - cut + rng.randrange(BLOCK_BYTES))
        case _:
            pass
    return bytearray(data[:synced_bytes] + tail)
