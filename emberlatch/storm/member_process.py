"""One member of a storm: its successive processes, its folder and its ports."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from emberlatch.standalone import send_command
from emberlatch.standalone.outcome_file import CURRENT_FILE
from emberlatch.standins import reserve_port
from emberlatch.storm.history import RUNNER, EventKind, Recorder
from emberlatch.storm.member_log import SERVING_EVENT, OutcomeReader, parse_log_line

PROGRAM = ("-m", "emberlatch.storm.process")
"""The command-line arguments with which Python runs a member's program."""
MAX_LOG_LINE_BYTES = 1 << 20


@dataclass(slots=True)
class StartConditions:
    """The conditions under which the next process of a member starts; `delay_s` is reset at each start."""

    wall_offset_s: float = 0.0
    clock_rate: float = 1.0
    delay_s: float = 0.0


class MemberProcess:
    """Starts, signals and monitors the process of one member, and records its events.

    The ports are reserved until `close`, so that no other process gets one of them while this process is
    down. Each start is one incarnation, counted from 1; `exited` and `serving` concern the current one.
    """

    def __init__(
        self, name: str, folder: Path, short_paths: Path, record: Recorder, program: Sequence[str] = PROGRAM
    ) -> None:
        """Create the folder, and in `short_paths` a symbolic link to the state folder.

        The process binds a Unix socket in its state folder. The path of such a socket is limited to 107
        bytes, which the path of `folder` may exceed, so the process uses the link.
        """
        self.name, self.folder, self._record, self._program = name, folder, record, program
        self._reservations = [reserve_port(), reserve_port()]
        self.port, self.fleet_port = (int(port.getsockname()[1]) for port in self._reservations)
        self.next_start = StartConditions()
        self.incarnation = 0
        self.serving = asyncio.Event()
        self.exited = asyncio.Event()
        self.exited.set()
        self._suspended = False
        self._process: asyncio.subprocess.Process | None = None
        self._log_task: asyncio.Task[None] | None = None
        self._state_folder = folder / "state"
        self._state_folder.mkdir(parents=True)
        self.state_path = short_paths / folder.name
        self.state_path.symlink_to(self._state_folder.absolute())
        self._outcomes = OutcomeReader(self._state_folder / CURRENT_FILE)

    @property
    def config_path(self) -> Path:
        """The configuration file."""
        return self.folder / "gateway.toml"

    @property
    def inventory_path(self) -> Path:
        """The file of the partners' endpoints."""
        return self.folder / "inventory.csv"

    async def start(self) -> None:
        """Start the next incarnation, and return before it serves."""
        self.incarnation += 1
        self.exited.clear()
        self.serving.clear()
        self._process = await self._spawn()
        delay_s, self.next_start.delay_s = self.next_start.delay_s, 0.0
        self._record_process_event(EventKind.PROCESS_STARTED, life=self.incarnation, late=delay_s)
        self._log_task = asyncio.create_task(self._record_log_until_exit(self._process, self.incarnation))

    async def _spawn(self) -> asyncio.subprocess.Process:
        conditions = self.next_start
        arguments = [
            str(self.config_path),
            f"--wall={conditions.wall_offset_s}",
            f"--rate={conditions.clock_rate}",
            f"--late={conditions.delay_s}",
        ]
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *self._program,
            *arguments,
            stderr=asyncio.subprocess.PIPE,
            limit=MAX_LOG_LINE_BYTES,
        )

    def _record_process_event(self, kind: EventKind, **payload: object) -> None:
        self._record(RUNNER, kind, {"member": self.name, **payload})

    async def _record_log_until_exit(self, process: asyncio.subprocess.Process, incarnation: int) -> None:
        """Save and record the log of a process until the process has exited."""
        assert process.stderr is not None
        # The last line that is not a log event. A process that cannot continue writes the reason in it.
        last_text = ""
        with (self.folder / "log").open("ab") as log:
            async for line in process.stderr:
                log.write(line)
                log.flush()
                if not self._record_log_line(line):
                    last_text = line.decode(errors="replace").strip() or last_text
        status = await process.wait()
        if incarnation == self.incarnation:
            self.serving.clear()
            self.exited.set()
        reason = {"text": last_text} if status > 0 else {}
        self._record_process_event(EventKind.PROCESS_EXITED, life=incarnation, status=status, **reason)

    def _record_log_line(self, line: bytes) -> bool:
        """Record the event of a log line, and return whether the line is a log event."""
        event = parse_log_line(line)
        if event is None or event.is_text:
            return event is not None
        if event.name == SERVING_EVENT:
            self.serving.set()
            self._record_process_event(EventKind.SERVING, life=self.incarnation)
        self._record(self.name, event.name, event.fields)
        return True

    def record_outcomes(self) -> None:
        """Record the outcomes that were written since the last call."""
        for outcome in self._outcomes.read_new():
            self._record(self.name, EventKind.OUTCOME, outcome)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None and not self.exited.is_set():
            self._process.send_signal(number)

    def suspend(self) -> None:
        """Send SIGSTOP."""
        if not self.exited.is_set():
            self.send_signal(signal.SIGSTOP)
            self._suspended = True
            self._record_process_event(EventKind.SUSPENDED)

    def resume(self) -> None:
        """Send SIGCONT to the process if it is suspended."""
        if self._suspended:
            self._suspended = False
            self.send_signal(signal.SIGCONT)
            self._record_process_event(EventKind.RESUMED)

    async def kill(self) -> None:
        """Send SIGKILL, and wait until the process has exited."""
        self._suspended = False
        if not self.exited.is_set():
            self._record_process_event(EventKind.KILLED)
        self.send_signal(signal.SIGKILL)
        await self.exited.wait()

    async def terminate(self, timeout_s: float) -> None:
        """Send SIGTERM, and SIGKILL if the process has not exited within `timeout_s`."""
        self.resume()
        if not self.exited.is_set():
            self._record_process_event(EventKind.TERMINATED)
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.exited.wait(), timeout_s)
        except TimeoutError:
            await self.kill()

    async def leave(self, timeout_s: float) -> None:
        """Send the operators' command `leave`, which makes the process leave the fleet and exit.

        If the command fails, the process is ended as `terminate` does.
        """
        self._record_process_event(EventKind.TERMINATED)
        with contextlib.suppress(OSError, ValueError):
            await asyncio.to_thread(send_command, self.state_path, "leave", timeout_s)
        await self.terminate(timeout_s)

    def wipe(self) -> None:
        """Record the last outcomes, then empty the state folder."""
        self.record_outcomes()
        shutil.rmtree(self._state_folder, ignore_errors=True)
        self._state_folder.mkdir(exist_ok=True)
        self._outcomes.restart()
        self._record_process_event(EventKind.STATE_WIPED)

    async def close(self) -> None:
        """Kill the process, record its remaining output and release the ports; the folder is not deleted."""
        await self.kill()
        if self._log_task is not None:
            await self._log_task
        self.record_outcomes()
        for reservation in self._reservations:
            reservation.close()
