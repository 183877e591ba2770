"""The parties that exchange AS2 messages: ourselves and each partner, with its agreed settings."""

from __future__ import annotations

import hashlib
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field

from emberlatch.as2.certificates import Identity, Trust
from emberlatch.as2.message import AcceptancePolicy, Layers
from emberlatch.engine import Address


@dataclass(frozen=True, slots=True)
class Url:
    """A URL to post to; `tls` is None for plain HTTP."""

    address: Address
    path: str
    tls: ssl.SSLContext | None = None

    def __str__(self) -> str:
        scheme = "http" if self.tls is None else "https"
        return f"{scheme}://{self.address[0]}:{self.address[1]}{self.path}"


@dataclass(frozen=True, slots=True)
class OwnParty:
    """Our own identity. `receipt_url` is the URL at which we request asynchronous receipts."""

    name: str  # our AS2 name
    identity: Identity
    receipt_url: str = ""

    @property
    def host(self) -> str:
        """The host part, after the @, of the Message-IDs that we generate."""
        return f"{hashlib.sha256(self.name.encode()).hexdigest()[:12]}.emberlatch"


@dataclass(frozen=True, slots=True)
class OrderDefaults:
    """Defaults for values that an order does not specify.

    If the default of a value is empty, each order must specify the value.
    """

    category: str = ""
    tenant: str = ""
    destination: str = ""
    timeout_s: float = 24.0  # time in which an order has to be delivered


@dataclass(frozen=True, slots=True)
class Partner:
    """A partner that receives messages over AS2, or that only sends orders."""

    inventory_name: str
    as2_name: str
    trust: Trust
    path: str = "/as2"
    tls: ssl.SSLContext | None = None
    layers: Layers = field(default_factory=Layers)
    signed_receipts: bool = True
    asynchronous_receipts: bool = False  # whether receipts come separately, not in the HTTP answer
    policy: AcceptancePolicy = field(
        default_factory=AcceptancePolicy
    )  # requirements on messages from the partner
    receipt_url: Url | None = None  # URL at which the partner accepts asynchronous receipts
    order_defaults: OrderDefaults | None = None  # None if no orders are accepted from the partner


class Parties:
    """Our own identity, and all partners by inventory name and by AS2 name."""

    def __init__(self, own: OwnParty, partners: Mapping[str, Partner]) -> None:
        self.own, self.partners = own, dict(partners)
        self._by_as2_name = {partner.as2_name: partner for partner in partners.values()}

    def with_as2_name(self, name: str) -> Partner | None:
        """Return the partner with an AS2 name; None if there is none."""
        return self._by_as2_name.get(name)
