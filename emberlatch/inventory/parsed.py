"""What one file says, before it is held against the others."""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from emberlatch.inventory.model import Place, Problem


class Bad:
    """Stands for a value that has been reported already, so that nothing is said of it twice."""

    def __reduce__(self) -> str:
        return "BAD"  # there is one, also after unpickling


BAD: Final = Bad()

Values = dict[str, Any]
"""Field -> value, or BAD."""


@dataclass(slots=True)
class Row:
    """An endpoint as it was written; `lines` tells where fields stand that are not on its own line."""

    file: str
    line: int
    values: Values
    group: str | None = None
    lines: dict[str, int] | None = None

    def place(self, name: str = "") -> Place:
        """Where a field stands."""
        return Place(self.file, (self.lines or {}).get(name, self.line))


@dataclass(slots=True)
class Defaults:
    """Values that others inherit: of a group (with its parent, if one is told) or of a partner."""

    name: str
    file: str
    line: int
    values: Values = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)
    parent: str | None = None


@dataclass(slots=True)
class Parsed:
    """All that a file says."""

    rows: list[Row] = field(default_factory=list)
    groups: list[Defaults] = field(default_factory=list)
    partners: list[Defaults] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)


_CHUNK = 500  # rows pickled together: nothing else runs while a chunk is read


class Packed:
    """What a file says, kept until a file beside it changes.

    Kept as objects, the rows of a large inventory would be walked by the collector at each of its full
    rounds, and everything else would wait for that.
    """

    def __init__(self, parsed: Parsed) -> None:
        rows = parsed.rows
        chunks = [rows[at : at + _CHUNK] for at in range(0, len(rows), _CHUNK)]
        rest = Parsed([], parsed.groups, parsed.partners, parsed.problems)
        self._rest, self._rows = pickle.dumps(rest), [pickle.dumps(chunk) for chunk in chunks]

    def unpack(self) -> Parsed:
        """The same again."""
        parsed: Parsed = pickle.loads(self._rest)
        parsed.rows = [row for chunk in self._rows for row in self._loaded(chunk)]
        return parsed

    def _loaded(self, chunk: bytes) -> Iterator[Row]:
        yield from pickle.loads(chunk)


class Source:
    """The text of a file and the problems found in it."""

    def __init__(self, file: str) -> None:
        self.file, self.parsed = file, Parsed()

    def problem(self, line: int, name: str, wrong: str, right: str = "") -> None:
        """Note a fault."""
        self.parsed.problems.append(Problem(Place(self.file, line), name, wrong, right))
