"""Simulated clients, written from the user documentation: they submit messages to the forwarders."""

from __future__ import annotations

import asyncio
import random

from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.environment import Environment
from emberlatch.simulation.history import SentMessage
from emberlatch.simulation.http_client import send_request

MAX_ATTEMPTS = 3
DEADLINE_S = 0.5
DEADLINE_MS = "500"
RETRY_CUTOFF_S = 0.1  # no retry if fewer seconds than these remain until the deadline
MAX_BACKOFF_S = 0.2
DEFAULT_BACKOFF_S = 0.1  # used if the response has no Retry-After header
MAX_BODY_BYTES = 3000
DELAYED_SHARE = 0.1  # share of messages that are to be delivered after a delay
RETRIED_STATUSES = (429, 503)


class SimulatedClients:
    """The clients of one zone. Each submits one message, in up to `MAX_ATTEMPTS` attempts.

    The forwarder is picked anew for each attempt.
    """

    def __init__(self, environment: Environment, zone: str, messages_per_s: float) -> None:
        self._environment, self._zone, self._messages_per_s = environment, zone, messages_per_s
        self._random = random.Random(f"{environment.plan.seed} {zone}")

    async def run(self, duration_s: float) -> None:
        """Submit messages for `duration_s` seconds, then wait until all are answered."""
        loop, tasks = asyncio.get_running_loop(), []
        until = loop.time() + duration_s
        while loop.time() < until:
            tasks.append(loop.create_task(self._submit()))
            await asyncio.sleep(self._random.expovariate(self._messages_per_s))
        await asyncio.gather(*tasks)

    async def _submit(self) -> None:
        environment, rng = self._environment, self._random
        route = rng.choice(environment.routes)
        body = rng.randbytes(rng.randrange(1, MAX_BODY_BYTES))
        delay_s = rng.uniform(0.5, 6.0) if rng.random() < DELAYED_SHARE else 0.0
        is_forced = rng.random() < environment.plan.forced_failure_share
        forced_status = rng.choice((422, 500)) if is_forced else 0
        deadline = asyncio.get_running_loop().time() + DEADLINE_S
        for _ in range(MAX_ATTEMPTS):
            id = f"{environment.next_number():x}m{rng.randrange(1 << 32):x}"
            now = asyncio.get_running_loop().time()
            sent = SentMessage(id, now, delay_s, route.service, body, forced_status)
            backoff_s = await self._attempt(sent, route.host, f"{route.path_prefix}x", deadline)
            if backoff_s is None:
                return
            await asyncio.sleep(backoff_s)

    async def _attempt(self, sent: SentMessage, host: str, path: str, deadline: float) -> float | None:
        """Make one attempt; return the seconds until the next one, None if there is to be none."""
        loop = asyncio.get_running_loop()
        headers = {
            "Host": host,
            "Emberlatch-Attempt-Id": sent.id,
            "Emberlatch-Deadline-Ms": DEADLINE_MS,
        }
        if sent.delay_s:
            headers["Emberlatch-Delay-Ms"] = str(round(sent.delay_s * 1000))
        forwarder = self._environment.pick_forwarder(self._zone, self._random)
        if forwarder is None:
            return None
        self._environment.history.sent[sent.id] = sent
        timeout_s = max(0.01, deadline - loop.time())
        try:
            answer = await send_request(forwarder, "POST", path, sent.body, headers, timeout_s)
        except (OSError, NoResponseError, TimeoutError):
            return None
        sent.status, sent.answered_at = answer.status, loop.time()
        if answer.status not in RETRIED_STATUSES or loop.time() > deadline - RETRY_CUTOFF_S:
            return None
        return min(MAX_BACKOFF_S, float(answer.headers.get("retry-after", DEFAULT_BACKOFF_S)))
