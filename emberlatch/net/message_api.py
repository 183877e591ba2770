"""The clients' message API: turns requests into submissions, and the engine's decisions into responses."""

from __future__ import annotations

import logging
from collections.abc import Callable

from emberlatch.engine import BadMessageError, Submission, SubmissionResponder
from emberlatch.net.server import Reply, Request

log = logging.getLogger(__name__)

MAX_NUMBER_DIGITS = 9

SubmitFunction = Callable[[Submission, SubmissionResponder], None]
DestinationLookup = Callable[[str], int | None]
"""Finds the number of a destination by its name; None if there is no such name."""


class HttpResponder:
    """Sends the engine's decision about one submission as the status of the response."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected."""
        return self._reply.client_disconnected

    def respond_accepted(self) -> None:
        """Respond 202: the message is in the journal."""
        self._reply.send(202)

    def respond_rejected(self, retry_after: float) -> None:
        """Respond 429: the message is rejected and was not executed; `retry_after` is in seconds."""
        self._reply.send(429, retry_after)

    def respond_unavailable(self, retry_after: float | None = None) -> None:
        """Respond 503: the message can't be accepted at present; `retry_after` is in seconds."""
        self._reply.send(503, retry_after)

    def respond_failed(self) -> None:
        """Respond 500: no decision was made because of an internal error."""
        self._reply.send(500)


class MessageApi:
    """Passes each valid request to `submit`; answers an invalid one with 400."""

    def __init__(self, submit: SubmitFunction, find_destination: DestinationLookup = lambda _: None) -> None:
        self._submit, self._find_destination = submit, find_destination

    def __call__(self, request: Request, reply: Reply) -> None:
        """Handle one complete request."""
        try:
            self._submit(self._decode(request), HttpResponder(reply))
        except BadMessageError as error:
            log.debug("request to %r answered with status 400: %s", request.path, error)
            reply.send(400)

    def _decode(self, request: Request) -> Submission:
        headers = request.headers
        retried = headers.get("x-retried", "")
        try:
            return Submission(
                id=headers["x-request-id"],
                key=headers.get("idempotency-key", ""),
                category=headers["x-priority-class"],
                tenant=headers.get("x-tenant-id", ""),
                destination=parse_destination(headers["envelope"], self._find_destination),
                remaining=parse_number(headers["x-timeout-ms"]) / 1000,
                body=bytes(request.body),
                resubmitted=retried == "1",
                inherited=retried == "again",
            )
        except KeyError as error:
            raise BadMessageError(f"header {error.args[0]} is missing") from error


def parse_destination(envelope: str, find_destination: DestinationLookup) -> int:
    """Return the number of the destination that the field `dest` of an `Envelope` header names.

    Raises:
        BadMessageError: a field of the header can't be parsed, or the field `dest` is missing.
    """
    parts = [part.strip().partition("=") for part in envelope.split(";")]
    fields = {name: value for name, _, value in parts}
    if len(fields) < len(parts) or not all(name and value for name, _, value in parts):
        raise BadMessageError(f"envelope cannot be read: {envelope[:40]!r}")
    if "dest" not in fields:
        raise BadMessageError("envelope names no dest")
    number = find_destination(fields["dest"])
    return number if number is not None else parse_number(fields["dest"])


def parse_number(text: str) -> int:
    """Parse a number of ASCII digits only.

    int() would also accept signs, blanks, underscores and the digits of other scripts.

    Raises:
        BadMessageError: the text contains anything else, or is too long.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        raise BadMessageError(f"not a number: {text[:20]!r}")
    return int(text)
