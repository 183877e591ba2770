"""The machine of a run: its disks, clock and network survive the gateway's processes."""

from __future__ import annotations

from collections.abc import Callable

from emberlatch.as2.ports import StateFolders
from emberlatch.as2.side import LEDGER, ORDERS
from emberlatch.engine import Machine
from emberlatch.faults.disk import Disk
from emberlatch.faults.network import Network

JOURNAL = "journal"
DISKS = (JOURNAL, LEDGER, ORDERS)
BOOT_ID = "one"  # constant, because the machine itself never restarts


class SimulatedMachine:
    """One machine: a network, a Unix clock, and `disks` by name, one for each state folder."""

    def __init__(self, network: Network, unix_time: Callable[[], float]) -> None:
        self.disks = {name: Disk() for name in DISKS}
        self.network, self._unix_time = network, unix_time

    def restart_disks(self) -> None:
        """Close all open file handles, so that the next process can use the disks."""
        for disk in self.disks.values():
            disk.restart()

    @property
    def journal(self) -> Disk:
        """The disk that has the journal."""
        return self.disks[JOURNAL]

    @property
    def as2_folders(self) -> StateFolders:
        """The disks that have the AS2 ledger and the AS2 orders."""
        return StateFolders(self.disks[LEDGER], self.disks[ORDERS])

    def facilities(self) -> Machine:
        """The machine as the engine expects it."""
        return Machine(self._unix_time, lambda: BOOT_ID, self.network.listen, lambda _: self.journal)
