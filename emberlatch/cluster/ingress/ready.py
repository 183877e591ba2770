"""Whether clients may be sent here, told to the platform."""

from __future__ import annotations

from collections.abc import Callable

from emberlatch.cluster.events import Event, log_event
from emberlatch.net.server import Reply, Request


class Ready:
    """`lacks` names what this process lacks to take messages; empty if nothing."""

    def __init__(self, lacks: Callable[[], str]) -> None:
        self._lacks = lacks
        self._last = "?"

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        if request.path.partition(b"?")[0] != b"/api/readiness":
            return reply.send(404)
        lacks = self._lacks()
        if lacks != self._last:
            self._last = lacks
            log_event(Event.NOT_READY, lacks) if lacks else log_event(Event.READY)
        reply.send(503 if lacks else 200)
