"""The carrier router assigns each endpoint to the carrier of its protocol, also when the protocol changes."""

from __future__ import annotations

from collections.abc import Sequence

from emberlatch.core.interface import Entry, Phase
from emberlatch.engine import Addresses, CallItem, CarrierRouter


class FakeCarrier:
    def __init__(self) -> None:
        self.listed: dict[bytes, Entry] = {}
        self.called: list[bytes] = []
        self.in_flight = 0
        self.full_updates = 0

    def update(self, entries: Sequence[Entry], addresses: Addresses, is_complete: bool) -> None:
        self.full_updates += is_complete
        assert set(addresses) == {entry.target for entry in entries}
        if is_complete:
            self.listed.clear()
        for entry in entries:
            if entry.phase is Phase.REMOVED:
                self.listed.pop(entry.target, None)
            else:
                self.listed[entry.target] = entry

    def entry(self, target: bytes) -> Entry | None:
        return self.listed.get(target)

    def call(self, target: bytes, items: list[CallItem]) -> None:
        self.called.append(target)

    def cancel(self, ref: int, attempt: int) -> None:
        self.called.append(b"cancel")

    def close_idle(self, target: bytes) -> None:
        self.called.append(b"close")


def make_router() -> tuple[CarrierRouter, FakeCarrier, FakeCarrier, dict[bytes, str]]:
    http, as2, protocols = FakeCarrier(), FakeCarrier(), {b"a": "http", b"b": "as2"}
    return CarrierRouter({"http": http, "as2": as2}, protocols.__getitem__), http, as2, protocols


def update(router: CarrierRouter, *entries: Entry, is_complete: bool = False) -> None:
    router.update(entries, {entry.target: ("x", 1) for entry in entries}, is_complete)


def test_each_endpoint_is_served_by_the_carrier_of_its_protocol() -> None:
    router, http, as2, _ = make_router()
    update(router, Entry(b"a", 1), Entry(b"b", 2), is_complete=True)
    router.call(b"a", [])
    router.call(b"b", [])
    router.close_idle(b"b")
    assert (http.called, as2.called) == ([b"a"], [b"b", b"close"])
    assert router.entry(b"b") == Entry(b"b", 2) and router.entry(b"c") is None
    http.in_flight, as2.in_flight = 2, 3
    assert router.in_flight == 5


def test_a_complete_list_is_passed_to_a_carrier_without_endpoints_too() -> None:
    router, _http, as2, _ = make_router()
    update(router, Entry(b"a", 1), Entry(b"b", 2), is_complete=True)
    update(router, Entry(b"a", 1), is_complete=True)
    assert not as2.listed and as2.full_updates == 2 and not router._carrier_by_target.keys() - {b"a"}


def test_a_removed_endpoint_is_removed_from_its_last_carrier() -> None:
    router, _http, as2, protocols = make_router()
    update(router, Entry(b"b", 2))
    del protocols[b"b"]  # the inventory has no protocol for a removed endpoint
    update(router, Entry(b"b", 2, Phase.REMOVED))
    assert not as2.listed and not router._carrier_by_target


def test_an_endpoint_whose_protocol_changes_is_removed_from_the_old_carrier() -> None:
    router, http, as2, protocols = make_router()
    update(router, Entry(b"a", 1))
    protocols[b"a"] = "as2"
    update(router, Entry(b"a", 1))
    router.call(b"a", [])
    assert not http.listed and as2.listed and as2.called == [b"a"]
