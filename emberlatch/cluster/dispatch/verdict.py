"""Classification of target responses by their meaning for the delivered message; pure functions."""

from __future__ import annotations

from enum import Enum

from emberlatch.core.interface import Result


class Verdict(Enum):
    """Meaning of a response for the delivery attempt."""

    COMPLETED = "completed"  # a success, with its seal
    ATTEMPT_FAILED = "attempt failed"  # the message was executed and failed; it may be retried
    REJECTED_PERMANENTLY = "rejected permanently"  # no retry can succeed
    OVERLOADED = "overloaded"  # not executed: 429, 503, or another status with the not-executed header
    STILL_RUNNING = "still running"  # not executed: an earlier attempt is still running
    WRONG_INSTANCE = "wrong instance"  # not executed: another instance listens at the address
    UNKNOWN = "unknown"  # the message may have been executed


MODULE_RESULTS: dict[Verdict, tuple[Result, bool]] = {
    Verdict.COMPLETED: (Result.OK, True),
    # This response shows a healthy target. The module's delivery ends; a retry is a new delivery.
    Verdict.ATTEMPT_FAILED: (Result.OK, True),
    Verdict.REJECTED_PERMANENTLY: (Result.OK, True),
    Verdict.OVERLOADED: (Result.FULL, False),
    Verdict.STILL_RUNNING: (Result.OK, True),
    Verdict.WRONG_INSTANCE: (Result.NOT_EXECUTED, False),
    Verdict.UNKNOWN: (Result.ERROR, False),
}
"""The result passed to the decision module for each verdict, and whether its delivery has ended."""


def classify_response(status: int, seal: str, not_executed: bool) -> Verdict:
    """Return the verdict on a response.

    `seal` is the target's proof of execution, empty if there is none; `not_executed` is true if the target
    states that it did not execute the message. A 2xx status without a seal does not prove success.
    """
    if 200 <= status < 300 and seal:
        return Verdict.COMPLETED
    if status == 500:
        return Verdict.ATTEMPT_FAILED
    if status == 422:
        return Verdict.REJECTED_PERMANENTLY
    if status == 421:
        return Verdict.WRONG_INSTANCE
    if status == 409 and not_executed:
        return Verdict.STILL_RUNNING
    if not_executed or status in (429, 503):
        return Verdict.OVERLOADED
    return Verdict.UNKNOWN
