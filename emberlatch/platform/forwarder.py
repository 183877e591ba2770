"""A forwarder on the platform: the gateway's core with the platform's discovery and notifications."""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path

from emberlatch.engine import REAL_MACHINE, Address, Machine
from emberlatch.gateway_core import ClientInterface, GatewayCore, JournalSettings
from emberlatch.net.directory_membership import DirectoryMembership
from emberlatch.net.notification_sender import NotificationSender
from emberlatch.operations import OperatorHandlers, OperatorServer, missing_key, with_reloadable
from emberlatch.platform.config import ConfigError, PlatformConfig
from emberlatch.platform.handover import PlatformHandover
from emberlatch.store import Journal
from emberlatch.takeover import ReceivedHandover

log = logging.getLogger(__name__)


class PlatformForwarder:
    """The engine, with the server, the carrier, the discovery and the notifications of the platform."""

    def __init__(self, config: PlatformConfig, machine: Machine = REAL_MACHINE) -> None:
        """Connect the parts; raises ValueError if the journal's limit is too low."""
        self._discovery = config.discovery
        self._settings, self._document = config.settings, config.document
        self._files = machine.files
        core = GatewayCore(
            config.settings,
            config.seed,
            JournalSettings(self._files(config.state), config.journal_bytes),
            ClientInterface(config.listen),
            config.connection_limits,
            machine,
        )
        self.tasks, self.journal, self.engine = core.tasks, core.journal, core.engine
        self.server, self.carrier = core.server, core.carrier
        tasks, engine = core.tasks, core.engine
        self.notifier = NotificationSender(config.discovery, engine.on_notices_confirmed, tasks)
        self.directory = DirectoryMembership(
            config.discovery,
            config.initial_list,
            config.raw_settings,
            engine.on_membership_update,
            tasks,
            config.seed,
            config.settings.forwarders,
            engine.counters,
        )
        core.connect(self.directory, self.notifier)
        self.handover = PlatformHandover(engine, self.server, self.carrier, self.directory, self.notifier)
        self._handlers = OperatorHandlers(engine, self.server)
        self.operators: OperatorServer | None = None
        if config.operators is not None:
            self.operators = OperatorServer(config.operators, self._handlers.endpoints(), tasks, machine)

    def start_operator_server(self) -> None:
        """Listen for operators; raises ConfigError.

        The readiness is "starting" until the engine has started.
        """
        if self.operators is not None:
            try:
                self.operators.start()
            except OSError as error:
                raise ConfigError(f"ops: {error}") from error

    async def start(self, received: ReceivedHandover | None = None) -> None:
        """Continue from the journal and from a predecessor's state, if any; then listen for clients."""
        if received is not None:
            self.handover.receive(received)
        await self.engine.start(received)
        self._handlers.on_started()
        if received is not None:
            self.tasks.spawn(received.receive_relay(self.handover))

    async def stop(self) -> None:
        """Shut down gracefully; messages that are not completed in time stay in the journal."""
        await self.engine.stop()
        if self.operators is not None:
            self.operators.close()

    # Reload of the configuration.

    def check(self, config: PlatformConfig) -> None:
        """Validate the parts of a new configuration that are otherwise read only at a start.

        Raises ConfigError, ValueError or an error of `DirectoryMembership.codec.decode`.
        """
        if (key := missing_key(self._document, config.document)) is not None:
            raise ConfigError(f"{key}: is missing")
        Journal(self._files(config.state), config.journal_bytes)
        self.directory.codec.decode(config.initial_list)

    def is_outdated(self) -> bool:
        """Whether the configuration file has changed since it was read.

        The SIGHUP for the change may have been sent to the predecessor instead of this process.
        """
        try:
            return bool(json.loads(Path(os.environ.get("EDGE_CONFIG", "")).read_bytes()) != self._document)
        except (OSError, ValueError):
            return False

    def reload(self, config: PlatformConfig) -> None:
        """Apply a new configuration that `check` accepted."""
        self._document = config.document
        settings = with_reloadable(self._settings, config.settings)
        if settings != self._settings:
            log.info(
                "new settings applied, with the classes %s",
                ", ".join(each.name for each in settings.categories),
            )
            self._settings = settings
            self.engine.apply_settings(settings)
        self.change_address(config.discovery)
        self.engine.counters.count("reload_success")

    def change_address(self, discovery: Address) -> None:
        """Use another address for the discovery service, which also receives the notifications."""
        if discovery == self._discovery:
            return
        log.info("discovery address changes from %s:%d to %s:%d", *self._discovery, *discovery)
        self._discovery = discovery
        self.directory.change_address(discovery)
        self.notifier.change_address(discovery)
        self.engine.on_directory_address_changed()
