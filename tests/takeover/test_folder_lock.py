"""The lock that determines which process owns a state folder."""

from __future__ import annotations

import threading
from pathlib import Path

from emberlatch.takeover import FolderLock


def test_the_lock_is_held_by_one_holder_at_a_time_and_can_be_acquired_after_release_or_close(
    tmp_path: Path,
) -> None:
    one, two = FolderLock(tmp_path), FolderLock(tmp_path)
    assert one.acquire() and one.acquire() and not two.acquire()
    one.release()
    assert two.acquire() and not one.acquire()
    two.close()  # closing it has the same effect as the end of the process
    assert one.acquire()
    assert (tmp_path / "lock").stat().st_size == 0
    one.close()


def test_only_one_of_many_threads_acquires_the_lock(tmp_path: Path) -> None:
    locks = [FolderLock(tmp_path) for _ in range(16)]
    acquired: list[FolderLock] = []

    def try_to_acquire(lock: FolderLock) -> None:
        if lock.acquire():
            acquired.append(lock)

    threads = [threading.Thread(target=try_to_acquire, args=[lock]) for lock in locks]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(acquired) == 1
    for lock in locks:
        lock.close()
