"""The network of simulated machines: frames may be delayed, lost, duplicated or blocked, one way or both."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Generator, Iterable
from contextvars import Context
from dataclasses import dataclass, field
from typing import TypeVar

from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import ENVIRONMENT, ENVIRONMENT_CONTEXT, Process, current_process

_ResultT = TypeVar("_ResultT")

MIN_TASKS_TO_PRUNE = 1000  # ended tasks are removed only from a list of at least this length
HEARTBEAT_FAULT_FACTOR = 0.5  # heartbeats are lost, duplicated and late half as often as other frames


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """The latency of the links in seconds, and the shares (0 to 1) of frames with each fault."""

    latency_s: float = 0.002
    loss_share: float = 0.0
    duplicate_share: float = 0.0
    late_share: float = 0.0
    max_late_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a machine reports to all others."""

    sender: str
    incarnation: int
    identity: str
    address: str
    zone: str
    version: int  # version of the state on the sender's disk
    cluster: str
    unreachable_s: dict[str, float]  # seconds since the last heartbeat of each unreachable node


@dataclass(frozen=True, slots=True)
class RequestFrame:
    """A request from one process to another; `incarnation` and `number` identify the call."""

    sender: str
    incarnation: int
    number: int
    request: list[object]


@dataclass(frozen=True, slots=True)
class ReplyFrame:
    """The reply to the call that `incarnation` and `number` identify."""

    sender: str
    incarnation: int
    number: int
    reply: list[object]


Frame = Heartbeat | RequestFrame | ReplyFrame


class DriftingLoop(VirtualLoop):
    """A virtual loop on which the timers of each process run a little fast or slow."""

    def __init__(self) -> None:
        super().__init__()
        self.rates: dict[Process, float] = {}
        self._prune_at = MIN_TASKS_TO_PRUNE

    def create_task(
        self,
        coro: Coroutine[object, object, _ResultT] | Generator[object, None, _ResultT],
        **options: object,
    ) -> asyncio.Task[_ResultT]:
        """Create a task; remove ended tasks from `tasks` at intervals, because a long day has very many."""
        if len(self.tasks) >= self._prune_at:
            self.tasks = [task for task in self.tasks if not task.done()]
            self._prune_at = max(MIN_TASKS_TO_PRUNE, 2 * len(self.tasks))
        return super().create_task(coro, **options)

    def call_at(
        self, when: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback; its delay is scaled by the clock rate of its process (`rates`)."""
        rate = self.rates.get(self._process_of(context), 1.0)
        now = self.time()
        return super().call_at(now + (when - now) * rate, callback, *args, context=context)

    @staticmethod
    def _process_of(context: Context | None) -> Process:
        process: Process = (
            current_process.get() if context is None else context.get(current_process, ENVIRONMENT)
        )
        return process


@dataclass
class ControlNetwork:
    """All links. `deliver` passes a frame to the machine of a name, whichever incarnation of it runs."""

    loop: DriftingLoop
    rng: random.Random
    link_conditions: LinkConditions
    deliver: Callable[[str, Frame], None]
    blocked_until: dict[tuple[str, str], float] = field(default_factory=dict)  # time by (sender, receiver)

    def block(self, senders: Iterable[str], receivers: Iterable[str], until: float) -> None:
        """Drop all frames from `senders` to `receivers` until the loop time `until`."""
        receiver_list = list(receivers)
        for sender in senders:
            for receiver in receiver_list:
                if sender != receiver:
                    self.blocked_until[sender, receiver] = max(
                        until, self.blocked_until.get((sender, receiver), 0.0)
                    )

    def heal(self) -> None:
        """Restore all links and end all faults of frames; the latency stays as it is."""
        self.blocked_until.clear()
        self.link_conditions = LinkConditions(self.link_conditions.latency_s)

    def send(self, receiver: str, frame: RequestFrame | ReplyFrame) -> None:
        """Send a frame, which may be dropped, late or duplicated."""
        link_conditions, rng = self.link_conditions, self.rng
        if self._is_blocked(frame.sender, receiver) or rng.random() < link_conditions.loss_share:
            return
        self._deliver_after(self._draw_delay(link_conditions.late_share), [receiver], frame)
        if rng.random() < link_conditions.duplicate_share:
            self._deliver_after(self._draw_delay(link_conditions.late_share), [receiver], frame)

    def broadcast(self, receivers: Iterable[str], heartbeat: Heartbeat) -> None:
        """Send a heartbeat to all receivers; those that get it promptly share one event of the loop."""
        link_conditions, rng = self.link_conditions, self.rng
        prompt = []
        for receiver in receivers:
            if self._is_blocked(heartbeat.sender, receiver):
                continue
            if rng.random() < link_conditions.loss_share * HEARTBEAT_FAULT_FACTOR:
                continue
            if rng.random() < link_conditions.late_share * HEARTBEAT_FAULT_FACTOR:
                self._deliver_after(self._draw_delay(1.0), [receiver], heartbeat)
                continue
            prompt.append(receiver)
            if rng.random() < link_conditions.duplicate_share * HEARTBEAT_FAULT_FACTOR:
                self._deliver_after(self._draw_delay(link_conditions.late_share), [receiver], heartbeat)
        if prompt:
            self._deliver_after(self._draw_delay(0.0), prompt, heartbeat)

    def _is_blocked(self, sender: str, receiver: str) -> bool:
        return self.blocked_until.get((sender, receiver), 0.0) > self.loop.time()

    def _draw_delay(self, late_share: float) -> float:
        delay = self.link_conditions.latency_s * self.rng.uniform(0.5, 1.5)
        if self.rng.random() < late_share:
            delay += self.rng.uniform(0.0, self.link_conditions.max_late_s)
        return delay

    def _deliver_after(self, delay: float, receivers: list[str], frame: Frame) -> None:
        self.loop.call_at(
            self.loop.time() + delay, self._deliver_to_all, receivers, frame, context=ENVIRONMENT_CONTEXT
        )

    def _deliver_to_all(self, receivers: list[str], frame: Frame) -> None:
        for receiver in receivers:
            self.deliver(receiver, frame)
