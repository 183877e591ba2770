"""The parts that all gateways share: the engine on its journal, between HTTP ingress and HTTP carrier.

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
    """How many HTTP connections one gateway may have, out of its descriptors (`net.descriptor_limits`)."""

    clients: int
    """From clients."""
    calls: int
    """To targets, in calls or idle."""


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Where one gateway keeps its messages, and what they must survive there."""

    files: Files
    """The journal's folder."""
    max_bytes: int
    """Over all files of the journal."""
    durable_classes: DurableClasses = NO_DURABLE_CLASSES


def _find_no_destination(_: str) -> int | None:
    return None


@dataclass(frozen=True, slots=True)
class ClientInterface:
    """What clients reach of one gateway over HTTP: where it listens, and what it knows by name."""

    listen: Address
    find_destination: Callable[[str], int | None] = _find_no_destination
    """The number of the destination with a name; None if there is none."""
    find_message: Callable[[str], bytes | None] | None = None
    """The status of the message with an id, as JSON; None if it is not known. Without it none is served."""


class GatewayCore:
    """The shared parts of one gateway; `connect` is called once, before the engine's start."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        journal: JournalSettings,
        clients: ClientInterface,
        limits: ConnectionLimits,
        machine: Machine = REAL_MACHINE,
    ) -> None:
        """Raises ValueError if the journal's limit is too low. `seed` is that of the decision module."""
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

        `ingresses` are added to the HTTP server; `carrier` replaces the HTTP carrier, to which it may route.
        """
        self.engine.connect(
            EnginePorts([self.server, *ingresses], carrier or self.carrier, membership, notifier)
        )
