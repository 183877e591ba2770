"""Accepts connections from other processes."""

from __future__ import annotations

from emberlatch.cluster.rpc.connection import RequestHandler, RpcConnection
from emberlatch.cluster.rpc.counters import TrafficCounters
from emberlatch.cluster.rpc.incarnation import LocalEndpoint
from emberlatch.engine import Machine, Tasks
from emberlatch.net.acceptor import Acceptor


class RpcServer:
    """Listens for other processes from construction until `close`. `connections` are the open connections."""

    def __init__(
        self,
        machine: Machine,
        address: tuple[str, int],
        endpoint: LocalEndpoint,
        handler: RequestHandler,
        tasks: Tasks,
        counters: TrafficCounters,
    ) -> None:
        self._endpoint, self._handler, self._tasks, self._counters = endpoint, handler, tasks, counters
        self.connections: set[RpcConnection] = set()
        self._acceptor = Acceptor(machine.listen(address), self._accept, tasks)

    def _accept(self) -> RpcConnection:
        connection = RpcConnection(
            self._endpoint,
            self._handler,
            self._tasks,
            self._counters,
            on_lost=self.connections.discard,
        )
        self.connections.add(connection)
        return connection

    def close(self) -> None:
        """Stop listening, and close each accepted connection after its queued frames are written."""
        self._acceptor.close()
        for connection in list(self.connections):
            connection.close()
