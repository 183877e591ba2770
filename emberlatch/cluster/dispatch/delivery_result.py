"""Classification of target responses by their meaning for the delivered message; pure functions."""

from __future__ import annotations

from enum import Enum

from emberlatch.core.interface import Result


class DeliveryResult(Enum):
    """Meaning of a response for the delivery attempt."""

    COMPLETED = "completed"  # a 2xx status with a seal
    ATTEMPT_FAILED = "attempt failed"  # the message was executed and failed; it may be retried
    REJECTED_PERMANENTLY = "rejected permanently"  # no retry can succeed
    OVERLOADED = (
        "overloaded"  # not executed: 429, 503, or an unclassified status with the not-executed header
    )
    STILL_RUNNING = "still running"  # not executed: an earlier attempt is still running
    WRONG_INSTANCE = "wrong instance"  # not executed: another instance listens at the address
    UNKNOWN = "unknown"  # the message may have been executed


MODULE_RESULTS: dict[DeliveryResult, tuple[Result, bool]] = {
    DeliveryResult.COMPLETED: (Result.OK, True),
    # The target is healthy although the attempt failed. A retry is offered to the module under a new `ref`.
    DeliveryResult.ATTEMPT_FAILED: (Result.OK, True),
    DeliveryResult.REJECTED_PERMANENTLY: (Result.OK, True),
    DeliveryResult.OVERLOADED: (Result.FULL, False),
    DeliveryResult.STILL_RUNNING: (Result.OK, True),
    DeliveryResult.WRONG_INSTANCE: (Result.NOT_EXECUTED, False),
    DeliveryResult.UNKNOWN: (Result.ERROR, False),
}
"""The decision module's result for each delivery result, and whether the delivery leaves the module."""


def classify_response(status: int, seal: str, not_executed: bool) -> DeliveryResult:
    """Return the delivery result of a response.

    `seal` is the target's proof of execution, empty if there is none; `not_executed` is true if the target
    states that it did not execute the message. A 2xx status without a seal does not prove success.
    """
    if 200 <= status < 300 and seal:
        return DeliveryResult.COMPLETED
    if status == 500:
        return DeliveryResult.ATTEMPT_FAILED
    if status == 422:
        return DeliveryResult.REJECTED_PERMANENTLY
    if status == 421:
        return DeliveryResult.WRONG_INSTANCE
    if status == 409 and not_executed:
        return DeliveryResult.STILL_RUNNING
    if not_executed or status in (429, 503):
        return DeliveryResult.OVERLOADED
    return DeliveryResult.UNKNOWN
