"""Where cryptography runs: short work in the loop's own thread, long work in another, for `cryptography` lets
go of the interpreter meanwhile."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec, TypeVar

LARGE = 16 * 1024  # bytes from which on another thread is worth the way there and back

P = ParamSpec("P")
T = TypeVar("T")


class Crew:
    """One further thread: the machine has one core, and two threads would only take turns."""

    def __init__(self, threads: bool = True) -> None:
        self._pool = ThreadPoolExecutor(1, "as2") if threads else None

    async def run(self, size: int, work: Callable[P, T], *args: P.args, **more: P.kwargs) -> T:
        """The result of some work on so many bytes."""
        if self._pool is None or size < LARGE:
            return work(*args, **more)
        call = functools.partial(work, *args, **more)
        return await asyncio.get_running_loop().run_in_executor(self._pool, call)

    def close(self) -> None:
        """Take no more work."""
        if self._pool is not None:
            self._pool.shutdown(wait=False, cancel_futures=True)
