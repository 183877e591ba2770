"""The state that one process hands over to the next: plain values, in a form that other versions can read.

Each table, such as `POOL_KEYS`, maps the fields of a record to their keys in the state. A key stays the same
when its field is renamed. Times are on the clock that the event loops of both processes share. The two
processes may run different versions: unknown keys are ignored, and a field whose key is missing keeps its
initial value.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING, TypedDict, cast

from emberlatch.core.events import Entry, Phase, Target
from emberlatch.core.rates import TokenBucket
from emberlatch.core.records import Call, Endpoint, Message, Pool, Route

if TYPE_CHECKING:

    class EndpointState(TypedDict):
        """Values learned about an endpoint; it also has the keys of ENDPOINT_KEYS."""

        target: str

    class RouteState(TypedDict):
        """A route; it also has the keys of ROUTE_KEYS."""

        bucket: Sequence[float]
        endpoints: Sequence[EndpointState]

    class PoolState(TypedDict):
        """A destination; it also has the keys of POOL_KEYS.

        `demand`: the demand rate and the time of its last update.
        """

        destination: int
        demand: Sequence[float]
        routes: Sequence[RouteState]

    class CallState(TypedDict):
        """A call in flight.

        `messages`: ref, attempt number and ordering key of each message in the call.
        """

        target: str
        destination: int
        kind: int
        zone: int
        sent: float
        trial: bool
        judged: bool
        messages: Sequence[tuple[int, int, int]]

    class MessageState(TypedDict):
        """Values of a message that the journal does not store; it also has the keys of MESSAGE_KEYS."""

        ref: int

    class ModuleState(TypedDict):
        """The complete state; it also has the keys of CONGESTION_KEYS and SUBMISSION_KEYS."""

        pools: Sequence[PoolState]
        messages: Sequence[MessageState]
        calls: Sequence[CallState]
        short_until: Sequence[tuple[int, float]]
        rests: Sequence[tuple[int, float, int]]


POOL_KEYS = {
    "adaptive_limit": "grown",
    "baseline_latency": "normal",
    "latency_samples": "samples",
    "peak_rate": "peak",
    "window_start": "second",
    "window_arrivals": "arrivals",
}
ROUTE_KEYS = {
    "recent_latency": "recent",
    "last_success_at": "last_ok",
    "consecutive_failures": "fails",
    "failing_since": "failing",
    "last_failure_at": "failed_at",
    "blocked_until": "blocked_until",
    "unanswered_since": "unheard",
    "ejected": "held",
    "unhealthy": "unwell",
    "probe_passed": "probed",
    "ejection_reason": "sign",
    "extra_trial_allowed": "spare",
    "next_trial_at": "next_trial",
    "slow_start_until": "ramp_until",
    "limit_left_share": "left",
    "rate_limit": "limit",
    "send_rate": "pace",
    "last_good_rate": "before",
}
ENDPOINT_KEYS = {"max_concurrency": "most", "last_success_at": "last_ok"}
MESSAGE_KEYS = {
    "accepted_at": "arrived",
    "not_before": "not_before",
    "resubmitted": "returned",
    "answer_due_at": "due",
}
CONGESTION_KEYS = {"rejected_share": "crowd", "spare_capacity": "room"}
SUBMISSION_KEYS = {"rejected": "refused", "resubmitted": "came_back"}


def to_state(record: object, keys: Mapping[str, str]) -> dict[str, object]:
    """Return the values of a record's fields by their keys in the state."""
    return {key: getattr(record, name) for name, key in keys.items()}


def restore(record: object, keys: Mapping[str, str], state: Mapping[str, object]) -> None:
    """Set each field of a record from the state, unless its key is missing or its value has another type."""
    for name, key in keys.items():
        value, current = state.get(key), getattr(record, name)
        is_same_kind = isinstance(value, bool) == isinstance(current, bool)
        is_number = isinstance(value, int | float) and isinstance(current, int | float)
        if is_same_kind and (is_number or (isinstance(value, str) and isinstance(current, str))):
            setattr(record, name, value)


def module_state(state: Mapping[str, object]) -> ModuleState:
    """Return the state of another process, typed as `ModuleState`; the takeover has validated its form."""
    return cast("ModuleState", state)


def pools_state(pools: Mapping[int, Pool]) -> list[dict[str, object]]:
    """Return the values learned about each destination, its routes and their endpoints."""
    return [
        to_state(pool, POOL_KEYS)
        | {"destination": destination, "demand": [pool.demand.value, pool.demand.updated_at]}
        | {"routes": [_route_state(route) for route in pool.routes]}
        for destination, pool in pools.items()
    ]


def _route_state(route: Route) -> dict[str, object]:
    bucket = route.token_bucket
    endpoints = [to_state(e, ENDPOINT_KEYS) | {"target": e.entry.target.decode()} for e in route.endpoints]
    return to_state(route, ROUTE_KEYS) | {
        "bucket": [bucket.tokens, bucket.refilled_at],
        "endpoints": endpoints,
    }


def restore_pools(
    states: Sequence[PoolState], pools: Mapping[int, Pool], endpoints: Mapping[Target, Endpoint]
) -> None:
    """Restore the values learned about the destinations and routes that are listed now.

    If the state of a destination cannot be read, the rest of that destination's state is skipped; all other
    destinations are still restored.
    """
    for state in states:
        try:
            if (pool := pools.get(int(state["destination"]))) is not None:
                _restore_pool(state, pool, endpoints)
        except (KeyError, TypeError, ValueError, AttributeError):
            continue


def _restore_pool(state: PoolState, pool: Pool, endpoints: Mapping[Target, Endpoint]) -> None:
    restore(pool, POOL_KEYS, state)
    for route_state in state["routes"]:
        listed = [(endpoints.get(str(e["target"]).encode()), e) for e in route_state["endpoints"]]
        route = next((endpoint.route for endpoint, _ in listed if endpoint is not None), None)
        if route is None or route.pool is not pool:
            continue
        restore(route, ROUTE_KEYS, route_state)
        for endpoint, endpoint_state in listed:
            if endpoint is not None:
                restore(endpoint, ENDPOINT_KEYS, endpoint_state)
        route.token_bucket = TokenBucket(*map(float, route_state["bucket"]))
    pool.demand.value, pool.demand.updated_at = map(float, state["demand"])


def messages_state(messages: Mapping[int, Message]) -> list[dict[str, object]]:
    """Return the values of messages that the journal does not store."""
    return [to_state(message, MESSAGE_KEYS) | {"ref": ref} for ref, message in messages.items()]


def calls_state(calls: Mapping[tuple[int, int], Call]) -> Iterator[dict[str, object]]:
    """Yield the state of each call in flight, with its messages that have no outcome yet."""
    for call in dict.fromkeys(calls.values()):
        entry = call.endpoint.entry
        yield {
            "target": entry.target.decode(),
            "destination": entry.destination,
            "kind": entry.kind,
            "zone": entry.zone,
            "sent": call.sent_at,
            "trial": call.is_trial,
            "judged": call.failure_counted,
            "messages": [[ref, attempt, message.key] for (ref, attempt), message in call.messages.items()],
        }


def entry_of_call(state: CallState) -> Entry:
    """Return the endpoint of a call as an entry that the directory no longer lists."""
    target = str(state["target"]).encode()
    return Entry(target, state["destination"], Phase.REMOVED, state["kind"], state["zone"])
