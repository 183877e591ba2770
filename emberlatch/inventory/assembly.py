"""Assembles the files of an inventory into one validated inventory, or reports every problem.

Each problem of a single row is reported once. A duplicate id or address is reported at the later row. A
conflict of spellings or numbers is reported at the rows with the less frequent value. Each report of a
conflict also gives the location of the other row.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from typing import cast

from emberlatch.engine import Address
from emberlatch.inventory.groups import Groups, format_value
from emberlatch.inventory.model import (
    Endpoint,
    Inventory,
    Problem,
    RefusedError,
    SourceLocation,
    Vocabulary,
)
from emberlatch.inventory.parsed_file import INVALID, Defaults, FieldValue, FieldValues, ParsedFile, Row
from emberlatch.inventory.partners import ResolvedRow, assign_destinations, unify_spelling

MAX_ROWS = 200_000
_EMPTY_VOCABULARY = Vocabulary((), ())
_DEFAULTS: FieldValues = {"protocol": "http", "limit": 0.0, "phase": False, "tags": ()}
_REQUIRED = {
    "id": "a name that no other endpoint has",
    "address": "host:port, like 10.1.0.18:5000",
    "kind": "the kind of partner",
    "wing": "the wing that it stands in",
}
"""Required field -> the remedy if the field is missing."""


def assemble(files: Iterable[ParsedFile], vocabulary: Vocabulary = _EMPTY_VOCABULARY) -> Inventory:
    """Combine the files, in any order, into one inventory; raises RefusedError."""
    return _Assembly(list(files), vocabulary).inventory()


def _by_location(item: Row | Defaults) -> tuple[str, int]:
    return item.file, item.line


class _Assembly:
    def __init__(self, files: list[ParsedFile], vocabulary: Vocabulary) -> None:
        self._vocabulary = vocabulary
        self._problems = [problem for file in files for problem in file.problems]
        self._rows = sorted((row for file in files for row in file.rows), key=_by_location)
        groups = sorted((group for file in files for group in file.groups), key=_by_location)
        self._groups = Groups(groups, self._add_problem)
        self._partners = sorted((partner for file in files for partner in file.partners), key=_by_location)

    def _add_problem(self, location: SourceLocation, field: str, fault: str, remedy: str = "") -> None:
        self._problems.append(Problem(location, field, fault, remedy))

    def inventory(self) -> Inventory:
        if len(self._rows) > MAX_ROWS:
            location = self._rows[MAX_ROWS].location()
            raise RefusedError([Problem(location, "", f"is row {MAX_ROWS + 1}", f"at most {MAX_ROWS} rows")])
        partners = self._unique_partners()
        rows = [(row, self._resolved(row, partners)) for row in self._rows]
        unify_spelling(rows, self._partners, self._add_problem)
        assign_destinations(rows, self._add_problem)
        self._check_protocols(rows)
        self._check_unique(rows, "id")
        self._check_unique(rows, "address")
        self._check_partners_used(rows, partners)
        if not rows and not self._problems:
            self._add_problem(SourceLocation("inventory", 1), "", "lists no endpoint", "at least one")
        if self._problems:
            unique = dict.fromkeys(self._problems)
            raise RefusedError(sorted(unique, key=lambda p: (p.location, p.field, p.fault)))
        return Inventory(_endpoint(values) for _, values in rows)

    def _unique_partners(self) -> dict[str, Defaults]:
        unique: dict[str, Defaults] = {}
        for partner in self._partners:
            first = unique.setdefault(partner.name, partner)
            if first is not partner:
                fault, remedy = f"{partner.name!r} is listed twice", f"once; see {first.location}"
                self._add_problem(partner.location, "partner", fault, remedy)
        return unique

    def _resolved(self, row: Row, partners: Mapping[str, Defaults]) -> FieldValues:
        """Return all values of a row. Precedence: the row, its groups, its partner, the defaults."""
        values = {**self._groups.inherited_by(row), **row.values}
        self._move_partner_name(row, values)
        name = values.get("partner")
        partner = partners.get(name) if isinstance(name, str) else None
        values = {**_DEFAULTS, **(partner.values if partner is not None else {}), **values}
        for field, remedy in _REQUIRED.items():
            if field not in values:
                self._add_problem(row.location(), field, "is missing", remedy)
                values[field] = INVALID
        if "partner" not in values and "destination" not in values:
            remedy = "a partner's name or a destination's number"
            self._add_problem(row.location(), "partner", "is missing", remedy)
            values["partner"] = INVALID
        values.setdefault("partner", None)
        values.setdefault("destination", None)
        return values

    def _move_partner_name(self, row: Row, values: FieldValues) -> None:
        """Move a destination that is a partner's name to the field `partner`."""
        destination = values.get("destination")
        if not isinstance(destination, str):
            return
        if values.setdefault("partner", destination) not in (destination, INVALID):
            fault = f"is {destination!r} though the partner is {values['partner']!r}"
            self._add_problem(row.location("destination"), "destination", fault, "one name, or a number")
        del values["destination"]

    def _check_protocols(self, rows: list[ResolvedRow]) -> None:
        """Report AS2 endpoints without an AS2 profile or of a kind that accepts several messages per call."""
        for row, values in rows:
            if values["protocol"] != "as2":
                continue
            partner, kind = values["partner"], values["kind"]
            if partner is not INVALID and partner not in self._vocabulary.profiles:
                remedy = f"a table [as2.partners.{partner}] in the configuration"
                fault = f"{partner!r} has no AS2 profile"
                self._add_problem(row.location("protocol"), "protocol", fault, remedy)
            if kind in self._vocabulary.batched:
                fault = f"as2 for {kind!r}, which takes several messages in a call"
                self._add_problem(row.location("protocol"), "protocol", fault, "a kind with batch = 1")

    def _check_unique(self, rows: list[ResolvedRow], field: str) -> None:
        """Report each row that has the same `id` or `address` (`field`) as an earlier row."""
        first: dict[FieldValue, ResolvedRow] = {}
        for row, values in rows:
            value = values[field]
            if value is INVALID:
                continue
            first_row, first_values = first.setdefault(value, (row, values))
            if first_row is row:
                continue
            location, wing, first_wing = first_row.location(field), values["wing"], first_values["wing"]
            if INVALID in (wing, first_wing) or wing == first_wing:
                fault, remedy = f"{format_value(value)} is a duplicate", f"once; it stands in {location}"
            else:
                fault = f"{format_value(value)} in {wing} conflicts with {first_wing} in {location}"
                remedy = "one wing for one endpoint"
            self._add_problem(row.location(field), field, fault, remedy)

    def _check_partners_used(self, rows: list[ResolvedRow], partners: Mapping[str, Defaults]) -> None:
        for name in partners.keys() - {values["partner"] for _, values in rows}:
            fault, remedy = f"{name!r} has no endpoint", "at least one, or no such partner"
            self._add_problem(partners[name].location, "partner", fault, remedy)


def _endpoint(values: FieldValues) -> Endpoint:
    """Build the endpoint from the values of a row; every value must be valid."""
    return Endpoint(
        id=cast(str, values["id"]),
        address=cast(Address, values["address"]),
        partner=sys.intern(cast(str, values["partner"])),
        destination=cast(int, values["destination"]),
        kind=cast(str, values["kind"]),
        wing=cast(str, values["wing"]),
        protocol=cast(str, values["protocol"]),
        limit=cast(float, values["limit"]),
        draining=cast(bool, values["phase"]),
        tags=cast("tuple[str, ...]", values["tags"]),
    )
