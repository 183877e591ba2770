"""The message table: open and completed messages, and failed writes to the journal."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from emberlatch.engine.message_table import MessageTable
from emberlatch.store import Entry, Folder, Journal

JOURNAL_BYTES = 3_000_000


def entry(ref: int, body: bytes = b"x") -> Entry:
    return Entry(ref, f"m{ref}", "", "order", "", 7, 1e9, body)


def make_table(folder: Path) -> tuple[MessageTable, Journal]:
    journal = Journal(Folder(folder), JOURNAL_BYTES)
    journal.load()
    return MessageTable(journal), journal


def test_a_message_is_open_until_completed_and_stored_until_confirmed(tmp_path: Path) -> None:
    table, journal = make_table(tmp_path)
    message = entry(1)
    assert table.accept(message) and table.is_open("m1") and table.open_messages == {1: message}
    message.notice = {"ref": "m1", "result": "dead"}
    table.complete(message)
    assert not table.is_open("m1") and not table.open_messages and table.completed == {1: message}
    journal.close()
    (stored,) = Journal(Folder(tmp_path), JOURNAL_BYTES).load()
    assert stored.notice == message.notice
    journal.reopen()
    table.confirm(1)
    table.confirm(1)  # a second confirmation is ignored
    journal.close()
    assert not table.completed and Journal(Folder(tmp_path), JOURNAL_BYTES).load() == []


def test_a_message_whose_write_fails_is_not_open(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    table, journal = make_table(tmp_path)

    def fail(_: Entry) -> None:
        raise OSError(errno.ENOSPC, "disk full")

    monkeypatch.setattr(journal, "add", fail)
    assert not table.accept(entry(1)) and not table.is_open("m1") and not table.open_messages
    monkeypatch.undo()
    assert table.accept(entry(2))
    monkeypatch.setattr(journal, "update", fail)
    assert not table.record(table.open_messages[2]) and table.is_open("m2")


def test_a_message_that_exceeds_the_capacity_is_not_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    table, journal = make_table(tmp_path)
    monkeypatch.setattr(journal, "has_capacity", lambda size: size < 100)
    assert not table.accept(entry(1, b"x" * 100)) and table.accept(entry(2, b"x" * 99))
    assert list(table.open_messages) == [2]


def test_ids_of_removed_messages_are_not_kept(tmp_path: Path) -> None:
    table, _ = make_table(tmp_path)
    for ref in range(10):
        table.accept(entry(ref))
        table.remove(table.open_messages[ref])
        assert not table.is_open(f"m{ref}")
    assert not table.open_messages and not table._open_ids
