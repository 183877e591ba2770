"""Makes parties of the `[as2]` part of the configuration: reads certificates and keys."""

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
    read_certificates,
    read_identity,
    warnings,
)
from emberlatch.as2.cms import fold
from emberlatch.as2.message import Format, Policy
from emberlatch.as2.places import Places
from emberlatch.as2.profile import Inward, Own, Parties, Partner, Url
from emberlatch.config.as2 import As2, As2Partner
from emberlatch.net.http import parse_address


class ProfileError(Exception):
    """A profile that can't be used; the text names the setting and the reason."""


def parties(config: As2, path: Callable[[str], Path]) -> Parties:
    """Ourselves and all partners; `path` finds a file of the configuration. Raises ProfileError."""
    try:
        identity = read_identity([path(name) for name in config.certificates])
    except CertificateError as error:
        raise ProfileError(f"as2.certificates: {error}") from error
    own = Own(config.name, identity, config.receipts_at or "")
    partners = {}
    for name, told in config.partners.items():
        try:
            partners[name] = _partner(name, told, path)
        except (CertificateError, OSError) as error:
            raise ProfileError(f"as2.partners.{name}: {error}") from error
    return Parties(own, partners)


def places(config: As2) -> Places:
    """Where it listens, and its room."""
    return Places(parse_address(config.listen), config.sockets, config.remember, config.ledger, config.orders)


def _partner(name: str, told: As2Partner, path: Callable[[str], Path]) -> Partner:
    tls = _tls(told.tls, path)
    inward = None
    if told.orders is not None:
        orders = told.orders
        inward = Inward(orders.category, orders.tenant, orders.destination, orders.timeout)
    sign = "" if told.sign == "none" else fold(told.sign)
    encrypt = "" if told.encrypt == "none" else told.encrypt.replace("-", "", 1).replace("-", "_")
    return Partner(
        name,
        told.name,
        Trust(tuple(_all(told.certificates, path)), tuple(_all(told.authorities, path)), told.common_name),
        told.path,
        tls,
        Format(sign, encrypt, told.compress),
        told.receipts == "signed",
        told.late_receipts,
        Policy(told.require_signed, told.require_encrypted, told.sha1, told.triple_des),
        _url(told.receipts_to, tls) if told.receipts_to is not None else None,
        inward,
    )


def _all(names: Iterable[str], path: Callable[[str], Path]) -> list[x509.Certificate]:
    return [certificate for name in names for certificate in read_certificates(path(name))]


def _tls(authorities: str | None, path: Callable[[str], Path]) -> ssl.SSLContext | None:
    if authorities is None:
        return None
    try:
        return ssl.create_default_context(cafile=str(path(authorities)))
    except ssl.SSLError as error:
        raise CertificateError(
            f"tls: {authorities}: no certificates of authorities: {error.reason}"
        ) from error


def _url(text: str, tls: ssl.SSLContext | None) -> Url:
    parts = urlsplit(text)
    if parts.scheme == "https" and tls is None:
        raise CertificateError("receipts_to: https needs tls, the file of the authorities to believe")
    assert parts.hostname is not None and parts.port is not None
    return Url((parts.hostname, parts.port), parts.path, tls if parts.scheme == "https" else None)


def expiry(parties_: Parties, now: float) -> list[str]:
    """What should be renewed, a line each."""
    identity: Identity = parties_.own.identity
    told = [f"our certificate {line}" for line in warnings([c for c, _ in identity.held], now)]
    for partner in parties_.partners.values():
        told += [f"{partner.partner}: {line}" for line in warnings(partner.trust.pinned, now)]
    return told
