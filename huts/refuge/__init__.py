"""Messages on disk: copies, digests over ranges, repair."""

from huts.refuge.keeper import Keeper
from huts.refuge.ledger import Ledger
from huts.refuge.record import Record, State
from huts.refuge.shelf import Shelf

__all__ = ["Keeper", "Ledger", "Record", "Shelf", "State"]
