"""Deduplication of at-most-once calls: the receiver retains each call for as long as a duplicate may arrive.

The number of calls and the total size of the retained responses are bounded; the oldest calls are dropped
first. A response that exceeds `MAX_RESPONSE_BYTES` is not retained. A duplicate of such a call
does not run, and gets no response. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

RETENTION_S = 10.0  # longer than any caller waits for a response
MAX_CALLS = 8192
MAX_RESPONSE_BYTES = 16 * 1024  # limit for one retained response
MAX_RETAINED_BYTES = 4 * 1024 * 1024  # limit for all retained responses together


@dataclass(frozen=True, slots=True)
class CallKey:
    """Identifies a request. One incarnation of a node never reuses a number."""

    node: str
    incarnation: int
    number: int


@dataclass(slots=True)
class _Call:
    started_at: float
    response: bytes | None = None  # the encoded frame; None while the call runs, or if it is not retained


@dataclass(frozen=True, slots=True)
class DuplicateCall:
    """A call that was received before.

    `response` is the encoded frame; None while the call runs, or if the response is not retained.
    """

    response: bytes | None


class CompletedCalls:
    """The calls that this process has started or completed. Times are loop times in seconds."""

    def __init__(self) -> None:
        self._calls: OrderedDict[CallKey, _Call] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        """The number of retained calls."""
        return len(self._calls)

    def begin(self, key: CallKey, now: float) -> DuplicateCall | None:
        """Register a call that is about to run.

        Return a DuplicateCall if the call was received before and must not run again; None otherwise.
        """
        self._expire(now)
        known = self._calls.get(key)
        if known is not None:
            return DuplicateCall(known.response)
        self._calls[key] = _Call(now)
        while len(self._calls) > MAX_CALLS:
            self._drop_oldest()
        return None

    def finish(self, key: CallKey, response: bytes) -> None:
        """Retain the encoded response for duplicates of the call."""
        call = self._calls.get(key)
        if call is None or call.response is not None or len(response) > MAX_RESPONSE_BYTES:
            return
        call.response = response
        self._bytes += len(response)
        while self._bytes > MAX_RETAINED_BYTES:
            self._drop_oldest()

    def _expire(self, now: float) -> None:
        while self._calls and now - next(iter(self._calls.values())).started_at > RETENTION_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, call = self._calls.popitem(last=False)
        self._bytes -= len(call.response or b"")
