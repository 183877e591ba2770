"""Interfaces between the replicated register and its process: transport, storage and listener."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.state import ControlState, Voter


class Transport(Protocol):
    """Sends requests to the other machines that have a disk."""

    def reachable_nodes(self) -> Iterable[str]:
        """Return the nodes that can be called now."""

    def node_of(self, voter: Voter) -> str | None:
        """Return the node of a voter as last reported; None if it is not known."""

    def voters_with_replaced_disk(self, voters: Iterable[Voter]) -> frozenset[Voter]:
        """Return the voters among `voters` whose machines have since reported another disk identity."""

    async def call(self, node: str, request: list[object], timeout: float) -> object:
        """Send an encoded request and return the encoded reply.

        `timeout` is in seconds. Raises UnreachableError if there is no reply within it.
        """


class Storage(Protocol):
    """Stable storage for the acceptor's record."""

    def write(self, record: AcceptorRecord) -> None:
        """Write and sync a record; blocks. Raises OSError if the record can't be made durable."""


class RegisterListener(Protocol):
    """Is notified of changes in the register, synchronously and on the event loop."""

    def state_changed(self, state: ControlState) -> None:
        """A newer state became known, or the first one was read from disk."""

    def disk_changed(self, error: OSError | None) -> None:
        """The disk began to fail with `error`, or works again if `error` is None."""


class NullListener:
    """A listener for registers that nobody observes."""

    def state_changed(self, state: ControlState) -> None:
        """Do nothing."""

    def disk_changed(self, error: OSError | None) -> None:
        """Do nothing."""


Offload = Callable[[Callable[[], None]], Awaitable[None]]
"""Runs a blocking call off the event loop; re-raises what the call raises."""


@dataclass(frozen=True, slots=True)
class RegisterPorts:
    """The interfaces that one register uses, passed to its constructor."""

    offload: Offload
    transport: Transport
    listener: RegisterListener
