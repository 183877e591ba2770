"""Connects a gateway with its fleet.

The quota share and the closed classes become settings of the decision module. Changes of the gateway's
endpoint list and retry-after times of endpoints are shared with the other members.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path

from emberlatch.config import ConfigError, Gateway, load
from emberlatch.config.fleet import Fleet as FleetTable
from emberlatch.core import interface as api
from emberlatch.engine import Address, Addresses, Machine
from emberlatch.fleet import FleetService, FleetSettings, IsolationPolicy, ProcessEnvironment, QuotaShare
from emberlatch.fleet.membership_change import membership_change_error
from emberlatch.gateway_core import GatewayCore
from emberlatch.standalone.answers import JsonObject

log = logging.getLogger(__name__)

CLOSED_CLASS_RETRY_AFTER_S = 1.0
"""The retry-after time for clients whose class is closed."""
FLEET_FOLDER = "fleet"
"""The subfolder of the state folder for the fleet's files."""


class FleetIntegration:
    """Applies fleet changes to a gateway's core, and shares the core's endpoint state with the fleet."""

    def __init__(
        self,
        config: Gateway,
        settings: api.Settings,
        core: GatewayCore,
        state: Path,
        machine: Machine,
        request_stop: Callable[[], None],
    ) -> None:
        """`settings` are the decision module's settings before the fleet's quota share is applied.

        `request_stop` shuts the process down.
        """
        assert config.fleet is not None
        self._config, self._settings, self._core = config, settings, core
        self._request_stop = request_stop
        self._table: FleetTable = config.fleet
        self._applied_settings: api.Settings | None = None
        self._own_endpoints: dict[bytes, tuple[api.Entry, Address]] = {}
        self._class_numbers = {category.name: n for n, category in enumerate(settings.categories)}
        folder = state / FLEET_FOLDER
        folder.mkdir(exist_ok=True)
        self.service = FleetService(
            FleetSettings(
                self._table.name,
                self._table.me,
                self._table.listen_address,
                _peer_addresses(self._table),
                {name: IsolationPolicy(item.cut_off) for name, item in config.classes.items()},
            ),
            machine.files(folder),
            self,
            ProcessEnvironment(core.tasks, machine),
        )
        core.carrier.redirect_outcomes(self._on_outcome)

    def start(self) -> None:
        """Connect to the other members; raises OSError if the address can't be listened on."""
        self.service.start()

    async def stop(self) -> None:
        """Announce to the other members that this one leaves, and close the links."""
        await self.service.leave()

    async def status(self) -> JsonObject:
        """Return the status for operators, with the keys of `FleetAnswer`."""
        return self.service.status().to_json()

    def reload_members(self) -> None:
        """Read the list of members from the configuration file; apply it if only one member has changed."""
        if self._config.file is None:
            return
        try:
            new = load(self._config.file).fleet
        except ConfigError as error:
            log.error("fleet.members: change rejected: %s", error)
            return
        if new is None or new.member_addresses == self._table.member_addresses:
            return
        reason = membership_change_error(self._table.member_addresses, new.member_addresses, self._table.me)
        if reason or new.name != self._table.name:
            log.error(
                "fleet.members: change rejected: %s",
                reason or f"fleet.name changed from {self._table.name!r} to {new.name!r}",
            )
            return
        log.info("fleet.members: change applied: %s", ", ".join(new.member_addresses))
        self._table = new
        self.service.configure(_peer_addresses(new))

    def on_endpoint_list(self, update: api.DirectoryUpdate, addresses: Addresses) -> None:
        """Inform the other members of the phases that have changed in the gateway's endpoint list."""
        is_first = not self._own_endpoints
        if update.kind in (api.ListKind.CACHED, api.ListKind.FULL):
            self._own_endpoints.clear()
        changed_phases: dict[str, api.Phase] = {}
        for entry in update.entries:
            known = self._own_endpoints.get(entry.target)
            previous_phase = api.Phase.READY if known is None else known[0].phase
            if entry.phase is not previous_phase or (is_first and entry.phase is not api.Phase.READY):
                changed_phases[entry.target.decode()] = entry.phase
            if entry.phase is api.Phase.REMOVED:
                self._own_endpoints.pop(entry.target, None)
            else:
                self._own_endpoints[entry.target] = entry, addresses[entry.target]
        self.service.share_endpoint_phases(changed_phases)

    def _on_outcome(self, outcome: api.Outcome) -> None:
        if outcome.retry_after > 0:
            self.service.share_endpoint_hold(outcome.target.decode(), outcome.retry_after)
        self._core.engine.on_attempt_outcome(outcome)

    def on_quota_share(self, share: QuotaShare) -> None:
        """Apply a changed quota share or changed closed classes. See `FleetObserver`."""
        settings = replace(
            self._settings,
            forwarders=share.fleet_size,
            quota_share=share.fraction,
            closed_categories=tuple(sorted(self._class_numbers[name] for name in share.closed_classes)),
            closed_retry_after=min(CLOSED_CLASS_RETRY_AFTER_S, self._settings.max_retry_after),
        )
        if settings != self._applied_settings:
            self._applied_settings = settings
            self._core.engine.apply_settings(settings)

    def on_endpoint_hold(self, target: str, seconds: float) -> None:
        """Apply a retry-after time that another member received from an endpoint. See `FleetObserver`."""
        self._core.carrier.apply_retry_after(target.encode(), seconds)
        self._core.engine.on_peer_retry_after(target.encode(), seconds)

    def on_endpoint_report(self, target: str, phase: int) -> None:
        """Apply another member's report of an endpoint's phase. See `FleetObserver`.

        If an endpoint is ready in the gateway's own list, a report of another phase drains it here. A later
        report that the endpoint is ready ends the draining. Reports on all other endpoints are ignored.
        """
        entry, address = self._own_endpoints.get(target.encode(), (None, None))
        if entry is None or address is None or entry.phase is not api.Phase.READY:
            return
        if phase != int(api.Phase.READY):
            entry = replace(entry, phase=api.Phase.DRAINING)
        update = api.DirectoryUpdate(api.ListKind.DELTA, 0, (entry,))
        self._core.engine.on_membership_update(update, {entry.target: address})

    def on_halt(self, reason: str) -> None:
        """Stop this process, because another process has this member's name. See `FleetObserver`."""
        log.error("stopping: %s", reason)
        self._request_stop()


def _peer_addresses(table: FleetTable) -> Mapping[str, Address]:
    """Return the addresses of all members except this one."""
    return {name: address for name, address in table.member_addresses.items() if name != table.me}
