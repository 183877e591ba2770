"""Requests and replies about who owns a message: hand-over and takeover. Pure: no disk, no clock, no network.

The wire forms follow the rules of `messages`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Self, cast

from emberlatch.cluster.message_store.messages import StateReport
from emberlatch.cluster.message_store.wire_items import DECODE_ERRORS, wire_items
from emberlatch.cluster.rpc.errors import MessageDecodeError


@dataclass(frozen=True, slots=True)
class OwnershipOffer:
    """One message in an ASSUME_OWNERSHIP request, with the epoch in which the receiver is to own it."""

    id: str
    epoch: int
    attempts: int

    def to_wire(self) -> list[object]:
        """Return the wire form."""
        return [self.id, self.epoch, self.attempts]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            id, epoch, attempts = cast("list[Any]", payload)
            return cls(str(id), int(epoch), int(attempts))
        except DECODE_ERRORS as error:
            raise MessageDecodeError("ownership offer", repr(error)) from error


@dataclass(frozen=True, slots=True)
class AssumeOwnershipRequest:
    """Request of ASSUME_OWNERSHIP: the owner makes the receiver the owner of these messages."""

    offers: tuple[OwnershipOffer, ...]

    def to_wire(self) -> list[list[object]]:
        """Return the wire form."""
        return [offer.to_wire() for offer in self.offers]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        return cls(tuple(map(OwnershipOffer.from_wire, wire_items("assume ownership", payload))))


@dataclass(frozen=True, slots=True)
class TakeoverCandidate:
    """A message that a store is about to take over, with the epoch of its former owner."""

    id: str
    epoch: int

    def to_wire(self) -> list[object]:
        """Return the wire form."""
        return [self.id, self.epoch]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            id, epoch = cast("list[Any]", payload)
            return cls(str(id), int(epoch))
        except DECODE_ERRORS as error:
            raise MessageDecodeError("takeover candidate", repr(error)) from error


@dataclass(frozen=True, slots=True)
class TakeoverInquiry:
    """Request of TAKEOVER_INQUIRY: `claimant` is about to own these messages, whose owner has stopped."""

    claimant: str
    candidates: tuple[TakeoverCandidate, ...]

    def to_wire(self) -> list[object]:
        """Return the wire form."""
        return [self.claimant, [candidate.to_wire() for candidate in self.candidates]]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            claimant, candidates = cast("list[Any]", payload)
        except DECODE_ERRORS as error:
            raise MessageDecodeError("takeover inquiry", repr(error)) from error
        items = wire_items("takeover inquiry", candidates)
        return cls(str(claimant), tuple(map(TakeoverCandidate.from_wire, items)))


@dataclass(frozen=True, slots=True)
class TakeoverReply:
    """Reply to TAKEOVER_INQUIRY: what the receiver knows of the messages; it has no copy of the others.

    `claimed_ids` are messages that the receiver itself is about to take over: the caller leaves them to it.
    """

    reports: tuple[StateReport, ...]
    claimed_ids: tuple[str, ...]

    def to_wire(self) -> list[object]:
        """Return the wire form."""
        return [[report.to_wire() for report in self.reports], list(self.claimed_ids)]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode the wire form."""
        try:
            reports, claimed_ids = cast("list[Any]", payload)
        except DECODE_ERRORS as error:
            raise MessageDecodeError("takeover reply", repr(error)) from error
        items = wire_items("takeover reply", reports)
        ids = wire_items("takeover reply", claimed_ids)
        return cls(tuple(map(StateReport.from_wire, items)), tuple(map(str, ids)))
