"""The settings of every run: those of the forwarders, and the behaviour of the partners' endpoints."""

from __future__ import annotations

import json
from dataclasses import dataclass

from emberlatch.core.interface import Settings
from emberlatch.faults.plan import PARTNERS, ZONES
from emberlatch.simlink.settings import decode_settings
from emberlatch.standins import Behaviour

SLOTS = 8
DISK_BYTES = 400_000
POLL_INTERVAL_S = 10.0
DEADLINE_S = 12.0
DEDUP_WINDOW_S = 8.0
WARM_UP_S = 8.0

RawSettings = dict[str, object]
"""Settings as the platform sends them."""


@dataclass(frozen=True, slots=True)
class ClientCategory:
    """A category of messages: its effect (`safe`, `keyed` or `unsafe`) and its latency target."""

    effect: str
    latency_target_s: float


CATEGORIES = {
    "note": ClientCategory("safe", 3.0),
    "payout": ClientCategory("keyed", 4.0),
    "order": ClientCategory("unsafe", 3.0),
}
MAX_LATENCY_TARGET_S = max(category.latency_target_s for category in CATEGORIES.values())

BEHAVIOURS = {
    "p1": Behaviour(
        service_time_s=0.08,
        workers=1,
        queue_capacity=12,
        rate_limit_per_s=9.0,
        retry_after_s=0.4,
        idempotency_window_s=DEDUP_WINDOW_S,
        warm_up_s=WARM_UP_S,
    ),
    "p2": Behaviour(
        service_time_s=0.10,
        workers=1,
        queue_capacity=3,
        idempotency_window_s=DEDUP_WINDOW_S,
        warm_up_s=WARM_UP_S,
    ),
    "p3": Behaviour(
        service_time_s=0.12,
        workers=1,
        queue_capacity=2,
        idempotency_window_s=DEDUP_WINDOW_S,
        warm_up_s=WARM_UP_S,
    ),
}
"""The behaviour of each partner's endpoints."""

MACHINE_TYPES = {partner: "operator" if partner == PARTNERS[0] else "bank" for partner in PARTNERS}
BATCH_SIZES = {"operator": 4, "bank": 1}
MAX_BATCH_SIZES = {partner: BATCH_SIZES[MACHINE_TYPES[partner]] for partner in PARTNERS}
"""The largest number of messages in a call, by partner."""


def _raw_categories() -> list[RawSettings]:
    return [
        {
            "name": "note",
            "idempotency": "read_like",
            "target": CATEGORIES["note"].latency_target_s,
            "deadline": DEADLINE_S,
            "gain": 3.0,
            "late-value": 0.5,
        },
        {
            "name": "payout",
            "idempotency": "idempotency_key",
            "dedup-scope": "zone",
            "window": DEDUP_WINDOW_S,
            "target": CATEGORIES["payout"].latency_target_s,
            "deadline": DEADLINE_S,
            "gain": 1.0,
            "late-value": 0.4,
        },
        {
            "name": "order",
            "idempotency": "non_idempotent",
            "target": CATEGORIES["order"].latency_target_s,
            "deadline": DEADLINE_S,
        },
    ]


def raw_settings(lists_are_pushed: bool) -> RawSettings:
    """The settings in the platform's format, with pushed or polled lists."""
    return {
        "allowed": {
            "cancel": True,
            "conn-idle": 15.0,
            "connect-timeout": 1.0,
            "max-attempts": 6,
            "max-retry-after": 2.0,
            "open-cap": 80,
            "probes": False,
            "retry-after": True,
            "second-copies": True,
        },
        "balancers": 2,
        "categories": _raw_categories(),
        "discovery": "push" if lists_are_pushed else "ask",
        "extra": {
            "per-call": list(BATCH_SIZES.values()),
            "separate-routes": [True, True],
            "workers": SLOTS,
        },
        "failure-domains": list(ZONES),
        "machine-types": list(BATCH_SIZES),
        "report": {"fields": ["x0", "x1"], "how": "inline"},
        "round": 0.005,
        "rules": {
            "answer-slack": 0.02,
            "ask-every": POLL_INTERVAL_S,
            "cold": WARM_UP_S,
            "cold-from": 0.27,
            "drain-grace": 0.25 if lists_are_pushed else 0.5,
            "fall-multiple": 1.5,
            "tip-after": 3.0,
        },
        "tenants": [{"name": "acme", "allowance-per-s": 10.0}],
    }


def decode(raw: RawSettings) -> Settings:
    """Decode settings into the form that the decision module uses."""
    return decode_settings(json.dumps(raw).encode())
