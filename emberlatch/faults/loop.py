"""An asyncio event loop on a virtual clock.

The loop is asyncio's base loop with a selector that has no descriptors: when no callback is ready, the
selector advances the clock to the next timer. Connections come from a
:class:`~emberlatch.faults.network.Network`. Threads, real sockets and signals are not supported and raise
RuntimeError.

Several simulated processes share one loop. Each callback belongs to the process in whose context it was
scheduled, and is dropped once that process is dead.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import functools
import heapq
from collections.abc import Callable, Coroutine, Generator
from typing import NoReturn, Protocol, TypeVar

from emberlatch.faults.process import ENVIRONMENT, Address, Process, ProcessKilled, current_process

MAX_STEPS = 5_000_000  # number of callbacks after which a run counts as endless
START_TIME_S = 1000.0
CLOCK_RESOLUTION_S = 1e-9

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)
T = TypeVar("T")


class DeadlockError(Exception):
    """The run can't continue: no callback or timer is pending, or `MAX_STEPS` is exceeded."""


class Connector(Protocol):
    """The network through which a loop connects and listens."""

    async def connect(
        self, factory: Callable[[], ProtocolT], address: Address
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Connect to an address; raises OSError if the connection is refused."""

    def serve(self, factory: Callable[[], asyncio.Protocol], address: Address) -> Server:
        """Listen on an address and accept each connection at once."""


class Server(Protocol):
    """A server that accepts each connection at once."""

    def close(self) -> None:
        """Stop listening."""

    async def wait_closed(self) -> None:
        """Wait until the server is closed."""


class ReadableSocket(Protocol):
    """A listener of the virtual network, which `add_reader` takes in place of a descriptor."""

    def set_reader(self, callback: Callable[..., object] | None, args: tuple[object, ...]) -> None:
        """Call `callback` while connections wait to be accepted; None to stop."""


class AcceptedSocket(Protocol):
    """The connection that a listener's `accept` returns."""

    def attach(self, factory: Callable[[], ProtocolT]) -> tuple[asyncio.Transport, ProtocolT]:
        """Turn the socket into a transport of a new protocol."""


class _VirtualSelector:
    """Replaces the loop's selector: waiting advances the virtual clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[object]:
        """Advance the clock to the next timer; raises DeadlockError if there is none to wait for."""
        if timeout is None:
            raise DeadlockError(
                f"nothing is due: no callback and no timer is pending at {self._loop.time():.3f} s"
            )
        if timeout > 0:
            self._loop.advance()
        return []

    def close(self) -> None:
        """Do nothing: there are no descriptors to close."""


class VirtualLoop(asyncio.BaseEventLoop):
    """An asyncio event loop on a virtual clock, which starts at `START_TIME_S`.

    `steps` counts the callbacks that became due, also those that were dropped or suspended. `tasks` has every
    task that was created, and `failures` the unhandled exceptions. A network registers itself as `network`.
    """

    network: Connector

    def __init__(self) -> None:
        super().__init__()
        self._selector = _VirtualSelector(self)
        self._now = START_TIME_S
        self._clock_resolution = CLOCK_RESOLUTION_S
        self.steps = 0
        self.tasks: list[asyncio.Task[object]] = []  # keeps unfinished tasks from garbage collection
        self.failures: list[str] = []
        self.set_exception_handler(self._handle_exception)

    def time(self) -> float:
        """The current time of the virtual clock, in seconds."""
        return self._now

    def advance(self) -> None:
        """Advance the clock to the next timer that is not cancelled."""
        while self._scheduled and self._scheduled[0]._cancelled:  # type: ignore[attr-defined]
            heapq.heappop(self._scheduled)._scheduled = False  # type: ignore[attr-defined]
        if self._scheduled:  # type: ignore[attr-defined]
            self._now = max(self._now, self._scheduled[0]._when)  # type: ignore[attr-defined]

    def _process_events(self, event_list: list[object]) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def _handle_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        error = context.get("exception")
        if error is None:  # asyncio reports that a pending task was destroyed, because its process is dead
            return
        if not isinstance(error, ProcessKilled) and current_process.get().alive:
            self.failures.append(f"{context.get('message')}: {error!r}")

    def create_task(
        self,
        coro: Coroutine[object, object, T] | Generator[object, None, T],
        **options: object,
    ) -> asyncio.Task[T]:
        """Create a task like asyncio's loop, and keep a reference to it in `tasks`."""
        task = super().create_task(coro, **options)  # type: ignore[arg-type]
        self.tasks.append(task)
        return task

    def _bind_to_process(
        self,
        callback: Callable[..., object],
        context: contextvars.Context | None,
        handles: list[asyncio.Handle],
    ) -> Callable[..., object]:
        process = current_process.get() if context is None else context.get(current_process, ENVIRONMENT)
        return functools.partial(self._run_in_process, process, callback, handles)

    def _run_in_process(
        self,
        process: Process,
        callback: Callable[..., object],
        handles: list[asyncio.Handle],
        *args: object,
    ) -> None:
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise DeadlockError(f"run exceeds {MAX_STEPS} steps at {self._now:.3f} s")
        if not process.alive or (handles and handles[0].cancelled()):
            return
        if process.suspended_callbacks is not None:
            snapshot = contextvars.copy_context()
            process.suspended_callbacks.append(
                functools.partial(snapshot.run, self._run_in_process, process, callback, handles, *args)
            )
            return
        handles.clear()  # breaks the reference cycle between the handle and its callback
        try:  # noqa: SIM105 (this runs for every callback, and a context manager costs more)
            callback(*args)
        except ProcessKilled:
            pass

    def call_soon(
        self, callback: Callable[..., object], *args: object, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback like asyncio's loop; it belongs to the process of its context."""
        # Has the callback's own handle, so that the callback can be cancelled while its process is suspended:
        handles: list[asyncio.Handle] = []
        handle = super().call_soon(self._bind_to_process(callback, context, handles), *args, context=context)
        handles.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback like asyncio's loop; it belongs to the process of its context."""
        handles: list[asyncio.Handle] = []
        bound = self._bind_to_process(callback, context, handles)
        handle = super().call_at(when, bound, *args, context=context)
        handles.append(handle)
        return handle

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], ProtocolT], host: str, port: int, **_: object
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Connect through the virtual network."""
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: object
    ) -> Server:
        """Listen on the virtual network."""
        return self.network.serve(protocol_factory, (host, port))

    async def connect_accepted_socket(  # type: ignore[override]
        self, protocol_factory: Callable[[], ProtocolT], sock: AcceptedSocket, **_: object
    ) -> tuple[asyncio.Transport, ProtocolT]:
        """Turn an accepted connection into a transport."""
        return sock.attach(protocol_factory)

    def add_reader(  # type: ignore[override]
        self, fd: ReadableSocket, callback: Callable[..., object], *args: object
    ) -> None:
        """Call `callback` while a listener has connections to accept."""
        fd.set_reader(callback, args)

    def remove_reader(self, fd: ReadableSocket) -> bool:  # type: ignore[override]
        """Stop calling the callback of a listener."""
        fd.set_reader(None, ())
        return True


def close_loop(loop: VirtualLoop) -> None:
    """Close a loop at the end of a run, after ending all pending tasks, also those of killed processes."""

    async def end_tasks() -> None:
        for task in loop.tasks:
            if task is not asyncio.current_task() and not task.done():
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                with contextlib.suppress(BaseException):
                    task.get_coro().close()

    loop.set_exception_handler(lambda *_: None)
    loop.run_until_complete(end_tasks())
    loop._ready.clear()  # type: ignore[attr-defined]
    loop._scheduled.clear()  # type: ignore[attr-defined]
    loop.close()


def _raise_unsupported(*_: object, **__: object) -> NoReturn:
    raise RuntimeError("no threads, no real sockets and no signals on the virtual clock")


for _unsupported in (
    "run_in_executor",
    "getaddrinfo",
    "sock_connect",
    "add_writer",
    "add_signal_handler",
    "call_soon_threadsafe",
    "subprocess_exec",
    "connect_read_pipe",
    "create_unix_server",
):
    setattr(VirtualLoop, _unsupported, _raise_unsupported)
