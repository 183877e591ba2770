"""What an inventory is: endpoints, where each was written, and what can be wrong with it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import cached_property

from emberlatch.engine import Address

UNNUMBERED = 10**9
"""Destinations without a number of their own get one from here on, made from the partner's name."""


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A line of a file, counted from 1."""

    file: str
    line: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}"


@dataclass(frozen=True, slots=True)
class Problem:
    """A fault: where, in which field (may be empty), what is wrong and what would be right."""

    place: Place
    field: str
    wrong: str
    right: str = ""

    def __str__(self) -> str:
        field = f"{self.field}: " if self.field else ""
        return f"{self.place}: {field}{self.wrong}" + (f"; {self.right}" if self.right else "")


class RefusedError(Exception):
    """An inventory that is not taken, for these reasons."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__(f"{len(problems)} problems, the first: {problems[0]}")
        self.problems = tuple(problems)


@dataclass(frozen=True, slots=True)
class Vocabulary:
    """The words that an installation knows; their order numbers wings and kinds."""

    wings: tuple[str, ...]
    kinds: tuple[str, ...]
    protocols: tuple[str, ...] = ("http",)
    profiles: tuple[str, ...] = ()  # partners with an AS2 profile
    batched: tuple[str, ...] = ()  # kinds that take several messages in a call


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of a partner; `limit` is in calls a second, 0 where none is listed."""

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
        """Its name in the decision module and the journal.

        The wing is part of it: where an endpoint has moved to another wing it is a new one, for a
        keyed message that may have run in the old one must not be repeated there. So is the
        destination, whose messages alone may go to it.
        """
        return f"{self.id}@{self.wing}/{self.destination}".encode()

    @property
    def host_port(self) -> str:
        """Its address as it is written in a file."""
        host, port = self.address
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    @property
    def phase(self) -> str:
        """Its phase as it is written in a file."""
        return "draining" if self.draining else "serving"


class Inventory:
    """A checked set of endpoints; two are equal if the sets are, in whatever files and order they stood."""

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints = {e.target: e for e in sorted(endpoints, key=lambda e: e.id)}

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Inventory) and self.endpoints == other.endpoints

    def __hash__(self) -> int:
        return hash(self.digest)

    def __len__(self) -> int:
        return len(self.endpoints)

    def sharing(self, other: Inventory) -> Inventory:
        """The same set with the objects of another where they are equal: a small change makes few."""
        for target, endpoint in self.endpoints.items():
            if other.endpoints.get(target) == endpoint:
                self.endpoints[target] = other.endpoints[target]
        return self

    @cached_property
    def names(self) -> dict[str, int]:
        """The number of each partner's destination."""
        return {endpoint.partner: endpoint.destination for endpoint in self.endpoints.values()}

    @cached_property
    def digest(self) -> str:
        """A short name of the set: the same for the same endpoints."""
        hashed = hashlib.blake2b(digest_size=6)
        for endpoint in self.endpoints.values():
            hashed.update(repr(endpoint).encode())
        return hashed.hexdigest()


def destination_number(partner: str) -> int:
    """The number of a destination that has only a name: the same in every file and after every restart."""
    digest = hashlib.blake2b(partner.encode(), digest_size=6).digest()
    return UNNUMBERED + int.from_bytes(digest, "big")
