"""Composes the standalone gateway.

It consists of the engine, an HTTP interface for clients, the HTTP carrier, an inventory as its membership,
and a log of outcomes or a sender of notifications.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import secrets
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from emberlatch.config import Gateway, settings, vocabulary_of
from emberlatch.core.interface import DirectoryUpdate
from emberlatch.engine import REAL_MACHINE, Addresses, DurableClasses, Machine
from emberlatch.gateway_core import ClientInterface, GatewayCore, JournalSettings
from emberlatch.inventory import InventoryMembership
from emberlatch.net.notification_sender import NotificationSender
from emberlatch.standalone.commands import GatewayCommands
from emberlatch.standalone.control_socket import ControlServer
from emberlatch.standalone.errors import StartError
from emberlatch.standalone.fleet_integration import FleetIntegration
from emberlatch.standalone.outcome_log import MessageState, OutcomeLog
from emberlatch.standalone.resources import connection_limits, lock_state_folder

if TYPE_CHECKING:  # AS2 needs libraries that are an optional extra
    from emberlatch.as2.side import As2Side
    from emberlatch.standalone.as2_parts import As2Parts

log = logging.getLogger(__name__)

JOURNAL_FOLDER = "journal"
"""The subfolder of the state folder for the journal."""
SEED_BITS = 64
DEFAULT_HTTP_PORT = 80


class StandaloneGateway:
    """One gateway. It locks its state folder, so that a second process on the same folder can't start.

    `stop_requested` is set when the process is to stop. `storage_failure` is the error if the
    process must stop because the disk can't provide the durability that a class of messages requires.
    """

    def __init__(self, config: Gateway, machine: Machine = REAL_MACHINE) -> None:
        """Compose the gateway. Raises StartError, or RefusedError if no valid inventory is available."""
        self._config, self._machine = config, machine
        self._state = config.path(config.state)
        self.stop_requested = asyncio.Event()
        self.storage_failure: OSError | None = None
        self._lock = lock_state_folder(self._state)
        try:
            self._compose()
        except Exception:
            self._lock.close()
            raise

    def _compose(self) -> None:
        self._settings = settings(self._config)
        self._durable_classes = frozenset(
            name for name, item in self._config.classes.items() if item.durable == "machine"
        )
        core = self._make_core()
        self._tasks, self.engine = core.tasks, core.engine
        self.server, self.carrier = core.server, core.carrier
        self.membership = self._make_membership()
        self.outcomes: OutcomeLog | NotificationSender = self._make_outcomes()
        self._as2_parts = self._make_as2_parts(core)
        if self.as2 is None:
            core.connect(self.membership, self.outcomes)
        else:
            core.connect(self.membership, self.as2.completion_notifier, [self.as2.front], self.as2.carrier)
        self.fleet = self._make_fleet(core)
        self.commands = GatewayCommands(
            self.engine, self.membership, self.outcomes, self.as2, self.fleet, self.stop_requested.set
        )
        self._control = ControlServer(self._state, self.commands.handlers())

    @property
    def as2(self) -> As2Side | None:
        """The AS2 side; None if the configuration has no AS2."""
        return self._as2_parts.side if self._as2_parts is not None else None

    def _make_core(self) -> GatewayCore:
        config, reserved = self._config, 0
        folder = self._state / JOURNAL_FOLDER
        folder.mkdir(exist_ok=True)
        if config.as2 is not None:
            from emberlatch.standalone.as2_parts import reserved_descriptors

            reserved = reserved_descriptors(config.as2)
        journal = JournalSettings(
            self._machine.files(folder),
            config.limits.journal,
            DurableClasses(self._durable_classes, self._on_storage_failure),
        )
        find_message = self._message_document if config.reports is None else None
        clients = ClientInterface(config.listen_address, self._destination_of, find_message)
        limits = connection_limits(config.limits.sockets, reserved)
        try:
            return GatewayCore(
                self._settings, secrets.randbits(SEED_BITS), journal, clients, limits, self._machine
            )
        except ValueError as error:
            raise StartError("limits.journal", error) from error

    def _make_membership(self) -> InventoryMembership:
        config = self._config
        return InventoryMembership(
            [config.path(path) for path in config.inventory.paths],
            self._state,
            vocabulary_of(config),
            config.inventory.poll,
            config.inventory.quiet_period_s,
            self._on_endpoints,
            self._tasks,
        )

    def _make_outcomes(self) -> OutcomeLog | NotificationSender:
        config, confirm = self._config, self.engine.on_notices_confirmed
        if config.reports is None:
            offload = self._machine.offload if self._durable_classes else None
            limits = config.limits
            return OutcomeLog(
                self._state, limits.ends_log, limits.ends, confirm, offload, self._on_storage_failure
            )
        url = urlsplit(config.reports)
        address = (url.hostname or "", url.port or DEFAULT_HTTP_PORT)
        return NotificationSender(address, confirm, self._tasks, url.path or "/", notifies_deliveries=True)

    def _make_as2_parts(self, core: GatewayCore) -> As2Parts | None:
        if self._config.as2 is None:
            return None
        from emberlatch.standalone.as2_parts import make_as2_parts

        return make_as2_parts(self._config, self._settings, core, self.membership, self._state, self.outcomes)

    def _make_fleet(self, core: GatewayCore) -> FleetIntegration | None:
        if self._config.fleet is None:
            return None
        return FleetIntegration(
            self._config, self._settings, core, self._state, self._machine, self.stop_requested.set
        )

    async def start(self) -> None:
        """Recover the messages in the journal, then listen; raises StartError if that fails."""
        if self._as2_parts is not None:
            await self._as2_parts.crypto_worker.ready()
        try:
            await self.engine.start()
        except OSError as error:
            raise StartError("state" if error.filename else "listen", error) from error
        if self.fleet is not None:
            try:
                self.fleet.start()
            except OSError as error:
                raise StartError("fleet.listen", error) from error
        gc.collect()
        gc.freeze()  # later collections skip all objects that exist now, such as the inventory
        try:
            await self._control.start()
        except OSError as error:
            raise StartError("state", error) from error

    async def stop(self) -> None:
        """Stop. Wait a limited time for open calls; messages without an outcome stay in the journal."""
        self._control.stop()
        if self.fleet is not None:
            await self.fleet.stop()
        await self.engine.stop()
        if self.as2 is not None:
            self.as2.close()
        self._lock.close()

    def reload_files(self) -> None:
        """Reload the inventory files in the background, and the list of the fleet's members at once."""
        self._tasks.spawn(self.membership.reload())
        if self.fleet is not None:
            self.fleet.reload_members()

    def _on_endpoints(self, update: DirectoryUpdate, addresses: Addresses) -> None:
        self.engine.on_membership_update(update, addresses)
        if self.fleet is not None:
            self.fleet.on_endpoint_list(update, addresses)

    def _on_storage_failure(self, error: OSError) -> None:
        self.storage_failure = error
        self.stop_requested.set()

    def _destination_of(self, partner: str) -> int | None:
        return self.membership.named(partner)

    def _message_document(self, message: str) -> bytes | None:
        """Return the body of the answer to `GET /messages/ID`, or None if the message is unknown."""
        assert isinstance(self.outcomes, OutcomeLog)
        if self.engine.messages.is_open(message):
            return json.dumps({"id": message, "state": MessageState.IN_FLIGHT}).encode()
        outcome = self.outcomes.find(message)
        if outcome is None:
            return None
        return json.dumps({key: value for key, value in outcome.items() if key != "ref"}).encode()
