"""The successor's side of a takeover: it asks the owner to hand over, and acquires the lock."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping, Sequence

from emberlatch.takeover.connection import HandoverConnection
from emberlatch.takeover.errors import HandoverConnectionError, InvalidMessageError
from emberlatch.takeover.frames import Fields, Frame
from emberlatch.takeover.messages import (
    BlockedUntil,
    ClientConnections,
    MessageKind,
    OwnershipTaken,
    RelayedOutcomes,
    StateSnapshot,
    TakeoverRequest,
    TargetConnections,
    decode_relay_message,
)
from emberlatch.takeover.ports import OwnershipLock, Successor

log = logging.getLogger(__name__)

LOCK_RETRY_S = 0.05  # interval between attempts to acquire the lock
RELEASED_LOCK_RETRY_S = 0.002  # the same, once the owner has sent its state and is about to release the lock
HANDOVER_TIMEOUT_S = 3.0  # maximum time for the owner to send its state and release the lock


class ReceivedHandover:
    """The state that the predecessor handed over; implements `engine.ReceivedHandover`.

    Attributes:
        module: the state of the decision module.
        relayed: message reference, attempt number and target of each attempt whose outcome is relayed.
        blocked_until, endpoint_list: see `StateSnapshot`.
    """

    def __init__(self, connection: HandoverConnection, snapshot: StateSnapshot) -> None:
        self.module: Fields = snapshot.module
        self.relayed = snapshot.relayed_attempts()
        self.blocked_until: Sequence[BlockedUntil] = snapshot.blocked_until
        self.endpoint_list: Mapping[str, object] = snapshot.endpoint_list
        self._connection = connection

    def confirm_ownership(self) -> None:
        """Notify the predecessor that this process owns the folder.

        If the predecessor cannot be reached, the connection is closed: `receive_relay` then reports the end
        of the relay, and the attempts in flight count as possibly executed.
        """
        try:
            self._connection.post(OwnershipTaken.kind)
        except HandoverConnectionError as error:
            log.info("takeover: the predecessor cannot be notified: %s", error)
            self._connection.close()

    async def receive_relay(self, successor: Successor) -> None:
        """Receive connections and outcomes from the predecessor until it closes the connection."""
        try:
            while not self._connection.closed and (frame := await self._connection.receive()) is not None:
                try:
                    await self._take(frame, successor)
                finally:
                    frame.close()
        except (HandoverConnectionError, InvalidMessageError, OSError) as error:
            log.error("takeover: the connection to the predecessor broke: %s", error)
        except asyncio.CancelledError:
            # This process is stopping: outcomes of attempts in flight stay unknown.
            self._connection.close()
            raise
        self._connection.close()
        successor.on_relay_closed()

    async def _take(self, frame: Frame, successor: Successor) -> None:
        match decode_relay_message(frame):
            case ClientConnections(clients):
                for client in clients:
                    successor.adopt_client(_next_socket(frame), client.data, client.has_answered_request)
            case TargetConnections(targets):
                for target in targets:
                    await successor.adopt_target_connection(target, _next_socket(frame))
            case RelayedOutcomes(outcomes):
                for outcome in outcomes:
                    successor.on_relayed_outcome(outcome)
            case None:
                log.info("takeover: skipped a frame of unknown kind %r", frame.kind)


def _next_socket(frame: Frame) -> socket.socket:
    if not frame.descriptors:
        raise InvalidMessageError(f"{frame.kind!r} frame has fewer descriptors than connections")
    return socket.socket(fileno=frame.descriptors.pop(0))


async def acquire_ownership(
    lock: OwnershipLock, connect: Callable[[], HandoverConnection] | None
) -> ReceivedHandover | None:
    """Wait until this process holds the lock, and return the state that the owner handed over.

    `connect` connects to the owner or raises OSError; if it is None, the owner is not asked. Returns None if
    no state was handed over, so that only the journal is available. flock(2) has no notification of a
    release, so the lock is polled.
    """
    while not lock.acquire():
        if connect is not None:
            try:
                handover = await _request(lock, connect)
            except InvalidMessageError as error:
                log.error(
                    "takeover: cannot use the answer of the owner: %s; waiting for the owner to exit", error
                )
                connect = None
                continue
            except (HandoverConnectionError, TimeoutError) as error:
                log.error("takeover: the owner did not hand over: %r", error)
                handover = None
            if handover is not None:
                return handover
        await asyncio.sleep(LOCK_RETRY_S)
    return None


async def _request(lock: OwnershipLock, connect: Callable[[], HandoverConnection]) -> ReceivedHandover | None:
    """Ask the owner to hand over; return None if the owner should be asked again."""
    try:
        connection = connect()
    except OSError:  # no process is listening, or its backlog is full
        return None
    try:
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            request = TakeoverRequest()
            await connection.send(request.kind, request.to_body())
            frame = await connection.receive()
            if frame is None or frame.kind == MessageKind.BUSY:
                connection.close()
                return None
            if frame.kind != MessageKind.STATE:
                raise InvalidMessageError(
                    f"no hand-over: got a {frame.kind!r} frame, expected {MessageKind.STATE.value!r}"
                )
            snapshot = StateSnapshot.from_body(frame.body)
            while not lock.acquire():  # noqa: ASYNC110 - see acquire_ownership
                await asyncio.sleep(RELEASED_LOCK_RETRY_S)
        return ReceivedHandover(connection, snapshot)
    except BaseException:
        connection.close()
        raise
