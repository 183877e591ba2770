"""Runs forwarders in the test process on real sockets, with the target and the platform that they need."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from emberlatch.platform import PlatformForwarder, read_config
from tests.peers import Handler, Peer, accept, config, free_port, listed_target


@asynccontextmanager
async def started_forwarder(folder: Path, document: dict[str, Any]) -> AsyncIterator[PlatformForwarder]:
    """Start a forwarder with this configuration; its configuration file and its state are in the folder."""
    path, state = folder / "config.json", folder / "state"
    path.write_text(json.dumps(document))
    state.mkdir(exist_ok=True)
    forwarder = PlatformForwarder(read_config({"EDGE_CONFIG": str(path), "EDGE_STATE": str(state)}))
    forwarder.start_operator_server()
    await forwarder.start()
    try:
        yield forwarder
    finally:
        await forwarder.stop()


@asynccontextmanager
async def forwarder_with_operators(
    folder: Path, handler: Handler = accept
) -> AsyncIterator[tuple[int, int, Peer, PlatformForwarder]]:
    """Start a forwarder; yields its port for clients, its port for operators, its target, and itself."""
    async with listed_target(handler) as (target, platform, service):
        port, operators = await free_port(), await free_port()
        document = config(service.address, platform.document(), port) | {"ops": f"127.0.0.1:{operators}"}
        async with started_forwarder(folder, document) as forwarder:
            yield port, operators, target, forwarder
