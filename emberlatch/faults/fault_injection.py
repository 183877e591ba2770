"""Applies the faults of a plan to the parts of a run."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Protocol

from emberlatch.faults.capacity_bound import CapacityBound
from emberlatch.faults.checks import RuleChecks
from emberlatch.faults.disk import Disk, KillMoment
from emberlatch.faults.endpoint import SimulatedEndpoint
from emberlatch.faults.forwarder import EnvironmentNetwork, SimulatedForwarder
from emberlatch.faults.plan import (
    ALL_TARGETS,
    ENDPOINT_FAULTS,
    LIST_FAULTS,
    Fault,
    FaultKind,
    Plan,
    replacement_of,
)
from emberlatch.faults.trace import Trace, TraceEvent
from emberlatch.net.http_connection import parse_address
from emberlatch.standins import Directory, ServiceCost

DIRECTORY_DELAY_S = 1.5
ENTRIES_PER_CALL_COST = 20  # this many list entries together cost the directory as much work as one request
FULL_DISK_BYTES = 4096  # free space that a disk still has when a disk-full fault begins


class FaultTargets(Protocol):
    """The parts of a run that faults apply to."""

    plan: Plan
    loop: asyncio.AbstractEventLoop
    network: EnvironmentNetwork
    directory: Directory
    checks: RuleChecks
    capacity_bound: CapacityBound
    trace: Trace

    @property
    def endpoints(self) -> Mapping[str, SimulatedEndpoint]:
        """The endpoints by name."""

    @property
    def forwarders(self) -> Mapping[str, SimulatedForwarder]:
        """The forwarders by name."""

    async def add_endpoint(self, name: str) -> None:
        """Start an endpoint and list it in the directory."""

    def change_listing(self, name: str, **values: object) -> None:
        """Change an endpoint's entry in the directory."""

    async def move_directory(self) -> None:
        """Move the directory to another address."""


class FaultInjector:
    """Begins and ends each fault at the times that the plan gives."""

    def __init__(self, targets: FaultTargets) -> None:
        self._targets = targets

    def schedule(self) -> None:
        """Schedule all faults of the plan; their times count from this call."""
        network = self._targets.network
        for fault in self._targets.plan.faults:
            network.call_later(fault.since, self._begin, fault)
            if fault.until is not None:
                network.call_later(fault.until, self._end, fault)

    def _begin(self, fault: Fault) -> None:
        self._targets.trace.record(TraceEvent.FAULT, str(fault))
        self._apply(fault, True)

    def _end(self, fault: Fault) -> None:
        self._targets.trace.record(TraceEvent.FAULT_ENDED, str(fault))
        self._apply(fault, False)

    def _apply(self, fault: Fault, is_active: bool) -> None:
        kind = fault.kind
        if kind in ENDPOINT_FAULTS:
            self._apply_endpoint_fault(fault, is_active)
        elif kind in LIST_FAULTS:
            self._apply_list_fault(fault, is_active)
        elif kind.startswith("directory-") or kind is FaultKind.REPORTS_DOWN:
            self._apply_directory_fault(fault, is_active)
        elif kind.startswith("disk-"):
            self._apply_disk_fault(fault, is_active)
        elif kind is FaultKind.MOVE_DIRECTORY:
            if is_active and fault.target in self._targets.forwarders:
                self._targets.loop.create_task(self._targets.move_directory())
        elif (forwarder := self._targets.forwarders.get(fault.target)) is not None:
            _apply_forwarder_fault(forwarder, fault, is_active)

    def _apply_endpoint_fault(self, fault: Fault, is_active: bool) -> None:
        for endpoint in self._targets.endpoints.values():
            if fault.target != ALL_TARGETS and not fault.has_target(endpoint.name):
                continue
            if is_active:
                endpoint.active_faults.append(fault.kind)
            elif fault.kind in endpoint.active_faults:
                endpoint.active_faults.remove(fault.kind)
            if fault.kind is not FaultKind.ISOLATED:
                self._targets.loop.create_task(endpoint.apply_condition())
            elif is_active:
                self._isolate(endpoint)
            elif not endpoint.is_isolated:
                self._rejoin(endpoint)

    def _isolate(self, endpoint: SimulatedEndpoint) -> None:
        targets, now = self._targets, self._targets.trace.now
        targets.checks.on_isolated(now, endpoint.name)
        targets.capacity_bound.on_reachability(now, endpoint.name, False)
        targets.network.isolate(parse_address(endpoint.server.address))

    def _rejoin(self, endpoint: SimulatedEndpoint) -> None:
        targets = self._targets
        targets.capacity_bound.on_reachability(targets.trace.now, endpoint.name, True)
        targets.network.end_isolation(parse_address(endpoint.server.address))

    def _apply_directory_fault(self, fault: Fault, is_active: bool) -> None:
        directory = self._targets.directory
        match fault.kind:
            case FaultKind.REPORTS_DOWN:
                directory.reports_down = is_active
                return
            case FaultKind.DIRECTORY_DOWN:
                directory.down = is_active
            case FaultKind.DIRECTORY_SILENT:
                directory.silent = is_active
            case FaultKind.DIRECTORY_GARBLED:
                directory.garbled = is_active
            case FaultKind.DIRECTORY_LATE:
                directory.answer_delay_s = DIRECTORY_DELAY_S if is_active else 0.0
            case FaultKind.DIRECTORY_BUSY:
                call_s = float(fault.argument)
                cost = ServiceCost(call_s, call_s / ENTRIES_PER_CALL_COST) if is_active else ServiceCost()
                directory.service_queue.cost = cost
            case FaultKind.DIRECTORY_LOSING | FaultKind.DIRECTORY_MUTE:
                directory.service_queue.drop_every = int(fault.argument) if is_active else 0
                directory.hang_on_lost_answer = is_active and fault.kind is FaultKind.DIRECTORY_MUTE
        directory.wake()

    def _apply_disk_fault(self, fault: Fault, is_active: bool) -> None:
        targets, disk = self._targets, self._targets.forwarders[fault.target].disk
        if fault.kind is not FaultKind.DISK_SHORT:
            targets.checks.on_disk_state(targets.trace.now, fault.target, not is_active)
        _set_disk_fault(disk, fault.kind, is_active)

    def _apply_list_fault(self, fault: Fault, is_active: bool) -> None:
        targets, name = self._targets, fault.target
        match fault.kind:
            case FaultKind.DRAIN:
                targets.change_listing(name, phase="DRAINING" if is_active else "SERVING")
            case FaultKind.REMOVE:
                targets.change_listing(name, phase="DELETED" if is_active else "SERVING")
            case FaultKind.REPLACE if is_active:
                targets.change_listing(name, phase="DELETED")
                if replacement_of(name) not in targets.endpoints:
                    targets.loop.create_task(targets.add_endpoint(replacement_of(name)))


def _set_disk_fault(disk: Disk, kind: FaultKind, is_active: bool) -> None:
    match kind:
        case FaultKind.DISK_FULL:
            disk.faults.capacity_bytes = disk.used_bytes + FULL_DISK_BYTES if is_active else None
        case FaultKind.DISK_FAILING:
            disk.faults.failing = is_active
        case FaultKind.DISK_SHORT:
            disk.faults.short = is_active


def _apply_forwarder_fault(forwarder: SimulatedForwarder, fault: Fault, is_active: bool) -> None:
    if fault.kind is FaultKind.CLIENTS_LEAVE:
        forwarder.set_draining(is_active)
    if not is_active:
        return
    match fault.kind:
        case FaultKind.KILL:
            forwarder.kill()
        case FaultKind.TERM:
            forwarder.terminate()
        case FaultKind.WALL_CLOCK_STEP:
            forwarder.wall_offset_s += float(fault.argument)
        case FaultKind.KILL_AT_DISK_CALL:
            call_count, moment = fault.argument.split()
            disk = forwarder.disk
            disk.kill_at = disk.calls + int(call_count), KillMoment(moment)
        case FaultKind.TAKEOVER:
            kill, _, delay_s = fault.argument.partition(" ")
            forwarder.take_over(kill, float(delay_s or 0.0))
