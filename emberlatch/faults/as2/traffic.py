"""The traffic of a run: messages that clients submit, and orders that partners send."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Mapping
from typing import Protocol

from emberlatch.as2 import mdn, mime, names
from emberlatch.as2.errors import As2Error
from emberlatch.as2.message import AcceptancePolicy, Layers, Sealed, seal, unseal
from emberlatch.as2.orders import submission_id
from emberlatch.as2.profile import OwnParty, Parties
from emberlatch.core import interface as api
from emberlatch.engine import Submission
from emberlatch.faults.as2.gateway import SimulatedGateway
from emberlatch.faults.as2.messages import ClientResponder, SubmittedMessage
from emberlatch.faults.as2.partners import PartnerBehaviour
from emberlatch.faults.as2.settings import (
    CATEGORIES,
    DEADLINE_S,
    DESTINATIONS,
    FRONT_ADDRESS,
    GATEWAY,
    PARTNERS,
    trust_in,
)
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import ProcessKilled, context_of
from emberlatch.standins.http_post import PostResponse, post

MESSAGE_COUNT, BURST_SIZE = (12, 24), (12, 20)
MESSAGES_PER_S, ORDERS_PER_S = 3.0, 1.0
ORDER_COUNT, REPETITIONS = (2, 5), (1, 5)
BURST_SHARE = 0.3  # share of runs that have a burst
BURST_AT_S, UNANSWERED_S, REPETITION_DELAY_S = (0.5, 6.0), (1.0, 4.0), (0.2, 2.0)
ORDER_FORMAT = Layers("sha256", "", False)


class TrafficEnvironment(Protocol):
    """What the traffic needs from its environment."""

    loop: VirtualLoop
    random: random.Random
    gateway: SimulatedGateway
    behaviour: PartnerBehaviour
    identities: Mapping[str, OwnParty]
    parties: Parties
    messages: dict[str, SubmittedMessage]

    def unix_time(self) -> float:
        """The current simulated Unix time, in seconds."""

    def breach(self, text: str) -> None:
        """Record a breach with the current virtual time."""


class ClientTraffic:
    """Submits messages as clients do."""

    def __init__(self, environment: TrafficEnvironment) -> None:
        self._environment, self._random = environment, environment.random

    async def submit_messages(self) -> None:
        """Submit messages at random moments."""
        for number in range(self._random.randint(*MESSAGE_COUNT)):
            await asyncio.sleep(self._random.expovariate(MESSAGES_PER_S))
            self.submit(f"m{number}", self._random.choice(CATEGORIES), self._draw_destination())

    async def submit_burst(self) -> None:
        """In some runs, submit more messages than slots to a partner that then sends no receipts."""
        if self._random.random() >= BURST_SHARE:
            return
        await asyncio.sleep(self._random.uniform(*BURST_AT_S))
        destination = self._environment.behaviour.silent_destination = self._draw_destination()
        for number in range(self._random.randint(*BURST_SIZE)):
            self.submit(f"b{number}", self._random.choice(CATEGORIES), destination)
        await asyncio.sleep(self._random.uniform(*UNANSWERED_S))
        self._environment.behaviour.silent_destination = 0

    def _draw_destination(self) -> int:
        return self._random.randint(1, len(DESTINATIONS))

    def submit(self, name: str, category: api.Category, destination: int) -> None:
        """Submit a message if the gateway currently serves."""
        environment, gateway = self._environment, self._environment.gateway
        if gateway.core is None or gateway.process is None:
            return
        clock = environment.loop.time
        message = environment.messages[name] = SubmittedMessage(name, category.name, destination, clock())
        submission = Submission(name, f"k{name}", category.name, "", destination, DEADLINE_S, b"pay" * 10)
        responder = ClientResponder(message, clock)
        with contextlib.suppress(ProcessKilled):
            context_of(gateway.process).run(gateway.core.engine.submit, submission, responder)


class PartnerOrders:
    """Sends orders as partners do. Each order may be repeated unchanged, whether or not it was answered."""

    def __init__(self, environment: TrafficEnvironment) -> None:
        self._environment, self._random = environment, environment.random

    async def send_all(self) -> None:
        """Send orders at random moments."""
        for number in range(self._random.randint(*ORDER_COUNT)):
            await asyncio.sleep(self._random.expovariate(ORDERS_PER_S))
            name = self._random.choice(PARTNERS)
            self._environment.loop.create_task(self.send(name, f"order-{number}@{name}"))

    async def send(self, name: str, message_id: str) -> None:
        """Send a partner's order once or more, and check that all receipts are correct and identical."""
        environment, loop = self._environment, self._environment.loop
        order = SubmittedMessage(submission_id(name, message_id), "payout", DESTINATIONS[name], loop.time())
        environment.messages[order.id] = order
        sealed, headers = self._seal(name, message_id)
        receipts = set()
        for _ in range(self._random.randint(*REPETITIONS)):
            if order.accepted_at == math.inf:
                order.submitted_at = loop.time()  # the deadline counts from acceptance, perhaps of this copy
            try:
                response = await post(*FRONT_ADDRESS, headers, sealed.body)
                if response.status == 200:
                    receipts.add(response.body)
                    self._check_receipt(name, message_id, sealed, response)
                    order.accepted_at = min(order.accepted_at, loop.time())
                elif response.status != 503:
                    environment.breach(f"{message_id}: got status {response.status}, expected 200 or 503")
            except As2Error as error:
                environment.breach(f"{message_id}: {error}")
            except OSError:  # no answer; the repetitions cover this case
                pass
            await asyncio.sleep(self._random.uniform(*REPETITION_DELAY_S))
        if len(receipts) > 1:
            environment.breach(f"{message_id}: {len(receipts)} different receipts, expected one")

    def _seal(self, name: str, message_id: str) -> tuple[Sealed, list[tuple[str, str]]]:
        environment = self._environment
        sender, gateway = environment.identities[name], environment.identities[GATEWAY]
        content = mime.compose(
            (("Content-Type", "application/octet-stream"), ("Idempotency-Key", message_id)), b"order"
        )
        sealed = seal(content, ORDER_FORMAT, sender.identity, trust_in(gateway), environment.unix_time())
        headers = [
            ("AS2-From", sender.name),
            ("AS2-To", names.quoted(gateway.name)),
            ("Message-ID", f"<{message_id}>"),
            ("Disposition-Notification-To", "x"),
            ("Disposition-Notification-Options", mdn.SIGNED_RECEIPT_OPTIONS.format("sha-256")),
            *sealed.headers,
        ]
        return sealed, headers

    def _check_receipt(self, name: str, message_id: str, sealed: Sealed, response: PostResponse) -> None:
        """Check that the receipt in a response confirms the order; raise As2Error if it can't be read."""
        environment = self._environment
        sender, gateway = environment.identities[name], environment.identities[GATEWAY]
        outer = mime.make_entity(tuple(response.headers.items()), response.body)
        opened = unseal(
            outer, sender.identity, trust_in(gateway), AcceptancePolicy(), environment.unix_time()
        )
        receipt = mdn.parse(opened.content)
        if receipt.disposition != mdn.PROCESSED or receipt.mic != sealed.mic:
            environment.breach(
                f"{message_id}: receipt has {receipt.disposition.short_form}, or a wrong digest"
            )
