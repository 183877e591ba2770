"""Runs a demonstration: sends traffic to the gateway, makes one partner hang, and counts the outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from emberlatch.demo.processes import (
    BROKEN_PARTNER,
    PARTNERS,
    WINGS,
    Partners,
    endpoint_id,
    free_port,
    start_gateway,
    start_partners,
    write_configuration,
)
from emberlatch.demo.statistics import REFUSED, DemoPhase, DemoStatistics, Summary
from emberlatch.standalone.control_socket import send_command
from emberlatch.standalone.outcome_file import CURRENT_FILE

MESSAGES_PER_S = 60.0
LATENCY_TARGET_S = 4.0
"""The latency target of the messages' priority class."""
FINAL_OUTCOMES_TIMEOUT_S = 25.0
"""How long to wait for the last outcomes. It is just over the messages' deadline, which is 24 s."""
POLL_INTERVAL_S = 0.25
"""The interval between reads of the outcome log and of the gateway's status."""
ACCEPTED_STATUS = 202
REJECTION_REASONS = {429: "rejected at once: not expected in time", 503: "rejected at once: no capacity"}
"""The reason for which a message was not accepted, by the HTTP status of the response."""
LATER_REJECTION_REASON = "accepted, then not expected in time"


@dataclass(frozen=True, slots=True)
class Progress:
    """The state of a running demonstration. `elapsed` and `total` are in seconds.

    `status` is the gateway's last answer to the command `status` on its control socket.
    It is empty before the first answer.
    """

    elapsed: float
    total: float
    phase: DemoPhase
    statistics: DemoStatistics
    status: dict[str, Any]


ShowProgress = Callable[[Progress], None]


async def run(seconds: float, seed: int, show: ShowProgress) -> Summary:
    """Run one demonstration. The times before, during and after the fault are a third of `seconds` each."""
    with tempfile.TemporaryDirectory(prefix="emberlatch-") as name:
        folder = Path(name)
        async with start_partners() as partners:
            port = free_port()
            write_configuration(folder, partners.addresses, f"127.0.0.1:{port}")
            async with start_gateway(folder, port):
                return await _TrafficDriver(folder, port, seconds, seed, show, partners).run()


class _TrafficDriver:
    """Submits messages at random times and reads their outcomes."""

    def __init__(
        self, folder: Path, port: int, seconds: float, seed: int, show: ShowProgress, partners: Partners
    ) -> None:
        self._state_folder, self._port, self._seconds = folder / "state", port, seconds
        self._show, self._partners = show, partners
        self._random = random.Random(seed)
        self._statistics = DemoStatistics(PARTNERS, BROKEN_PARTNER, LATENCY_TARGET_S)
        self._no_open_messages = asyncio.Event()
        self._idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._log_offset = 0  # number of bytes of the outcome log that have been read
        self._status: dict[str, Any] = {}
        self._phase = DemoPhase.BEFORE

    async def run(self) -> Summary:
        """Send all traffic, and wait for the last outcomes."""
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            progress = tasks.create_task(self._report_progress(started_at))
            fault = tasks.create_task(self._inject_fault())
            await self._submit_messages(tasks, started_at)
            await fault
            await self._wait_for_outcomes()
            progress.cancel()
        for _, writer in self._idle_connections:
            writer.close()
        self._read_outcomes()
        return self._statistics.summary()

    async def _submit_messages(self, tasks: asyncio.TaskGroup, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        at, number = started_at, 0
        while (at := at + self._random.expovariate(MESSAGES_PER_S)) < started_at + self._seconds:
            await asyncio.sleep(max(0.0, at - loop.time()))
            number += 1
            tasks.create_task(self._submit(f"demo-{number}"))

    async def _wait_for_outcomes(self) -> None:
        """Wait until every message has an outcome, or until the time-out."""
        if not self._statistics.open:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_OUTCOMES_TIMEOUT_S):
                await self._no_open_messages.wait()

    async def _inject_fault(self) -> None:
        for phase, condition in ((DemoPhase.DURING, "hang"), (DemoPhase.AFTER, "well")):
            await asyncio.sleep(self._seconds / 3)
            for wing in WINGS:
                await self._partners.set_condition(endpoint_id(BROKEN_PARTNER, wing), condition)
            self._phase = phase

    async def _report_progress(self, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._read_outcomes()
            with contextlib.suppress(OSError, ValueError):
                self._status = await asyncio.to_thread(send_command, self._state_folder, "status")
            elapsed = loop.time() - started_at
            self._show(Progress(elapsed, self._seconds, self._phase, self._statistics, self._status))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _read_outcomes(self) -> None:
        """Read the lines that were appended to the outcome log; an incomplete last line is read next time."""
        with contextlib.suppress(FileNotFoundError), (self._state_folder / CURRENT_FILE).open("rb") as file:
            file.seek(self._log_offset)
            data = file.read()
            complete = data[: data.rfind(b"\n") + 1]
            self._log_offset += len(complete)
            for line in complete.splitlines():
                outcome = json.loads(line)
                self._record_outcome(outcome["id"], outcome["state"], outcome["at"], LATER_REJECTION_REASON)

    def _record_outcome(self, message: str, state: str, at: float, reason: str) -> None:
        self._statistics.record_outcome(message, state, at, reason)
        if not self._statistics.open:
            self._no_open_messages.set()

    async def _submit(self, message: str) -> None:
        names = list(PARTNERS)
        partner = self._random.choices(names, [PARTNERS[name].share for name in names])[0]
        self._statistics.record_submission(message, partner, self._phase, time.time())
        self._no_open_messages.clear()
        head = (
            f"POST /api HTTP/1.1\r\nHost: gateway\r\n"
            f"X-Request-ID: {message}\r\nIdempotency-Key: {message}\r\n"
            f"X-Priority-Class: payout\r\nX-Timeout-Ms: 24000\r\nEnvelope: dest={partner}\r\n"
            "Content-Length: 5\r\n\r\nhello"
        )
        status = await self._exchange(head.encode())
        if status != ACCEPTED_STATUS:  # no outcome will follow in the outcome log
            state = REFUSED if status in REJECTION_REASONS else "failed"
            self._record_outcome(message, state, time.time(), REJECTION_REASONS.get(status, ""))

    async def _exchange(self, request: bytes) -> int:
        """Send a request on an idle or a new connection; returns the status, or 0 if it failed."""
        try:
            if self._idle_connections:
                reader, writer = self._idle_connections.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            return 0
        if b"Connection: close" in head:
            writer.close()
        else:
            self._idle_connections.append((reader, writer))
        return int(head.split(b" ", 2)[1])
