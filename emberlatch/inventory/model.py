"""The inventory's data model: endpoints, source locations and validation problems."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import cached_property

from emberlatch.engine import Address

FIRST_DERIVED_DESTINATION = 10**9
"""The lowest destination number that is derived from a partner's name; people assign lower numbers."""

_DIGEST_BYTES = 6


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A line of a file; lines are counted from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation problem: its location, its field (may be empty), the fault and the remedy."""

    location: SourceLocation
    field: str
    fault: str
    remedy: str = ""

    def __str__(self) -> str:
        field = f"{self.field}: " if self.field else ""
        return f"{self.location}: {field}{self.fault}" + (f"; {self.remedy}" if self.remedy else "")


class RefusedError(Exception):
    """Raised when the files are not a valid inventory; `problems` has every reason, at least one."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__(f"{len(problems)} problems, the first: {problems[0]}")
        self.problems = tuple(problems)


@dataclass(frozen=True, slots=True)
class Vocabulary:
    """The values that an installation's configuration allows in its inventory.

    A wing is a zone of the decision module, which identifies zones by their index in `wings` and kinds by
    their index in `kinds`.
    """

    wings: tuple[str, ...]
    kinds: tuple[str, ...]
    protocols: tuple[str, ...] = ("http",)
    profiles: tuple[str, ...] = ()  # partners with an AS2 profile
    batched: tuple[str, ...] = ()  # kinds that accept several messages in a call


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of a partner; `limit` is in calls per second, 0 for no limit."""

    id: str
    address: Address
    partner: str
    destination: int
    kind: str
    wing: str
    protocol: str = "http"
    limit: float = 0.0
    draining: bool = False
    tags: tuple[str, ...] = ()

    @property
    def target(self) -> bytes:
        """The endpoint's identity in the decision module and in the journal.

        The identity includes the wing, so an endpoint that moved to another wing counts as a new endpoint. A
        keyed message that may have run in the old wing must not be repeated in the new wing. The identity
        includes the destination because only messages to that destination may be sent to the endpoint.
        """
        return f"{self.id}@{self.wing}/{self.destination}".encode()

    @property
    def host_port(self) -> str:
        """The address as in inventory files, with IPv6 in brackets."""
        host, port = self.address
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    @property
    def phase(self) -> str:
        """The phase as in inventory files: `serving` or `draining`."""
        return "draining" if self.draining else "serving"


class Inventory:
    """A validated set of endpoints by target, in the order of their ids.

    Two inventories are equal if their endpoints are equal; files and rows are not compared.
    """

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints = {e.target: e for e in sorted(endpoints, key=lambda e: e.id)}

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Inventory) and self.endpoints == other.endpoints

    def __hash__(self) -> int:
        return hash(self.digest)

    def __len__(self) -> int:
        return len(self.endpoints)

    def sharing(self, other: Inventory) -> Inventory:
        """Replace each endpoint that has an equal object in `other` by that object; return this inventory.

        After a small change, only a few new objects remain for the garbage collector to traverse.
        """
        for target, endpoint in self.endpoints.items():
            if other.endpoints.get(target) == endpoint:
                self.endpoints[target] = other.endpoints[target]
        return self

    @cached_property
    def names(self) -> dict[str, int]:
        """The destination number of each partner."""
        return {endpoint.partner: endpoint.destination for endpoint in self.endpoints.values()}

    @cached_property
    def digest(self) -> str:
        """A short hash of the set (hexadecimal): equal for equal endpoints, in every process."""
        hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for endpoint in self.endpoints.values():
            hashed.update(_canonical_form(endpoint).encode())
        return hashed.hexdigest()


def _canonical_form(endpoint: Endpoint) -> str:
    """Format an endpoint for the digest; stored digests depend on each character of the text."""
    return (
        f"Endpoint(id={endpoint.id!r}, address={endpoint.address!r}, partner={endpoint.partner!r}, "
        f"destination={endpoint.destination!r}, kind={endpoint.kind!r}, wing={endpoint.wing!r}, "
        f"protocol={endpoint.protocol!r}, limit={endpoint.limit!r}, draining={endpoint.draining!r}, "
        f"tags={endpoint.tags!r})"
    )


def destination_number(partner: str) -> int:
    """Derive a destination number from a partner's name; the result is the same in every process."""
    digest = hashlib.blake2b(partner.encode(), digest_size=_DIGEST_BYTES).digest()
    return FIRST_DERIVED_DESTINATION + int.from_bytes(digest, "big")
