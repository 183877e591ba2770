"""Destinations and endpoints in the terms of the decision module.

In the decision module, the local targets of a service form one destination, and its remote targets another.
The module sends a delivery only to targets of the destination to which the delivery was offered. Therefore a
message's body reaches another zone only after an offer to the remote destination. Such an offer is made if
the local destination has no available target, has reached its limit, or gave no call slot before.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from emberlatch.cluster.discovery import Target, TargetState
from emberlatch.cluster.dispatch.delivery import Locality
from emberlatch.cluster.settings import Service
from emberlatch.core import interface as api
from emberlatch.engine import Address

FIXED_PREFIX = b"="  # prefix of the names of endpoints that the configuration defines
NO_ADDRESS: Address = ("0.0.0.0", 1)

LOCALITIES = (Locality.LOCAL, Locality.REMOTE)  # in order of preference
PHASES = {
    TargetState.IN_SERVICE: api.Phase.READY,
    TargetState.DRAINING: api.Phase.DRAINING,
    TargetState.DEREGISTERED: api.Phase.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Endpoints that were added, changed or removed, with their addresses by name."""

    entries: tuple[api.Entry, ...]
    addresses: dict[bytes, Address]


class Destinations:
    """Assigns a number to each destination, and records the endpoints announced to the decision module."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._numbers: dict[tuple[str, Locality], int] = {}
        self._entries: dict[bytes, api.Entry] = {}
        self._targets: dict[bytes, Target] = {}

    def number(self, service: str, locality: Locality) -> int:
        """Return the number of a destination; a new destination gets the next number."""
        return self._numbers.setdefault((service, locality), len(self._numbers))

    def configure(self, services: Iterable[Service]) -> Iterator[EndpointUpdate]:
        """Apply the fixed endpoints of a configuration, and yield the resulting updates."""
        wanted: dict[bytes, tuple[Service, Address]] = {}
        for service in services:
            if service.fixed_endpoint is not None:
                host, _, port = service.fixed_endpoint.rpartition(":")
                wanted[_fixed_name(service, service.fixed_endpoint)] = service, (host, int(port))
        for name in [n for n in self._entries if n.startswith(FIXED_PREFIX) and n not in wanted]:
            removed = api.Entry(name, self._entries.pop(name).destination, api.Phase.REMOVED)
            yield EndpointUpdate((removed,), {name: NO_ADDRESS})
        entries, addresses = [], {}
        for name, (service, address) in wanted.items():
            entry = api.Entry(name, self.number(service.name, Locality.LOCAL))
            if self._entries.get(name) != entry:
                self._entries[name] = entry
                entries.append(entry)
                addresses[name] = address
        if entries:
            yield EndpointUpdate(tuple(entries), addresses)

    def update_target(self, target: Target) -> EndpointUpdate | None:
        """Apply a target's new state; return None for an unknown target that is already removed."""
        name = target.id.encode()
        phase = api.Phase.REMOVED if target.lease_expired else PHASES[target.state]
        if phase is api.Phase.REMOVED and name not in self._entries:
            return None
        remote = target.zone != self._zone
        locality = Locality.REMOTE if remote else Locality.LOCAL
        # This store uses half of the capacity of a target in another zone; that zone's stores use the rest.
        capacity = max(1, target.capacity // 2) if remote else target.capacity
        entry = api.Entry(name, self.number(target.service, locality), phase, max_concurrency=capacity)
        if phase is api.Phase.REMOVED:
            del self._entries[name]
            self._targets.pop(name, None)
        else:
            self._entries[name], self._targets[name] = entry, target
        return EndpointUpdate((entry,), {name: target.address})

    def available(self, service: str) -> list[Locality]:
        """Return the localities in which the service has targets that accept deliveries, LOCAL first."""
        return [locality for locality in LOCALITIES if self._has_ready_target(service, locality)]

    def _has_ready_target(self, service: str, locality: Locality) -> bool:
        number = self._numbers.get((service, locality))
        return number is not None and any(
            entry.destination == number and entry.phase is api.Phase.READY for entry in self._entries.values()
        )

    def expected_instance(self, name: bytes) -> str:
        """Return the id of the instance expected at an endpoint; empty for a fixed endpoint."""
        target = self._targets.get(name)
        if target is not None:
            return target.id
        return "" if name.startswith(FIXED_PREFIX) else name.decode()


def _fixed_name(service: Service, endpoint: str) -> bytes:
    return FIXED_PREFIX + f"{service.name}={endpoint}".encode()
