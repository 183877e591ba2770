"""Starts and stops the components of a process in order."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.control_plane import ControlPlane
from emberlatch.cluster.discovery import TargetDirectory
from emberlatch.cluster.disk import Disk
from emberlatch.cluster.dispatch import Dispatcher
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store import MessageStore
from emberlatch.cluster.node.builder import NodeBuilder
from emberlatch.cluster.rpc import RpcServer
from emberlatch.cluster.settings import NodeSettings
from emberlatch.engine import Machine, Tasks


class Node:
    """One process. `incarnation` grows with each start of the node; `seed` initializes its random choices."""

    def __init__(
        self, settings: NodeSettings, machine: Machine, disk: Disk, incarnation: int, seed: int
    ) -> None:
        self.settings, self.machine, self.tasks = settings, machine, Tasks()
        parts = NodeBuilder(settings, machine, disk, incarnation, seed, self.tasks).build()
        self.endpoint = parts.endpoint
        self.membership, self.active_configuration = parts.membership, parts.active_configuration
        self.heartbeats, self.request_handlers = parts.heartbeats, parts.request_handlers
        self.readiness, self.front = parts.readiness, parts.front
        self._store, self._store_service = parts.store, parts.store_service
        self._listeners = [parts.front, parts.readiness_listener, parts.control_listener]
        self._shutdown = parts.shutdown

    @property
    def message_store(self) -> MessageStore | None:
        """The component that stores messages; None without a disk."""
        return self._store.message_store if self._store is not None else None

    @property
    def control(self) -> ControlPlane | None:
        """The agreed control state; None without a disk."""
        return self._store.control if self._store is not None else None

    @property
    def targets(self) -> TargetDirectory | None:
        """The targets known to this process; None without a disk."""
        return self._store.targets if self._store is not None else None

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The component that delivers messages to targets; None without a disk."""
        return self._store.dispatcher if self._store is not None else None

    async def start(self) -> None:
        """Start; return once all addresses are open. Raises OSError if listening on one of them fails."""
        settings = self.settings
        if self._store_service is not None:
            self._store_service.open()
        self.membership.open_links(self._rpc_server(), self.heartbeats, self.request_handlers.serve)
        for listener in self._listeners:
            if listener is not None:
                listener.start()
        if self._store is not None and self._store_service is not None:
            self._store.control.start()
            self.tasks.spawn(self._store_service.run())
        incarnation = self.membership.me.incarnation
        loop = type(asyncio.get_running_loop()).__module__
        log_event(Event.STARTED, settings.node, settings.role, incarnation=incarnation, loop=loop)

    def _rpc_server(self) -> RpcServer:
        return RpcServer(
            self.machine,
            (self.settings.ip, self.settings.inner_port),
            self.endpoint,
            self.request_handlers.serve,
            self.tasks,
            self.membership.counters,
        )

    async def stop(self) -> None:
        """Finish calls in flight and hand queued messages to other stores, within the grace period."""
        await self._shutdown.run()
        self.tasks.cancel()
