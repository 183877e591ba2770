"""Simulated days of the control plane with random faults.

The production code passes them, and code with a planted fault fails.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable

import pytest

from emberlatch.cluster.consensus import commands, proposer, service, state
from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.state import ControlState, Voter
from emberlatch.simulation.control_disk import Files, Identity, SimulatedDisk, SimulatedStorage
from emberlatch.simulation.control_network import LinkConditions
from emberlatch.simulation.control_plan import DayPlan, FaultKind, draw_plan
from emberlatch.simulation.control_plane import main, play_plan, play_seed

DAYS = 200  # number of days that the production code has to pass
MAX_DAYS = 150  # number of seeds within which a planted fault has to be detected


@pytest.mark.parametrize("first", range(0, DAYS, 25))
def test_random_days_of_the_production_code_have_no_failures(first: int) -> None:
    for seed in range(first, first + 25):
        result = play_seed(seed)
        assert not result.failures, f"seed {seed}: {result.failures}"


def test_a_day_with_a_required_number_of_changes_confirms_that_many() -> None:
    result = play_seed(1, changes=300)
    assert not result.failures
    assert result.confirmed >= 300


def test_playing_a_seed_twice_gives_the_same_result() -> None:
    first, again = play_seed(11), play_seed(11)
    assert first == again
    assert first.steps > 1000


def test_different_seeds_give_different_plans() -> None:
    plans = [dataclasses.replace(draw_plan(seed), seed=0) for seed in range(20)]
    assert all(one != other for one, other in itertools.combinations(plans, 2))


def test_the_command_prints_the_number_of_days_and_their_traces(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--days", "2", "--from", "5", "--trace"]) == 0
    output = capsys.readouterr().out
    assert "2 days played, 0 broken" in output
    assert "seed 6:" in output


SMALL_GROUP_FAULTS = (
    FaultKind.KILL,
    FaultKind.POWER_OFF_ALL,
    FaultKind.LOSE_DISK,
    FaultKind.ISOLATE,
    FaultKind.ISOLATE_ONE_WAY,
    FaultKind.PARTITION,
)


LOSSY = LinkConditions(0.004, loss_share=0.2, duplicate_share=0.1, late_share=0.1)
SLOW = LinkConditions(
    0.03, duplicate_share=0.1, late_share=0.02
)  # long delays leave time for other events between two votes


def small_group(seed: int) -> DayPlan:
    """A day of three machines with frequent partitions and losses, which reveal a wrong vote sooner."""
    drawn = draw_plan(seed)
    return dataclasses.replace(
        drawn,
        machines=3,
        zones=3,
        seeds=3,
        tolerated_losses=1,
        operators=4,
        duration_s=20.0,
        starts=(0.0, 0.0, 0.0),
        used_disks=(),
        link_conditions=(drawn.link_conditions, LOSSY, SLOW)[seed % 3],
        fault_pause_s=0.4,
        fault_kinds=SMALL_GROUP_FAULTS,
    )


def test_days_of_small_groups_have_no_failures() -> None:
    for seed in range(25):
        result = play_plan(small_group(seed))
        assert not result.failures, f"seed {seed}: {result.failures}"


def failures_with(plant: Callable[[], None]) -> str:
    """Return the failures of the first day that detects a planted fault; empty if none does."""
    plant()
    for seed in range(MAX_DAYS):
        for plan in (small_group(seed), draw_plan(seed)):
            failures = play_plan(plan).failures
            if failures:
                return " | ".join(failures)
    return ""


def test_unsynced_promises_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: the newest writes are lost when the process ends, as if they had not been synced."""
    interrupt_writes, write = SimulatedDisk.interrupt_writes, SimulatedStorage.write
    # Keyed by id(disk). The stored reference prevents another disk from getting the same id.
    earlier: dict[int, tuple[SimulatedDisk, list[Files]]] = {}

    def write_unsynced(storage: SimulatedStorage, record: AcceptorRecord) -> None:
        disk = storage._disk
        earlier.setdefault(id(disk), (disk, []))[1].append(dataclasses.replace(disk.files))
        write(storage, record)

    def lose_unsynced(disk: SimulatedDisk) -> None:
        interrupt_writes(disk)
        copies = earlier.get(id(disk), (disk, []))[1]
        if copies:
            disk.files = copies[-min(len(copies), disk.rng.randrange(1, 5))]
            copies.clear()

    def plant() -> None:
        monkeypatch.setattr(SimulatedStorage, "write", write_unsynced)
        monkeypatch.setattr(SimulatedDisk, "interrupt_writes", lose_unsynced)

    assert failures_with(plant)


def test_confirmation_without_a_majority_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def one_is_enough(quorum: proposer.Quorum, votes: set[Voter]) -> bool:
        return len(votes) >= 1

    assert failures_with(lambda: monkeypatch.setattr(proposer.Quorum, "satisfies_prepare", one_is_enough))


def test_decision_without_a_majority_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def one_is_enough(quorum: proposer.Quorum, votes: set[Voter]) -> bool:
        return len(votes) >= 1

    assert failures_with(lambda: monkeypatch.setattr(proposer.Quorum, "satisfies_accept", one_is_enough))


def test_a_history_that_is_dropped_too_early_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: a second text is confirmed under a revision that is already in use."""
    failures = failures_with(lambda: monkeypatch.setattr(commands, "MAX_HISTORY", 2))
    assert "two texts were confirmed" in failures or "confirmed and refused" in failures


def test_a_confirmed_revision_that_is_refused_on_resending_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted fault: a committed revision that is no longer in force is answered as a conflict."""

    def status_of_newest_only(known: ControlState, revision: int, digest: str) -> state.RevisionStatus:
        if revision == known.revision and digest == known.digest:
            return state.RevisionStatus.COMMITTED
        if revision <= known.revision:
            return state.RevisionStatus.CONFLICT
        return state.RevisionStatus.ABSENT

    failures = failures_with(
        lambda: monkeypatch.setattr(ControlState, "revision_status", status_of_newest_only)
    )
    assert "one text was confirmed and refused for good" in failures


def test_a_read_of_the_local_state_without_confirmation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read(control_service: service.ControlService, timeout: float) -> ControlState:
        return control_service.state

    failures = failures_with(lambda: monkeypatch.setattr(service.ControlService, "read", read))
    assert "a read is older" in failures


def test_a_voter_that_keeps_its_identity_on_an_empty_disk_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Planted fault: a machine that has lost its disk counts as the same voter."""

    def create(
        storage: SimulatedStorage, known: ControlState, founding_address: str | None
    ) -> AcceptorRecord:
        identity = Identity("always the same", founding_address)
        storage._disk.files = Files(identity, known)
        me = Voter(storage._node, identity.identity)
        return AcceptorRecord(me, None if founding_address is None else Voter(founding_address, ""), known)

    assert failures_with(lambda: monkeypatch.setattr(SimulatedStorage, "create", create))


def test_a_voter_with_an_outdated_copy_of_its_disk_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: a machine that lost its disk restarts with a copy of its first write."""
    lose = SimulatedDisk.lose
    write = SimulatedStorage.write
    # Keyed by id(disk). The stored reference prevents another disk from getting the same id.
    copies: dict[int, tuple[SimulatedDisk, Files]] = {}

    def write_and_copy(storage: SimulatedStorage, record: AcceptorRecord) -> None:
        write(storage, record)
        disk = storage._disk
        copies.setdefault(id(disk), (disk, dataclasses.replace(disk.files)))

    def restore(disk: SimulatedDisk) -> None:
        lose(disk)
        if id(disk) in copies:
            disk.files = dataclasses.replace(copies[id(disk)][1])

    def plant() -> None:
        monkeypatch.setattr(SimulatedStorage, "write", write_and_copy)
        monkeypatch.setattr(SimulatedDisk, "lose", restore)

    assert failures_with(plant)
