"""Plays a day of a simulated cluster: start, traffic with faults, a quiet period and the final checks."""

from __future__ import annotations

import asyncio
import functools
import json
from collections.abc import Awaitable, Callable

from emberlatch.faults.loop import close_loop
from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.clients import SimulatedClients
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.configuration import FIXED_ENDPOINT, FIXED_ENDPOINT_SERVICE
from emberlatch.simulation.fault_injection import FaultInjector
from emberlatch.simulation.history import Breach, SentMessage
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.node import FRONT_PORT
from emberlatch.simulation.operators import SimulatedOperator
from emberlatch.simulation.plan import Fault, Plan

QUIET_S = 12.0  # time from the last message until the final states are queried
START_S = 2.5  # time from the first configuration until the traffic begins
QUERY_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 4  # attempts to deliver a message, as in the configuration
RETENTION_S = 60.0  # retention of a message, as in the configuration
RATE_WINDOW_S = 5.0
RATE_EXCESS = 1.1  # factor by which a rate limit may be exceeded
READABLE_BODY_STATES = frozenset({"queued", "dead_letter"})  # states in which a body can be read


class Scenario:
    """Plays the plan of a cluster. `operator` sends the configurations."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster, self.plan = cluster, cluster.plan
        self.operator = SimulatedOperator(cluster)
        self._injector = FaultInjector(cluster, self.operator)

    @property
    def revision(self) -> int:
        """The revision of the last configuration that was sent."""
        return self._injector.revision

    async def start(self) -> None:
        """Start all nodes for the first time, start the targets, and send a configuration."""
        cluster, plan = self.cluster, self.plan
        for node in cluster.nodes.values():
            node.start()
        zones = cluster.zones
        for n in range(plan.targets):
            await cluster.add_target(cluster.services[n % len(cluster.services)], zones[n % len(zones)])
        if plan.rate_limit_per_s:
            await cluster.add_target(FIXED_ENDPOINT_SERVICE, zones[0], FIXED_ENDPOINT)
        assert await self.operator.send(self.revision), (
            f"the initial revision {self.revision} was not accepted"
        )
        await asyncio.sleep(START_S)
        cluster.first_start = False

    async def run(self) -> None:
        """Play the day from the first start to the end, and check what was observed."""
        cluster, plan = self.cluster, self.plan
        await self.start()
        zones = cluster.zones
        for fault in plan.faults:
            cluster.call_later(fault.at_s, functools.partial(self.apply_fault, fault))
        share = plan.messages_per_s / len(zones)
        clients = [SimulatedClients(cluster, zone, share) for zone in zones]
        await asyncio.gather(*(zone_clients.run(plan.duration_s) for zone_clients in clients))
        await asyncio.sleep(QUIET_S)
        await self.ask_final_states()
        cluster.history.judge(MAX_ATTEMPTS, RETENTION_S, cluster.loop.time())
        if plan.rate_limit_per_s:
            cluster.history.judge_rate(
                FIXED_ENDPOINT_SERVICE, plan.rate_limit_per_s, RATE_WINDOW_S, RATE_EXCESS
            )

    def apply_fault(self, fault: Fault) -> None:
        """Apply a fault now."""
        self._injector.apply(fault)

    async def ask_final_states(self) -> None:
        """Query the state of every accepted message, and the body of each whose state makes it readable."""
        history = self.cluster.history
        history.read_back = await self.operator.read_back()
        forwarders = [node.host for node in self.cluster.nodes.values() if not node.is_store]
        for sent in history.sent.values():
            if sent.status == 202:
                await self._ask_final_state(sent, forwarders)

    async def _ask_final_state(self, sent: SentMessage, forwarders: list[str]) -> None:
        history = self.cluster.history
        raw = await self._get_from_any(forwarders, f"/api/message/{sent.id}")
        if raw is not None:
            answer = json.loads(raw)
            history.states[sent.id] = answer["state"], answer.get("seal", "")
        if history.states.get(sent.id, ("",))[0] in READABLE_BODY_STATES:
            body = await self._get_from_any(forwarders, f"/api/message-body/{sent.id}")
            if body is not None:
                history.bodies[sent.id] = body

    async def _get_from_any(self, hosts: list[str], path: str) -> bytes | None:
        """The body of the first answer with status 200; None if no forwarder gives one."""
        for host in hosts:
            try:
                answer = await send_request(
                    (host, FRONT_PORT), "GET", path, b"", {"Host": "a.example"}, QUERY_TIMEOUT_S
                )
            except (OSError, NoResponseError, TimeoutError):
                continue
            if answer.status == 200:
                return bytes(answer.body)
        return None


def play(
    plan: Plan, steps: Callable[[Scenario], Awaitable[None]] | None = None
) -> tuple[SimulatedCluster, list[Breach]]:
    """Play a plan to its end; with `steps`, run only these steps on the plan's cluster.

    Returns the cluster in its final state, and the breaches in order of time.
    """
    cluster = SimulatedCluster(plan)
    try:
        scenario = Scenario(cluster)
        cluster.loop.run_until_complete(scenario.run() if steps is None else steps(scenario))
        for failure in cluster.loop.failures:
            cluster.history.record_breach("FAULT", cluster.loop.time(), failure)
        return cluster, sorted(cluster.history.breaches, key=lambda breach: breach.at)
    finally:
        close_loop(cluster.loop)
        cluster.close()
