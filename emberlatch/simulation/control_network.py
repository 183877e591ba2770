"""Frames between simulated machines: delayed, lost, doubled, late, or cut off for a time, one way or both."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from emberlatch.faults.loop import OUTSIDE, WORLD, Process, VirtualLoop, current

MIN_TASKS_KEPT = 1000
HEARTBEAT_LOSS_SHARE = 0.5  # heartbeats are lost, doubled and late less often than requests


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

    def send(self, receiver: str, frame: Frame) -> None:
        """A frame leaves."""
        now = self.loop.time()
        if self.cuts.get((frame.sender, receiver), 0.0) > now:
            return
        weather, chance = self.weather, self.chance
        share = HEARTBEAT_LOSS_SHARE if isinstance(frame, Heartbeat) else 1.0
        if weather.lost and chance.random() < weather.lost * share:
            return
        self._arrive_after(self._delay(share), receiver, frame)
        if weather.doubled and chance.random() < weather.doubled * share:
            self._arrive_after(self._delay(share), receiver, frame)

    def _delay(self, share: float) -> float:
        weather, chance = self.weather, self.chance
        delay = weather.latency * chance.uniform(0.5, 1.5)
        if weather.late and chance.random() < weather.late * share:
            delay += chance.uniform(0.0, weather.latest)
        return delay

    def _arrive_after(self, delay: float, receiver: str, frame: Frame) -> None:
        self.loop.call_at(self.loop.time() + delay, self.deliver, receiver, frame, context=OUTSIDE)
