"""Compares the simulation with real loopback sockets: plays each plan on both and compares the outcomes.

    python -m benchmarks.fidelity [plans] [jobs]

The outcome of a client's request is whether it was delivered within its latency target. Both runs of a plan
should give the same outcomes, except for requests whose latency is close to a limit.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from concurrent.futures import ProcessPoolExecutor

from emberlatch.faults import draw_mixed
from emberlatch.faults.environment import SimulatedEnvironment
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.loopback import loopback_plan, play_on_loopback


def outcomes(environment: SimulatedEnvironment) -> list[str]:
    """Return the outcome of each request, in order."""
    served_in_time = (
        clients.served_in_time(0.0, 1e9, environment.checks.messages) for clients in environment.clients
    )
    return ["in time" if in_time else "late or not" for requests in served_in_time for _, in_time in requests]


def compare(seed: int) -> tuple[int, int, int, int]:
    """Return the number of requests of a plan, how many had equal outcomes, and the breaches of both runs."""
    logging.disable(logging.CRITICAL)
    plan = loopback_plan(draw_mixed(seed))
    real = asyncio.run(play_on_loopback(plan))
    loop = VirtualLoop()
    virtual = SimulatedEnvironment(plan, loop)
    loop.run_until_complete(virtual.run())
    real_outcomes, virtual_outcomes = outcomes(real), outcomes(virtual)
    alike_count = sum(a == b for a, b in zip(real_outcomes, virtual_outcomes, strict=False))
    return (
        max(len(real_outcomes), len(virtual_outcomes)),
        alike_count,
        len(real.breaches),
        len(virtual.breaches),
    )


def main(plans: int, jobs: int) -> None:
    """Print a line for each plan whose runs differ or broke a rule, and the totals."""
    total = alike = broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for seed, (requests, alike_count, real, virtual) in enumerate(pool.map(compare, range(plans))):
            total, alike, broken = total + requests, alike + alike_count, broken + real + virtual
            if alike_count < requests or real or virtual:
                print(
                    f"seed {seed}: {alike_count} of {requests} outcomes equal;"
                    f" breaches {real} real, {virtual} virtual"
                )
    print(f"{plans} plans, {total} requests, {alike / total:.2%} outcomes equal, {broken} breaches")


if __name__ == "__main__":
    main(*(int(value) for value in [*sys.argv[1:], *("32", "16")[len(sys.argv) - 1 :]]))
