"""A model of how a partner's endpoint handles calls.

The model does no I/O and uses the caller's clock, so that a socket server and a simulation can both run it.

An endpoint has workers that each serve one call at a time. If no worker is free, a call waits in a queue. The
endpoint may have a rate limit, which its answers report (`x0`, `x1`). After an outage the endpoint warms up:
its capacity is `warm_up_start_share` of the full capacity at first, and the full capacity after `warm_up_s`.
During the warm-up the endpoint fails permanently if it receives too many calls within
`overload_tolerance_s`: more than `overload_factor` times as many as its present capacity can serve.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class Condition(Enum):
    """An endpoint's fault, or `HEALTHY`. Fault plans and the protocol in `__main__` use the same values."""

    HEALTHY = "well"
    SLOW = "slow"  # `SLOW_FACTOR` times the usual service time
    HANG = "hang"  # accepts calls and answers none
    RESET = "reset"  # processes a call and resets the connection
    ERROR = "error"  # answers 500
    FULL = "full"  # answers 429 or 503
    REFUSING = "shut"  # refuses connections
    GARBLED = "spoilt"  # processes a call and answers with noise
    TRUNCATED = "cut"  # processes a call, sends a status line with 200, closes the connection


OUTAGES = {Condition.HANG, Condition.RESET, Condition.ERROR, Condition.FULL, Condition.REFUSING}
"""Conditions after which an endpoint warms up."""
SLOW_FACTOR = 10.0
BATCH_ITEM_SHARE = 0.35
"""The time that each message after the first adds to a call, as a share of the time for one message."""
MIN_DRAWN_SHARE = 0.2
"""The shortest service time that is drawn, as a share of the mean."""
MAX_REFILL_S = 1.0
"""A rate limit's token bucket gains at most the tokens of this time, in seconds, at a call."""

BEHAVIOUR_KEYS = {
    "work": "service_time_s",
    "spread": "service_time_variation",
    "workers": "workers",
    "queue": "queue_capacity",
    "limit": "rate_limit_per_s",
    "wait": "retry_after_s",
    "window": "idempotency_window_s",
    "cold": "warm_up_s",
    "cold_share": "warm_up_start_share",
    "fall_multiple": "overload_factor",
    "fall_after": "overload_tolerance_s",
}
"""The field of `Behaviour` for each key in the protocol of `python -m emberlatch.standins`."""


@dataclass(frozen=True, slots=True)
class Behaviour:
    """The properties of an endpoint without a fault."""

    service_time_s: float = 0.06
    service_time_variation: float = 0.3
    """Coefficient of variation of the service time."""
    workers: int = 8
    queue_capacity: int = 32
    rate_limit_per_s: float = 0.0
    """Calls per second; 0 for no limit."""
    retry_after_s: float = 0.5
    """The value of Retry-After in a rejection; 0 for a rejection (503) without that header."""
    idempotency_window_s: float = 25.0
    """How long a key is remembered; a repetition within that time has no effect."""
    warm_up_s: float = 13.0
    warm_up_start_share: float = 0.27
    overload_factor: float = 1.5
    overload_tolerance_s: float = 3.0

    @classmethod
    def from_document(cls, document: Mapping[str, float]) -> Behaviour:
        """Create a behaviour from a JSON object; keys that are missing have the default value.

        Raises TypeError if the object has an unknown key.
        """
        if unknown := document.keys() - BEHAVIOUR_KEYS.keys():
            raise TypeError(f"unknown keys of a behaviour: {', '.join(sorted(unknown))}")
        return cls(**{BEHAVIOUR_KEYS[key]: value for key, value in document.items()})  # type: ignore[arg-type]  # JSON has one type of number


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a call; an empty `key` means that it has no idempotency key."""

    id: str
    key: str = ""


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of a call: an answer with a status at the time `at`.

    Status 0 means a reset connection, an infinite `at` means no answer.
    """

    at: float
    status: int = 200
    retry_after: float = 0.0
    """The value of the header Retry-After in seconds; 0 for no header."""
    report: tuple[float, float] | None = None
    """The load report: the share of the rate limit that is free (x0), and the limit (x1)."""
    complete: bool = True
    """False if the answer is noise (status -1), or is cut off within its head (status 200)."""


class IdempotencyKeys:
    """The idempotency keys and effects that all endpoints of one partner in one zone share."""

    def __init__(self, window_s: float) -> None:
        self._window_s, self._processed_at = window_s, dict[str, float]()
        self.effects: dict[str, int] = {}
        """How often each message took effect, by its idempotency key, or by its id if it has no key."""

    def run(self, now: float, message: Message) -> None:
        """Count an effect of a message, unless its key had an effect within the window."""
        if message.key and now - self._processed_at.get(message.key, -math.inf) < self._window_s:
            return
        name = message.key or message.id
        self._processed_at[name] = now
        self.effects[name] = self.effects.get(name, 0) + 1


class EndpointModel:
    """One endpoint; times are in seconds of the caller's clock."""

    def __init__(self, behaviour: Behaviour, keys: IdempotencyKeys | None = None, seed: int = 0) -> None:
        self.behaviour, self.keys = behaviour, keys or IdempotencyKeys(behaviour.idempotency_window_s)
        self._random = random.Random(seed)
        self.condition = Condition.HEALTHY
        self.overloaded = False
        """Whether the endpoint failed permanently, because of its load during a warm-up."""
        self.calls: list[float] = []
        """The time of each call."""
        self._warms_up_since = -math.inf
        self._workers_busy_until: list[float] = []  # a heap of the end times of running and queued calls
        self._rate_tokens, self._refilled_at = max(1.0, behaviour.rate_limit_per_s), -math.inf
        self._warm_up_calls: deque[float] = deque()  # times of the calls within the overload tolerance

    def set_condition(self, now: float, condition: Condition) -> None:
        """Set or clear a fault; when an outage ends, start the warm-up."""
        if self.condition in OUTAGES and condition not in OUTAGES:
            self._warms_up_since, self._workers_busy_until = now, []
            self._warm_up_calls.clear()
        self.condition = condition

    def accepts(self) -> bool:
        """Return whether the endpoint accepts connections."""
        return self.condition is not Condition.REFUSING and not self.overloaded

    def warmth(self, now: float) -> float:
        """Return the share of the full capacity that the endpoint has."""
        start_share, elapsed_s = self.behaviour.warm_up_start_share, now - self._warms_up_since
        return min(1.0, start_share + (1 - start_share) * elapsed_s / max(self.behaviour.warm_up_s, 1e-9))

    def call(self, now: float, messages: Sequence[Message]) -> CallOutcome:
        """Handle a call that was received completely; returns its outcome."""
        self.calls.append(now)
        self._check_overload(now)
        if self.overloaded or self.condition is Condition.HANG:
            return CallOutcome(math.inf)
        report = self._load_report()
        if self.condition is Condition.RESET:
            self._take_effect(now, messages)
            return CallOutcome(now, 0)
        if self.condition is Condition.ERROR:
            return CallOutcome(now, 500, report=report)
        if self.condition is Condition.FULL or not self._within_rate_limit(now):
            retry_after_s = self.behaviour.retry_after_s
            return CallOutcome(now, 429 if retry_after_s else 503, retry_after_s, report)
        ends_at = self._schedule(now, len(messages))
        if ends_at is None:
            return CallOutcome(now, 503, report=report)
        self._take_effect(ends_at, messages)
        if self.condition is Condition.GARBLED:
            return CallOutcome(ends_at, -1, complete=False)
        return CallOutcome(ends_at, 200, report=report, complete=self.condition is not Condition.TRUNCATED)

    def _schedule(self, now: float, messages: int) -> float | None:
        """Assign a call to a worker; returns the time when the call ends, or None if the queue is full."""
        behaviour, busy = self.behaviour, self._workers_busy_until
        slow_factor = SLOW_FACTOR if self.condition is Condition.SLOW else 1.0
        variation = max(MIN_DRAWN_SHARE, self._random.gauss(1.0, behaviour.service_time_variation))
        service_time_s = behaviour.service_time_s * slow_factor / self.warmth(now) * variation
        while busy and busy[0] <= now:
            heapq.heappop(busy)
        if len(busy) >= behaviour.workers + behaviour.queue_capacity:
            return None
        calls_ahead = len(busy) - behaviour.workers + 1
        starts_at = now if calls_ahead < 1 else heapq.nsmallest(calls_ahead, busy)[-1]
        ends_at = starts_at + service_time_s * (1 + BATCH_ITEM_SHARE * (messages - 1))
        heapq.heappush(busy, ends_at)
        return ends_at

    def _take_effect(self, at: float, messages: Sequence[Message]) -> None:
        for message in messages:
            self.keys.run(at, message)

    def _check_overload(self, now: float) -> None:
        """Count calls during a warm-up, and set `overloaded` if there are too many within the tolerance."""
        behaviour, warmth = self.behaviour, self.warmth(now)
        if warmth >= 1.0 or self.condition in OUTAGES:
            return
        self._warm_up_calls.append(now)
        while self._warm_up_calls[0] < now - behaviour.overload_tolerance_s:
            self._warm_up_calls.popleft()
        max_calls = (
            behaviour.overload_factor
            * warmth
            * behaviour.workers
            / behaviour.service_time_s
            * behaviour.overload_tolerance_s
        )
        self.overloaded = self.overloaded or len(self._warm_up_calls) > max_calls

    def _within_rate_limit(self, now: float) -> bool:
        limit = self.behaviour.rate_limit_per_s
        if not limit:
            return True
        refill_s = min(max(now - self._refilled_at, 0.0), MAX_REFILL_S)
        self._rate_tokens = min(max(1.0, limit), self._rate_tokens + limit * refill_s)
        self._refilled_at = now
        if self._rate_tokens < 1:
            return False
        self._rate_tokens -= 1
        return True

    def _load_report(self) -> tuple[float, float] | None:
        limit = self.behaviour.rate_limit_per_s
        if not limit:
            return None
        return max(0.0, min(1.0, self._rate_tokens / max(1.0, limit))), limit
