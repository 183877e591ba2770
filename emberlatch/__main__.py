"""Runs one forwarder on the platform: configuration (EDGE_*), signals, start and exit codes.

With arguments it is the `emberlatch` command instead, whose packages are not loaded on the platform.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from emberlatch.net.directory import UNREADABLE
from emberlatch.platform import ConfigError, Platform, read_config

log = logging.getLogger("emberlatch")


def _reload(platform: Platform) -> None:
    """Take up the configuration as it is now; one that is not good in every part changes nothing."""
    try:
        config = read_config(os.environ)
        platform.check(config)
    except (ConfigError, *UNREADABLE) as error:
        log.error("configuration not taken: %r", error)
        platform.engine.tally.count("reload_failure")
        return
    platform.reload(config)


async def _serve() -> None:
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # From here on SIGHUP is remembered, and what it asks for is done once the forwarder is there.
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    config = read_config(os.environ)
    try:
        platform = Platform(config)
    except ValueError as error:
        raise ConfigError(f"limits.disk_mb: {error}") from error
    try:
        await platform.start()
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"known: {error!r}") from error
    except OSError as error:
        raise ConfigError(f"{'EDGE_STATE' if error.filename else 'listen'}: {error}") from error
    loop.add_signal_handler(signal.SIGHUP, _reload, platform)
    if reload.is_set():
        _reload(platform)
    await stop.wait()
    await platform.stop()


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
    if sys.argv[1:]:
        from emberlatch import cli

        cli.main(prog_name="emberlatch")
    sys.exit(main())
