"""Checks that a partner has only one spelling and one number, and that a number has only one partner.

A conflict is reported at each row of the minority, with the location of a row of the majority.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import TypeVar

from emberlatch.inventory.groups import AddProblem
from emberlatch.inventory.model import SourceLocation, destination_number
from emberlatch.inventory.parsed_file import INVALID, Defaults, FieldValues, Row

ResolvedRow = tuple[Row, FieldValues]
"""A row, and its values after inheritance."""

_Value = TypeVar("_Value", bound=Hashable)


def unify_spelling(rows: list[ResolvedRow], partners: Iterable[Defaults], add_problem: AddProblem) -> None:
    """Report each use of a spelling that is not the most frequent, and replace it by the most frequent."""
    spellings: dict[str, dict[str, list[SourceLocation]]] = {}
    for row, values in rows:
        if isinstance(name := values["partner"], str):
            uses = spellings.setdefault(_folded(name), {})
            uses.setdefault(name, []).append(row.location("partner"))
    for partner in partners:
        uses = spellings.setdefault(_folded(partner.name), {})
        uses.setdefault(partner.name, []).append(partner.location)
    majority: dict[str, str] = {}
    for folded, uses in spellings.items():
        majority[folded] = _majority(uses, "partner", "{!r} is spelt {!r}".format, add_problem)
    for _, values in rows:
        if isinstance(name := values["partner"], str):
            values["partner"] = majority[_folded(name)]


def assign_destinations(rows: list[ResolvedRow], add_problem: AddProblem) -> None:
    """Derive the partner's name or the destination number of each row that has only one of them."""
    number_of = _assigned_numbers(rows, add_problem)
    name_of = _names_by_number(rows, number_of, add_problem)
    derived: dict[int, str] = {}
    for row, values in rows:
        number, name = values["destination"], values["partner"]
        if name is None and isinstance(number, int):
            name = values["partner"] = name_of.get(number, f"dest-{number}")
        if not isinstance(name, str) or number is INVALID:
            continue
        number = number_of.get(name, number)
        if number is None:
            number = destination_number(name)
            if (other := derived.setdefault(number, name)) != name:
                fault = f"{name!r} gets the same number as {other!r}"
                remedy = "a destination number of its own"
                add_problem(row.location("partner"), "partner", fault, remedy)
        values["destination"] = number


def _assigned_numbers(rows: list[ResolvedRow], add_problem: AddProblem) -> dict[str, int]:
    """Return the destination number of each partner for which any row gives a number."""
    uses: dict[str, dict[int, list[SourceLocation]]] = {}
    for row, partner, number in _rows_with_both(rows):
        uses.setdefault(partner, {}).setdefault(number, []).append(row.location("destination"))
    return {
        partner: _majority(numbers, "destination", "{} is elsewhere {}".format, add_problem)
        for partner, numbers in uses.items()
    }


def _names_by_number(
    rows: list[ResolvedRow], number_of: dict[str, int], add_problem: AddProblem
) -> dict[int, str]:
    """Return the partner of each assigned destination number."""
    uses: dict[int, dict[str, list[SourceLocation]]] = {}
    for row, partner, _ in _rows_with_both(rows):
        names = uses.setdefault(number_of[partner], {})
        names.setdefault(partner, []).append(row.location("destination"))
    return {
        number: _majority(names, "destination", f"{number} of {{!r}} is that of {{!r}}".format, add_problem)
        for number, names in uses.items()
    }


def _rows_with_both(rows: list[ResolvedRow]) -> Iterator[tuple[Row, str, int]]:
    """Yield each row that has a partner's name and a destination number, with the name and the number."""
    for row, values in rows:
        if isinstance(values["partner"], str) and isinstance(values["destination"], int):
            yield row, values["partner"], values["destination"]


def _majority(
    uses: dict[_Value, list[SourceLocation]],
    field: str,
    describe: Callable[[_Value, _Value], str],
    add_problem: AddProblem,
) -> _Value:
    """Return the most frequent value (on a tie, the first), and report each use of another value."""
    majority = min(uses, key=lambda value: (-len(uses[value]), uses[value][0]))
    for value, locations in uses.items():
        if value == majority:
            continue
        for location in locations:
            add_problem(location, field, describe(value, majority), f"the same as in {uses[majority][0]}")
    return majority


def _folded(name: str) -> str:
    """Remove case and separators from a name; names that differ only in these are the same name."""
    return re.sub(r"[ ._-]", "", name).casefold()
