"""Power losses: messages of durable categories survive, and planted bugs in durability are detected."""

from __future__ import annotations

import contextlib
import copy
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest

from emberlatch.engine import CallItem, CompletionNotice, Engine
from emberlatch.engine.completions import CompletionResult, Completions
from emberlatch.engine.deliveries import Deliveries
from emberlatch.engine.durability import DurabilityGate
from emberlatch.faults.disk import BLOCK_BYTES, Disk
from emberlatch.faults.power_loss import CATEGORY_NAMES, PowerLossEnvironment, play
from emberlatch.store import Entry, GroupSync, Journal
from emberlatch.store.segments import SegmentFiles


@pytest.fixture(autouse=True)
def suppress_log(caplog: pytest.LogCaptureFixture) -> Iterator[None]:
    with caplog.at_level("CRITICAL"):
        yield


def count_breaches(durable: frozenset[str], seeds: Iterable[int]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for seed in seeds:
        environment = play(seed, durable)
        assert environment.loop.failures == [], seed
        counts += environment.breaches()
    return counts


@pytest.mark.parametrize("first", range(0, 80, 20))
def test_power_losses_break_no_rule_if_all_categories_are_durable(first: int) -> None:
    assert count_breaches(CATEGORY_NAMES, range(first, first + 20)) == {}


def test_power_losses_break_rules_if_no_category_is_durable() -> None:
    assert {"lost", "twice", "two ends"} <= set(count_breaches(frozenset(), range(20)))


def test_durable_category_survives_beside_categories_that_are_not_durable() -> None:
    for seed in range(10):
        environment = play(seed, frozenset({"order"}))
        for name, message in environment.messages.items():
            if message.category == "order":
                assert message.accepted_at == float("inf") or len(set(message.completions)) == 1
                assert environment.keys.effects.get(name, 0) <= 1


def test_failed_sync_ends_the_process_and_the_next_one_breaks_no_rule() -> None:
    for seed in range(10):
        environment = play(seed, failing_syncs=1)
        assert (
            environment.failed_sync_count == 1
            and environment.breaches() == {}
            and environment.loop.failures == []
        )


def test_power_loss_keeps_synced_data_and_a_random_part_of_the_rest() -> None:
    outcomes: Counter[str] = Counter()
    for seed in range(300):
        disk, rng = Disk(), random.Random(seed)
        handle = disk.append_to("a")
        disk.write(handle, memoryview(b"s" * 700))
        disk.sync(handle)
        disk.sync_folder()
        disk.write(handle, memoryview(b"u" * 1500))
        disk.append_to("new")
        disk.power_loss(rng)
        data = bytes(disk.files["a"])
        assert data[:700] == b"s" * 700
        tail = data[700:]
        outcomes["whole"] += tail == b"u" * 1500
        outcomes["none"] += tail == b""
        outcomes["torn"] += 0 < len(tail) < 1500
        outcomes["hole"] += len(tail) == 1500 and b"\0" in tail.rstrip(b"\0")
        outcomes["longer"] += len(tail) > 1500 and len(tail) <= 1500 + BLOCK_BYTES
        outcomes["new file"] += "new" in disk.files
    assert (
        all(outcomes[kind] for kind in ("whole", "none", "torn", "hole", "longer"))
        and 0 < outcomes["new file"] < 300
    )


def test_file_survives_after_a_folder_sync_and_a_slow_sync_covers_only_data_from_before_its_start() -> None:
    disk = Disk()
    handle = disk.append_to("a")
    disk.write(handle, memoryview(b"one"))
    disk.sizes_at_sync_start = disk.sizes()
    disk.write(handle, memoryview(b"two"))
    disk.sync(handle)
    disk.sync_folder()
    disk.sizes_at_sync_start = None
    kept = {bytes(_files_after_power_loss(disk, seed)["a"]) for seed in range(60)}
    assert all(data.startswith(b"one") for data in kept) and b"one" in kept and b"onetwo" in kept


def _files_after_power_loss(disk: Disk, seed: int) -> dict[str, bytearray]:
    copied = copy.deepcopy(disk)
    copied._synced_bytes = {id(copied.files["a"]): disk._synced_bytes[id(disk.files["a"])]}
    copied.power_loss(random.Random(seed))
    return copied.files


# Planted bugs, each of which seeded runs detect.


def answers_before_the_sync(patch: Callable[..., None]) -> None:
    patch(DurabilityGate, "when_durable", lambda self, categories, action: action())


def calls_before_the_sync(patch: Callable[..., None]) -> None:
    def start_call(self: Deliveries, target: bytes, items: list[CallItem]) -> None:
        self._carrier.call(target, items)

    patch(Deliveries, "_start_call", start_call)


def tells_ends_before_the_sync(patch: Callable[..., None]) -> None:
    """Completion notices are sent before the completion is synced."""

    def complete(
        self: Completions, entry: Entry, result: CompletionResult, wait_ms: int | None = None
    ) -> None:
        notice = CompletionNotice(ref=entry.id, result=result.value)
        if wait_ms is not None:
            notice["wait_ms"] = wait_ms
        entry.notice = dict(notice)
        self._messages.complete(entry)
        self._notifier.add(entry.ref, notice)

    patch(Completions, "complete", complete)


def never_syncs_the_folder(patch: Callable[..., None]) -> None:
    patch(Disk, "sync_folder", lambda self: None)


def syncs_only_the_newest_segment(patch: Callable[..., None]) -> None:
    def prepare_sync(self: Journal) -> Callable[[], None]:
        segments = self._segments
        handle, segments._dirty, segments._names_changed = segments.handle, {}, False

        def sync() -> None:
            segments._files.sync(handle)
            segments._files.sync_folder()

        return sync

    patch(Journal, "prepare_sync", prepare_sync)


def removes_the_old_copy_first(patch: Callable[..., None]) -> None:
    """Compaction removes a segment and syncs the folder before the copies of its records are synced."""
    compact = Journal._compact

    def early(self: Journal) -> None:
        segments = self._segments
        durable, segments.durable = segments.durable, False
        dirty = segments.handle
        compact(self)
        segments.durable = durable
        segments._dirty[segments.handle] = segments._dirty[dirty] = None
        segments._files.sync_folder()

    patch(Journal, "_compact", early)


def believes_the_page_cache(patch: Callable[..., None]) -> None:
    """A failed sync counts as successful.

    A retry of the sync would have the same effect: the kernel has dropped the unwritten pages, and reports
    success.
    """

    async def run(self: GroupSync) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            with contextlib.suppress(OSError):
                await self._offload(self._source.prepare_sync())
            self._source.on_synced()
            for then in batch:
                then()
        self._task = None

    patch(GroupSync, "_run", run)


def goes_by_what_an_earlier_life_did_not_sync(patch: Callable[..., None]) -> None:
    """A process uses unsynced records of an earlier process, and does not sync them."""
    patch(SegmentFiles, "sync_existing", lambda self: None)


def reads_doubts_as_never_run(patch: Callable[..., None]) -> None:
    """Recovery treats messages with unknown outcomes as never sent."""
    recover = Engine._recover

    def clean(self: Engine, entry: Entry, now: float) -> None:
        entry.unknown_outcomes, entry.attempts = [], 0
        recover(self, entry, now)

    patch(Engine, "_recover", clean)


BUGS = (
    answers_before_the_sync,
    calls_before_the_sync,
    tells_ends_before_the_sync,
    never_syncs_the_folder,
    syncs_only_the_newest_segment,
    removes_the_old_copy_first,
    believes_the_page_cache,
    goes_by_what_an_earlier_life_did_not_sync,
    reads_doubts_as_never_run,
)


@pytest.mark.parametrize("bug", BUGS, ids=lambda bug: bug.__name__)
def test_planted_bug_is_detected_by_a_seed(bug: Callable[..., Any], monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch.setattr)
    for seed in range(120):
        environment: PowerLossEnvironment = play(seed, failing_syncs=seed % 3)
        if environment.breaches() or environment.loop.failures:
            return
    pytest.fail(f"{bug.__name__} was not detected by 120 seeds")
