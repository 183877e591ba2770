"""The simulated network: latency by zone, partitions between pairs of machines, and losses of power."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterable

from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.network import Network
from emberlatch.faults.process import Process

LATENCY_S = 0.0002  # one-way latency inside a zone
CROSS_ZONE_LATENCY_S = 0.0014  # additional one-way latency between zones


class SimulatedNetwork(Network):
    """The links between all machines. `zone_of` gives the zone of a host, "" for one outside of all zones."""

    def __init__(self, loop: VirtualLoop, seed: int, zone_of: Callable[[str], str]) -> None:
        super().__init__(loop, seed, latency=LATENCY_S)
        self._zone_of = zone_of
        self._partitioned_until: dict[tuple[str, str], float] = {}  # loop time by sorted pair of hosts

    def partition(self, one: str, other: str, duration_s: float) -> None:
        """Partition two hosts for `duration_s` seconds; packets sent meanwhile arrive afterwards."""
        pair = (one, other) if one < other else (other, one)
        self._partitioned_until[pair] = self.loop.time() + duration_s

    def packet_delay(self, sender: Process | None, receiver: Process | tuple[str, int] | None) -> float:
        """The delay of one packet in seconds."""
        one, other = _host_of(sender), _host_of(receiver)
        delay_s = self.draw_latency() + (
            CROSS_ZONE_LATENCY_S if self._zone_of(one) != self._zone_of(other) else 0.0
        )
        pair = (one, other) if one < other else (other, one)
        until = self._partitioned_until.get(pair, 0.0)
        return max(delay_s, until - self.loop.time() + delay_s)

    def cut_power(self, host: str, ports: Iterable[int], process: Process | None) -> None:
        """Stop all traffic from and to a host from now on, without notifying its peers."""
        for port in ports:
            self.isolate((host, port))
        if process is None or not process.alive:
            return
        process.power_off()
        for listener in process.listeners:
            self.unregister(listener)

    def restore_power(self, host: str, ports: Iterable[int]) -> None:
        """Connect a host again; the connections that it had before are reset."""
        for port in ports:
            self.end_isolation((host, port))
        for end in list(self.transports):
            if end.peer.is_lost and not end.is_lost:
                end.mark_lost(ConnectionResetError(errno.ECONNRESET, "reset"))


def _host_of(party: Process | tuple[str, int] | None) -> str:
    if isinstance(party, Process):
        return party.name
    return party[0] if party is not None else ""
