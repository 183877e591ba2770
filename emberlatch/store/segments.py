"""The numbered files of a log, such as `00000007.log`.

Records are appended to the newest file; the oldest file is removed to free space.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from emberlatch.store.files import Files

NO_HANDLE = -1


class SegmentFiles:
    """The segments of one log in one folder. Every method raises OSError if a system call fails.

    Attributes:
        sizes: size in bytes by segment number, the oldest first. Changed by this class only.
        current: number of the segment that is written to.
        handle: file handle of the current segment, or NO_HANDLE if no segment is open.
        durable: whether writes are synced, by `prepare_sync` or in `close`.
    """

    def __init__(self, files: Files, suffix: str, segment_bytes: int, durable: bool = False) -> None:
        """`segment_bytes` is the size at which a segment counts as full."""
        self._files, self._suffix, self._segment_bytes = files, suffix, segment_bytes
        self.durable = durable
        self.sizes: dict[int, int] = {}
        self.current = 0
        self.handle = NO_HANDLE
        self._dirty: dict[int, None] = {}  # handles with writes that are not synced yet, as an ordered set
        self._retired: list[int] = []  # handles of full segments, which are closed once they are synced
        self._names_changed = False

    def read(self, remove_empty: bool = False) -> Iterator[tuple[int, str, bytes]]:
        """Yield number, file name and content of each segment, the oldest first.

        If `remove_empty` is set, empty segments are removed and not yielded.
        """
        for name in sorted(self._files.names()):
            stem, _, suffix = name.rpartition(".")
            if suffix != self._suffix or not stem.isdigit():
                continue
            number, data = int(stem), self._files.read(name)
            if remove_empty and not data:  # left by a process that wrote nothing
                self._files.remove(name)
                continue
            self.sizes[number] = len(data)
            yield number, name, data

    def open(self) -> None:
        """Open a new segment. Its number follows the highest number that was read."""
        self.current = max(self.sizes, default=0)
        self.roll()

    @property
    def oldest(self) -> int:
        """Number of the oldest segment."""
        return next(iter(self.sizes))

    @property
    def is_full(self) -> bool:
        """Whether the current segment has reached its maximum size."""
        return self.sizes[self.current] >= self._segment_bytes

    @property
    def is_empty(self) -> bool:
        """Whether the current segment contains no record yet."""
        return not self.sizes[self.current]

    def append(self, record: bytes) -> None:
        """Write a record to the current segment.

        An interrupted write leaves a truncated record, which is skipped when the segment is read.
        """
        rest = memoryview(record)
        while rest:
            written = self._files.write(self.handle, rest)
            self.sizes[self.current] += written
            if self.durable:
                self._dirty[self.handle] = None
            rest = rest[written:]

    def roll(self) -> None:
        """Open a new segment and make it the current one."""
        number = self.current + 1
        handle = self._files.append_to(self._name(number))
        if self.handle != NO_HANDLE:
            if self.durable:  # a sync of this handle may be running, so it is closed later
                self._retired.append(self.handle)
            else:
                self._files.close(self.handle)
        self._names_changed = True
        self.handle, self.current, self.sizes[number] = handle, number, 0

    def remove_oldest(self) -> None:
        """Remove the oldest segment."""
        oldest = self.oldest
        self._files.remove(self._name(oldest))
        self._names_changed = True
        del self.sizes[oldest]

    def sync_existing(self) -> None:
        """Sync all segments of earlier processes, which may have ended before a sync."""
        for number in self.sizes:
            handle = self._files.append_to(self._name(number))
            self._files.sync(handle)
            self._files.close(handle)
        self._files.sync_folder()

    def prepare_sync(self) -> Callable[[], None]:
        """See `group_sync.Syncable`."""
        handles, names_changed = list(self._dirty), self._names_changed
        self._dirty, self._names_changed = {}, False

        def sync() -> None:
            for handle in handles:
                self._files.sync(handle)
            if names_changed:
                self._files.sync_folder()

        return sync

    def on_synced(self) -> None:
        """See `group_sync.Syncable`."""
        for handle in [handle for handle in self._retired if handle not in self._dirty]:
            self._files.close(handle)
            self._retired.remove(handle)

    def close(self) -> None:
        """Close the current segment, after a sync if the log is durable. `roll` opens a new one."""
        if self.handle == NO_HANDLE:
            return
        if self.durable:
            self.prepare_sync()()
            self.on_synced()
        self._files.close(self.handle)
        self.handle = NO_HANDLE

    def _name(self, number: int) -> str:
        return f"{number:08d}.{self._suffix}"
