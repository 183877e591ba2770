"""Data that earlier releases stored or sent can be read, and the current code writes the same bytes.

The files are under `tests/fixtures/stored`; the README there says which release wrote them.
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


def read_files(folder: Path) -> dict[str, bytes]:
    """Return the content of the files of a folder, by name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def copy_stored(name: str, folder: Path) -> Path:
    """Return a writable copy of a stored folder."""
    return Path(shutil.copytree(STORED / name, folder / name))


# The message journal.


def make_entries() -> list[Entry]:
    """Return four messages: open, with unknown outcomes, with an unconfirmed notice, and completed."""
    names = ("category-a", "tenant-a")
    return [
        Entry(1, "open", "", *names, 7, SENT_AT + 30.0, b"body of open", terms=TERMS),
        Entry(2, "in doubt", "key-2", *names, 8, SENT_AT + 40.5, b"\x00\xff\n{}", terms=TERMS),
        Entry(3, "ended", "", "category-b", "", 7, SENT_AT + 20.0, b"", terms=TERMS + " "),
        Entry(4, "over", "key-2", *names, 8, SENT_AT + 10.0, b"gone"),
    ]


def write_journal(folder: Path) -> None:
    """Write a journal as two consecutive runs of the process do."""
    waiting, uncertain, ended, removed = make_entries()
    journal = Journal(Folder(folder), JOURNAL_BYTES)
    journal.load()
    for entry in (waiting, uncertain, ended, removed):
        journal.add(entry)
    uncertain.attempts, uncertain.unknown_outcomes = (
        2,
        [UnknownOutcome(1, "e1@w/8", 0, SENT_AT), UnknownOutcome(2, "e2@w/8", 1, SENT_AT + 1.25)],
    )
    journal.update(uncertain)
    ended.attempts = 1
    ended.notice = {"id": "ended", "end": "delivered", "at": SENT_AT + 2.0}
    journal.update(ended)
    removed.attempts = 1
    journal.update(removed)
    journal.remove(removed)
    journal.close()
    second_journal = Journal(Folder(folder), JOURNAL_BYTES)
    reopened = {entry.ref: entry for entry in second_journal.load()}
    reopened[1].attempts, reopened[1].unknown_outcomes = 1, [UnknownOutcome(1, "e3@w/7", 0, SENT_AT + 3.0)]
    second_journal.update(reopened[1])
    second_journal.add(
        Entry(5, "second run", "", "category-a", "tenant-a", 9, SENT_AT + 60.0, b"5", terms=TERMS)
    )
    second_journal.close()


def test_stored_journal_gives_the_entries_that_were_written(tmp_path: Path) -> None:
    journal = Journal(Folder(copy_stored("journal", tmp_path)), JOURNAL_BYTES)
    found = {entry.ref: entry for entry in journal.load()}
    journal.close()
    waiting, uncertain, ended, _ = make_entries()
    waiting.attempts, waiting.unknown_outcomes = 1, [UnknownOutcome(1, "e3@w/7", 0, SENT_AT + 3.0)]
    uncertain.attempts, uncertain.unknown_outcomes = (
        2,
        [UnknownOutcome(1, "e1@w/8", 0, SENT_AT), UnknownOutcome(2, "e2@w/8", 1, SENT_AT + 1.25)],
    )
    ended.attempts, ended.notice = 1, {"id": "ended", "end": "delivered", "at": SENT_AT + 2.0}
    second = Entry(5, "second run", "", "category-a", "tenant-a", 9, SENT_AT + 60.0, b"5", terms=TERMS)
    assert found == {1: waiting, 2: uncertain, 3: ended, 5: second}


def test_journal_is_written_byte_for_byte_as_stored(tmp_path: Path) -> None:
    write_journal(tmp_path)
    assert read_files(tmp_path) == read_files(STORED / "journal")


# The AS2 ledger, and the orders received over AS2.


def write_ledger(folder: Path) -> None:
    """Write a ledger with an open, a processed, a disputed and a refused message and an unknown receipt."""
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


def test_stored_ledger_gives_records_and_disputes(tmp_path: Path) -> None:
    evidence = Evidence(Folder(copy_stored("as2-ledger", tmp_path)), 2 * STATE_LOG_BYTES, 86_400.0)
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
    disputes = {dispute["original"]: dispute for dispute in evidence.disputes()}
    assert sorted(disputes) == ["disputed@us.example", "partner-b nobody@us.example"]
    assert disputes["partner-b nobody@us.example"]["at"] == SENT_AT + 40.0
    evidence.close()


def test_ledger_is_written_byte_for_byte_as_stored(tmp_path: Path) -> None:
    write_ledger(tmp_path)
    assert read_files(tmp_path) == read_files(STORED / "as2-ledger")


def make_orders() -> list[Order]:
    """Return an order that is not accepted yet, an accepted one, and one whose receipt is pending."""
    incoming = Order("o1@them.example", "partner-a", "as2-1", "cd" * 32, "sha-256", SENT_AT)
    accepted = Order("o2@them.example", "partner-a", "as2-2", "ef" * 32, "sha-256", SENT_AT + 1.0, True)
    answered = Order(
        "o3@them.example", "partner-b", "as2-3", "", "", SENT_AT + 2.0, True, "processed", "error"
    )
    answered.text, answered.receipt_digest, answered.receipt_pending = "decryption-failed", "sha-512", True
    return [incoming, accepted, answered]


def write_orders(folder: Path) -> None:
    """Write the log of the orders, with one more that was removed."""
    log = StateLog(Folder(folder), STATE_LOG_BYTES)
    log.load()
    for order in make_orders():
        log.put(orders.make_storage_key(order.partner, order.message_id), order.document())
    removed = Order("o4@them.example", "partner-b", "as2-4", "", "", SENT_AT)
    log.put(orders.make_storage_key(removed.partner, removed.message_id), removed.document())
    log.remove(orders.make_storage_key(removed.partner, removed.message_id))
    log.close()


def test_stored_orders_equal_the_orders_that_were_written(tmp_path: Path) -> None:
    log = StateLog(Folder(copy_stored("as2-orders", tmp_path)), STATE_LOG_BYTES)
    log.load()
    found = {key: orders.read(state) for key, state in log.states.items()}
    log.close()
    assert found == {
        orders.make_storage_key(order.partner, order.message_id): order for order in make_orders()
    }


def test_orders_are_written_byte_for_byte_as_stored(tmp_path: Path) -> None:
    write_orders(tmp_path)
    assert read_files(tmp_path) == read_files(STORED / "as2-orders")


# The last valid inventory.


def make_inventory() -> Inventory:
    """Return an inventory in which every endpoint field is in use."""
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
    """Write the file of the last valid inventory."""
    last_good.save(folder, make_inventory(), SENT_AT + 0.5)


def test_stored_inventory_equals_the_one_that_was_written(tmp_path: Path) -> None:
    found = last_good.load(copy_stored("inventory", tmp_path))
    assert found is not None
    assert found.inventory == make_inventory() and found.taken_at == SENT_AT + 0.5
    assert list(found.inventory.endpoints.values()) == list(make_inventory().endpoints.values())


def test_inventory_is_written_byte_for_byte_as_stored(tmp_path: Path) -> None:
    write_inventory(tmp_path)
    assert read_files(tmp_path) == read_files(STORED / "inventory")


# The takeover of a process by its successor: frames on a Unix socket.

TAKEN_OVER_AT = 101.5  # event loop time, in seconds, at which the state was handed over
KNOWN = {"members": [{"target": "e1@w/7", "address": ["10.0.0.1", 8080]}], "version": 3}
OUTCOMES = (
    Outcome(5, 2, b"e1@w/7", Result.OK, 0.25, True),
    Outcome(6, 1, b"e2@w/8", Result.FULL, 0.125, False, 1.5, 3, (0.5, 2.0)),
)


def make_module_state() -> dict[str, Any]:
    """Return the state of a decision module after 1.5 s of traffic: calls in flight, messages queued."""
    results = (Result.OK, Result.OK, Result.TIMEOUT, Result.RESET, None)
    harness = ForwarderHarness(
        make_settings(separate=True), 10, lambda harness, _: harness.random.choice(results)
    )

    def arrivals() -> list[api.Event]:
        return [harness.arrive(harness.random.randrange(4), harness.random.randrange(3), n) for n in range(3)]

    for _ in range(15):
        harness.advance(0.1, arrivals)
    return harness.forwarder.handover_state()


async def takeover_bytes(module: dict[str, Any]) -> bytes:
    """Return the bytes of all frames of a takeover, those of both directions in one sequence."""
    local, remote = socket.socketpair()
    connection = UnixConnection(local)
    state = StateSnapshot(module, [("partner-a", 100.5), (7, 101.25)], KNOWN)
    for message in (TakeoverRequest(), state, OwnershipTaken(), RelayedOutcomes(OUTCOMES)):
        await connection.send(message.kind, message.to_body())
    connection.close()
    data = b""
    while chunk := remote.recv(1 << 20):
        data += chunk
    remote.close()
    return data


def write_takeover(folder: Path) -> None:
    """Write the frames to a file as they are sent over the socket."""
    (folder / "frames.bin").write_bytes(asyncio.run(takeover_bytes(make_module_state())))


async def receive_frames(data: bytes) -> list[Frame]:
    """Return the frames that a process reads from these bytes."""
    local, remote = socket.socketpair()
    connection = UnixConnection(local)
    remote.sendall(data)
    remote.close()
    frames = []
    while (frame := await connection.receive()) is not None:
        frames.append(frame)
    connection.close()
    return frames


def stored_frames() -> Iterator[bytes]:
    """Yield the bytes of each stored frame."""
    data = (STORED / "takeover" / "frames.bin").read_bytes()
    while data:
        length, _ = HEADER.unpack_from(data)
        yield data[: HEADER.size + length]
        data = data[HEADER.size + length :]


def stored_state() -> dict[str, Any]:
    """Return the state snapshot of the stored takeover."""
    frame: dict[str, Any] = json.loads(list(stored_frames())[1][HEADER.size :])
    return frame


def test_stored_takeover_frames_give_the_messages_that_were_sent() -> None:
    request, state, ownership, outcomes = asyncio.run(receive_frames(b"".join(stored_frames())))
    assert (request.kind, request.body["version"]) == ("take", VERSION)
    assert (state.kind, state.body["version"]) == ("state", VERSION)
    assert ownership.kind == "have" and outcomes.kind == "outcomes"
    snapshot = StateSnapshot.from_body(state.body)
    module = snapshot.module
    assert module["pools"] and module["messages"] and module["calls"] and module["rests"]
    assert state.body["known"] == snapshot.endpoint_list == KNOWN
    assert snapshot.blocked_until == [("partner-a", 100.5), (7, 101.25)]
    calls = [(ref, attempt) for call in module["calls"] for ref, attempt, _ in call["messages"]]
    assert [(ref, attempt) for ref, attempt, _ in snapshot.relayed_attempts()] == calls
    assert RelayedOutcomes.from_body(outcomes.body).outcomes == OUTCOMES


def test_takeover_frames_are_written_byte_for_byte_as_stored() -> None:
    assert asyncio.run(takeover_bytes(stored_state()["module"])) == b"".join(stored_frames())


def test_module_started_from_a_stored_state_hands_over_the_same_state() -> None:
    state = stored_state()["module"]
    harness = ForwarderHarness(make_settings(separate=True), 10, lambda *_: None)
    forwarder = Forwarder(harness.settings, 10)
    listed = api.DirectoryUpdate(api.ListKind.CACHED, 1, tuple(harness.entries.values()))
    forwarder.handle(TAKEN_OVER_AT, [listed, api.HandoverReceived(state)])
    handed_over = json.loads(json.dumps(forwarder.handover_state()))
    assert handed_over.pop("messages") == []  # open messages are stored in the journal instead
    assert handed_over == {name: value for name, value in state.items() if name != "messages"}
    assert list(handed_over) == [name for name in state if name != "messages"]
