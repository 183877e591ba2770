"""The predecessor's side of a takeover: the owner of the state folder hands it over to a successor."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import struct
from enum import Enum, auto
from pathlib import Path

from emberlatch.engine import Tasks
from emberlatch.takeover.connection import HandoverConnection, UnixConnection
from emberlatch.takeover.errors import HandoverConnectionError
from emberlatch.takeover.frames import Frame
from emberlatch.takeover.messages import (
    VERSION,
    MessageKind,
    RequestDeclined,
    StateSnapshot,
    TakeoverRequest,
)
from emberlatch.takeover.ports import OwnershipLock, Predecessor
from emberlatch.takeover.relay import OutcomeQueue, Relay
from emberlatch.takeover.state_machine import HandoverReply, HandoverState, HandoverStateMachine
from emberlatch.takeover.unix_socket import listen

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.0  # maximum time from accepting a connection to receiving its request
OWNERSHIP_TIMEOUT_S = 2.0  # maximum time from sending the state to the successor's confirmation
LOCK_RETRY_S = 0.02  # interval between attempts to acquire the lock again
LOCK_LOST_AFTER_S = 1.0
"""A lock that cannot be acquired this long after the connection broke counts as lost to the successor."""
PEER_CREDENTIALS = struct.Struct("3i")  # ids of process, user and group; see SO_PEERCRED in unix(7)
DECLINED = {
    HandoverReply.BUSY: RequestDeclined(MessageKind.BUSY),
    HandoverReply.CANNOT: RequestDeclined(MessageKind.CANNOT),
}


class SuccessorAnswer(Enum):
    """The successor's answer to the state that was sent to it."""

    OWNERSHIP_TAKEN = auto()
    TIMED_OUT = auto()  # no answer within OWNERSHIP_TIMEOUT_S
    BROKEN = auto()  # the connection broke or closed, or an unexpected frame was received


class HandoverServer:
    """Listens for a successor, and hands over to it.

    Attributes:
        state_machine: must not be changed by callers.
        ended: set once this process may exit: another process owns the folder, and the relay has ended.
    """

    def __init__(self, lock: OwnershipLock, process: Predecessor, tasks: Tasks) -> None:
        """`lock` must be acquired already. Connections are served in `tasks`."""
        self._lock, self._process, self._tasks = lock, process, tasks
        self.state_machine = HandoverStateMachine(VERSION)
        self.ended = asyncio.Event()
        self._listener: socket.socket | None = None
        self._outcomes = OutcomeQueue()
        self._decided = asyncio.Event()
        self._decided.set()

    def start(self, path: Path) -> None:
        """Listen on a Unix socket at `path`. Raises OSError if that fails."""
        self._listener = listen(path)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Stop listening. The socket file is not removed, since it may already belong to the successor."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    async def wait_until_decided(self) -> None:
        """Wait until it is known which process owns the folder, if a hand-over is in progress."""
        await self._decided.wait()

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            connection, _ = self._listener.accept()
        except OSError as error:
            log.info("takeover: cannot accept a connection: %s", error)
            return
        credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, user, _ = PEER_CREDENTIALS.unpack(credentials)
        if user != os.getuid():
            connection.close()
            return
        self._tasks.spawn(self.serve(UnixConnection(connection)))

    async def serve(self, connection: HandoverConnection) -> None:
        """Answer the request of a connected process, and hand over if the state allows it."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                frame = await connection.receive()
            if frame is None:
                return
            reply = self._reply(frame)
            if (declined := DECLINED.get(reply)) is not None:
                await connection.send(declined.kind, declined.to_body())
                return
            await self._hand_over(connection)
        except (HandoverConnectionError, TimeoutError) as error:
            log.info("takeover: request of another process failed: %r", error)
        finally:
            connection.close()

    def _reply(self, frame: Frame) -> HandoverReply:
        frame.close()
        if frame.kind != MessageKind.TAKEOVER_REQUEST:
            return HandoverReply.CANNOT
        return self.state_machine.on_request(TakeoverRequest.from_body(frame.body).version)

    async def _hand_over(self, connection: HandoverConnection) -> None:
        self._decided.clear()
        try:
            await self._cut_over(connection)
        finally:
            self._decided.set()
        if self.state_machine.state is HandoverState.RELAYING:
            await self._relay(connection)
        if self.state_machine.state is HandoverState.ENDED:
            self.ended.set()

    async def _cut_over(self, connection: HandoverConnection) -> None:
        loop = asyncio.get_running_loop()
        log.info("takeover: another process requests ownership; no client requests are read meanwhile")
        began = loop.time()
        await self._process.pause_ingress()
        answer = await self._send_state(connection, self._process.freeze(self._outcomes.put))
        if answer is SuccessorAnswer.OWNERSHIP_TAKEN:
            self.state_machine.on_ownership_taken()
        else:
            self.state_machine.on_no_answer()
            await self._reclaim(connection, answer is SuccessorAnswer.BROKEN)
        if self.state_machine.state is HandoverState.SERVING:
            log.error("takeover: no process took over; this process continues as the owner")
            self._process.thaw()
            for outcome in self._outcomes.take_all():
                self._process.on_relayed_outcome(outcome)
        else:
            elapsed = loop.time() - began
            log.info(
                "takeover: another process owns the state folder, %.0f ms after its request", elapsed * 1000
            )
            self.close()

    async def _send_state(self, connection: HandoverConnection, snapshot: StateSnapshot) -> SuccessorAnswer:
        """Send the state, release the lock and wait for the successor to own the folder."""
        try:
            async with asyncio.timeout(OWNERSHIP_TIMEOUT_S):
                await connection.send(snapshot.kind, snapshot.to_body())
                self._lock.release()
                return _classify_answer(await connection.receive())
        except (HandoverConnectionError, TimeoutError) as error:
            log.error("takeover: the successor did not confirm its ownership: %r", error)
            return (
                SuccessorAnswer.BROKEN
                if isinstance(error, HandoverConnectionError)
                else SuccessorAnswer.TIMED_OUT
            )

    async def _reclaim(self, connection: HandoverConnection, broken: bool) -> None:
        """Try to acquire the lock again until it is known which process holds it.

        flock(2) has no notification of a release, so the lock is polled.
        """
        loop = asyncio.get_running_loop()
        lost_at = loop.time() + LOCK_LOST_AFTER_S if broken else None
        receipt = asyncio.ensure_future(connection.receive())
        try:
            while self.state_machine.state is HandoverState.RECLAIMING:
                if self._lock.acquire():
                    self.state_machine.on_lock_reacquired()
                    break
                await asyncio.wait({receipt}, timeout=LOCK_RETRY_S)
                if lost_at is None and receipt.done():
                    frame = None if receipt.exception() is not None else receipt.result()
                    if _classify_answer(frame) is SuccessorAnswer.OWNERSHIP_TAKEN:
                        self.state_machine.on_ownership_taken()
                        break
                    lost_at = loop.time() + LOCK_LOST_AFTER_S
                if lost_at is None:
                    continue
                if loop.time() >= lost_at:
                    self.state_machine.on_lock_lost()
                else:
                    await asyncio.sleep(LOCK_RETRY_S)
        finally:
            receipt.cancel()

    async def _relay(self, connection: HandoverConnection) -> None:
        try:
            await Relay(connection, self._process, self._outcomes).run()
        except HandoverConnectionError as error:
            log.error("takeover: outcomes cannot be relayed to the successor: %s", error)
            self.state_machine.on_no_answer()
        else:
            self.state_machine.on_relay_finished()


def _classify_answer(frame: Frame | None) -> SuccessorAnswer:
    is_taken = frame is not None and frame.kind == MessageKind.OWNERSHIP_TAKEN
    return SuccessorAnswer.OWNERSHIP_TAKEN if is_taken else SuccessorAnswer.BROKEN
