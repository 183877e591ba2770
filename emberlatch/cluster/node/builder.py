"""The composition root: builds the components of a process and passes each the ports that it needs."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.cluster.configuration import ActiveConfiguration
from emberlatch.cluster.control_api import CallHandler, ControlApi, ForwardingHandler, LocalHandler
from emberlatch.cluster.control_plane import ControlPlane, ControlPlanePorts
from emberlatch.cluster.discovery import TargetDirectory
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.dispatch import Dispatcher, DispatchSettings
from emberlatch.cluster.ingress import Front, HttpListener, ReadinessEndpoint, RequestHandler
from emberlatch.cluster.membership import AgreedState, MembershipView
from emberlatch.cluster.membership.roster_storage import DatabaseRosterStorage
from emberlatch.cluster.message_store import (
    LateBoundDeliveryQueue,
    LocalStore,
    MessageStore,
    RecordDatabase,
    RecordIndex,
    StoreLimits,
)
from emberlatch.cluster.node.change_notifier import ChangeNotifier
from emberlatch.cluster.node.configuration_activation import ConfigurationActivation
from emberlatch.cluster.node.delivery_owner import StoreDeliveryOwner
from emberlatch.cluster.node.graceful_shutdown import GracefulShutdown
from emberlatch.cluster.node.heartbeats import HeartbeatService
from emberlatch.cluster.node.parts import StoreParts
from emberlatch.cluster.node.quota_shares import QuotaShares
from emberlatch.cluster.node.readiness import Readiness
from emberlatch.cluster.node.request_handlers import RequestHandlers
from emberlatch.cluster.node.store_request_handlers import StoreRequestHandlers
from emberlatch.cluster.node.store_service import StoreService
from emberlatch.cluster.node.witness_service import WitnessService
from emberlatch.cluster.rpc import Incarnation, LocalEndpoint
from emberlatch.cluster.settings import NodeSettings
from emberlatch.engine import Machine, Tasks

RESERVED_FDS = 300  # file descriptors for uses other than client and target connections
MIN_CLIENTS, MAX_READINESS_CLIENTS = 16, 64  # numbers of client connections
MIN_TARGET_CONNECTIONS = 64
MAX_CONTROL_BODY_BYTES = 2 * 1024 * 1024
CONTROL_IDLE_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class NodeParts:
    """All components of a process; a component that the settings do not require is None."""

    endpoint: LocalEndpoint
    membership: MembershipView
    active_configuration: ActiveConfiguration
    store: StoreParts | None
    store_service: StoreService | None
    heartbeats: HeartbeatService
    request_handlers: RequestHandlers
    readiness: Readiness
    front: HttpListener | None
    readiness_listener: HttpListener | None
    control_listener: HttpListener | None
    shutdown: GracefulShutdown


class NodeBuilder:
    """Builds one process. Nothing listens, dials or runs before `Node.start`."""

    def __init__(
        self, settings: NodeSettings, machine: Machine, disk: Disk, incarnation: int, seed: int, tasks: Tasks
    ) -> None:
        self._settings, self._machine, self._disk, self._tasks = settings, machine, disk, tasks
        self._incarnation, self._seed = incarnation, seed
        self._changes = ChangeNotifier()
        self._agreed = AgreedState()
        self._database = self._create_database() if settings.is_store else None
        storage = DatabaseRosterStorage(self._database) if self._database is not None else None
        self._membership = MembershipView(settings, incarnation, tasks, self._agreed, storage)
        self._active_configuration = ActiveConfiguration(tasks)

    def build(self) -> NodeParts:
        """Build all components and connect them."""
        settings, membership, active_configuration = (
            self._settings,
            self._membership,
            self._active_configuration,
        )
        endpoint = LocalEndpoint(Incarnation(settings.node, self._incarnation))
        store = self._store() if settings.is_store else None
        witness = None if settings.is_store else WitnessService(settings.node, membership, self._agreed)
        heartbeats = HeartbeatService(
            settings, endpoint, membership, self._agreed, active_configuration, store, witness
        )
        readiness = Readiness(active_configuration, membership)
        call_handler = self._call_handler(store)
        handlers = None
        if store is not None:
            handlers = StoreRequestHandlers(store, active_configuration, heartbeats, call_handler).table()
        front, control_listener = self._front(), self._control_listener(call_handler)
        active_configuration.subscribe(ConfigurationActivation(front, store, heartbeats).apply)
        self._changes.subscribe(heartbeats.announce)
        return NodeParts(
            endpoint=endpoint,
            membership=membership,
            active_configuration=active_configuration,
            store=store,
            store_service=self._store_service(store),
            heartbeats=heartbeats,
            request_handlers=RequestHandlers(membership, heartbeats, handlers, witness),
            readiness=readiness,
            front=front,
            readiness_listener=self._readiness_listener(readiness),
            control_listener=control_listener,
            shutdown=GracefulShutdown(
                settings.node,
                settings.bounds.grace_s,
                readiness,
                membership,
                store,
                front,
                control_listener,
                witness,
            ),
        )

    # Components of a process with a disk.

    def _store(self) -> StoreParts:
        delivery = LateBoundDeliveryQueue()
        message_store = self._message_store(delivery)
        control = ControlPlane(
            self._settings,
            ControlPlanePorts(
                membership=self._membership,
                agreed=self._agreed,
                active_configuration=self._active_configuration,
                message_store=message_store,
                disk=self._disk,
                tasks=self._tasks,
                announce=self._changes.notify,
            ),
            self._incarnation,
            self._seed,
        )
        targets, dispatcher = self._delivery(message_store)
        delivery.bind(dispatcher)
        return StoreParts(message_store, control, targets, dispatcher)

    def _create_database(self) -> RecordDatabase:
        assert self._settings.data_dir is not None
        return RecordDatabase(self._settings.data_dir / "records.db", self._disk, self._machine.wall_clock)

    def _message_store(self, delivery: LateBoundDeliveryQueue) -> MessageStore:
        settings, membership, database = self._settings, self._membership, self._database
        assert database is not None
        index = RecordIndex(settings.node)
        limits = StoreLimits(settings.memory_mb * 1e6, settings.disk_mb * 1e6, settings.bounds.status_keep_s)
        local_store = LocalStore(settings.node, index, database, delivery)
        return MessageStore(local_store, self._tasks, membership, self._changes, limits)

    def _delivery(self, message_store: MessageStore) -> tuple[TargetDirectory, Dispatcher]:
        settings = self._settings
        targets = TargetDirectory(settings.heartbeat_ms / 1000)
        dispatch_settings = DispatchSettings(
            zone=settings.zone,
            seed=self._seed,
            rate_window_s=settings.bounds.origin_window_s,
            rate_window_excess=settings.bounds.origin_excess,
            max_connections=max(MIN_TARGET_CONNECTIONS, (settings.max_fds - RESERVED_FDS) // 4),
        )
        quota_shares = QuotaShares(settings.node, settings.zone, self._membership)
        owner = StoreDeliveryOwner(message_store, targets, quota_shares)
        dispatcher = Dispatcher(dispatch_settings, self._tasks, owner)
        targets.subscribe(dispatcher.update_target)
        return targets, dispatcher

    def _store_service(self, store: StoreParts | None) -> StoreService | None:
        if store is None:
            return None
        return StoreService(store, self._membership, self._tasks, self._settings.initial_start)

    # Listening addresses.

    def _listener(self, name: str, handle: RequestHandler, max_clients: int) -> HttpListener | None:
        """Create a listener on the address with this name in the settings; None if the name is missing."""
        address = self._settings.listen.get(name)
        if address is None:
            return None
        return HttpListener(address, handle, max_clients, self._tasks, self._machine)

    @property
    def _max_clients(self) -> int:
        return max(MIN_CLIENTS, (self._settings.max_fds - RESERVED_FDS) // 2)

    def _front(self) -> HttpListener | None:
        front = Front(self._active_configuration, self._membership)
        return self._listener("front", front.handle, self._max_clients)

    def _readiness_listener(self, readiness: Readiness) -> HttpListener | None:
        if "front" not in self._settings.listen:
            return None
        return self._listener("ready", ReadinessEndpoint(readiness).handle, MAX_READINESS_CLIENTS)

    def _call_handler(self, store: StoreParts | None) -> CallHandler:
        membership = self._membership
        if store is None:
            return ForwardingHandler(membership)
        return LocalHandler(
            store.control.config_service,
            store.targets,
            store.control.decommissions,
            membership,
        )

    def _control_listener(self, call_handler: CallHandler) -> HttpListener | None:
        listener = self._listener("control", ControlApi(call_handler).handle, self._max_clients)
        if listener is not None:
            listener.set_limits(MAX_CONTROL_BODY_BYTES, CONTROL_IDLE_TIMEOUT_S)
        return listener
