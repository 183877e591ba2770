"""Applies a newly active configuration within a process."""

from __future__ import annotations

from emberlatch.cluster.ingress import HttpListener
from emberlatch.cluster.node.heartbeats import HeartbeatService
from emberlatch.cluster.node.parts import StoreParts
from emberlatch.cluster.settings import Configuration


class ConfigurationActivation:
    """Passes a configuration to the components that use it, and its revision to the other processes."""

    def __init__(
        self, front: HttpListener | None, store: StoreParts | None, heartbeats: HeartbeatService
    ) -> None:
        self._front, self._store, self._heartbeats = front, store, heartbeats

    def apply(self, config: Configuration) -> None:
        """Put a configuration in force in this process; a store announces the revision to other processes."""
        if self._front is not None:
            self._front.apply_limits(config.limits)
        if self._store is not None:
            self._store.dispatcher.configure(config)
            self._heartbeats.announce()
