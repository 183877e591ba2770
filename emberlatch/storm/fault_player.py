"""Injects the faults of a plan into real processes, links and partners."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping

from emberlatch.standins import Condition
from emberlatch.storm.history import RUNNER, EventKind, Recorder
from emberlatch.storm.link_relays import LinkRelays
from emberlatch.storm.member_process import MemberProcess
from emberlatch.storm.partners import Partners
from emberlatch.storm.plan import ENDPOINT_FAULTS, Fault, FaultKind, Plan

TERMINATION_TIMEOUT_S = 5.0  # time between SIGTERM and SIGKILL
GARBAGE_INTERVAL_S = 0.02
GARBAGE = (
    b"",
    b"GET / HTTP/1.1\r\n\r\n",
    b"\xff\xff\xff\xff",  # the length prefix of a frame of 4 GiB
    b"\x00\x00\x00\x05abcde",
    os.urandom(4096),
)

START_CONDITIONS = (FaultKind.WALL_OFFSET, FaultKind.CLOCK_RATE, FaultKind.SLOW_START)
"""Kinds of faults that affect the first start of a process if they begin at time 0."""


class FaultPlayer:
    """Begins and ends each fault of a plan at its time, in background tasks that run until `cancel`."""

    def __init__(
        self,
        plan: Plan,
        members: Mapping[str, MemberProcess],
        links: LinkRelays,
        partners: Partners,
        record: Recorder,
        create_duplicate: Callable[[MemberProcess], MemberProcess],
    ) -> None:
        """`create_duplicate` creates a second process with a member's name, and does not start it."""
        self._plan, self._members, self._links, self._partners = plan, members, links, partners
        self._record, self._create_duplicate = record, create_duplicate
        self._loop = asyncio.get_running_loop()
        self._began_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def prepare(self) -> None:
        """Begin the faults at time 0 that affect the first start of a process (`START_CONDITIONS`)."""
        for fault in self._plan.faults:
            if _affects_first_start(fault):
                for name in fault.subjects:
                    self._begin_for_member(fault, self._members[name])

    def start(self, began_at: float) -> None:
        """Play all other faults at their times; `began_at` is the loop time at which the storm began."""
        self._began_at = began_at
        for fault in self._plan.faults:
            if not _affects_first_start(fault):
                self._spawn(self._play(fault))

    async def cancel(self) -> None:
        """Cancel all background tasks and wait for them; this also closes the duplicate processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sleep_until(self, at: float) -> None:
        """Sleep until `at`, in seconds since the storm began."""
        await asyncio.sleep(max(0.0, self._began_at + at - self._loop.time()))

    async def _play(self, fault: Fault) -> None:
        await self._sleep_until(fault.at)
        self._record(RUNNER, EventKind.FAULT_BEGAN, {"text": str(fault)})
        await self._begin(fault)
        if fault.until:
            await self._sleep_until(fault.until)
            await self._end(fault)
            self._record(RUNNER, EventKind.FAULT_ENDED, {"text": str(fault)})

    async def _begin(self, fault: Fault) -> None:
        self._links.begin(fault)
        for name in fault.subjects:
            if fault.kind in ENDPOINT_FAULTS:
                await self._partners.set_condition(name, Condition(fault.kind))
            else:
                self._begin_for_member(fault, self._members[name])

    async def _end(self, fault: Fault) -> None:
        self._links.end(fault)
        for name in fault.subjects:
            if fault.kind in ENDPOINT_FAULTS:
                await self._partners.set_condition(name, Condition.HEALTHY)
            elif fault.kind == FaultKind.SUSPEND:
                self._members[name].resume()

    def _begin_for_member(self, fault: Fault, member: MemberProcess) -> None:
        match fault.kind:
            case FaultKind.WALL_OFFSET:
                member.next_start.wall_offset_s = fault.amount
            case FaultKind.CLOCK_RATE:
                member.next_start.clock_rate = fault.amount
            case FaultKind.SLOW_START:
                member.next_start.delay_s = fault.amount
            case FaultKind.SUSPEND:
                member.suspend()
            case FaultKind.KILL | FaultKind.WIPE:
                self._spawn(self._restart(member, fault, member.kill()))
            case FaultKind.TERMINATE:
                self._spawn(self._restart(member, fault, member.terminate(TERMINATION_TIMEOUT_S)))
            case FaultKind.LEAVE:
                self._spawn(self._restart(member, fault, member.leave(TERMINATION_TIMEOUT_S)))
            case FaultKind.DUPLICATE:
                self._spawn(self._run_duplicate(member))
            case FaultKind.GARBAGE:
                self._spawn(self._send_garbage(member, self._began_at + fault.until))

    async def _restart(self, member: MemberProcess, fault: Fault, ending: Awaitable[None]) -> None:
        """Await `ending`, which ends the member's process, and then start its next process.

        A killed member without an `amount` is not restarted here: it stays down until the end of the storm.
        """
        incarnation = member.incarnation
        await ending
        if fault.kind == FaultKind.WIPE:
            member.wipe()
        elif fault.kind == FaultKind.KILL and not fault.amount:
            return
        await asyncio.sleep(fault.amount)
        if member.incarnation == incarnation and member.exited.is_set():
            await member.start()

    async def _run_duplicate(self, member: MemberProcess) -> None:
        """Run a second process with a member's name until the end of the storm."""
        duplicate = self._create_duplicate(member)
        self._record(RUNNER, EventKind.DUPLICATED, {"member": member.name})
        await duplicate.start()
        try:
            await self._sleep_until(self._plan.duration_s)
        finally:
            await duplicate.close()

    async def _send_garbage(self, member: MemberProcess, until: float) -> None:
        """Open connections to a member's fleet port repeatedly until `until`, a time on the loop's clock.

        Each connection sends invalid data first, then one byte per GARBAGE_INTERVAL_S.
        """
        rng, writers = random.Random(self._plan.seed), list[asyncio.StreamWriter]()
        while self._loop.time() < until:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", member.fleet_port)
                writer.write(rng.choice(GARBAGE))
                writers.append(writer)
            writers = [writer for writer in writers if not writer.is_closing()]
            for writer in writers:
                writer.write(b"x")
            await asyncio.sleep(GARBAGE_INTERVAL_S)
        for writer in writers:
            writer.transport.abort()


def _affects_first_start(fault: Fault) -> bool:
    return fault.at == 0 and fault.kind in START_CONDITIONS
