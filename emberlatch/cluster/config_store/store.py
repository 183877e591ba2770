"""The operator's word in this process: which version is held, which stands, and how it gets to the others.

A machine with a disk keeps a version before it says that it has it. A version stands once enough disks have
it; only then is it acknowledged and in force. Nothing elects: of two versions the higher one is kept by all,
and whoever has the lower one takes it when they next meet.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Any

from expression import Error, Ok, Result

from emberlatch.cluster.config_store.files import ConfigFiles, digest
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.rpc import Lost, Peer
from emberlatch.cluster.settings import Configuration, Fault, read_configuration
from emberlatch.engine import Tasks
from emberlatch.store import Offload

SPREAD = 0.6  # seconds for another store to say that it has a version
PATIENCE = 0.8  # seconds that an operator waits for an acknowledgement


class ConfigStore:
    """`enough` says whether these nodes' disks bear what may be lost; `others` are the stores that are up.

    Without `files` this process keeps no disk: it takes what stands elsewhere.
    """

    def __init__(
        self,
        me: str,
        files: ConfigFiles | None,
        offload: Offload,
        tasks: Tasks,
        enough: Callable[[Iterable[str]], bool],
        others: Callable[[], list[Peer]],
    ) -> None:
        self._me, self._files, self._offload, self._tasks = me, files, offload, tasks
        self._enough, self._others = enough, others
        self.held: Configuration | None = None  # the newest that this process has, on its disk if it has one
        self.force: Configuration | None = None  # the newest that stands
        self._held = self._force = (-1, "")  # their ranks
        self._have: dict[str, tuple[int, str]] = {}  # the newest that each store said it has on its disk
        self._changed = asyncio.Event()
        self._writing = asyncio.Lock()
        self._fetching = False
        self.in_force: Callable[[Configuration], None] = lambda _: None

    @property
    def revision(self) -> int:
        """The version in force here; -1: none."""
        return self.force.revision if self.force is not None else -1

    @property
    def newest(self) -> int:
        """The version held here, whether it stands or not; -1: none."""
        return self.held.revision if self.held is not None else -1

    def load(self) -> None:
        """Read what the earlier life kept."""
        raw = self._files.newest() if self._files is not None else None
        match read_configuration(raw) if raw is not None else Error("none"):
            case Result(tag="ok", ok=config):
                self._hold(config)
            case _:
                pass

    def _hold(self, config: Configuration) -> None:
        """The one place in which the held version changes: it only grows.

        Two operators may send two texts under one version to two machines: of these the one with the higher
        digest stays, everywhere.
        """
        if (told := _rank(config)) > self._held:
            self.held, self._held, self._have[self._me] = config, told, told
            self._settle()

    def _settle(self) -> None:
        """The one place in which the version in force changes: what enough disks have."""
        held = self.held
        if held is None or self._held <= self._force:
            return
        have = [node for node, has in self._have.items() if has == self._held or has[0] > held.revision]
        if self._files is None or self._enough(have):
            self.force, self._force = held, self._held
            log_event(Event.CONFIG_TAKEN, f"revision={held.revision}")
            self.in_force(held)
        self._changed.set()
        self._changed = asyncio.Event()

    def heard(self, node: str, version: Any) -> bool:
        """A store says which version is on its disk; whether ours is older."""
        if isinstance(version, list | tuple) and len(version) == 2 and isinstance(version[0], int):
            told = version[0], str(version[1])
            if self._have.get(node, (-1, "")) <= told:
                self._have[node] = told
                self._settle()
            return told > self._held
        return False

    def forget(self, node: str) -> None:
        """A store came back with an empty disk: it has nothing until it says so."""
        self._have.pop(node, None)

    def told(self) -> list[Any]:
        """Which version is on our disk."""
        return list(self._have.get(self._me, (-1, "")))

    async def keep(self, raw: bytes, ours: bool = False) -> Result[Configuration, str]:
        """Check a version, and put it on our disk if it is newer; it, or what is wrong with it.

        `ours` comes from another machine; an operator's must be above what is held.
        """
        read = read_configuration(raw)
        match read:
            case Result(tag="ok", ok=config):
                pass
            case _:
                return read
        async with self._writing:
            newer = _rank(config) > self._held if ours else config.revision > self.newest
            if newer:
                if self._files is not None:
                    files = self._files
                    await self._offload(lambda: files.write(config.revision, raw))
                self._hold(config)
        return Ok(config)

    async def take(self, raw: bytes) -> Result[int, Fault]:
        """An operator sends a version: the one that stands now, once that is at least as high."""
        match await self.keep(raw):
            case Result(tag="error", error=reason):
                log_event(Event.CONFIG_REFUSED, reason)
                return Error(Fault("check", self._me, reason))
            case Result(ok=config):
                wanted = config.revision
        loop = asyncio.get_running_loop()
        until = loop.time() + PATIENCE
        for peer in self._others():
            self._tasks.spawn(self._spread(peer))
        while self.revision < wanted and (left := until - loop.time()) > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                break
        if self.revision < wanted:
            return Error(Fault("spread", self._me, "too few disks have it yet"))
        log_event(Event.CONFIG_STANDS, f"revision={self.revision}")
        return Ok(self.revision)

    async def _spread(self, peer: Peer) -> None:
        held = self.held
        if held is None or self._have.get(peer.name, (-1, "")) >= self._held:
            return
        with contextlib.suppress(Lost):  # it is told again when the link is up
            self.heard(peer.name, await peer.ask("word", held.raw, SPREAD))

    async def taken(self, raw: bytes) -> list[Any]:
        """Another process sends a version; which one is on our disk now."""
        await self.keep(raw, ours=True)
        return self.told()

    def meet(self, peer: Peer, version: Any, stands: Any) -> None:
        """A peer said which version it holds, and which is in force there: who has the older one takes the
        other's."""
        mine = self._held
        older = self.heard(peer.name, version) if self._files is not None else False
        if self._files is None:
            older = isinstance(stands, int) and stands > mine[0]
        if older and not self._fetching:
            self._fetching = True
            self._tasks.spawn(self._fetch(peer))
        elif self._files is not None and version and (version[0], str(version[1])) < mine:
            self._tasks.spawn(self._spread(peer))

    async def _fetch(self, peer: Peer) -> None:
        try:
            raw = await peer.ask("tell word", None, 1.0)
            if isinstance(raw, bytes):
                await self.keep(raw, ours=True)
        except Lost:
            pass
        finally:
            self._fetching = False
        if self._files is not None:
            for other in self._others():
                other.tell("beat", None)


def _rank(config: Configuration) -> tuple[int, str]:
    """What is compared of two versions; a digest of its whole text, so it is kept beside what is held."""
    return config.revision, digest(config.raw)
