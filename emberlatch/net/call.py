"""A call to a target: one request with one or more messages, each of which gets one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from emberlatch.core.interface import Outcome, Result
from emberlatch.engine import CallItem
from emberlatch.net.http_connection import Connection

T = TypeVar("T")


class Call:
    """A call in flight, and which of its messages have no outcome yet.

    Attributes:
        target: the name of the target.
        items: the messages in the request; until the request is sent, the same as `all_items`.
        all_items: the messages with which the call was started.
        connection: the connection on which the request was sent; None before that and once the response has
            arrived.
        response_received: whether the response has arrived. The call may continue after it, for example until
            a receipt arrives on another connection.
        pending: the messages without an outcome, each with the event loop's time at which it times out.
        completed_early: the messages that timed out or were cancelled during the call. The response may still
            confirm that they were delivered.
    """

    def __init__(self, target: bytes, items: list[CallItem], report: Callable[[Outcome], None]) -> None:
        self.target, self.items, self.all_items = target, items, items
        self.connection: Connection | None = None
        self.response_received = False
        self._cancel_awaited: Callable[[], object] | None = None
        self._started_at = asyncio.get_running_loop().time()
        self.pending = {item: self._started_at + item.timeout for item in items}
        self.completed_early: list[CallItem] = []
        self._report = report

    @property
    def age(self) -> float:
        """Seconds since the call was started."""
        return asyncio.get_running_loop().time() - self._started_at

    async def wait_for(self, awaited: asyncio.Future[T], written: Callable[[], bool]) -> None:
        """Wait for one step of the call; messages that time out during it get their outcome at once.

        `written` returns whether the request has been sent completely.
        """
        loop, self._cancel_awaited = asyncio.get_running_loop(), awaited.cancel
        while self.pending and not awaited.done():
            await asyncio.wait({awaited}, timeout=max(0.0, min(self.pending.values()) - loop.time()))
            if not awaited.done():
                now, result = loop.time(), Result.TIMEOUT if written() else Result.CONNECT_FAILED
                for item in [item for item, times_out_at in self.pending.items() if times_out_at <= now]:
                    self.complete(item, result)
                    self.completed_early.append(item)

    def cancel(self, ref: int, attempt: int) -> None:
        """Cancel a message if its request has been sent; end the call if no message is pending any more."""
        for item in [item for item in self.pending if (item.ref, item.attempt) == (ref, attempt)]:
            written = self.connection.written if self.connection is not None else self.response_received
            if written:
                self.complete(item, Result.CANCELLED)
                self.completed_early.append(item)
        if not self.pending:
            if self.connection is not None:
                self.connection.close()
            elif self.response_received and self._cancel_awaited is not None:
                self._cancel_awaited()

    def complete_all(
        self,
        result: Result,
        is_final: bool = False,
        retry_after_s: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """Give all pending messages the same outcome, as `complete` does."""
        for item in list(self.pending):
            self.complete(item, result, is_final, retry_after_s, report)

    def complete(
        self,
        item: CallItem,
        result: Result,
        is_final: bool = False,
        retry_after_s: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """Give a pending message its outcome; `is_final` says that the message needs no other attempt."""
        del self.pending[item]
        self.report_outcome(item, result, is_final, retry_after_s, report)

    def report_outcome(
        self,
        item: CallItem,
        result: Result,
        is_final: bool = False,
        retry_after_s: float = 0.0,
        report: tuple[float, ...] = (),
    ) -> None:
        """Report the outcome of a message.

        A second outcome of the same message may only report that the message was delivered after all.
        `retry_after_s` is the Retry-After of the target in seconds, `report` its load report.
        """
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        retry_after_ms = round(retry_after_s * 1000)
        self._report(
            Outcome(
                item.ref,
                item.attempt,
                self.target,
                result,
                elapsed_s,
                is_final,
                retry_after_s,
                retry_after_ms,
                report,
            )
        )
