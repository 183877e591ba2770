"""The commands `status` and `why` on a running cluster."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from ward import raises, test

from emberlatch.cluster.cli.status import find_problems, message_lines, status_lines
from emberlatch.cluster.cli.store_reports import StoreReport, collect_reports
from emberlatch.cluster.rpc import CallFailedError
from emberlatch.simulation.node import INNER_PORT
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import Plan, play, submit


@test(
    "status finds no problem in a healthy cluster, names a store that is down, and fails at that store's address"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        at = cluster.nodes["s1"].host, INNER_PORT
        reports = await collect_reports(at)
        assert [report.member.node for report in reports] == ["s0", "s1", "s2"]
        assert not find_problems(reports) and status_lines(reports)[-1] == "all agree"
        assert all(len(line) <= 80 for line in status_lines(reports))
        cluster.nodes["s2"].power_off(60.0)
        started_at = cluster.loop.time()
        (line,) = find_problems(await collect_reports(at))
        assert line.startswith("s2 does not answer: connect at") and cluster.loop.time() - started_at < 2.0
        with raises(CallFailedError) as failed:
            await collect_reports((cluster.nodes["s2"].host, INNER_PORT))
        assert (failed.raised.step, failed.raised.may_have_arrived) == ("connect", False)

    play(Plan(31), steps)


@test("status names the stores that have different active configurations")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        active_configuration = cluster.nodes["s0"].running.active_configuration

        def with_revision(report: StoreReport) -> StoreReport:
            assert report.heartbeat is not None
            revision = 9 if report.member.node == "s0" else active_configuration.revision
            return replace(report, heartbeat=replace(report.heartbeat, revision=revision))

        reports = [with_revision(r) for r in await collect_reports((cluster.nodes["s1"].host, INNER_PORT))]
        assert find_problems(reports) == ["two configurations in force: 3 at s1,s2; 9 at s0"]

    play(Plan(32), steps)


@test("why shows the replicas of a queued and of an ended message, and that no store has an unknown message")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        cluster = scenario.cluster
        sent = await submit(scenario, delay_ms=2000)
        at = cluster.nodes["s1"].host, INNER_PORT
        lines = message_lines(await collect_reports(at, sent.id), sent.id)
        assert lines[0] == "s0: queued, owned by s0 (epoch 1)" and "due in 2.0 s" in lines[2]
        await asyncio.sleep(4.0)
        reports = await collect_reports(at, sent.id)
        assert sum(report.replica is not None for report in reports) == 2
        assert "done" in message_lines(reports, sent.id)[0]
        assert cluster.history.runs[sent.id][-1].seal in message_lines(reports, sent.id)[2]
        assert message_lines(await collect_reports(at, "nobody"), "nobody") == [
            "nobody: no store knows of it"
        ]

    play(Plan(33), steps)
