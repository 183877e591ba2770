"""The state machine of the process that hands over, without I/O and clock.

| state | event | next state | what the process does |
| --- | --- | --- | --- |
| serving | request, same version | handing over | pause clients, freeze, send state, release the lock |
| serving | request, other version | serving | answer `cannot` |
| handing over, reclaiming | request | the same | answer `busy` |
| relaying, shutting down, ended | request | the same | answer `cannot` |
| handing over | ownership taken | relaying | hand over connections, relay outcomes |
| handing over | no answer in time, or the connection broke | reclaiming | try to acquire the lock |
| reclaiming | lock acquired | serving | resume normal operation |
| reclaiming | ownership taken | relaying | hand over connections, relay outcomes |
| reclaiming | the connection broke, and another process holds the lock | ended | exit |
| relaying | nothing is in flight | ended | exit |
| relaying | the connection broke | ended | exit: outcomes cannot be relayed |
| serving | SIGTERM | shutting down | shut down gracefully |
| handing over, reclaiming | SIGTERM | the same | shut down once the owner is known |
| relaying | SIGTERM | relaying | continue within the time limit of a graceful shutdown |
"""

from __future__ import annotations

from enum import Enum, auto


class HandoverState(Enum):
    """The state of the process that hands over."""

    SERVING = auto()
    HANDING_OVER = auto()
    RECLAIMING = auto()
    RELAYING = auto()
    SHUTTING_DOWN = auto()
    ENDED = auto()


class HandoverReply(Enum):
    """The owner's decision on a takeover request."""

    HAND_OVER = auto()
    BUSY = auto()  # the successor should ask again
    CANNOT = auto()  # the successor should wait for the lock


UNDECIDED = (HandoverState.HANDING_OVER, HandoverState.RECLAIMING)


class HandoverStateMachine:
    """Implements the transitions in the table at the start of this module.

    Attributes:
        state: the current state; changed by the methods of this class only.
    """

    def __init__(self, version: int) -> None:
        """`version` is the version of the state format that this process hands over."""
        self.state, self._version = HandoverState.SERVING, version

    @property
    def decided(self) -> bool:
        """Whether it is known which process owns the state folder."""
        return self.state not in UNDECIDED

    @property
    def owns(self) -> bool:
        """Whether this process owns the state folder."""
        return self.state in (HandoverState.SERVING, HandoverState.SHUTTING_DOWN)

    def on_request(self, version: object) -> HandoverReply:
        """Handle a takeover request of a process that can read the given version of the state format."""
        if self.state in UNDECIDED:
            return HandoverReply.BUSY
        if self.state is not HandoverState.SERVING or version != self._version:
            return HandoverReply.CANNOT
        self.state = HandoverState.HANDING_OVER
        return HandoverReply.HAND_OVER

    def on_ownership_taken(self) -> None:
        """Handle the successor's confirmation that it owns the folder."""
        if self.state in UNDECIDED:
            self.state = HandoverState.RELAYING

    def on_no_answer(self) -> None:
        """Handle a missing answer within the time limit, or a broken connection."""
        if self.state is HandoverState.HANDING_OVER:
            self.state = HandoverState.RECLAIMING
        elif self.state is HandoverState.RELAYING:
            self.state = HandoverState.ENDED

    def on_lock_reacquired(self) -> None:
        """Handle that this process has acquired the lock again."""
        if self.state is HandoverState.RECLAIMING:
            self.state = HandoverState.SERVING

    def on_lock_lost(self) -> None:
        """Handle the loss of the lock: another process holds it, but the connection to that process broke."""
        if self.state is HandoverState.RECLAIMING:
            self.state = HandoverState.ENDED

    def on_relay_finished(self) -> None:
        """Handle the end of the relay: nothing is in flight any more."""
        if self.state is HandoverState.RELAYING:
            self.state = HandoverState.ENDED

    def on_stop(self) -> bool:
        """Handle SIGTERM; return whether this process must shut down gracefully as the owner."""
        if self.state is HandoverState.SERVING:
            self.state = HandoverState.SHUTTING_DOWN
        return self.state is HandoverState.SHUTTING_DOWN
