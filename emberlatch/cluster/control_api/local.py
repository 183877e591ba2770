"""Handles calls on a machine with a disk; the method and the segments of the path select the handler."""

from __future__ import annotations

import asyncio
import json
from typing import Protocol

from emberlatch.cluster.configuration import ConfigResult, ConfigService, Outcome
from emberlatch.cluster.control_api.messages import NO_MAJORITY, ControlRequest, ControlResponse
from emberlatch.cluster.discovery import InvalidHeartbeatError, Target, TargetDirectory
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc import Peer, RpcMethod
from emberlatch.cluster.settings.configuration import MAX_CONFIGURATION_BYTES

TARGET_NOTIFY_TIMEOUT_S = 0.35  # seconds that a target waits while the other stores confirm a change
# Heartbeats without a change are reported to other stores, except those whose number is a multiple of this.
HEARTBEATS_PER_NOTICE = 2
MAX_ERROR_TEXT = 200  # characters

STATUSES = {
    Outcome.DONE: 200,
    Outcome.INVALID: 400,
    Outcome.CONFLICT: 409,
    Outcome.UNDECIDED: 503,
}


class DecommissionHandler(Protocol):
    """Handles the operator's calls to decommission a machine."""

    async def initiate(self, node: str, body: bytes) -> ControlResponse:
        """Begin to decommission a machine."""

    async def retrieve(self, node: str) -> ControlResponse:
        """Return the progress of a machine's decommission."""


class StoreContact(Protocol):
    """The links of this machine to the other stores."""

    def reachable_stores(self) -> list[Peer]:
        """The links that are up."""

    def has_confirmed_majority(self) -> bool:
        """Whether a majority of the voters answered a recent heartbeat."""


class LocalHandler:
    """Implements `CallHandler` on a machine with a disk."""

    def __init__(
        self,
        config_service: ConfigService,
        targets: TargetDirectory,
        decommissions: DecommissionHandler,
        contact: StoreContact,
    ) -> None:
        self._config_service, self._targets = config_service, targets
        self._decommissions, self._contact = decommissions, contact

    async def handle(self, request: ControlRequest) -> ControlResponse:
        """Return the response to a call.

        The status is 404 if there is no such call, and 503 if the outcome is uncertain or this machine has no
        contact with a majority of the voters.
        """
        match request.method, request.segments:
            case "POST", ("api", "instances", target_id, "heartbeat"):
                return await self._heartbeat(target_id, request.body)
            case "POST", ("api", "instances", target_id, "deregister"):
                return await self._deregister(target_id)
            case "POST", ("api", "configuration", "replace"):
                return await self._replace(request.body)
            case "GET", ("api", "configuration", "retrieve"):
                return await self._retrieve()
            case "POST", ("api", "retire", node, "initiate"):
                return await self._decommissions.initiate(node, request.body)
            case "GET", ("api", "retire", node, "retrieve"):
                return await self._decommissions.retrieve(node)
            case _, ("api", "instances", _, "heartbeat" | "deregister"):
                return ControlResponse.failed(405, "POST")
            case _:
                return ControlResponse.failed(404, "no such call")

    # Targets.

    async def _heartbeat(self, target_id: str, body: bytes) -> ControlResponse:
        if not self._contact.has_confirmed_majority():
            return NO_MAJORITY
        try:
            now = asyncio.get_running_loop().time()
            heartbeat = self._targets.apply_heartbeat(target_id, json.loads(body), now)
        except (InvalidHeartbeatError, ValueError, RecursionError) as error:
            log_event(Event.INVALID_HEARTBEAT, str(error)[:MAX_ERROR_TEXT])
            return ControlResponse.failed(400, str(error)[:MAX_ERROR_TEXT])
        await self._notify_stores(heartbeat.target, heartbeat.state_changed)
        return ControlResponse(200, b"{}")

    async def _deregister(self, target_id: str) -> ControlResponse:
        if not self._contact.has_confirmed_majority():
            return NO_MAJORITY
        target = self._targets.deregister(target_id, asyncio.get_running_loop().time())
        if target is not None:
            await self._notify_stores(target, True)
        return ControlResponse(200, b"{}")

    async def _notify_stores(self, target: Target, changed: bool) -> None:
        """Report a target to the other stores; if it has changed, wait briefly for the responses."""
        now, stores = asyncio.get_running_loop().time(), self._contact.reachable_stores()
        known = self._targets.targets_by_id.get(target.id, target)
        payload = known.report(now).to_wire()
        if changed:
            calls = (peer.call(RpcMethod.TARGET, payload, TARGET_NOTIFY_TIMEOUT_S) for peer in stores)
            await asyncio.gather(*calls, return_exceptions=True)
        elif known.sequence % HEARTBEATS_PER_NOTICE:
            for peer in stores:
                peer.notify(RpcMethod.TARGET, payload)

    # The configuration.

    async def _replace(self, body: bytes) -> ControlResponse:
        if len(body) > MAX_CONFIGURATION_BYTES:
            return ControlResponse.failed(413, "too long")
        result = await self._config_service.replace(body)
        return ControlResponse(200, b"{}") if result.outcome is Outcome.DONE else _failed(result)

    async def _retrieve(self) -> ControlResponse:
        """Return the agreed configuration after a majority of the voters has confirmed it."""
        result = await self._config_service.retrieve()
        if result.outcome is not Outcome.DONE:
            return _failed(result)
        return ControlResponse(200, result.text) if result.text else ControlResponse.failed(404, "none yet")


def _failed(result: ConfigResult) -> ControlResponse:
    return ControlResponse.failed(STATUSES[result.outcome], result.reason)
