"""Files and frames of an earlier release are read, and are written with the same bytes now."""

from __future__ import annotations

import json
import shutil
import sqlite3
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import cbor2
from ward import each, test

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.commands import (
    Configure,
    CreateVoterGroup,
    MarkDecommission,
    ReadmitMember,
    RemoveMember,
    SetVoters,
)
from emberlatch.cluster.consensus.replies import reply_from_wire
from emberlatch.cluster.consensus.requests import request_from_wire
from emberlatch.cluster.consensus.state import Ballot, ControlState, DecommissionMark, Voter
from emberlatch.cluster.consensus.storage import RecordStorage, read_state
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.membership import Member
from emberlatch.cluster.message_store import MessageState, Record
from emberlatch.cluster.message_store.database import RecordDatabase
from emberlatch.cluster.rpc import frames
from emberlatch.cluster.rpc.methods import RpcMethod
from tests.cluster import stored_values as stored
from tests.cluster.recorded_frames import FOLDER, payload, payloads, recorded_frames

NOTICES_ONLY = {"members", "news", "targets"}  # methods that are only sent as notices, without an answer
STORES = ("store-s0", "store-s2")
Rows = dict[str, list[tuple[Any, ...]]]


async def no_offload(_: Callable[[], None]) -> None:
    """Fail: in these tests only `close` commits."""
    raise AssertionError("unexpected call of Disk.offload; expected commits only on close")


@contextmanager
def temporary_folder(name: str = "") -> Iterator[Path]:
    """Yield a writable folder: a copy of a stored one, or an empty one if `name` is empty."""
    with tempfile.TemporaryDirectory() as parent:
        folder = Path(parent) / "folder"
        if name:
            shutil.copytree(FOLDER / name, folder)
        else:
            folder.mkdir()
        yield folder


@contextmanager
def open_database(folder: Path, wall_s: float = stored.WALL_S) -> Iterator[RecordDatabase]:
    """Open the database in a folder, and close it afterwards."""
    database = RecordDatabase(folder / "records.db", Disk(no_offload), lambda: wall_s)
    database.open()
    yield database
    database.close()


def rows(folder: Path) -> Rows:
    """Return the tables of the database file and all their rows."""
    db = sqlite3.connect(folder / "records.db")
    try:
        return {
            "schema": db.execute("SELECT name, sql FROM sqlite_master ORDER BY name").fetchall(),
            "records": db.execute("SELECT id, meta, body FROM records ORDER BY id").fetchall(),
            "marks": db.execute("SELECT name, value FROM marks ORDER BY name").fetchall(),
        }
    finally:
        db.close()


def expected_records() -> dict[str, dict[str, Any]]:
    """Return the expected records by id; only queued and cancelled ones have a body."""
    expected = {wire["id"]: wire for wire in [*stored.RECORDS, *stored.CHANGED] if wire["id"] != "dropped"}
    return {
        id: wire | {"body": wire["body"] if wire["state"] <= MessageState.CANCELLED else None}
        for id, wire in expected.items()
    }


@test("stored records are read: queued, cancelled, dead-lettered and delivered")
def _() -> None:
    with temporary_folder("records") as folder, open_database(folder) as database:
        found = {record.id: record for record in database.load(0.0)}
    assert {id: record.to_wire(0.0, record.body) for id, record in found.items()} == expected_records()
    states = {id: record.state for id, record in found.items()}
    assert states == {
        "queued": MessageState.QUEUED, "void": MessageState.CANCELLED, "dead": MessageState.DEAD_LETTERED, "delivered": MessageState.COMPLETED
    }  # fmt: skip
    delivered = found["delivered"]
    assert (delivered.owner, delivered.epoch, delivered.replicas) == ("s1", 3, ("s0", "s1"))
    assert (delivered.attempts, delivered.seal, delivered.ended_at) == (1, "09ab", 2.25)
    queued = found["queued"]
    assert (queued.sent_at, queued.due_at, queued.expires_at, queued.config_revision) == (-0.5, 0.25, 60.5, 3)
    bodies = {id: body for id, _, body in rows(FOLDER / "records")["records"]}
    assert bodies["delivered"] is None and bodies["dead"] == b"\x00\xff"


@test("stored notes are read: the mark of a used disk and the list of stores")
def _() -> None:
    with temporary_folder("records") as folder, open_database(folder) as database:
        assert database.read_note("life") == 1 and database.read_note("nothing") is None
        stores = database.read_note("stores")
        assert isinstance(stores, list)
    members = [Member.from_wire(wire) for wire in stores]
    assert [member.to_wire() for member in members] == stored.STORES
    assert [(m.node, m.counted, m.incarnation) for m in members] == [("s0", True, 2), ("s1", False, 1)]


@test("records and notes written in two runs of the process are stored with the same bytes as before")
def _() -> None:
    with temporary_folder() as folder:
        with open_database(folder) as database:
            for wire in stored.RECORDS:
                database.put(Record.from_wire(wire, 0.0), 0.0)
        with open_database(folder) as database:
            for wire in stored.CHANGED:
                database.update(Record.from_wire(wire, 0.0), 0.0)
            database.delete("dropped")
            database.write_note("life", 1)
            database.write_note("stores", [Member.from_wire(wire).to_wire() for wire in stored.STORES])
        assert rows(folder) == rows(FOLDER / "records")


@test("the database of a simulated store is read, and written with the same content: {name}")
def _(name: str = each(*STORES)) -> None:
    expected = json.loads((FOLDER / f"{name}.json").read_text())
    for wire in expected["records"]:
        wire["body"] = None if wire["body"] is None else bytes.fromhex(wire["body"])
    with temporary_folder(name) as folder, open_database(folder, 0.0) as database:
        found = database.load(0.0)
        assert [record.to_wire(0.0, record.body) for record in found] == expected["records"]
        assert {key: database.read_note(key) for key in expected["notes"]} == expected["notes"]
    before = rows(FOLDER / name)
    bodies = {id: body for id, _, body in before["records"]}
    with temporary_folder() as folder:
        with open_database(folder, 0.0) as database:
            for record in found:
                record.body = bodies[record.id]
                database.put(record, 0.0)
            for key, value in expected["notes"].items():
                database.write_note(key, value)
        assert rows(folder) == before


@test("a stored control state is read, and written with the same bytes: {name}")
def _(name: str = each(*stored.ACCEPTORS)) -> None:
    wire = stored.ACCEPTORS[name]
    with temporary_folder(f"control-{name}") as folder:
        record = RecordStorage(folder, wire[0][0]).load()
        assert record is not None and record.to_wire() == wire
        assert read_state(folder) == record.state
    with temporary_folder() as folder:
        RecordStorage(folder, wire[0][0]).initialize(AcceptorRecord.from_wire(wire))
        written = {path.name: path.read_bytes() for path in folder.iterdir()}
    assert written == {path.name: path.read_bytes() for path in (FOLDER / f"control-{name}").iterdir()}


@test("fields of a stored control state and its open vote are decoded to their values")
def _() -> None:
    with temporary_folder("control-open-vote") as folder:
        record = RecordStorage(folder, "s1").load()
    assert record is not None and record.accepted is not None
    state, voters = record.state, tuple(Voter(node, identity) for node, identity in stored.VOTERS)
    assert (record.voter, record.founding_voter) == (voters[1], Voter("10.1.1.1:8002", ""))
    assert (state.version, state.epoch, state.voters) == (9, 4, voters)
    assert (state.revision, state.text, state.cluster) == (12, stored.TEXT, "d00dfeed")
    assert state.history == ((3, "a" * 16), (7, "b" * 16), (12, "c" * 16))
    assert (state.decommission_mark("s3"), state.decommission_mark("s4")) == (
        DecommissionMark.MARKED,
        DecommissionMark.EMPTY,
    )
    assert state.removed_members == ("s5",) and state.group == "c10e12ccdd48e003"
    assert (record.promised, record.accepted.ballot) == (Ballot(6, "s0-3-77"), Ballot(5, "s2-1-08"))
    assert record.accepted.batch == (
        Configure(13, b"{}"),
        MarkDecommission("s4", DecommissionMark.EMPTY),
        RemoveMember("s5"),
        ReadmitMember("s6"),
        SetVoters(4, voters[:2]),
    )
    with temporary_folder("control-unfounded") as folder:
        unfounded = RecordStorage(folder, "s0").load()
    assert unfounded is not None and unfounded.accepted is not None and unfounded.state.awaiting_founding
    assert unfounded.accepted.batch == (CreateVoterGroup(voters, "d00dfeed"),)


@test("the control state of a simulated store is read, and written with the same bytes: {name}")
def _(name: str = each(*STORES)) -> None:
    node = name.removeprefix("store-")
    with temporary_folder(name) as folder:
        record = RecordStorage(folder / "control", node).load()
    assert record is not None and record.active_voter is not None and record.state.revision == 3
    assert record.state.text and [revision for revision, _ in record.state.history] == [3]
    state = (FOLDER / name / "control" / "state.cbor").read_bytes()
    identity = (FOLDER / name / "control" / "identity.cbor").read_bytes()
    assert cbor2.dumps(record.state.to_wire()) == state
    with temporary_folder() as folder:
        RecordStorage(folder, node).initialize(record)
        assert (folder / "state.cbor").read_bytes() == state
        assert (folder / "identity.cbor").read_bytes() == identity


# Frames between processes.


@test("every method has a recorded request or notice, and an answer unless it is only a notice")
def _() -> None:
    recorded = {(each.method, each.kind) for each in recorded_frames()}
    for method in RpcMethod:
        assert (method, "request") in recorded or (method, "notice") in recorded, method
        assert (method, "answer") in recorded or method in NOTICES_ONLY, method
    assert {kind for _, kind in recorded} == {"greeting", "request", "answer", "notice", "failure"}
    listed = {each.file for each in recorded_frames()}
    assert listed == {path.name for path in (FOLDER / "frames").iterdir()}


@test("recorded frames decode, and encode to the same bytes")
def _() -> None:
    types = {
        "greeting": frames.Identify,
        "request": frames.Request,
        "answer": frames.Response,
        "notice": frames.Notification,
        "failure": frames.ErrorResponse,
    }
    for recorded in recorded_frames():
        frame = recorded.frame
        assert type(frame) is types[recorded.kind], recorded.file
        if isinstance(frame, frames.Request | frames.Notification):
            assert frame.method == recorded.method, recorded.file
        assert frames.encode(frame) == recorded.data, recorded.file
        assert rebuilt(frame) == frame and frames.encode(rebuilt(frame)) == recorded.data, recorded.file


def rebuilt(frame: frames.Frame) -> frames.Frame:
    """Return a frame constructed from the fields of another one, in their order."""
    return type(frame)(*(getattr(frame, name) for name in frame.__slots__))


@test("recorded frames received in one stream, in chunks, are separated as they were sent")
def _() -> None:
    reader, found = frames.FrameReader(), list[frames.Frame]()
    stream = b"".join(each.data for each in recorded_frames())
    for start in range(0, len(stream), 1000):
        found += reader.feed(stream[start : start + 1000])
    assert found == [each.frame for each in recorded_frames()]


@test("recorded requests and replies of the control state decode, and encode to the same payload")
def _() -> None:
    requests, replies = payloads("control state", "request"), payloads("control state", "answer")
    for wire in requests:
        assert request_from_wire(wire).to_wire() == wire
    for wire in replies:
        assert reply_from_wire(wire).to_wire() == wire
    kinds = {type(request_from_wire(wire)).__name__ for wire in requests}
    assert kinds == {"Prepare", "Accept", "Learn", "Install", "Read", "Fetch", "Submit"}
    kinds = {type(reply_from_wire(wire)).__name__ for wire in replies}
    assert kinds == {
        "Promise", "Accepted", "Rejected", "Chosen", "Snapshot", "Behind", "Learned", "ReadState", "Declined"
    }  # fmt: skip


@test("recorded copies of messages decode, and encode to the same keys and values")
def _() -> None:
    copies = payloads("keep", "request")
    for answer in payloads("records", "answer"):
        assert isinstance(answer, list)
        copies += answer
    assert len(copies) > 3
    for wire in copies:
        assert isinstance(wire, dict)
        assert list(Record.from_wire(wire, 0.0).to_wire(0.0, wire["body"]).items()) == list(wire.items())


@test("a recorded payload is found by method, kind and variant")
def _() -> None:
    assert payload("control state", "request", "fetch") == ["fetch"]
    assert payload("roster", "request") is None
    wire: object = payload("control state", "request", "install")
    assert isinstance(wire, list) and ControlState.from_wire(wire[1]).to_wire() == stored.CONTROL_STATE
