"""`python -m emberlatch.storm.process CONFIG`: the gateway as `emberlatch serve` runs it, in a storm.

The runner decides how far the clocks of the process are off. The process listens on ports that the runner has
reserved, so that no other process gets one of them while this process is down.
"""

from __future__ import annotations

import argparse
import asyncio
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from emberlatch.config import ConfigError, load
from emberlatch.engine import REAL_MACHINE, Address, Listener, Machine
from emberlatch.engine.machine import BACKLOG
from emberlatch.inventory import RefusedError
from emberlatch.standalone import GatewayError, serve
from emberlatch.standalone.logging_setup import configure

STATUS_CANNOT_START = 2


class SkewedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock runs at `rate` times the true rate."""

    def __init__(self, rate: float) -> None:
        super().__init__()
        self._rate = rate

    def time(self) -> float:
        """The skewed monotonic time, in seconds."""
        return super().time() * self._rate


def listen_on_reserved_port(address: Address) -> Listener:
    """Listen on a port that the runner has reserved; raises OSError if the port cannot be bound."""
    listener = socket.create_server(address, backlog=BACKLOG, reuse_port=True)
    listener.setblocking(False)
    return listener


def skewed_machine(wall_offset_s: float) -> Machine:
    """Return the real machine with a wall clock that is off, and with ports that the runner has reserved."""
    return replace(
        REAL_MACHINE, wall_clock=lambda: time.time() + wall_offset_s, listen=listen_on_reserved_port
    )


def main(prepare: Callable[[str], None] = lambda _: None) -> int:
    """Run the gateway until it stops, and return the exit status.

    Tests pass a `prepare` that plants a bug in the program.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("config", type=Path)
    parser.add_argument("--wall", type=float, default=0.0, help="seconds by which the wall clock is off")
    parser.add_argument("--rate", type=float, default=1.0, help="rate of the monotonic clock; 1 is true")
    parser.add_argument("--late", type=float, default=0.0, help="seconds that the start takes longer")
    parser.add_argument("--plant", default="", help="passed to `prepare`")
    arguments = parser.parse_args()
    prepare(arguments.plant)
    try:
        config = load(arguments.config)
    except ConfigError as error:
        print(*error.problems, sep="\n", file=sys.stderr)
        return STATUS_CANNOT_START
    configure(config.log, config.log_format)
    time.sleep(arguments.late)  # a blocking call is safe here: no event loop runs yet
    try:
        with asyncio.Runner(loop_factory=lambda: SkewedLoop(arguments.rate)) as runner:
            runner.run(serve(config, skewed_machine(arguments.wall)))
    except (GatewayError, RefusedError) as error:
        print(error, file=sys.stderr)
        return STATUS_CANNOT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
