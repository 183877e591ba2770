"""Events that the caller passes to a forwarder.

Times are in seconds on the caller's monotonic clock; durations are in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from emberlatch.core.settings import Settings, Terms

Target = bytes
"""Opaque name of an endpoint, chosen by the caller."""


class Result(IntEnum):
    """Result of an attempt or a health check."""

    OK = 100
    ERROR = 301
    FULL = 302
    """The endpoint rejected the attempt for lack of capacity and did not execute it."""
    TIMEOUT = 303
    CONNECT_FAILED = 304
    RESET = 305
    CANCELLED = 306
    NOT_EXECUTED = 307
    """The attempt was not executed, for a reason unrelated to the endpoint's health."""


class Phase(IntEnum):
    """State of an endpoint in the directory."""

    DRAINING = 0
    READY = 1
    REMOVED = 2


class ListKind(IntEnum):
    """Type of a directory update."""

    CACHED = 1
    FAILED = 2
    FULL = 3
    DELTA = 4


@dataclass(frozen=True, slots=True)
class Entry:
    """An endpoint as the directory lists it.

    `needs_slow_start`: the endpoint is known to be new, so its call rate must grow gradually.
    """

    target: Target
    destination: int
    phase: Phase = Phase.READY
    kind: int = 0
    zone: int = 0
    added_at: float = 0.0
    weight: float = 1.0
    needs_slow_start: bool = False
    max_concurrency: float = math.inf
    """Maximum number of calls that the endpoint executes concurrently; infinity if unknown."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client submitted a message, which must get one final answer within `remaining` seconds.

    `key`: messages with the same ordering key are delivered in order; 0: no ordering. `resubmitted`: the
    client has submitted the message before. `inherited`: the message was taken over from a forwarder that
    died or did not answer.
    """

    ref: int
    category: int
    destination: int
    remaining: float
    tenant: int = 0
    key: int = 0
    duration_hint: float | None = None
    resubmitted: bool = False
    is_write: bool = False
    inherited: bool = False


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """An attempt that an earlier incarnation sent `age` seconds ago and that may have been executed."""

    target: Target
    zone: int
    age: float


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A message that an earlier incarnation of this forwarder accepted and did not answer.

    `attempts`: number of the message's next attempt. `unknown_outcomes` include the attempts that were in
    flight when that incarnation ended. `terms`: the terms at acceptance; if None, the current terms of the
    category apply. `relayed`: the last attempt is still in flight in the previous process, so it is not an
    unknown outcome.
    """

    arrival: Arrival
    attempts: int = 0
    unknown_outcomes: tuple[UnknownOutcome, ...] = ()
    terms: Terms | None = None
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """This forwarder continues from `state`, which `handover_state` returned in the previous process.

    The event follows the endpoint list and the recovered messages in the same turn. The calls in the state
    are still in flight; their outcomes arrive as if this forwarder had sent the calls.
    """

    state: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on. Categories may be renumbered; accepted messages keep their terms.

    Settings by which endpoint lists and calls are interpreted (kinds, zones, routes, rules) do not change.
    """

    settings: Settings


@dataclass(frozen=True, slots=True)
class Stopping:
    """The forwarder shuts down at the time `at`; it starts only calls expected to complete by then."""

    at: float


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun."""

    ref: int
    attempt: int
    target: Target
    elapsed: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended.

    `is_final`: the message has its final answer. `retry_after`: seconds for which the endpoint asked to get
    no calls. `report`: values of the `Settings.report_fields`.
    """

    ref: int
    attempt: int
    target: Target
    result: Result
    elapsed: float
    is_final: bool = False
    retry_after: float = 0.0
    note: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A health check has ended."""

    target: Target
    result: Result
    elapsed: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client no longer waits for this message."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer requested by `SetTimer` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """An update of the endpoint list; an update of kind FAILED has no entries.

    `may_miss_changes`: a change that this forwarder has not received may already be in force. The rules of
    the directory permit this.
    """

    kind: ListKind
    version: int
    entries: tuple[Entry, ...] = ()
    may_miss_changes: bool = False


@dataclass(frozen=True, slots=True)
class DirectoryAddressChanged:
    """The directory has a new address, to which no request has been sent yet."""


@dataclass(frozen=True, slots=True)
class PeerRetryAfter:
    """An endpoint asked another forwarder of the same sender to send no calls for `retry_after` from now."""

    target: Target
    retry_after: float


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes received from the forwarder numbered `origin`."""

    origin: int
    data: bytes


Event = (
    Arrival
    | MessageRecovered
    | HandoverReceived
    | SettingsChanged
    | Stopping
    | ResponseStarted
    | Outcome
    | ProbeResult
    | ClientDisconnected
    | TimerFired
    | DirectoryUpdate
    | DirectoryAddressChanged
    | PeerRetryAfter
    | PeerMessage
)
