"""The gateway of a run: its real code in simulated processes. Its machine survives their deaths."""

from __future__ import annotations

import math
from typing import Protocol

from emberlatch.as2.context import As2Context
from emberlatch.as2.crypto_service import InlineCryptoService
from emberlatch.as2.profile import Parties
from emberlatch.as2.side import As2Side
from emberlatch.core import interface as api
from emberlatch.engine import Addresses, CallItem, CompletionNotice
from emberlatch.faults.as2.machine import SimulatedMachine
from emberlatch.faults.as2.messages import Completion
from emberlatch.faults.as2.partners import SimulatedPartners
from emberlatch.faults.as2.settings import API_ADDRESS, AS2_SETTINGS, JOURNAL_BYTES, SETTINGS, SLOTS
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.process import Process, context_of
from emberlatch.gateway_core import ClientInterface, ConnectionLimits, GatewayCore, JournalSettings
from emberlatch.net.http_connection import parse_address

RESTART_DELAY_S = 0.6  # time between the death of a process and the next start
DESCRIPTORS = 256
CONNECTION_LIMITS = ConnectionLimits(clients=50, calls=50)
MAX_LEASE_SHARE = 0.75  # share of the slots that one destination may use


class GatewayObserver(Protocol):
    """Receives the notices and breaches of a run's gateway, also after restarts of its process."""

    def on_completed(self, name: str, completion: Completion) -> None:
        """Handle a notice that a message was completed."""

    def breach(self, text: str) -> None:
        """Record that the gateway broke a rule."""


class CompletionReporter:
    """An `engine.CompletionNotifier` that passes each notice to the observer and confirms it immediately."""

    notifies_deliveries = True
    pending = False

    def __init__(self, core: GatewayCore, loop: VirtualLoop, observer: GatewayObserver) -> None:
        self._core, self._loop, self._observer = core, loop, observer

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """See `engine.CompletionNotifier`."""
        completion = Completion(self._loop.time(), ref, str(notice["result"]))
        self._observer.on_completed(str(notice["ref"]), completion)
        self._loop.call_soon(self._core.engine.on_notices_confirmed, [ref])


class FixedMembership:
    """An `engine.Membership` that reports the partners once at the start and never changes."""

    def __init__(self, core: GatewayCore, partners: SimulatedPartners) -> None:
        self._core, self._partners = core, partners

    def start(self) -> None:
        """See `engine.Membership`."""
        entries, endpoints = tuple(self._partners.entries), self._partners.endpoints
        addresses: Addresses = {
            entry.target: parse_address(endpoints[entry.target].address) for entry in entries
        }
        self._core.engine.on_membership_update(
            api.DirectoryUpdate(api.ListKind.CACHED, 1, entries), addresses
        )

    def set_watching(self, active: bool) -> None:
        """Do nothing: the list of partners never changes."""

    def request_list(self) -> None:
        """Do nothing: the list of partners never changes."""


class SimulatedGateway:
    """One gateway, restarted after each death of its process.

    `core` is the core of the current process, None until that process serves. `side` is the AS2 part of the
    current process, None while no process runs. `ready_at` is the time when the current process began to
    serve, in seconds of the loop's clock. It is minus infinity until the first process serves, and infinity
    from the death of a process until the next one serves.
    """

    def __init__(
        self,
        seed: int,
        machine: SimulatedMachine,
        parties: Parties,
        partners: SimulatedPartners,
        observer: GatewayObserver,
    ) -> None:
        self.process: Process | None = None
        self.core: GatewayCore | None = None
        self.side: As2Side | None = None
        self.ready_at = -math.inf
        self._seed, self._machine, self._parties, self._partners = seed, machine, parties, partners
        self._network, self._observer = machine.network, observer

    def start(self) -> None:
        """Start a process on the current content of the disks."""
        self._machine.restart_disks()
        process = self.process = Process("forwarder", DESCRIPTORS)
        process.on_death = self._on_process_death
        self._network.loop.create_task(self._boot(), context=context_of(process))

    async def _boot(self) -> None:
        machine, journal = self._machine.facilities(), self._machine.journal
        try:
            core = GatewayCore(
                SETTINGS,
                self._seed,
                JournalSettings(journal, JOURNAL_BYTES),
                ClientInterface(API_ADDRESS),
                CONNECTION_LIMITS,
                machine,
            )
            self.side = side = As2Side(
                AS2_SETTINGS,
                SETTINGS,
                core,
                As2Context(self._parties, InlineCryptoService(self._parties), machine),
                self._partners,
                self._machine.as2_folders,
                CompletionReporter(core, self._network.loop, self._observer),
            )
            self._observe_leases(core, side)
            core.connect(
                FixedMembership(core, self._partners), side.completion_notifier, [side.front], side.carrier
            )
            await core.engine.start()
        except Exception as error:
            self._observer.breach(f"the gateway process did not start: {error!r}")
            return
        self.core, self.ready_at = core, self._network.loop.time()

    def _observe_leases(self, core: GatewayCore, side: As2Side) -> None:
        """Check at each call that no destination uses over `MAX_LEASE_SHARE` of the slots, rounded up."""
        call, outcome, leased = (
            side.carrier.call,
            core.engine.on_attempt_outcome,
            dict[tuple[int, int], int](),
        )

        def observed_call(target: bytes, items: list[CallItem]) -> None:
            destination = self._partners.destination_of(target)
            leased.update({(item.ref, item.attempt): destination for item in items})
            if list(leased.values()).count(destination) > math.ceil(SLOTS * MAX_LEASE_SHARE):
                self._observer.breach(
                    f"destination {destination} has over {MAX_LEASE_SHARE:.0%} of {SLOTS} slots"
                )
            call(target, items)

        def observed_outcome(result: api.Outcome) -> None:
            leased.pop((result.ref, result.attempt), None)
            outcome(result)

        side.carrier.call = observed_call  # type: ignore[method-assign]
        side._as2.redirect_outcomes(observed_outcome)

    def _on_process_death(self) -> None:
        self.core, self.side, self.ready_at = None, None, math.inf
        self._network.call_later(RESTART_DELAY_S, self.start)
