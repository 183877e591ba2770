"""What the decision module has learnt, as plain values for the process that follows it, and back.

It decides nothing. Times stay on the loop's clock, which both processes share. Fields that are unknown are
passed over, and one that is missing keeps the value of a new start: the two programs may differ.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from emberlatch.core import interface as api
from emberlatch.core.records import Bucket, Call, Endpoint, Message, Pool, Route

POOL = ("grown", "normal", "samples", "peak", "second", "arrivals")
ROUTE: tuple[str, ...] = (
    "recent",
    "last_ok",
    "fails",
    "failing",
    "failed_at",
    "blocked_until",
    "unheard",
    "held",
    "unwell",
)
ROUTE += ("probed", "sign", "spare", "next_trial", "ramp_until", "left", "limit", "pace", "before")
ENDPOINT = ("most", "last_ok")
MESSAGE = ("arrived", "not_before", "returned", "due")


def take(record: object, names: Sequence[str]) -> dict[str, Any]:
    """The named fields of a record."""
    return {name: getattr(record, name) for name in names}


def give(record: object, names: Sequence[str], told: Mapping[str, Any]) -> None:
    """Set the named fields that are told, where they are of the kind that the record has."""
    for name in names:
        value, now = told.get(name), getattr(record, name)
        plain = isinstance(value, bool) == isinstance(now, bool)
        number = isinstance(value, int | float) and isinstance(now, int | float)
        if plain and (number or (isinstance(value, str) and isinstance(now, str))):
            setattr(record, name, value)


def pools(pools: Mapping[int, Pool]) -> list[dict[str, Any]]:
    """What was learnt of each destination, its routes and their endpoints."""
    return [
        take(pool, POOL)
        | {"destination": destination, "demand": [pool.demand.value, pool.demand.since]}
        | {"routes": [_route(route) for route in pool.routes]}
        for destination, pool in pools.items()
    ]


def _route(route: Route) -> dict[str, Any]:
    told = take(route, ROUTE) | {"bucket": [route.bucket.tokens, route.bucket.filled]}
    ends = [take(e, ENDPOINT) | {"target": e.entry.target.decode()} for e in route.endpoints]
    return told | {"endpoints": ends}


def resume_pools(
    told: Sequence[Mapping[str, Any]], pools: Mapping[int, Pool], known: Mapping[api.Target, Endpoint]
) -> None:
    """Take up what was learnt of the destinations and routes that are listed now.

    One that cannot be read costs what was learnt of it, and nothing else.
    """
    for state in told:
        try:
            if (pool := pools.get(int(state["destination"]))) is not None:
                _resume_pool(state, pool, known)
        except (KeyError, TypeError, ValueError, AttributeError):
            continue


def _resume_pool(state: Mapping[str, Any], pool: Pool, known: Mapping[api.Target, Endpoint]) -> None:
    give(pool, POOL, state)
    for each in state["routes"]:
        ends = [(known.get(str(end["target"]).encode()), end) for end in each["endpoints"]]
        found = next((endpoint.route for endpoint, _ in ends if endpoint is not None), None)
        if found is None or found.pool is not pool:
            continue
        give(found, ROUTE, each)
        for endpoint, end in ends:
            if endpoint is not None:
                give(endpoint, ENDPOINT, end)
        tokens, filled = map(float, each["bucket"])
        found.bucket = Bucket()
        found.bucket.tokens, found.bucket.filled = tokens, filled
    pool.demand.value, pool.demand.since = map(float, state["demand"])


def messages(messages: Mapping[int, Message]) -> list[dict[str, Any]]:
    """What the journal does not tell of messages."""
    return [take(message, MESSAGE) | {"ref": ref} for ref, message in messages.items()]


def calls(calls: Mapping[tuple[int, int], Call]) -> Iterator[dict[str, Any]]:
    """The calls that are out, with the messages that have no outcome yet."""
    for call in dict.fromkeys(calls.values()):
        entry = call.endpoint.entry
        yield {
            "target": entry.target.decode(),
            "destination": entry.destination,
            "kind": entry.kind,
            "zone": entry.zone,
            "sent": call.sent,
            "trial": call.trial,
            "judged": call.judged,
            "messages": [[ref, attempt, message.key] for (ref, attempt), message in call.messages.items()],
        }
