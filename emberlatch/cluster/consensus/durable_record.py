"""The acceptor's record on this machine's disk, and whether that disk works."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.ports import RegisterPorts, Storage


async def _wait_until_done(write: asyncio.Future[None]) -> bool:
    """Wait until a write has ended, even if this task is cancelled; returns whether it was cancelled.

    A write that has started can't be undone, and the next write must not begin before it has ended.
    """
    cancelled = False
    while not write.done():
        try:
            await asyncio.wait({write})
        except asyncio.CancelledError:
            cancelled = True
    return cancelled


def _disk_error(write: asyncio.Future[None]) -> OSError | None:
    """Return the OSError of a write that has ended, or None if it succeeded; raise any other error."""
    try:
        write.result()
    except OSError as error:
        return error
    return None


class DurableRecord:
    """The current record, and the storage to which it is synced; both are None until the disk is open.

    `lock` serializes changes of the record: a caller acquires it before it computes the next record, and
    releases it once that record is durable. `disk_failing` is True if the last use of the disk failed. A vote
    that can't be written is not sent.
    """

    def __init__(self, record: AcceptorRecord | None, storage: Storage | None, ports: RegisterPorts) -> None:
        self.current, self._storage = record, storage
        self._offload, self._listener = ports.offload, ports.listener
        self.lock = asyncio.Lock()
        self.disk_failing = False

    @property
    def is_open(self) -> bool:
        """Whether there is a disk to write to."""
        return self.current is not None and self._storage is not None

    def attach(self, record: AcceptorRecord, storage: Storage) -> None:
        """Start to use a disk that could not be opened until now."""
        self.current, self._storage = record, storage

    async def persist(self, record: AcceptorRecord) -> bool:
        """Make a record durable and current; returns whether that succeeded. The caller has the lock."""
        assert self.current is not None
        if replace(record, last_batch=None) == replace(self.current, last_batch=None):
            self.current = record
            return True
        return await self._write(record)

    async def rewrite(self) -> None:
        """Write the current record again after a failed write, to find out whether the disk works again."""
        async with self.lock:
            if self.current is not None and self._storage is not None:
                await self._write(self.current)

    async def _write(self, record: AcceptorRecord) -> bool:
        """Write a record; returns whether that succeeded.

        If the caller is cancelled, CancelledError is raised only after the result of the write is known.
        """
        storage = self._storage
        assert storage is not None
        durable = replace(record, last_batch=None)
        write = asyncio.ensure_future(self._offload(lambda: storage.write(durable)))
        cancelled = await _wait_until_done(write)
        error = _disk_error(write)
        self.report_disk_result(error)
        if error is None:
            self.current = record
        if cancelled:
            raise asyncio.CancelledError
        return error is None

    def report_disk_result(self, error: OSError | None) -> None:
        """Record the result of the last use of the disk: `disk_failing` changes only here."""
        failing = error is not None
        if failing != self.disk_failing:
            self.disk_failing = failing
            self._listener.disk_changed(error)
