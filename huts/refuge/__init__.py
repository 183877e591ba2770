"""Messages on disk: copies, digests over ranges, repair."""

from huts.refuge.keeper import Keeper
from huts.refuge.ledger import Ledger
from huts.refuge.record import Record, State
from huts.refuge.shelf import Shelf
from huts.refuge.stock import Phase, Stock

__all__ = ["Keeper", "Ledger", "Phase", "Record", "Shelf", "State", "Stock"]
