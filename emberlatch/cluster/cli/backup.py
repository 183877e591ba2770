"""Backups of a cluster's state: one file, exported from machines' disks and restored on empty disks.

The file is a sequence of CBOR items: a header, one item per record, and a trailer. The trailer contains the
number of records and a digest, which reveal a truncated or damaged file.
"""

from __future__ import annotations

import hashlib
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO, Protocol

import cbor2

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.cluster.cli.stored_records import RECORDS_FILE, DamagedRecord, read_records
from emberlatch.cluster.consensus import AcceptorRecord, Configure, ControlState, CreateVoterGroup, Voter
from emberlatch.cluster.consensus.commands import apply_batch
from emberlatch.cluster.consensus.storage import RecordStorage, read_state
from emberlatch.cluster.control_plane import CONTROL_FOLDER
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.membership import rank
from emberlatch.cluster.message_store import MessageState, Record, RecordDatabase
from emberlatch.cluster.settings import ConfigurationError, read_configuration

FORMAT_VERSION = 1
FORMAT_KEY = "huts"  # header key; this and the next three keys are part of the file format
CONFIGURATION_KEY = "word"
RECORD_COUNT_KEY = "records"
DIGEST_KEY = "digest"
INCARNATION_NOTE = "life"  # key of the node's incarnation number in the record database
MAX_ERROR_CHARS = 300
IDENTITY_CHARS = 16


class BackupError(Exception):
    """A backup can't be made or used; the message names the file or folder, and the reason."""


@dataclass(frozen=True, slots=True)
class Backup:
    """Content of a backup. `configuration` is the text of the active configuration; None if there is none."""

    records: list[Record]
    configuration: bytes | None


class Digest(Protocol):
    """An incremental hash."""

    def update(self, data: bytes, /) -> None:
        """Add bytes to the hash."""

    def digest(self) -> bytes:
        """Return the hash of all added bytes."""


def _read_records(folder: Path) -> Iterator[Record]:
    """Yield all records on a machine's disk; times are wall-clock times in seconds."""
    database = folder / RECORDS_FILE
    if not database.exists():
        raise BackupError(f"{folder}: not a data folder: {RECORDS_FILE} not found")
    for record in read_records(database):
        if isinstance(record, DamagedRecord):
            raise BackupError(f"{folder}: record {record.id} is damaged: {record.error}")
        yield record


def merge_disks(folders: list[Path]) -> Backup:
    """Merge the records of these disks, and find the latest configuration. Raises BackupError."""
    merged: dict[str, Record] = {}
    newest = ControlState()
    for folder in folders:
        for record in _read_records(folder):
            known = merged.setdefault(record.id, record)
            if known is not record:
                known.merge(record.state, record.seal, record.epoch, record.owner, record.attempts)
                known.body = known.body if known.body is not None else record.body
                known.host, known.path = known.host or record.host, known.path or record.path
        state = read_state(folder / CONTROL_FOLDER)
        if state is not None and state.version > newest.version:
            newest = state
    return Backup(list(merged.values()), newest.text or None)


def export(folders: list[Path], to: Path) -> ExitCode:
    """Write a backup of these data folders without cancelled messages; UNUSABLE if one can't be read."""
    try:
        backup = merge_disks(folders)
    except BackupError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    records = [record for record in backup.records if record.state is not MessageState.CANCELLED]
    digest = hashlib.sha256()
    with to.open("wb") as out:
        _write_item(out, digest, {FORMAT_KEY: FORMAT_VERSION, CONFIGURATION_KEY: backup.configuration})
        for record in records:
            _write_item(out, digest, record.to_wire(0.0, record.body))
        trailer = {RECORD_COUNT_KEY: len(records), DIGEST_KEY: digest.digest()}
        _write_item(out, hashlib.sha256(), trailer)
    queued = sum(record.is_queued for record in records)
    print(f"{to}: {len(records)} records, {queued} of them queued; {_configuration_text(backup)}")
    return ExitCode.OK


def _configuration_text(backup: Backup) -> str:
    return "no configuration" if backup.configuration is None else "with a configuration"


def _write_item(out: BinaryIO, digest: Digest, item: object) -> None:
    data = cbor2.dumps(item)
    digest.update(data)
    out.write(data)


def read_backup(path: Path) -> Backup:
    """Read and verify a backup. Raises BackupError if it is truncated, damaged or in another format."""
    try:
        content = _read_items(path)
        header = content.items[0]
        if header[FORMAT_KEY] != FORMAT_VERSION:
            raise BackupError(f"{path}: format version {header[FORMAT_KEY]}, expected {FORMAT_VERSION}")
        records = [Record.from_wire(item, 0.0) for item in content.items[1:]]
        intact = content.trailer[RECORD_COUNT_KEY] == len(records)
        intact = intact and content.trailer[DIGEST_KEY] == content.digest
    except BackupError:
        raise
    except Exception as error:  # decoding raises errors of many types on damaged bytes
        raise BackupError(f"{path}: truncated, or not a backup: {error!r}"[:MAX_ERROR_CHARS]) from None
    if not intact:
        raise BackupError(
            f"{path}: damaged: record count or digest does not match "
            f"({len(records)} records read, {content.trailer[RECORD_COUNT_KEY]} expected)"
        )
    return Backup(records, header[CONFIGURATION_KEY])


@dataclass(frozen=True, slots=True)
class _Content:
    """The decoded items of a backup file; `digest` is the hash of the bytes before the trailer."""

    items: list[Any]
    trailer: dict[str, Any]
    digest: bytes


def _read_items(path: Path) -> _Content:
    """Decode all items up to the trailer. Without a trailer, the decoder raises at the end of the file."""
    items = list[Any]()
    digest = hashlib.sha256()
    with path.open("rb") as source:
        while True:
            start = source.tell()
            item = cbor2.load(source)
            if isinstance(item, dict) and DIGEST_KEY in item:
                return _Content(items, item, digest.digest())
            end = source.tell()
            source.seek(start)
            digest.update(source.read(end - start))
            items.append(item)


def restore(path: Path, into: Path, node: str, nodes: list[str], copies: int) -> ExitCode:
    """Restore one machine's part of a backup on its empty disk.

    Each record is restored on `copies` machines, and the first of them becomes its owner. The machines are
    chosen by rendezvous hashing, so that each machine can compute its own part alone. Return FAILED if the
    backup is damaged or its configuration is invalid. Return UNUSABLE if the arguments are invalid, or if the
    folder already has records or control state.
    """
    if node not in nodes or not 0 < copies <= len(nodes):
        print(
            f"{node}: expected one of --nodes {','.join(nodes)}; {copies} copies: expected 1 to {len(nodes)}",
            file=sys.stderr,
        )
        return ExitCode.UNUSABLE
    if (into / RECORDS_FILE).exists() or (into / CONTROL_FOLDER).exists():
        print(
            f"{into}: contains {RECORDS_FILE} or {CONTROL_FOLDER}; a backup is restored on empty disks only",
            file=sys.stderr,
        )
        return ExitCode.UNUSABLE
    try:
        backup = read_backup(path)
    except BackupError as error:
        print(error, file=sys.stderr)
        return ExitCode.FAILED
    restored = _restore_records(backup.records, into, node, nodes, copies)
    if backup.configuration is not None:
        try:
            config = read_configuration(backup.configuration)
        except ConfigurationError as error:
            print(f"{path}: its configuration is not valid: {error}", file=sys.stderr)
            return ExitCode.FAILED
        command = Configure(config.revision, backup.configuration)
        _create_voter_group(into / CONTROL_FOLDER, path, node, nodes, copies, command)
    print(f"{into}: {restored} of {len(backup.records)} records; {_configuration_text(backup)}")
    return ExitCode.OK


async def _reject_asynchronous_write(work: Callable[[], None]) -> None:
    raise AssertionError(f"a restore must write synchronously, got asynchronous work: {work!r}")


def _restore_records(records: list[Record], into: Path, node: str, nodes: list[str], copies: int) -> int:
    """Write the records of which this machine gets a replica; return their number."""
    database = RecordDatabase(into / RECORDS_FILE, Disk(_reject_asynchronous_write), lambda: 0.0)
    restored = 0
    for record in records:
        replicas = sorted(nodes, key=lambda name: -rank(record.id, name))[:copies]
        if node in replicas:
            restored += 1
            record.replicas, record.owner, record.epoch = tuple(replicas), replicas[0], record.epoch + 1
            database.put(record, 0.0)
    database.write_note(INCARNATION_NOTE, 1)
    database.close()
    return restored


def _create_voter_group(
    folder: Path, backup_file: Path, node: str, nodes: list[str], copies: int, command: Configure
) -> None:
    """Create a new voter group and write its state to this machine's disk.

    Each machine computes the same group from the same arguments.
    """
    digest = hashlib.sha256(backup_file.read_bytes()).hexdigest()

    def voter(name: str) -> Voter:
        identity = hashlib.sha256(f"{digest} {name}".encode()).hexdigest()
        return Voter(name, identity[:IDENTITY_CHARS])

    count = min(2 * copies - 1, len(nodes))
    voters = tuple(voter(name) for name in sorted(nodes)[:count])
    state = apply_batch(ControlState(), (CreateVoterGroup(voters), command))
    RecordStorage(folder, node).initialize(AcceptorRecord(voter(node), None, state))
