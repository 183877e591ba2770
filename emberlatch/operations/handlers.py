"""The handlers of the operators' interface: readiness, metrics and draining of a forwarder."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from http import HTTPStatus

from emberlatch.engine import Engine
from emberlatch.net.server import Server
from emberlatch.operations.http_server import OperatorEndpoint
from emberlatch.operations.metrics import render_metrics

log = logging.getLogger(__name__)


class OperatorHandlers:
    """The handlers of `/ops/...`; each returns the status and the text of the response."""

    def __init__(self, engine: Engine, server: Server) -> None:
        self._engine, self._server = engine, server
        self._serving = False

    def endpoints(self) -> Mapping[bytes, OperatorEndpoint]:
        """The handler and the method of each path."""
        return {
            b"/ops/readiness": OperatorEndpoint(b"GET", self.readiness),
            b"/ops/stats": OperatorEndpoint(b"GET", lambda: (HTTPStatus.OK, self.metrics())),
            b"/ops/drain/start": OperatorEndpoint(b"POST", lambda: self.drain(True)),
            b"/ops/drain/stop": OperatorEndpoint(b"POST", lambda: self.drain(False)),
        }

    def on_started(self) -> None:
        """Report the forwarder as ready from now on, because it accepts clients."""
        self._serving = True

    def readiness(self) -> tuple[int, str]:
        """Return 200 if this process has started and neither stops nor drains, else 503 with the reason."""
        if not self._serving:
            return HTTPStatus.SERVICE_UNAVAILABLE, "starting\n"
        if self._server.stopping:
            return HTTPStatus.SERVICE_UNAVAILABLE, "stopping\n"
        if self._server.draining:
            return HTTPStatus.SERVICE_UNAVAILABLE, "draining\n"
        return HTTPStatus.OK, "ready\n"

    def metrics(self) -> str:
        """Return the metrics of this process, one per line."""
        engine = self._engine
        open_messages = len(engine.messages.open_messages)
        return render_metrics(engine.counters, engine.categories, open_messages, *engine.count_endpoints())

    def drain(self, active: bool) -> tuple[int, str]:
        """Start or stop draining.

        A request to stop draining during a shutdown is answered with 409: a shutdown can't be cancelled.
        """
        if self._server.stopping and not active:
            return HTTPStatus.CONFLICT, "stopping: that is not taken back\n"
        if self._server.draining != active:
            log.info("drain %s", "begins" if active else "ends")
        self._server.drain(active)
        return HTTPStatus.OK, "draining\n" if active else "serving\n"
