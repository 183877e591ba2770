"""The simulated network of a virtual storm, in which faults impair each direction of a link separately."""

from __future__ import annotations

import random
from collections import defaultdict

from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.network import Network
from emberlatch.faults.process import Address, Process
from emberlatch.storm.membership_rules import base_name
from emberlatch.storm.plan import Fault, FaultKind, Plan
from emberlatch.storm.relay import draw_retransmit_delay

PACKET_BYTES = 100  # assumed size of each packet in a throttled direction
DELAYING_FAULTS = (
    FaultKind.PARTITION,
    FaultKind.BLACKHOLE,
    FaultKind.DELAY,
    FaultKind.LOSS,
    FaultKind.THROTTLE,
)


class FaultyNetwork(Network):
    """A network on the virtual clock, with the link faults of a plan.

    `began_at` is the loop time at which the storm began.
    """

    def __init__(self, loop: VirtualLoop, plan: Plan) -> None:
        super().__init__(loop, plan.seed)
        self._rng = random.Random(f"links {plan.seed}")
        self._faults: dict[tuple[str, str], list[Fault]] = defaultdict(list)
        for fault in plan.faults_of(*DELAYING_FAULTS):
            for direction in fault.directions():
                self._faults[direction].append(fault)
        self.began_at = 0.0

    def packet_delay(self, sender: Process | None, receiver: Process | Address | None) -> float:
        """Draw the seconds until a packet arrives; in a partition it arrives when the partition has ended."""
        delay_s = self.draw_latency()
        if sender is None or receiver is None:
            return delay_s
        now = self.loop.time() - self.began_at
        for fault in self._faults.get((_member_name(sender), _member_name(receiver)), ()):
            if fault.at <= now < fault.until:
                delay_s += self._draw_fault_delay(fault, now)
        return delay_s

    def _draw_fault_delay(self, fault: Fault, now: float) -> float:
        match fault.kind:
            case FaultKind.PARTITION | FaultKind.BLACKHOLE:
                return fault.until - now
            case FaultKind.DELAY:
                return fault.amount * self._rng.uniform(1.0, 2.0)
            case FaultKind.THROTTLE:
                return PACKET_BYTES / fault.amount
            case _:
                return draw_retransmit_delay(self._rng, fault.amount)

    def disconnect(self, one: str, other: str) -> None:
        """Reset all connections between two members."""
        for transport in list(self.transports):
            processes = (transport.process, transport.peer.process)
            if {_member_name(process) for process in processes if process is not None} == {one, other}:
                transport.abort()


def _member_name(party: Process | Address) -> str:
    return base_name(party.name if isinstance(party, Process) else party[0])
