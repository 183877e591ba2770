"""Builds the parties from the `[as2]` section of the configuration and reads their certificates and keys."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterable
from pathlib import Path
from urllib.parse import urlsplit

from cryptography import x509

from emberlatch.as2.certificates import (
    CertificateError,
    Identity,
    Trust,
    expiry_warnings,
    read_certificates,
    read_identity,
)
from emberlatch.as2.cms import normalized_digest
from emberlatch.as2.message import AcceptancePolicy, Layers
from emberlatch.as2.profile import OrderDefaults, OwnParty, Parties, Partner, Url
from emberlatch.as2.settings import As2Settings
from emberlatch.config.as2 import As2, As2Partner
from emberlatch.net.http_connection import parse_address


class ProfileError(Exception):
    """A profile that can't be used: the setting at fault and the reason."""

    def __init__(self, setting: str, reason: Exception) -> None:
        super().__init__(f"{setting}: {reason}")
        self.setting, self.reason = setting, reason


def build_parties(config: As2, path: Callable[[str], Path]) -> Parties:
    """Build our own identity and all partners; raises ProfileError.

    `path` resolves a file name of the configuration.
    """
    try:
        identity = read_identity([path(name) for name in config.certificates])
    except CertificateError as error:
        raise ProfileError("as2.certificates", error) from error
    own = OwnParty(config.name, identity, config.receipts_at or "")
    partners = {}
    for name, profile in config.partners.items():
        try:
            partners[name] = _partner(name, profile, path)
        except (CertificateError, OSError) as error:
            raise ProfileError(f"as2.partners.{name}", error) from error
    return Parties(own, partners)


def as2_settings(config: As2) -> As2Settings:
    """Return the settings of the `[as2]` section other than those of single parties."""
    return As2Settings(
        parse_address(config.listen),
        max_connections=config.sockets,
        retention_s=config.remember,
        ledger_bytes=config.ledger,
        orders_bytes=config.orders,
    )


def _partner(name: str, profile: As2Partner, path: Callable[[str], Path]) -> Partner:
    tls = _tls(profile.tls, path)
    order_defaults = None
    if profile.orders is not None:
        orders = profile.orders
        order_defaults = OrderDefaults(orders.category, orders.tenant, orders.destination, orders.timeout)
    sign = "" if profile.sign == "none" else normalized_digest(profile.sign)
    encrypt = "" if profile.encrypt == "none" else profile.encrypt.replace("-", "", 1).replace("-", "_")
    return Partner(
        name,
        profile.name,
        Trust(
            tuple(_read_all(profile.certificates, path)),
            tuple(_read_all(profile.authorities, path)),
            profile.common_name,
        ),
        profile.path,
        tls,
        Layers(sign, encrypt, profile.compress),
        profile.receipts == "signed",
        profile.late_receipts,
        AcceptancePolicy(profile.require_signed, profile.require_encrypted, profile.sha1, profile.triple_des),
        _url(profile.receipts_to, tls) if profile.receipts_to is not None else None,
        order_defaults,
    )


def _read_all(names: Iterable[str], path: Callable[[str], Path]) -> list[x509.Certificate]:
    return [certificate for name in names for certificate in read_certificates(path(name))]


def _tls(authorities: str | None, path: Callable[[str], Path]) -> ssl.SSLContext | None:
    if authorities is None:
        return None
    try:
        return ssl.create_default_context(cafile=str(path(authorities)))
    except ssl.SSLError as error:
        raise CertificateError(
            f"tls: {authorities}: no certificates of certification authorities: {error.reason}"
        ) from error


def _url(text: str, tls: ssl.SSLContext | None) -> Url:
    parts = urlsplit(text)
    if parts.scheme == "https" and tls is None:
        raise CertificateError(
            "receipts_to: an https URL requires tls, the file with the trusted authorities"
        )
    assert parts.hostname is not None and parts.port is not None
    return Url((parts.hostname, parts.port), parts.path, tls if parts.scheme == "https" else None)


def describe_expiring_certificates(parties: Parties, now: float) -> list[str]:
    """Describe the certificates that need renewal, one line each."""
    identity: Identity = parties.own.identity
    lines = [f"our certificate {line}" for line in expiry_warnings([c for c, _ in identity.key_pairs], now)]
    for partner in parties.partners.values():
        lines += [f"{partner.inventory_name}: {line}" for line in expiry_warnings(partner.trust.pinned, now)]
    return lines
