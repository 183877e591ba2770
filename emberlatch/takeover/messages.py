"""The messages of a takeover: typed classes, and their encoding in frames.

The keys of a frame must not change when a field is renamed, since the two processes may be of different
versions. A received message is validated before any part of it is used.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import ClassVar

from emberlatch.core.interface import Outcome, Result
from emberlatch.takeover.errors import InvalidMessageError
from emberlatch.takeover.frames import Fields, Frame

VERSION = 1  # version of the state format; a state of another version is rejected

BlockedUntil = tuple[str | int, float]
"""A target (an endpoint) or a destination number, and the time at which its Retry-After ends."""


class MessageKind(StrEnum):
    """The kinds of frames; the values are the texts on the socket."""

    TAKEOVER_REQUEST = "take"
    STATE = "state"
    OWNERSHIP_TAKEN = "have"
    BUSY = "busy"
    CANNOT = "cannot"
    CLIENTS = "clients"
    CONNECTIONS = "connections"
    OUTCOMES = "outcomes"


@dataclass(frozen=True, slots=True)
class TakeoverRequest:
    """The successor asks the owner to hand over.

    `version` may be any value: the owner declines a version other than its own.
    """

    kind: ClassVar[MessageKind] = MessageKind.TAKEOVER_REQUEST
    version: object = VERSION

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {"version": self.version}

    @classmethod
    def from_body(cls, body: Fields) -> TakeoverRequest:
        """Return the request in a frame, of any version."""
        return cls(body.get("version"))


@dataclass(frozen=True, slots=True)
class RequestDeclined:
    """The owner declines the request.

    After BUSY the successor should ask again. After CANNOT it should wait for the lock.
    """

    kind: MessageKind

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {}


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The state of the owner that is not in the journal. Times are in seconds on the monotonic clock.

    Attributes:
        module: the state of the decision module (`Forwarder.handover_state`).
        blocked_until: the endpoints and destinations with a running Retry-After, each with its end time.
        endpoint_list: the endpoint list, in the form in which the directory sends it.
    """

    kind: ClassVar[MessageKind] = MessageKind.STATE
    module: Fields
    blocked_until: Sequence[BlockedUntil]
    endpoint_list: Mapping[str, object]

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {
            "version": VERSION,
            "module": self.module,
            "waits": self.blocked_until,
            "known": self.endpoint_list,
        }

    @classmethod
    def from_body(cls, body: Fields) -> StateSnapshot:
        """Return the state in a frame. Raises InvalidMessageError if a required part is invalid.

        One invalid call in flight invalidates the complete state: if the call were skipped instead, its
        messages could be sent a second time. Send rates and endpoint health are not validated here: the
        decision module validates each of their values when it reads them.
        """
        if (version := body.get("version")) != VERSION:
            raise InvalidMessageError(f"state is in format {version!r}, expected {VERSION}")
        try:
            _validate_module(body["module"])
            blocked_until = [(_scope(scope), float(until)) for scope, until in body["waits"]]
            if not isinstance(body["known"]["members"], list):
                raise InvalidMessageError("`members` of `known` is not a list of targets")
        except (KeyError, TypeError, ValueError) as error:
            raise InvalidMessageError(repr(error)) from error
        return cls(body["module"], blocked_until, body["known"])

    def relayed_attempts(self) -> list[tuple[int, int, bytes]]:
        """Return the message reference, attempt number and target of each attempt in flight."""
        return [
            (ref, attempt, call["target"].encode())
            for call in self.module["calls"]
            for ref, attempt, _ in call["messages"]
        ]


@dataclass(frozen=True, slots=True)
class OwnershipTaken:
    """The successor holds the lock and has read the journal."""

    kind: ClassVar[MessageKind] = MessageKind.OWNERSHIP_TAKEN

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {}


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """A client's connection without a request in progress.

    Attributes:
        data: the bytes read so far of an incomplete request.
        has_answered_request: whether a well-formed request was answered on the connection before.
    """

    data: bytes
    has_answered_request: bool


@dataclass(frozen=True, slots=True)
class ClientConnections:
    """Client connections, one for each descriptor of the frame."""

    kind: ClassVar[MessageKind] = MessageKind.CLIENTS
    clients: tuple[ClientConnection, ...]

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {
            "each": [
                {"data": client.data.decode("latin-1"), "proven": client.has_answered_request}
                for client in self.clients
            ]
        }

    @classmethod
    def from_body(cls, body: Fields) -> ClientConnections:
        """Return the message in a frame. Raises InvalidMessageError if the frame is invalid."""
        try:
            return cls(
                tuple(
                    ClientConnection(each["data"].encode("latin-1"), each["proven"] is True)
                    for each in body.get("each", ())
                )
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidMessageError(f"invalid message about client connections: {error!r}") from error


@dataclass(frozen=True, slots=True)
class TargetConnections:
    """The targets of idle connections, one for each descriptor of the frame."""

    kind: ClassVar[MessageKind] = MessageKind.CONNECTIONS
    targets: tuple[bytes, ...]

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {"each": [target.decode() for target in self.targets]}

    @classmethod
    def from_body(cls, body: Fields) -> TargetConnections:
        """Return the message in a frame. Raises InvalidMessageError if the frame is invalid."""
        try:
            return cls(tuple(target.encode() for target in body.get("each", ())))
        except (KeyError, TypeError, AttributeError) as error:
            raise InvalidMessageError(f"invalid message about target connections: {error!r}") from error


@dataclass(frozen=True, slots=True)
class RelayedOutcomes:
    """Outcomes of attempts that were in flight when ownership changed."""

    kind: ClassVar[MessageKind] = MessageKind.OUTCOMES
    outcomes: tuple[Outcome, ...]

    def to_body(self) -> Fields:
        """Return the fields of the frame."""
        return {"each": [_encode_outcome(outcome) for outcome in self.outcomes]}

    @classmethod
    def from_body(cls, body: Fields) -> RelayedOutcomes:
        """Return the message in a frame. Raises InvalidMessageError if the frame is invalid."""
        try:
            return cls(tuple(_decode_outcome(each) for each in body.get("each", ())))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise InvalidMessageError(f"invalid message about outcomes: {error!r}") from error


RelayMessage = ClientConnections | TargetConnections | RelayedOutcomes


def decode_relay_message(frame: Frame) -> RelayMessage | None:
    """Return the message in a frame that follows the state, or None if its kind is unknown.

    Raises InvalidMessageError if the frame is invalid.
    """
    match frame.kind:
        case MessageKind.CLIENTS:
            return ClientConnections.from_body(frame.body)
        case MessageKind.CONNECTIONS:
            return TargetConnections.from_body(frame.body)
        case MessageKind.OUTCOMES:
            return RelayedOutcomes.from_body(frame.body)
    return None


def _validate_module(module: Fields) -> None:
    for call in module["calls"]:
        str(call["target"]), int(call["destination"]), int(call["kind"]), int(call["zone"])
        float(call["sent"]), bool(call["trial"]), bool(call["judged"])
        for ref, attempt, key in call["messages"]:
            _validate_integer(ref)
            _validate_integer(attempt)
            _validate_integer(key)
    for message in module["messages"]:
        _validate_integer(message["ref"])
    list(module["pools"]), dict(module["short_until"])
    for key, until, ref in module["rests"]:
        _validate_integer(key)
        _validate_integer(ref)
        float(until)


def _validate_integer(value: object) -> None:
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidMessageError(f"{value!r} is not an integer")


def _scope(value: object) -> str | int:
    """Return the endpoint or the destination to which a Retry-After applies."""
    if not isinstance(value, str | int):
        raise InvalidMessageError(f"Retry-After for {value!r}, expected a target or a destination number")
    return value


def _encode_outcome(outcome: Outcome) -> Fields:
    return {
        "ref": outcome.ref,
        "attempt": outcome.attempt,
        "target": outcome.target.decode(),
        "result": int(outcome.result),
        "elapsed": outcome.elapsed,
        "closed": outcome.is_final,
        "hold": outcome.retry_after,
        "note": outcome.note,
        "report": outcome.report,
    }


def _decode_outcome(fields: Fields) -> Outcome:
    return Outcome(
        ref=fields["ref"],
        attempt=fields["attempt"],
        target=fields["target"].encode(),
        result=Result(fields["result"]),
        elapsed=fields["elapsed"],
        is_final=fields["closed"],
        retry_after=fields["hold"],
        note=fields["note"],
        report=tuple(map(float, fields["report"])),
    )
