"""What the engine answers to an order that a partner sent, passed on to the front end that submitted it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from emberlatch.as2.orders import Order
from emberlatch.net.server import Reply

BUSY_RETRY_AFTER_S = 1.0  # where the same order is being accepted, or the order can't be stored


@dataclass(frozen=True, slots=True)
class ReceiptRequest:
    """Which receipt a message requests."""

    is_requested: bool = False
    digest: str = ""  # of its signature; empty for an unsigned one
    asynchronous: bool = False  # on a connection of its own


class OrderObserver(Protocol):
    """What submitted an order."""

    def on_accepted(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        """The journal has the order."""

    def on_rejected(self, order: Order) -> None:
        """The engine has rejected the order: it may be sent again as if it were new."""

    def on_failed(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        """The engine has failed the order after it was submitted."""


class OrderReply:
    """Receives the engine's answer to an order."""

    def __init__(
        self, observer: OrderObserver, order: Order, receipt_request: ReceiptRequest, reply: Reply
    ) -> None:
        self._observer, self._order = observer, order
        self._receipt_request, self._reply = receipt_request, reply

    @property
    def gone(self) -> bool:
        """Whether the client has closed its connection."""
        return self._reply.gone

    def accepted(self) -> None:
        """The journal has the order."""
        self._observer.on_accepted(self._order, self._receipt_request, self._reply)

    def rejected(self, retry_after: float) -> None:
        """The order is over a limit."""
        self._observer.on_rejected(self._order)
        self._reply.send(503, retry_after)

    def unavailable(self, retry_after: float | None = None) -> None:
        """The engine can't accept orders at present."""
        self._observer.on_rejected(self._order)
        self._reply.send(503, retry_after if retry_after is not None else BUSY_RETRY_AFTER_S)

    def failed(self) -> None:
        """The engine has failed the order."""
        self._observer.on_failed(self._order, self._receipt_request, self._reply)
