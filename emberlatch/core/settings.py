"""Settings of the decision module.

All times and durations are in seconds. Values are validated when an object is created. An invalid value
raises `SettingsError` with the name of the field in the configuration.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or invalid; the error text has its name."""


class Effect(Enum):
    """Whether a message may be executed more than once."""

    SAFE = "read_like"
    """The message may be executed any number of times."""
    KEYED = "idempotency_key"
    """Endpoints discard repeats by idempotency key, within `Category.scope` and `Category.dedup_window`."""
    UNSAFE = "non_idempotent"
    """At most once: after an attempt with an unknown outcome no other attempt is made."""


class Scope(Enum):
    """Which endpoints of a destination recognize and discard a repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"
    """Only the endpoint to which the earlier attempt was sent."""


class ValueDecay(Enum):
    """How the value of a message decreases after its latency target."""

    LINE = "line"
    """Linearly, from `value` at the latency target to `late_value_share` of it at the deadline."""
    HALVES = "halves"
    """By half in each period of one latency target after it, down to `late_value_share` of `value`."""


class Weights(Enum):
    """How reliably an endpoint's weight in the directory states its rate limit."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


def _require(condition: bool, name: str, need: str) -> None:
    if not condition:
        raise SettingsError(f"{name}: {need}")


@dataclass(frozen=True, slots=True)
class Category:
    """A class of message.

    `value` is its weight relative to other categories. `latency_target` and `deadline` count from acceptance.
    Messages of an `ordered` category with the same key are delivered one at a time, in order of acceptance.
    """

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
    """A customer group. `allowance` is its quota in messages per second over all forwarders."""

    name: str
    allowance: float

    def __post_init__(self) -> None:
        _require(self.allowance >= 0, "tenants[].allowance-per-s", "0 or more")


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits that apply to all forwarders of a destination together.

    After an outage a destination is in slow start for `slow_start` seconds. In this time its capacity grows
    from `slow_start_share` of its full capacity to all of it. A destination is overloaded if the calls in any
    period of `overload_window` seconds exceed `overload_factor` times its capacity.
    """

    drain_grace: float = 0.0
    overload_factor: float = 1.0
    overload_window: float = 1.0
    slow_start: float = 0.0
    slow_start_share: float = 1.0
    answer_slack: float = 0.0
    directory_poll_interval: float = math.inf
    order_quiet_period: float = 0.0
    """Time without other messages of the same key after an ordered attempt that may still be running."""

    def __post_init__(self) -> None:
        _require(self.overload_factor > 0, "rules.fall-multiple", "over 0")
        _require(self.overload_window > 0, "rules.tip-after", "over 0")
        _require(self.slow_start >= 0, "rules.cold", "0 or more")
        _require(0 < self.slow_start_share <= 1, "rules.cold-from", "over 0, at most 1")
        _require(self.directory_poll_interval > 0, "rules.ask-every", "over 0")
        _require(self.order_quiet_period >= 0, "rules.order-settle", "0 or more")


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of a forwarder.

    `slots` limits the number of calls in flight. `open_cap` limits the number of messages without a final
    answer. `batch_limits` has the maximum numbers of messages in one call. `separate_routes` and
    `batch_limits` are indexed by endpoint kind. `zone_fees` is indexed by zone.
    """

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
    batch_limits: tuple[int, ...] = ()
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
    """Maximum share of each known rate limit that this forwarder uses, including bursts; 0: no limit."""
    closed_categories: tuple[int, ...] = ()
    """Categories whose new messages are rejected, with the retry-after `closed_retry_after`."""
    closed_retry_after: float = 0.0
    end_margin: float = 0.0
    """Seconds between the latest answer to a message and its deadline; at most a quarter of the time that the
    message had when it was submitted."""

    def __post_init__(self) -> None:
        _require(bool(self.categories), "categories", "at least one")
        _require(self.slots >= 1, "extra.workers", "1 or more")
        _require(self.open_cap >= 1, "allowed.open-cap", "1 or more")
        _require(self.max_attempts >= 1, "allowed.max-attempts", "1 or more")
        _require(self.forwarders >= 1, "balancers", "1 or more")
        _require(self.over_quota_value_factor >= 0, "over-share-worth", "0 or more")
        _require(all(n >= 1 for n in self.batch_limits), "extra.per-call", "each 1 or more")
        _require(self.max_retry_after >= 0, "allowed.max-retry-after", "0 or more")
        _require(0 <= self.quota_share <= 1, "part", "from 0 to 1")


@dataclass(frozen=True, slots=True)
class Terms:
    """Terms of a message from acceptance to final answer, unaffected by later changes of the settings."""

    category: Category
    max_attempts: int
