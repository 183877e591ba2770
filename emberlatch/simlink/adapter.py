"""Hosts many forwarders for the simulator.

Reads frames from standard input and writes replies to standard output.
"""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from emberlatch.core.forwarder import Forwarder
from emberlatch.core.interface import Action, Event
from emberlatch.simlink.decoder import HEADER, Decoder
from emberlatch.simlink.encoder import encode_reply
from emberlatch.simlink.errors import WireError
from emberlatch.simlink.messages import Fault, Start, Stop, WireAction

EXIT_INVALID_INPUT = 2
_LENGTH = struct.Struct("<I")


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one complete frame; returns None at the end of the input.

    Raises:
        WireError: the input ends within the frame, or its size is invalid.
    """
    head = stream.read(_LENGTH.size)
    if not head:
        return None
    if len(head) < _LENGTH.size:
        raise WireError(f"input ended after {len(head)} of {_LENGTH.size} bytes of a frame's length")
    length = _LENGTH.unpack(head)[0]
    if length < HEADER.size:
        raise WireError(f"frame length {length} is below its header size of {HEADER.size} bytes")
    body = stream.read(length - _LENGTH.size)
    if len(body) < length - _LENGTH.size:
        raise WireError(f"input ended after {len(body) + _LENGTH.size} of {length} bytes of a frame")
    return head + body


class Host:
    """The instances in this process; they share only the registered lists of targets."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Forwarder] = {}

    def handle_frame(self, frame: bytes) -> bytes:
        """Pass the events of a frame to their instances; returns the reply with their actions.

        Raises:
            WireError: the frame is invalid, or has an event for an instance that was not started.
        """
        now, events = self._decoder.decode(frame)
        pending: dict[int, list[Event]] = {}
        replies: dict[int, list[WireAction]] = {}
        for instance, event in events:
            if isinstance(event, Start | Stop):
                # Drop earlier events in this frame: they were for the instance that ends here.
                pending.pop(instance, None)
                self._instances.pop(instance, None)
                if isinstance(event, Start):
                    try:
                        self._instances[instance] = Forwarder(event.settings, event.seed)
                    except Exception as error:  # is sent as a `Fault`, at which the simulator ends the run
                        replies[instance] = [_fault(error)]
                    pending[instance] = []
            elif instance not in self._instances:
                raise WireError(f"event for instance {instance}, which has not started")
            else:
                pending.setdefault(instance, []).append(event)
        for instance, own_events in pending.items():
            forwarder = self._instances.get(instance)
            if forwarder is not None:
                replies[instance] = _decide(forwarder, now, own_events)
        return encode_reply(replies.items())


def _decide(forwarder: Forwarder, now: float, events: list[Event]) -> list[WireAction]:
    try:
        actions: list[Action] = forwarder.handle(now, events)
    except Exception as error:  # is sent as a `Fault`, at which the simulator ends the run
        return [_fault(error)]
    return [*actions]


def _fault(error: Exception) -> Fault:
    return Fault(f"{type(error).__name__}: {error}")


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Handle frames until the input ends; raises WireError at invalid input."""
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.handle_frame(frame))
        sink.flush()


def main() -> int:
    """Serve standard input and output; invalid input is reported on standard error."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"emberlatch.simlink.adapter: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
