"""The endpoint list: applies directory updates and keeps removed endpoints while they are still needed."""

from __future__ import annotations

import math

from emberlatch.core.actions import CloseIdle, SetDirectoryWatch
from emberlatch.core.context import Context
from emberlatch.core.events import DirectoryUpdate, Entry, ListKind, Phase, Result, Target
from emberlatch.core.pools import PoolTable
from emberlatch.core.records import Endpoint
from emberlatch.core.settings import Weights
from emberlatch.core.slow_start import SlowStart

# During a shortage of connections, an idle connection stays open only if it is expected to serve this many
# calls before its idle time-out.
MIN_CONNECTION_REUSE = 5.0
CONNECTION_SHORTAGE_S = 30.0  # duration of an assumed shortage after a failure to connect
POLL_BACKOFF_S, MAX_POLL_BACKOFF_S, MIN_POLL_WAIT_S = 0.5, 4.0, 2.0
POLL_INTERVAL_SHARE = 0.8  # ratio of the poll interval to the longest one that the rules allow
WEIGHT_CONFIDENCE = {Weights.NOMINAL: 1.0, Weights.ROUGH: 0.7, Weights.OFF: 0.0, Weights.LIVE: 0.0}
"""Share of an endpoint's weight that is used as its rate limit."""


class DirectoryPoll:
    """Owns the time of the next request to the directory."""

    __slots__ = ("_backoff", "_context", "next_at")

    def __init__(self, context: Context) -> None:
        self._context = context
        self.next_at = -math.inf if context.settings.must_poll_directory else math.inf
        self._backoff = POLL_BACKOFF_S

    def on_update(self, kind: ListKind) -> None:
        """Schedule the next request after an update.

        After a failed request the next one follows after a backoff. After a received list it follows within
        the interval that the rules allow, if the directory must be polled. A cached list changes nothing.
        """
        context = self._context
        if kind is ListKind.FAILED:
            self.next_at = context.now + self._backoff
            self._backoff = min(MAX_POLL_BACKOFF_S, 2 * self._backoff)
        elif context.settings.must_poll_directory and kind is not ListKind.CACHED:
            interval = POLL_INTERVAL_SHARE * context.rules.directory_poll_interval
            self.next_at, self._backoff = context.now + interval, POLL_BACKOFF_S

    def on_moved(self) -> None:
        """Request the list at once, because failures at the old address say nothing about the new one."""
        if self._context.settings.must_poll_directory:
            self.next_at, self._backoff = self._context.now, POLL_BACKOFF_S

    def request_if_due(self) -> None:
        """Request the endpoint list if a request is due."""
        context = self._context
        if context.now >= self.next_at:
            context.actions.append(SetDirectoryWatch(True))
            self.next_at = context.now + max(MIN_POLL_WAIT_S, self._backoff)


class EndpointList:
    """Owns the endpoints: adds, updates and removes them.

    Attributes:
        endpoints: listed endpoints, and removed ones that are still needed (see `_forget_retired`).
        retired: the endpoints among these that are no longer listed.
        may_miss_updates: an endpoint may be draining although no update about it was received.
        connections_short_until: for each kind of endpoint, the time at which its assumed shortage of
            connections ends.
    """

    __slots__ = (
        "_context",
        "_pools",
        "_slow_start",
        "connections_short_until",
        "endpoints",
        "may_miss_updates",
        "poll",
        "retired",
    )

    def __init__(self, context: Context, pools: PoolTable, slow_start: SlowStart) -> None:
        self._context, self._pools, self._slow_start = context, pools, slow_start
        self.poll = DirectoryPoll(context)
        self.endpoints: dict[Target, Endpoint] = {}
        self.retired: dict[Target, Endpoint] = {}
        self.may_miss_updates = False
        self.connections_short_until: dict[int, float] = {}

    def on_update(self, event: DirectoryUpdate) -> None:
        """Apply a directory update."""
        self.may_miss_updates = event.may_miss_changes
        self.poll.on_update(event.kind)
        if event.kind in (ListKind.CACHED, ListKind.FULL):
            for endpoint in self.endpoints.values():
                endpoint.in_service, endpoint.removed = False, True
                self.retired[endpoint.entry.target] = endpoint
        for entry in event.entries:
            self._apply(entry)
        self._forget_retired()

    def _apply(self, entry: Entry) -> None:
        endpoint = self.endpoints.get(entry.target)
        if endpoint is None:
            if entry.phase is Phase.REMOVED:
                return
            endpoint = self._add(entry)
        if entry != endpoint.entry:
            self._update(endpoint, entry)
        endpoint.in_service, endpoint.removed = entry.phase is Phase.READY, entry.phase is Phase.REMOVED
        self.retired.pop(entry.target, None)
        if endpoint.removed:
            self.retired[entry.target] = endpoint
        self._pools.mark_dirty(entry.destination)

    def _forget_retired(self) -> None:
        """Remove retired endpoints from their pools, so that they do not affect demand, health or limits.

        Calls in flight keep their own reference to the endpoint. An endpoint stays while a retry-after blocks
        its route, because the retry-after applies even if the target is listed again before its end. Only
        retired endpoints are checked: a change of one entry must not cost a scan of many thousands.
        """
        now = self._context.now
        for target, endpoint in list(self.retired.items()):
            route, destination = endpoint.route, endpoint.entry.destination
            if now >= route.blocked_until:
                del self.endpoints[target], self.retired[target]
                self._pools.mark_dirty(destination)
                route.endpoints.remove(endpoint)
                if not route.endpoints:
                    route.pool.routes.remove(route)
                    self._pools.note_routeless(destination)
        self._pools.forget_unused(now)

    def _add(self, entry: Entry) -> Endpoint:
        context = self._context
        pool = self._pools.mark_dirty(entry.destination)
        endpoint = self.endpoints[entry.target] = pool.add_endpoint(entry, self._is_separate(entry.kind))
        self._update(endpoint, entry)
        route = endpoint.route
        route.rate_limit = entry.weight * WEIGHT_CONFIDENCE[context.settings.weights]
        if entry.needs_slow_start and route.endpoints == [endpoint]:  # not for a route already in use
            route.slow_start_until = context.now + context.rules.slow_start
            route.next_trial_at = self._slow_start.next_call_at(route)
        return endpoint

    def _update(self, endpoint: Endpoint, entry: Entry) -> None:
        """Apply the values of a new or changed list entry to its endpoint."""
        settings, kind = self._context.settings, entry.kind
        confidence = WEIGHT_CONFIDENCE[settings.weights]
        if confidence and entry.weight != endpoint.entry.weight:
            endpoint.route.rate_limit, endpoint.route.send_rate = entry.weight * confidence, math.inf
        endpoint.entry = entry
        endpoint.max_concurrency = min(entry.max_concurrency, endpoint.max_concurrency)
        endpoint.batch_limit = max(settings.batch_limits[kind : kind + 1], default=1)
        fees = settings.zone_fees[entry.zone : entry.zone + 1]
        endpoint.zone_fee = sum(fees) if self._is_separate(kind) else 0.0

    def _is_separate(self, kind: int) -> bool:
        return any(self._context.settings.separate_routes[kind : kind + 1])

    def endpoint_of_call(self, entry: Entry) -> Endpoint:
        """Return the endpoint of a call from the previous process.

        If its target is no longer listed, add it as a retired endpoint.
        """
        if entry.target not in self.endpoints:
            endpoint = self.retired[entry.target] = self._add(entry)
            endpoint.in_service, endpoint.removed = False, True
        return self.endpoints[entry.target]

    def close_idle_connections(self, endpoint: Endpoint, result: Result) -> None:
        """Close the idle connections of an endpoint after a call if connections are short and reuse is rare.

        The rarely used idle connections of many forwarders can fill an endpoint's small connection table.
        """
        context, kind, route = self._context, endpoint.entry.kind, endpoint.route
        if result is Result.CONNECT_FAILED:
            self.connections_short_until[kind] = context.now + CONNECTION_SHORTAGE_S
        if endpoint.calls or context.now >= self.connections_short_until.get(kind, -math.inf):
            return
        calls_per_s = route.demand_share(context.now) / max(1, len(route.endpoints))
        if calls_per_s * context.settings.connection_idle < MIN_CONNECTION_REUSE:
            context.actions.append(CloseIdle(endpoint.entry.target))
