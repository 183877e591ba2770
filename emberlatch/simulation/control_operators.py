"""Operators of a simulated control plane: they change and read the configuration, and record the answers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from emberlatch.cluster.consensus.state import text_digest
from emberlatch.cluster.consensus.state_client import CommitOutcome
from emberlatch.faults.process import ENVIRONMENT_CONTEXT
from emberlatch.simulation.control_machine import ControlMachine, ProcessIncarnation
from emberlatch.simulation.control_network import DriftingLoop
from emberlatch.simulation.operator_history import CallKind, OperatorCall, OperatorHistory

INVALID_PREFIX = b"invalid"  # prefix of texts that every machine refuses without proposing them
INVALID_STATUS = 400
STATUS_BY_OUTCOME = {
    CommitOutcome.COMMITTED: 200,
    CommitOutcome.CONFLICT: 409,
    CommitOutcome.FORGOTTEN: 410,
    CommitOutcome.UNDECIDED: 503,
}
ANSWER_TIMEOUT_S = 2.5
LATENCY_S = 0.002  # one-way latency between an operator and a machine
MAX_RESENDS = 3
RECENT_TEXT_COUNT = 6


@dataclass(frozen=True, slots=True)
class ConfigurationText:
    """The text of a configuration and its revision."""

    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """A machine's answer; an answer to a read has the revision and the digest of the text that was read."""

    status: int | None  # None if there was no answer
    revision: int
    digest: str


async def answer_replace(incarnation: ProcessIncarnation, text: ConfigurationText) -> Answer:
    """Return a machine's answer to a change."""
    digest = text_digest(text.content)
    if text.content.startswith(INVALID_PREFIX):
        return Answer(INVALID_STATUS, text.revision, digest)
    outcome = await incarnation.state_client.commit_configuration(text.revision, text.content)
    return Answer(STATUS_BY_OUTCOME[outcome], text.revision, digest)


async def answer_retrieve(incarnation: ProcessIncarnation) -> Answer:
    """Return a machine's answer to a read."""
    state = await incarnation.state_client.read()
    if state is None:
        return Answer(503, -1, "")
    digest = "" if state.revision < 0 else text_digest(state.text)
    return Answer(200, state.revision, digest)


@dataclass
class SentConfigurations:
    """The texts that all operators of a day have sent, the confirmed revisions, and the calls."""

    history: OperatorHistory = field(default_factory=OperatorHistory)
    texts: list[ConfigurationText] = field(default_factory=list)
    confirmed: set[int] = field(default_factory=set)
    highest_revision: int = 0

    def new_text(self, revision: int, author: str) -> ConfigurationText:
        """Create a text that no operator has sent before."""
        text = ConfigurationText(revision, f"{revision} by {author} {len(self.texts)}".encode())
        self.texts.append(text)
        self.highest_revision = max(self.highest_revision, revision)
        return text


@dataclass
class Operator:
    """One operator. `loss_share` is the share of requests, and of answers, that are lost."""

    name: str
    loop: DriftingLoop
    rng: random.Random
    sent: SentConfigurations
    machines: Callable[[], list[ControlMachine]]
    loss_share: float

    async def run(self, pause_s: float) -> None:
        """Make random calls until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / pause_s))
            await self._make_random_call()

    async def _make_random_call(self) -> None:
        drawn = self.rng.random()
        if drawn < 0.25:
            await self.retrieve(self._random_machine())
            return
        await self._send(self._draw_text(drawn))
        if self.rng.random() < 0.3:
            await self.retrieve(self._random_machine())

    def _draw_text(self, drawn: float) -> ConfigurationText:
        sent, rng = self.sent, self.rng
        if drawn < 0.4 and sent.texts:  # another text under a used revision, recent or old
            recent = sent.texts[-RECENT_TEXT_COUNT:] if rng.random() < 0.8 else sent.texts
            return sent.new_text(rng.choice(recent).revision, self.name)
        if drawn < 0.55 and sent.texts:
            return rng.choice(sent.texts)
        if drawn < 0.57:
            return ConfigurationText(sent.highest_revision + 1, INVALID_PREFIX + self.name.encode())
        return sent.new_text(sent.highest_revision + rng.randrange(1, 4), self.name)

    async def _send(self, text: ConfigurationText) -> None:
        """Send a text; after a 503 or no answer, resend it at random, at most `MAX_RESENDS` times."""
        for _ in range(1 + MAX_RESENDS):
            status = await self.replace(self._random_machine(), text)
            if status not in (None, 503) or self.rng.random() < 0.3:
                return
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))

    def _random_machine(self) -> ControlMachine:
        return self.rng.choice(self.machines())

    async def replace(self, machine: ControlMachine, text: ConfigurationText) -> int | None:
        """Send a text to a machine; return the status of its answer, None if there was none."""
        start, answer = self.loop.time(), None
        try:
            answer = await self._call(machine, lambda incarnation: answer_replace(incarnation, text))
        finally:  # a cancelled call is recorded too, since its request may have been sent
            unanswered = Answer(None, text.revision, text_digest(text.content))
            self._record(CallKind.REPLACE, machine, start, answer or unanswered)
        if answer is not None and answer.status == 200:
            self.sent.confirmed.add(text.revision)
        return None if answer is None else answer.status

    async def retrieve(self, machine: ControlMachine) -> Answer | None:
        """Read the configuration from a machine; None if nothing was read."""
        start = self.loop.time()
        answer = await self._call(machine, answer_retrieve)
        self._record(CallKind.RETRIEVE, machine, start, answer or Answer(None, -1, ""))
        return answer if answer is not None and answer.status == 200 else None

    def _record(self, kind: CallKind, machine: ControlMachine, start: float, answer: Answer) -> None:
        end = None if answer.status is None else self.loop.time()
        call = OperatorCall(kind, machine.name, start, end, answer.status, answer.revision, answer.digest)
        self.sent.history.add(call)

    async def _call(
        self, machine: ControlMachine, work: Callable[[ProcessIncarnation], Awaitable[Answer]]
    ) -> Answer | None:
        """Send a request to a machine and wait for its answer; either may be lost."""
        loop = self.loop
        answered: asyncio.Future[Answer] = loop.create_future()
        await asyncio.sleep(LATENCY_S)
        if self.rng.random() >= self.loss_share:
            machine.enter(lambda incarnation: self._begin(incarnation, work, answered))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await answered
        except TimeoutError:
            return None

    def _begin(
        self,
        incarnation: ProcessIncarnation,
        work: Callable[[ProcessIncarnation], Awaitable[Answer]],
        answered: asyncio.Future[Answer],
    ) -> None:
        def respond(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        async def serve() -> None:
            answer = await work(incarnation)
            if self.rng.random() >= self.loss_share:
                self.loop.call_at(self.loop.time() + LATENCY_S, respond, answer, context=ENVIRONMENT_CONTEXT)

        incarnation.run(serve())
