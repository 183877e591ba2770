"""Rule `drains`: a forwarder makes no call to an endpoint once it knows that the endpoint is draining."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from emberlatch.faults.checks.breaches import BreachLog, Rule
from emberlatch.faults.checks.forwarder_states import ForwarderStates
from emberlatch.faults.checks.parameters import TIME_LIMIT_SLACK_S, RuleParameters

# A forwarder must repeat a request whose answer was lost. The checks assume that it knows
# the list after these times.
LOOKUP_ASSUMED_RECEIVED_S = 6.0  # counts from a look-up's request
WATCH_ASSUMED_RECEIVED_S = 2.0  # counts from the end of a watch's longest wait
MOVE_ASSUMED_RECEIVED_S = 4.0  # counts from the SIGHUP after a move of the directory


class _LostList(NamedTuple):
    """An answer of the directory that did not arrive; times are in seconds from the start of the run."""

    listed_until: float  # the answer had all changes up to this time
    assumed_received_at: float


class DrainChecks:
    """Tracks since when each forwarder knows, or must know, that an endpoint no longer serves."""

    def __init__(self, parameters: RuleParameters, forwarders: ForwarderStates, log: BreachLog) -> None:
        self._parameters, self._forwarders, self._log = parameters, forwarders, log
        self._known_since: dict[tuple[str, str], float] = {}  # by forwarder and endpoint
        self._not_serving_since: dict[str, float] = {}  # when the directory listed this, by endpoint
        self._lost_lists: dict[str, list[_LostList]] = {}  # by forwarder
        self._last_polled_at: dict[str, float] = {}  # by forwarder

    def on_ready(self, at: float, forwarder: str, draining: Iterable[str]) -> None:
        """Record that a process is ready, and that its configuration lists `draining` as not serving."""
        for endpoint in draining:
            self._known_since.setdefault((forwarder, endpoint), at)

    def on_forwarder_down(self, forwarder: str) -> None:
        """Forget what a process that died knew: the next one starts from its configuration only."""
        self._lost_lists.pop(forwarder, None)
        self._last_polled_at.pop(forwarder, None)
        for key in [key for key in self._known_since if key[0] == forwarder]:
            del self._known_since[key]

    def on_phase_sent(self, at: float, forwarder: str, endpoint: str, serving: bool) -> None:
        """Record that the directory sent a forwarder the phase of an endpoint."""
        if serving:
            self._known_since.pop((forwarder, endpoint), None)
        else:
            self._known_since.setdefault((forwarder, endpoint), at)

    def on_listed(self, at: float, endpoint: str, serving: bool) -> None:
        """Record an endpoint's phase change in the directory, whether or not a forwarder received it."""
        if serving:
            self._not_serving_since.pop(endpoint, None)
        else:
            self._not_serving_since.setdefault(endpoint, at)

    def on_poll(self, at: float, forwarder: str) -> None:
        """Record a request of a forwarder to the directory."""
        self._last_polled_at[forwarder] = at

    def on_list_lost(self, forwarder: str, polled_at: float, watch_wait_s: float | None) -> None:
        """Record a lost directory answer; `watch_wait_s` is a watch's longest wait, None for a look-up."""
        if watch_wait_s is None:
            lost = _LostList(polled_at, polled_at + LOOKUP_ASSUMED_RECEIVED_S)
        else:
            listed_until = polled_at + watch_wait_s
            lost = _LostList(listed_until, listed_until + WATCH_ASSUMED_RECEIVED_S)
        self._lost_lists.setdefault(forwarder, []).append(lost)

    def on_directory_moved(self, at: float, forwarder: str) -> None:
        """Record that SIGHUP notified a forwarder of the directory's new address."""
        self._lost_lists.setdefault(forwarder, []).append(_LostList(at, at + MOVE_ASSUMED_RECEIVED_S))

    def on_call(self, at: float, forwarder: str, endpoint: str) -> None:
        """Check a call that reached its endpoint."""
        known_since = self._known_since.get((forwarder, endpoint), math.inf)
        known_since = min(known_since, self._assumed_known_since(forwarder, endpoint))
        sent_at = at - self._parameters.max_latency_s
        if sent_at > known_since + self._parameters.drain_grace_s + TIME_LIMIT_SLACK_S:
            late_s = at - known_since
            self._log.add(
                Rule.DRAINS,
                at,
                f"{forwarder} calls {endpoint} {late_s:.3f} s after it was informed of its drain",
            )

    def _assumed_known_since(self, forwarder: str, endpoint: str) -> float:
        """The time from which a forwarder must know that an endpoint no longer serves; infinity for never."""
        since = self._not_serving_since.get(endpoint)
        if since is None:
            return math.inf
        if self._parameters.lists_are_pushed:
            return max(since, self._forwarders.ready_since(forwarder))
        if forwarder not in self._last_polled_at:
            return math.inf
        received = [
            lost.assumed_received_at
            for lost in self._lost_lists.get(forwarder, ())
            if since <= lost.listed_until
        ]
        next_poll_at = max(since, self._last_polled_at[forwarder]) + self._parameters.poll_interval_s
        return max(since, min([next_poll_at, *received]))
