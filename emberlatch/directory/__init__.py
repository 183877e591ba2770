"""Asking a directory, decided without I/O and without a clock: when to ask, how, and what to believe.

`Client` is the machine and `Ledger` what it has asked and not heard. Both take times (seconds on any clock
that does not jump) and say what to do; `net.directory` carries it out.
"""

from emberlatch.directory.client import Ask, Client, Drop, Failure, Question
from emberlatch.directory.ledger import Ledger, Terms
from emberlatch.directory.pauses import Pauses

__all__ = ["Ask", "Client", "Drop", "Failure", "Ledger", "Pauses", "Question", "Terms"]
