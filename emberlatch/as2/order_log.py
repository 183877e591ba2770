"""The orders that partners sent, on disk, so that a repeated order is recognized, even after a restart."""

from __future__ import annotations

import logging
from collections.abc import Container

from emberlatch.as2 import orders
from emberlatch.as2.orders import Order
from emberlatch.store.state_log import State, StateLog

log = logging.getLogger("emberlatch.as2.front")  # Operators search log lines for this name.

EXPIRY_BATCH = 200  # number of orders that one call checks for expiry


class OrderLog:
    """Stores each order for `retention_s` seconds after it was received. Times are Unix time in seconds."""

    def __init__(self, store: StateLog, retention_s: float) -> None:
        self.retention_s = retention_s
        self._store = store
        self._expiry_queue: list[str] = []

    def recover(self, journaled: Container[str]) -> list[Order]:
        """Load the orders, and return those with undelivered asynchronous receipts; raises OSError.

        An order that was pending at a crash is accepted if its id is in `journaled`, else removed.
        """
        self._store.load()
        with_pending_receipt = []
        for key, state in list(self._store.states.items()):
            order = _recovered(key, state, journaled)
            if order is None:
                self._store.remove(key)
                continue
            if not orders.is_accepted(state):
                self._store.put(key, order.document())
            if order.receipt_pending:
                with_pending_receipt.append(order)
        return with_pending_receipt

    @property
    def pending_receipts(self) -> int:
        """The number of undelivered asynchronous receipts."""
        return sum(1 for state in self._store.states.values() if orders.has_pending_receipt(state))

    def find(self, order: Order) -> Order | None:
        """Return the stored order with the same sender and Message-ID; None if there is none."""
        state = self._store.states.get(order.storage_key)
        return orders.read(state) if state is not None else None

    def put(self, order: Order, now: float) -> None:
        """Record an order; raises OSError."""
        for state in self._store.put(order.storage_key, order.document()).values():
            lost = orders.read(state)
            if not orders.is_expired(lost, now, self.retention_s):
                log.warning(
                    "no space for orders: %s from %s is deleted before it expires",
                    lost.message_id,
                    lost.partner,
                )

    def update(self, order: Order, now: float) -> None:
        """Record an accepted order; if that fails, keep it in memory only."""
        try:
            self.put(order, now)
        except OSError as error:
            # The journal is durable: after a restart it shows which pending orders were accepted.
            log.error("orders cannot be recorded: %s", error)
            self._store.states[order.storage_key] = order.document()

    def forget(self, order: Order) -> None:
        """Remove an order; a later one with the same Message-ID is handled as new."""
        try:
            self._store.remove(order.storage_key)
        except OSError as error:
            log.error("orders cannot be recorded: %s", error)

    def expire(self, now: float) -> None:
        """Remove orders that have expired, checking at most EXPIRY_BATCH in each call."""
        if not self._expiry_queue:
            self._expiry_queue = list(self._store.states)
        for _ in range(min(EXPIRY_BATCH, len(self._expiry_queue))):
            state = self._store.states.get(self._expiry_queue.pop())
            if state is None:
                continue
            order = orders.read(state)
            if orders.is_expired(order, now, self.retention_s):
                self.forget(order)


def _recovered(key: str, state: State, journaled: Container[str]) -> Order | None:
    """Decode a stored order after a restart; return None if it was not accepted or can't be read."""
    try:
        return orders.resolve_pending(orders.read(state), journaled)
    except TypeError as error:
        log.warning("orders: record of %r cannot be read: %r", key, error)
        return None
