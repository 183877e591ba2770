"""The agreed control state on a machine with a disk, and the work of this process that depends on it.

Connects the replicated register, the maintenance of its voters, the operators' calls and decommissions.
Heartbeats report the control state to the other machines.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.cluster.configuration import ActiveConfiguration, ConfigService
from emberlatch.cluster.consensus import AcceptorRecord, ControlState
from emberlatch.cluster.consensus.errors import UndecidedError
from emberlatch.cluster.consensus.maintenance import FaultTolerance
from emberlatch.cluster.consensus.maintenance_loop import MaintenanceLoop
from emberlatch.cluster.consensus.ports import RegisterPorts
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.storage import RecordStorage
from emberlatch.cluster.decommission import Decommissions
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.membership import AgreedState, ControlReport, MembershipView
from emberlatch.cluster.membership.control_links import ControlLinks
from emberlatch.cluster.message_store import MessageStore
from emberlatch.cluster.rpc import Peer
from emberlatch.cluster.settings import NodeSettings
from emberlatch.engine import Tasks

CONTROL_FOLDER = "control"  # subfolder of the data folder
CONFIRM_TIMEOUT_S = 1.0  # seconds for one attempt to confirm the state that was on disk
CONFIRM_RETRY_INTERVAL_S = 0.1  # seconds between two attempts to confirm that state
DISK_RETRY_INTERVAL_S = 0.5  # seconds between two attempts to open or write a disk that failed
REVISION_WITHHELD = -1  # value reported in place of a revision that may be outdated


@dataclass(frozen=True, slots=True)
class ControlPlanePorts:
    """The components of its process that the control plane uses.

    Attributes:
        membership: The other machines.
        agreed: A copy of the register's state, which the control plane updates.
        active_configuration: Adopts the agreed configuration.
        message_store: The store that a decommission empties.
        disk: Stores the register's record.
        tasks: Runs the background tasks of the control plane.
        announce: Sends a heartbeat immediately to report a change to the other machines.
    """

    membership: MembershipView
    agreed: AgreedState
    active_configuration: ActiveConfiguration
    message_store: MessageStore
    disk: Disk
    tasks: Tasks
    announce: Callable[[], None]


class ControlPlane:
    """The control plane of one machine; the module's docstring describes it.

    `incarnation` makes the name of this proposer unique, `seed` initializes its random choices.
    """

    def __init__(self, settings: NodeSettings, ports: ControlPlanePorts, incarnation: int, seed: int) -> None:
        self._settings, self._ports = settings, ports
        self._view, self._agreed, self._tasks = ports.membership, ports.agreed, ports.tasks
        self._confirmed = False  # whether a majority has confirmed a state in this incarnation
        random_source = random.Random(seed)
        proposer = f"{settings.node}/{incarnation}/{random_source.getrandbits(64):x}"
        losses = settings.resilience
        self._last_state: ControlState | None = None  # None until the record on disk has been read
        register_ports = RegisterPorts(ports.disk.offload, ControlLinks(self._view, self._agreed), self)
        self.service = ControlService(
            None, None, register_ports, proposer, losses.machines + 1, random_source
        )
        self._open()
        self._publish()
        self._last_state = self.service.state
        self._report = ControlReport()
        self._report_basis: tuple[int, ControlState, str, bool] | None = None  # the inputs of `_report`
        self.config_service = ConfigService(self.service, self._view)
        self.decommissions = Decommissions(
            settings.node, self._tasks, self._view, self.service, ports.message_store
        )
        self._maintenance = MaintenanceLoop(
            self.service,
            self._view,
            FaultTolerance(losses.machines, losses.zones, losses.regions),
            random_source,
        )

    def start(self) -> None:
        """Confirm the state that was on disk, and start the maintenance of the group of voters."""
        self._tasks.spawn(self._confirm())
        self._tasks.spawn(self._retry_disk())
        self._tasks.spawn(self._maintenance.run())
        self.decommissions.resume()

    def close(self) -> None:
        """Stop proposing and sending requests to voters."""
        self.service.close()

    # The disk.

    def _open(self) -> None:
        """Attach the record on disk to the register.

        Until the record can be read, this machine does not vote and only learns the agreed state.
        """
        try:
            record, storage = self._load()
        except OSError as error:
            self.service.register.report_disk_result(error)
        else:
            self.service.register.attach(record, storage)

    def _load(self) -> tuple[AcceptorRecord, RecordStorage]:
        """Return the record on disk, created if there is none; OSError if the disk fails."""
        assert self._settings.data_dir is not None
        folder = self._settings.data_dir / CONTROL_FOLDER
        storage = RecordStorage(folder, self._settings.node, self._ports.disk.write)
        return storage.load() or self._create(storage), storage

    def _create(self, storage: RecordStorage) -> AcceptorRecord:
        """Create a new identity on an empty disk; OSError if it can't be written."""
        if not self._settings.initial_start:  # The existing group of voters has to admit this machine.
            record = storage.create(ControlState(), None)
            log_event(Event.CONTROL_DISK_EMPTY, self._settings.node)
            return record
        founding_voters = tuple(sorted(self._view.founding_voters()))
        address = self._view.me.control
        is_seed = any(voter.node == address for voter in founding_voters)
        return storage.create(ControlState(voters=founding_voters), address if is_seed else None)

    async def _open_again(self) -> None:
        opened: list[tuple[AcceptorRecord, RecordStorage]] = []
        try:
            await self._ports.disk.offload(lambda: opened.append(self._load()))
        except OSError as error:
            self.service.register.report_disk_result(error)
        else:
            self.service.register.attach(*opened[0])
            self._publish()

    async def _retry_disk(self) -> None:
        """Retry failed disk operations, so that a recovery is noticed even if nobody requests a vote."""
        register = self.service.register
        while True:
            await asyncio.sleep(DISK_RETRY_INTERVAL_S)
            if register.record is None:
                await self._open_again()
            elif register.disk_failing:
                await register.rewrite()

    def disk_changed(self, error: OSError | None) -> None:
        """Report that the register's disk began to fail with this error, or that it works again (None)."""
        self._publish()
        if error is not None:
            log_event(Event.CONTROL_DISK_FAILING, str(error))
        else:
            log_event(Event.CONTROL_DISK_RECOVERED)
        self._ports.announce()

    # The agreed state.

    def _publish(self) -> None:
        """Copy the state and identity of the register to the membership."""
        register = self.service.register
        witnesses = self._agreed.control_state.witnesses
        self._agreed.update(register.state, register.local_voter.identity)
        if register.state.witnesses != witnesses:
            self._view.dial()

    async def _confirm(self) -> None:
        """Retry until a majority of the voters confirms a state, then adopt its configuration.

        No configuration becomes active in an incarnation before that.
        """
        while not self._confirmed:
            try:
                state = await self.service.read(CONFIRM_TIMEOUT_S)
            except UndecidedError:
                await asyncio.sleep(CONFIRM_RETRY_INTERVAL_S)
                continue
            self._confirmed = True
            self._adopt(state)

    def _adopt(self, state: ControlState) -> None:
        """Activate the configuration of the agreed state, unless no majority has confirmed a state yet."""
        if self._confirmed and state.text:
            self._ports.active_configuration.adopt(state.text)

    def state_changed(self, state: ControlState) -> None:
        """Apply a newer state of the register; the state read from disk at the start is only published."""
        self._publish()
        before, self._last_state = self._last_state, state
        if before is None:
            return
        self._adopt(state)
        self.decommissions.state_changed(before, state)
        for node in state.removed_members:
            if node not in before.removed_members:
                log_event(Event.MEMBER_REMOVED, node)
        if state.epoch != before.epoch:
            voters = ",".join(voter.node for voter in state.voters)
            log_event(Event.CONTROL_STATE_CHANGED, version=state.version, epoch=state.epoch, voters=voters)
            self._ports.announce()

    def has_confirmed_majority(self) -> bool:
        """Whether a majority of the voters answered a recent heartbeat."""
        return self._view.has_confirmed_majority()

    # Heartbeats.

    def report(self) -> ControlReport:
        """Return the report on the control state that each heartbeat of this machine contains.

        Heartbeats are frequent, so the previous report is returned while its contents are unchanged.
        """
        register, state = self.service.register, self.service.state
        version = register.record.state.version if register.record is not None else 0
        self._view.reported.set_version(self._settings.node, version)
        identity = register.local_voter.identity  # The identity may be created long after the links are up.
        basis = (version, state, identity, register.disk_failing)
        unreachable_s = self._view.unreachable()
        if unreachable_s or basis != self._report_basis:
            self._report_basis = None if unreachable_s else basis
            decommissions = {node: int(mark) for node, mark in state.decommissions}
            self._report = ControlReport(
                version,
                state.epoch,
                state.cluster,
                identity,
                not register.disk_failing,
                unreachable_s,
                decommissions,
            )
        return self._report

    def on_heartbeat(self, peer: Peer, report: ControlReport) -> None:
        """Apply the report of another machine with a disk; log it if that disk is of another cluster."""
        ours, reported = self.service.state.cluster, self._view.reported
        foreign = ours and report.cluster not in ("", ours)
        if foreign and reported.clusters.get(peer.name) != report.cluster:
            log_event(Event.FOREIGN_CLUSTER_DISK, peer.name, cluster=report.cluster)
        reported.apply_control(peer.name, report, self._view.now())
