"""Runs a gateway process: SIGTERM and SIGINT stop it, SIGHUP reloads the inventory and the fleet members."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys

import structlog

from emberlatch.config import Gateway
from emberlatch.engine import REAL_MACHINE, Machine
from emberlatch.standalone.errors import StorageFailedError
from emberlatch.standalone.gateway import StandaloneGateway

log = logging.getLogger(__name__)
event_log = structlog.stdlib.get_logger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def serve(config: Gateway, machine: Machine = REAL_MACHINE) -> None:
    """Run a gateway until SIGTERM or SIGINT; raises GatewayError or RefusedError."""
    loop = asyncio.get_running_loop()
    stop_requested_early = asyncio.Event()  # set by a stop signal that arrives before the gateway exists
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested_early.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # ignored: the start reads the files
    gateway = StandaloneGateway(config, machine)
    if stop_requested_early.is_set():
        gateway.stop_requested.set()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, gateway.stop_requested.set)
    await gateway.start()
    loop.add_signal_handler(signal.SIGHUP, _on_sighup, gateway)
    inventory = gateway.membership.inventory
    event_log.info("serving", listen=config.listen, set=inventory.digest, endpoints=len(inventory))
    sys.stderr.flush()
    await gateway.stop_requested.wait()
    if gateway.storage_failure is not None:  # no graceful stop: the next start recovers from disk
        raise StorageFailedError(gateway.storage_failure)
    await gateway.stop()


def _on_sighup(gateway: StandaloneGateway) -> None:
    log.info("SIGHUP: reloading the inventory")
    gateway.reload_files()
