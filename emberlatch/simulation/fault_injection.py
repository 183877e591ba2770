"""Applies the faults of a plan to a simulated cluster."""

from __future__ import annotations

import asyncio
import functools
import json

from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.cluster import SimulatedCluster
from emberlatch.simulation.configuration import FIXED_ENDPOINT_SERVICE
from emberlatch.simulation.disk import DiskFault
from emberlatch.simulation.http_client import send_request
from emberlatch.simulation.node import DISK_SYNC_S, NEVER_S, SimulatedNode
from emberlatch.simulation.operators import CONTROL_HEADERS, SimulatedOperator
from emberlatch.simulation.plan import NODE_FAULTS, PLANNED_WORK, Fault, FaultKind
from emberlatch.simulation.target import SimulatedTarget, TargetState

FIRST_REVISION = 3
ADDED_STORE_ZONE = "z0"
MIN_RESTART_DELAY_S = 0.3  # shortest time until a killed process is started again
MIN_REPLACEMENT_DELAY_S = 0.6  # shortest time until a lost machine is replaced
LOST_ANSWERS_SHARE = 0.2  # share of targets' answers that are lost during LOSE_ANSWERS
TARGET_RESTART_DELAY_S = 2.1
CONCURRENT_NOMINAL_STARTS_MS = (700, 900)
STALE_CONFIGURATION_SHARE = 0.3  # share of changes after which the previous revision is sent, too
DECOMMISSION_POLLS = 100
DECOMMISSION_POLL_S = 0.2
DECOMMISSION_BODY = b'{"period_s":8}'
CONTROL_TIMEOUT_S = 1.0


class UnknownNodeError(LookupError):
    """A fault names a machine that the cluster does not have: the plan is for another cluster."""


class FaultInjector:
    """Applies faults. `revision` is that of the last configuration that was sent."""

    def __init__(self, cluster: SimulatedCluster, operator: SimulatedOperator) -> None:
        self.revision = FIRST_REVISION
        self._cluster, self._operator = cluster, operator

    def apply(self, fault: Fault) -> None:
        """Apply a fault now; UnknownNodeError if it names a machine that the cluster does not have."""
        cluster = self._cluster
        if fault.kind not in PLANNED_WORK:
            now = cluster.loop.time()
            cluster.history.fault_times += [now, now + fault.duration_s]
        if fault.kind in NODE_FAULTS:
            self._apply_to_node(fault)
        elif not self._apply_to_all_nodes(fault) and not self._change_configuration(fault.kind):
            self._apply_to_targets(fault)

    def _apply_to_node(self, fault: Fault) -> None:
        cluster, duration_s = self._cluster, fault.duration_s
        node = cluster.nodes.get(fault.node)
        if node is None:
            raise UnknownNodeError(
                f"fault {fault.kind} at {fault.at_s} s: no node {fault.node!r} in the cluster"
            )
        match fault.kind:
            case FaultKind.KILL:
                node.kill(max(MIN_RESTART_DELAY_S, duration_s))
            case FaultKind.TERMINATE:
                node.terminate()
            case FaultKind.POWER_OFF | FaultKind.POWER_OFF_AND_WIPE:
                node.power_off(duration_s, fault.kind is FaultKind.POWER_OFF_AND_WIPE)
            case FaultKind.FREEZE:
                node.freeze(duration_s)
            case FaultKind.PARTITION:
                for other in cluster.nodes.values():
                    if other.is_store and other is not node:
                        cluster.partition(node.name, other.name, duration_s)
            case FaultKind.REPLACE_MACHINE:
                node.power_off(NEVER_S)
                cluster.call_later(
                    max(MIN_REPLACEMENT_DELAY_S, duration_s), functools.partial(self._add_store, node.zone)
                )
            case FaultKind.DECOMMISSION:
                cluster.loop.create_task(self._decommission(node))
            case FaultKind.STALL_DISK:
                node.disk.sync_s = duration_s
                cluster.call_later(duration_s, functools.partial(setattr, node.disk, "sync_s", DISK_SYNC_S))
            case FaultKind.DISK_FULL:
                self._fail_disk(node, DiskFault.FULL, duration_s)
            case FaultKind.DISK_SYNC_FAILS:
                self._fail_disk(node, DiskFault.SYNC_FAILS, duration_s)

    def _fail_disk(self, node: SimulatedNode, disk_fault: DiskFault, duration_s: float) -> None:
        node.disk.fail(disk_fault)
        self._cluster.call_later(duration_s, node.disk.recover)

    def _apply_to_all_nodes(self, fault: Fault) -> bool:
        """Apply a fault of several nodes or an added store; False if the fault is of another kind."""
        nodes = list(self._cluster.nodes.values())
        match fault.kind:
            case FaultKind.KILL_ALL:
                for node in nodes:
                    node.kill(fault.duration_s)
            case FaultKind.POWER_OFF_ALL:
                for node in nodes:
                    node.power_off(fault.duration_s)
            case FaultKind.POWER_OFF_ALL_AND_WIPE_ONE:
                for node in nodes:
                    node.power_off(fault.duration_s, wipe=node.name == fault.node)
            case FaultKind.POWER_OFF_STORES:  # forwarders keep running, without any store
                for node in nodes:
                    if node.is_store:
                        node.power_off(fault.duration_s)
            case FaultKind.ALL_DISKS_FULL:
                for node in nodes:
                    self._fail_disk(node, DiskFault.FULL, fault.duration_s)
            case FaultKind.ADD_STORE:
                self._add_store(ADDED_STORE_ZONE)
            case _:
                return False
        return True

    def _add_store(self, zone: str) -> None:
        """Add a store with an empty disk."""
        self._cluster.add_store(f"s{len(self._cluster.nodes) + 10}", zone)

    async def _decommission(self, node: SimulatedNode) -> None:
        """Decommission a store, and remove it with its disk once that is completed."""
        path = f"/api/retire/{node.name}"
        for _ in range(DECOMMISSION_POLLS):
            for control in self._cluster.control_addresses():
                try:
                    answer = await send_request(
                        control,
                        "POST",
                        f"{path}/initiate",
                        DECOMMISSION_BODY,
                        CONTROL_HEADERS,
                        CONTROL_TIMEOUT_S,
                    )
                    if answer.status in (404, 409):
                        return
                    answer = await send_request(
                        control, "GET", f"{path}/retrieve", b"", CONTROL_HEADERS, CONTROL_TIMEOUT_S
                    )
                except (OSError, NoResponseError, TimeoutError):
                    continue
                if b"completed" in answer.body:
                    node.power_off(NEVER_S, wipe=True)
                    return
            await asyncio.sleep(DECOMMISSION_POLL_S)

    def _change_configuration(self, kind: FaultKind) -> bool:
        """Send one or two configurations; False if it is another kind of fault."""
        cluster, operator = self._cluster, self._operator
        match kind:
            case FaultKind.CONFIGURE_CONCURRENTLY:
                self.revision += 2
                changes = [(cluster.control_addresses(), start) for start in CONCURRENT_NOMINAL_STARTS_MS]
                for controls, nominal_start_ms in changes:
                    body = cluster.configuration_body(self.revision, nominal_start_ms)
                    cluster.loop.create_task(operator.send_raw(body, controls))
            case FaultKind.CONFIGURE:
                self.revision += 1 + cluster.random.randrange(3)
                cluster.loop.create_task(operator.send(self.revision))
                if cluster.random.random() < STALE_CONFIGURATION_SHARE:
                    cluster.loop.create_task(operator.send(max(FIRST_REVISION, self.revision - 1)))
            case FaultKind.CONFIGURE_INVALID:
                cluster.loop.create_task(self._send_invalid_configuration())
            case _:
                return False
        return True

    async def _send_invalid_configuration(self) -> None:
        configuration = self._cluster.configuration(self.revision + 50)
        configuration["route_entries"][0]["service"] = "nobody"
        if await self._operator.send_raw(json.dumps(configuration).encode()) == 200:
            now = self._cluster.loop.time()
            self._cluster.history.record_breach(
                "CONFIG",
                now,
                f"an invalid configuration was acknowledged, revision {configuration['revision']}",
            )

    def _apply_to_targets(self, fault: Fault) -> None:
        cluster = self._cluster
        if fault.kind is FaultKind.LOSE_ANSWERS:
            for target in cluster.targets.values():
                target.answer_loss = LOST_ANSWERS_SHARE
                cluster.call_later(fault.duration_s, functools.partial(setattr, target, "answer_loss", 0.0))
            return
        in_service = [
            target
            for target in cluster.targets.values()
            if target.process.alive
            and target.state is TargetState.IN_SERVICE
            and target.service != FIXED_ENDPOINT_SERVICE
        ]
        if not in_service:
            return
        target = cluster.random.choice(in_service)
        if fault.kind is FaultKind.TARGET_LEAVE:
            cluster.run_in(target.process, target.leave())
            cluster.loop.create_task(cluster.add_target(target.service, target.zone))
        else:
            target.crash()
            reuse = fault.kind is FaultKind.TARGET_ADDRESS_REUSE
            cluster.loop.create_task(self._restart_target(target, reuse))

    async def _restart_target(self, crashed: SimulatedTarget, reuse_address: bool) -> None:
        """Start two targets after a crash.

        With `reuse_address`, the first one is of another service and has the address of the crashed target.
        """
        cluster, service = self._cluster, crashed.service
        if reuse_address:
            service = next(other for other in cluster.services if other != crashed.service)
        await asyncio.sleep(TARGET_RESTART_DELAY_S)
        await cluster.add_target(service, crashed.zone, crashed.address if reuse_address else None)
        await cluster.add_target(crashed.service, crashed.zone)
