"""Operators' commands and configuration changes on a fleet of real processes."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result

from emberlatch.cli import main
from emberlatch.storm import HistoryEvent, Plan
from emberlatch.storm.runner import StormRunner
from tests.peers import free_port


def run_command(*arguments: object) -> Result:
    return CliRunner().invoke(main, [str(argument) for argument in arguments], terminal_width=80)


class OperatedRunner(StormRunner):
    """Runs operators' commands and changes configuration files in place of the faults and the traffic."""

    async def _play_and_recover(self) -> None:
        self.results: dict[str, Any] = {}
        members = list(self.members.values())
        await self._wait_for_events("member", count=6, state="alive")
        await self._wait_for_events("majority", count=3)
        paths = [member.config_path for member in members]
        for name, arguments in {
            "status": ("fleet", "status", paths[0]),
            "json": ("fleet", "status", paths[0], "--json"),
            "members": ("fleet", "members", *paths),
            "gateway": ("status", paths[0]),
        }.items():
            self.results[name] = await asyncio.to_thread(run_command, *arguments)
        # The inventory of one member sets an endpoint to draining: the others receive a report of it.
        inventory = members[0].inventory_path
        head, *rows = inventory.read_text().splitlines()
        drained = [f"{row},{'draining' if row.startswith('p1-east') else ''}" for row in rows]
        inventory.write_text("\n".join([f"{head},phase", *drained]) + "\n")
        members[0].send_signal(signal.SIGHUP)
        await self._wait_for_events("told_of", count=2, phase=0)
        # Two members add f9, which does not run, to their lists: the shares of all three members shrink.
        for member in members[:2]:
            member.config_path.write_text(member.config_path.read_text() + 'f9 = "127.0.0.1:1"\n')
            member.send_signal(signal.SIGHUP)
        await self._wait_until(lambda: self._sources("standing", size=4) == set(self.members))
        # A list that grows by two members at once is rejected.
        text = members[2].config_path.read_text()
        members[2].config_path.write_text(text + 'f8 = "127.0.0.1:1"\nf9 = "127.0.0.1:2"\n')
        members[2].send_signal(signal.SIGHUP)
        await self._wait_for_events("trouble", count=1)
        self.results["leave"] = await asyncio.to_thread(run_command, "fleet", "leave", paths[2])
        await members[2].exited.wait()
        await self._wait_for_events("member", count=2, member="f2", state="left")
        self.results["left"] = await asyncio.to_thread(run_command, "fleet", "members", *paths[:2])

    def _matching(self, kind: str, **fields: Any) -> list[HistoryEvent]:
        return [event for event in self.history.of_kind(kind) if fields.items() <= event.payload.items()]

    def _sources(self, kind: str, **fields: Any) -> set[str]:
        return {event.source for event in self._matching(kind, **fields)}

    async def _wait_for_events(self, kind: str, count: int, **fields: Any) -> None:
        await self._wait_until(lambda: len(self._matching(kind, **fields)) >= count)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.02)


def test_operators_commands_succeed_and_their_changes_reach_all_members(tmp_path: Path) -> None:
    async def test() -> OperatedRunner:
        runner = OperatedRunner(Plan(1, 3, 10.0, 0.0), tmp_path / "fleet")
        await runner.run()
        return runner

    results = asyncio.run(test()).results
    assert [result.exit_code for result in results.values()] == [0] * len(results), results
    assert "f0 of fleet storm, life 1: with a majority" in results["status"].output
    assert max(map(len, results["status"].output.splitlines())) <= 80
    status = json.loads(results["json"].output)
    assert (status["size"], status["here"], status["cut"]) == (3, 3, "")
    rows = [line.split() for line in results["members"].output.splitlines() if line.strip().startswith("f")]
    assert rows == [["f0", "=", "+", "+", "no"], ["f1", "+", "=", "+", "no"], ["f2", "+", "+", "=", "no"]]
    assert "leaving" in results["leave"].output
    assert results["left"].output.count(" - ") >= 2


def test_serve_with_a_fleet_address_of_another_host_names_the_key_and_exits_with_2(tmp_path: Path) -> None:
    (tmp_path / "i.csv").write_text("id,address,partner,kind,wing\na,127.0.0.1:1,p,rural-bank,east-wing\n")
    path, port = tmp_path / "g.toml", asyncio.run(free_port())
    lines = [f'listen = "127.0.0.1:{port}"', "[inventory]", 'paths = ["i.csv"]', "[fleet]", 'name = "f"']
    lines += ['me = "a"', "[fleet.members]", 'a = "203.0.113.1:7000"']
    path.write_text("\n".join(lines))
    result = run_command("serve", path)
    assert result.exit_code == 2 and "fleet.listen: " in result.output
