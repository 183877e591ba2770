"""The frames that members exchange. A frame is a MessagePack array after its length in 4 bytes, big-endian.

The first item of an array is the frame's tag. The tags and the order of fields are the wire format and must
not change, because members of different releases run side by side; field names are not sent. `decode` raises
FrameError for data that exceeds a limit or can't be decoded.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum

import msgspec

from emberlatch.core.interface import Phase
from emberlatch.fleet.errors import FrameError

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
MAX_FRAME_BYTES = 256 * 1024  # enough for a membership table of 4,000 members
MAX_NAME_CHARS = 64
MAX_LIST_ITEMS = 5_000  # in each list of a frame
MAX_INCARNATION = 1 << 62
MAX_HOLD_S = 1e6
MAX_REPORT_AGE_S = 1e9


class MemberState(IntEnum):
    """The state of a member in another member's view. In one incarnation, higher values supersede lower."""

    JOINING = 0  # configured, but no update on it has been received
    ALIVE = 1
    SUSPECT = 2
    UNREACHABLE = 3
    LEFT = 4


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A statement about a member that members pass on to each other.

    `incarnation` increases with each process of the member and with each refutation. `run_id` is the random
    id of the process, or empty if unknown. `suspected_by` is the member that suspects the named one.
    """

    name: str
    state: MemberState
    incarnation: int
    run_id: str = ""
    suspected_by: str = ""


class EndpointHold(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint's request (Retry-After) not to call it for `remaining_s` after the frame is sent."""

    target: str
    remaining_s: float


class EndpointReport(msgspec.Struct, array_like=True, frozen=True):
    """The phase of an endpoint in a member's endpoint list, unchanged there for `age_s` seconds."""

    target: str
    phase: Phase
    age_s: float


class Frame(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """The base of all frames."""


class Handshake(Frame, frozen=True, tag=1):
    """The first frame in each direction; sent again when the sender's incarnation changes."""

    fleet: str
    name: str
    incarnation: int
    run_id: str
    version: int = PROTOCOL_VERSION
    member_count: int = 0  # members in the sender's configuration


class Ping(Frame, frozen=True, tag=2):
    """A probe; the receiver answers with an Ack of the same sequence number."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(Frame, frozen=True, tag=3):
    """The answer to a Ping or a PingRequest; for the latter, `answered_by` is the member that was pinged."""

    sequence: int
    answered_by: str = ""
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(Frame, frozen=True, tag=4):
    """A request to ping `target` on the sender's behalf: an indirect probe."""

    sequence: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


class Nack(Frame, frozen=True, tag=5):
    """Sent by a relay if the target of a PingRequest did not answer; the relay and the link to it work."""

    sequence: int


class Gossip(Frame, frozen=True, tag=6):
    """Updates that are sent without a probe."""

    updates: tuple[MemberUpdate, ...] = ()


class Digest(Frame, frozen=True, tag=7):
    """A hash of the sender's membership table; a receiver whose hash differs starts an exchange of tables."""

    value: str


class MembershipTable(Frame, frozen=True, tag=8):
    """The sender's view of all members; `reply_requested` asks the receiver for its table."""

    updates: tuple[MemberUpdate, ...]
    reply_requested: bool = False
    member_count: int = 0  # members in the sender's configuration


class EndpointUpdates(Frame, frozen=True, tag=9):
    """Holds that endpoints asked for, and reports of endpoints that are draining, gone or ready again."""

    holds: tuple[EndpointHold, ...] = ()
    reports: tuple[EndpointReport, ...] = ()


AnyFrame = Handshake | Ping | Ack | PingRequest | Nack | Gossip | Digest | MembershipTable | EndpointUpdates
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: Frame) -> bytes:
    """Return a frame as bytes, preceded by its length."""
    body = _ENCODER.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Decodes frames from a stream of bytes, and buffers an incomplete frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[AnyFrame]:
        """Yield the frames that are complete with `data`; raises FrameError."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if not 0 < size <= MAX_FRAME_BYTES:
                raise FrameError(f"frame length is {size} bytes, expected 1 to {MAX_FRAME_BYTES}")
            end = LENGTH_BYTES + size
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            yield decode(body)


def decode(body: bytes) -> AnyFrame:
    """Decode the bytes of one frame, without the length before it; raises FrameError."""
    try:
        frame = _DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise FrameError(f"cannot decode a frame of {len(body)} bytes: {error}") from error
    match frame:
        case Ping(updates=updates) | Ack(updates=updates) | PingRequest(updates=updates):
            _check_members(updates)
        case Gossip(updates=updates) | MembershipTable(updates=updates):
            _check_members(updates)
        case EndpointUpdates():
            _check_endpoints(frame)
        case _:
            pass
    return frame


def _check_members(updates: tuple[MemberUpdate, ...]) -> None:
    if len(updates) > MAX_LIST_ITEMS:
        raise FrameError(f"frame has {len(updates)} member updates, expected at most {MAX_LIST_ITEMS}")
    for update in updates:
        if not update.name or len(update.name) > MAX_NAME_CHARS:
            raise FrameError(f"member name has {len(update.name)} characters, expected 1 to {MAX_NAME_CHARS}")
        if not 0 <= update.incarnation < MAX_INCARNATION:
            raise FrameError(
                f"incarnation of {update.name!r} is {update.incarnation}, expected 0 to {MAX_INCARNATION - 1}"
            )


def _check_endpoints(frame: EndpointUpdates) -> None:
    if len(frame.holds) > MAX_LIST_ITEMS or len(frame.reports) > MAX_LIST_ITEMS:
        raise FrameError(
            f"frame has {len(frame.holds)} holds and {len(frame.reports)} reports,"
            f" expected at most {MAX_LIST_ITEMS} of each"
        )
    if not all(0 <= hold.remaining_s < MAX_HOLD_S for hold in frame.holds):
        raise FrameError(f"remaining time of a hold is not from 0 to {MAX_HOLD_S:g} s")
    if not all(0 <= report.age_s < MAX_REPORT_AGE_S for report in frame.reports):
        raise FrameError(f"age of an endpoint report is not from 0 to {MAX_REPORT_AGE_S:g} s")
