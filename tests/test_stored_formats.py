"""What earlier releases stored and sent is read, and what is written now is the same byte for byte.

The files lie under `tests/fixtures/stored`; its README says by which release they were written.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from emberlatch import Forwarder
from emberlatch.as2 import ledger, orders
from emberlatch.as2.evaluation import ProcessingStatus, Verdict
from emberlatch.as2.evidence import Evidence
from emberlatch.as2.ledger import Record
from emberlatch.as2.orders import Order
from emberlatch.core import interface as api
from emberlatch.core.interface import Outcome, Result
from emberlatch.inventory import last_good
from emberlatch.inventory.model import Endpoint, Inventory
from emberlatch.store import Entry, Folder, Journal, UnknownOutcome
from emberlatch.store.state_log import StateLog
from emberlatch.takeover import UnixConnection
from emberlatch.takeover.frames import HEADER, Frame
from emberlatch.takeover.messages import (
    VERSION,
    OwnershipTaken,
    RelayedOutcomes,
    StateSnapshot,
    TakeoverRequest,
)
from tests.core.harness import ForwarderHarness, make_settings

STORED = Path(__file__).parent / "fixtures" / "stored"
JOURNAL_BYTES = 4 * 1024 * 1024
STATE_LOG_BYTES = 256 * 1024
SENT_AT = 1_700_000_000.0  # Unix time in seconds
TERMS = '{"effect":1,"deadline":30.0}'


def files_of(folder: Path) -> dict[str, bytes]:
    """The files of a folder, by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def copy_of(name: str, folder: Path) -> Path:
    """A copy of a stored folder, which may be written to."""
    return Path(shutil.copytree(STORED / name, folder / name))


# The journal of messages.


def entries() -> list[Entry]:
    """An open message, one with unknown outcomes, one whose notice is not confirmed, and one that ended."""
    names = ("category-a", "tenant-a")
    return [
        Entry(1, "open", "", *names, 7, SENT_AT + 30.0, b"body of open", terms=TERMS),
        Entry(2, "in doubt", "key-2", *names, 8, SENT_AT + 40.5, b"\x00\xff\n{}", terms=TERMS),
        Entry(3, "ended", "", "category-b", "", 7, SENT_AT + 20.0, b"", terms=TERMS + " "),
        Entry(4, "over", "key-2", *names, 8, SENT_AT + 10.0, b"gone"),
    ]


def write_journal(folder: Path) -> None:
    """A journal that was written in two runs of the process."""
    waiting, uncertain, ended, over = entries()
    journal = Journal(Folder(folder), JOURNAL_BYTES)
    journal.load()
    for entry in (waiting, uncertain, ended, over):
        journal.add(entry)
    uncertain.attempts, uncertain.unknown_outcomes = (
        2,
        [UnknownOutcome(1, "e1@w/8", 0, SENT_AT), UnknownOutcome(2, "e2@w/8", 1, SENT_AT + 1.25)],
    )
    journal.update(uncertain)
    ended.attempts = 1
    ended.notice = {"id": "ended", "end": "delivered", "at": SENT_AT + 2.0}
    journal.update(ended)
    over.attempts = 1
    journal.update(over)
    journal.remove(over)
    journal.close()
    again = Journal(Folder(folder), JOURNAL_BYTES)
    reopened = {entry.ref: entry for entry in again.load()}
    reopened[1].attempts, reopened[1].unknown_outcomes = 1, [UnknownOutcome(1, "e3@w/7", 0, SENT_AT + 3.0)]
    again.update(reopened[1])
    again.add(Entry(5, "second run", "", "category-a", "tenant-a", 9, SENT_AT + 60.0, b"5", terms=TERMS))
    again.close()


def test_a_stored_journal_is_read(tmp_path: Path) -> None:
    journal = Journal(Folder(copy_of("journal", tmp_path)), JOURNAL_BYTES)
    found = {entry.ref: entry for entry in journal.load()}
    journal.close()
    waiting, uncertain, ended, _ = entries()
    waiting.attempts, waiting.unknown_outcomes = 1, [UnknownOutcome(1, "e3@w/7", 0, SENT_AT + 3.0)]
    uncertain.attempts, uncertain.unknown_outcomes = (
        2,
        [UnknownOutcome(1, "e1@w/8", 0, SENT_AT), UnknownOutcome(2, "e2@w/8", 1, SENT_AT + 1.25)],
    )
    ended.attempts, ended.notice = 1, {"id": "ended", "end": "delivered", "at": SENT_AT + 2.0}
    second = Entry(5, "second run", "", "category-a", "tenant-a", 9, SENT_AT + 60.0, b"5", terms=TERMS)
    assert found == {1: waiting, 2: uncertain, 3: ended, 5: second}


def test_a_journal_is_written_as_before(tmp_path: Path) -> None:
    write_journal(tmp_path)
    assert files_of(tmp_path) == files_of(STORED / "journal")


# The ledger of AS2, and the orders that were received by it.


def write_ledger(folder: Path) -> None:
    """A message without a receipt, one that was processed, one in dispute, and an unknown receipt."""
    evidence = Evidence(Folder(folder), 2 * STATE_LOG_BYTES, 86_400.0)
    evidence.load()
    for number, name in enumerate(("silent", "processed", "disputed", "forgotten"), 1):
        record = Record(f"{name}@us.example", number, name, "partner-a", "ab" * 32, "sha-256", SENT_AT)
        evidence.record_attempt(record, 1, "e1@w/7")
    evidence.record_verdict(
        "processed@us.example", Verdict(ProcessingStatus.PROCESSED), SENT_AT + 1.5, b"receipt one"
    )
    evidence.record_final_state(2, "delivered", SENT_AT + 1.75)
    evidence.record_attempt(
        Record("disputed@us.example", 3, "disputed", "partner-a", "", "", SENT_AT), 2, "e2@w/7"
    )
    evidence.record_final_state(3, "failed", SENT_AT + 30.0)
    evidence.record_verdict(
        "disputed@us.example", Verdict(ProcessingStatus.PROCESSED), SENT_AT + 31.0, b"receipt two"
    )
    evidence.record_unknown("partner-b", "nobody@us.example", SENT_AT + 40.0, b"receipt three")
    evidence.record_final_state(4, "refused", SENT_AT + 1.0)
    evidence.expire(SENT_AT + 86_402.0)
    evidence.close()


def test_a_stored_ledger_is_read(tmp_path: Path) -> None:
    evidence = Evidence(Folder(copy_of("as2-ledger", tmp_path)), 2 * STATE_LOG_BYTES, 86_400.0)
    evidence.load()
    found = {record.message_id: record for record in evidence.records()}
    names = ["silent@us.example", "disputed@us.example"]
    assert sorted(found) == sorted(names)
    silent, disputed = (found[name] for name in names)
    assert (silent.ref, silent.attempts, silent.status, silent.final_state) == (1, [(1, "e1@w/7")], "", "")
    assert disputed.attempts == [(1, "e1@w/7"), (2, "e2@w/7")]
    assert (disputed.status, disputed.status_at, disputed.final_state) == (
        ProcessingStatus.PROCESSED,
        SENT_AT + 31.0,
        "failed",
    )
    assert disputed.disputes == [ledger.FAILED_YET_PROCESSED.format("failed")]
    assert [evidence.receipt(name) for name in disputed.receipts] == [b"receipt two"]
    told = {dispute["original"]: dispute for dispute in evidence.disputes()}
    assert sorted(told) == ["disputed@us.example", "partner-b nobody@us.example"]
    assert told["partner-b nobody@us.example"]["at"] == SENT_AT + 40.0
    evidence.close()


def test_a_ledger_is_written_as_before(tmp_path: Path) -> None:
    write_ledger(tmp_path)
    assert files_of(tmp_path) == files_of(STORED / "as2-ledger")


def as2_orders() -> list[Order]:
    """An order that is coming, one that was taken, and one with a receipt that is owed."""
    coming = Order("o1@them.example", "partner-a", "as2-1", "cd" * 32, "sha-256", SENT_AT)
    taken = Order("o2@them.example", "partner-a", "as2-2", "ef" * 32, "sha-256", SENT_AT + 1.0, True)
    owed = Order("o3@them.example", "partner-b", "as2-3", "", "", SENT_AT + 2.0, True, "processed", "error")
    owed.text, owed.receipt_digest, owed.receipt_pending = "decryption-failed", "sha-512", True
    return [coming, taken, owed]


def write_orders(folder: Path) -> None:
    """The log of orders, one of which was forgotten."""
    log = StateLog(Folder(folder), STATE_LOG_BYTES)
    log.load()
    for order in as2_orders():
        log.put(orders.make_storage_key(order.partner, order.message_id), order.document())
    gone = Order("o4@them.example", "partner-b", "as2-4", "", "", SENT_AT)
    log.put(orders.make_storage_key(gone.partner, gone.message_id), gone.document())
    log.remove(orders.make_storage_key(gone.partner, gone.message_id))
    log.close()


def test_stored_orders_are_read(tmp_path: Path) -> None:
    log = StateLog(Folder(copy_of("as2-orders", tmp_path)), STATE_LOG_BYTES)
    log.load()
    found = {key: orders.read(state) for key, state in log.states.items()}
    log.close()
    assert found == {
        orders.make_storage_key(order.partner, order.message_id): order for order in as2_orders()
    }


def test_orders_are_written_as_before(tmp_path: Path) -> None:
    write_orders(tmp_path)
    assert files_of(tmp_path) == files_of(STORED / "as2-orders")


# The last good inventory.


def inventory() -> Inventory:
    """Endpoints with every field in use."""
    return Inventory(
        [
            Endpoint("e1", ("10.0.0.1", 8080), "partner-a", 7, "orders", "east"),
            Endpoint(
                "e2", ("fd00::2", 8443), "partner-a", 7, "orders", "west", "as2", 12.5, True, ("x", "y=1")
            ),
            Endpoint("e3", ("host.example", 80), "partner-ü", 1_000_000_123, "invoices", "east"),
        ]
    )


def write_inventory(folder: Path) -> None:
    """The file of the last good set."""
    last_good.save(folder, inventory(), SENT_AT + 0.5)


def test_a_stored_inventory_is_read(tmp_path: Path) -> None:
    found = last_good.load(copy_of("inventory", tmp_path))
    assert found is not None
    assert found.inventory == inventory() and found.taken_at == SENT_AT + 0.5
    assert list(found.inventory.endpoints.values()) == list(inventory().endpoints.values())


def test_an_inventory_is_written_as_before(tmp_path: Path) -> None:
    write_inventory(tmp_path)
    assert files_of(tmp_path) == files_of(STORED / "inventory")


# What one process hands over to the next: frames on a Unix socket.

TAKEN_OVER_AT = 101.5  # the time of the loop at which the state was handed over
KNOWN = {"members": [{"target": "e1@w/7", "address": ["10.0.0.1", 8080]}], "version": 3}
OUTCOMES = (
    Outcome(5, 2, b"e1@w/7", Result.OK, 0.25, True),
    Outcome(6, 1, b"e2@w/8", Result.FULL, 0.125, False, 1.5, 3, (0.5, 2.0)),
)


def module_state() -> dict[str, Any]:
    """What a decision module has learnt in seconds of traffic, with calls in flight and messages queued."""
    fates = (Result.OK, Result.OK, Result.TIMEOUT, Result.RESET, None)
    harness = ForwarderHarness(
        make_settings(separate=True), 10, lambda harness, _: harness.random.choice(fates)
    )

    def arrivals() -> list[api.Event]:
        return [harness.arrive(harness.random.randrange(4), harness.random.randrange(3), n) for n in range(3)]

    for _ in range(15):
        harness.advance(0.1, arrivals)
    return harness.forwarder.handover_state()


async def sent(module: dict[str, Any]) -> bytes:
    """The frames of a takeover, in both directions one behind the other."""
    ours, theirs = socket.socketpair()
    connection = UnixConnection(ours)
    state = StateSnapshot(module, [("partner-a", 100.5), (7, 101.25)], KNOWN)
    for message in (TakeoverRequest(), state, OwnershipTaken(), RelayedOutcomes(OUTCOMES)):
        await connection.send(message.kind, message.to_body())
    connection.close()
    data = b""
    while piece := theirs.recv(1 << 20):
        data += piece
    theirs.close()
    return data


def write_takeover(folder: Path) -> None:
    """The frames as they go over the socket."""
    (folder / "frames.bin").write_bytes(asyncio.run(sent(module_state())))


async def received(data: bytes) -> list[Frame]:
    """The frames that a process reads from these bytes."""
    ours, theirs = socket.socketpair()
    connection = UnixConnection(ours)
    theirs.sendall(data)
    theirs.close()
    frames = []
    while (frame := await connection.receive()) is not None:
        frames.append(frame)
    connection.close()
    return frames


def stored_frames() -> Iterator[bytes]:
    """The bytes of each stored frame."""
    data = (STORED / "takeover" / "frames.bin").read_bytes()
    while data:
        length, _ = HEADER.unpack_from(data)
        yield data[: HEADER.size + length]
        data = data[HEADER.size + length :]


def stored_state() -> dict[str, Any]:
    """The state that was handed over."""
    frame: dict[str, Any] = json.loads(list(stored_frames())[1][HEADER.size :])
    return frame


def test_stored_takeover_frames_are_read() -> None:
    take, state, have, outcomes = asyncio.run(received(b"".join(stored_frames())))
    assert (take.kind, take.body["version"]) == ("take", VERSION)
    assert (state.kind, state.body["version"]) == ("state", VERSION)
    assert have.kind == "have" and outcomes.kind == "outcomes"
    snapshot = StateSnapshot.from_body(state.body)
    module = snapshot.module
    assert module["pools"] and module["messages"] and module["calls"] and module["rests"]
    assert state.body["known"] == snapshot.endpoint_list == KNOWN
    assert snapshot.blocked_until == [("partner-a", 100.5), (7, 101.25)]
    calls = [(ref, attempt) for call in module["calls"] for ref, attempt, _ in call["messages"]]
    assert [(ref, attempt) for ref, attempt, _ in snapshot.relayed_attempts()] == calls
    assert RelayedOutcomes.from_body(outcomes.body).outcomes == OUTCOMES


def test_takeover_frames_are_written_as_before() -> None:
    assert asyncio.run(sent(stored_state()["module"])) == b"".join(stored_frames())


def test_a_module_continues_from_a_stored_state_and_hands_over_the_same() -> None:
    state = stored_state()["module"]
    harness = ForwarderHarness(make_settings(separate=True), 10, lambda *_: None)
    forwarder = Forwarder(harness.settings, 10)
    listed = api.DirectoryUpdate(api.ListKind.CACHED, 1, tuple(harness.entries.values()))
    forwarder.handle(TAKEN_OVER_AT, [listed, api.HandoverReceived(state)])
    handed_over = json.loads(json.dumps(forwarder.handover_state()))
    assert handed_over.pop("messages") == []  # the journal tells which there are
    assert handed_over == {name: value for name, value in state.items() if name != "messages"}
    assert list(handed_over) == [name for name in state if name != "messages"]
