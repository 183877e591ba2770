"""The agreed control state on a machine with a disk, and all that this process does by it.

Brings together the replicated register, its upkeep, operators' orders and decommissions. What the others
need to know goes with the heartbeats.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from emberlatch.cluster.config_store import ConfigOrders, ConfigStore
from emberlatch.cluster.consensus import AcceptorRecord, ControlState
from emberlatch.cluster.consensus.links import Offload, Undecided
from emberlatch.cluster.consensus.maintenance import Losses
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.storage import RecordStorage
from emberlatch.cluster.consensus.upkeep import Upkeep
from emberlatch.cluster.decommission import Decommissions
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.membership import MembershipView
from emberlatch.cluster.membership.control_links import ControlLinks
from emberlatch.cluster.rpc import Peer
from emberlatch.cluster.settings import NodeSettings
from emberlatch.engine import Tasks

FOLDER = "control"  # under the data folder
CONFIRM_S = 1.0  # seconds for one attempt to confirm the state that lay on disk
CONFIRM_AGAIN_S = 0.1  # seconds between two attempts
NOT_IN_CONTACT = -1  # told in place of a revision: others are not to go by ours


class ControlPlane:
    """See the module. `changed` is called when something changed that others are to hear of soon."""

    def __init__(
        self,
        settings: NodeSettings,
        view: MembershipView,
        config_store: ConfigStore,
        offload: Offload,
        tasks: Tasks,
        life: int,
        seed: int,
        changed: Callable[[], None],
    ) -> None:
        self._settings, self._view, self._config_store = settings, view, config_store
        self._tasks, self._changed = tasks, changed
        self._confirmed = False  # whether a majority has confirmed a state in this life
        chance = random.Random(seed)
        proposer = f"{settings.node}/{life}/{chance.getrandbits(64):x}"
        record, storage = self._open()
        losses = settings.resilience
        self.service = ControlService(
            record, storage, offload, ControlLinks(view), proposer, losses.machines + 1, chance
        )
        register = self.service.register
        register.changed, register.disk_changed = self._state_changed, _disk_changed
        self._known = register.state
        view.control_state = lambda: register.state
        view.identity = lambda: register.me.identity
        self.orders = ConfigOrders(self.service, self.in_contact)
        self.decommissions = Decommissions(settings.node, tasks, view, self.service)
        self._upkeep = Upkeep(
            self.service, view, Losses(losses.machines, losses.zones, losses.regions), chance
        )

    def _open(self) -> tuple[AcceptorRecord, RecordStorage]:
        """What lies on disk; a new identity where nothing does."""
        settings, view = self._settings, self._view
        assert settings.data_dir is not None
        storage = RecordStorage(settings.data_dir / FOLDER, settings.node)
        record = storage.load()
        if record is not None:
            return record, storage
        if not settings.initial_start:  # the group was founded before: it has to take this machine in
            log_event(Event.CONTROL_DISK_EMPTY, settings.node)
            return storage.create(ControlState(), None), storage
        seats = tuple(sorted(view.seats()))
        control = view.me.control
        is_seed = any(seat.node == control for seat in seats)
        return storage.create(ControlState(voters=seats), control if is_seed else None), storage

    def start(self) -> None:
        """Confirm what lay on disk, and keep the group as it should be."""
        self._tasks.spawn(self._confirm())
        self._tasks.spawn(self._upkeep.run())
        self.decommissions.resume()

    def close(self) -> None:
        """Ask and propose no more."""
        self.service.close()

    async def _confirm(self) -> None:
        """The first configuration of a life comes from a majority of the voters."""
        while not self._confirmed:
            try:
                state = await self.service.confirm(CONFIRM_S)
            except Undecided:
                await asyncio.sleep(CONFIRM_AGAIN_S)
                continue
            self._confirmed = True
            self._adopt(state)

    def _adopt(self, state: ControlState) -> None:
        if self._confirmed and state.text:
            self._config_store.adopt(state.text)

    def _state_changed(self, state: ControlState) -> None:
        before, self._known = self._known, state
        self._adopt(state)
        self.decommissions.changed(before, state)
        if state.epoch != before.epoch:
            voters = ",".join(voter.node for voter in state.voters)
            log_event(Event.CONTROL_STATE, f"version={state.version} epoch={state.epoch} voters={voters}")
            self._changed()

    def in_contact(self) -> bool:
        """Whether a majority of the voters answered us a moment ago."""
        return self._view.in_contact(self._view.now())

    # What goes between processes.

    def heartbeat(self) -> dict[str, Any]:
        """What the others are told with each heartbeat."""
        register, view = self.service.register, self._view
        version = register.record.state.version if register.record is not None else 0
        view.versions[self._settings.node] = version
        told: dict[str, Any] = {"version": version, "epoch": register.state.epoch}
        if silent := view.silent(view.now()):
            told["silent"] = silent
        if marks := register.state.decommissions:
            told["retire"] = {node: int(mark) for node, mark in marks}
        return told

    def heard(self, peer: Peer, told: dict[str, Any]) -> None:
        """Another machine with a disk tells the same."""
        self._view.versions[peer.name] = int(told.get("version", 0))
        self._view.silence.report(peer.name, told.get("silent") or {}, self._view.now())


def _disk_changed(error: OSError | None) -> None:
    if error is not None:
        log_event(Event.CONTROL_DISK_FAILING, str(error))
    else:
        log_event(Event.CONTROL_DISK_BACK)
