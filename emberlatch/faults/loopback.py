"""The environment on real loopback sockets and the real clock, to verify that the simulation behaves alike.

The environment supports only what needs no privileges: one forwarder, no kills, no isolated hosts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from emberlatch.engine.machine import Listener, listen
from emberlatch.faults.environment import SimulatedEnvironment
from emberlatch.faults.plan import DIRECTORY_FAULTS, ENDPOINT_FAULTS, LIST_FAULTS, FaultKind, Plan
from emberlatch.faults.process import Address

DURATION_S = 9.0
TIME_SCALE = 0.5  # factor on the faults' times
LOOPBACK_FAULTS = {*ENDPOINT_FAULTS, *DIRECTORY_FAULTS, *LIST_FAULTS} - {FaultKind.ISOLATED}


class LoopbackNetwork:
    """A network of real sockets, in place of the simulated one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def listen(self, address: Address) -> Listener:
        """Open a real listening socket."""
        return listen(address)

    def call_later(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Call `callback` after `delay` seconds."""
        self._loop.call_later(delay, callback, *args)

    def isolate(self, address: Address) -> None:
        """Raise NotImplementedError: isolation needs privileges."""
        raise NotImplementedError(f"loopback address {address} can't be isolated")

    def end_isolation(self, address: Address) -> None:
        """Raise NotImplementedError: isolation needs privileges."""
        raise NotImplementedError(f"loopback address {address} can't be isolated, so it can't rejoin")


def loopback_plan(plan: Plan) -> Plan:
    """A shorter version of a plan, without the faults that only a simulation supports."""
    faults = tuple(
        replace(fault, since=fault.since * TIME_SCALE, until=(fault.until or fault.since) * TIME_SCALE)
        for fault in plan.faults
        if fault.kind in LOOPBACK_FAULTS
    )
    return replace(plan, faults=faults, duration_s=DURATION_S, forwarder_count=1)


async def play_on_loopback(plan: Plan) -> SimulatedEnvironment:
    """Run a plan on this machine's loopback addresses in real time."""
    loop = asyncio.get_running_loop()
    environment = SimulatedEnvironment(plan, loop, LoopbackNetwork(loop))
    await environment.run()
    return environment
