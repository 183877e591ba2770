"""Graceful shutdown: accept connections briefly, wait for calls, keep open messages in the journal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from emberlatch.engine.ports import Ingress

ACCEPT_AFTER_STOP_S = 0.5
"""Seconds after the start of a shutdown during which new connections are still accepted."""
CALLS_AFTER_STOP_S = 3.0
"""Seconds after the start of a shutdown by which calls must have ended."""
EXIT_AFTER_STOP_S = 3.3
"""Seconds after the start of a shutdown at which the process exits, even with pending work."""
CHECK_INTERVAL_S = 0.02


async def shut_down(
    ingresses: Sequence[Ingress],
    began: float,
    busy: Callable[[], bool],
    has_open_messages: Callable[[], bool],
) -> None:
    """Stop the ingresses, and return when nothing is pending or the time limit is reached.

    `began` is the start of the shutdown on the event loop's clock. `busy` returns whether calls, notices or
    syncs are pending. If only open messages remain, the function waits no longer than CALLS_AFTER_STOP_S. It
    also waits while a client is connected, since a client that connected just before the listener was closed
    may still be writing its request.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    for ingress in ingresses:
        ingress.close_listener()
    while (now := loop.time()) < began + EXIT_AFTER_STOP_S and (
        busy()
        or any(ingress.has_clients for ingress in ingresses)
        or (has_open_messages() and now < began + CALLS_AFTER_STOP_S)
    ):
        await asyncio.sleep(CHECK_INTERVAL_S)
