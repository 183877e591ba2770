"""The clients of a storm: they submit messages to the members over real sockets.

A client submits a message to another member if the message was rejected or could not be sent. If a message
was sent and no answer came, the client submits it to another member only if the effect of the message's class
is `safe`. A keyed message without an answer must not be sent to another member. That member does not know in
which wing and in which idempotency window the first copy was executed. A wing is the group of a partner's
endpoints that share idempotency keys.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from emberlatch.storm.history import CLIENT, REQUEST, EventKind, Recorder
from emberlatch.storm.plan import PARTNERS

CLASS_EFFECTS = {"note": "safe", "payout": "keyed", "order": "unsafe"}
"""The message classes of a storm, each with its effect."""
CLASS_WEIGHTS = (4, 4, 2)  # relative frequencies of the classes, in the order of CLASS_EFFECTS
# Settings of every class; the idempotency window is used by the keyed class alone.
DEADLINE_S, LATENCY_TARGET_S, IDEMPOTENCY_WINDOW_S = 6.0, 2.0, 8.0
ANSWER_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 3
MIN_TIME_LEFT_S = 0.5  # a client submits a message only if this time remains to the deadline
RETRY_DELAY_S = 0.2  # delay before a retry if the answer has no Retry-After header
MAX_RETRY_WAIT_S = 1.0
REJECTION_STATUSES = (429, 503)
NO_ANSWER = 0
"""Recorded as the status if the connection was opened and no answer was read on it."""
NOT_SENT = -1
"""Recorded as the status if the connection could not be opened."""


@dataclass(frozen=True, slots=True)
class _Submission:
    """One attempt to submit a message."""

    id: str
    request: int
    message_class: str
    member: str
    partner: str
    time_left_s: float
    key: str = ""

    def to_payload(self) -> dict[str, object]:
        """Return the payload that the history stores."""
        payload: dict[str, object] = {
            "id": self.id,
            REQUEST: self.request,
            "kind": self.message_class,
            "member": self.member,
            "partner": self.partner,
            "left": self.time_left_s,
        }
        return payload | ({"key": self.key} if self.key else {})

    def to_http(self) -> bytes:
        """Return the bytes of the HTTP request."""
        key = f"Idempotency-Key: {self.key}\r\n" if self.key else ""
        return (
            f"POST /api HTTP/1.1\r\nHost: storm\r\nX-Request-ID: {self.id}\r\n{key}"
            f"X-Priority-Class: {self.message_class}\r\nX-Timeout-Ms: {self.time_left_s * 1000:.0f}\r\n"
            f"Envelope: dest={self.partner}\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
        ).encode()


@dataclass(frozen=True, slots=True)
class _Answer:
    """The answer to a submission.

    `status` may be NO_ANSWER or NOT_SENT; `retry_after_s` is 0 if the answer has no Retry-After header.
    """

    status: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class ClientLoad:
    """Submits messages at random moments to random members; `ports` are the members' ports on loopback."""

    messages_per_s: float
    seed: int
    ports: Mapping[str, int]
    record: Recorder
    _rng: random.Random = field(init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set, init=False)

    def __post_init__(self) -> None:
        self._rng = random.Random(f"clients {self.seed}")

    async def run(self, duration_s: float) -> None:
        """Start requests for `duration_s`, and return when the last of them has finished."""
        loop = asyncio.get_running_loop()
        at = began_at = loop.time()
        number = 0
        while self.messages_per_s:
            at += self._rng.expovariate(self.messages_per_s)
            if at >= began_at + duration_s:
                break
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = asyncio.create_task(self._submit_with_retries(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _submit_with_retries(self, request: int) -> None:
        loop, rng = asyncio.get_running_loop(), self._rng
        deadline = loop.time() + DEADLINE_S
        message_class = rng.choices(list(CLASS_EFFECTS), CLASS_WEIGHTS)[0]
        partner, members = rng.choice(PARTNERS), list(self.ports)
        rng.shuffle(members)
        for attempt in range(MAX_ATTEMPTS):
            time_left_s = deadline - loop.time()
            if time_left_s < MIN_TIME_LEFT_S:
                return
            submission = _Submission(
                f"{request}-{attempt}",
                request,
                message_class,
                members[attempt % len(members)],
                partner,
                round(time_left_s, 3),
                key=f"k{request}" if message_class == "payout" else "",
            )
            self.record(CLIENT, EventKind.SUBMITTED, submission.to_payload())
            answer = await self._submit(submission)
            outcome = {"id": submission.id, "status": answer.status, "wait": answer.retry_after_s}
            self.record(CLIENT, EventKind.SUBMISSION_ANSWERED, outcome)
            if answer.status in REJECTION_STATUSES:
                await asyncio.sleep(min(answer.retry_after_s or RETRY_DELAY_S, MAX_RETRY_WAIT_S))
            elif answer.status == NO_ANSWER and CLASS_EFFECTS[message_class] == "safe":
                await asyncio.sleep(RETRY_DELAY_S)
            elif answer.status != NOT_SENT:
                return

    async def _submit(self, submission: _Submission) -> _Answer:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                port = self.ports[submission.member]
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except (OSError, TimeoutError):
            return _Answer(NOT_SENT)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(submission.to_http())
                head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return _Answer(NO_ANSWER)
        finally:
            writer.transport.abort()
        return _parse_answer(head)


def _parse_answer(head: bytes) -> _Answer:
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    return _Answer(int(lines[0].split(" ")[1]), float(headers.get("retry-after", 0)))
