"""A completion notifier that reports each message's final state before it forwards the notice."""

from __future__ import annotations

from collections.abc import Callable

from emberlatch.engine import CompletionNotice, CompletionNotifier

FINAL_STATES = {"delivered": "delivered", "bounced": "refused", "dead": "failed"}
"""The final state in the AS2 ledger, by the result in a completion notice."""


class FinalStateObserver:
    """Wraps another notifier; `on_final_state` is called with the message's `ref` and its final state."""

    def __init__(self, notifier: CompletionNotifier, on_final_state: Callable[[int, str], None]) -> None:
        self._notifier, self._on_final_state = notifier, on_final_state
        self.notifies_deliveries = notifier.notifies_deliveries

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """Report the final state, then forward the notice to the wrapped notifier."""
        self._on_final_state(ref, FINAL_STATES[notice["result"]])
        self._notifier.add(ref, notice)

    @property
    def pending(self) -> bool:
        """Whether the wrapped notifier has undelivered notices."""
        return self._notifier.pending
