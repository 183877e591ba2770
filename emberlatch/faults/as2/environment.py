"""One run with AS2 partners: gateway, partners, traffic and faults, all drawn from one seed."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping

from emberlatch.as2.profile import OwnParty
from emberlatch.as2.side import As2Side
from emberlatch.faults.as2.gateway import SimulatedGateway
from emberlatch.faults.as2.machine import SimulatedMachine
from emberlatch.faults.as2.messages import Completion, SubmittedMessage
from emberlatch.faults.as2.partners import PartnerBehaviour, SimulatedPartners
from emberlatch.faults.as2.result_checks import ResultChecks
from emberlatch.faults.as2.settings import GATEWAY, configure
from emberlatch.faults.as2.traffic import ClientTraffic, PartnerOrders
from emberlatch.faults.disk import Disk, KillMoment
from emberlatch.faults.loop import DeadlockError, VirtualLoop, close_loop
from emberlatch.faults.network import Network
from emberlatch.standins.as2_partner import As2Partner
from emberlatch.standins.as2_script import ReceiptBehaviour, Script

DURATION_S = 45.0
START_POLL_S, RESTART_POLL_S = 0.05, 0.1
MAX_OUTAGES, OUTAGE_PAUSE_S = 3, (0.5, 4.0)
KILL_COUNTS, KILL_PAUSE_S = (0, 0, 1, 2, 3), (0.3, 6.0)
KILL_CALLS = (1, 8)  # the process is killed at a disk call whose number, counted from now, is in this range


class As2Environment:
    """One run. `identities` maps party names to keys. Callers pass them, as keys are slow to generate."""

    def __init__(self, seed: int, loop: VirtualLoop, identities: Mapping[str, OwnParty]) -> None:
        self.seed, self.loop, self.identities = seed, loop, identities
        self.random = random.Random(seed)
        self.breaches: list[str] = []
        self.messages: dict[str, SubmittedMessage] = {}
        certificate = identities[GATEWAY].identity.key_pairs[0][0]
        # The certificates become valid at 0 on the loop's clock, before the run starts at `START_TIME_S`:
        self._unix_time_at_zero = certificate.not_valid_before_utc.timestamp()
        self.behaviour = PartnerBehaviour(self.random, loop.time)
        self.parties = configure(identities, self.behaviour.signed_receipts)
        self.partners = SimulatedPartners()
        self.machine = SimulatedMachine(Network(loop, seed), self.unix_time)
        self.gateway = SimulatedGateway(seed, self.machine, self.parties, self.partners, self)
        self.checks = ResultChecks(self.messages, self.partners, self.gateway, self.breach)
        self.clients, self.orders = ClientTraffic(self), PartnerOrders(self)

    @property
    def disks(self) -> Mapping[str, Disk]:
        """The gateway's disks by name."""
        return self.machine.disks

    @property
    def endpoints(self) -> Mapping[bytes, As2Partner]:
        """The partners' endpoints by target."""
        return self.partners.endpoints

    @property
    def side(self) -> As2Side | None:
        """The AS2 part of the gateway's process, None while no process runs."""
        return self.gateway.side

    def unix_time(self) -> float:
        """The current simulated Unix time, in seconds."""
        return self._unix_time_at_zero + self.loop.time()

    def breach(self, text: str) -> None:
        """Record a breach with the current virtual time."""
        self.breaches.append(f"{self.loop.time():.3f} {text}")

    def on_completed(self, name: str, completion: Completion) -> None:
        """Check a completion notice from the gateway."""
        self.checks.on_completed(name, completion)

    def draw_script(self) -> Script:
        """Draw how a partner handles the next message."""
        return self.behaviour.draw_script()

    def _script_source(self, destination: int) -> Callable[[], Script]:
        def script() -> Script:
            if self.behaviour.silent_destination == destination:
                return Script(ReceiptBehaviour.DROPPED)
            return self.draw_script()

        return script

    async def start(self) -> None:
        """Start the partners and the gateway, and wait until the gateway serves."""
        await self.partners.start(self.identities, self._script_source, self.unix_time)
        self.gateway.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, poll_interval_s: float = START_POLL_S) -> None:
        """Wait until the gateway serves."""
        while self.gateway.core is None:
            await asyncio.sleep(poll_interval_s)

    async def run(self) -> None:
        """Run traffic and faults until `DURATION_S` is over and all have ended, then check the results."""
        await self.start()
        activities = (
            self.clients.submit_messages(),
            self.clients.submit_burst(),
            self.orders.send_all(),
            self._inject_outages(),
            self._inject_kills(),
        )
        done = asyncio.gather(*(self.loop.create_task(activity) for activity in activities))
        await asyncio.sleep(DURATION_S)
        await done
        self.checks.check()

    async def _inject_outages(self) -> None:
        """Stop and restart partner endpoints at random times."""
        for _ in range(self.random.randint(0, MAX_OUTAGES)):
            await asyncio.sleep(self.random.uniform(*OUTAGE_PAUSE_S))
            endpoint = self.random.choice(list(self.endpoints.values()))
            await endpoint.stop()
            await asyncio.sleep(self.random.uniform(*OUTAGE_PAUSE_S))
            await endpoint.start()

    async def _inject_kills(self) -> None:
        """Kill the gateway's process at random times, or at a random later call on one of its disks."""
        for _ in range(self.random.choice(KILL_COUNTS)):
            await asyncio.sleep(self.random.uniform(*KILL_PAUSE_S))
            process = self.gateway.process
            if process is not None and process.alive and self.gateway.core is not None:
                if disk_name := self.random.choice(("", *self.disks)):
                    disk, moment = self.disks[disk_name], self.random.choice(list(KillMoment))
                    disk.kill_at = disk.calls + self.random.randint(*KILL_CALLS), moment
                else:
                    process.kill()
            await self.wait_until_ready(RESTART_POLL_S)


def run_as2_seed(seed: int, identities: Mapping[str, OwnParty]) -> As2Environment:
    """Run one seed in this thread; `breaches` of the returned environment has the rule violations."""
    loop = VirtualLoop()
    environment = As2Environment(seed, loop, identities)
    logging.disable(logging.CRITICAL)
    try:
        loop.run_until_complete(environment.run())
    except DeadlockError as error:
        environment.breach(f"run did not finish: {error}")
    finally:
        close_loop(loop)
        logging.disable(logging.NOTSET)
    for failure in loop.failures:
        environment.breach(f"unhandled exception: {failure}")
    return environment
