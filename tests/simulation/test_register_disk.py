"""A machine's record on its disk when writes are interrupted or their callers are cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import cbor2
import pytest

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.errors import UnreachableError
from emberlatch.cluster.consensus.ports import NullListener, RegisterPorts
from emberlatch.cluster.consensus.register import ControlRegister
from emberlatch.cluster.consensus.state import ControlState, Voter
from emberlatch.cluster.consensus.storage import VOTE_FILE, RecordStorage


def test_a_damaged_disk_stays_lost_if_writing_its_new_identity_is_interrupted(tmp_path: Path) -> None:
    """Without its vote the old identity must not be loaded again, whichever write is interrupted."""
    RecordStorage(tmp_path, "a").create(ControlState(version=4), None)
    (tmp_path / VOTE_FILE).write_bytes(b"\xff damaged")

    def fail_write(path: Path, raw: bytes) -> None:
        raise OSError("no power")

    again = RecordStorage(tmp_path, "a", fail_write)
    assert again.load() is None
    with pytest.raises(OSError, match="no power"):
        again.create(ControlState(), None)
    assert RecordStorage(tmp_path, "a").load() is None


def test_a_vote_on_a_decided_version_is_not_decoded(tmp_path: Path) -> None:
    """A later release, since rolled back, may have accepted a command that this release does not know."""
    storage = RecordStorage(tmp_path, "a")
    created = storage.create(ControlState(version=4), None)
    unknown = [[2, "p"], [[9, "p"], [["a command of later releases"]]]]
    (tmp_path / VOTE_FILE).write_bytes(cbor2.dumps([4, *unknown]))
    assert RecordStorage(tmp_path, "a").load() == created
    (tmp_path / VOTE_FILE).write_bytes(cbor2.dumps([5, *unknown]))
    assert RecordStorage(tmp_path, "a").load() is None


class NoTransport:
    """A transport that reaches no other machine."""

    def reachable_nodes(self) -> Iterable[str]:
        return ()

    def node_of(self, voter: Voter) -> str | None:
        return None

    def voters_with_replaced_disk(self, voters: Iterable[Voter]) -> frozenset[Voter]:
        return frozenset()

    async def call(self, node: str, request: list[Any], timeout: float) -> Any:
        raise UnreachableError(node)


class SlowDisk:
    """A disk whose writes continue after their caller is cancelled; each takes twice as long as the next."""

    def __init__(self) -> None:
        self.written: list[int] = []
        self._seconds = 0.2

    def write(self, record: AcceptorRecord) -> None:
        self.written.append(record.state.version)

    async def offload(self, work: Callable[[], None]) -> None:
        self._seconds /= 2
        done = asyncio.get_running_loop().create_future()

        def finish() -> None:
            work()
            if not done.done():
                done.set_result(None)

        asyncio.get_running_loop().call_later(self._seconds, finish)
        await done


def test_a_write_with_a_cancelled_caller_is_completed_before_the_next_begins() -> None:
    """The write of version 5 goes on after its caller is cancelled, while version 6 is learned.

    Version 5 must not overwrite version 6.
    """

    async def learn_two_versions() -> None:
        disk = SlowDisk()
        record = AcceptorRecord(Voter("a", "disk"), None, ControlState(version=4))
        ports = RegisterPorts(disk.offload, NoTransport(), NullListener())
        register = ControlRegister(record, disk, ports)
        cancelled = asyncio.ensure_future(register.learn(ControlState(version=5)))
        await asyncio.sleep(0.01)
        cancelled.cancel()
        await asyncio.wait({cancelled})
        await register.learn(ControlState(version=6))
        await asyncio.sleep(0.3)
        assert disk.written == [5, 6]
        assert register.record is not None and register.record.state.version == 6

    asyncio.run(learn_two_versions())
