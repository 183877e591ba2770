"""The maintenance loop in one process: when it founds a group of voters, and with which members."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import pytest

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.errors import UnreachableError
from emberlatch.cluster.consensus.maintenance import FaultTolerance, MemberReport
from emberlatch.cluster.consensus.maintenance_loop import FOUNDING_WAIT_PER_MEMBER_S, MaintenanceLoop
from emberlatch.cluster.consensus.ports import NullListener, RegisterPorts
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state import ControlState, Voter

FOUNDING_VOTER = Voter("address of a", "")


class IsolatedEnvironment:
    """A transport without peers, a disk that writes at once, and a membership view that the test sets."""

    def __init__(self, machines: str, founding_voters: tuple[Voter, ...] = (FOUNDING_VOTER,)) -> None:
        self.time = 0.0
        self._founding_voters = founding_voters
        self._reports = {
            node: MemberReport(Voter(node, f"disk of {node}"), "z", "r", True, True, 0.0, 0)
            for node in machines
        }

    def reports(self) -> Mapping[str, MemberReport]:
        return self._reports

    def founding_voters(self) -> tuple[Voter, ...]:
        return self._founding_voters

    def now(self) -> float:
        return self.time

    def reachable_nodes(self) -> Iterable[str]:
        return ()

    def node_of(self, voter: Voter) -> str | None:
        return "a" if voter == FOUNDING_VOTER else None

    def voters_with_replaced_disk(self, voters: Iterable[Voter]) -> frozenset[Voter]:
        return frozenset()

    async def call(self, node: str, request: list[Any], timeout: float) -> Any:
        raise UnreachableError(node)

    def write(self, record: AcceptorRecord) -> None:
        pass

    async def offload(self, work: Callable[[], None]) -> None:
        work()


def voters_after_step(
    environment: IsolatedEnvironment,
    tolerance: FaultTolerance,
    waited: float,
    seed: Voter | None = FOUNDING_VOTER,
) -> set[str]:
    """Return the voters after one step of a machine; empty if no group was founded.

    `seed` is the founding voter in the machine's initial state.
    """

    async def take_step() -> set[str]:
        record = AcceptorRecord(Voter("a", "disk of a"), seed, ControlState(voters=(FOUNDING_VOTER,)))
        chance = random.Random(1)
        ports = RegisterPorts(environment.offload, environment, NullListener())
        service = ControlService(record, environment, ports, "a-1", 2, chance)
        maintenance_loop = MaintenanceLoop(service, environment, tolerance, chance)
        environment.time += waited
        await maintenance_loop.step()
        service.close()
        return {voter.node for voter in service.state.voters} if service.state.version else set()

    return asyncio.run(take_step())


def test_a_group_of_full_size_is_founded_at_once() -> None:
    assert voters_after_step(IsolatedEnvironment("abc"), FaultTolerance(1), 0.0) == {"a", "b", "c"}


@pytest.mark.parametrize(("machines", "tolerance", "missing"), [("ab", 1, 1), ("abcd", 2, 1), ("abc", 2, 2)])
def test_a_smaller_group_is_founded_only_after_a_wait_for_each_missing_machine(
    machines: str, tolerance: int, missing: int
) -> None:
    waited = missing * FOUNDING_WAIT_PER_MEMBER_S
    assert voters_after_step(IsolatedEnvironment(machines), FaultTolerance(tolerance), waited - 0.1) == set()
    assert voters_after_step(IsolatedEnvironment(machines), FaultTolerance(tolerance), waited) == set(
        machines
    )


def test_a_group_that_tolerates_no_loss_is_never_founded() -> None:
    assert voters_after_step(IsolatedEnvironment("a"), FaultTolerance(1), 1000.0) == set()
    assert voters_after_step(IsolatedEnvironment("ab"), FaultTolerance(2), 1000.0) == set()


def test_a_machine_that_is_no_founding_voter_founds_no_group() -> None:
    assert voters_after_step(IsolatedEnvironment("abc"), FaultTolerance(1), 1000.0, seed=None) == set()


def test_no_group_is_founded_if_the_configured_seeds_are_others() -> None:
    other = Voter("address of z", "")
    assert voters_after_step(IsolatedEnvironment("abc", (other,)), FaultTolerance(1), 1000.0) == set()
