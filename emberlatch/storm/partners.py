"""The partners of a storm: stand-in endpoints.

Each endpoint has a listener for every member, so that the listener identifies the calling member.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterable

from emberlatch.standins import (
    Behaviour,
    CallOutcome,
    Condition,
    EndpointModel,
    Message,
    PartnerServer,
    reserve_port,
)
from emberlatch.standins.endpoint_model import IdempotencyKeys
from emberlatch.storm.client_load import IDEMPOTENCY_WINDOW_S
from emberlatch.storm.history import EventKind, Payload, Recorder
from emberlatch.storm.plan import ENDPOINTS

P1_CALLS_PER_S = 24.0  # rate limit of each endpoint of the first partner, for all members together
WARM_UP_S = 3.0
BEHAVIOURS = {
    "p1": Behaviour(
        service_time_s=0.03,
        workers=4,
        queue_capacity=16,
        rate_limit_per_s=P1_CALLS_PER_S,
        retry_after_s=0.4,
        idempotency_window_s=IDEMPOTENCY_WINDOW_S,
        warm_up_s=WARM_UP_S,
    ),
    "p2": Behaviour(
        service_time_s=0.04,
        workers=4,
        queue_capacity=8,
        idempotency_window_s=IDEMPOTENCY_WINDOW_S,
        warm_up_s=WARM_UP_S,
    ),
}


class _MemberListener:
    """The listener of an endpoint for one member; records the member's calls.

    The listener's port is reserved until `stop`.
    """

    def __init__(self, endpoint: Endpoint, member: str) -> None:
        self.endpoint, self.member = endpoint, member
        self._reservation = reserve_port()
        self.server = PartnerServer(endpoint.model, self, self._reservation)
        self._call_numbers: dict[int, int] = {}  # the endpoint's number of a call, by the server's

    def on_call(self, number: int, process: str, messages: list[Message]) -> None:
        """Record that a call has begun."""
        own_number = self._call_numbers[number] = next(self.endpoint.call_numbers)
        ids, keys = [message.id for message in messages], [message.key for message in messages]
        self._record(EventKind.CALL_STARTED, {"number": own_number, "ids": ids, "keys": keys})

    def on_answer(self, number: int, outcome: CallOutcome) -> None:
        """Record that a call was answered."""
        own_number = self._call_numbers.pop(number)
        answer = {"number": own_number, "status": outcome.status, "wait": outcome.retry_after}
        self._record(EventKind.CALL_ANSWERED, answer)

    def on_disconnect(self, number: int) -> None:
        """Record that the member disconnected before a call was answered."""
        self._record(EventKind.CALL_DISCONNECTED, {"number": self._call_numbers.pop(number)})

    def _record(self, kind: EventKind, payload: Payload) -> None:
        self.endpoint.record(self.endpoint.name, kind, {"member": self.member, **payload})

    async def stop(self) -> None:
        """Stop listening, and release the port."""
        await self.server.stop()
        self._reservation.close()


class Endpoint:
    """One endpoint: a model that is shared by the listeners for all members."""

    def __init__(self, name: str, members: Iterable[str], seed: int, record: Recorder) -> None:
        self.name, self.record = name, record
        # A partner's endpoints in one wing share idempotency keys; in a storm, each wing has one of them.
        self.keys = IdempotencyKeys(IDEMPOTENCY_WINDOW_S)
        self.model = EndpointModel(BEHAVIOURS[name[:2]], self.keys, seed=seed)
        self.call_numbers = itertools.count(1)
        self.listeners = {member: _MemberListener(self, member) for member in members}

    async def start(self) -> None:
        """Listen for all members."""
        await asyncio.gather(*(listener.server.start() for listener in self.listeners.values()))

    async def stop(self) -> None:
        """Stop listening, and release the ports."""
        for listener in self.listeners.values():
            await listener.stop()

    async def set_condition(self, condition: Condition) -> None:
        """Set the condition in which the endpoint serves all members from now on."""
        for listener in self.listeners.values():
            await listener.server.set_condition(condition)


class Partners:
    """All endpoints of a storm."""

    def __init__(self, members: Iterable[str], seed: int, record: Recorder) -> None:
        names, self._record = list(members), record
        self.endpoints = {name: Endpoint(name, names, seed, record) for name in ENDPOINTS}

    async def start(self) -> None:
        """Listen at all endpoints; raises OSError if a port cannot be bound."""
        await asyncio.gather(*(endpoint.start() for endpoint in self.endpoints.values()))

    async def stop(self) -> None:
        """Stop listening, and release the ports."""
        for endpoint in self.endpoints.values():
            await endpoint.stop()

    async def set_condition(self, name: str, condition: Condition) -> None:
        """Set the condition of one endpoint from now on."""
        await self.endpoints[name].set_condition(condition)

    def record_effects(self) -> None:
        """Record for each endpoint how often each message has taken effect since the storm began."""
        for endpoint in self.endpoints.values():
            for name, times in endpoint.keys.effects.items():
                self._record(endpoint.name, EventKind.EFFECTS, {"name": name, "times": times})
