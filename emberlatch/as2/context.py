"""What all AS2 parts of a process share: the parties, the crypto service and the clock."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.as2.crypto_service import CryptoService
from emberlatch.as2.profile import Parties
from emberlatch.engine import REAL_MACHINE, Machine


@dataclass(frozen=True, slots=True)
class As2Context:
    """The shared context of all AS2 exchanges of a process, in both directions."""

    parties: Parties
    crypto: CryptoService
    machine: Machine = REAL_MACHINE
    """The machine that the process runs on; its clock decides which certificates are valid."""

    def now(self) -> float:
        """Return Unix time in seconds."""
        return self.machine.wall_clock()
