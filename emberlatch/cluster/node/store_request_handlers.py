"""The methods that only a process with a disk handles."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.configuration import ActiveConfiguration
from emberlatch.cluster.control_api import CallHandler, ControlRequest
from emberlatch.cluster.control_plane import REVISION_WITHHELD
from emberlatch.cluster.discovery import TargetReport, TargetReports
from emberlatch.cluster.message_store import MessageStoreHandlers
from emberlatch.cluster.message_store.request_handlers import Handler
from emberlatch.cluster.node.heartbeats import HeartbeatService
from emberlatch.cluster.node.parts import StoreParts
from emberlatch.cluster.rpc import RpcConnection, RpcMethod


class StoreRequestHandlers:
    """Passes each request to the component that handles it."""

    def __init__(
        self,
        store: StoreParts,
        active_configuration: ActiveConfiguration,
        heartbeats: HeartbeatService,
        control_api: CallHandler,
    ) -> None:
        self._store, self._active_configuration = store, active_configuration
        self._heartbeats, self._control_api = heartbeats, control_api

    def table(self) -> dict[str, Handler]:
        """The handler of each method."""
        control = self._store.control
        return {
            **MessageStoreHandlers(self._store.message_store).table(),
            RpcMethod.CONFIGURATION: self._configuration,
            RpcMethod.TARGET: self._target,
            RpcMethod.TARGETS: self._targets,
            RpcMethod.CONTROL_API: self._control_call,
            RpcMethod.CONTROL_STATE: lambda _, payload: control.service.serve(payload),
        }

    def _configuration(self, _: RpcConnection, payload: object) -> bytes | None:
        """The active configuration, for a forwarder; None if there is none or this machine is isolated."""
        config = self._active_configuration.current
        if config is None or self._heartbeats.reported_revision() == REVISION_WITHHELD:
            return None
        return config.raw

    def _target(self, _: RpcConnection, payload: object) -> bool:
        self._store.targets.apply_report(TargetReport.from_wire(payload), asyncio.get_running_loop().time())
        return True

    def _targets(self, _: RpcConnection, payload: object) -> None:
        now = asyncio.get_running_loop().time()
        for report in TargetReports.from_wire(payload).reports:
            self._store.targets.apply_report(report, now)

    async def _control_call(self, _: RpcConnection, payload: object) -> object:
        response = await self._control_api.handle(ControlRequest.from_wire(payload))
        return response.to_wire()
