"""Hosts many forwarders on the simulator's wire: standard input in, standard output out."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from emberlatch.core.interface import Action, Event
from emberlatch.core.rules import Forwarder
from emberlatch.simlink import wire

_LENGTH = struct.Struct("<I")


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read one whole frame, or None at a clean end of input."""
    head = stream.read(_LENGTH.size)
    if not head:
        return None
    if len(head) < _LENGTH.size:
        raise wire.WireError(f"input ended {len(head)} bytes into a frame's length")
    length = _LENGTH.unpack(head)[0]
    if length < wire.HEADER.size:
        raise wire.WireError(f"frame length {length} is under that of its header")
    body = stream.read(length - _LENGTH.size)
    if len(body) < length - _LENGTH.size:
        raise wire.WireError(f"input ended {len(body) + _LENGTH.size} bytes into a frame of {length}")
    return head + body


class Host:
    """The instances that live in this process; they share nothing but the loop."""

    def __init__(self) -> None:
        self._decoder = wire.Decoder()
        self._instances: dict[int, Forwarder] = {}

    def answer(self, frame: bytes) -> bytes:
        """Let every instance named in a frame act on its events; return the reply."""
        now, events = self._decoder.decode(frame)
        pending: dict[int, list[Event]] = {}
        replies: dict[int, list[wire.WireAction]] = {}
        for instance, event in events:
            if isinstance(event, wire.Start | wire.Stop):
                # The earlier life's events of this batch are over: nothing may come of them.
                pending.pop(instance, None)
                self._instances.pop(instance, None)
                if isinstance(event, wire.Start):
                    try:
                        self._instances[instance] = Forwarder(event.settings, event.seed)
                    except Exception as error:  # the module's own failure is the day's last word
                        replies[instance] = [wire.Fault(f"{type(error).__name__}: {error}")]
                    pending[instance] = []
            elif instance not in self._instances:
                raise wire.WireError(f"event for instance {instance}, which has not started")
            else:
                pending.setdefault(instance, []).append(event)
        for instance, own in pending.items():
            forwarder = self._instances.get(instance)
            if forwarder is not None:
                replies[instance] = _decide(forwarder, now, own)
        return wire.encode_reply(replies.items())


def _decide(forwarder: Forwarder, now: float, events: list[Event]) -> list[wire.WireAction]:
    try:
        actions: list[Action] = forwarder.handle(now, events)
    except Exception as error:  # the module's own failure is the day's last word
        return [wire.Fault(f"{type(error).__name__}: {error}")]
    return [*actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends."""
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.answer(frame))
        sink.flush()


def main() -> int:
    """Run on standard input and output; say what was wrong with bad input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"emberlatch.simlink.adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
