"""Combines the carriers of several protocols: each endpoint is assigned to its protocol's carrier."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from emberlatch.core.interface import Entry, Phase, Target
from emberlatch.engine.ports import Addresses, CallItem, Carrier


class CarrierRouter:
    """Routes calls to the carrier of each endpoint.

    `protocol` returns the protocol of an endpoint that is listed in a membership update. An endpoint that was
    removed stays assigned to its last carrier until that carrier has no call to the endpoint in flight.
    """

    def __init__(self, carriers: Mapping[str, Carrier], protocol: Callable[[Target], str]) -> None:
        self._carriers, self._protocol = carriers, protocol
        self._default = next(iter(carriers.values()))
        self._carrier_by_target: dict[Target, Carrier] = {}

    @property
    def in_flight(self) -> int:
        """The number of calls without an outcome, over all carriers."""
        return sum(carrier.in_flight for carrier in self._carriers.values())

    def update(self, entries: Sequence[Entry], addresses: Addresses, is_complete: bool) -> None:
        """Pass each carrier its endpoints; an endpoint whose protocol changed leaves its old carrier."""
        shares: dict[Carrier, list[Entry]] = {carrier: [] for carrier in self._carriers.values()}
        for entry in entries:
            target, previous = entry.target, self._carrier_by_target.get(entry.target)
            if entry.phase is Phase.REMOVED:
                shares[previous or self._default].append(entry)
                continue
            carrier = self._carriers[self._protocol(target)]
            if previous not in (None, carrier):
                shares[previous].append(replace(entry, phase=Phase.REMOVED))
            self._carrier_by_target[target] = carrier
            shares[carrier].append(entry)
        for carrier, share in shares.items():
            if share or is_complete:
                carrier.update(share, {entry.target: addresses[entry.target] for entry in share}, is_complete)
        # Drop removed endpoints without a call in flight: their carrier returns no entry for them.
        self._carrier_by_target = {
            target: carrier
            for target, carrier in self._carrier_by_target.items()
            if carrier.entry(target) is not None
        }

    def entry(self, target: Target) -> Entry | None:
        """See `Carrier.entry`."""
        return self._carrier_of(target).entry(target)

    def call(self, target: Target, items: list[CallItem]) -> None:
        """See `Carrier.call`."""
        self._carrier_of(target).call(target, items)

    def cancel(self, ref: int, attempt: int) -> None:
        """See `Carrier.cancel`."""
        for carrier in self._carriers.values():
            carrier.cancel(ref, attempt)

    def close_idle(self, target: Target) -> None:
        """See `Carrier.close_idle`."""
        self._carrier_of(target).close_idle(target)

    def _carrier_of(self, target: Target) -> Carrier:
        return self._carrier_by_target.get(target, self._default)
