"""Receives the engine's answer to a partner's order, and notifies the front end that submitted the order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from emberlatch.as2.orders import Order
from emberlatch.net.server import Reply

BUSY_RETRY_AFTER_S = 1.0
"""Retry-After, in seconds, if the same order is being submitted or an order can't be accepted or stored."""


@dataclass(frozen=True, slots=True)
class ReceiptRequest:
    """The receipt that a message requests."""

    is_requested: bool = False
    digest: str = ""  # the digest of the receipt's signature; empty for an unsigned receipt
    asynchronous: bool = False  # whether the receipt is sent on a separate connection


class OrderObserver(Protocol):
    """The submitter of an order, which is notified of the engine's answer."""

    def on_accepted(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        """The order is in the journal."""

    def on_rejected(self, order: Order) -> None:
        """The engine has rejected the order, and a repetition counts as a new order."""

    def on_failed(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        """The engine has failed the order after its submission."""


class OrderReply:
    """Receives the engine's answer to one order."""

    def __init__(
        self, observer: OrderObserver, order: Order, receipt_request: ReceiptRequest, reply: Reply
    ) -> None:
        self._observer, self._order = observer, order
        self._receipt_request, self._reply = receipt_request, reply

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has closed its connection."""
        return self._reply.client_disconnected

    def respond_accepted(self) -> None:
        """Report that the order is in the journal."""
        self._observer.on_accepted(self._order, self._receipt_request, self._reply)

    def respond_rejected(self, retry_after: float) -> None:
        """Report that the order exceeds a limit, and answer 503."""
        self._observer.on_rejected(self._order)
        self._reply.send(503, retry_after)

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        """Report that the engine can't accept orders at present, and answer 503."""
        self._observer.on_rejected(self._order)
        self._reply.send(503, retry_after if retry_after is not None else BUSY_RETRY_AFTER_S)

    def respond_failed(self) -> None:
        """Report that the engine has failed the order."""
        self._observer.on_failed(self._order, self._receipt_request, self._reply)
