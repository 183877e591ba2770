"""Who does the cryptography: this process itself, or one beside it that has the keys too.

Reading and writing the structures takes longer than the arithmetic and holds the interpreter's lock, so a
thread beside the event loop makes everything else wait; a process does not.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import os
import pickle
import struct
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO, Protocol

from emberlatch.as2.build import parties as read_parties
from emberlatch.as2.certificates import Trust
from emberlatch.as2.message import Format, Opened, Policy, Sealed, seal, unseal
from emberlatch.as2.mime import Entity
from emberlatch.as2.profile import Parties
from emberlatch.config.as2 import As2

log = logging.getLogger(__name__)

NOBODY = Trust(())  # of what is not encrypted
FRAME = struct.Struct("<I")
READY = b"ready"
MOST_FRAME = 1 << 20  # bytes; messages are smaller by far
NICE = 5  # the event loop goes first where both share a core
AGAIN = 0.5  # seconds until a worker that has died is followed by another


class CrewError(OSError):
    """The work was not done: the process that does it is gone."""


class Crew(Protocol):
    """Seals and opens; a partner is told by its name, an empty one stands for nobody in particular."""

    async def seal(self, content: bytes, wanted: Format, partner: str, now: float) -> Sealed:
        """See `message.seal`; raises CrewError beside."""

    async def unseal(self, outer: Entity, partner: str, policy: Policy, now: float) -> Opened:
        """See `message.unseal`; raises CrewError beside."""

    def close(self) -> None:
        """Take no more work."""


class Inline:
    """All work is done where it is asked for."""

    def __init__(self, parties: Parties) -> None:
        self._parties = parties

    async def seal(self, content: bytes, wanted: Format, partner: str, now: float) -> Sealed:
        return self.do_seal(content, wanted, partner, now)

    async def unseal(self, outer: Entity, partner: str, policy: Policy, now: float) -> Opened:
        return self.do_unseal(outer, partner, policy, now)

    def close(self) -> None:
        pass

    def do_seal(self, content: bytes, wanted: Format, partner: str, now: float) -> Sealed:
        trust = self._parties.partners[partner].trust if partner else NOBODY
        return seal(content, wanted, self._parties.own.identity, trust, now)

    def do_unseal(self, outer: Entity, partner: str, policy: Policy, now: float) -> Opened:
        return unseal(outer, self._parties.own.identity, self._parties.partners[partner].trust, policy, now)


class Worker:
    """A process beside this one. It ends when this one does, however that ends: its input is over then."""

    def __init__(self, config: As2, folder: Path, spawn: Callable[[Any], Any]) -> None:
        """`spawn` runs a coroutine beside everything else; the worker reads the same files as we do."""
        self._about = pickle.dumps((config, folder))
        self._numbers = itertools.count()
        self._out: dict[int, asyncio.Future[Any]] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._ready, self._closed = asyncio.Event(), False
        spawn(self._run())

    async def seal(self, content: bytes, wanted: Format, partner: str, now: float) -> Sealed:
        told: Sealed = await self._call("do_seal", content, wanted, partner, now)
        return told

    async def unseal(self, outer: Entity, partner: str, policy: Policy, now: float) -> Opened:
        told: Opened = await self._call("do_unseal", outer, partner, policy, now)
        return told

    def close(self) -> None:
        self._closed = True
        if self._process is not None and self._process.stdin is not None:
            self._process.stdin.close()

    @property
    def pid(self) -> int:
        """Of the process; 0 while there is none."""
        return self._process.pid if self._process is not None else 0

    async def ready(self) -> None:
        """Wait until there is one that has read its keys."""
        await self._ready.wait()

    async def _call(self, what: str, *told: Any) -> Any:
        await self.ready()
        if self._closed or self._process is None or self._process.stdin is None:
            raise CrewError("there is no worker")
        number, done = next(self._numbers), asyncio.get_running_loop().create_future()
        self._out[number] = done
        try:
            self._process.stdin.write(_frame((number, what, told)))
            return await done
        finally:
            self._out.pop(number, None)

    async def _run(self) -> None:
        while not self._closed:
            try:
                await self._live()
            except OSError as error:
                log.error("as2 worker: %s", error)
            self._ready.clear()
            for done in self._out.values():
                if not done.done():
                    done.set_exception(CrewError("the worker has ended"))
            if not self._closed:
                log.error("the as2 worker has ended: another follows")
                await asyncio.sleep(AGAIN)

    async def _live(self) -> None:
        """One process, from its start to its end."""
        self._process = process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "emberlatch.as2.crew",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(FRAME.pack(len(self._about)) + self._about)
        try:
            await process.stdout.readexactly(len(READY))
            self._ready.set()
            while True:
                size = FRAME.unpack(await process.stdout.readexactly(FRAME.size))[0]
                number, good, told = pickle.loads(await process.stdout.readexactly(size))
                done = self._out.get(number)
                if done is not None and not done.done():
                    done.set_result(told) if good else done.set_exception(told)
        except asyncio.IncompleteReadError:
            await process.wait()


def _frame(told: Any) -> bytes:
    data = pickle.dumps(told, pickle.HIGHEST_PROTOCOL)
    return FRAME.pack(len(data)) + data


def _frames(stream: BinaryIO) -> Any:
    """What comes on a stream until it is over."""
    while len(head := stream.read(FRAME.size)) == FRAME.size:
        size = FRAME.unpack(head)[0]
        if size > MOST_FRAME or len(data := stream.read(size)) < size:
            return
        yield pickle.loads(data)


def main() -> None:
    """The worker: who it is for, then one piece of work after another."""
    os.nice(NICE)
    frames = _frames(sys.stdin.buffer)
    config, folder = next(frames)
    crew = Inline(read_parties(config, lambda name: folder / name))
    sys.stdout.buffer.write(READY)
    sys.stdout.buffer.flush()
    for number, what, told in frames:
        try:
            answer = (number, True, getattr(crew, what)(*told))
        except Exception as error:  # it is for the one that asked to say what comes of it
            answer = (number, False, error)
        sys.stdout.buffer.write(_frame(answer))
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
