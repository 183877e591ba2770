"""The settings of all runs with AS2 partners, and the parties that take part."""

from __future__ import annotations

from collections.abc import Mapping

from emberlatch.as2.certificates import Trust
from emberlatch.as2.message import Layers
from emberlatch.as2.profile import OrderDefaults, OwnParty, Parties, Partner, Url
from emberlatch.as2.settings import As2Settings
from emberlatch.core import interface as api

SLOTS = 8
JOURNAL_BYTES = 400_000
STATE_BYTES = 2 * 2**20  # size limit of the ledger, and of the orders
DEDUP_WINDOW_S, DEADLINE_S = 8.0, 12.0
FRONT_ADDRESS, API_ADDRESS = ("127.0.0.1", 4080), ("127.0.0.1", 8080)
RECEIPT_URL = Url(("127.0.0.1", 4999), "/as2")
AS2_SETTINGS = As2Settings(
    FRONT_ADDRESS,
    max_connections=64,
    retention_s=3600.0,
    ledger_bytes=STATE_BYTES,
    orders_bytes=STATE_BYTES,
)

CATEGORIES = (
    api.Category("note", api.Effect.SAFE, 3.0, DEADLINE_S, 3.0, 0.5),
    api.Category("payout", api.Effect.KEYED, 4.0, DEADLINE_S, 1.0, 0.4, api.Scope.ZONE, DEDUP_WINDOW_S),
    api.Category("order", api.Effect.UNSAFE, 3.0, DEADLINE_S),
)
SETTINGS = api.Settings(
    CATEGORIES,
    SLOTS,
    80,
    api.Rules(0.5, 1.5, 3.0, 8.0, 0.27),
    max_attempts=6,
    decision_interval=0.005,
    separate_routes=(True,),
    batch_limits=(1,),
    zone_fees=(0.0, 0.0),
    cancel=True,
    retry_after=True,
    max_retry_after=2.0,
    connection_idle=15.0,
)

GATEWAY, BANK, FUND, STRANGER = "us", "bank", "fund", "stranger"
PARTNERS = (BANK, FUND)
"""The bank sends receipts in its HTTP responses, the fund sends them later on separate connections. The
stranger is not a partner: receipts with its signature must be rejected."""
DESTINATIONS = {BANK: 1, FUND: 2}
ZONES = (0, 1)


def trust_in(party: OwnParty) -> Trust:
    """Build the trust settings that accept a party's certificates."""
    return Trust(tuple(certificate for certificate, _ in party.identity.key_pairs))


def configure(identities: Mapping[str, OwnParty], signed_receipts: Mapping[str, bool]) -> Parties:
    """Configure the gateway and its partners; `signed_receipts` maps partners to whether they must sign."""
    partners = {}
    for name in PARTNERS:
        party, is_late = identities[name], name == FUND
        partners[name] = Partner(
            name,
            party.name,
            trust_in(party),
            layers=Layers("sha256", "aes128_cbc" if is_late else "", is_late),
            asynchronous_receipts=is_late,
            signed_receipts=signed_receipts[name],
            receipt_url=RECEIPT_URL,
            order_defaults=OrderDefaults("payout", "", str(DESTINATIONS[name]), DEADLINE_S),
        )
    return Parties(identities[GATEWAY], partners)
