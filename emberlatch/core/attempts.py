"""Decides whether a message's category allows another attempt or a rejection."""

from __future__ import annotations

from emberlatch.core.context import Context
from emberlatch.core.records import Endpoint, Message
from emberlatch.core.settings import Effect, Scope

# Safety margin of the dedup window: a repeated attempt must reach the endpoint at least this long before the
# endpoint drops the idempotency key.
DEDUP_MARGIN_S = 0.1


class AttemptPolicy:
    """Decides whether a message may be sent again, and whether it may be rejected.

    Both depend on whether an earlier attempt of the message may have been executed.

    Has no state of its own.
    """

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    def may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """Return whether the message's next attempt may go to this endpoint."""
        if message.call is not None or message.attempts >= message.max_attempts:
            return False
        unknown, category = message.unknown_outcomes, message.category
        if not unknown:
            return True
        if category.effect is not Effect.KEYED:
            return category.effect is Effect.SAFE
        if category.scope is not Scope.ALL:
            zone = endpoint.entry.zone if category.scope is Scope.ZONE else None
            target = endpoint.entry.target
            if not all(attempt.target == target or attempt.zone == zone for attempt in unknown):
                return False
        return self.is_within_dedup_window(message)

    def is_within_dedup_window(self, message: Message) -> bool:
        """Return whether endpoints will still recognize the keys of all attempts with an unknown outcome."""
        context = self._context
        latest = context.now + DEDUP_MARGIN_S + 2 * context.settings.decision_interval
        window = message.category.dedup_window
        return all(latest < attempt.sent_at + window for attempt in message.unknown_outcomes)

    def may_reject(self, message: Message) -> bool:
        """Return whether the message may be rejected.

        A rejection promises the client that submitting the message again is safe.
        """
        category = message.category
        if message.call is not None:
            return False
        if not message.unknown_outcomes or category.effect is Effect.SAFE:
            return True
        if category.effect is not Effect.KEYED or category.scope is not Scope.ALL:
            return False
        return self.is_within_dedup_window(message)

    def allows_another_attempt(self, message: Message) -> bool:
        """Return whether the category allows another attempt.

        The result does not depend on the endpoints listed now: a suitable one may be listed at any time.
        """
        if message.attempts >= message.max_attempts:
            return False
        effect = message.category.effect
        if effect is Effect.SAFE or not message.unknown_outcomes:
            return True
        return effect is Effect.KEYED and self.is_within_dedup_window(message)

    def tolerates_unknown_outcome(self, message: Message) -> bool:
        """Return whether another attempt is possible if the attempt in flight may have been executed."""
        has_remaining_attempt = message.attempts < message.max_attempts
        return has_remaining_attempt and message.category.effect is not Effect.UNSAFE
