"""Loads a configuration file, and reports every problem with its line and the remedy."""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ValidationError
from pydantic.fields import FieldInfo
from pydantic_core import ErrorDetails

from emberlatch.config.schema import Gateway

_TABLE_LINE = re.compile(r"\s*\[{1,2}\s*([^\[\]]+?)\s*\]{1,2}\s*(?:#.*)?$")
_KEY_LINE = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
_KEY_PART = re.compile(r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'""")
MAX_FILE_BYTES = 1 << 20
_KEY_ERROR = "[key]"
"""The part of a Pydantic error location that means that the key is invalid, not its value."""


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """A problem in a configuration file; lines are counted from 1, and line 0 means the file itself."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.key}: {self.text}" if self.key else f"{place}: {self.text}"


class ConfigError(Exception):
    """Raised when a file is invalid or can't be read; `problems` has every reason, ordered by line."""

    def __init__(self, problems: Sequence[ConfigProblem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)


def load(path: Path) -> Gateway:
    """Read and validate a file; raises ConfigError."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError([ConfigProblem(str(path), 0, "", error.strerror or str(error))]) from error
    return parse(data, str(path)).at(path)


def parse(data: bytes, name: str) -> Gateway:
    """Validate a file's contents; `name` is the file name that problems show. Raises ConfigError."""
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError([ConfigProblem(name, 0, "", f"is over {MAX_FILE_BYTES} bytes")])
    try:
        text = data.decode("utf-8-sig")
        document = tomllib.loads(text)
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise ConfigError([ConfigProblem(name, line, "", "is not UTF-8")]) from error
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"\(at line (\d+)", str(error))
        line = int(match[1]) if match else text.count("\n") + 1
        reason = str(error).partition(" (at ")[0]
        raise ConfigError([ConfigProblem(name, line, "", reason)]) from error
    try:
        return Gateway.model_validate(document)
    except ValidationError as error:
        lines = _lines(text)
        problems = [_problem(name, lines, details) for details in error.errors(include_url=False)]
        raise ConfigError(sorted(problems, key=lambda p: (p.line, p.key))) from error


def _problem(name: str, lines: dict[tuple[str, ...], int], details: ErrorDetails) -> ConfigProblem:
    """Convert a validation error to a problem, at the line of the nearest enclosing key in the file."""
    path = tuple(str(part) for part in details["loc"] if part != _KEY_ERROR)
    known = path
    while known and known not in lines:
        known = known[:-1]
    return ConfigProblem(name, lines.get(known, 0), ".".join(path), _problem_text(path, details))


def _problem_text(path: tuple[str, ...], details: ErrorDetails) -> str:
    if details["type"] == "extra_forbidden":
        close = difflib.get_close_matches(path[-1], _siblings(path[:-1]), 1, 0.5)
        return "is not known" + (f"; did you mean {close[0]!r}?" if close else "")
    if details["type"] == "missing":
        return "is missing"
    if details["loc"][-1:] == (_KEY_ERROR,):
        return "is no name: letters, digits, dots, dashes, at most 64, the first no dash or dot"
    return str(details["msg"]).removeprefix("Value error, ")


def _siblings(path: Sequence[str]) -> list[str]:
    """Return the keys that the table at a path may have."""
    model: type[BaseModel] = Gateway
    for part in path:
        field = _fields_by_key(model).get(part)
        found = list(_models(field.annotation)) if field is not None else []
        model = found[0] if found else model  # keys that the operator chooses have no field
    return list(_fields_by_key(model))


def _fields_by_key(model: type[BaseModel]) -> dict[str, FieldInfo]:
    """Return the fields of a table by their keys in the file."""
    return {field.alias or name: field for name, field in model.model_fields.items()}


def _models(annotation: object) -> Iterator[type[BaseModel]]:
    """Yield the models that a type annotation contains."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for inner in getattr(annotation, "__args__", ()):
        yield from _models(inner)


def _lines(text: str) -> dict[tuple[str, ...], int]:
    """Return the line of each key and table, which `tomllib` does not report; needs valid TOML."""
    found: dict[tuple[str, ...], int] = {}
    table: tuple[str, ...] = ()
    for number, line in enumerate(text.split("\n"), 1):
        if match := _TABLE_LINE.match(line):
            table = _key_parts(match[1])
            path = table
        elif match := _KEY_LINE.match(line):
            path = table + _key_parts(match[1])
        else:
            continue
        for end in range(1, len(path) + 1):
            found.setdefault(path[:end], number)
    return found


def _key_parts(text: str) -> tuple[str, ...]:
    return tuple(part.strip("\"'") for part in _KEY_PART.findall(text))
