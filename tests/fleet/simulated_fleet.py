"""Simulates membership machines on a network with faults, with a simulated clock and without sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from emberlatch.fleet.frames import AnyFrame, MemberState
from emberlatch.fleet.membership import (
    Halt,
    IncarnationChanged,
    IsolationReason,
    LogEvent,
    MembershipMachine,
    ProcessIdentity,
    SendFrame,
)

LATENCY_S = 0.005


class SimulatedFleet:
    """A fleet of membership machines.

    `is_lost(sender, recipient)` decides whether a frame is lost, and `latency_s(sender, recipient)` how long
    a frame takes. `events` lists each log event with its time and member. `halted` lists the members that
    requested a halt. `stopped` is the set of members that a test has stalled.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self.now, self.random = 0.0, random.Random(seed)
        self.names = [f"m{number}" for number in range(size)]
        self.members: dict[str, MembershipMachine] = {}
        self.events: list[tuple[float, str, str, dict[str, Any]]] = []
        self.halted: list[str] = []
        self.is_lost: Callable[[str, str], bool] = lambda one, other: False
        self.latency_s: Callable[[str, str], float] = lambda one, other: LATENCY_S
        self.stopped: set[str] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for name in self.names:
            self.start(name)

    def start(self, name: str, generation: int = 1, run_suffix: str = "") -> MembershipMachine:
        """Start a new process of a member, and link it with all others."""
        run_id, seed = f"{name}.{generation}{run_suffix}", self.random.getrandbits(32)
        process = ProcessIdentity(name, generation, run_id)
        member = MembershipMachine(process, self.names, self.now, seed)
        self.members[name] = member
        for other in list(self.members):
            if other != name:
                self._send_handshake(name, other)
                self._send_handshake(other, name)
        return member

    def _send_handshake(self, sender: str, recipient: str) -> None:
        handshake, member = self.members[sender].handshake("fleet"), self.members[recipient]

        def deliver() -> None:
            if self.members.get(recipient) is member:
                member.on_handshake(self.now, handshake)

        self.call_later(0.001, deliver)

    def kill(self, name: str) -> None:
        del self.members[name]

    def call_later(self, delay_s: float, callback: Callable[[], Any]) -> None:
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), callback))

    def run(self, seconds: float) -> None:
        """Advance the simulated clock by `seconds`."""
        until = self.now + seconds
        while True:
            for name in list(self.members):
                self._carry_out(name)
            dues = [m.due for n, m in self.members.items() if n not in self.stopped]
            due = min([until, *dues, *(item[0] for item in self._queue[:1])])
            self.now = max(self.now, due)
            if self.now >= until:
                return
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            for name, member in list(self.members.items()):
                if name not in self.stopped and self.now >= member.due:
                    member.tick(self.now)

    def _carry_out(self, name: str) -> None:
        member = self.members[name]
        for action in member.take_actions():
            match action:
                case SendFrame(recipient, frame):
                    if recipient in self.members and not self.is_lost(name, recipient):
                        deliver = self._delivery(name, recipient, member, frame)
                        self.call_later(self.latency_s(name, recipient), deliver)
                case LogEvent(event, fields):
                    self.events.append((self.now, name, event, dict(fields)))
                case Halt():
                    self.halted.append(name)
                case IncarnationChanged():
                    for other in self.members:
                        if other != name:
                            self._send_handshake(name, other)

    def _delivery(
        self, sender: str, recipient: str, member: MembershipMachine, frame: Any
    ) -> Callable[[], None]:
        receiver, incarnation = self.members[recipient], member.identity.incarnation
        received: AnyFrame = frame

        def deliver() -> None:
            if self.members.get(recipient) is not receiver:
                return
            if recipient in self.stopped:  # the frame waits in the stalled process's receive buffer
                self.call_later(0.05, deliver)
                return
            receiver.on_frame(self.now, sender, incarnation, received)

        return deliver

    def state_of(self, peer: str, seen_by: str) -> MemberState:
        return self.members[seen_by].peers[peer].state

    def is_seen_by_all(self, peer: str, state: MemberState) -> bool:
        return all(self.state_of(peer, name) is state for name in self.members if name != peer)

    def isolation_reasons(self) -> dict[str, IsolationReason]:
        return {name: member.partition.reason for name, member in self.members.items()}

    def logged(self, event: str, member: str = "") -> list[dict[str, Any]]:
        return [fields for _, name, kind, fields in self.events if kind == event and member in ("", name)]


def partition(*sides: set[str]) -> Callable[[str, str], bool]:
    """Return an `is_lost` function by which all frames are lost except between members of the same side."""
    return lambda one, other: not any(one in side and other in side for side in sides)
