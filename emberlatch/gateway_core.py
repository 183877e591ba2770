"""The parts that all gateways share: the engine, its journal, an HTTP ingress and an HTTP carrier.

`platform` and `standalone` add the membership, the notifier, and any other ingress or carrier.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from emberlatch.core import interface as api
from emberlatch.engine import (
    NO_DURABLE_CLASSES,
    REAL_MACHINE,
    Address,
    Carrier,
    CompletionNotifier,
    DurableClasses,
    Engine,
    EnginePorts,
    Ingress,
    Machine,
    Membership,
    Tasks,
)
from emberlatch.net.http_carrier import HttpCarrier
from emberlatch.net.message_api import MessageApi
from emberlatch.net.server import Server
from emberlatch.store import Files, Journal


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The maximum numbers of HTTP connections of one gateway; `net.descriptor_limits` computes them."""

    clients: int
    """Connections from clients."""
    calls: int
    """Connections to targets, both with a call in flight and idle."""


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Where one gateway stores its messages, and which failures they must survive."""

    files: Files
    """The journal's folder."""
    max_bytes: int
    """The maximum total size of the journal's files, in bytes."""
    durable_classes: DurableClasses = NO_DURABLE_CLASSES


def _find_no_destination(_: str) -> int | None:
    return None


@dataclass(frozen=True, slots=True)
class ClientInterface:
    """The HTTP interface of one gateway to clients: its address and its look-up functions."""

    listen: Address
    find_destination: Callable[[str], int | None] = _find_no_destination
    """Returns the number of a destination by name, or None for an unknown name."""
    find_message: Callable[[str], bytes | None] | None = None
    """Returns the JSON status of a message by id; None for an unknown id. If unset, no status is served."""


class GatewayCore:
    """The shared parts of one gateway; call `connect` once, before the engine starts."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        journal: JournalSettings,
        clients: ClientInterface,
        limits: ConnectionLimits,
        machine: Machine = REAL_MACHINE,
    ) -> None:
        """Raises ValueError if the journal's limit is too low. `seed` is for the decision module."""
        durable = journal.durable_classes
        self.tasks = tasks = Tasks()
        self.journal = Journal(journal.files, journal.max_bytes, durable=durable.any)
        self.engine = engine = Engine(settings, seed, self.journal, tasks, machine, durable)
        api_handler = MessageApi(engine.submit, clients.find_destination)
        self.server = Server(
            clients.listen, api_handler, limits.clients, tasks, clients.find_message, machine
        )
        self.carrier = HttpCarrier(settings, limits.calls, engine.on_attempt_outcome, tasks, engine.counters)

    def connect(
        self,
        membership: Membership,
        notifier: CompletionNotifier,
        ingresses: Sequence[Ingress] = (),
        carrier: Carrier | None = None,
    ) -> None:
        """Connect the engine's ports; see `Engine.connect`.

        `ingresses` are used in addition to the HTTP server. `carrier` replaces the HTTP carrier, and may pass
        calls on to `self.carrier`.
        """
        self.engine.connect(
            EnginePorts([self.server, *ingresses], carrier or self.carrier, membership, notifier)
        )
