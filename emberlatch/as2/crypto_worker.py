"""A crypto service that seals and opens messages in a child process of the gateway.

Encoding and decoding the structures takes longer than the cryptographic operations and holds the global
interpreter lock, so a thread would delay the event loop; a process does not.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import pickle
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path

from emberlatch.as2.crypto_frames import (
    LENGTH,
    READY,
    Request,
    Response,
    SealRequest,
    UnsealRequest,
    WorkerSettings,
    frame,
)
from emberlatch.as2.crypto_service import CryptoServiceError
from emberlatch.as2.message import AcceptancePolicy, Layers, Opened, Sealed
from emberlatch.as2.mime import Entity
from emberlatch.config.as2 import As2

log = logging.getLogger(__name__)

PROCESS_MODULE = "emberlatch.as2.crypto_process"
RESTART_DELAY_S = 0.5  # delay between the end of a worker and the start of the next one

Spawn = Callable[[Coroutine[object, object, None]], object]


class CryptoWorker:
    """Implements `CryptoService` with one child process, which is restarted when it ends.

    The process ends when the gateway ends for any reason, since its standard input is closed then.
    """

    def __init__(self, config: As2, folder: Path, spawn: Spawn) -> None:
        """`spawn` runs a coroutine in the background; the worker reads the same files as the gateway."""
        self._settings = WorkerSettings(config, folder)
        self._numbers = itertools.count()
        self._in_flight: dict[int, asyncio.Future[Sealed | Opened]] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._ready, self._closed = asyncio.Event(), False
        spawn(self._run())

    async def seal(self, content: bytes, layers: Layers, partner: str, now: float) -> Sealed:
        """See `CryptoService.seal`."""
        result = await self._call(SealRequest(content, layers, partner, now))
        assert isinstance(result, Sealed)
        return result

    async def unseal(self, outer: Entity, partner: str, policy: AcceptancePolicy, now: float) -> Opened:
        """See `CryptoService.unseal`."""
        result = await self._call(UnsealRequest(outer, partner, policy, now))
        assert isinstance(result, Opened)
        return result

    def close(self) -> None:
        """Accept no more requests and let the process end."""
        self._closed = True
        if self._process is not None and self._process.stdin is not None:
            self._process.stdin.close()

    @property
    def pid(self) -> int:
        """The id of the latest process; 0 before the first one has started."""
        return self._process.pid if self._process is not None else 0

    async def ready(self) -> None:
        """Wait until there is a process that has read its keys."""
        await self._ready.wait()

    async def _call(self, work: SealRequest | UnsealRequest) -> Sealed | Opened:
        await self.ready()
        if self._closed or self._process is None or self._process.stdin is None:
            raise CryptoServiceError("no crypto worker is running")
        number = next(self._numbers)
        done: asyncio.Future[Sealed | Opened] = asyncio.get_running_loop().create_future()
        self._in_flight[number] = done
        try:
            self._process.stdin.write(frame(Request(number, work)))
            return await done
        finally:
            self._in_flight.pop(number, None)

    async def _run(self) -> None:
        while not self._closed:
            try:
                await self._run_process()
            except OSError as error:
                log.error("AS2 crypto worker: %s", error)
            self._ready.clear()
            for done in self._in_flight.values():
                if not done.done():
                    done.set_exception(CryptoServiceError("the crypto worker ended before it answered"))
            if not self._closed:
                log.error("AS2 crypto worker has ended; starting another in %s s", RESTART_DELAY_S)
                await asyncio.sleep(RESTART_DELAY_S)

    async def _run_process(self) -> None:
        """Run one process from its start to its end."""
        self._process = process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            PROCESS_MODULE,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(frame(self._settings))
        try:
            await process.stdout.readexactly(len(READY))
            self._ready.set()
            while True:
                size = LENGTH.unpack(await process.stdout.readexactly(LENGTH.size))[0]
                self._on_response(pickle.loads(await process.stdout.readexactly(size)))
        except asyncio.IncompleteReadError:
            await process.wait()

    def _on_response(self, response: Response) -> None:
        done = self._in_flight.get(response.number)
        if done is None or done.done():
            return  # The caller was cancelled.
        if isinstance(response.result, Exception):
            done.set_exception(response.result)
        else:
            done.set_result(response.result)
