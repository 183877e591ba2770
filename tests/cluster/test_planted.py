"""Faults planted in the code, each of which the rule checks of the simulation have to detect.

A check that has never failed proves nothing.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from ward import test

from emberlatch.cluster.configuration import ActiveConfiguration
from emberlatch.cluster.consensus import Configure, ControlState
from emberlatch.cluster.consensus.state import text_digest
from emberlatch.cluster.control_api import LocalHandler
from emberlatch.cluster.discovery import TargetDirectory
from emberlatch.cluster.dispatch import DeliveryRequest, DeliveryResult, Dispatcher
from emberlatch.cluster.dispatch.delivery import Delivery, DeliveryStage
from emberlatch.cluster.dispatch.outcomes import OutcomeHandler
from emberlatch.cluster.ingress import submitter
from emberlatch.cluster.membership.view import MembershipView
from emberlatch.cluster.message_store import MessageState, Record
from emberlatch.cluster.message_store.cancellation import Cancellation
from emberlatch.cluster.message_store.repair import Repair
from emberlatch.cluster.message_store.replication import Replication
from emberlatch.cluster.node.quota_shares import QuotaShares
from emberlatch.cluster.settings import read_configuration
from emberlatch.core.interface import Outcome
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import Fault, FaultKind, Plan, patched_attribute, play, play_faults, submit


def rules(*faults: Fault, **options: Any) -> set[str]:
    """Return the rules that a simulated run with these faults breaks."""
    return {breach.rule for breach in play_faults(*faults, **options)[1]}


@test("a 202 after a write to a single disk is detected as LOST")
def _() -> None:
    with (
        patched_attribute(Replication, "_next_candidate", lambda self, have: None),
        patched_attribute(MembershipView, "satisfies_quorum", lambda self, nodes: bool(nodes)),
    ):
        assert "LOST" in rules(Fault(3.0, FaultKind.POWER_OFF_AND_WIPE, "s0", 1.0))


@test("a 503 for a message that a store may have is detected as REFUSED")
def _() -> None:
    async def cancel(self: Cancellation, record: Record, asked: set[str], epoch: int) -> bool:
        return True

    with (
        patched_attribute(Cancellation, "cancel", cancel),
        patched_attribute(submitter, "STORE_TIMEOUT_S", 0.45),
    ):

        async def steps(scenario: Scenario) -> None:
            await scenario.start()
            for name in ("s1", "s2"):
                scenario.cluster.partition("f0", name, 30.0)
            await asyncio.sleep(3.0)
            for name in ("s1", "s2"):
                scenario.cluster.nodes[name].power_off(8.0)
            for _ in range(6):
                await submit(scenario, "f0")
            await asyncio.sleep(15.0)
            scenario.cluster.nodes["s0"].kill()
            await asyncio.sleep(15.0)
            scenario.cluster.history.judge(4, 60.0, scenario.cluster.loop.time())

        assert "REFUSED" in {b.rule for b in play(Plan(2), steps)[1]}


@test("the handover of a message while it is in flight is detected as TWICE")
def _() -> None:
    async def close(self: Dispatcher, hand_over: Any, until: float) -> None:
        self._deliveries.draining = True
        deliveries = list(self._deliveries.by_id.values())
        for delivery in deliveries:
            delivery.stage = DeliveryStage.READY
        await hand_over([delivery.record for delivery in deliveries])

    with patched_attribute(Dispatcher, "close", close):
        found = set[str]()
        for seed in range(6):
            cluster, breaches = play_faults(
                *(Fault(0.5 + 2.5 * n, FaultKind.TERMINATE, f"s{n}") for n in range(3)),
                seed=seed,
                duration_s=8.0,
            )
            found |= {b.rule for b in breaches}
            if any(len([r for r in runs if r.status == 200]) > 1 for runs in cluster.history.runs.values()):
                found.add("TWICE")
        assert "TWICE" in found


@test("the commit of a configuration with a lower revision is detected as CONFIG")
def _() -> None:
    def apply_any_revision(self: Configure, state: ControlState) -> ControlState:
        if state.text == self.text:
            return state
        history = (*state.history, (self.revision, text_digest(self.text)))
        return replace(state, revision=self.revision, text=self.text, history=history)

    with patched_attribute(Configure, "apply", apply_any_revision):
        found = set[str]()
        for seed in range(4):

            async def steps(scenario: Scenario) -> None:
                await scenario.start()
                await scenario.operator.send(12)
                await scenario.operator.send(5)
                scenario.cluster.history.read_back = await scenario.operator.read_back()
                scenario.cluster.history.judge(4, 60.0, scenario.cluster.loop.time())

            found |= {b.rule for b in play(Plan(seed), steps)[1]}
        assert "CONFIG" in found


@test("a late heartbeat that returns a draining target to service is detected as DRAIN")
def _() -> None:
    original = TargetDirectory._merge

    def merge(self: TargetDirectory, reported: Any, now: float) -> bool:
        known = self.targets_by_id.get(reported.id)
        if known is not None and known.state == 1:
            self.targets_by_id.pop(reported.id)
            reported.state = type(reported.state)(0)
        return original(self, reported, now)

    with patched_attribute(TargetDirectory, "_merge", merge):
        assert "DRAIN" in rules(
            *(Fault(0.3 + n / 2, FaultKind.TARGET_LEAVE) for n in range(4)),
            targets=4,
            messages_per_s=60.0,
            duration_s=10.0,
        )


@test("a store that uses the complete rate limit instead of its share is detected as CEILING")
def _() -> None:
    with patched_attribute(QuotaShares, "divisor", lambda self, service: 1.0):
        assert "CEILING" in rules(rate_limit_per_s=4.0, messages_per_s=60.0, duration_s=10.0)


@test("a wiped disk whose records are not restored from replicas is detected as LOST")
def _() -> None:
    async def skip_repair(self: Repair, peer: Any) -> None:
        self.repaired_at[peer.name] = 1e12

    with patched_attribute(Repair, "repair_peer", skip_repair):
        found = set[str]()
        for seed in range(4):

            async def steps(scenario: Scenario) -> None:
                await scenario.start()
                for n in range(20):
                    await submit(scenario, f"f{n % 3}", delay_ms=40_000)
                scenario.cluster.nodes["s0"].power_off(0.5, wipe=True)
                await asyncio.sleep(12.0)
                scenario.cluster.nodes["s1"].power_off(0.5, wipe=True)
                await asyncio.sleep(12.0)
                await scenario.ask_final_states()
                scenario.cluster.history.judge(4, 60.0, scenario.cluster.loop.time())

            found |= {b.rule for b in play(Plan(seed), steps)[1]}
        assert "LOST" in found


@test("a delay that ends 1.5 s too early after a record is decoded is detected as EARLY")
def _() -> None:
    original = Record.from_wire

    def from_wire(payload: dict[str, Any], now: float) -> Record:
        copy = original(payload, now)
        copy.due_at -= 1.5 if copy.state is MessageState.QUEUED and copy.due_at > copy.sent_at else 0.0
        return copy

    with patched_attribute(Record, "from_wire", staticmethod(from_wire)):
        found = set[str]()
        for seed in range(3):
            found |= rules(Fault(3.0, FaultKind.KILL_ALL, "", 0.5), seed=seed, messages_per_s=60.0)
        assert "EARLY" in found


@test("a message that is dead-lettered before its last attempt is detected as MIXED")
def _() -> None:
    original = OutcomeHandler.on_outcome

    def on_outcome(self: OutcomeHandler, outcome: Outcome) -> None:
        delivery = self._deliveries.by_ref.get(outcome.ref)
        if delivery is not None and delivery.result is DeliveryResult.ATTEMPT_FAILED:
            delivery.record.attempts += 3
        original(self, outcome)

    with patched_attribute(OutcomeHandler, "on_outcome", on_outcome):
        assert "MIXED" in rules(forced_failure_share=0.1)


@test("a retry of a message whose success response was received is detected as TWICE")
def _() -> None:
    original = OutcomeHandler._finish
    count = iter(range(10_000_000))

    def finish(self: OutcomeHandler, delivery: Delivery, state: MessageState, seal: str) -> None:
        if state is MessageState.COMPLETED and next(count) % 10 == 0:
            return self._retry(delivery, 0.2)
        original(self, delivery, state, seal)
        return None

    with patched_attribute(OutcomeHandler, "_finish", finish):
        assert "TWICE" in rules()


@test("an acknowledged draining heartbeat that is not reported to the other stores is detected as DRAIN")
def _() -> None:
    async def notify_nobody(self: LocalHandler, target: Any, changed: bool) -> None:
        pass

    with patched_attribute(LocalHandler, "_notify_stores", notify_nobody):
        found = set[str]()
        # The breach needs a target whose later heartbeats all reach the store that received the first one.
        for seed in range(12):
            faults = [Fault(0.5 + n, FaultKind.TARGET_LEAVE) for n in range(3)]
            found |= rules(*faults, seed=seed, duration_s=8.0, targets=6, messages_per_s=90.0)
            if "DRAIN" in found:
                break
        assert "DRAIN" in found


@test("deliveries without the expected instance to addresses that other targets reuse are detected as ROUTE")
def _() -> None:
    original = Dispatcher.delivery_request

    def request(self: Dispatcher, ref: int, target: bytes) -> DeliveryRequest:
        return replace(original(self, ref, target), expected_instance="")

    with (
        patched_attribute(Dispatcher, "delivery_request", request),
        patched_attribute(TargetDirectory, "_register", _register_without_removal),
    ):
        found = set[str]()
        for seed in range(3):
            faults = [Fault(0.5 + n, FaultKind.TARGET_ADDRESS_REUSE) for n in range(4)]
            found |= rules(*faults, seed=seed, duration_s=8.0, targets=8)
        assert "ROUTE" in found


def _register_without_removal(self: TargetDirectory, target: Any) -> None:
    """Register a target without removing the incarnation that had its address before."""
    self.targets_by_id[target.id] = target
    self._by_address[target.address] = target
    self._notify(target)


@test("a forwarder that activates a lower revision within an incarnation is detected as CONFIG")
def _() -> None:
    def adopt_any_revision(self: ActiveConfiguration, raw: bytes) -> None:
        self._activate(read_configuration(raw))

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        assert await scenario.operator.send(9)
        await asyncio.sleep(1.0)
        active_configuration = scenario.cluster.nodes["f0"].running.active_configuration
        assert active_configuration.revision == 9
        active_configuration.adopt(scenario.cluster.configuration_body(3, 800))
        if active_configuration.revision != 9:
            scenario.cluster.history.record_breach(
                "CONFIG", scenario.cluster.loop.time(), "the revision decreased"
            )

    assert not play(Plan(3), steps)[1]
    with patched_attribute(ActiveConfiguration, "adopt", adopt_any_revision):
        assert {b.rule for b in play(Plan(3), steps)[1]} >= {"CONFIG"}
