"""The HTTP endpoint (`listen.ready` in the settings) by which load balancers check this process.

The reason for a 503 is logged, not sent: the response has no body. `emberlatch.cluster.node.readiness`
determines the reason.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from emberlatch.cluster.events import Event, log_event
from emberlatch.net.server import Reply, Request

READINESS_PATH = b"/api/readiness"


class NotReadyReason(Enum):
    """Why a process can't accept messages; the values are logged."""

    SHUTTING_DOWN = "shutting down"  # SIGTERM was received; this state lasts until the process exits.
    NO_CONFIGURATION = "no configuration"  # No configuration has been active since this process started.
    NO_QUORUM = "no quorum of writable stores"  # too few stores, zones or regions for `resilience`


class ReadinessCheck(Protocol):
    """Determines whether this process can accept messages."""

    def not_ready_reason(self) -> NotReadyReason | None:
        """Return the first reason why this process can't accept messages; None if it can."""


class ReadinessEndpoint:
    """Answers 200 while messages are accepted, else 503.

    The first request logs the reason, and so does each request that finds another reason than the last one
    (events 107 and 108). A change is not logged before the next request.
    """

    def __init__(self, check: ReadinessCheck) -> None:
        self._check = check
        self._reported = False  # whether any state has been logged
        self._last: NotReadyReason | None = None

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request; 404 for any path but READINESS_PATH."""
        if request.path.partition(b"?")[0] != READINESS_PATH:
            return reply.send(404)
        reason = self._check.not_ready_reason()
        if reason is not self._last or not self._reported:
            self._log(reason)
        reply.send(200 if reason is None else 503)
        return None

    def _log(self, reason: NotReadyReason | None) -> None:
        self._reported, self._last = True, reason
        if reason is None:
            log_event(Event.READY)
        else:
            log_event(Event.NOT_READY, reason.value)
