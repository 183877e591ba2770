"""Runs one forwarder: configuration, signals, start and exit codes."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from emberlatch import wire
from emberlatch.net.directory import UNREADABLE
from emberlatch.net.http import Address, parse_address
from emberlatch.net.node import Config, Node

log = logging.getLogger("emberlatch")

MB = 1_000_000
# Descriptors beside those of clients and calls: standard streams, the loop's own, the listener, the
# journal's (two while it rolls), discovery and notices (two each while they move), files read, and
# sockets accepted or closed in a turn of the loop that are not counted yet.
RESERVED = 32
CLIENTS_SHARE = 0.5  # of the others: calls get the rest


class ConfigError(Exception):
    """A setting is missing or bad; the text names it."""


def _need(section: Mapping[str, Any], name: str, path: str = "") -> Any:
    if name not in section:
        raise ConfigError(f"{path}{name}: is missing")
    return section[name]


def _object(section: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = _need(section, name)
    if not isinstance(value, Mapping):
        raise ConfigError(f"{name}: must be an object")
    return value


def _address(section: Mapping[str, Any], name: str) -> Address:
    try:
        return parse_address(str(_need(section, name)))
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from error


def _positive(section: Mapping[str, Any], name: str) -> float:
    value = _need(section, name, "limits.")
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ConfigError(f"limits.{name}: must be a number over 0")
    return float(value)


def read_config(environment: Mapping[str, str]) -> Config:
    """Read the configuration file and the folder that the environment names."""
    path, state = (_need(environment, name) for name in ("EDGE_CONFIG", "EDGE_STATE"))
    if not os.access(state, os.W_OK | os.X_OK) or not Path(state).is_dir():
        raise ConfigError(f"EDGE_STATE: {state!r} is not a folder that can be written")
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError("EDGE_CONFIG: must hold a JSON object")
    limits, settings = _object(document, "limits"), _object(document, "settings")
    sockets = int(_positive(limits, "sockets")) - RESERVED
    most_clients = int(sockets * CLIENTS_SHARE)
    if most_clients < 1:
        raise ConfigError(f"limits.sockets: must be over {RESERVED + 1}")
    try:
        seed = int(str(_need(document, "seed")), 16)
    except ValueError as error:
        raise ConfigError(f"seed: {error}") from error
    try:
        decoded = wire.decode_settings(json.dumps(settings).encode())
    except wire.WireError as error:
        raise ConfigError(str(error)) from error
    return Config(
        listen=_address(document, "listen"),
        discovery=_address(document, "discovery"),
        state=Path(state),
        seed=seed,
        most_clients=most_clients,
        most_calls=sockets - most_clients,
        journal_bytes=int(_positive(limits, "disk_mb") * MB),
        known=_object(document, "known"),
        raw_settings=settings,
        settings=decoded,
    )


def _reload(node: Node) -> None:
    """Take up the configuration as it is now; one that is not good in every part changes nothing."""
    try:
        config = read_config(os.environ)
        node.check(config)
    except (ConfigError, *UNREADABLE) as error:
        log.error("configuration not taken: %r", error)
        return
    node.move(config.discovery)


async def _serve() -> None:
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # From here on SIGHUP is remembered, and what it asks for is done once the node is there.
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    config = read_config(os.environ)
    try:
        node = Node(config)
    except ValueError as error:
        raise ConfigError(f"limits.disk_mb: {error}") from error
    try:
        await node.start()
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"known: {error!r}") from error
    except OSError as error:
        raise ConfigError(f"{'EDGE_STATE' if error.filename else 'listen'}: {error}") from error
    loop.add_signal_handler(signal.SIGHUP, _reload, node)
    if reload.is_set():
        _reload(node)
    await stop.wait()
    await node.stop()


def main() -> int:
    """Run until a signal; 2 says that a setting is at fault."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the file has not been read yet
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        asyncio.run(_serve())
    except ConfigError as error:
        print(f"emberlatch: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
