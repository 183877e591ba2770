"""Merges the YAML groups of all files, and determines the values that rows inherit from them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from emberlatch.inventory.model import SourceLocation
from emberlatch.inventory.parsed_file import INVALID, Defaults, FieldValue, FieldValues, Row
from emberlatch.inventory.yaml_format import ROOT_GROUP

AddProblem = Callable[[SourceLocation, str, str, str], None]
"""Receives a location, a field (may be empty), what is wrong there, and the remedy."""

_FIELDS_OF_GROUPS = ("partner", "kind", "wing", "destination")
"""Required fields that a group may set. In rows of an undefined group they are not reported as missing."""


class Groups:
    """The groups of all files. Reports a group that is inside itself, or has two parents or two values."""

    def __init__(self, definitions: Iterable[Defaults], add_problem: AddProblem) -> None:
        """`definitions` are ordered by file and line; a conflict is reported at the later definition."""
        self._add_problem = add_problem
        self._values: dict[str, FieldValues] = {ROOT_GROUP: {}}
        self._parents: dict[str, str] = {}
        self._value_locations: dict[tuple[str, str], SourceLocation] = {}
        self._parent_locations: dict[str, SourceLocation] = {}
        for definition in definitions:
            self._add_values(definition)
            if definition.parent is not None:
                self._add_parent(definition, definition.parent)
        self._inherited = {name: self._merged(name) for name in self._values}

    def _add_values(self, definition: Defaults) -> None:
        name = definition.name
        values = self._values.setdefault(name, {})
        for field, value in definition.values.items():
            location = SourceLocation(definition.file, definition.lines[field])
            first = self._value_locations.setdefault((name, field), location)
            if field in values and values[field] != value and INVALID not in (value, values[field]):
                fault = (
                    f"{format_value(value)} for group {name!r} is {format_value(values[field])} in {first}"
                )
                self._add_problem(location, field, fault, "one value for a group")
            values.setdefault(field, value)

    def _add_parent(self, definition: Defaults, parent: str) -> None:
        name, location = definition.name, definition.location
        first = self._parent_locations.setdefault(name, location)
        other = self._parents.setdefault(name, parent)
        if other != parent:
            fault = f"group {name!r} is in {parent!r}, and in {other!r} in {first}"
            self._add_problem(location, "", fault, "a group is in one other group")
        elif name == ROOT_GROUP or name in self._ancestry(parent):
            remedy = f"{ROOT_GROUP} on top of all groups"
            self._add_problem(location, "", f"group {name!r} is inside itself", remedy)
            del self._parents[name]

    def _ancestry(self, name: str) -> list[str]:
        """Return the names of the group and its ancestors, from the group itself to the root group."""
        ancestry = [name]
        while (parent := self._parents.get(ancestry[-1])) is not None and parent not in ancestry:
            ancestry.append(parent)
        return ancestry if ROOT_GROUP in ancestry else [*ancestry, ROOT_GROUP]

    def _merged(self, name: str) -> FieldValues:
        """Merge the values of a group and its ancestors; the nearest definition takes precedence."""
        return {
            field: value
            for group in reversed(self._ancestry(name))
            for field, value in self._values[group].items()
        }

    def inherited_by(self, row: Row) -> FieldValues:
        """Return the values that a row inherits from its group; report a group that is not defined."""
        name = row.group or ROOT_GROUP
        if name not in self._inherited:
            fault = f"{name!r} is not defined"
            self._add_problem(row.location("group"), "group", fault, "a group of a YAML file")
            return dict.fromkeys(_FIELDS_OF_GROUPS, INVALID)
        return self._inherited[name]


def format_value(value: FieldValue) -> str:
    """Format a value for the text of a problem."""
    if not isinstance(value, tuple):
        return f"{value!r}"
    match value:
        case (str(host), int(port)):
            return f"{host}:{port}"
        case _:
            return " ".join(str(tag) for tag in value)
