"""Runs one forwarder on the platform: configuration, signals, start, shutdown and exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
from collections.abc import Coroutine
from dataclasses import replace
from functools import partial

from emberlatch.engine import REAL_MACHINE, Machine
from emberlatch.engine.graceful_shutdown import EXIT_AFTER_STOP_S
from emberlatch.net.directory_list import LIST_DECODE_ERRORS
from emberlatch.platform import ConfigError, PlatformConfig, PlatformForwarder, read_config
from emberlatch.takeover import (
    FolderLock,
    HandoverServer,
    ReceivedHandover,
    acquire_ownership,
    handover_socket_path,
    inherited_listener,
    open_connection,
)

log = logging.getLogger("emberlatch")

FOLDER_RELEASE_TIMEOUT_S = 5.0
"""How long to wait for a killed process to release its folder."""
EXIT_CONFIG_ERROR = 2
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


def _reload(forwarder: PlatformForwarder) -> None:
    """Read and apply the current configuration; if any part of it is invalid, change nothing."""
    try:
        config = read_config(os.environ)
        forwarder.check(config)
    except (ConfigError, *LIST_DECODE_ERRORS) as error:
        log.error("configuration rejected, the current one stays in use: %r", error)
        forwarder.engine.counters.count("reload_failure")
        return
    forwarder.reload(config)


def _inherited_listener() -> socket.socket | None:
    """Return the listening socket that the platform passes to its processes; None if there is none."""
    descriptor = os.environ.get("EDGE_FD")
    try:
        return inherited_listener(descriptor) if descriptor else None
    except ValueError as error:
        raise ConfigError(f"EDGE_FD: {error}") from error


def _machine(config: PlatformConfig, listener: socket.socket | None) -> Machine:
    if listener is None:
        return REAL_MACHINE
    clients, listen = config.listen, REAL_MACHINE.listen
    return replace(REAL_MACHINE, listen=lambda address: listener if address == clients else listen(address))


async def _unless_stopped(
    stop: asyncio.Event, work: Coroutine[object, object, ReceivedHandover | None]
) -> ReceivedHandover | None:
    """Return the result of `work`, or None if `stop` is set first."""
    task, stopped = asyncio.ensure_future(work), asyncio.ensure_future(stop.wait())
    await asyncio.wait({task, stopped}, return_when=asyncio.FIRST_COMPLETED)
    for each in (task, stopped):
        each.cancel()
    return task.result() if task.done() else None


async def _acquire_folder(
    config: PlatformConfig, lock: FolderLock, succeeds: bool, stop: asyncio.Event
) -> ReceivedHandover | None:
    """Wait until this process owns the folder, or until `stop` is set.

    If `succeeds` is set, the process that owns the folder is asked to hand over. Returns the state that
    the previous owner handed over, if any.
    """
    if succeeds:
        connect = partial(open_connection, handover_socket_path(config.name))
        return await _unless_stopped(stop, acquire_ownership(lock, connect))
    try:
        async with asyncio.timeout(FOLDER_RELEASE_TIMEOUT_S):
            return await _unless_stopped(stop, acquire_ownership(lock, None))
    except TimeoutError as error:
        raise ConfigError(f"EDGE_STATE: {str(config.state)!r} is in use by another forwarder") from error


async def _start(
    config: PlatformConfig,
    forwarder: PlatformForwarder,
    lock: FolderLock,
    succeeds: bool,
    stop: asyncio.Event,
) -> bool:
    """Start the forwarder; returns False if it was stopped before it owned the folder."""
    forwarder.start_operator_server()
    received = await _acquire_folder(config, lock, succeeds, stop)
    if not lock.acquired:
        return False
    try:
        await forwarder.start(received)
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"known: {error!r}") from error
    except OSError as error:
        raise ConfigError(f"{'EDGE_STATE' if error.filename else 'listen'}: {error}") from error
    return True


async def _run() -> None:
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # A SIGHUP during the start is handled once the forwarder has started.
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    config, listener = read_config(os.environ), _inherited_listener()
    try:
        lock = FolderLock(config.state)
    except OSError as error:
        raise ConfigError(f"EDGE_STATE: {error}") from error
    try:
        forwarder = PlatformForwarder(config, _machine(config, listener))
    except ValueError as error:
        raise ConfigError(f"limits.disk_mb: {error}") from error
    if not await _start(config, forwarder, lock, listener is not None, stop):
        return
    handover = HandoverServer(lock, forwarder.handover, forwarder.tasks)
    if listener is not None:
        try:
            handover.start(handover_socket_path(config.name))
        except OSError as error:
            log.error(
                "the handover socket cannot be opened, so no process can take over from this one: %s", error
            )
    loop.add_signal_handler(signal.SIGHUP, _on_hang_up, forwarder, handover, reload)
    if reload.is_set() or forwarder.is_outdated():
        _reload(forwarder)
    await _serve(stop, handover, forwarder, reload)


def _on_hang_up(forwarder: PlatformForwarder, handover: HandoverServer, reload: asyncio.Event) -> None:
    """Handle SIGHUP.

    If this process owns the folder, reload at once. Otherwise `_serve` waits until it is known which process
    owns the folder, and reloads if this process is the owner.
    """
    if handover.state_machine.owns:
        _reload(forwarder)
    else:
        reload.set()


async def _serve(
    stop: asyncio.Event, handover: HandoverServer, forwarder: PlatformForwarder, reload: asyncio.Event
) -> None:
    """Serve until SIGTERM or SIGINT, or until a successor owns the folder and no call is in flight here."""
    reload.clear()
    ended = asyncio.ensure_future(handover.ended.wait())
    stopped = asyncio.ensure_future(stop.wait())
    reloading = asyncio.ensure_future(reload.wait())
    while not (ended.done() or stopped.done()):
        await asyncio.wait({ended, stopped, reloading}, return_when=asyncio.FIRST_COMPLETED)
        if reloading.done():
            await handover.wait_until_decided()
            if handover.state_machine.owns:
                _reload(forwarder)
            reload.clear()
            reloading = asyncio.ensure_future(reload.wait())
    reloading.cancel()
    if stopped.done():
        await handover.wait_until_decided()
        if handover.state_machine.on_stop():
            handover.close()
            await forwarder.stop()
        else:
            await asyncio.wait({ended}, timeout=EXIT_AFTER_STOP_S)
    forwarder.tasks.cancel()


def main() -> int:
    """Run until a signal or a takeover; returns the exit code: 0, or 2 if a setting is invalid."""
    # The configuration has not been read yet, so there is nothing to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=LOG_FORMAT)
    try:
        asyncio.run(_run())
    except ConfigError as error:
        print(f"emberlatch: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    return 0
