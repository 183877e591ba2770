"""Measures the cost of repairing a store that was down for a while or restarted with an empty disk."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from emberlatch.cluster.message_store import MessageState, Record
from emberlatch.cluster.message_store.index import RecordIndex
from emberlatch.cluster.message_store.message_store import MessageStore
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.growth import peak_memory_mib
from emberlatch.simulation.plan import Plan
from emberlatch.simulation.scenario import Scenario, play

BODY_BYTES = 1000  # body size of a queued message
RECORD_BYTES = 120  # approximate size of a record without its body
OWNER, REPLICA = NODES = "s0", "s1"
BLOCKING_PROBE_S = 0.0002  # simulated seconds between two readings of the real clock
NEVER_S = 1e6  # a duration longer than any simulated day


@dataclass
class RepairCost:
    """The cost of repairing `missing` of `records` records.

    `processor_s` is the processor time of both stores and of the simulation. `peak_memory_mib` is the peak
    memory of the interpreter. If the interpreter has simulated several sizes, this is the largest one's peak.
    """

    records: int
    missing: int
    frames: int = 0
    bytes: int = 0
    minimum_bytes: int = 0  # size of the missing records alone
    processor_s: float = 0.0
    longest_block_s: float = 0.0  # longest real time for which the loop was blocked
    repeat_bytes: int = 0  # bytes sent by a second repair, when both stores are equal
    peak_memory_mib: float = 0.0

    def to_json(self) -> dict[str, float]:
        """The object that the command `mending` prints with `--json`."""
        return {
            "records": self.records,
            "lacking": self.missing,
            "frames": self.frames,
            "bytes": self.bytes,
            "least": self.minimum_bytes,
            "cpu_s": self.processor_s,
            "longest_s": self.longest_block_s,
            "again_bytes": self.repeat_bytes,
            "peak_mb": self.peak_memory_mib,
        }


def measure(records: int, missing: int, waiting_share: float = 0.02, seed: int = 1) -> RepairCost:
    """Measure the repair between two stores of `records` records, of which one lacks `missing`.

    `waiting_share` is the share of records whose messages are queued; only these records have a body.
    """
    cost = RepairCost(records, missing)

    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        _fill(scenario.cluster, cost, waiting_share, random.Random(seed))
        watch = asyncio.get_running_loop().create_task(_watch_blocking(cost))
        await _measure_repairs(scenario.cluster, cost)
        watch.cancel()
        cost.peak_memory_mib = peak_memory_mib()

    play(Plan(seed, zones=1, forwarders=1, stores=2, targets=1), steps)
    return cost


async def _measure_repairs(cluster: SimulatedCluster, cost: RepairCost) -> None:
    """Measure the repair, and then a second one, when no record is missing."""
    repair, program = _message_store(cluster, OWNER).repair, cluster.nodes[OWNER].program
    assert program is not None
    peer = program.membership.stores()[REPLICA]
    for repeated in (False, True):
        (frames_before, bytes_before), started_at = _sent(cluster), time.process_time()
        await repair.repair_peer(peer)
        assert repair.repaired_at.get(REPLICA) is not None
        frames, size = _sent(cluster)
        if repeated:
            cost.repeat_bytes = size - bytes_before
            continue
        cost.frames, cost.bytes = frames - frames_before, size - bytes_before
        cost.processor_s = time.process_time() - started_at
        repaired = len(_index(cluster, REPLICA).records)
        assert repaired == cost.records, (
            f"{REPLICA} has {repaired} of {cost.records} records after the repair"
        )


def _message_store(cluster: SimulatedCluster, name: str) -> MessageStore:
    program = cluster.nodes[name].program
    assert program is not None and program.message_store is not None, f"{name} is not a running store"
    return program.message_store


def _index(cluster: SimulatedCluster, name: str) -> RecordIndex:
    return _message_store(cluster, name).local_store.index


def _fill(cluster: SimulatedCluster, cost: RepairCost, waiting_share: float, rng: random.Random) -> None:
    """Put records into both indexes, but the newest `missing` ones only into the owner's index."""
    complete, incomplete = (_index(cluster, name) for name in NODES)
    now = cluster.loop.time()
    for number in range(cost.records):
        waits = rng.random() < waiting_share
        body = rng.randbytes(BODY_BYTES) if waits else None
        id = f"{number:x}m{rng.randrange(1 << 40):x}"
        rng.randrange(1 << 40)  # published figures were measured with two random numbers for each record
        complete.put(_record(id, body, now))
        if number < cost.records - cost.missing:
            incomplete.put(_record(id, body, now))
        else:
            cost.minimum_bytes += RECORD_BYTES + len(body or b"")


def _record(id: str, body: bytes | None, now: float) -> Record:
    record = Record(id, "h.example", "POST", "/l/x", "", body)
    if body is not None:
        record.state, record.seal, record.ended_at = MessageState.QUEUED, "", 0.0
    else:
        record.state, record.seal, record.ended_at = MessageState.COMPLETED, "3e1b.07.5a2.600.0", now
    record.owner, record.epoch, record.replicas = OWNER, 1, NODES
    record.due_at, record.expires_at = now + NEVER_S, now + 2 * NEVER_S
    return record


def _sent(cluster: SimulatedCluster) -> tuple[int, int]:
    """Frames and bytes that both stores together have sent since the start."""
    frames = size = 0
    for name in NODES:
        program = cluster.nodes[name].program
        assert program is not None
        for method_frames, method_bytes in program.membership.counters.sent.values():
            frames += method_frames
            size += method_bytes
    return frames, size


async def _watch_blocking(cost: RepairCost) -> None:
    """Record the longest real time that 0.2 ms of the simulation take.

    A call that arrives meanwhile has to wait for about this time.
    """
    last = time.perf_counter()
    while True:
        await asyncio.sleep(BLOCKING_PROBE_S)
        now = time.perf_counter()
        cost.longest_block_s, last = max(cost.longest_block_s, now - last), now
