"""The directory service's lists: their JSON form, and its conversion to and from entries and addresses."""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import SupportsFloat, TypedDict, cast

from emberlatch.core.interface import Entry, Phase
from emberlatch.engine import Address, Addresses
from emberlatch.net.http_connection import parse_address

log = logging.getLogger(__name__)

LIST_DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)
"""Exceptions that decoding an invalid list may raise."""
PHASE_OF_STATE = {"SERVING": Phase.READY, "DRAINING": Phase.DRAINING, "DELETED": Phase.REMOVED}
STATE_OF_PHASE = {phase: state for state, phase in PHASE_OF_STATE.items()}


class MemberDocument(TypedDict, total=False):
    """One target as the service encodes it."""

    id: str
    host_port: str
    locality: str | None
    flavor: str | None
    cell: int
    phase: str
    size: SupportsFloat | str


class ListDocument(TypedDict):
    """A list as the service encodes it."""

    revision: int
    complete: bool
    members: list[MemberDocument]


@dataclass(frozen=True, slots=True)
class DirectoryList:
    """A decoded list.

    Attributes:
        is_complete: whether the list contains all targets; otherwise it contains only those that changed.
        addresses: the address of each entry, by target.
    """

    revision: int
    is_complete: bool
    entries: tuple[Entry, ...]
    addresses: Addresses


class DirectoryListCodec:
    """Decodes and encodes lists; zones and machine types are numbered by their order in the settings."""

    def __init__(self, zones: Sequence[str], machine_types: Sequence[str]) -> None:
        self._zones, self._machine_types = zones, machine_types

    def decode(self, document: Mapping[str, object]) -> DirectoryList:
        """Decode a list; invalid members are logged and omitted.

        Raises:
            one of LIST_DECODE_ERRORS: the list as such is invalid.
        """
        received = cast(ListDocument, document)
        revision, is_complete = int(received["revision"]), bool(received["complete"])
        entries: list[Entry] = []
        addresses: dict[bytes, Address] = {}
        for member in received["members"]:
            try:
                entry = self._decode_entry(member)
                addresses[entry.target] = parse_address(member["host_port"])
            except LIST_DECODE_ERRORS as error:  # the error affects only this member
                log.warning("directory list: invalid member %r omitted: %r", member, error)
                continue
            entries.append(entry)
        return DirectoryList(revision, is_complete, tuple(entries), addresses)

    def _decode_entry(self, member: MemberDocument) -> Entry:
        return Entry(
            target=str(member["id"]).encode(),
            destination=int(member["cell"]),
            phase=PHASE_OF_STATE[member["phase"]],
            kind=_index_of(self._machine_types, member.get("flavor")),
            zone=_index_of(self._zones, member.get("locality")),
            weight=_parse_weight(member.get("size", 1.0)),
        )

    def encode(self, revision: int, listed: Sequence[tuple[Entry, Address]]) -> ListDocument:
        """Encode a complete list."""
        members: list[MemberDocument] = [
            {
                "id": entry.target.decode(),
                "host_port": f"{host}:{port}",
                "locality": _name_at(self._zones, entry.zone),
                "flavor": _name_at(self._machine_types, entry.kind),
                "cell": entry.destination,
                "phase": STATE_OF_PHASE[entry.phase],
                "size": entry.weight,
            }
            for entry, (host, port) in listed
        ]
        return {"revision": revision, "complete": True, "members": members}


def _parse_weight(value: SupportsFloat | str) -> float:
    """Parse a weight; raises ValueError unless it is a finite number of at least 0."""
    number = float(value)
    if not 0 <= number < math.inf:
        raise ValueError(f"size must be a finite number of at least 0, got {value!r}")
    return number


def _name_at(names: Sequence[str], index: int) -> str | None:
    return names[index] if index < len(names) else None


def _index_of(names: Sequence[str], name: str | None) -> int:
    """Return the index of a name in `names`, or the length of `names` if the name is not in the list."""
    return names.index(name) if isinstance(name, str) and name in names else len(names)
