"""The clock of deadlines and attempts in the journal."""

from __future__ import annotations

import asyncio

from emberlatch.engine.machine import Machine
from emberlatch.store import Journal


class JournalClock:
    """Unix time that does not jump when the wall clock is set.

    Setting the wall clock must not change deadlines or the ages of attempts. The event loop's clock is
    monotonic and continues across a restart of the process, but restarts when the machine boots. So the
    journal stores the offset between both clocks, with the id of the boot in which the offset was measured.
    """

    def __init__(self, journal: Journal, machine: Machine) -> None:
        self._journal, self._machine = journal, machine
        self._loop = asyncio.get_running_loop()
        self._offset = 0.0

    def start(self) -> None:
        """Use the stored offset, or measure and store a new one. Call this after the journal is loaded."""
        self._offset = self._measure_offset()

    def _measure_offset(self) -> float:
        """Return and store the seconds by which the journal's clock is ahead of the event loop's clock."""
        boot, offset = self._machine.boot_id(), self._machine.wall_clock() - self._loop.time()
        stored = self._journal.clock
        if boot and stored is not None and stored[0] == boot:
            offset = stored[1]
        self._journal.clock = boot, offset
        return offset

    def now(self) -> float:
        """Return the time in seconds since the Unix epoch."""
        return self._loop.time() + self._offset
