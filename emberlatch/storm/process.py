"""`python -m emberlatch.storm.process CONFIG`: the gateway as `emberlatch serve` runs it, on a machine that
the runner sets: clocks that are off, and ports that the runner has reserved, so that no other process is
given one while this one is down.
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
    """An event loop whose clock runs at `rate` of the true one."""

    def __init__(self, rate: float) -> None:
        super().__init__()
        self._rate = rate

    def time(self) -> float:
        """The skewed monotonic time, in seconds."""
        return super().time() * self._rate


def listen_on_reserved_port(address: Address) -> Listener:
    """Listen on a port that the runner has reserved; raises OSError."""
    listener = socket.create_server(address, backlog=BACKLOG, reuse_port=True)
    listener.setblocking(False)
    return listener


def skewed_machine(wall_offset_s: float) -> Machine:
    """This machine with a wall clock that is off, and with ports that the runner has reserved."""
    return replace(
        REAL_MACHINE, wall_clock=lambda: time.time() + wall_offset_s, listen=listen_on_reserved_port
    )


def main(prepare: Callable[[str], None] = lambda _: None) -> int:
    """Run until a signal; returns the exit status. `prepare` may change the program: tests plant bugs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("config", type=Path)
    parser.add_argument("--wall", type=float, default=0.0, help="seconds by which the wall clock is off")
    parser.add_argument("--rate", type=float, default=1.0, help="of the monotonic clock")
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
    time.sleep(arguments.late)  # nothing runs yet
    try:
        with asyncio.Runner(loop_factory=lambda: SkewedLoop(arguments.rate)) as runner:
            runner.run(serve(config, skewed_machine(arguments.wall)))
    except (GatewayError, RefusedError) as error:
        print(error, file=sys.stderr)
        return STATUS_CANNOT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
