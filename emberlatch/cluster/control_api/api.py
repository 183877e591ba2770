"""Calls of targets and operators: one dispatch on method and path segments.

A process that keeps the state settles them; one that does not passes them on to one that does.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Protocol

from expression import Result

from emberlatch.cluster.config_store import ConfigStore
from emberlatch.cluster.control_api.answer import Answer
from emberlatch.cluster.discovery import BadBeat, Target, Targets
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc import Lost, Peer
from emberlatch.cluster.settings.configuration import MOST_BYTES
from emberlatch.net.server import Reply, Request

SPREAD = 0.35  # seconds that an acknowledgement of a leaving target waits for the others to know
READ = 0.6  # seconds for the others to tell which configuration they have
PASS_ON = 0.9  # seconds for another process to settle a call


class CallHandler(Protocol):
    """Settles calls."""

    async def settle(self, method: str, segments: list[str], body: bytes) -> Answer:
        """The answer to a call."""


class Retiring(Protocol):
    """Takes the operator's calls to empty a machine."""

    async def initiate(self, node: str, body: bytes) -> Answer:
        """Begin."""

    async def retrieve(self, node: str) -> Answer:
        """How far it is."""


class ControlApi:
    """The control address."""

    def __init__(self, call_handler: CallHandler) -> None:
        self._call_handler = call_handler

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        path = request.path.decode("latin-1").partition("?")[0]
        answer = await self._call_handler.settle(
            request.method.decode("latin-1"), path.strip("/").split("/"), bytes(request.body)
        )
        reply.send(answer.status, 0.2 if answer.status == 503 else None, answer.body)


class ForwardingHandler:
    """Passes calls on to the processes that keep the state."""

    def __init__(self, stores: Callable[[], list[Peer]]) -> None:
        self._stores = stores

    async def settle(self, method: str, segments: list[str], body: bytes) -> Answer:
        for peer in self._stores():
            try:
                status, told = await peer.ask("control", [method, segments, body], PASS_ON)
                return Answer(status, told)
            except Lost:
                continue
        return Answer.cause(503, "no machine with a disk can be reached")


class Home(Protocol):
    """What settling calls needs of a process that keeps the state."""

    @property
    def config_store(self) -> ConfigStore:
        """The operator's word."""

    @property
    def targets(self) -> Targets | None:
        """The table of targets, which a process that keeps the state has."""

    @property
    def retire(self) -> Retiring:
        """Who empties machines."""

    def other_stores(self) -> list[Peer]:
        """The other stores that can be asked."""

    def needed(self) -> int:
        """Of how many others it has to be heard which configuration they have."""

    def whole(self) -> bool:
        """Whether what this process keeps can be believed: it was compared with the others'."""

    def reaches(self) -> bool:
        """Whether this process is not cut off from the others."""


class LocalHandler:
    """Settles calls on a machine with a disk."""

    def __init__(self, home: Home) -> None:
        assert home.targets is not None
        self._home, self._config_store, self._targets, self._retire = (
            home,
            home.config_store,
            home.targets,
            home.retire,
        )

    async def settle(self, method: str, segments: list[str], body: bytes) -> Answer:
        match method, segments:
            case "POST", ["api", "instances", id, "heartbeat"]:
                return await self._beat(id, body)
            case "POST", ["api", "instances", id, "deregister"]:
                return await self._leave(id)
            case "POST", ["api", "configuration", "replace"]:
                return await self._replace(body)
            case "GET", ["api", "configuration", "retrieve"]:
                return await self._retrieve()
            case "POST", ["api", "retire", node, "initiate"]:
                return await self._retire.initiate(node, body)
            case "GET", ["api", "retire", node, "retrieve"]:
                return await self._retire.retrieve(node)
            case _, ["api", "instances", _, "heartbeat" | "deregister"]:
                return Answer.cause(405, "POST")
            case _:
                return Answer.cause(404, "no such call")

    async def _beat(self, id: str, body: bytes) -> Answer:
        if not self._home.reaches():
            return Answer.cause(503, "this machine is cut off from the others")
        try:
            told = json.loads(body)
            target, news = self._targets.beat(id, told, asyncio.get_running_loop().time())
        except (BadBeat, ValueError, RecursionError) as error:
            log_event(Event.BEAT_BAD, str(error)[:200])
            return Answer.cause(400, str(error)[:200])
        await self._tell(target, news)
        return Answer(200, b"{}")

    async def _leave(self, id: str) -> Answer:
        target = self._targets.leave(id, asyncio.get_running_loop().time())
        if target is not None:
            await self._tell(target, True)
        return Answer(200, b"{}")

    async def _tell(self, target: Target, news: bool) -> None:
        """Spread what a target says; of what matters the others' word is waited for, but not for long."""
        now, others = asyncio.get_running_loop().time(), self._home.other_stores()
        known = self._targets.known.get(target.id, target)
        told = known.told(now)
        if news:
            await asyncio.gather(*(p.ask("target", told, SPREAD) for p in others), return_exceptions=True)
        elif known.sequence % 2:  # every other beat is enough for them
            for peer in others:
                peer.tell("target", told)

    async def _replace(self, body: bytes) -> Answer:
        if len(body) > MOST_BYTES:
            return Answer.cause(413, "too long")
        match await self._config_store.take(body):
            case Result(tag="ok"):
                return Answer(200, b"{}")
            case Result(error=fault):
                return Answer.cause(400 if fault.step == "check" else 503, str(fault))

    async def _retrieve(self) -> Answer:
        """The newest that stands: ours, once enough others have said that theirs is no newer."""
        others: list[Peer] = self._home.other_stores()
        versions = await asyncio.gather(
            *(p.ask("version", None, READ) for p in others), return_exceptions=True
        )
        heard = [v for v in versions if isinstance(v, list)]
        if not self._home.whole() or len(heard) < self._home.needed():
            return Answer.cause(503, "too few machines with a disk can be reached")
        if any(v[0] > self._config_store.newest for v in heard):
            return Answer.cause(503, "a newer one is on its way")
        config = self._config_store.held
        return Answer(200, config.raw) if config is not None else Answer.cause(404, "none yet")
