"""What counts as told though it was not heard.

A directory that takes note of what it has told (docs/design/directory.md, "What counts as told") holds
a forwarder to each answer from some time after its call on, whether or not the answer came through. So a
call that was written and brought nothing is a debt: an answer to a later one must be taken before it is due.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """The service's figures, in seconds: when what it has to tell counts as told.

    After a look-up, after the end of a watch's wait, and after a move to another place.
    """

    after_look: float = 6.0
    after_wait: float = 2.0
    after_move: float = 4.0


class Ledger:
    """Calls that may have been answered and were not heard. Bounded: it keeps the earliest due time only."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.due = math.inf
        """When the first of what is not heard counts as told."""

    def unheard(self, asked: float, wait: float | None) -> None:
        """A call written at `asked` brought no answer; `wait` is that of a watch, None for a look-up."""
        told = self.terms.after_look if wait is None else wait + self.terms.after_wait
        self.due = min(self.due, asked + told)

    def moved(self, now: float) -> None:
        """The service is at another place: nothing of the old one binds, the new one is to be heard soon."""
        self.due = now + self.terms.after_move

    def heard(self) -> None:
        """An answer to a later call has been taken: it holds what the earlier ones would have told."""
        self.due = math.inf
