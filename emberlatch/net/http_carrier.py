"""The platform's HTTP protocol: encodes calls of one or more messages and classifies their responses."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator, Sequence

from emberlatch.core.interface import Result
from emberlatch.engine import Address, CallItem
from emberlatch.net.call import Call
from emberlatch.net.endpoint import Endpoint
from emberlatch.net.http_connection import NoResponseError, Response
from emberlatch.net.pooled_carrier import PooledCarrier
from emberlatch.net.retry_after import parse_retry_after

log = logging.getLogger(__name__)

BATCH_RESULTS = {
    "ok": (Result.OK, True),
    "error": (Result.ERROR, False),
    "later": (Result.FULL, False),
    "gone": (Result.NOT_EXECUTED, True),
    "exhausted": (Result.NOT_EXECUTED, False),
}
"""For each result name in the response to a batch: the result of the message, and whether it is final.

A message with a final result needs no other attempt.
"""

STATUS_RESULTS = {
    200: (Result.OK, True),
    400: (Result.NOT_EXECUTED, False),
    410: (Result.NOT_EXECUTED, True),
    413: (Result.NOT_EXECUTED, False),
    429: (Result.FULL, False),
    503: (Result.FULL, False),
    504: (Result.NOT_EXECUTED, False),
}
"""For each status of a response: the result of all messages of its call, and whether it is final.

After any other status the messages may have been executed.
"""
UNKNOWN_RESULT = (Result.ERROR, False)


class HttpCarrier(PooledCarrier):
    """Carries out calls in the platform's protocol."""

    def _request(self, target: Endpoint, call: Call) -> bytes:
        return _encode_request(target.address, call.items)

    def _on_no_response(self, call: Call, error: NoResponseError) -> None:
        if error.status == 200 and len(call.items) == 1:
            call.complete_all(Result.OK, is_final=True)  # a status line with 200 confirms the delivery
        else:
            super()._on_no_response(call, error)

    async def _on_response(self, target: Endpoint, call: Call, response: Response) -> None:
        retry_after_s = parse_retry_after(response.headers.get("retry-after"))
        report = tuple(_load_report(response.headers.get("x-server-load", ""), self._settings.report_fields))
        if retry_after_s > 0:
            self._set_retry_after(target, retry_after_s)
        if response.status == 200 and len(call.items) > 1:
            self._complete_batch(call, response, retry_after_s, report)
            return
        result, is_final = STATUS_RESULTS.get(response.status, UNKNOWN_RESULT)
        if response.status == 503 and response.headers.get("slots-taken") == "1":
            result = Result.NOT_EXECUTED
        if (result is Result.ERROR and response.status != 500) or response.status in (400, 413):
            log.warning(
                "target %r responded with status %d to a call with %d message(s)",
                call.target,
                response.status,
                len(call.items),
            )
        call.complete_all(result, is_final, retry_after_s, report)

    def _complete_batch(
        self, call: Call, response: Response, retry_after_s: float, report: tuple[float, ...]
    ) -> None:
        results = dict(_decode_batch(response.body))
        for item in list(call.pending):
            result, is_final = BATCH_RESULTS.get(results.get(item.id, ""), UNKNOWN_RESULT)
            call.complete(item, result, is_final, retry_after_s, report)
        for item in call.completed_early:
            if BATCH_RESULTS.get(results.get(item.id, ""), UNKNOWN_RESULT)[1]:
                call.report_outcome(item, Result.OK, is_final=True)


def _encode_request(address: Address, items: list[CallItem]) -> bytes:
    timeout_ms = max(1, round(1000 * max(item.timeout for item in items)))
    if len(items) == 1:
        item, path = items[0], "/v1/messages"
        headers = f"X-Request-ID: {item.id}\r\n" + (f"Idempotency-Key: {item.key}\r\n" if item.key else "")
        body = item.body
    else:
        path, headers = "/v1/messages:batch", ""
        lines = (f"{item.id} {item.key or '-'} {len(item.body)}\r\n".encode("latin-1") for item in items)
        body = b"".join(
            part for line, item in zip(lines, items, strict=True) for part in (line, item.body, b"\r\n")
        )
    head = f"POST {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n{headers}"
    head += f"X-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def _decode_batch(body: bytes | bytearray) -> Iterator[tuple[str, str]]:
    """Yield the id and the result of each message in the response to a batch."""
    for line in body.decode("latin-1").splitlines():
        message_id, _, result = line.strip().partition(" ")
        yield message_id, result.strip()


def _load_report(text: str, fields: Sequence[str]) -> Iterator[float]:
    """Yield the values of a load report in the order of `fields`; nothing if `text` is empty or invalid."""
    if text:
        values_by_name = dict(pair.strip().partition("=")[::2] for pair in text.split(","))
        try:
            values = [float(values_by_name[name]) for name in fields if name in values_by_name]
        except ValueError:
            values = []
        # One invalid value makes the report invalid: NaN or infinity would stay in the averages of a route.
        if len(values) == len(fields) and all(0 <= value < math.inf for value in values):
            yield from values
        else:
            log.debug("load report %r ignored: expected finite numbers of at least 0 for %s", text, fields)
