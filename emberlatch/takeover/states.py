"""The states of the side that gives way, without I/O and without a clock.

| state | event | next state | what to do |
| --- | --- | --- | --- |
| serving | asked, same version | cutting | hold clients, end the turn, send the state, free the lock |
| serving | asked, other version | serving | answer `cannot` |
| cutting, reclaiming | asked | the same | answer `busy` |
| lending, stopping, ended | asked | the same | answer `cannot` |
| cutting | `have` | lending | hand over connections, carry what is out |
| cutting | no answer in time, or the link broke | reclaiming | try the lock |
| reclaiming | the lock is ours | serving | go on as if nothing had been |
| reclaiming | `have` | lending | as above |
| reclaiming | the link broke and the lock is another's | ended | end: somebody else owns |
| lending | nothing is out | ended | end |
| lending | the link broke | ended | end: nobody is left to tell |
| serving | SIGTERM | stopping | stop as ever |
| cutting, reclaiming | SIGTERM | the same | stop once it is known who owns |
| lending | SIGTERM | lending | carry on, for as long as a stop may take |
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """Where the giving side stands."""

    SERVING = "serving"
    CUTTING = "cutting"
    RECLAIMING = "reclaiming"
    LENDING = "lending"
    STOPPING = "stopping"
    ENDED = "ended"


class Reply(Enum):
    """What one that asks is told."""

    CUT = "cut"
    BUSY = "busy"  # ask again
    CANNOT = "cannot"  # wait for the lock


UNSETTLED = (State.CUTTING, State.RECLAIMING)


class Giving:
    """See the module."""

    def __init__(self, version: int) -> None:
        self.state, self._version = State.SERVING, version

    @property
    def settled(self) -> bool:
        """Whether it is known who owns."""
        return self.state not in UNSETTLED

    @property
    def owns(self) -> bool:
        """Whether this process decides."""
        return self.state in (State.SERVING, State.STOPPING)

    def asked(self, version: object) -> Reply:
        """Somebody wants to follow."""
        if self.state in UNSETTLED:
            return Reply.BUSY
        if self.state is not State.SERVING or version != self._version:
            return Reply.CANNOT
        self.state = State.CUTTING
        return Reply.CUT

    def have(self) -> None:
        """The other one owns."""
        if self.state in UNSETTLED:
            self.state = State.LENDING

    def unheard(self) -> None:
        """No answer came in time, or the link broke."""
        if self.state is State.CUTTING:
            self.state = State.RECLAIMING
        elif self.state is State.LENDING:
            self.state = State.ENDED

    def reclaimed(self) -> None:
        """The lock is ours again."""
        if self.state is State.RECLAIMING:
            self.state = State.SERVING

    def lost(self) -> None:
        """The lock is another's, and who took it cannot tell us."""
        if self.state is State.RECLAIMING:
            self.state = State.ENDED

    def returned(self) -> None:
        """Nothing is out any more."""
        if self.state is State.LENDING:
            self.state = State.ENDED

    def stop(self) -> bool:
        """SIGTERM; whether this process owns, and stops as an owner does."""
        if self.state is State.SERVING:
            self.state = State.STOPPING
        return self.state is State.STOPPING
