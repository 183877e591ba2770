"""Plays a plan on real processes of the program, linked by relays on loopback, and records the history."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import tempfile
from collections.abc import Sequence
from pathlib import Path

from emberlatch.storm.client_load import DEADLINE_S, ClientLoad
from emberlatch.storm.fault_player import FaultPlayer
from emberlatch.storm.gateway_files import render_config, render_fleet_section, render_inventory
from emberlatch.storm.history import DUPLICATE_SUFFIX, RUNNER, EventKind, History, HistoryEvent, Payload
from emberlatch.storm.link_relays import LinkRelays
from emberlatch.storm.member_process import PROGRAM, MemberProcess
from emberlatch.storm.membership_views import MembershipViews
from emberlatch.storm.message_rules import count_unresolved
from emberlatch.storm.partners import Partners
from emberlatch.storm.plan import ENDPOINTS, Plan

START_TIMEOUT_S = 30.0  # limit from the start of a process until it serves
POLL_INTERVAL_S = 0.05  # time between two reads of the outcome files
COMPLETION_TIMEOUT_S = DEADLINE_S + 3.0  # limit from the recovery until all messages have outcomes


class StormRunner:
    """Plays one storm in the folder `folder`, which must not exist yet.

    `program` contains the command-line arguments with which Python runs each member.
    """

    def __init__(self, plan: Plan, folder: Path, program: Sequence[str] = PROGRAM) -> None:
        self.plan, self.folder = plan, folder
        self.history = History(plan)
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time()
        self._program = program
        self._short_paths = tempfile.TemporaryDirectory(prefix="storm-")
        self._duplicate_numbers = itertools.count(1)
        self.partners = Partners(plan.member_names, plan.seed, self.record)
        self.members = {name: self._create_member(name, name) for name in plan.member_names}
        self._links = LinkRelays(plan)
        self._faults = FaultPlayer(
            plan, self.members, self._links, self.partners, self.record, self._create_duplicate
        )

    def record(self, source: str, kind: str, payload: Payload) -> None:
        """Add an event with the current time to the history."""
        at = round(self._loop.time() - self._began_at, 4)
        self.history.events.append(HistoryEvent(at, source, kind, payload))

    def _record_runner_event(self, kind: EventKind) -> None:
        self.record(RUNNER, kind, {})

    async def run(self) -> History:
        """Play the plan, recover, wait for all outcomes, and end all processes.

        Raises TimeoutError if the processes do not serve within `START_TIMEOUT_S`.
        """
        await self.partners.start()
        polling: asyncio.Task[None] | None = None
        try:
            await self._create_links()
            self._write_files()
            self._faults.prepare()
            await self._start_members()
            polling = asyncio.create_task(self._poll_outcomes())
            await self._play_and_recover()
        finally:
            if polling is not None:
                polling.cancel()
                await asyncio.gather(polling, return_exceptions=True)
            await self._faults.cancel()
            await asyncio.gather(*(member.close() for member in self.members.values()))
            self.partners.record_effects()
            self._links.close()
            await self.partners.stop()
            self._short_paths.cleanup()
        self.history.sort()
        return self.history

    def _create_member(self, name: str, folder: str) -> MemberProcess:
        short_paths = Path(self._short_paths.name)
        return MemberProcess(name, self.folder / folder, short_paths, self.record, self._program)

    async def _create_links(self) -> None:
        for name, endpoint in self.partners.endpoints.items():
            for member, listener in endpoint.listeners.items():
                host, _, port = listener.server.address.partition(":")
                self._links.add(member, name, (host, int(port)))
        for one, other in itertools.permutations(self.members, 2):
            self._links.add(one, other, ("127.0.0.1", self.members[other].fleet_port))
        await self._links.start()

    def _write_files(self) -> None:
        for name, member in self.members.items():
            ports = {endpoint: self._links.port(name, endpoint) for endpoint in ENDPOINTS}
            member.inventory_path.write_text(render_inventory(ports))
            member.config_path.write_text(self._render_config(member, name))

    def _render_config(self, process: MemberProcess, name: str) -> str:
        """Return the configuration of a process that runs as the member `name`."""
        fleet = ""
        if self.plan.fleet_enabled:
            ports = {other: self._links.port(name, other) for other in self.members if other != name}
            ports[name] = self.members[name].fleet_port
            fleet = render_fleet_section(name, process.fleet_port, ports)
        return render_config(process.port, process.state_path, fleet)

    def _create_duplicate(self, member: MemberProcess) -> MemberProcess:
        """Create a second process with a member's name, with its own ports and its own state folder."""
        folder = f"{member.name}-twin-{next(self._duplicate_numbers)}"
        duplicate = self._create_member(f"{member.name}{DUPLICATE_SUFFIX}", folder)
        duplicate.config_path.write_text(self._render_config(duplicate, member.name))
        duplicate.inventory_path.write_text(member.inventory_path.read_text())
        return duplicate

    async def _start_members(self) -> None:
        await asyncio.gather(*(member.start() for member in self.members.values()))
        async with asyncio.timeout(START_TIMEOUT_S):
            await asyncio.gather(*(member.serving.wait() for member in self.members.values()))
        # The storm begins now, so the events recorded until now get times of at most 0.
        self._began_at = self._loop.time()
        self.history.rebase(self.history.events[-1].at if self.history.events else 0.0)

    async def _play_and_recover(self) -> None:
        """Play the faults and the traffic, recover all members, and wait for the outcomes."""
        ports = {name: member.port for name, member in self.members.items()}
        load = ClientLoad(self.plan.messages_per_s, self.plan.seed, ports, self.record)
        traffic = asyncio.create_task(load.run(self.plan.duration_s))
        self._faults.start(self._began_at)
        await asyncio.sleep(self.plan.duration_s)
        self._links.clear()
        self._record_runner_event(EventKind.ALL_FAULTS_ENDED)
        await asyncio.gather(*(self._recover(member) for member in self.members.values()))
        self._record_runner_event(EventKind.RECOVERED)
        await traffic
        await self._wait_for_completion()
        self._record_runner_event(EventKind.COMPLETED)

    async def _recover(self, member: MemberProcess) -> None:
        """Resume or restart a member, and wait until it serves, for at most `START_TIMEOUT_S`."""
        member.resume()
        if member.exited.is_set():
            await member.start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                await member.serving.wait()

    async def _wait_for_completion(self) -> None:
        """Wait until every accepted message has an outcome and the members see each other alive.

        Return after `COMPLETION_TIMEOUT_S` in any case.
        """
        deadline = self._loop.time() + COMPLETION_TIMEOUT_S
        while self._loop.time() < deadline:
            for member in self.members.values():
                if member.exited.is_set():  # the process was still shutting down at the recovery
                    await self._recover(member)
            if not count_unresolved(self.history) and self._is_fleet_complete():
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_fleet_complete(self) -> bool:
        if not self.plan.fleet_enabled:
            return True
        return MembershipViews(self.history).are_complete(self.plan.member_names)

    async def _poll_outcomes(self) -> None:
        while True:
            for member in self.members.values():
                member.record_outcomes()
            await asyncio.sleep(POLL_INTERVAL_S)


async def play_plan(plan: Plan, folder: Path, program: Sequence[str] = PROGRAM) -> History:
    """Play a plan on real processes in a folder that does not exist yet, and return its history."""
    return await StormRunner(plan, folder, program).run()
