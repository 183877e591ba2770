"""Who speaks AS2 here: ourselves and each partner, with what is agreed on with it."""

from __future__ import annotations

import hashlib
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field

from emberlatch.as2.certificates import Identity, Trust
from emberlatch.as2.message import Format, Policy
from emberlatch.engine import Address


@dataclass(frozen=True, slots=True)
class Url:
    """Where something is posted to; `tls` is None for plain HTTP."""

    address: Address
    path: str
    tls: ssl.SSLContext | None = None

    def __str__(self) -> str:
        scheme = "http" if self.tls is None else "https"
        return f"{scheme}://{self.address[0]}:{self.address[1]}{self.path}"


@dataclass(frozen=True, slots=True)
class Own:
    """Ourselves. Receipts that come on connections of their own are asked for at `receipts`."""

    name: str
    identity: Identity
    receipts: str = ""

    @property
    def host(self) -> str:
        """What stands behind the @ of the Message-IDs that we give."""
        return f"{hashlib.sha256(self.name.encode()).hexdigest()[:12]}.emberlatch"


@dataclass(frozen=True, slots=True)
class Inward:
    """What a partner's orders are where they do not say it themselves; empty for `must say`."""

    category: str = ""
    tenant: str = ""
    destination: str = ""
    timeout: float = 24.0  # seconds for which an order may wait for its delivery


@dataclass(frozen=True, slots=True)
class Partner:
    """A partner of the inventory that speaks AS2, or one that only sends orders."""

    partner: str  # its name in the inventory
    name: str  # its AS2 name
    trust: Trust
    path: str = "/as2"
    tls: ssl.SSLContext | None = None
    format: Format = field(default_factory=Format)
    signed_receipts: bool = True
    late_receipts: bool = False  # on a connection of their own, not in the answer
    policy: Policy = field(default_factory=Policy)  # of what it sends
    receipts: Url | None = None  # where it takes receipts on connections of their own
    inward: Inward | None = None  # None: it sends no orders


class Parties:
    """Partners by their names in the inventory, and by their AS2 names."""

    def __init__(self, own: Own, partners: Mapping[str, Partner]) -> None:
        self.own, self.partners = own, dict(partners)
        self._named = {partner.name: partner for partner in partners.values()}

    def named(self, name: str) -> Partner | None:
        """The partner with an AS2 name."""
        return self._named.get(name)
