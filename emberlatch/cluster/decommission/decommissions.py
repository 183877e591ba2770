"""Decommissions: a machine with a disk is emptied on the operator's order, so that it can be removed.

The progress of a decommission is part of the agreed control state: a majority of the voters confirms each
step before it is acknowledged. A decommission resumes after any restart. The machine empties itself. The
decommission is completed once no record depends on the machine's disk and the machine has no vote.
"""

from __future__ import annotations

import asyncio
import json

from emberlatch.cluster.consensus import ControlState, DecommissionMark, MarkDecommission
from emberlatch.cluster.consensus.errors import UndecidedError
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state_client import ControlStateClient
from emberlatch.cluster.control_api.messages import NO_MAJORITY, ControlResponse
from emberlatch.cluster.decommission.evacuation import Evacuation
from emberlatch.cluster.decommission.ports import StoreDirectory
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store import MessageStore
from emberlatch.engine import Tasks

DECISION_TIMEOUT_S = 0.8  # seconds for the voters to decide; after that the outcome is uncertain
MARK_RETRY_INTERVAL_S = 0.1  # seconds between two attempts to mark the machine as empty


class Decommissions:
    """Handles the operator's calls for any store, and empties the local store once this machine is marked.

    Args:
        node: The name of this machine.
        tasks: Runs the evacuation.
        stores: The other stores.
        service: The agreed control state.
        message_store: The store of this machine.
    """

    def __init__(
        self,
        node: str,
        tasks: Tasks,
        stores: StoreDirectory,
        service: ControlService,
        message_store: MessageStore,
    ) -> None:
        self._node, self._tasks, self._stores, self._service = node, tasks, stores, service
        self._state_client = ControlStateClient(service, DECISION_TIMEOUT_S)
        self._evacuation = Evacuation(node, message_store, stores)
        self._running = False

    def state_changed(self, before: ControlState, state: ControlState) -> None:
        """Log the changed marks in the agreed state, and begin to empty this machine if it is marked."""
        for node, mark in state.decommissions:
            if before.decommission_mark(node) is not mark:
                marked = mark is DecommissionMark.MARKED
                log_event(Event.DECOMMISSION_STARTED if marked else Event.DECOMMISSION_COMPLETED, node)
        self.resume()

    def resume(self) -> None:
        """Begin or continue the decommission of this machine, if it is marked."""
        marked = self._service.state.decommission_mark(self._node) is DecommissionMark.MARKED
        if marked and not self._running:
            self._running = True
            self._tasks.spawn(self._run())

    async def _run(self) -> None:
        await self._evacuation.run()
        while self._service.state.decommission_mark(self._node) is not DecommissionMark.EMPTY:
            if not await self._state_client.advance_decommission(self._node, DecommissionMark.EMPTY):
                await asyncio.sleep(MARK_RETRY_INTERVAL_S)

    # The operator's calls.

    async def initiate(self, node: str, body: bytes) -> ControlResponse:
        """Begin to decommission a machine.

        Returns status 400 if the body is invalid, 404 if the machine is unknown, and 409 if too few machines
        would remain or another decommission is in progress. Returns 503 without contact with a majority of
        the voters, or if the outcome is uncertain.
        """
        cause = _invalid_period(body)
        if cause:
            return ControlResponse.failed(400, cause)
        if not self._stores.has_confirmed_majority():
            return NO_MAJORITY
        try:
            state = await self._service.read(DECISION_TIMEOUT_S)
            rejection = self._rejection(state, node)
            if rejection is not None:
                return rejection
            mark = MarkDecommission(node, DecommissionMark.MARKED)
            state = await self._service.commit(mark, DECISION_TIMEOUT_S)
        except UndecidedError as error:
            return ControlResponse.failed(503, str(error))
        if state.decommission_mark(node) is None:  # Another machine was marked concurrently.
            return ControlResponse.failed(409, "another machine is being emptied")
        return ControlResponse(200, b"{}")

    def _rejection(self, state: ControlState, node: str) -> ControlResponse | None:
        """Return the error response if a decommission is refused; None if it is allowed or already marked."""
        if state.decommission_mark(node) is not None:
            return None
        counted = self._stores.counted_stores()
        if node != self._node and node not in counted:
            return ControlResponse.failed(404, f"unknown machine {node}")
        leaving = [n for n, mark in state.decommissions if mark is DecommissionMark.MARKED]
        if leaving:
            return ControlResponse.failed(409, f"{leaving[0]} is being emptied")
        reachable = {self._node} | {name for name, peer in counted.items() if peer.up}
        if not self._stores.satisfies_quorum(reachable - {node}):
            return ControlResponse.failed(409, "too few machines would be left")
        return None

    async def retrieve(self, node: str) -> ControlResponse:
        """Return the progress of a decommission.

        The decommission is completed once a majority of the voters has a state in which the machine is empty
        and has no vote. Returns status 404 if no decommission of the machine was begun, and 503 if the state
        can't be confirmed.
        """
        if not self._stores.has_confirmed_majority():
            return NO_MAJORITY
        try:
            state = await self._service.read(DECISION_TIMEOUT_S)
        except UndecidedError as error:
            return ControlResponse.failed(503, str(error))
        if state.decommission_mark(node) is None:
            return ControlResponse.failed(404, f"{node} is not being emptied")
        empty = state.decommission_mark(node) is DecommissionMark.EMPTY
        completed = empty and await self._state_client.is_decommissioned(node)
        progress = {"state": "completed" if completed else "in_progress"}
        return ControlResponse(200, json.dumps(progress).encode())


def _invalid_period(body: bytes) -> str:
    """Return why the body of an `initiate` call is invalid; empty if it is valid."""
    try:
        period_s = json.loads(body or b"{}").get("period_s", 0)
    except (ValueError, AttributeError, RecursionError):
        return "a JSON object with period_s is wanted"
    valid = not isinstance(period_s, bool) and isinstance(period_s, int | float) and period_s >= 0
    return "" if valid else "period_s: a number of seconds is wanted"
