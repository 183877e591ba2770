"""Reads a configuration file: every fault at once, each with its line and what would be right."""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError

from emberlatch.config.schema import Gateway

_TABLE = re.compile(r"\s*\[{1,2}\s*([^\[\]]+?)\s*\]{1,2}\s*(?:#.*)?$")
_KEY = re.compile(
    r"""\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*'))*)\s*="""
)
_PART = re.compile(r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'""")
MOST_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """One fault; line 0 stands for the file as a whole."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.key}: {self.text}" if self.key else f"{place}: {self.text}"


class ConfigProblems(Exception):
    """A file that is not taken; `problems` holds all that is wrong with it, by line."""

    def __init__(self, problems: Sequence[ConfigProblem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)


def load(path: Path) -> Gateway:
    """Read and check a file; raises ConfigProblems."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigProblems([ConfigProblem(str(path), 0, "", error.strerror or str(error))]) from error
    return parse(data, str(path)).at(path)


def parse(data: bytes, name: str) -> Gateway:
    """Check the text of a file; raises ConfigProblems."""
    if len(data) > MOST_BYTES:
        raise ConfigProblems([ConfigProblem(name, 0, "", f"is over {MOST_BYTES} bytes")])
    try:
        text = data.decode("utf-8-sig")
        document = tomllib.loads(text)
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise ConfigProblems([ConfigProblem(name, line, "", "is not UTF-8")]) from error
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"\(at line (\d+)", str(error))
        line = int(match[1]) if match else text.count("\n") + 1
        reason = str(error).partition(" (at ")[0]
        raise ConfigProblems([ConfigProblem(name, line, "", reason)]) from error
    try:
        return Gateway.model_validate(document)
    except ValidationError as error:
        lines = _lines(text)
        problems = [_problem(name, lines, dict(item)) for item in error.errors(include_url=False)]
        raise ConfigProblems(sorted(problems, key=lambda p: (p.line, p.key))) from error


def _problem(name: str, lines: dict[tuple[str, ...], int], item: dict[str, Any]) -> ConfigProblem:
    path = tuple(str(part) for part in item["loc"] if part != "[key]")
    text = str(item["msg"]).removeprefix("Value error, ")
    if item["type"] == "extra_forbidden":
        close = difflib.get_close_matches(path[-1], _siblings(path[:-1]), 1, 0.5)
        text = "is not known" + (f"; did you mean {close[0]!r}?" if close else "")
    elif item["type"] == "missing":
        text = "is missing"
    elif item["loc"][-1:] == ("[key]",):
        text = "is no name: letters, digits, dots, dashes, at most 64, the first no dash or dot"
    known = path
    while known and known not in lines:
        known = known[:-1]
    return ConfigProblem(name, lines.get(known, 0), ".".join(path), text)


def _siblings(path: Sequence[str]) -> list[str]:
    """The names that the table at a path may hold."""
    model: type[BaseModel] = Gateway
    for part in path:
        field = model.model_fields.get(part)
        found = list(_models(field.annotation)) if field is not None else []
        model = found[0] if found else model  # a name given by the user leads to nothing else
    return list(model.model_fields)


def _models(annotation: Any) -> Iterator[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for inner in getattr(annotation, "__args__", ()):
        yield from _models(inner)


def _lines(text: str) -> dict[tuple[str, ...], int]:
    """The line of each key and table. The library keeps none, and the text is known to be sound TOML."""
    found: dict[tuple[str, ...], int] = {}
    table: tuple[str, ...] = ()
    for number, line in enumerate(text.split("\n"), 1):
        if match := _TABLE.match(line):
            table = _parts(match[1])
            path = table
        elif match := _KEY.match(line):
            path = table + _parts(match[1])
        else:
            continue
        for end in range(1, len(path) + 1):
            found.setdefault(path[:end], number)
    return found


def _parts(text: str) -> tuple[str, ...]:
    return tuple(part.strip("\"'") for part in _PART.findall(text))
