"""Requests and replies of the message store's calls between processes. Pure: no disk, no clock, no network.

Each type has the methods `to_wire` and `from_wire`. `from_wire` raises `MessageDecodeError` for a payload of
another form. The keys and the order of items on the wire must not change: versions of the program run
side by side.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Self, cast

from emberlatch.cluster.message_store.record import MessageState, Record, WireRecord
from emberlatch.cluster.message_store.wire_items import DECODE_ERRORS, wire_items
from emberlatch.cluster.rpc.errors import MessageDecodeError


@dataclass(frozen=True, slots=True)
class SubmittedMessage:
    """A message as a client submits it. `delay_s` and `retention_s` count from when the client sent it."""

    id: str
    host: str
    method: str
    path: str
    content_type: str
    body: bytes
    delay_s: float
    retention_s: float
    config_revision: int


@dataclass(frozen=True, slots=True)
class AcceptRequest:
    """Request of ACCEPT: asks the receiver to make a message durable and to become its owner.

    `age_s` is the number of seconds since the client sent the message. `possible_holders` are the stores that
    may have accepted it in one of the `prior_attempts` to submit it for the same client.
    """

    message: SubmittedMessage
    age_s: float
    prior_attempts: int
    possible_holders: list[str]

    def to_wire(self) -> dict[str, object]:
        """Return the wire form."""
        message = self.message
        return {
            "id": message.id, "host": message.host, "method": message.method, "path": message.path,
            "content": message.content_type, "body": message.body, "age": self.age_s,
            "delay": message.delay_s, "retention": message.retention_s, "version": message.config_revision,
            "tries": self.prior_attempts, "maybe": self.possible_holders,
        }  # fmt: skip

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        fields = cast("dict[str, Any]", payload)
        try:
            message = SubmittedMessage(
                str(fields["id"]), fields["host"], fields["method"], fields["path"], fields["content"],
                fields["body"], fields["delay"], fields["retention"], fields["version"],
            )  # fmt: skip
            return cls(message, fields["age"], int(fields["tries"]), fields.get("maybe") or [])
        except DECODE_ERRORS as error:
            raise MessageDecodeError("accept request", repr(error)) from error


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Reply to ACCEPT: whether the message was accepted.

    If it was not, the reply has the reason, and says whether delivery is ruled out.
    """

    accepted: bool
    surely_not_executed: bool = False
    reason: str = ""

    def to_wire(self) -> dict[str, object]:
        """Return the wire form."""
        return {"ok": self.accepted, "clear": self.surely_not_executed, "why": self.reason}

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        fields = cast("dict[str, Any]", payload)
        try:
            return cls(bool(fields["ok"]), bool(fields["clear"]), str(fields["why"]))
        except DECODE_ERRORS as error:
            raise MessageDecodeError("accept reply", repr(error)) from error


@dataclass(frozen=True, slots=True)
class StateReport:
    """The state of a record without its content.

    Request and reply of PROBE; a COMMIT_STATE request contains several reports.
    """

    id: str
    state: MessageState
    seal: str
    epoch: int
    owner: str
    attempts: int

    def to_wire(self) -> list[object]:
        """Return the wire form."""
        return [self.id, int(self.state), self.seal, self.epoch, self.owner, self.attempts]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            id, state, seal, epoch, owner, attempts = cast("list[Any]", payload)
            return cls(str(id), MessageState(state), str(seal), int(epoch), str(owner), int(attempts))
        except DECODE_ERRORS as error:
            raise MessageDecodeError("state report", repr(error)) from error


@dataclass(frozen=True, slots=True)
class CommitStateRequest:
    """Request of COMMIT_STATE: how messages ended, or who owns them."""

    reports: tuple[StateReport, ...]

    def to_wire(self) -> list[list[object]]:
        """Return the wire form."""
        return [report.to_wire() for report in self.reports]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        return cls(tuple(map(StateReport.from_wire, wire_items("commit of states", payload))))


@dataclass(frozen=True, slots=True)
class DurableReply:
    """Reply to COMMIT_STATE and REPAIR: whether all that was sent is on the receiver's disk."""

    durable: bool

    def to_wire(self) -> bool:
        """Return the wire form."""
        return self.durable

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        return cls(bool(payload))


class ReplicateReply(IntEnum):
    """Reply to REPLICATE: whether the receiver has the copy on its disk."""

    REJECTED = 0  # nothing of the copy was written
    UNCERTAIN = 1  # the copy may be stored, now or later
    DURABLE = 2  # the copy is on the receiver's disk

    def to_wire(self) -> int:
        """Return the wire form."""
        return int(self)

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            return cls(cast("int", payload))
        except ValueError as error:
            raise MessageDecodeError("replicate reply", repr(error)) from error


@dataclass(frozen=True, slots=True)
class MessageQuery:
    """Request of MESSAGE_STATE and MESSAGE_BODY: the id of the message."""

    id: str

    def to_wire(self) -> str:
        """Return the wire form."""
        return self.id

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        if not isinstance(payload, str):
            raise MessageDecodeError("message query", f"{payload!r:.40} is no id")
        return cls(payload)


@dataclass(frozen=True, slots=True)
class MessageStatus:
    """Reply to MESSAGE_STATE: the name of the message's state, and its seal.

    The name is one of `STATE_NAMES`. The seal is the target's proof of execution; only completed messages
    have one.
    """

    name: str
    seal: str

    def to_wire(self) -> list[str]:
        """Return the wire form."""
        return [self.name, self.seal]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            name, seal = cast("list[Any]", payload)
            return cls(str(name), str(seal))
        except DECODE_ERRORS as error:
            raise MessageDecodeError("message status", repr(error)) from error


@dataclass(frozen=True, slots=True)
class MessageBody:
    """Reply to MESSAGE_BODY: the body; None if the message is unknown, cancelled or completed."""

    body: bytes | None

    def to_wire(self) -> bytes | None:
        """Return the wire form."""
        return self.body

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        if payload is not None and not isinstance(payload, bytes):
            raise MessageDecodeError("message body", f"{payload!r:.40} are no bytes")
        return cls(payload)


@dataclass(frozen=True, slots=True)
class MessageIds:
    """Ids of messages. In a RECORDS request: the requested records.

    In the reply to ASSUME_OWNERSHIP: the messages whose ownership the receiver rejects.
    """

    ids: tuple[str, ...]

    def to_wire(self) -> list[str]:
        """Return the wire form."""
        return list(self.ids)

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        return cls(tuple(map(str, wire_items("ids", payload))))


@dataclass(frozen=True, slots=True)
class RangeDigests:
    """Request of DIGEST_RANGES: the caller's digests, one for each range of ids.

    They cover the records of which both the caller and the receiver are replicas.
    """

    digests: tuple[int, ...]

    def to_wire(self) -> list[int]:
        """Return the wire form."""
        return list(self.digests)

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        return cls(tuple(cast("list[int]", wire_items("range digests", payload))))


CopySummary = list[Any]
"""State, epoch and owner of a copy, in wire form."""


@dataclass(frozen=True, slots=True)
class RangeDifferences:
    """Reply to DIGEST_RANGES: the ranges whose digests differ, and the receiver's records in them.

    `summaries` has a summary of each of these records, by id. The summaries stay in wire form, as there can
    be hundreds of thousands of them.
    """

    ranges: list[int]
    summaries: dict[str, CopySummary]

    def to_wire(self) -> dict[str, object]:
        """Return the wire form."""
        return {"differ": self.ranges, "summary": self.summaries}

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        fields = cast("dict[str, Any]", payload)
        try:
            return cls(list(fields["differ"]), dict(fields["summary"]))
        except DECODE_ERRORS as error:
            raise MessageDecodeError("range differences", repr(error)) from error


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Request of REPAIR and reply to RECORDS: records with their content, in wire form."""

    records: list[WireRecord]

    def to_wire(self) -> list[WireRecord]:
        """Return the wire form."""
        return self.records

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        return cls(cast("list[WireRecord]", wire_items("record batch", payload)))

    def decode(self, now: float) -> list[Record]:
        """Return the decoded records; `now` is added to their relative times."""
        return [Record.from_wire(record, now) for record in self.records]
