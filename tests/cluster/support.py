"""Helpers shared by the cluster tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from emberlatch.cluster.message_store import MessageState, Record
from emberlatch.net.http_connection import Response
from emberlatch.simulation import Breach, Fault, FaultKind, Plan, SimulatedCluster, play
from emberlatch.simulation.history import SentMessage
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.node import CONTROL_PORT, FRONT_PORT
from emberlatch.simulation.scenario import Scenario

POLL_S = 0.01  # seconds of simulated time between two checks of a condition


def play_faults(*faults: Fault, seed: int = 7, **plan_fields: Any) -> tuple[SimulatedCluster, list[Breach]]:
    """Simulate a short run with these faults; return the cluster and the breaches of its rules."""
    defaults = {"duration_s": 6.0, "messages_per_s": 30.0, "forced_failure_share": 0.0}
    return play(Plan(seed, faults=faults, **(defaults | plan_fields)))


def success_count(cluster: SimulatedCluster, id: str) -> int:
    """Return how often targets executed a message successfully."""
    return len([run for run in cluster.history.runs.get(id, []) if run.status == 200])


def executed_more_than_once(cluster: SimulatedCluster) -> list[str]:
    """Return the ids of the messages that were executed successfully more than once."""
    return [id for id in cluster.history.runs if success_count(cluster, id) > 1]


def assert_nothing_lost(cluster: SimulatedCluster, breaches: list[Breach]) -> None:
    """Assert that the simulated run broke no rule and that every accepted message is completed."""
    assert not breaches, str(breaches[:3])
    assert_all_completed(cluster)


def assert_all_completed(cluster: SimulatedCluster) -> None:
    """Assert that more than 50 messages were accepted and that all of them are completed."""
    accepted = [s for s in cluster.history.sent.values() if s.status == 202]
    assert len(accepted) > 50
    incomplete = [s.id for s in accepted if cluster.history.states.get(s.id, ("",))[0] != "completed"]
    assert not incomplete, str(incomplete[:3])


@contextmanager
def patched_attribute(owner: object, attribute: str, fault: object) -> Iterator[None]:
    """Replace an attribute of a class or module by a faulty one within the context."""
    original = getattr(owner, attribute)
    setattr(owner, attribute, fault)
    try:
        yield
    finally:
        setattr(owner, attribute, original)


async def submit(
    scenario: Scenario, front: str = "f0", delay_ms: int = 0, body: bytes = b"x", forced_status: int = 0
) -> SentMessage:
    """Submit one message to one forwarder and record the status of the response."""
    cluster = scenario.cluster
    service, host, prefix = cluster.routes[0]
    id = f"m{cluster.next_number()}"
    sent = SentMessage(id, cluster.loop.time(), delay_ms / 1000, service, body, forced_status)
    cluster.history.sent[sent.id] = sent
    headers = {"Host": host, "Emberlatch-Attempt-Id": sent.id}
    if delay_ms:
        headers["Emberlatch-Delay-Ms"] = str(delay_ms)
    answer = await send_request(
        (cluster.nodes[front].host, FRONT_PORT), "POST", f"{prefix}x", body, headers, 2.0
    )
    sent.status, sent.answered_at = answer.status, cluster.loop.time()
    return sent


async def submit_in_turn(
    scenario: Scenario, count: int, delay_ms: int = 0, forced_status: int = 0
) -> list[SentMessage]:
    """Submit `count` messages one after the other, to the three forwarders in turn."""
    return [
        await submit(scenario, f"f{n % 3}", delay_ms=delay_ms, forced_status=forced_status)
        for n in range(count)
    ]


def isolate(cluster: SimulatedCluster, store: str, duration_s: float) -> None:
    """Partition a store from the other stores for `duration_s`; forwarders still reach all stores."""
    for name, node in cluster.nodes.items():
        if node.is_store and name != store:
            cluster.partition(store, name, duration_s)


async def call_control(
    cluster: SimulatedCluster, node: str, method: str, path: str, body: bytes = b""
) -> Response:
    """Send one call to the control port of one machine. Raises the errors of `send_request`."""
    address = cluster.nodes[node].host, CONTROL_PORT
    return await send_request(address, method, path, body, {"Host": "c"}, 2.0)


def record(id: str = "m", owner: str = "a", replicas: tuple[str, ...] = ("a", "b")) -> Record:
    """Return a queued record with an owner and replicas, as a store has it."""
    stored = Record(id, "h.example", "POST", "/l/x", "", b"body")
    stored.owner, stored.epoch, stored.replicas = owner, 1, replicas
    stored.expires_at = 1e9
    return stored


def stores_with_durable_copy(cluster: SimulatedCluster, id: str) -> list[str]:
    """Return the running stores whose databases have the message, so that it survives a loss of power."""
    found = []
    for name, node in cluster.nodes.items():
        if node.up and node.is_store:
            connection = node.message_store.local_store.database._db
            assert connection is not None
            rows = connection.execute("SELECT id FROM records WHERE id = ?", (id,)).fetchall()
            found += [name] if rows else []
    return found


async def until(condition: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Wait in simulated time until a condition is true; fail after `timeout_s`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while not condition():
        assert loop.time() < end, f"the condition did not become true within {timeout_s} s of simulated time"
        await asyncio.sleep(POLL_S)


__all__ = [
    "Fault",
    "FaultKind",
    "MessageState",
    "Plan",
    "assert_all_completed",
    "assert_nothing_lost",
    "call_control",
    "executed_more_than_once",
    "isolate",
    "patched_attribute",
    "play",
    "play_faults",
    "record",
    "stores_with_durable_copy",
    "submit",
    "submit_in_turn",
    "success_count",
    "until",
]
