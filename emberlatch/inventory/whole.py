"""The files of an inventory held against each other: one checked set, or all that is wrong with it.

A row is reported once for each of its own faults. What is wrong between rows is reported at the odd
one: the later of two, or the spelling that fewer rows use, with the place of the other.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Callable, Hashable, Iterable, Iterator, Mapping
from typing import Any, TypeVar

from emberlatch.inventory.model import (
    Endpoint,
    Inventory,
    Place,
    Problem,
    RefusedError,
    Vocabulary,
    destination_number,
)
from emberlatch.inventory.parsed import BAD, Defaults, Parsed, Row, Values
from emberlatch.inventory.yamlfile import ROOT

MOST_ROWS = 200_000
_T = TypeVar("_T", bound=Hashable)
_DEFAULTS: Values = {"protocol": "http", "limit": 0.0, "phase": False, "tags": ()}
_NEEDED = {
    "id": "a name that no other endpoint has",
    "address": "host:port, like 10.1.0.18:5000",
    "kind": "the kind of partner",
    "wing": "the wing that it stands in",
}


def assemble(files: Iterable[Parsed], words: Vocabulary = Vocabulary((), ())) -> Inventory:  # noqa: B008
    """The set that the files make together, in whatever order they come; raises RefusedError."""
    return _Assembly(list(files), words).inventory()


class _Assembly:
    def __init__(self, files: list[Parsed], words: Vocabulary) -> None:
        self._words = words
        self._problems = [problem for file in files for problem in file.problems]
        self._rows = sorted((row for file in files for row in file.rows), key=lambda r: (r.file, r.line))
        by_place: Callable[[Defaults], tuple[str, int]] = lambda d: (d.file, d.line)  # noqa: E731
        self._groups = _Groups(sorted((g for f in files for g in f.groups), key=by_place), self._problem)
        self._partners = sorted((p for f in files for p in f.partners), key=by_place)

    def _problem(self, place: Place, field: str, wrong: str, right: str = "") -> None:
        self._problems.append(Problem(place, field, wrong, right))

    def inventory(self) -> Inventory:
        if len(self._rows) > MOST_ROWS:
            over = self._rows[MOST_ROWS].place()
            raise RefusedError([Problem(over, "", f"is row {MOST_ROWS + 1}", f"at most {MOST_ROWS} rows")])
        listed = self._listed_partners()
        rows = [(row, self._resolved(row, listed)) for row in self._rows]
        self._spelt_alike(rows)
        self._numbered(rows)
        self._speakable(rows)
        self._unlike(rows, "id", lambda values: values["id"])
        self._unlike(rows, "address", lambda values: values["address"])
        for name in listed.keys() - {values["partner"] for _, values in rows}:
            place = Place(listed[name].file, listed[name].line)
            self._problem(place, "partner", f"{name!r} has no endpoint", "at least one, or no such partner")
        if not rows and not self._problems:
            self._problem(Place("inventory", 1), "", "lists no endpoint", "at least one")
        if self._problems:
            unique = dict.fromkeys(self._problems)
            raise RefusedError(sorted(unique, key=lambda p: (p.place, p.field, p.wrong)))
        return Inventory(_endpoint(values) for _, values in rows)

    def _listed_partners(self) -> dict[str, Defaults]:
        listed: dict[str, Defaults] = {}
        for partner in self._partners:
            first = listed.setdefault(partner.name, partner)
            if first is not partner:
                place, other = Place(partner.file, partner.line), Place(first.file, first.line)
                self._problem(place, "partner", f"{partner.name!r} is listed twice", f"once; see {other}")
        return listed

    def _resolved(self, row: Row, listed: Mapping[str, Defaults]) -> Values:
        """All values of a row: its own, those of its groups, those of its partner, the defaults."""
        values = {**self._groups.values(row, self._problem), **row.values}
        destination = values.get("destination")
        if isinstance(destination, str):  # the partner's name stands there
            if values.setdefault("partner", destination) not in (destination, BAD):
                wrong = f"is {destination!r} though the partner is {values['partner']!r}"
                self._problem(row.place("destination"), "destination", wrong, "one name, or a number")
            del values["destination"]
        partner = listed.get(values["partner"]) if isinstance(values.get("partner"), str) else None
        values = {**_DEFAULTS, **(partner.values if partner is not None else {}), **values}
        for field, right in _NEEDED.items():
            if field not in values:
                self._problem(row.place(), field, "is missing", right)
                values[field] = BAD
        if "partner" not in values and "destination" not in values:
            self._problem(row.place(), "partner", "is missing", "a partner's name or a destination's number")
            values["partner"] = BAD
        values.setdefault("partner", None)
        values.setdefault("destination", None)
        return values

    def _spelt_alike(self, rows: list[tuple[Row, Values]]) -> None:
        """Report a partner whose name is spelt in another way than usual, and take it as the usual."""
        spellings: dict[str, dict[str, list[Place]]] = {}
        for row, values in rows:
            if isinstance(name := values["partner"], str):
                alike = spellings.setdefault(_folded(name), {})
                alike.setdefault(name, []).append(row.place("partner"))
        for partner in self._partners:
            alike = spellings.setdefault(_folded(partner.name), {})
            alike.setdefault(partner.name, []).append(Place(partner.file, partner.line))
        usual: dict[str, str] = {}
        for folded, alike in spellings.items():
            usual[folded] = self._odd(alike, "partner", lambda name, other: f"{name!r} is spelt {other!r}")
        for _, values in rows:
            if isinstance(name := values["partner"], str):
                values["partner"] = usual[_folded(name)]

    def _odd(self, places: dict[_T, list[Place]], field: str, wrong: Callable[[_T, _T], str]) -> _T:
        """Of several values where there should be one, the most used; each use of another is reported."""
        usual = min(places, key=lambda value: (-len(places[value]), places[value][0]))
        for value, found in places.items():
            for place in found if value != usual else ():
                self._problem(place, field, wrong(value, usual), f"the same as in {places[usual][0]}")
        return usual

    def _numbered(self, rows: list[tuple[Row, Values]]) -> None:
        """Give every row its partner's name and number: one of each for the other."""
        numbers: dict[str, dict[int, list[Place]]] = {}
        for row, partner, told in _both(rows):
            numbers.setdefault(partner, {}).setdefault(told, []).append(row.place("destination"))
        number_of: dict[str, int] = {}
        for partner, places in numbers.items():
            number_of[partner] = self._odd(
                places, "destination", lambda one, usual: f"{one} is elsewhere {usual}"
            )
        names: dict[int, dict[str, list[Place]]] = {}
        for row, partner, _ in _both(rows):
            names.setdefault(number_of[partner], {}).setdefault(partner, []).append(row.place("destination"))
        name_of: dict[int, str] = {}
        for shared, uses in names.items():
            text = f"{shared} of {{!r}} is that of {{!r}}"
            name_of[shared] = self._odd(uses, "destination", text.format)
        made: dict[int, str] = {}
        for row, values in rows:
            number: Any = values["destination"]
            name: Any = values["partner"]
            if name is None and isinstance(number, int):
                name = values["partner"] = name_of.get(number, f"dest-{number}")
            if not isinstance(name, str) or number is BAD:
                continue
            number = number_of.get(name, number)
            if number is None:
                number = destination_number(name)
                if (other := made.setdefault(number, name)) != name:
                    wrong = f"{name!r} gets the same number as {other!r}"
                    self._problem(row.place("partner"), "partner", wrong, "a destination number of its own")
            values["destination"] = number

    def _speakable(self, rows: list[tuple[Row, Values]]) -> None:
        """An AS2 endpoint needs a profile of its partner, and takes one message at a time."""
        for row, values in rows:
            if values["protocol"] != "as2":
                continue
            partner, kind = values["partner"], values["kind"]
            if partner is not BAD and partner not in self._words.profiles:
                right = f"a table [as2.partners.{partner}] in the configuration"
                self._problem(row.place("protocol"), "protocol", f"{partner!r} has no AS2 profile", right)
            if kind in self._words.batched:
                wrong = f"as2 for {kind!r}, which takes several messages in a call"
                self._problem(row.place("protocol"), "protocol", wrong, "a kind with batch = 1")

    def _unlike(self, rows: list[tuple[Row, Values]], field: str, of: Callable[[Values], Any]) -> None:
        """No two endpoints share an id, or an address."""
        first: dict[Any, tuple[Row, Values]] = {}
        for row, values in rows:
            value = of(values)
            if value is BAD:
                continue
            before, others = first.setdefault(value, (row, values))
            if before is row:
                continue
            place, shown = before.place(field), _shown(value)
            if BAD in (values["wing"], others["wing"]) or values["wing"] == others["wing"]:
                self._problem(
                    row.place(field), field, f"{shown} is a duplicate", f"once; it stands in {place}"
                )
            else:
                wrong = f"{shown} in {values['wing']} conflicts with {others['wing']} in {place}"
                self._problem(row.place(field), field, wrong, "one wing for one endpoint")


class _Groups:
    """The groups of all files: each has one parent, and each field one value."""

    def __init__(self, defined: list[Defaults], problem: Callable[[Place, str, str, str], None]) -> None:
        self._values: dict[str, Values] = {ROOT: {}}
        self._parents: dict[str, str] = {}
        first: dict[tuple[str, str], Place] = {}
        for group in defined:
            place = Place(group.file, group.line)
            values = self._values.setdefault(group.name, {})
            for field, value in group.values.items():
                here = Place(group.file, group.lines[field])
                before = first.setdefault((group.name, field), here)
                if field in values and values[field] != value and BAD not in (value, values[field]):
                    wrong = f"{_shown(value)} for group {group.name!r} is {_shown(values[field])} in {before}"
                    problem(here, field, wrong, "one value for a group")
                values.setdefault(field, value)
            if group.parent is None:
                continue
            before = first.setdefault((group.name, ""), place)
            if self._parents.setdefault(group.name, group.parent) != group.parent:
                other = self._parents[group.name]
                wrong = f"group {group.name!r} is in {group.parent!r}, and in {other!r} in {before}"
                problem(place, "", wrong, "a group is in one other group")
            elif group.name == ROOT or group.name in self._chain(group.parent):
                problem(place, "", f"group {group.name!r} is inside itself", f"{ROOT} on top of all groups")
                del self._parents[group.name]
        self._inherited = {name: self._merged(name) for name in self._values}

    def _chain(self, name: str) -> list[str]:
        """The group and those around it, the nearest first."""
        chain = [name]
        while (parent := self._parents.get(chain[-1])) is not None and parent not in chain:
            chain.append(parent)
        return chain if ROOT in chain else [*chain, ROOT]

    def _merged(self, name: str) -> Values:
        return {f: v for group in reversed(self._chain(name)) for f, v in self._values[group].items()}

    def values(self, row: Row, problem: Callable[[Place, str, str, str], None]) -> Values:
        """What a row inherits; a group that is nowhere defined is reported."""
        name = row.group or ROOT
        if name not in self._inherited:
            problem(row.place("group"), "group", f"{name!r} is not defined", "a group of a YAML file")
            return {field: BAD for field in ("partner", "kind", "wing", "destination")}
        return self._inherited[name]


def _both(rows: list[tuple[Row, Values]]) -> Iterator[tuple[Row, str, int]]:
    """The rows in which both a partner's name and a destination's number are known."""
    for row, values in rows:
        if isinstance(values["partner"], str) and isinstance(values["destination"], int):
            yield row, values["partner"], values["destination"]


def _folded(name: str) -> str:
    return re.sub(r"[ ._-]", "", name).casefold()


def _shown(value: object) -> str:
    if isinstance(value, tuple):
        return f"{value[0]}:{value[1]}" if value and isinstance(value[-1], int) else " ".join(value)
    return f"{value!r}"


def _endpoint(values: Values) -> Endpoint:
    return Endpoint(
        id=values["id"],
        address=values["address"],
        partner=sys.intern(values["partner"]),
        destination=values["destination"],
        kind=values["kind"],
        wing=values["wing"],
        protocol=values["protocol"],
        limit=values["limit"],
        draining=values["phase"],
        tags=values["tags"],
    )
