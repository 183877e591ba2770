"""The `[as2]` tables of the configuration file; `emberlatch.as2.build` creates the AS2 parties from them."""

from __future__ import annotations

from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field, StrictInt, model_validator

from emberlatch.config.section import HostPort, Section
from emberlatch.config.units import Duration, Size

SECONDS_PER_DAY = 86_400
MAX_AS2_NAME_CHARACTERS = 128  # RFC 4130, section 6.2

Text = Annotated[str, Field(min_length=1, max_length=256)]
PartnerName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9 ._-]{0,63}$")]


def _validate_as2_name(text: str) -> str:
    if not 1 <= len(text) <= MAX_AS2_NAME_CHARACTERS or not all(" " <= c <= "~" for c in text):
        raise ValueError(f"must be 1 to {MAX_AS2_NAME_CHARACTERS} printable ASCII characters")
    return text


def _validate_url(text: str) -> str:
    parts = urlsplit(text)
    port = parts.port if parts.hostname else None
    plain = parts.path.startswith("/") and not (parts.query or parts.fragment or parts.username)
    if parts.scheme not in ("http", "https") or port is None or not plain:
        raise ValueError("must be a URL with port and path, like http://10.1.0.18:4080/as2")
    return text


def _validate_path(text: str) -> str:
    if not text.startswith("/") or not all("!" <= c <= "~" for c in text):
        raise ValueError("must be the path of a URL, like /as2")
    return text


As2Name = Annotated[str, AfterValidator(_validate_as2_name)]
Url = Annotated[str, AfterValidator(_validate_url)]


class As2Orders(Section):
    """Properties of a partner's orders that the signed contents of an order do not include."""

    category: Annotated[str, Field(alias="class", min_length=1)]
    tenant: str = ""
    destination: str = ""
    timeout: Duration = 24.0


class As2Partner(Section):
    """The AS2 profile of a partner; its endpoints are in the inventory, under the same partner name."""

    name: As2Name
    certificates: list[Text] = Field(default_factory=list)
    authorities: list[Text] = Field(default_factory=list)
    common_name: str = ""
    path: Annotated[str, AfterValidator(_validate_path)] = "/as2"
    tls: Text | None = None
    sign: Literal["sha-256", "sha-384", "sha-512", "sha-1", "none"] = "sha-256"
    encrypt: Literal[
        "aes-128-cbc", "aes-192-cbc", "aes-256-cbc", "aes-128-gcm", "aes-192-gcm", "aes-256-gcm", "none"
    ] = "aes-256-cbc"
    compress: bool = False
    receipts: Literal["signed", "unsigned"] = "signed"
    late_receipts: bool = False
    require_signed: bool = True
    require_encrypted: bool = False
    sha1: bool = False
    triple_des: bool = False
    receipts_to: Url | None = None
    orders: As2Orders | None = None

    @model_validator(mode="after")
    def _coherent(self) -> As2Partner:
        if not self.certificates and not self.authorities:
            raise ValueError("needs certificates, or authorities and a common_name")
        if bool(self.authorities) != bool(self.common_name):
            raise ValueError("authorities and common_name go together")
        if not self.certificates and self.encrypt != "none":
            raise ValueError("to encrypt for a partner one of its certificates is needed")
        return self


class As2(Section):
    """The gateway's AS2 identity, its address for orders and receipts, and the partners' profiles."""

    name: As2Name
    certificates: Annotated[list[Text], Field(min_length=1)]
    partners: Annotated[dict[PartnerName, As2Partner], Field(min_length=1)]
    listen: HostPort = "127.0.0.1:4080"
    receipts_at: Url | None = None
    remember: Annotated[Duration, Field(ge=60, le=366 * SECONDS_PER_DAY)] = 3.0 * SECONDS_PER_DAY
    ledger: Annotated[Size, Field(ge=2 * 2**20)] = 64 * 2**20
    orders: Annotated[Size, Field(ge=2 * 2**20)] = 16 * 2**20
    sockets: Annotated[StrictInt, Field(ge=8, le=100_000)] = 256

    @model_validator(mode="after")
    def _coherent(self) -> As2:
        names: dict[str, str] = {}
        for partner, profile in self.partners.items():
            if (other := names.setdefault(profile.name, partner)) != partner:
                raise ValueError(f"partners {other!r} and {partner!r} have the same AS2 name")
            if profile.late_receipts and self.receipts_at is None:
                raise ValueError(f"late_receipts of {partner!r} need receipts_at")
        if self.name in names:
            raise ValueError(f"partner {names[self.name]!r} has our own AS2 name")
        return self
