"""Composes YAML as a tree of nodes with line numbers, and reports constructs that YAML readers disagree on.

The nodes are composed from PyYAML's parser events, not by PyYAML's loader. The loader follows YAML 1.1, in
which `no` is false. It also follows aliases, and keeps only the last of two equal keys.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import yaml

MAX_DEPTH = 32
_AMBIGUITIES = (
    (re.compile(r"(?i)y|yes|n|no|on|off|true|false"), "is a boolean to YAML readers"),
    (re.compile(r"(?i)null|~|"), "is null to YAML readers"),
    (
        re.compile(r"(?i)[-+]?(0[0-7_]+|0o[0-7_]+|0x[0-9a-f_]+|0b[01_]+)"),
        "is octal, hexadecimal or binary to YAML readers",
    ),
    (re.compile(r"[-+]?[0-9][0-9_]*(:[0-5]?[0-9])+(\.[0-9_]*)?"), "is a number in base 60 to YAML readers"),
    (
        re.compile(r"(?i)[-+]?(\.inf|\.nan|[0-9][0-9_]*(\.[0-9_]*)?e[-+]?[0-9]+|\.[0-9_]+(e[-+]?[0-9]+)?)"),
        "is a float to YAML readers",
    ),
    (re.compile(r"[0-9]{4}-[0-9]{1,2}-[0-9]{1,2}([Tt ].*)?"), "is a date to YAML readers"),
)
_NUMBER = re.compile(r"[-+]?[0-9][0-9_]*(\.[0-9_]*)?")
_VARS_REMEDY = "give the values in a group's vars"
_ALIAS_REMEDY = "write the value, or give it in a group's vars"

ReportProblem = Callable[[int, str, str], None]
"""Receives a line, what is wrong there, and the remedy."""


@dataclass(slots=True)
class Scalar:
    """A scalar; `plain` is true if it was written without quotes."""

    text: str
    plain: bool
    line: int

    @property
    def empty(self) -> bool:
        """Whether the scalar has no value: an empty text, `~` or `null`, without quotes."""
        return self.plain and self.text in ("", "~", "null")

    def ambiguity(self, numbers: bool) -> str:
        """Return why a YAML reader might not read the scalar as text; empty if the scalar is unambiguous.

        `numbers` is whether a number is expected; a plain number is then unambiguous.
        """
        if not self.plain:
            return ""
        for pattern, reason in _AMBIGUITIES:
            if pattern.fullmatch(self.text):
                return reason
        return "is a number to YAML readers" if not numbers and _NUMBER.fullmatch(self.text) else ""


@dataclass(slots=True)
class Mapping:
    """Keys and values in the order of the file; keys are unique."""

    line: int
    items: dict[str, tuple[Scalar, Node]] = field(default_factory=dict)


@dataclass(slots=True)
class Sequence:
    """A sequence of nodes."""

    line: int
    items: list[Node] = field(default_factory=list)


Node = Scalar | Mapping | Sequence


class _CompositionError(Exception):
    """Raised when the rest of the text can't be composed; the reason has been reported."""


class _Composer:
    def __init__(self, events: Iterator[yaml.Event], report: ReportProblem) -> None:
        self._events, self._report = events, report

    def document(self) -> Node | None:
        """Compose the only document; None if the text has none."""
        for event in self._events:
            if isinstance(event, yaml.DocumentStartEvent):
                root = self._node(next(self._events), 0)
                for after in self._events:
                    if isinstance(after, yaml.DocumentStartEvent):
                        self._report(_line(after), "a second document begins", "one document a file")
                        raise _CompositionError
                return root
        return None

    def _node(self, event: yaml.Event, depth: int) -> Node:
        line = _line(event)
        if depth > MAX_DEPTH:
            self._report(line, f"is nested over {MAX_DEPTH} levels deep", "fewer levels")
            raise _CompositionError
        if isinstance(event, yaml.AliasEvent):
            self._report(line, "an alias (*) is not taken", _ALIAS_REMEDY)
            return Scalar("?", False, line)
        if getattr(event, "anchor", None) is not None:
            self._report(line, "an anchor (&) is not taken", _ALIAS_REMEDY)
        if (tag := getattr(event, "tag", None)) is not None:
            self._report(line, f"a tag ({tag}) is not taken", "plain values")
        if isinstance(event, yaml.MappingStartEvent):
            return self._mapping(line, depth)
        if isinstance(event, yaml.SequenceStartEvent):
            items = []
            while not isinstance(inner := next(self._events), yaml.SequenceEndEvent):
                items.append(self._node(inner, depth + 1))
            return Sequence(line, items)
        assert isinstance(event, yaml.ScalarEvent)
        # The C parser gives "" as the style of a plain scalar.
        return Scalar(event.value, not event.style, line)

    def _mapping(self, line: int, depth: int) -> Mapping:
        mapping = Mapping(line)
        while not isinstance(event := next(self._events), yaml.MappingEndEvent):
            key = self._node(event, depth + 1)
            value = self._node(next(self._events), depth + 1)
            if not isinstance(key, Scalar):
                self._report(key.line, "a key must be a scalar", "name: value")
            elif key.plain and key.text == "<<":
                self._report(key.line, "a merge (<<) is not taken", _VARS_REMEDY)
            elif key.text in mapping.items:
                first = mapping.items[key.text][0].line
                self._report(key.line, f"{key.text[:40]!r} stands twice, first in line {first}", "once")
            else:
                mapping.items[key.text] = key, value
        return mapping


def _line(event: yaml.Event) -> int:
    return event.start_mark.line + 1 if event.start_mark is not None else 1


def compose(text: str, report: ReportProblem) -> Node | None:
    """Compose a text; return its root node, or None if the text is empty or an error was reported."""
    # The C parser is optional, and gives the same events.
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        return _Composer(yaml.parse(text, Loader=loader), report).document()
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark is not None else 1
        report(line, f"cannot be read: {error.problem or error.context}", "")
    except (yaml.YAMLError, StopIteration) as error:
        report(1, f"cannot be read: {error}", "")
    except _CompositionError:
        pass
    return None
