"""Compares failure detection by the membership machine with all-to-all heartbeats, on a simulated clock.

    python -m benchmarks.members [--sizes 3,10,40] [--losses 0,0.05,0.2] [--deaths 20] [--calm 60]

Frames are lost with the given probability (without retransmission, which is worse than a link over TCP) and
take 1 to 20 ms. The slow member handles every event up to 0.6 s late, like a process short of processor time.
In each fleet, one member at a time is killed, and restarts once all others have detected the failure.
False deaths count each time that a member considers a running one unreachable.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from emberlatch.fleet.frames import AnyFrame, Handshake, MemberState, encode
from emberlatch.fleet.membership import MembershipMachine, ProcessIdentity, SendFrame

MAX_LATENESS_S = 0.6  # maximum delay of an event at the slow member
WARM_UP_S = 5.0  # time for all members of a fleet to discover each other
LATENCY_S = (0.001, 0.02)
MIN_TIMER_S = 1e-4
DETECTION_LIMIT_S = 60.0
RESTART_S = 4.0  # time for a restarted member to rejoin
# In larger fleets, killing a process does not reset its links.
MAX_RESET_LINKS_SIZE = 40
HEARTBEAT_BYTES = 24


@dataclass(frozen=True, slots=True)
class SentFrame:
    """A frame with the incarnation of its sender; `frame` is None for a heartbeat."""

    recipient: str
    incarnation: int
    frame: AnyFrame | None
    size: int  # bytes


class Detector(Protocol):
    """One member's failure detector."""

    @property
    def due(self) -> float:
        """Return the time at which `tick` is due."""

    def tick(self, now: float) -> None:
        """Take the actions that are due at this time."""

    def receive(self, now: float, sender: str, sent: SentFrame) -> None:
        """Process a received frame."""

    def take_frames(self) -> list[SentFrame]:
        """Return the frames to send, and clear them."""

    def handshake_to(self, name: str) -> SentFrame:
        """Return the first frame to a member."""

    def on_link_down(self, now: float, name: str) -> None:
        """Handle the reset of the link with a member."""

    def considers_failed(self, name: str) -> bool:
        """Return whether this member considers another one failed."""


class SwimDetector:
    """Failure detection by the membership machine."""

    def __init__(self, name: str, names: list[str], generation: int, now: float, seed: int) -> None:
        process = ProcessIdentity(name, generation, run_id=f"{name}-{generation}")
        self._machine = MembershipMachine(process, names, now, seed)

    @property
    def due(self) -> float:
        """Return the time at which `tick` is due."""
        return self._machine.due

    def tick(self, now: float) -> None:
        """Take the actions that are due at this time."""
        self._machine.tick(now)

    def receive(self, now: float, sender: str, sent: SentFrame) -> None:
        """Process a received frame."""
        if isinstance(sent.frame, Handshake):
            self._machine.on_handshake(now, sent.frame)
        elif sent.frame is not None:
            self._machine.on_frame(now, sender, sent.incarnation, sent.frame)

    def take_frames(self) -> list[SentFrame]:
        """Return the frames to send, and clear them."""
        actions = self._machine.take_actions()
        return [self._sent(a.recipient, a.frame) for a in actions if isinstance(a, SendFrame)]

    def handshake_to(self, name: str) -> SentFrame:
        """Return the first frame to a member."""
        return self._sent(name, self._machine.handshake("fleet"))

    def _sent(self, recipient: str, frame: AnyFrame) -> SentFrame:
        return SentFrame(recipient, self._machine.identity.incarnation, frame, len(encode(frame)))

    def on_link_down(self, now: float, name: str) -> None:
        """Handle the reset of the link with a member."""
        self._machine.on_link_down(now, name)

    def considers_failed(self, name: str) -> bool:
        """Return whether this member considers another one failed."""
        return self._machine.peers[name].state in (MemberState.UNREACHABLE, MemberState.LEFT)


class HeartbeatDetector:
    """Sends heartbeats to all members; considers a member failed that sent none within the time-out."""

    interval_s, timeout_s = 0.4, 2.4

    def __init__(self, name: str, names: list[str], generation: int, now: float, seed: int) -> None:
        self._now, self._others = now, [other for other in names if other != name]
        self._last_heartbeat_at = dict.fromkeys(self._others, now)
        self.due = now + random.Random(seed).uniform(0, self.interval_s)
        self._unsent: list[SentFrame] = []

    def tick(self, now: float) -> None:
        """Send a heartbeat to all other members."""
        self._now, self.due = now, now + self.interval_s
        self._unsent += [self.handshake_to(other) for other in self._others]

    def receive(self, now: float, sender: str, sent: SentFrame) -> None:
        """Record the time of a received heartbeat."""
        self._now, self._last_heartbeat_at[sender] = now, now

    def take_frames(self) -> list[SentFrame]:
        """Return the frames to send, and clear them."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def handshake_to(self, name: str) -> SentFrame:
        """Return a heartbeat."""
        return SentFrame(name, 0, None, HEARTBEAT_BYTES)

    def on_link_down(self, now: float, name: str) -> None:
        """Do nothing: heartbeats don't depend on links."""

    def considers_failed(self, name: str) -> bool:
        """Return whether this member considers another one failed."""
        return self._now - self._last_heartbeat_at[name] > self.timeout_s


@dataclass
class SimulatedFleet:
    """All members of a fleet, and the frames in flight between them."""

    make: Callable[[str, list[str], int, float, int], Detector]
    size: int
    loss: float  # probability that a frame is lost
    has_slow_member: bool
    seed: int
    now: float = 0.0
    sent_frames: int = 0
    sent_bytes: int = 0
    false_deaths: int = 0
    members: dict[str, Detector] = field(default_factory=dict)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self.names = [f"m{number}" for number in range(self.size)]
        self._generations = dict.fromkeys(self.names, 0)
        self.dead: set[str] = set()
        self._considered_failed: dict[str, set[str]] = {name: set() for name in self.names}
        for name in self.names:
            self.start(name)

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), callback))

    def start(self, name: str) -> None:
        """Start a new process of a member."""
        self.dead.discard(name)
        self._generations[name] += 1
        generation = self._generations[name]
        seed = self._random.getrandbits(32)
        member = self.members[name] = self.make(name, self.names, generation, self.now, seed)
        for other in self.names:
            if other != name and other not in self.dead and other in self.members:
                self._send(name, [member.handshake_to(other)], is_certain=True)
                self._send(other, [self.members[other].handshake_to(name)], is_certain=True)
        self._on_timer(name, generation)

    def _lateness(self, name: str) -> float:
        is_slow = self.has_slow_member and name == self.names[-1]
        return self._random.uniform(0, MAX_LATENESS_S) if is_slow else 0.0

    def _on_timer(self, name: str, generation: int) -> None:
        if name in self.dead or self._generations[name] != generation:
            return
        member = self.members[name]
        if self.now >= member.due:
            member.tick(self.now)
            self._after_event(name)
        self._set_timer(max(member.due, self.now + MIN_TIMER_S), name, generation)

    def _set_timer(self, when: float, name: str, generation: int) -> None:
        self._call_at(when + self._lateness(name), lambda: self._on_timer(name, generation))

    def _after_event(self, name: str) -> None:
        member = self.members[name]
        self._send(name, member.take_frames())
        alive = [other for other in self.names if other != name and other not in self.dead]
        considered_failed = {other for other in alive if member.considers_failed(other)}
        self.false_deaths += len(considered_failed - self._considered_failed[name])
        self._considered_failed[name] = considered_failed

    def _send(self, sender: str, frames: Iterable[SentFrame], is_certain: bool = False) -> None:
        for sent in frames:
            self.sent_frames += 1
            self.sent_bytes += sent.size
            if is_certain or self._random.random() >= self.loss:
                latency_s = self._random.uniform(*LATENCY_S)
                when = self.now + latency_s + self._lateness(sent.recipient)
                self._call_at(when, self._arrival(sender, sent))

    def _arrival(self, sender: str, sent: SentFrame) -> Callable[[], None]:
        name = sent.recipient

        def arrive() -> None:
            if name in self.dead:
                return
            member = self.members[name]
            due = member.due
            member.receive(self.now, sender, sent)
            self._after_event(name)
            if member.due < due:
                self._set_timer(max(member.due, self.now), name, self._generations[name])

        return arrive

    def run(self, until: float, is_over: Callable[[], bool] = lambda: False) -> None:
        """Advance the simulated clock until the given time, or until a condition holds."""
        while self._queue and self._queue[0][0] <= until and not is_over():
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        if not is_over():
            self.now = max(self.now, until)

    def kill(self, name: str) -> None:
        """Kill a member's process, which resets its links."""
        self.dead.add(name)
        if self.size <= MAX_RESET_LINKS_SIZE:
            for other in self.names:
                if other not in self.dead:
                    self.members[other].on_link_down(self.now, name)

    def is_known_dead(self, name: str) -> bool:
        """Return whether all other running members consider a member failed."""
        others = [other for other in self.members if other != name and other not in self.dead]
        return all(self.members[other].considers_failed(name) for other in others)


def measure(
    make: Callable[[str, list[str], int, float, int], Detector],
    size: int,
    loss: float,
    has_slow_member: bool,
    deaths: int,
    calm_s: float,
) -> str:
    """Return a table row: detection times over `deaths` kills; false deaths and cost without faults."""
    fleet = SimulatedFleet(make, size, loss, has_slow_member, seed=size * 7 + 1)
    fleet.run(WARM_UP_S)
    fleet.sent_frames = fleet.sent_bytes = fleet.false_deaths = 0
    fleet.run(WARM_UP_S + calm_s)
    member_s = calm_s * size
    costs = fleet.sent_frames / member_s, fleet.sent_bytes / member_s
    false_deaths = fleet.false_deaths * 3600 / member_s
    times = []
    for number in range(deaths):
        victim = fleet.names[number % max(1, size - 1)]
        killed_at = fleet.now
        fleet.kill(victim)
        fleet.run(killed_at + DETECTION_LIMIT_S, lambda victim=victim: fleet.is_known_dead(victim))  # type: ignore[misc]
        times.append(fleet.now - killed_at)
        fleet.start(victim)
        fleet.run(fleet.now + RESTART_S)
    times.sort()
    p99 = times[-1 if len(times) < 100 else int(len(times) * 0.99)]
    detection = f"{times[len(times) // 2]:6.2f} {p99:6.2f}"
    return f"{detection} {false_deaths:12.2f} {costs[0]:9.1f} {costs[1]:9.0f}"


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="3,10,40")
    parser.add_argument("--losses", default="0,0.05,0.2")
    parser.add_argument("--deaths", type=int, default=20)
    parser.add_argument("--calm", type=float, default=60.0)
    options = parser.parse_args()
    print("members loss slow  detector   all know s: p50   p99  false/m-hour  frames/s   bytes/s")
    for size in map(int, options.sizes.split(",")):
        for loss in map(float, options.losses.split(",")):
            for slow in (False, True):
                for detector_name, make in (("members", SwimDetector), ("heartbeats", HeartbeatDetector)):
                    row = measure(make, size, loss, slow, options.deaths, options.calm)
                    print(
                        f"{size:7} {loss:4.2f} {'yes' if slow else 'no':4}  {detector_name:10} {row:>20}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
