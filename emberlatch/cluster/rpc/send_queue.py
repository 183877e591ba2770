"""Outgoing frames of one connection.

The transport's own write buffer is limited to zero bytes: the transport pauses this queue as soon as the
kernel does not accept all data. A frame that is still in this queue was therefore never sent.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _QueuedFrame:
    """An encoded frame. `request_number` is None if the frame is not a request."""

    request_number: int | None
    data: bytes


class SendQueue:
    """Frames not yet passed to the transport. Those of one event loop iteration are written together."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._frames: list[_QueuedFrame] = []
        self._writable = True  # False while the transport has paused writing
        self._closed = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport that the frames are written to."""
        transport.set_write_buffer_limits(high=0)
        self._transport = transport

    def append(self, data: bytes, request_number: int | None = None) -> None:
        """Queue an encoded frame."""
        if not self._frames:
            asyncio.get_running_loop().call_soon(self.flush)
        self._frames.append(_QueuedFrame(request_number, data))

    def withdraw(self, request_number: int) -> bool:
        """Remove a request that was not sent yet; return whether it was still queued."""
        remaining = [frame for frame in self._frames if frame.request_number != request_number]
        withdrawn = len(remaining) < len(self._frames)
        if withdrawn:
            self._frames = remaining
        return withdrawn

    def unsent_requests(self) -> set[int | None]:
        """The numbers of the requests that were certainly never sent."""
        return {frame.request_number for frame in self._frames}

    def flush(self) -> None:
        """Write all queued frames in one piece, unless the transport has paused writing."""
        if self._frames and self._writable and not self._closed and self._transport is not None:
            data = b"".join(frame.data for frame in self._frames)
            self._frames = []
            self._transport.write(data)

    def pause(self) -> None:
        """Keep frames in the queue, because the transport's buffer is full."""
        self._writable = False

    def resume(self) -> None:
        """Write the queued frames: the transport accepts data again, or is about to be closed."""
        self._writable = True
        self.flush()

    def close(self) -> None:
        """Stop writing. Frames that are still queued are never sent."""
        self._closed = True
