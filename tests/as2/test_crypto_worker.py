"""The crypto worker process: its results, its errors, and the end of the worker or the gateway."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from emberlatch.as2 import mime
from emberlatch.as2.crypto_service import CryptoServiceError
from emberlatch.as2.crypto_worker import CryptoWorker
from emberlatch.as2.errors import As2Error, Modifier
from emberlatch.as2.message import AcceptancePolicy, Layers
from emberlatch.config.as2 import As2, As2Partner
from emberlatch.engine import Tasks
from emberlatch.standins.as2_script import Script
from tests.as2.parties import NOW
from tests.as2.world import CONTENT, configuration, partner, running, until, write
from tests.peers import free_port
from tests.standalone.running_gateway import GatewayProcess, final_state, run_async_test, submit


@asynccontextmanager
async def worker(folder: Path) -> AsyncIterator[CryptoWorker]:
    """Run a worker whose only partner has our own certificate, so that it can open what it seals."""
    write(folder, "us")
    profile = As2Partner(name="self", certificates=["us.crt"])
    tasks = Tasks()
    made = CryptoWorker(
        As2(name="us", certificates=["us.pem"], partners={"self": profile}), folder, tasks.spawn
    )
    try:
        await made.ready()
        yield made
    finally:
        made.close()
        await until(lambda: has_ended(made.pid))
        tasks.cancel()


def has_ended(pid: int) -> bool:
    """Return whether a process has ended; a zombie counts as ended."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except (FileNotFoundError, ProcessLookupError):  # The process may be reaped between open and read.
        return True


def child_pids(pid: int) -> list[int]:
    """Return the ids of a process's children."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_worker_seals_opens_and_raises_the_errors_of_its_requests(tmp_path: Path) -> None:
    async def test() -> None:
        async with worker(tmp_path) as service:
            sealed = await service.seal(CONTENT, Layers(), "self", NOW)
            outer = mime.make_entity(sealed.headers, sealed.body)
            opened = await service.unseal(outer, "self", AcceptancePolicy(), NOW)
            assert opened.content.raw == CONTENT and opened.mic() == (sealed.mic, "sha256")
            assert opened.signer.startswith("CN=us")
            modified = sealed.body[:-1] + bytes([sealed.body[-1] ^ 1])
            for bad, modifier in (
                (mime.make_entity(sealed.headers, modified), Modifier.AUTHENTICATION),
                (mime.make_entity((("Content-Type", "multipart/signed"),), b""), Modifier.UNEXPECTED),
            ):
                with pytest.raises(As2Error) as caught:
                    await service.unseal(bad, "self", AcceptancePolicy(), NOW)
                assert caught.value.modifier is modifier and caught.value.cause
            with pytest.raises(KeyError):
                await service.seal(CONTENT, Layers(), "nobody", NOW)

    run_async_test(test)


def test_request_fails_when_worker_is_killed_and_the_next_worker_serves(tmp_path: Path) -> None:
    async def test() -> None:
        async with worker(tmp_path) as service:
            before = service.pid
            os.kill(before, signal.SIGSTOP)
            work = asyncio.ensure_future(service.seal(CONTENT, Layers(), "self", NOW))
            await asyncio.sleep(0)
            os.kill(before, signal.SIGKILL)
            with pytest.raises(CryptoServiceError):
                await work
            sealed = await service.seal(CONTENT, Layers(), "self", NOW)
            assert sealed.body and service.pid != before

    run_async_test(test)


def test_payout_is_sent_by_the_next_worker_when_a_worker_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, Script) as (gateway, bank, port, _):
            assert gateway._as2_parts is not None
            os.kill(gateway._as2_parts.crypto_worker.pid, signal.SIGKILL)
            # The time-out is long, so that the start of the next worker on a busy machine can't exceed it.
            assert await submit(port, "m1", "river", X_Timeout_Ms="30000") == 202
            assert await final_state(port, "m1") == "delivered"
            assert len(bank.received) == 1

    run_async_test(test)


def test_worker_ends_when_gateway_is_killed_or_terminated(tmp_path: Path) -> None:
    async def test() -> None:
        bank = partner()
        await bank.start()
        port = await free_port()
        path = configuration(tmp_path, port, await free_port(), bank.address)
        gateway = GatewayProcess(tmp_path, path, port)
        for number in (signal.SIGKILL, signal.SIGTERM):
            await gateway.start()
            own = gateway.process.pid
            (child,) = child_pids(own)
            await gateway.kill(number)
            await until(lambda child=child: has_ended(child))  # type: ignore[misc]
        with suppress(OSError):
            await bank.stop()

    run_async_test(test)
