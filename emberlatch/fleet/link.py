"""One connection between two members, dialled or accepted."""

from __future__ import annotations

import asyncio
from typing import Protocol

from emberlatch.fleet.errors import FleetError, HandshakeError
from emberlatch.fleet.frames import MAX_NAME_CHARS, AnyFrame, Frame, FrameDecoder, Handshake, encode

HANDSHAKE_TIMEOUT_S = 1.0  # time within which the other side must send its handshake
MAX_UNSENT_BYTES = 64 * 1024
"""While more bytes are unsent, frames are dropped. Once the buffer drains, the full state is sent again."""


class LinkOwner(Protocol):
    """Receives the events of a link and decides which handshakes are accepted."""

    def handshake(self) -> Handshake:
        """Return the handshake of this process, the first frame on each link."""

    def on_connected(self, link: Link) -> None:
        """Handle a connection that was accepted; its other side is not identified yet."""

    def check_handshake(self, link: Link, handshake: Handshake) -> None:
        """Check a handshake, which may be the first or a later one; raise HandshakeError to reject it."""

    def on_ready(self, link: Link, handshake: Handshake) -> None:
        """Handle an accepted handshake, or a send buffer that has drained after frames were dropped."""

    def on_frame(self, handshake: Handshake, frame: AnyFrame) -> None:
        """Handle a frame on a link whose other side is identified."""

    def on_refused(self, link: Link, reason: str) -> None:
        """Log the reason why this process closes a link."""

    def on_lost(self, link: Link) -> None:
        """Handle the end of a link, whichever side closed it."""


class Link(asyncio.Protocol):
    """One connection.

    `dialled_name` is the name of the member that was dialled, or empty if the connection was accepted.
    `last_data_at` is when data last arrived, in seconds on the event loop's clock. `ready` is a future: True
    once the other side is identified, False if the connection closes before that.
    """

    def __init__(self, owner: LinkOwner, dialled_name: str = "") -> None:
        self._owner, self.dialled_name = owner, dialled_name
        self._loop = asyncio.get_running_loop()
        self.peer_handshake: Handshake | None = None
        self.ready: asyncio.Future[bool] = self._loop.create_future()
        self.last_data_at = self._loop.time()
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport
        self._has_dropped_frames = False  # whether frames were dropped since the last `on_ready`
        self._handshake_timer: asyncio.TimerHandle | None = None

    @property
    def peer_name(self) -> str:
        """The name of the other side; empty while it is unknown."""
        return self.peer_handshake.name if self.peer_handshake else self.dialled_name

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for the other side's handshake; the side that dialled sends its own first."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._handshake_timer = self._loop.call_later(HANDSHAKE_TIMEOUT_S, self._on_handshake_timeout)
        if self.dialled_name:
            transport.write(encode(self._owner.handshake()))
        else:
            self._owner.on_connected(self)

    def _on_handshake_timeout(self) -> None:
        if self.peer_handshake is None:
            self.close(f"no handshake within {HANDSHAKE_TIMEOUT_S} s")

    def data_received(self, data: bytes) -> None:
        """Decode and report frames; close the link if the other side sends something invalid."""
        self.last_data_at = self._loop.time()
        try:
            for frame in self._decoder.feed(data):
                if self._transport.is_closing():
                    return
                if isinstance(frame, Handshake):
                    self._on_handshake(frame)
                elif self.peer_handshake is None:
                    raise HandshakeError(
                        f"expected a handshake as the first frame, got {type(frame).__name__}"
                    )
                else:
                    self._owner.on_frame(self.peer_handshake, frame)
        except FleetError as error:
            self.close(str(error))

    def _on_handshake(self, handshake: Handshake) -> None:
        known = self.peer_handshake
        if known is not None and (handshake.name, handshake.run_id) != (known.name, known.run_id):
            raise HandshakeError(
                f"handshake of another process: expected member {known.name!r}, run {known.run_id!r},"
                f" got member {handshake.name[:MAX_NAME_CHARS]!r}, run {handshake.run_id[:MAX_NAME_CHARS]!r}"
            )
        self._owner.check_handshake(self, handshake)
        self.peer_handshake = handshake
        if known is None and not self.dialled_name:
            self._transport.write(encode(self._owner.handshake()))
        self._owner.on_ready(self, handshake)
        if not self.ready.done():
            self.ready.set_result(True)

    def send(self, frame: Frame) -> bool:
        """Send a frame, or drop it if the link is closing or too many bytes are unsent.

        Return whether the frame was sent.
        """
        if self._transport.is_closing():
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._has_dropped_frames = True
            return False
        self._transport.write(encode(frame))
        return True

    def resume_writing(self) -> None:
        """If frames were dropped, call `on_ready` again; the owner then sends its full state."""
        if self._has_dropped_frames and self.peer_handshake is not None:
            self._has_dropped_frames = False
            self._owner.on_ready(self, self.peer_handshake)

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._transport.is_closing()

    def close(self, reason: str = "") -> None:
        """Abort the connection. If `reason` is not empty, report it to the owner, which logs it."""
        if reason and not self._transport.is_closing():
            self._owner.on_refused(self, reason)
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection is closed."""
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if not self.ready.done():
            self.ready.set_result(False)
        self._owner.on_lost(self)
