"""The environment of one run: forwarders with their real code, and simulations of everything they talk to.

All random values derive from the plan's seed. The checks and the trace receive every event between the parts,
in order of time.
"""

from __future__ import annotations

import asyncio

from emberlatch.faults.capacity_bound import CapacityBound
from emberlatch.faults.checks import Breach, BreachLog, Rule, RuleChecks, RuleParameters
from emberlatch.faults.clients import SimulatedClients
from emberlatch.faults.endpoint import ONLY_FORWARDER, SimulatedEndpoint
from emberlatch.faults.fault_injection import FaultInjector
from emberlatch.faults.final_checks import check_forwarder
from emberlatch.faults.forwarder import EnvironmentNetwork, SimulatedForwarder
from emberlatch.faults.loop import VirtualLoop
from emberlatch.faults.network import Network
from emberlatch.faults.plan import (
    ENDPOINTS,
    PARTNERS,
    ZONES,
    FaultKind,
    Plan,
    partner_of,
    replacement_of,
    zone_of,
)
from emberlatch.faults.process import Address
from emberlatch.faults.service_level import ServiceMeasurement
from emberlatch.faults.settings import (
    BEHAVIOURS,
    DEDUP_WINDOW_S,
    MACHINE_TYPES,
    MAX_BATCH_SIZES,
    POLL_INTERVAL_S,
    SLOTS,
    decode,
    raw_settings,
)
from emberlatch.faults.trace import Trace, TraceEvent
from emberlatch.faults.virtual_takeover import SharedListener
from emberlatch.net.http_connection import parse_address
from emberlatch.standins import Directory, DirectoryServer
from emberlatch.standins.directory import Member, Notice
from emberlatch.standins.endpoint_model import IdempotencyKeys

FIRST_PORT, PORTS = 21_000, 10_000  # range of ports; the seed selects the port of all forwarders
DIRECTORY_OVERLAP_S = 1.5  # time for which the old directory server keeps its connections after a move
CHECK_INTERVAL_S = 0.5  # time between periodic checks, such as that of calls in flight
COMPLETION_TIMEOUT_S = 14.0  # longest wait for the last messages to complete
REPORTS_DOWN_GRACE_S = 1.2  # time after the receiver of notices recovers in which late notices are excused
UNREACHABLE_DIRECTORY = (
    FaultKind.DIRECTORY_DOWN,
    FaultKind.DIRECTORY_SILENT,
    FaultKind.DIRECTORY_LATE,
    FaultKind.DIRECTORY_GARBLED,
)


class SimulatedEnvironment:
    """One run of a plan on a loop; `network` replaces the simulated network, for runs on real sockets.

    The environment is also the directory's observer.
    """

    def __init__(
        self, plan: Plan, loop: asyncio.AbstractEventLoop, network: EnvironmentNetwork | None = None
    ) -> None:
        self.plan, self.loop, self.trace = plan, loop, Trace(loop.time)
        self.network = network if network is not None else _simulated_network(plan, loop)
        self.raw_settings = raw_settings(plan.lists_are_pushed)
        self.settings = decode(self.raw_settings)
        self.checks = RuleChecks(self._rule_parameters())
        self.capacity_bound = CapacityBound(BEHAVIOURS, MAX_BATCH_SIZES, plan.forwarder_count)
        self.directory = Directory(observer=self)
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.forwarders = {
            name: SimulatedForwarder(self, name, address)
            for name, address in (
                (f"f{number}", (f"127.1.0.{number + 1}", FIRST_PORT + plan.seed % PORTS))
                for number in range(plan.forwarder_count)
            )
        }
        self.clients = [
            SimulatedClients(name, forwarder.address, plan, loop, self.checks, self.trace)
            for name, forwarder in self.forwarders.items()
        ]
        self.service = ServiceMeasurement(plan, self.clients, self.checks.messages, self.capacity_bound)
        self._directory_server = DirectoryServer(self.directory)
        self._keys = {
            (partner, zone): IdempotencyKeys(DEDUP_WINDOW_S) for partner in PARTNERS for zone in ZONES
        }
        self._own_breaches = BreachLog()

    def _rule_parameters(self) -> RuleParameters:
        names = [*ENDPOINTS, *map(replacement_of, ENDPOINTS)]
        return RuleParameters(
            SLOTS,
            self.settings.rules.drain_grace,
            {"keyed": DEDUP_WINDOW_S},
            {name: zone_of(name) for name in names},
            poll_interval_s=POLL_INTERVAL_S,
            lists_are_pushed=self.plan.lists_are_pushed,
        )

    @property
    def directory_address(self) -> Address:
        """The current address of the directory."""
        return parse_address(self._directory_server.address)

    def directory_serves_until(self, until: float) -> bool:
        """Whether the plan has no directory outage from now to `until` (seconds from the run's start)."""
        spans = [
            (fault.since, fault.until or fault.since)
            for fault in self.plan.faults
            if fault.kind in UNREACHABLE_DIRECTORY
        ]
        return not any(since < until and self.trace.now < end for since, end in spans)

    def add_breach(self, rule: Rule, text: str) -> None:
        """Record a breach with the current time of the run."""
        self._own_breaches.add(rule, self.trace.now, text)

    @property
    def breaches(self) -> list[Breach]:
        """All breaches so far, in order of time."""
        found = [*self.checks.breaches, *self._own_breaches.breaches]
        return sorted(found, key=lambda breach: breach.at)

    async def run(self) -> None:
        """Run the plan to its end and check the final state."""
        for name in ENDPOINTS:
            await self.add_endpoint(name)
        await self._directory_server.start()
        self._start_forwarders()
        FaultInjector(self).schedule()
        checking = self.loop.create_task(self._check_periodically())
        submitting = [self.loop.create_task(clients.run(self.plan.duration_s)) for clients in self.clients]
        await asyncio.gather(*submitting)
        deadline = self.trace.now + COMPLETION_TIMEOUT_S
        while self.trace.now < deadline and self._has_open_messages():
            await asyncio.sleep(CHECK_INTERVAL_S)
        checking.cancel()
        self._check_final_state()

    def _start_forwarders(self) -> None:
        has_takeovers = any(fault.kind is FaultKind.TAKEOVER for fault in self.plan.faults)
        for forwarder in self.forwarders.values():
            if has_takeovers:
                assert isinstance(self.network, Network)  # plans for real sockets have no takeovers
                forwarder.shared_listener = SharedListener(self.network, forwarder.address)
            forwarder.start()

    def _has_open_messages(self) -> bool:
        """Whether a client waits for an answer, or a forwarder is down or has messages or notices open."""
        platforms = [forwarder.platform for forwarder in self.forwarders.values()]
        return any(clients.pending_count for clients in self.clients) or any(
            platform is None or platform.engine.messages.open_messages or platform.engine.messages.completed
            for platform in platforms
        )

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            hanging = {endpoint.name for endpoint in self.endpoints.values() if endpoint.has_hung_long}
            self.checks.check_leases(self.trace.now, hanging)
            for endpoint in self.endpoints.values():
                endpoint.report_overload()

    def _check_final_state(self) -> None:
        reports_down_spans = [
            (fault.since, (fault.until or 0.0) + REPORTS_DOWN_GRACE_S)
            for fault in self.plan.faults
            if fault.kind is FaultKind.REPORTS_DOWN
        ]
        for name, forwarder in self.forwarders.items():
            self.checks.excuse(name, forwarder.excused_spans + reports_down_spans)
            for rule, text in check_forwarder(forwarder):
                self.add_breach(rule, text)
        self.checks.check_overdue(self.trace.now)
        for failure in getattr(self.loop, "failures", ()):
            self.add_breach(Rule.CRASH, failure)
        for text in self.service.shortfalls():
            self.add_breach(Rule.LIVENESS, text)

    # The directory and the endpoints that it lists.

    async def add_endpoint(self, name: str) -> None:
        """Start an endpoint and list it in the directory."""
        partner, zone = partner_of(name), zone_of(name)
        endpoint = self.endpoints[name] = SimulatedEndpoint(
            name, self._keys[partner, zone], self.plan.seed, self.checks, self.capacity_bound, self.trace
        )
        await endpoint.server.start()
        self.change_listing(
            name,
            host_port=endpoint.server.address,
            locality=zone,
            flavor=MACHINE_TYPES[partner],
            cell=PARTNERS.index(partner) + 1,
            phase="SERVING",
            size=1.0,
            up_since_ms=0,
        )

    def change_listing(self, name: str, **values: object) -> None:
        """Change an endpoint's entry in the directory."""
        now, phase = self.trace.now, values["phase"]
        self.trace.record(TraceEvent.LISTED, name, phase)
        self.checks.on_listed(now, name, phase == "SERVING")
        self.capacity_bound.on_listed(now, name, phase == "SERVING")
        self.directory.change(name, **values)

    async def move_directory(self) -> None:
        """Serve the directory at another address, and notify all forwarders by SIGHUP."""
        former, self._directory_server = self._directory_server, DirectoryServer(self.directory)
        await self._directory_server.start()
        former.stop(at_once=False)
        self.network.call_later(DIRECTORY_OVERLAP_S, former.stop)
        for forwarder in self.forwarders.values():
            forwarder.reload()

    # Methods of the directory's observer.

    def on_list_request(self, process: str) -> None:
        """Record that a forwarder polled the directory."""
        forwarder = process or ONLY_FORWARDER
        self.trace.record(TraceEvent.POLL, forwarder)
        self.checks.on_poll(self.trace.now, forwarder)

    def on_list(self, process: str, members: list[Member]) -> None:
        """Record a list, complete or with changes only, that the directory sent to a forwarder."""
        now, forwarder = self.trace.now, process or ONLY_FORWARDER
        phases = {str(member["id"]): str(member["phase"]) for member in members}
        self.trace.record(
            TraceEvent.LIST_SENT, forwarder, *(f"{name}={phase}" for name, phase in phases.items())
        )
        for name, phase in phases.items():
            self.checks.on_phase_sent(now, forwarder, name, phase == "SERVING")

    def on_lost_answer(self, process: str, requested_at: float, watch_s: float | None) -> None:
        """Record that the directory's answer to a forwarder was lost."""
        forwarder = process or ONLY_FORWARDER
        self.trace.record(TraceEvent.LIST_LOST, forwarder)
        self.checks.on_list_lost(forwarder, self.trace.since_start(requested_at), watch_s)

    def on_notice(self, process: str, notice: Notice) -> None:
        """Record that the platform confirmed a forwarder's notice."""
        forwarder, message, result = process or ONLY_FORWARDER, str(notice["ref"]), str(notice["result"])
        self.trace.record(TraceEvent.NOTICE, forwarder, message, result)
        self.checks.on_notice(self.trace.now, forwarder, message, result)


def _simulated_network(plan: Plan, loop: asyncio.AbstractEventLoop) -> Network:
    assert isinstance(loop, VirtualLoop)
    return Network(loop, plan.seed)
