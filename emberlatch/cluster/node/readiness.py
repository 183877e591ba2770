"""Determines whether an ingress node can accept messages; `ReadinessEndpoint` answers accordingly."""

from __future__ import annotations

from emberlatch.cluster.configuration import ActiveConfiguration
from emberlatch.cluster.ingress import NotReadyReason
from emberlatch.cluster.membership.view import MembershipView


class Readiness:
    """The readiness of an ingress node.

    Until its shutdown begins, a node is ready while it has a configuration and can reach a quorum of
    writable stores.
    """

    def __init__(self, active_configuration: ActiveConfiguration, membership: MembershipView) -> None:
        self._active_configuration, self._membership = active_configuration, membership
        self._shutting_down = False

    def begin_shutdown(self) -> None:
        """Report this process as not ready from now on."""
        self._shutting_down = True

    def not_ready_reason(self) -> NotReadyReason | None:
        """Return the first reason why this process can't accept messages; None if it can."""
        if self._shutting_down:
            return NotReadyReason.SHUTTING_DOWN
        if self._active_configuration.current is None:
            return NotReadyReason.NO_CONFIGURATION
        writable = self._membership.writable_stores()
        if not self._membership.satisfies_quorum(peer.name for peer in writable):
            return NotReadyReason.NO_QUORUM
        return None
