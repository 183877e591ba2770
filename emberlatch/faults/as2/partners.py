"""The simulated partners of a run, and how they handle each message, drawn at random."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from emberlatch.as2.profile import OwnParty, Partner
from emberlatch.core import interface as api
from emberlatch.faults.as2.settings import (
    BANK,
    DEDUP_WINDOW_S,
    DESTINATIONS,
    FUND,
    GATEWAY,
    PARTNERS,
    STRANGER,
    ZONES,
    trust_in,
)
from emberlatch.faults.loop import START_TIME_S
from emberlatch.standins.as2_partner import As2Partner
from emberlatch.standins.as2_script import DuplicateFilter, ReceiptBehaviour, Script

FAULTS_UNTIL_S = 30.0  # partners have anomalies until this time after the start of the run
ANOMALY_SHARES = (0.15, 0.35, 0.6)  # shares of messages with an anomaly; each run draws one
ANOMALIES = [behaviour for behaviour in ReceiptBehaviour if behaviour is not ReceiptBehaviour.RECEIPT]
MIN_ANOMALIES = 3
SIGNED_SHARE = 0.7  # share of runs in which the fund's receipts must be signed
ANSWER_DELAY_S, ANOMALOUS_DELAY_S = (0.01, 0.1), (0.01, 0.3)
LATE_DELAYS_S = (0.5, 2.0, 6.0, 20.0)


class PartnerBehaviour:
    """Draws the kinds and the frequency of anomalies for a run, then the handling of each message.

    `silent_destination` is the destination of the partner that currently sends no receipts; 0 is none.
    """

    def __init__(self, rng: random.Random, clock: Callable[[], float]) -> None:
        self._rng, self._clock = rng, clock
        self._anomaly_share = rng.choice(ANOMALY_SHARES)
        self._anomalies = rng.sample(ANOMALIES, rng.randint(MIN_ANOMALIES, len(ANOMALIES)))
        self.signed_receipts = {BANK: True, FUND: rng.random() < SIGNED_SHARE}
        self.silent_destination = 0

    def draw_script(self) -> Script:
        """Draw how a partner handles the next message."""
        rng = self._rng
        if rng.random() >= self._anomaly_share or self._clock() > START_TIME_S + FAULTS_UNTIL_S:
            return Script(ReceiptBehaviour.RECEIPT, rng.uniform(*ANSWER_DELAY_S))
        late_delay_s = rng.choice(LATE_DELAYS_S)
        return Script(rng.choice(self._anomalies), rng.uniform(*ANOMALOUS_DELAY_S), late_delay_s)


class SimulatedPartners:
    """The endpoints of all partners by target, and their `entries` in the gateway's endpoint list."""

    def __init__(self) -> None:
        self.endpoints: dict[bytes, As2Partner] = {}
        self.entries: list[api.Entry] = []

    async def start(
        self,
        identities: Mapping[str, OwnParty],
        script_source: Callable[[int], Callable[[], Script]],
        unix_time: Callable[[], float],
    ) -> None:
        """Start an endpoint of each partner in each zone.

        `script_source` takes a destination; it returns a function that draws how each message is handled.
        """
        gateway = identities[GATEWAY]
        for name in PARTNERS:
            for zone in ZONES:
                endpoint = As2Partner(
                    identities[name],
                    Partner(GATEWAY, gateway.name, trust_in(gateway)),
                    DuplicateFilter(DEDUP_WINDOW_S),
                    script_source(DESTINATIONS[name]),
                    identities[STRANGER].identity,
                    unix_time,
                )
                await endpoint.start()
                target = f"{name}-{zone}".encode()
                self.endpoints[target] = endpoint
                self.entries.append(api.Entry(target, DESTINATIONS[name], zone=zone))

    def partner_of(self, target: bytes) -> str | None:
        """The name of an endpoint's partner, None if the endpoint is not listed."""
        return target.decode().partition("-")[0] if target in self.endpoints else None

    def destination_number(self, partner: str) -> int | None:
        """Always None: orders give their destination by number, so no name is ever resolved."""
        return None

    def destination_of(self, target: bytes) -> int:
        """The destination number of a listed endpoint."""
        return next(entry.destination for entry in self.entries if entry.target == target)


def zone_of(target: bytes) -> int:
    """The zone number of an endpoint, which is the last digit of its target."""
    return int(target.decode()[-1])
