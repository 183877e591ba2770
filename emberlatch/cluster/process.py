"""A node as an operating system process: settings file, event loop and signals.

SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads the settings file.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from emberlatch.cluster.disk import Disk
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.node import Node
from emberlatch.cluster.settings import NodeSettings, SettingsError, read_settings
from emberlatch.engine import Machine

SETTINGS_CHECK_INTERVAL_S = 1.0  # seconds between two checks whether the settings file has changed
MILLISECONDS_PER_S = 1000
SEED_RANGE = 1 << 30  # exclusive upper bound of the seed for the node's random choices
EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2


class NodeProcess:
    """Runs one node from its start to the end of its graceful shutdown."""

    def __init__(self, settings_path: Path, settings: NodeSettings) -> None:
        self._settings_path, self._settings = settings_path, settings
        self._shutdown_requested = asyncio.Event()
        self._disk_thread = ThreadPoolExecutor(1, "disk")

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT. The node handles disk errors itself; they never end the process."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        # The handlers are installed first: a SIGTERM while the disk is read must lead to a graceful shutdown.
        node = self._create_node()
        await node.start()
        gc.collect()
        gc.freeze()  # Later collections do not traverse the permanent objects.
        watcher = loop.create_task(self._watch_settings())
        await self._shutdown_requested.wait()
        watcher.cancel()
        await node.stop()

    def _create_node(self) -> Node:
        incarnation = max(1, int(time.time() * MILLISECONDS_PER_S))
        seed = random.randrange(SEED_RANGE)
        return Node(self._settings, Machine(), Disk(self._run_in_disk_thread), incarnation, seed)

    async def _run_in_disk_thread(self, work: Callable[[], None]) -> None:
        await asyncio.get_running_loop().run_in_executor(self._disk_thread, work)

    def _reload_settings(self) -> None:
        """Read the settings file; if it is invalid, log the error and keep the previous settings."""
        try:
            self._settings = read_settings(self._settings_path)
        except SettingsError as error:
            log_event(Event.SETTINGS_REJECTED, str(error))
        else:
            log_event(Event.SETTINGS_RELOADED, str(self._settings_path))

    async def _watch_settings(self) -> None:
        last = self._settings_modified_at()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            current = self._settings_modified_at()
            if current != last:
                last = current
                self._reload_settings()

    def _settings_modified_at(self) -> float:
        """Return the file's modification time in seconds since the epoch; 0 if it can't be read."""
        try:
            return self._settings_path.stat().st_mtime
        except OSError:
            return 0.0


def run(settings_path: str) -> int:
    """Run a node and exit the process; return only for invalid settings, with their exit code."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname).1s %(message)s")
    path = Path(settings_path)
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        import uvloop
    except ImportError:
        asyncio.run(_run_node(path, settings))
    else:
        uvloop.run(_run_node(path, settings))
    sys.stderr.flush()
    os._exit(EXIT_OK)  # A regular exit would join the disk thread, which may be stuck in a write.


async def _run_node(path: Path, settings: NodeSettings) -> None:
    await NodeProcess(path, settings).run()
