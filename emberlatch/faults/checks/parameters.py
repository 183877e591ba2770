"""The settings and tolerances that the rules apply."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

TIME_LIMIT_SLACK_S = 0.05  # tolerance on each time limit of the protocol, because sockets take time
NOTICE_CROSSING_S = 0.1  # an answer and a notice that are at most this far apart may cross on the network


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Settings that all forwarders share, and the zone of each endpoint.

    `dedup_windows_s` maps the effect of categories with idempotency keys to the time for which a partner
    remembers a key. Only endpoints of the same zone recognize a repeated key.
    A forwarder must poll every `poll_interval_s`. That long after its last poll, or after a later change,
    the checks assume that it knows the change, even if it did not poll. With `lists_are_pushed` the checks
    assume this at once, because the list is sent to the agent beside the forwarder.
    """

    slots: int
    drain_grace_s: float
    dedup_windows_s: Mapping[str, float]
    zones: Mapping[str, str]
    max_latency_s: float = 0.005  # longest latency of a packet
    poll_interval_s: float = math.inf
    lists_are_pushed: bool = False
