"""Reads the records on a stopped machine's disk."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import cbor2

from emberlatch.cluster.message_store import Record

RECORDS_FILE = "records.db"  # name of the record database in the data folder


@dataclass(frozen=True, slots=True)
class DamagedRecord:
    """A row that can't be decoded; `error` is the reason."""

    id: str
    error: str


def read_records(database: Path) -> Iterator[Record | DamagedRecord]:
    """Yield all rows of a record database, opened read-only; times are wall-clock times in seconds."""
    with sqlite3.connect(f"file:{database}?mode=ro", uri=True) as db:
        for id, meta, body in db.execute("SELECT id, meta, body FROM records"):
            try:
                record = Record.from_wire(cbor2.loads(meta) | {"id": id, "body": body}, 0.0)
            except Exception as error:  # decoding raises errors of many types on damaged bytes
                yield DamagedRecord(str(id), repr(error))
            else:
                yield record


def passes_integrity_check(database: Path) -> bool:
    """Return whether the file passes SQLite's integrity check."""
    with sqlite3.connect(f"file:{database}?mode=ro", uri=True) as db:
        (result,) = db.execute("PRAGMA integrity_check").fetchone()
    return bool(result == "ok")
