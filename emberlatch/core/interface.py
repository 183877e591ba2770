"""The types that go into and come out of :class:`emberlatch.core.rules.Forwarder`.

Settings are what a forwarder is told once, events are what it sees, actions are what it wants
done. Times are seconds on one clock of the caller's that never runs backwards. Nothing in this
file decides anything; values are checked here, and a bad one is refused with its field's name.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any

Target = bytes
"""An endpoint, named by an opaque value that the caller chooses."""


class SettingsError(ValueError):
    """A setting is missing or impossible; the message names it."""


class Effect(Enum):
    """What a repeat of a message may do."""

    SAFE = "read_like"
    KEYED = "idempotency_key"
    UNSAFE = "non_idempotent"


class Scope(Enum):
    """Which endpoints of a destination drop the repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ValueDecay(Enum):
    """How the worth of a message falls once its aim has passed."""

    LINE = "line"
    HALVES = "halves"


class Weights(Enum):
    """What an endpoint's weight in the directory says."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class Result(IntEnum):
    """How an attempt or a probe ended."""

    OK = 100
    ERROR = 301
    FULL = 302
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    NOT_EXECUTED = 307


class Phase(IntEnum):
    """What the directory says of an endpoint."""

    DRAINING = 0
    READY = 1
    GONE = 2


class ListKind(IntEnum):
    """What a directory update brings."""

    CACHED = 1
    FAILED = 2
    FULL = 3
    DELTA = 4


def _require(condition: bool, name: str, need: str) -> None:
    if not condition:
        raise SettingsError(f"{name}: {need}")


@dataclass(frozen=True, slots=True)
class Category:
    """A class of message."""

    name: str
    effect: Effect
    latency_target: float
    deadline: float
    value: float = 1.0
    late_value_share: float = 0.0
    scope: Scope = Scope.ALL
    dedup_window: float = 0.0
    ordered: bool = False

    def __post_init__(self) -> None:
        _require(
            0 < self.latency_target <= self.deadline < math.inf,
            "categories[].target",
            "over 0, at most the deadline",
        )
        _require(self.value >= 0, "categories[].gain", "0 or more")
        _require(0 <= self.late_value_share <= 1, "categories[].late-value", "from 0 to 1")
        _require(self.dedup_window >= 0, "categories[].window", "0 or more")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer group and the rate that is within its share, over all forwarders."""

    name: str
    allowance: float

    def __post_init__(self) -> None:
        _require(self.allowance >= 0, "tenants[].allowance-per-s", "0 or more")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules that bind every forwarder."""

    drain_grace: float = 0.0
    overload_factor: float = 1.0
    overload_window: float = 1.0
    slow_start: float = 0.0
    slow_start_share: float = 1.0
    answer_slack: float = 0.0
    directory_poll_interval: float = math.inf
    order_quiet_period: float = 0.0

    def __post_init__(self) -> None:
        _require(self.overload_factor > 0, "rules.fall-multiple", "over 0")
        _require(self.overload_window > 0, "rules.tip-after", "over 0")
        _require(self.slow_start >= 0, "rules.cold", "0 or more")
        _require(0 < self.slow_start_share <= 1, "rules.cold-from", "over 0, at most 1")
        _require(self.directory_poll_interval > 0, "rules.ask-every", "over 0")
        _require(self.order_quiet_period >= 0, "rules.order-settle", "0 or more")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a forwarder is told at its start."""

    categories: tuple[Category, ...]
    slots: int
    open_cap: int
    rules: Rules = field(default_factory=Rules)
    max_attempts: int = 1
    forwarders: int = 1
    forwarder_index: int = 0
    decision_interval: float = 0.0
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_value_factor: float = 1.0
    decay: ValueDecay = ValueDecay.LINE
    separate_routes: tuple[bool, ...] = ()
    per_call: tuple[int, ...] = ()
    zone_fees: tuple[float, ...] = ()
    handshake_fee: float = 0.0
    waste_fee: float = 0.0
    probe_fee: float = 0.0
    refusal_fee: float = 0.0
    late_fee: float = 0.0
    report_fields: tuple[str, ...] = ()
    weights: Weights = Weights.OFF
    must_poll_directory: bool = False
    probes: bool = False
    cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    connect_timeout: float = 1.0
    connection_idle: float = 0.0
    quota_share: float = 0.0
    """Share of each known limit that this forwarder uses at most, with its bursts; 0: no such bound."""
    closed_categories: tuple[int, ...] = ()
    """Classes of which no new message is taken now, and after how long to come again (`closed_wait`)."""
    closed_retry_after: float = 0.0
    end_margin: float = 0.0
    """Seconds before its time is up at which a message is answered at the latest; of one that is handed in
    with little time left, a quarter of that at most."""

    def __post_init__(self) -> None:
        _require(bool(self.categories), "categories", "at least one")
        _require(self.slots >= 1, "extra.workers", "1 or more")
        _require(self.open_cap >= 1, "allowed.open-cap", "1 or more")
        _require(self.max_attempts >= 1, "allowed.max-attempts", "1 or more")
        _require(self.forwarders >= 1, "balancers", "1 or more")
        _require(self.over_quota_value_factor >= 0, "over-share-worth", "0 or more")
        _require(all(n >= 1 for n in self.per_call), "extra.per-call", "each 1 or more")
        _require(self.max_retry_after >= 0, "allowed.max-retry-after", "0 or more")
        _require(0 <= self.quota_share <= 1, "part", "from 0 to 1")


@dataclass(frozen=True, slots=True)
class Terms:
    """What binds a message from when it is taken to its end, whatever the settings say later."""

    category: Category
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Entry:
    """An endpoint as the directory lists it; `needs_slow_start`: it is known to be new."""

    target: Target
    destination: int
    phase: Phase = Phase.READY
    kind: int = 0
    zone: int = 0
    added_at: float = 0.0
    weight: float = 1.0
    needs_slow_start: bool = False
    max_concurrency: float = math.inf
    """Calls that it works on at once, where that is told."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A message has been handed over; one final answer is owed within `remaining`."""

    ref: int
    category: int
    destination: int
    remaining: float
    tenant: int = 0
    key: int = 0
    duration_hint: float | None = None
    resubmitted: bool = False
    is_write: bool = False
    inherited: bool = False


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """An attempt of an earlier life that may have run, `age` seconds ago."""

    target: Target
    zone: int
    age: float


@dataclass(frozen=True, slots=True)
class Recovered:
    """A message taken on in an earlier life of this forwarder is still owed its answer.

    Attempts are numbered on from `attempts`. Calls that were out when that life ended are doubts. It has the
    terms under which it was taken; without them, those of its class now.
    """

    arrival: Arrival
    attempts: int = 0
    unknown_outcomes: tuple[UnknownOutcome, ...] = ()
    terms: Terms | None = None
    relayed: bool = False  # its last attempt is out with the process before this one, and is no doubt


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """This forwarder goes on where another process stopped: what that one's `carry` gave.

    It comes behind the list and the messages that were recovered, in the same turn. The calls that it tells
    are out still, and their outcomes will come as if they had been sent from here.
    """

    state: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """From now on these hold. Classes are numbered anew; messages keep the terms under which they were taken.

    What lists and calls are read by (kinds, zones, routes, rules) is as before.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class Stopping:
    """The forwarder ends at `at`: a call that can't be expected back by then is not to be started."""

    at: float


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed answer has begun."""

    ref: int
    attempt: int
    target: Target
    elapsed: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended; `closed` says that its message has ended too. `hold` is a told wait."""

    ref: int
    attempt: int
    target: Target
    result: Result
    elapsed: float
    closed: bool = False
    retry_after: float = 0.0
    note: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A probe has ended."""

    target: Target
    result: Result
    elapsed: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Nobody waits for this message any more."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was asked for is due."""

    token: int


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """What the directory tells; a FAILED one brings no entries.

    It is `overdue` if by the directory's terms something counts as told by now that was not heard.
    """

    kind: ListKind
    version: int
    entries: tuple[Entry, ...] = ()
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class DirectoryMoved:
    """The directory is at another place from now on: it has not been asked anything there."""


@dataclass(frozen=True, slots=True)
class PeerRetryAfter:
    """An endpoint told another forwarder of the same sender to wait so many seconds from now."""

    target: Target
    retry_after: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another forwarder has sent this."""

    origin: int
    data: bytes


Event = (
    Arrival
    | Recovered
    | HandoverReceived
    | SettingsChanged
    | Stopping
    | ResponseStarted
    | Outcome
    | ProbeResult
    | ClientGone
    | TimerFired
    | DirectoryUpdate
    | DirectoryMoved
    | PeerRetryAfter
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Call a target with a message; a time-out of 0 lets it run to the message's end."""

    ref: int
    target: Target
    timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Reject:
    """End a message undelivered; the client may safely come again."""

    ref: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message with no promise about its effect."""

    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired at or after a time."""

    at: float
    token: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a target without a message."""

    target: Target


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a target."""

    target: Target


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send bytes to one other forwarder, or to all (None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators' log."""

    text: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask the directory for changes from now on, or stop them."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class Lookup:
    """Ask the directory for the whole list once."""


Action = Send | Reject | Fail | Cancel | SetTimer | Probe | CloseIdle | SendToPeer | LogLine | Watch | Lookup
