"""The journal of accepted messages, tested without an engine."""

from __future__ import annotations

from pathlib import Path

import pytest

from emberlatch.store import (
    Entry,
    Folder,
    Journal,
    LimitTooSmallError,
    RecordDecodeError,
    UnknownOutcome,
)
from emberlatch.store.journal_records import decode_payload


def entry(ref: int, size: int = 10) -> Entry:
    return Entry(ref, f"m{ref}", "k", "payout", "acme", 7, 1e9, bytes([ref % 256]) * size)


def reread(folder: Path) -> dict[int, Entry]:
    journal = Journal(Folder(folder), 3_000_000)
    entries = {each.ref: each for each in journal.load()}
    journal.close()
    return entries


def test_open_entries_are_restored_with_their_current_state(tmp_path: Path) -> None:
    journal = Journal(Folder(tmp_path), 3_000_000)
    journal.load()
    one, two, three = entry(1), entry(2), entry(3)
    for each in (one, two, three):
        journal.add(each)
    one.attempts, one.unknown_outcomes = 2, [UnknownOutcome(1, "s-1", 0, 12.5)]
    two.notice = {"ref": "m2", "result": "bounced", "wait_ms": 5}
    journal.update(one)
    journal.update(two)
    journal.remove(three)
    assert reread(tmp_path) == {1: one, 2: two}  # the journal is neither closed nor synced, as after SIGKILL


def test_a_torn_tail_and_a_damaged_record_are_skipped_and_others_are_read(tmp_path: Path) -> None:
    journal = Journal(Folder(tmp_path), 3_000_000)
    journal.load()
    for ref in (1, 2, 3):
        journal.add(entry(ref, 100))
    (path,) = tmp_path.iterdir()
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF  # this offset is in the second record
    path.write_bytes(bytes(data[:-5]))  # the third record is torn
    assert list(reread(tmp_path)) == [1]


def test_a_record_after_one_with_a_damaged_length_is_read(tmp_path: Path) -> None:
    journal = Journal(Folder(tmp_path), 3_000_000)
    journal.load()
    journal.add(entry(1))
    journal.add(entry(2))
    (path,) = tmp_path.iterdir()
    data = bytearray(path.read_bytes())
    data[7] = 0xFF
    path.write_bytes(bytes(data))
    assert list(reread(tmp_path)) == [2]


def test_the_disk_limit_is_kept_during_compaction_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit, worst = 1_000_000, 0
    journal = Journal(Folder(tmp_path), limit)
    journal.load()
    open_entries: list[Entry] = []
    unlink = Path.unlink

    def measure(path: Path, **options: bool) -> None:
        nonlocal worst
        worst = max(worst, size(tmp_path))  # compaction uses the most space just before it removes a segment
        unlink(path, **options)

    with monkeypatch.context() as patch:
        patch.setattr(Path, "unlink", measure)
        for ref in range(400):
            added = entry(ref, 65536 if ref % 3 else 500)
            while open_entries and not journal.has_capacity(len(added.body)):
                journal.remove(open_entries.pop(ref % len(open_entries)))
            journal.add(added)
            open_entries.append(added)
            for attempt in range(6):
                added.attempts = attempt + 1
                added.unknown_outcomes.append(UnknownOutcome(attempt, "s-12345678", 1, 1.5))
                journal.update(added)
            worst = max(worst, size(tmp_path))
    assert limit / 2 < worst <= limit
    assert reread(tmp_path) == {each.ref: each for each in open_entries}


def size(folder: Path) -> int:
    return sum(-(-path.stat().st_size // 512) * 512 for path in folder.iterdir())


def test_many_restarts_keep_the_limit_and_at_most_one_empty_file(tmp_path: Path) -> None:
    """Each start opens a new segment file, which takes at least 512 bytes once it has content."""
    limit = 600_000
    for ref in range(300):
        journal = Journal(Folder(tmp_path), limit)
        journal.load()
        if ref % 2:
            added = entry(ref, 2000)
            journal.add(added)
            journal.remove(added)
        journal.close()
        assert size(tmp_path) <= limit
    assert sum(1 for path in tmp_path.iterdir() if not path.stat().st_size) <= 1


def test_the_clock_is_restored_after_its_first_segment_was_compacted(tmp_path: Path) -> None:
    journal = Journal(Folder(tmp_path), 1_000_000)
    journal.load()
    journal.clock = "run", 17.5
    for ref in range(60):
        added = entry(ref, 60_000)
        journal.add(added)
        journal.remove(added)
    journal.close()
    assert not (tmp_path / "00000001.log").exists()  # compaction has removed the first segment
    again = Journal(Folder(tmp_path), 1_000_000)
    assert again.load() == [] and again.clock == ("run", 17.5)
    again.close()


def test_a_limit_that_is_too_small_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(LimitTooSmallError, match="too small"):
        Journal(Folder(tmp_path), 300_000)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"[]",
        b"{}",
        b'{"clock": ["boot", "x"]}',
        b'{"is": "text"}',
        b'{"ref": "x"}',
        b'{"ref": 1, "attempts": 1, "notice": null}',
        b'{"ref": 1, "attempts": 1, "doubts": [{"attempt": 0}], "notice": null}',
        b'{"ref": 1, "id": "a", "attempts": 1, "doubts": [], "notice": null}',
    ],
)
def test_an_invalid_payload_raises_record_decode_error(payload: bytes) -> None:
    with pytest.raises(RecordDecodeError):
        decode_payload(payload)
