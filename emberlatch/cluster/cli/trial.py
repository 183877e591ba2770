"""The command `try`: runs a complete cluster under load on this machine.

Three stores and two forwarders run as processes on loopback addresses; targets and clients run in this
process. A roll-out is tried in the same way. All processes start from another checkout of the program. Under
load, the processes are replaced one by one with processes from this checkout. Then they are replaced in the
same way with processes from the other checkout.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import sys
from collections import Counter
from pathlib import Path

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.cluster.cli.loopback_cluster import (
    OK,
    THIS_CHECKOUT,
    UNKNOWN_STATE,
    LoopbackCluster,
    node_package,
)

ACCEPTED = 202
KILLED_STORE = "store-0"
FAULT_TOLERANCE_S = 0.1  # subtracted from a fault's time: its effects may be seen before it is recorded
UNLIMITED_S = 1e6
WARM_UP_S = 2.0  # duration of the load before a roll-out
COMPLETION_WAIT_S = 3.0  # time after the last message for deliveries to complete


async def _start(cluster: LoopbackCluster) -> bool:
    if not await cluster.start():
        return False
    address = f"{cluster.hosts[KILLED_STORE]}:{cluster.ports.peer}"
    print(f"the cluster is ready; inspect it with: emberlatch-cluster status {address}")
    return True


async def _try_load(cluster: LoopbackCluster, kill: bool) -> ExitCode:
    """Submit messages for the plan's duration; with `kill`, kill a store at half of that time."""
    if not await _start(cluster):
        return ExitCode.FAILED
    loop, duration_s = asyncio.get_running_loop(), cluster.plan.duration_s
    load = asyncio.create_task(cluster.clients().run(duration_s))
    started_at, second = loop.time(), 0
    while not load.done():
        await asyncio.sleep(1.0)
        second += 1
        if kill and second == max(1, int(duration_s / 2)):
            cluster.history.fault_times.append(loop.time() - FAULT_TOLERANCE_S)
            cluster.kill_and_restart(KILLED_STORE)
            print(f"{KILLED_STORE} was killed, and is started again")
        _print_second(cluster, second, started_at + second - 1)
    return await _report(cluster, load)


def _print_second(cluster: LoopbackCluster, second: int, since: float) -> None:
    history = cluster.history
    answers = Counter(sent.status for sent in history.sent.values() if sent.sent_at >= since)
    runs = sum(run.at >= since for runs_of_message in history.runs.values() for run in runs_of_message)
    print(f"second {second:3d}: answers {dict(answers)}, runs {runs}")


async def _try_roll_out(cluster: LoopbackCluster, other: Path) -> ExitCode:
    """Start from the `other` checkout, roll out this one under load, then roll back."""
    cluster.checkout = other
    if not await _start(cluster):
        return ExitCode.FAILED
    load = asyncio.create_task(cluster.clients().run(UNLIMITED_S))
    await asyncio.sleep(WARM_UP_S)
    for checkout in (THIS_CHECKOUT, other):
        await cluster.roll_out(checkout)
    load.cancel()
    return await _report(cluster, load)


async def _report(cluster: LoopbackCluster, load: asyncio.Task[None]) -> ExitCode:
    """Print the final states of the messages. Return FAILED if one was lost or a rule was broken."""
    with contextlib.suppress(asyncio.CancelledError):
        await load
    await asyncio.sleep(COMPLETION_WAIT_S)
    history = cluster.history
    print(f"answers {dict(Counter(sent.status for sent in history.sent.values()))} (0: none)")
    accepted = [sent.id for sent in history.sent.values() if sent.status == ACCEPTED]
    states = Counter([await cluster.message_state(id) for id in accepted])
    repeated = sum(len([run for run in runs if run.status == OK]) > 1 for runs in history.runs.values())
    print(f"accepted {len(accepted)}: {dict(states)}; run again after a success: {repeated}")
    for breach in history.breaches:
        print(f"{breach.at:.2f} broken: {breach.rule}: {breach.text}")
    return ExitCode.FAILED if history.breaches or states[UNKNOWN_STATE] else ExitCode.OK


def run(seconds: float, per_s: float, kill: bool, other: Path | None) -> ExitCode:
    """Run a cluster under load. With `other`, start from that checkout, roll out this one, then roll back.

    Return FAILED if a message was lost or a rule was broken, UNUSABLE if `other` is not a checkout.
    """
    logging.basicConfig(level=logging.ERROR)
    if other is not None and node_package(other) is None:
        print(f"{other}: not a checkout of this program", file=sys.stderr)
        return ExitCode.UNUSABLE
    cluster = LoopbackCluster(per_s, seconds)
    try:
        if other is not None:
            return asyncio.run(_try_roll_out(cluster, other.resolve()))
        return asyncio.run(_try_load(cluster, kill))
    finally:
        cluster.close()
