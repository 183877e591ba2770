"""The relays of a storm: one from each member to each endpoint, and one from each member to each other."""

from __future__ import annotations

import random

from emberlatch.storm.plan import Fault, FaultKind, Plan
from emberlatch.storm.relay import Address, DirectionFaults, Relay

Link = tuple[str, str]
"""Two names: for a relay, the client and the server; for a direction, the sender and the receiver."""


class LinkRelays:
    """All relays, and the faults of each direction between two parties.

    The two relays between two members, one for each side that connects, share the faults of both directions.
    """

    def __init__(self, plan: Plan) -> None:
        self._rng = random.Random(f"links {plan.seed}")
        self._directions: dict[Link, DirectionFaults] = {}
        self._relays: dict[Link, Relay] = {}

    def add(self, client: str, server: str, address: Address) -> None:
        """Create the relay by which `client` reaches `server`, which listens at `address`."""
        forward = self._directions.setdefault((client, server), DirectionFaults())
        backward = self._directions.setdefault((server, client), DirectionFaults())
        self._relays[client, server] = Relay(address, forward, backward, self._rng)

    def port(self, client: str, server: str) -> int:
        """Return the port on loopback by which `client` reaches `server`."""
        return self._relays[client, server].port

    async def start(self) -> None:
        """Start all relays; raises OSError if a port cannot be bound."""
        for relay in self._relays.values():
            await relay.start()

    def close(self) -> None:
        """Close all connections and release the ports."""
        for relay in self._relays.values():
            relay.close()

    def begin(self, fault: Fault) -> None:
        """Begin a link fault; faults of other kinds are ignored."""
        self._apply(fault, active=True)

    def end(self, fault: Fault) -> None:
        """End a link fault; faults of other kinds are ignored."""
        self._apply(fault, active=False)

    def _apply(self, fault: Fault, *, active: bool) -> None:
        amount = fault.amount if active else 0.0
        for direction in fault.directions():
            if (faults := self._directions.get(direction)) is None:
                continue
            match fault.kind:
                case FaultKind.PARTITION if active:
                    faults.open.clear()
                case FaultKind.PARTITION:
                    faults.open.set()
                case FaultKind.DELAY:
                    faults.delay_s = amount
                case FaultKind.LOSS:
                    faults.loss = amount
                case FaultKind.THROTTLE:
                    faults.bytes_per_s = amount
                case FaultKind.DISCONNECT:
                    faults.disconnects = active
                case FaultKind.BLACKHOLE:
                    for link in (direction, direction[::-1]):
                        if (relay := self._relays.get(link)) is not None:
                            _set_forwarding(relay, forwarding=not active)

    def clear(self) -> None:
        """End all faults."""
        for faults in self._directions.values():
            faults.clear()
        for relay in self._relays.values():
            _set_forwarding(relay, forwarding=True)


def _set_forwarding(relay: Relay, *, forwarding: bool) -> None:
    if forwarding:
        relay.forwarding.set()
    else:
        relay.forwarding.clear()
