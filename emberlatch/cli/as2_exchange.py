"""Sends one AS2 message without the running gateway, to a partner or to a local stand-in."""

from __future__ import annotations

import time
from dataclasses import replace

from emberlatch.as2.certificates import CertificateError, Identity, Trust
from emberlatch.as2.errors import As2Error
from emberlatch.as2.lab import new_certificate, send
from emberlatch.as2.profile import OwnParty, Parties, Partner
from emberlatch.net.http_connection import NoResponseError
from emberlatch.standins.as2_partner import As2Partner
from emberlatch.standins.as2_script import DuplicateFilter, Script

STAND_IN_CERTIFICATE_DAYS = 1
TEST_MESSAGE = b"a test message\r\n"


async def exchange(parties: Parties, partner: Partner, address: tuple[str, int], body: bytes) -> str:
    """Send a message once; returns what its receipt proves, or why the exchange failed."""
    try:
        return str(await send(parties, partner, address, body, time.time()))
    except (OSError, NoResponseError, CertificateError, As2Error) as error:
        return f"failed: {error}"


async def exchange_with_stand_in(parties: Parties, partner: Partner) -> str:
    """Send a test message to a stand-in that has its own keys; this checks our side of the profile.

    The call uses neither TLS nor an asynchronous receipt.
    """
    certificate, key = new_certificate(partner.as2_name, STAND_IN_CERTIFICATE_DAYS)
    identity = Identity(((certificate, key),))
    own_trust = Trust(tuple(own for own, _ in parties.own.identity.key_pairs))
    gateway = Partner("us", parties.own.name, own_trust)
    stand_in = As2Partner(
        OwnParty(partner.as2_name, identity), gateway, DuplicateFilter(), Script, identity, time.time
    )
    await stand_in.start()
    try:
        host, _, port = stand_in.address.partition(":")
        profile = replace(partner, trust=Trust((certificate,)), tls=None, asynchronous_receipts=False)
        return await exchange(parties, profile, (host, int(port)), TEST_MESSAGE)
    finally:
        await stand_in.stop()
