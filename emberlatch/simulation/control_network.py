"""Frames between simulated machines: delayed, lost, doubled, late, or cut off for a time, one way or both."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from emberlatch.faults.loop import OUTSIDE, WORLD, Process, VirtualLoop, current

MIN_TASKS_KEPT = 1000
HEARTBEAT_SHARE = 0.5  # heartbeats are lost, doubled and late less often than requests


@dataclass(frozen=True, slots=True)
class Weather:
    """How the links behave: shares of the frames, and seconds."""

    latency: float = 0.002
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    latest: float = 3.0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a machine tells all others."""

    sender: str
    life: int
    identity: str
    address: str
    zone: str
    version: int  # of the state on its disk
    cluster: str
    silent: dict[str, float]  # seconds for which it has not heard these


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """A request of one process to another; `life` and `number` name the call for ever."""

    sender: str
    life: int
    number: int
    request: list[Any]


@dataclass(frozen=True, slots=True)
class ReplyFrame:
    """The reply to the call of that life and number."""

    sender: str
    life: int
    number: int
    reply: list[Any]


Frame = Heartbeat | RequestFrame | ReplyFrame


class DriftingLoop(VirtualLoop):
    """A virtual loop on which the timers of each process run a little fast or slow."""

    def __init__(self) -> None:
        super().__init__()
        self.rates: dict[Process, float] = {}
        self._prune_at = MIN_TASKS_KEPT

    def create_task(self, coro: Any, **more: Any) -> Any:
        """Tasks that have ended are not kept: a long day has very many."""
        if len(self.tasks) >= self._prune_at:
            self.tasks = [task for task in self.tasks if not task.done()]
            self._prune_at = max(MIN_TASKS_KEPT, 2 * len(self.tasks))
        return super().create_task(coro, **more)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        rate = self.rates.get(self._process_of(context), 1.0)
        now = self.time()
        return super().call_at(now + (when - now) * rate, callback, *args, context=context)

    @staticmethod
    def _process_of(context: Any) -> Process:
        process: Process = current.get() if context is None else context.get(current, WORLD)
        return process


@dataclass
class ControlNetwork:
    """All links. `deliver` hands a frame to the machine of a name, whatever life it is in."""

    loop: DriftingLoop
    chance: random.Random
    weather: Weather
    deliver: Callable[[str, Frame], None]
    cuts: dict[tuple[str, str], float] = field(default_factory=dict)  # (from, to) -> until when

    def cut(self, senders: Iterable[str], receivers: Iterable[str], until: float) -> None:
        """Nothing that these send gets to those for a time."""
        ends = list(receivers)
        for sender in senders:
            for receiver in ends:
                if sender != receiver:
                    self.cuts[sender, receiver] = max(until, self.cuts.get((sender, receiver), 0.0))

    def heal(self) -> None:
        """All links are up, and lose nothing."""
        self.cuts.clear()
        self.weather = Weather(self.weather.latency)

    def send(self, receiver: str, frame: RequestFrame | ReplyFrame) -> None:
        """A frame leaves."""
        weather, chance = self.weather, self.chance
        if self._is_cut(frame.sender, receiver) or chance.random() < weather.lost:
            return
        self._arrive_after(self._delay(weather.late), [receiver], frame)
        if chance.random() < weather.doubled:
            self._arrive_after(self._delay(weather.late), [receiver], frame)

    def broadcast(self, receivers: Iterable[str], heartbeat: Heartbeat) -> None:
        """A heartbeat leaves to all others: at once to most, which costs one event alone."""
        weather, chance = self.weather, self.chance
        prompt = []
        for receiver in receivers:
            if self._is_cut(heartbeat.sender, receiver):
                continue
            if chance.random() < weather.lost * HEARTBEAT_SHARE:
                continue
            if chance.random() < weather.late * HEARTBEAT_SHARE:
                self._arrive_after(self._delay(1.0), [receiver], heartbeat)
                continue
            prompt.append(receiver)
            if chance.random() < weather.doubled * HEARTBEAT_SHARE:
                self._arrive_after(self._delay(weather.late), [receiver], heartbeat)
        if prompt:
            self._arrive_after(self._delay(0.0), prompt, heartbeat)

    def _is_cut(self, sender: str, receiver: str) -> bool:
        return self.cuts.get((sender, receiver), 0.0) > self.loop.time()

    def _delay(self, late: float) -> float:
        delay = self.weather.latency * self.chance.uniform(0.5, 1.5)
        if self.chance.random() < late:
            delay += self.chance.uniform(0.0, self.weather.latest)
        return delay

    def _arrive_after(self, delay: float, receivers: list[str], frame: Frame) -> None:
        self.loop.call_at(self.loop.time() + delay, self._arrive, receivers, frame, context=OUTSIDE)

    def _arrive(self, receivers: list[str], frame: Frame) -> None:
        for receiver in receivers:
            self.deliver(receiver, frame)
