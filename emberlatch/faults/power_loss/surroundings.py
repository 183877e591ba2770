"""The parts outside of the machine, which a power loss does not affect, and the engine's ports to them.

These parts are the client, the partner and the receiver of notices.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from emberlatch.core import interface as api
from emberlatch.engine import Addresses, CallItem, CompletionNotice, Engine
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import ENVIRONMENT_CONTEXT, Process, context_of
from emberlatch.standins import Message
from emberlatch.standins.endpoint_model import IdempotencyKeys

TARGET, DESTINATION = b"t", 1
ENDPOINT_ADDRESS = ("h", 1)
CALL_DURATION_S = (0.01, 0.2)
CONFIRMATION_DELAY_S = (0.0, 0.1)


class CallResult(NamedTuple):
    """Whether the partner executes a call, and the result that its caller receives."""

    is_executed: bool
    result: api.Result


CALL_RESULTS = (
    CallResult(True, api.Result.OK),
    CallResult(True, api.Result.RESET),
    CallResult(False, api.Result.FULL),
    CallResult(False, api.Result.ERROR),
)
CALL_RESULT_WEIGHTS = (8, 1, 1, 1)


@dataclass
class ObservedMessage:
    """One message as the client, the partner and the receiver of notices observe it."""

    category: str
    is_answered: bool = False
    submission_count: int = 0
    accepted_at: float = math.inf
    completions: list[str] = field(default_factory=list)  # the result of each notice


class Surroundings:
    """The state of the parts outside of the machine, and the clock that all parts share.

    `keys` has the effects at the partner, `messages` the observed state of each message by its id.
    """

    def __init__(self, loop: VirtualLoop, rng: random.Random, dedup_window_s: float) -> None:
        self.loop, self.rng = loop, rng
        self.keys = IdempotencyKeys(dedup_window_s)
        self.messages: dict[str, ObservedMessage] = {}

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` after `delay_s` seconds, outside of the machine."""
        self.loop.call_at(self.loop.time() + delay_s, callback, *args, context=ENVIRONMENT_CONTEXT)

    def call_in_process(self, process: Process, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` in the context of a process."""
        self.loop.call_soon(callback, *args, context=context_of(process))

    def notify(self, process: Process, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` in the context of a process, unless it has died."""
        if process.alive:
            self.call_in_process(process, callback, *args)

    def execute(self, item: CallItem) -> None:
        """Execute a message at the partner."""
        self.keys.run(self.loop.time(), Message(item.id, item.key))


class Responder:
    """Receives the response to one submission to a process, on behalf of the client."""

    def __init__(self, surroundings: Surroundings, process: Process, message: ObservedMessage) -> None:
        self._surroundings, self._process, self._message = surroundings, process, message

    @property
    def client_disconnected(self) -> bool:
        """See `engine.SubmissionResponder`."""
        return False

    def respond_accepted(self) -> None:
        """See `engine.SubmissionResponder`."""
        if self._process.alive:
            self._message.is_answered = True
            self._message.accepted_at = min(self._message.accepted_at, self._surroundings.loop.time())

    def respond_rejected(self, retry_after: float) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.is_answered = True

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.is_answered = True

    def respond_failed(self) -> None:
        """See `engine.SubmissionResponder`."""
        self._message.is_answered = True


class SimulatedCarrier:
    """An `engine.Carrier` to the partner. The partner executes calls even if the calling process dies."""

    in_flight = 0
    engine: Engine

    def __init__(self, surroundings: Surroundings, process: Process) -> None:
        self._surroundings, self._process = surroundings, process
        self._entries: dict[bytes, api.Entry] = {}

    def update(self, entries: Sequence[api.Entry], addresses: Addresses, is_complete: bool) -> None:
        """See `engine.Carrier`."""
        self._entries |= {entry.target: entry for entry in entries}

    def entry(self, target: api.Target) -> api.Entry | None:
        """See `engine.Carrier`."""
        return self._entries.get(target)

    def call(self, target: api.Target, items: list[CallItem]) -> None:
        """See `engine.Carrier`."""
        surroundings, rng = self._surroundings, self._surroundings.rng
        for item in items:
            duration_s = rng.uniform(*CALL_DURATION_S)
            is_executed, result = rng.choices(CALL_RESULTS, CALL_RESULT_WEIGHTS)[0]
            if is_executed:
                surroundings.call_later(duration_s * rng.random(), surroundings.execute, item)
            is_final = result is api.Result.OK
            outcome = api.Outcome(item.ref, item.attempt, target, result, duration_s, is_final=is_final)
            surroundings.call_later(
                duration_s, surroundings.notify, self._process, self.engine.on_attempt_outcome, outcome
            )

    def cancel(self, ref: int, attempt: int) -> None:
        """Do nothing: calls in flight end after their drawn duration."""

    def close_idle(self, target: api.Target) -> None:
        """Do nothing: this carrier has no connections."""


class CompletionObserver:
    """An `engine.CompletionNotifier` that records each notice and confirms it after a short delay."""

    notifies_deliveries = True
    pending = False
    engine: Engine

    def __init__(self, surroundings: Surroundings, process: Process) -> None:
        self._surroundings, self._process = surroundings, process

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """See `engine.CompletionNotifier`."""
        surroundings = self._surroundings
        surroundings.messages[notice["ref"]].completions.append(notice["result"])
        delay_s = surroundings.rng.uniform(*CONFIRMATION_DELAY_S)
        surroundings.call_later(
            delay_s, surroundings.notify, self._process, self.engine.on_notices_confirmed, [ref]
        )


class FixedMembership:
    """An `engine.Membership` that reports a single endpoint at the start and never changes."""

    engine: Engine

    def start(self) -> None:
        """See `engine.Membership`."""
        update = api.DirectoryUpdate(api.ListKind.CACHED, 1, (api.Entry(TARGET, DESTINATION),))
        self.engine.on_membership_update(update, {TARGET: ENDPOINT_ADDRESS})

    def set_watching(self, active: bool) -> None:
        """Do nothing: the list of endpoints never changes."""

    def request_list(self) -> None:
        """Do nothing: the list of endpoints never changes."""
