"""The engine: creation and `connect`, use before `connect`, and actions that wait for a sync."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from pathlib import Path

import pytest

from emberlatch.core import interface as api
from emberlatch.engine import (
    REAL_MACHINE,
    Address,
    CallItem,
    CompletionNotice,
    DurableClasses,
    Engine,
    EnginePorts,
    EnginePortsError,
    Submission,
    Tasks,
)
from emberlatch.engine.engine import EngineStatus
from emberlatch.store import Folder, Journal

TARGET, DESTINATION = b"t", 7
SETTINGS = api.Settings((api.Category("order", api.Effect.UNSAFE, 4.0, 24.0),), 10, 20)
JOURNAL_BYTES = 3_000_000


class FakePorts:
    """All ports of an engine in one object, which records the calls."""

    notifies_deliveries = True
    in_flight = 0
    pending = False
    has_clients = False

    def __init__(self) -> None:
        self.port_calls: list[str] = []
        self.calls: list[CallItem] = []
        self.notices: list[CompletionNotice] = []

    def start(self) -> None:
        self.port_calls.append("start")

    def stop(self) -> None:
        self.port_calls.append("stop")

    def close_listener(self) -> None:
        self.port_calls.append("close_listener")

    def update(
        self, entries: Sequence[api.Entry], addresses: Mapping[api.Target, Address], is_complete: bool
    ) -> None:
        self.port_calls.append("update")

    def entry(self, target: api.Target) -> api.Entry | None:
        return api.Entry(target, DESTINATION)

    def call(self, target: api.Target, items: list[CallItem]) -> None:
        self.calls += items

    def cancel(self, ref: int, attempt: int) -> None:
        self.port_calls.append("cancel")

    def close_idle(self, target: api.Target) -> None:
        self.port_calls.append("close_idle")

    def set_watching(self, active: bool) -> None:
        self.port_calls.append("set_watching")

    def request_list(self) -> None:
        self.port_calls.append("request_list")

    def add(self, ref: int, notice: CompletionNotice) -> None:
        self.notices.append(notice)


class FakeResponder:
    client_disconnected = False

    def __init__(self) -> None:
        self.responses: list[str] = []

    def respond_accepted(self) -> None:
        self.responses.append("accepted")

    def respond_rejected(self, retry_after: float) -> None:
        self.responses.append("rejected")

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        self.responses.append("unavailable")

    def respond_failed(self) -> None:
        self.responses.append("failed")


def make_engine(folder: Path) -> Engine:
    return Engine(SETTINGS, 1, Journal(Folder(folder), JOURNAL_BYTES), Tasks())


class FakeIngress(FakePorts):
    def __init__(self, name: str, started: list[str]) -> None:
        super().__init__()
        self.name, self.started = name, started

    def start(self) -> None:
        self.started.append(self.name)


def make_ports(ingresses: Sequence[FakePorts] = ()) -> tuple[EnginePorts, FakePorts]:
    ports = FakePorts()
    return EnginePorts(ingresses, ports, ports, ports), ports


def list_target(engine: Engine) -> None:
    update = api.DirectoryUpdate(api.ListKind.FULL, 1, (api.Entry(TARGET, DESTINATION),))
    engine.on_membership_update(update, {TARGET: ("h", 1)})


def submit(engine: Engine) -> FakeResponder:
    responder = FakeResponder()
    engine.submit(Submission("m1", "", "order", "", DESTINATION, 20.0, b"x"), responder)
    return responder


def outcome(ref: int = 1, attempt: int = 0) -> api.Outcome:
    return api.Outcome(ref, attempt, TARGET, api.Result.OK, 0.1, is_final=True)


def test_start_without_ports_raises_an_error_that_names_the_missing_ports(tmp_path: Path) -> None:
    async def test() -> None:
        engine = make_engine(tmp_path)
        with pytest.raises(
            EnginePortsError, match="no ingresses, carrier, membership and notifier yet: connect"
        ):
            await engine.start()

    asyncio.run(test())
    assert list(tmp_path.iterdir()) == []  # no journal file was created


@pytest.mark.parametrize(
    "report",
    [
        list_target,
        lambda engine: engine.on_attempt_outcome(outcome()),
        lambda engine: engine.on_notices_confirmed([1]),
    ],
)
def test_a_report_to_an_engine_without_ports_raises_an_error(
    tmp_path: Path, report: Callable[[Engine], None]
) -> None:
    async def test() -> None:
        with pytest.raises(EnginePortsError):
            report(make_engine(tmp_path))

    asyncio.run(test())


def test_a_decision_without_ports_fails_and_keeps_its_event(tmp_path: Path) -> None:
    async def test() -> None:
        engine = make_engine(tmp_path)
        errors: list[BaseException | None] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context.get("exception"))
        )
        engine.on_directory_address_changed()
        await asyncio.sleep(0)
        assert [type(error) for error in errors] == [EnginePortsError] and engine._events

    asyncio.run(test())


def test_a_second_connect_raises_an_error_and_leaves_the_first_ports(tmp_path: Path) -> None:
    async def test() -> None:
        engine, (ports, recorded), (other, other_recorded) = (
            make_engine(tmp_path),
            make_ports(),
            make_ports(),
        )
        engine.connect(ports)
        with pytest.raises(EnginePortsError, match="already"):
            engine.connect(other)
        await engine.start()
        assert recorded.port_calls[0] == "start" and other_recorded.port_calls == []

    asyncio.run(test())


def test_a_connected_engine_starts_its_ingresses_in_order_and_delivers_a_message(tmp_path: Path) -> None:
    async def test() -> None:
        engine, started = make_engine(tmp_path), list[str]()
        ports, recorded = make_ports([FakeIngress("first", started), FakeIngress("second", started)])
        engine.connect(ports)
        list_target(engine)
        await engine.start()
        assert started == ["first", "second"]
        responder = submit(engine)
        await asyncio.sleep(0)
        (item,) = recorded.calls
        assert responder.responses == ["accepted"] and item.id == "m1"
        engine.on_attempt_outcome(outcome(item.ref, item.attempt))
        assert recorded.notices == [{"ref": "m1", "result": "delivered"}]
        engine.on_notices_confirmed([item.ref])
        assert not engine.messages.open_messages and not engine.messages.completed

    asyncio.run(test())


class BlockingDisk:
    """A disk whose syncs block until `may_end` is set, and then fail with `failure` if that is set."""

    def __init__(self) -> None:
        self.may_end = asyncio.Event()
        self.failure: OSError | None = None

    async def run(self, job: Callable[[], None]) -> None:
        await self.may_end.wait()
        if self.failure is not None:
            raise self.failure
        job()


async def start_durable(
    folder: Path, disk: BlockingDisk, failures: list[OSError]
) -> tuple[Engine, FakePorts]:
    classes = DurableClasses(frozenset({"order"}), failures.append)
    journal = Journal(Folder(folder), JOURNAL_BYTES, durable=classes.any)
    engine = Engine(SETTINGS, 1, journal, Tasks(), replace(REAL_MACHINE, offload=disk.run), classes)
    ports, recorded = make_ports()
    engine.connect(ports)
    list_target(engine)
    await engine.start()
    return engine, recorded


async def run_ready_callbacks() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def test_a_message_of_a_durable_class_is_accepted_and_sent_after_a_sync(tmp_path: Path) -> None:
    async def test() -> None:
        disk = BlockingDisk()
        engine, recorded = await start_durable(tmp_path, disk, [])
        responder = submit(engine)
        await run_ready_callbacks()
        assert responder.responses == [] and recorded.calls == [] and engine.messages.is_open("m1")
        disk.may_end.set()
        await run_ready_callbacks()
        assert responder.responses == ["accepted"] and [item.id for item in recorded.calls] == ["m1"]

    asyncio.run(test())


def test_an_attempt_that_is_cancelled_before_its_sync_is_not_sent_and_counts_as_not_executed(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        disk = BlockingDisk()
        engine, recorded = await start_durable(tmp_path, disk, [])
        submit(engine)
        await run_ready_callbacks()
        (entry,) = engine.messages.open_messages.values()
        assert [each.attempt for each in entry.unknown_outcomes] == [0]
        engine._execute(api.Cancel(entry.ref, 0), {})
        disk.may_end.set()
        await run_ready_callbacks()
        assert entry.unknown_outcomes == [] and recorded.calls == [] and "cancel" not in recorded.port_calls
        # `bounced` means not executed: the client may submit the message again.
        assert [notice["result"] for notice in recorded.notices] == ["bounced"]

    asyncio.run(test())


def test_after_a_failed_sync_no_message_is_accepted_and_the_failure_is_reported(tmp_path: Path) -> None:
    async def test() -> None:
        disk, failures = BlockingDisk(), list[OSError]()
        engine, recorded = await start_durable(tmp_path, disk, failures)
        responder = submit(engine)
        disk.failure = OSError("disk failed")
        disk.may_end.set()
        await run_ready_callbacks()
        assert failures == [disk.failure] and responder.responses == [] and recorded.calls == []

    asyncio.run(test())


def test_the_status_has_the_documented_keys_and_counts(tmp_path: Path) -> None:
    async def test() -> None:
        engine, (ports, _) = make_engine(tmp_path), make_ports()
        engine.connect(ports)
        list_target(engine)
        await engine.start()
        submit(engine)
        await asyncio.sleep(0)
        status = engine.status()
        assert list(status) == [
            *("held", "notices_owed", "counts"),
            *("slots", "slots_free", "open", "endpoints", "destinations", "pools"),
        ]
        assert set(status) == EngineStatus.__required_keys__ and not EngineStatus.__optional_keys__
        assert (status["held"], status["notices_owed"], status["counts"]) == (1, 0, {"accepted": 1})
        assert (status["slots"], status["slots_free"], status["open"]) == (10, 9, 1)

    asyncio.run(test())
