"""The client of a directory as a machine: times, answers and failures in, calls out.

| state | event | next state | what to do |
| --- | --- | --- | --- |
| idle | `watch(True)` | asking | ask |
| asking | answer taken | resting for `GAP` | |
| asking | answer that goes back | resting for a pause | the next call asks for the whole list |
| asking | failure | resting for a pause | |
| asking | quiet for too long | asking | ask anew, and drop the quiet call once that one speaks or is quiet |
| resting | the rest is over | asking | ask |
| asking, resting | `move()` | asking | drop every call, ask the new place for the whole list |
| asking, resting | `watch(False)` | idle after the present call | |

A look-up for its own sake goes on beside all this. After each event comes `act`, and it comes again at
`due` at the latest.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from emberlatch.directory.ledger import Ledger, Terms
from emberlatch.directory.pauses import Pauses

WAIT = 20.0  # seconds that a watch may wait at the service: what an answer that is lost held is due only then
QUIET = 5.0  # seconds after which a silent watch is asked anew while changes or failures are about; doubled
# each time, until the empty answer at the end of its wait comes first, which leaves nothing unheard
SLACK = 0.6  # seconds that this empty answer may take
LOOK_QUIET, LOOK_HASTE = 2.0, 1.0  # seconds for a look-up, which is worked through at once; if it is urgent
GAP = 0.05  # seconds between two calls of a watch: it goes on if the next comes within 0.2


class Failure(Enum):
    """How a call ended without an answer that can be taken."""

    UNSENT = "unsent"  # broken before its last byte was written: the service knows nothing of it
    ENDED = "ended"  # the connection ended, or the answer was an error
    UNREADABLE = "unreadable"  # there was an answer, and no sense in it


@dataclass(frozen=True, slots=True)
class Question:
    """What a call asks: the whole list (`since` is None), or what is newer than a revision, for which it
    may wait so many seconds."""

    since: int | None
    wait: float


@dataclass(frozen=True, slots=True)
class Ask:
    """Make a call. `anew`: on a connection of its own, since the one before may lead nowhere."""

    call: int
    question: Question
    anew: bool


@dataclass(frozen=True, slots=True)
class Drop:
    """Give a call up: its connection ends, and nothing that it still brings counts."""

    call: int


Action = Ask | Drop


@dataclass(slots=True)
class _Call:
    question: Question
    asked: float
    quiet: float  # when it has said nothing for too long


class Client:
    """See the module. One watch, and at most one look-up beside it, are out at a time."""

    def __init__(self, seed: int, terms: Terms = Terms(), callers: int = 1) -> None:  # noqa: B008 (frozen)
        """`callers`: how many forwarders, with this one, ask the same service."""
        self.revision: int | None = None
        """The revision of the list that was taken last; None where the whole list is to be asked for."""
        self.ledger = Ledger(terms)
        self._pauses = Pauses(seed, callers)
        self._wanted = self._look = False
        self._rest_until = -math.inf
        self._calls: dict[int, _Call] = {}
        self._watching: int | None = None
        self._former: int | None = None  # a watch that was quiet: what it may still bring is on its way
        self._looking: int | None = None
        self._numbers = 0
        self._anew = False
        self._patience = min(QUIET + self._pauses.round, WAIT + SLACK)  # of one watch of many callers
        self._quiet = self._patience
        self._taken = -math.inf  # when the last answer was taken
        self._orders: list[Action] = []

    # What it is told.

    def known(self, now: float, revision: int) -> None:
        """Start from a list that came by another way: the first watch has time."""
        self.revision, self._rest_until = revision, now + self._pauses.first()

    def watch(self, active: bool) -> None:
        """Keep hearing of changes, or stop after the present call. Said again, it changes nothing."""
        self._wanted = active

    def look_up(self) -> None:
        """Ask for the whole list once; while one such call is out, a second would tell the same."""
        self._look = self._look or self._looking is None

    def move(self, now: float) -> None:
        """The service is at another place. Revisions belong to the place that gave them."""
        for call in self._calls:
            self._orders.append(Drop(call))
        self._look = self._look or self._looking is not None
        self._calls.clear()
        self._watching = self._former = self._looking = None
        self.revision, self._anew, self._quiet, self._taken = None, True, self._patience, -math.inf
        self._pauses.reset()
        self._rest_until = now + min(self._pauses.first(), self.ledger.terms.after_move / 2)
        self.ledger.moved(now)

    def answered(self, now: float, call: int, revision: int, whole: bool) -> bool:
        """An answer that could be read has come; whether it is to be believed and passed on."""
        mine = self._end(call)
        if mine is None:
            return False
        known = self.revision
        if known is not None and revision < known and (mine.asked < self._taken or not whole):
            if mine.asked >= self._taken:  # changes up to before what we have: this place has lost its past
                self.revision = None
                self._failed(now, mine, call, 0.0)
            elif call == self._watching:
                self._rest(call, now + GAP)
            return False  # else: a slow answer, older than one that was taken while it was out
        self._quiet = self._patience if revision != known else self._quiet
        self.revision, self._taken = revision, now
        if call == self._watching:
            self._drop_former()  # before what was unheard is settled: this answer holds what that one would
        self.ledger.heard()
        self._pauses.reset()
        self._rest(call, now + GAP)
        return True

    def failed(self, now: float, call: int, failure: Failure, retry_after: float = 0.0) -> bool:
        """A call brought nothing; `retry_after` is how long the service asks to be left alone, in seconds.

        Whether that is news: a call that was dropped has failed before.
        """
        mine = self._end(call)
        if mine is None:
            return False
        if failure is Failure.UNREADABLE:
            self.revision = None  # what was meant cannot be known: the whole list says it anew
        if failure is not Failure.UNSENT:
            self._owe(mine)
        if call == self._former:
            self._former = None
            return False
        self._failed(now, mine, call, retry_after)
        return True

    # What it wants done.

    def act(self, now: float) -> list[Action]:
        """What is to be done now, in order."""
        for number, call in list(self._calls.items()):
            if now < call.quiet:
                continue
            if number == self._looking:
                self._drop(number)
            else:
                self._drop_former()
                self._former, call.quiet = number, math.inf
                self._anew, self._quiet = True, min(2 * self._quiet, WAIT + SLACK)
            self._rest(number, now)
        if self._look:
            self._look = False
            self._looking = self._ask(now, Question(None, 0.0), beside=True)
        if self._wanted and self._watching is None and now >= self._rest_until:
            self._watching = self._ask(now, self._question(), beside=False)
        orders, self._orders = self._orders, []
        return orders

    @property
    def due(self) -> float:
        """When `act` has something to do though nothing is heard."""
        if self._orders or self._look:
            return -math.inf
        resting = self._rest_until if self._wanted and self._watching is None else math.inf
        return min(resting, *(call.quiet for call in self._calls.values()), math.inf)

    def overdue(self, now: float) -> bool:
        """Whether something counts as told that was not heard."""
        return now >= self.ledger.due

    # Inside.

    def _question(self) -> Question:
        return Question(None, 0.0) if self.revision is None else Question(self.revision, WAIT)

    def _ask(self, now: float, question: Question, beside: bool) -> int:
        self._numbers += 1
        quiet = self._quiet
        if question.since is None:
            quiet = min(LOOK_QUIET, max(LOOK_HASTE, (self.ledger.due - now) / 4))
        self._calls[self._numbers] = _Call(question, now, now + quiet)
        self._orders.append(Ask(self._numbers, question, beside or self._anew))
        self._anew = self._anew and beside
        return self._numbers

    def _drop(self, number: int) -> None:
        self._owe(self._calls.pop(number))
        self._orders.append(Drop(number))

    def _drop_former(self) -> None:
        if self._former is not None and self._former in self._calls:
            self._drop(self._former)
        self._former = None

    def _end(self, call: int) -> _Call | None:
        return self._calls.pop(call, None)

    def _owe(self, call: _Call) -> None:
        self.ledger.unheard(call.asked, None if call.question.since is None else call.question.wait)

    def _failed(self, now: float, mine: _Call, call: int, retry_after: float) -> None:
        self._anew, self._quiet = True, self._patience
        self._rest(call, now + self._pauses.next(self.ledger.due - now, retry_after))

    def _rest(self, call: int, until: float) -> None:
        """The watch, if this was its call, goes on at that time."""
        if call == self._looking:
            self._looking = None
        elif call == self._watching:
            self._watching, self._rest_until = None, until
