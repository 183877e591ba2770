"""The commands and answers of the control socket, with the keys of their JSON objects.

Operators' scripts read the keys (`--json`), so the keys must not change. A field may have another name than
its key.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TypeVar

import msgspec

JsonObject = dict[str, object]

ERROR = "error"
"""The only key of the answer to a command that failed or is unknown."""

AnswerT = TypeVar("AnswerT", bound=msgspec.Struct)


class Command(StrEnum):
    """The commands of a running gateway."""

    STATUS = "status"
    RELOAD = "reload"
    FLEET = "fleet"
    LEAVE = "leave"


class InventoryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The current inventory, and why changed files are not in use yet."""

    digest: str = msgspec.field(name="set")
    taken_at: float = msgspec.field(name="taken")
    """Unix time, in seconds, from which the inventory was used."""
    endpoints: int
    unstable_files: dict[str, str] = msgspec.field(name="waiting")
    """Path of each changed file that has not been read yet -> the reason."""
    problems: list[str]


class ReloadAnswer(InventoryAnswer, frozen=True, kw_only=True):
    """The result of reloading the inventory files."""

    changed: bool


class LeaveAnswer(msgspec.Struct, frozen=True):
    """The gateway has begun to leave its fleet and to stop."""

    leaving: bool = True


class EndpointAnswer(msgspec.Struct, frozen=True):
    """An endpoint of a route."""

    target: str
    phase: str


class RouteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A route to one or more endpoints. Times are in seconds."""

    endpoints: list[EndpointAnswer]
    state: str
    retry_after_s: float = msgspec.field(name="wait")
    recent_latency_s: float = msgspec.field(name="recent")


class PoolAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The pool of one destination. Times are in seconds.

    A pool is listed only if it is in use or if one of its endpoints gets no calls.
    """

    partner: str
    destination: int
    leases: int
    queued: int = msgspec.field(name="waiting")
    usual_latency_s: float = msgspec.field(name="normal")
    routes: list[RouteAnswer]


class As2Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a gateway's AS2 parts."""

    name: str
    messages: int
    disputes: int
    pending_receipts: int = msgspec.field(name="receipts_owed")
    expiring_certificates: list[str] = msgspec.field(name="renew")


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The status of a gateway."""

    inventory: InventoryAnswer
    in_flight: int = msgspec.field(name="held")
    """The number of messages that have no outcome yet."""
    unconfirmed_outcomes: int = msgspec.field(name="notices_owed")
    slots: int
    free_slots: int = msgspec.field(name="slots_free")
    pools: list[PoolAnswer]
    as2: As2Answer | None = None


class MemberAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One member's view of another member. Times are in seconds."""

    state: str
    generation: int = msgspec.field(name="life")
    state_age_s: float = msgspec.field(name="since")
    last_frame_age_s: float | None = msgspec.field(name="heard")
    """None if the member has sent no frame."""
    is_reached_directly: bool = msgspec.field(name="direct")
    """Whether the member answers direct probes; if not, it answers only probes through other members."""


class FleetAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One member's view of its fleet: the answer that `fleet.status.FleetStatus.to_json` creates."""

    fleet_name: str = msgspec.field(name="fleet")
    member_name: str = msgspec.field(name="me")
    generation: int = msgspec.field(name="life")
    fleet_size: int = msgspec.field(name="size")
    present_count: int = msgspec.field(name="here")
    cut_reason: str = msgspec.field(name="cut")
    """Why this member is isolated; empty while it is in contact with a majority."""
    cut_age_s: float = msgspec.field(name="since")
    quota_share: float = msgspec.field(name="part")
    closed_classes: list[str] = msgspec.field(name="closed")
    connected_names: list[str] = msgspec.field(name="links")
    members: dict[str, MemberAnswer]


def decode(document: JsonObject, answer: type[AnswerT]) -> AnswerT:
    """Convert a JSON object to an answer; raises msgspec.ValidationError, which names the invalid key."""
    return msgspec.convert(document, answer)


def encode(answer: msgspec.Struct) -> JsonObject:
    """Return an answer as a JSON object."""
    document: JsonObject = msgspec.to_builtins(answer)
    return document
