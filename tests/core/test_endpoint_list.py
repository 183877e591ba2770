"""The endpoint list: cost of a change of one entry, slow start of new endpoints, and changed weights."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from emberlatch import Forwarder
from emberlatch.core import interface as api
from emberlatch.core.interface import DirectoryUpdate, Entry, ListKind, Phase, Result

SAFE = api.Category("note", api.Effect.SAFE, latency_target=3.0, deadline=24.0)
RULES = api.Rules(
    drain_grace=0.5, overload_factor=1.5, overload_window=3.0, slow_start=13.0, slow_start_share=0.27
)


def forwarder(**changes: Any) -> Forwarder:
    values: dict[str, Any] = {"categories": (SAFE,), "slots": 8, "open_cap": 200, "rules": RULES}
    return Forwarder(api.Settings(**(values | {"separate_routes": (True,)} | changes)), seed=1)


def listed(*entries: Entry, kind: ListKind = ListKind.DELTA) -> DirectoryUpdate:
    return DirectoryUpdate(kind, 1, entries)


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


class LookupOnlyDict(dict[Any, Any]):
    """A dict that allows lookups but raises an error on iteration."""

    def __iter__(self) -> Iterator[Any]:
        raise AssertionError("walked")

    def items(self) -> Any:
        raise AssertionError("walked")

    def values(self) -> Any:
        raise AssertionError("walked")


def test_a_change_of_one_entry_reads_no_other_entry() -> None:
    module = forwarder()
    entries = [Entry(b"t%d" % n, n // 2) for n in range(1000)]
    module.handle(0.0, [listed(*entries, kind=ListKind.CACHED)])
    table, listed_endpoints = module.pool_table, module.endpoint_list
    listed_endpoints.endpoints = LookupOnlyDict(listed_endpoints.endpoints)
    table.by_destination = LookupOnlyDict(table.by_destination)
    removed = replace(entries[0], phase=Phase.REMOVED)
    module.handle(1.0, [listed(removed, Entry(b"new", 9000))])
    assert not (b"t0" in module.endpoints or module.endpoint_list.retired) and b"new" in module.endpoints
    module.handle(2.0, [listed(replace(entries[1], phase=Phase.REMOVED))])
    assert 0 not in module.pools and len(module.pools) == 500


def test_an_endpoint_removed_during_a_retry_after_is_dropped_when_the_retry_after_ends() -> None:
    module = forwarder()
    entry = Entry(b"t", 7)
    module.handle(0.0, [listed(entry, kind=ListKind.CACHED), api.Arrival(1, 0, 7, 24.0)])
    module.handle(
        0.1, [api.Outcome(1, 0, b"t", Result.FULL, 0.1, retry_after=2.0), api.ClientDisconnected(1)]
    )
    module.handle(0.2, [listed(replace(entry, phase=Phase.REMOVED))])
    assert b"t" in module.endpoints
    module.handle(0.3, [listed(entry)])  # listed again: the retry-after still applies
    assert module.endpoints[b"t"].route.blocked_until >= 2.1 and not module.endpoint_list.retired
    module.handle(0.4, [listed(replace(entry, phase=Phase.REMOVED))])
    module.handle(400.0, [listed()])
    assert not (
        module.endpoints or module.endpoint_list.retired or module.pools or module.pool_table._routeless
    )


def test_a_destination_without_endpoints_and_messages_is_dropped() -> None:
    module = forwarder()
    module.handle(0.0, [api.Arrival(1, 0, 7, 24.0)])
    assert 7 in module.pools
    module.handle(0.1, [api.ClientDisconnected(1)])
    module.handle(400.0, [listed()])
    assert not (module.pools or module.pool_table._routeless)


def test_a_new_endpoint_gets_a_slow_start_and_a_known_one_does_not() -> None:
    """With ten messages per second, a new endpoint gets no more calls than its slow-start rate allows."""
    counts = {}
    for is_new in (False, True):
        module = forwarder()
        module.handle(0.0, [listed(Entry(b"t", 7, needs_slow_start=is_new))])
        sent, ref = 0, 0
        for tick in range(300):  # three seconds
            now = tick / 100
            events: list[api.Event] = [api.TimerFired(0)]
            if tick % 10 == 0:
                ref += 1
                events.append(api.Arrival(ref, 0, 7, 24.0))
            for send in sends(module.handle(now, events)):
                sent += 1
                module.handle(now, [api.Outcome(send.ref, 0, b"t", Result.OK, 0.05, is_final=True)])
        counts[is_new] = sent
    assert counts[False] == 30
    assert 0 < counts[True] < 15


def test_a_new_endpoint_on_a_route_in_use_does_not_put_the_route_in_slow_start() -> None:
    module = forwarder(separate_routes=(False,))
    module.handle(0.0, [listed(Entry(b"t", 7))])
    module.handle(1.0, [listed(Entry(b"u", 7, needs_slow_start=True))])
    assert module.endpoints[b"u"].route is module.endpoints[b"t"].route
    assert module.endpoints[b"u"].route.slow_start_until < 1.0


def test_a_changed_weight_replaces_the_rate_limit_only_where_weights_are_trusted() -> None:
    module = forwarder(weights=api.Weights.NOMINAL)
    entry = Entry(b"t", 7, weight=5.0)
    module.handle(0.0, [listed(entry)])
    assert module.endpoints[b"t"].route.rate_limit == 5.0
    module.handle(1.0, [listed(replace(entry, weight=2.0))])
    assert module.endpoints[b"t"].route.rate_limit == 2.0
    untrusting = forwarder(weights=api.Weights.OFF, report_fields=("x0", "x1"))
    untrusting.handle(0.0, [listed(entry), api.Arrival(1, 0, 7, 24.0)])
    untrusting.handle(0.1, [api.Outcome(1, 0, b"t", Result.OK, 0.1, is_final=True, report=(0.5, 9.0))])
    untrusting.handle(1.0, [listed(replace(entry, weight=2.0))])
    assert untrusting.endpoints[b"t"].route.rate_limit == 9.0  # the reported limit stays
