"""The contents of one inventory file, parsed but not yet checked against the other files."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from emberlatch.engine import Address
from emberlatch.inventory.model import Problem, SourceLocation


class Invalid:
    """Marks a value whose problem is already reported, so that later checks don't report it again."""

    def __reduce__(self) -> str:
        return "INVALID"  # unpickling gives the module's only instance


INVALID: Final = Invalid()

ParsedValue = str | int | float | bool | Address | tuple[str, ...]
"""A valid value of a field, as `fields.parse` returns it."""

FieldValue = ParsedValue | Invalid | None
"""A value of a row; None if the value is not known."""

FieldValues = dict[str, FieldValue]
"""Field name -> value."""


@dataclass(slots=True)
class Row:
    """An endpoint as written in its file. `lines` has the lines of fields, if the parser gives them."""

    file: str
    line: int
    values: FieldValues
    group: str | None = None
    lines: dict[str, int] | None = None

    def location(self, name: str = "") -> SourceLocation:
        """Return the location of a field, or of the row if no line is recorded for the field."""
        return SourceLocation(self.file, (self.lines or {}).get(name, self.line))


@dataclass(slots=True)
class Defaults:
    """Values that rows inherit from a group or a partner. `parent` is the group's parent, if any."""

    name: str
    file: str
    line: int
    values: FieldValues = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)
    parent: str | None = None

    @property
    def location(self) -> SourceLocation:
        """Where the group or partner was written."""
        return SourceLocation(self.file, self.line)


@dataclass(slots=True)
class ParsedFile:
    """The rows, groups and partners of a file, and the problems found while it was parsed."""

    rows: list[Row] = field(default_factory=list)
    groups: list[Defaults] = field(default_factory=list)
    partners: list[Defaults] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)


_ROWS_PER_CHUNK = 500  # unpickling a chunk blocks all other threads: it does not release the interpreter lock


class PickledFile:
    """A parsed file in pickled form, kept in memory; it is unpickled when the inventory is assembled.

    If the rows of a large inventory were kept as objects, each full garbage collection would traverse
    them, which stalls the event loop.
    """

    def __init__(self, parsed: ParsedFile) -> None:
        rows = parsed.rows
        chunks = [rows[start : start + _ROWS_PER_CHUNK] for start in range(0, len(rows), _ROWS_PER_CHUNK)]
        rest = ParsedFile([], parsed.groups, parsed.partners, parsed.problems)
        self._rest = pickle.dumps(rest)
        self._row_chunks = [pickle.dumps(chunk) for chunk in chunks]

    def unpickle(self) -> ParsedFile:
        """Return a new copy of the parsed file."""
        parsed: ParsedFile = pickle.loads(self._rest)
        parsed.rows = [row for chunk in self._row_chunks for row in _unpickled(chunk)]
        return parsed


def _unpickled(chunk: bytes) -> Iterator[Row]:
    yield from pickle.loads(chunk)


class ParsedFileBuilder:
    """Collects the rows, groups, partners and problems that a parser finds in one file."""

    def __init__(self, file: str) -> None:
        self.file, self.parsed = file, ParsedFile()

    def add_problem(self, line: int, name: str, fault: str, remedy: str = "") -> None:
        """Record a problem with a field, or with the line itself if `name` is empty."""
        self.parsed.problems.append(Problem(SourceLocation(self.file, line), name, fault, remedy))
