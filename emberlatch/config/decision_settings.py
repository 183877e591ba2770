"""Derives the decision module's settings and the inventory's vocabulary from a configuration."""

from __future__ import annotations

import math

from emberlatch.config.schema import Gateway, MessageClass
from emberlatch.core import interface as api
from emberlatch.inventory.model import Vocabulary

DECISION_ROUND_S = 0.005
OVER_QUOTA_VALUE_FACTOR = 0.1  # multiplies the value of messages that exceed their tenant's quota share
REPORT_FIELDS = ("x0", "x1")

_EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
_SCOPES = {"all": api.Scope.ALL, "wing": api.Scope.ZONE, "endpoint": api.Scope.CELL}


def settings(config: Gateway) -> api.Settings:
    """Return the decision module's settings for one sender.

    The endpoints' limits count as exact (`Weights.NOMINAL`), and the directory is never polled.
    """
    rules = config.rules
    return api.Settings(
        categories=tuple(_category(name, item) for name, item in config.classes.items()),
        slots=config.limits.calls,
        open_cap=config.limits.messages,
        rules=api.Rules(
            drain_grace=rules.drain_grace,
            overload_factor=rules.fall_multiple,
            overload_window=rules.fall_after,
            slow_start=rules.cold,
            slow_start_share=rules.cold_share,
            directory_poll_interval=math.inf,
        ),
        max_attempts=config.limits.attempts,
        decision_interval=DECISION_ROUND_S,
        tenants=tuple(api.Tenant(name, item.rate) for name, item in config.tenants.items()),
        over_quota_value_factor=OVER_QUOTA_VALUE_FACTOR if config.tenants else 1.0,
        separate_routes=tuple(kind.routes == "separate" for kind in config.kinds.values()),
        batch_limits=tuple(kind.batch for kind in config.kinds.values()),
        zone_fees=tuple(wing.fee for wing in config.wings.values()),
        report_fields=REPORT_FIELDS,
        weights=api.Weights.NOMINAL,
        cancel=True,
        retry_after=True,
        max_retry_after=rules.retry_after,
        connect_timeout=rules.connect,
        connection_idle=rules.idle,
    )


def vocabulary_of(config: Gateway) -> Vocabulary:
    """Return the values that an inventory may use under a configuration."""
    return Vocabulary(
        wings=tuple(config.wings),
        kinds=tuple(config.kinds),
        protocols=("http", "as2") if config.as2 is not None else ("http",),
        profiles=tuple(config.as2.partners) if config.as2 is not None else (),
        batched=tuple(name for name, kind in config.kinds.items() if kind.batch > 1),
    )


def default_vocabulary() -> Vocabulary:
    """Return the wings and kinds of a configuration that defines none."""
    fields = Gateway.model_fields
    return Vocabulary(
        wings=tuple(fields["wings"].get_default(call_default_factory=True)),
        kinds=tuple(fields["kinds"].get_default(call_default_factory=True)),
    )


def _category(name: str, item: MessageClass) -> api.Category:
    return api.Category(
        name=name,
        effect=_EFFECTS[item.effect],
        latency_target=item.aim,
        deadline=item.deadline,
        value=item.worth,
        late_value_share=item.late_share,
        scope=_SCOPES[item.scope],
        dedup_window=item.window,
    )
