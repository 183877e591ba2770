"""The reasons why messages are dead-lettered, as logged by event 601."""

from __future__ import annotations

from enum import StrEnum

from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.message_store.record import Record


class UndeliverableReason(StrEnum):
    """Why a message was dead-lettered. The values are logged, and operators search the logs for them.

    Records do not contain the reason. docs/system/operators.md explains each reason and its value.
    """

    REJECTED_PERMANENTLY = "422"  # status code of the target's response: no retry can succeed
    ATTEMPTS_EXHAUSTED = "attempts"  # logged with the number of attempts that were answered with 500
    ROUTE_REMOVED = "its route is gone"
    RETENTION_EXPIRED = "retention"


def log_undeliverable(record: Record, reason: UndeliverableReason) -> None:
    """Log that this process, the owner of the message, dead-letters it."""
    exhausted = reason is UndeliverableReason.ATTEMPTS_EXHAUSTED
    log_event(Event.DEAD_LETTERED, record.id, f"{reason}={record.attempts}" if exhausted else str(reason))
