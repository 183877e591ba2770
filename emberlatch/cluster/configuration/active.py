"""The configuration that is active in this process. Its revision never decreases within an incarnation.

A store takes it from the agreed control state once a majority of the voters has confirmed that state in this
incarnation (`ControlPlane`); a forwarder, which has no disk, fetches it from a store that is in contact with
a majority. `node/configuration_activation.py` applies it to the other components of the process. For all
steps from the operator's call on, see docs/design/system.md, "The life of a configuration".
"""

from __future__ import annotations

from collections.abc import Callable

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc import CallFailedError, Peer, RpcMethod
from emberlatch.cluster.settings import Configuration, ConfigurationError, read_configuration
from emberlatch.engine import Tasks

FETCH_TIMEOUT_S = 1.0  # seconds for a store to send the configuration
NO_REVISION = -1  # value reported while no configuration is active

Listener = Callable[[Configuration], None]
"""Callback that receives each configuration as it becomes active."""


class ActiveConfiguration:
    """Stores the active configuration in memory, and notifies its listeners of each new one."""

    def __init__(self, tasks: Tasks) -> None:
        self._tasks = tasks
        self._fetching = False
        self._listeners: list[Listener] = []
        self.current: Configuration | None = None

    @property
    def revision(self) -> int:
        """The active revision; `NO_REVISION` if there is none."""
        return self.current.revision if self.current is not None else NO_REVISION

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each configuration that becomes active from now on."""
        self._listeners.append(listener)

    def adopt(self, raw: bytes) -> None:
        """Activate a confirmed configuration if its revision is higher than that of the active one.

        No other method changes the active configuration.
        """
        try:
            config = read_configuration(raw)
        except ConfigurationError as error:
            log_event(Event.CONFIG_UNDECODABLE, str(error))
            return
        if config.revision > self.revision:
            log_event(Event.CONFIG_APPLIED, revision=config.revision)
            self._activate(config)

    def _activate(self, config: Configuration) -> None:
        self.current = config
        for listener in self._listeners:
            listener(config)

    def on_heartbeat(self, peer: Peer, revision: int) -> None:
        """Fetch the configuration from a store that reports a higher revision; called in forwarders only."""
        if revision > self.revision and not self._fetching:
            self._fetching = True
            self._tasks.spawn(self._fetch(peer))

    async def _fetch(self, peer: Peer) -> None:
        try:
            raw = await peer.call(RpcMethod.CONFIGURATION, None, FETCH_TIMEOUT_S)
            if isinstance(raw, bytes):
                self.adopt(raw)
        except CallFailedError:
            pass  # The next heartbeat with a higher revision triggers another attempt.
        finally:
            self._fetching = False
