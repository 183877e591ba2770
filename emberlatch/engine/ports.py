"""The ports of the engine: how messages are submitted and sent, and how their completion is notified.

The engine owns a message from its submission until its completion notice is confirmed. An adapter behind a
port translates between a protocol and the types of this module, and makes no decisions. All code here runs on
one event loop: the methods of a port return without blocking, and the adapter reports results later through
the engine's `submit`, `on_attempt_outcome`, `on_membership_update` and `on_notices_confirmed`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NotRequired, Protocol, TypedDict

from emberlatch.core.interface import Entry, Target

Address = tuple[str, int]
"""Host and port of a TCP peer."""

Addresses = Mapping[Target, Address]
"""The addresses of the endpoints of a membership update."""

AttemptKey = tuple[int, int]
"""The reference of a message, and the number of one of its attempts, counted from 0."""


class CompletionNotice(TypedDict):
    """How a message was completed. The keys are those of the JSON on the wire and in the journal."""

    ref: str
    """The message's id."""
    result: str
    """`delivered`, `bounced` (not executed, may be submitted again) or `dead` (abandoned)."""
    wait_ms: NotRequired[int]
    """Milliseconds after which a bounced message may be submitted again; absent in other notices."""


class BadMessageError(ValueError):
    """A submission is invalid; the text states the reason for the sender."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A message as an ingress received it."""

    id: str
    key: str
    category: str
    tenant: str
    destination: int
    remaining: float
    """Seconds from the arrival of the submission until the deadline of the message."""
    body: bytes
    resubmitted: bool = False
    """Whether the sender submits the message again after a rejection."""
    inherited: bool = False
    """Whether the sender submitted the message before to a forwarder that failed or did not answer."""


class SubmissionResponder(Protocol):
    """Sends the response to one submission: exactly one of its methods is called, exactly once."""

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected."""

    def respond_accepted(self) -> None:
        """Respond that the message is in the journal and that its completion will be notified."""

    def respond_rejected(self, retry_after: float) -> None:
        """Respond that the message is rejected and may be submitted again after `retry_after` seconds."""

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        """Respond that the message can't be accepted now and is not stored. `retry_after` is in seconds."""

    def respond_failed(self) -> None:
        """Respond that the message failed and must not be submitted again."""


class ReceivedHandover(Protocol):
    """The state that a process received from its predecessor."""

    @property
    def module(self) -> Mapping[str, object]:
        """The state of the decision module (`Forwarder.handover_state`)."""

    @property
    def relayed(self) -> Sequence[tuple[int, int, Target]]:
        """Message reference, attempt number and target of each attempt in flight in the predecessor."""

    def confirm_ownership(self) -> None:
        """Notify the predecessor that this process owns the messages from now on."""


class Ingress(Protocol):
    """Receives messages and passes each to `Engine.submit`."""

    def start(self) -> None:
        """Start to accept messages; raises OSError if the listening socket cannot be opened."""

    def stop(self) -> None:
        """Begin a graceful shutdown: serve new requests, but ask clients to disconnect."""

    def close_listener(self) -> None:
        """Accept no new connections."""

    @property
    def has_clients(self) -> bool:
        """Whether any client that could submit a message is connected."""


@dataclass(frozen=True, slots=True)
class CallItem:
    """One attempt of one message in a call."""

    ref: int
    attempt: int
    id: str
    key: str
    body: bytes
    timeout: float
    """Seconds to wait for the outcome of the attempt."""


class Carrier(Protocol):
    """Sends calls to endpoints.

    Reports one `Outcome` for each item of each call to `Engine.on_attempt_outcome`.
    """

    @property
    def in_flight(self) -> int:
        """The number of calls without an outcome."""

    def update(self, entries: Sequence[Entry], addresses: Addresses, is_complete: bool, /) -> None:
        """Apply a membership update; `is_complete` states that `entries` is the complete list.

        Nothing is sent to a draining or removed endpoint after its grace period (`drain_grace` in the rules).
        """

    def entry(self, target: Target) -> Entry | None:
        """Return the entry of an endpoint that is listed or has a call in flight, else None."""

    def call(self, target: Target, items: list[CallItem]) -> None:
        """Start one call."""

    def cancel(self, ref: int, attempt: int) -> None:
        """Stop waiting for an attempt that was sent; it may have been executed."""

    def close_idle(self, target: Target) -> None:
        """Close the idle connections to an endpoint."""


class Membership(Protocol):
    """Reports the endpoints and changes to them to `Engine.on_membership_update`."""

    def start(self) -> None:
        """Report the list of endpoints that is known at the start."""

    def set_watching(self, active: bool) -> None:
        """Start or stop reporting changes."""

    def request_list(self) -> None:
        """Request the complete list once."""


class CompletionNotifier(Protocol):
    """Sends completion notices to the senders.

    Reports each confirmed notice to `Engine.on_notices_confirmed`.
    """

    notifies_deliveries: bool
    """Whether notices are also sent for delivered messages.

    If not, a delivered message is removed as soon as its endpoint has accepted it.
    """

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """Send a notice repeatedly until it is confirmed."""

    @property
    def pending(self) -> bool:
        """Whether any notice is unconfirmed."""


class EnginePortsError(RuntimeError):
    """An engine was used before `Engine.connect`, or connected twice; the text states which."""


@dataclass(frozen=True, slots=True)
class EnginePorts:
    """All ports of one engine. They are connected together, so that an engine has either all or none."""

    ingresses: Sequence[Ingress]
    """Started in this order once the journal is read; empty if messages are only submitted in-process."""
    carrier: Carrier
    membership: Membership
    notifier: CompletionNotifier
