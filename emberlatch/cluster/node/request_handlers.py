"""The methods that other processes call, each with its handler."""

from __future__ import annotations

from emberlatch.cluster.membership import MembershipUpdate, MembershipView
from emberlatch.cluster.message_store.request_handlers import Handler
from emberlatch.cluster.node.heartbeats import HeartbeatService
from emberlatch.cluster.node.witness_service import WitnessService
from emberlatch.cluster.rpc import RpcConnection, RpcMethod


class RequestError(ValueError):
    """Base class of errors for requests that this process can't handle. `method` is the requested method."""

    def __init__(self, method: str, text: str) -> None:
        super().__init__(text)
        self.method = method

    def __repr__(self) -> str:  # The repr is sent to callers, which may run other versions.
        return f"ValueError({str(self)!r})"


class NotAStoreError(RequestError):
    """This process has no disk, and has no handler for the method."""

    def __init__(self, method: str) -> None:
        super().__init__(method, f"{method}: not kept here")


class UnknownMethodError(RequestError):
    """A process with a disk has no handler for the method: this version of the program lacks it."""

    def __init__(self, method: str) -> None:
        super().__init__(method, f"no such question: {method}")


class RequestHandlers:
    """Finds the handler of a method.

    `store_handlers` maps the methods that need a disk to their handlers. It is None if there is no disk.
    `witness` is None if there is a disk.
    """

    def __init__(
        self,
        membership: MembershipView,
        heartbeats: HeartbeatService,
        store_handlers: dict[str, Handler] | None,
        witness: WitnessService | None,
    ) -> None:
        self._membership = membership
        self._is_store = store_handlers is not None
        self._handlers: dict[str, Handler] = {
            RpcMethod.HANDSHAKE: heartbeats.serve_handshake,
            RpcMethod.HEARTBEAT: heartbeats.serve_heartbeat,
            RpcMethod.HEARTBEAT_NOTICE: heartbeats.serve_notice,
            RpcMethod.ROSTER: self._roster,
            RpcMethod.MEMBERSHIP_UPDATE: self._membership_update,
            **(store_handlers or {}),
        }
        if witness is not None:
            self._handlers[RpcMethod.CONTROL_STATE] = lambda _, payload: witness.serve(payload)

    @property
    def methods(self) -> frozenset[str]:
        """The wire names of the methods that this process handles."""
        return frozenset(self._handlers)

    def serve(self, connection: RpcConnection, method: str, payload: object) -> object:
        """Handle one request of another process; return the response, or a coroutine that returns it.

        Raises NotAStoreError or UnknownMethodError for a method without a handler.
        """
        handler = self._handlers.get(method)
        if handler is None:
            raise UnknownMethodError(method) if self._is_store else NotAStoreError(method)
        return handler(connection, payload)

    def _roster(self, _: RpcConnection, payload: object) -> object:
        return self._membership.create_update().to_wire()

    def _membership_update(self, _: RpcConnection, payload: object) -> None:
        self._membership.apply_membership_update(MembershipUpdate.from_wire(payload), None)
