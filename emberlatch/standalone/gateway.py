"""Puts the standalone gateway together: the engine with an HTTP front, the HTTP carrier, an inventory as
membership, and ends that are reported or kept."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import resource
import secrets
import signal
import sys
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from emberlatch.config import Gateway, settings
from emberlatch.inventory import InventoryMembership, Vocabulary
from emberlatch.net.limits import places
from emberlatch.net.notices import Notices
from emberlatch.node import Node
from emberlatch.standalone.control import Control
from emberlatch.standalone.ends import Ends
from emberlatch.store import Folder
from emberlatch.takeover import Lock

log = logging.getLogger(__name__)


class StartError(Exception):
    """The gateway can't start; the text names the setting and the reason."""


def vocabulary(config: Gateway) -> Vocabulary:
    """The words that the inventory may use."""
    return Vocabulary(tuple(config.wings), tuple(config.kinds))


class Standalone:
    """One gateway. The state folder is its own: a second process on it does not start."""

    def __init__(self, config: Gateway) -> None:
        """Raises StartError, or RefusedError if there is no inventory to go by."""
        self._config = config
        state = config.path(config.state)
        self._lock = _claim(state)
        try:
            self._make(config, state)
        except Exception:
            self._lock.close()
            raise

    def _make(self, config: Gateway, state: Path) -> None:
        journal = state / "journal"
        journal.mkdir(exist_ok=True)
        try:
            node = Node(
                settings(config),
                secrets.randbits(64),
                Folder(journal),
                config.limits.journal,
                config.listen_address,
                places(_descriptors(config.limits.sockets)),
                named=lambda partner: self.membership.named(partner),
                asked=self._asked if config.reports is None else None,
            )
        except ValueError as error:
            raise StartError(f"limits.journal: {error}") from error
        self._tasks, self.engine = node.tasks, node.engine
        self.server, self.targets = node.server, node.targets
        self.membership = InventoryMembership(
            [config.path(path) for path in config.inventory.paths],
            state,
            vocabulary(config),
            config.inventory.poll,
            config.inventory.settle,
            self.engine.listed,
            self._tasks,
        )
        self.ends: Ends | Notices = self._make_ends(state)
        node.join(self.membership, self.ends)
        self._control = Control(state, {"status": self.status, "reload": self.reload})

    def _make_ends(self, state: Path) -> Ends | Notices:
        config, confirmed = self._config, self.engine.confirmed
        if config.reports is None:
            return Ends(state, config.limits.ends_log, config.limits.ends, confirmed)
        url = urlsplit(config.reports)
        address = (url.hostname or "", url.port or 80)
        return Notices(address, confirmed, self._tasks, url.path or "/", tells_deliveries=True)

    async def start(self) -> None:
        """Go on with what the journal holds, then listen."""
        try:
            await self.engine.start()
        except OSError as error:
            name = "state" if error.filename else "listen"
            raise StartError(f"{name}: {error}") from error
        gc.collect()
        gc.freeze()  # what is listed at the start lives on: no round of the collector need walk it
        try:
            await self._control.start()
        except OSError as error:
            raise StartError(f"state: {error}") from error

    async def stop(self) -> None:
        """End what can end in time and leave the rest to the journal."""
        self._control.stop()
        await self.engine.stop()
        self._lock.close()

    async def reload(self) -> dict[str, Any]:
        """Look at the inventory now; what came of it."""
        before = self.membership.inventory.digest
        await self.membership.reload()
        return self._inventory() | {"changed": self.membership.inventory.digest != before}

    def hang_up(self) -> None:
        """SIGHUP: look at the inventory now."""
        log.info("SIGHUP: looking at the inventory")
        self._tasks.spawn(self.membership.reload())

    async def status(self) -> dict[str, Any]:
        """What operators may see, as plain values."""
        names = {number: name for name, number in self.membership.inventory.names.items()}
        told = self.engine.status()
        for pool in told["pools"]:
            pool["partner"] = names.get(pool["destination"], "")
        return {"inventory": self._inventory(), "ends_pending": self.ends.pending} | told

    def _inventory(self) -> dict[str, Any]:
        membership = self.membership
        return {
            "set": membership.inventory.digest,
            "taken": membership.taken,
            "endpoints": len(membership.inventory),
            "waiting": dict(membership.waiting),
            "problems": [str(problem) for problem in membership.problems],
        }

    def _asked(self, message: str) -> bytes | None:
        assert isinstance(self.ends, Ends)
        if self.engine.holds(message):
            return json.dumps({"id": message, "state": "held"}).encode()
        end = self.ends.of(message)
        return None if end is None else json.dumps({k: v for k, v in end.items() if k != "ref"}).encode()


def _claim(state: Path) -> Lock:
    """Make the folder and own it as long as the process lives."""
    try:
        state.mkdir(parents=True, exist_ok=True)
        lock = Lock(state)
    except OSError as error:
        raise StartError(f"state: {error}") from error
    if not lock.take():
        lock.close()
        raise StartError(f"state: {str(state)!r} is in use by another gateway")
    return lock


def _descriptors(wanted: int) -> int:
    """Make sure that the process may open so many."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise StartError(f"limits.sockets: {wanted}, but this process may open {hard} descriptors")
    if soft != resource.RLIM_INFINITY and wanted > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    return wanted


async def serve(config: Gateway) -> None:
    """Run until SIGTERM or SIGINT; raises StartError or RefusedError."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # the start itself looks at the inventory
    gateway = Standalone(config)
    await gateway.start()
    loop.add_signal_handler(signal.SIGHUP, gateway.hang_up)
    inventory = gateway.membership.inventory
    log.info("set %s with %d endpoints, listening on %s", inventory.digest, len(inventory), config.listen)
    sys.stderr.flush()
    await stop.wait()
    await gateway.stop()
