"""YAML as configuration tools keep inventories: groups with vars, hosts and children, and partners."""

from __future__ import annotations

import difflib

from emberlatch.inventory.fields import FieldError, field_named, parse
from emberlatch.inventory.model import Vocabulary
from emberlatch.inventory.parsed import BAD, Defaults, Parsed, Row, Source, Values
from emberlatch.inventory.yamltree import Mapping, Node, Scalar, Sequence, compose

ROOT = "all"
"""The group that every endpoint is in."""

_PARTS = ("vars", "hosts", "children")
_NUMBERS = ("limit", "destination")
_NOT_OF_PARTNERS = ("id", "address", "partner", "wing", "phase")


def parse_yaml(text: str, file: str, words: Vocabulary) -> Parsed:
    """Read the text of a file."""
    reader = _Reader(file, words)
    reader.read(text)
    return reader.source.parsed


class _Reader:
    def __init__(self, file: str, words: Vocabulary) -> None:
        self.source, self._words = Source(file), words

    def read(self, text: str) -> None:
        root = compose(text, lambda line, wrong, right: self.source.problem(line, "", wrong, right))
        if root is None and not self.source.parsed.problems:
            self.source.problem(1, "", "is empty", "groups with hosts, like all: {hosts: {...}}")
        for key, value in self._mapping(root, "the file") if root is not None else ():
            if key.text == "partners":
                self._partners(value)
            else:
                self._group(key, value, None)

    def _mapping(self, node: Node, what: str) -> list[tuple[Scalar, Node]]:
        """The items of a mapping; an empty value is an empty mapping."""
        if isinstance(node, Mapping):
            return list(node.items.values())
        if not (isinstance(node, Scalar) and node.empty):
            self.source.problem(node.line, "", f"{what} must be a mapping", "name: value")
        return []

    def _group(self, key: Scalar, node: Node, parent: str | None) -> None:
        name = self._name(key, "group")
        if name is None:
            return
        group = Defaults(name, self.source.file, key.line, parent=parent)
        self.source.parsed.groups.append(group)
        for part, value in self._mapping(node, f"group {name!r}"):
            if part.text == "vars":
                group.values, group.lines = self._values(value, "vars", ("id", "address"))
            elif part.text == "hosts":
                for host, fields in self._mapping(value, "hosts"):
                    self._host(host, fields, name)
            elif part.text == "children":
                for child, body in self._mapping(value, "children"):
                    self._group(child, body, name)
            else:
                close = difflib.get_close_matches(part.text, _PARTS, 1, 0.5)
                right = f"did you mean {close[0]!r}?" if close else f"one of {', '.join(_PARTS)}"
                self.source.problem(part.line, "", f"{part.text[:40]!r} is no part of a group", right)

    def _host(self, key: Scalar, node: Node, group: str) -> None:
        name = self._name(key, "id")
        values, lines = self._values(node, f"host {key.text[:40]!r}", ("id",))
        values["id"] = name if name is not None else BAD
        self.source.parsed.rows.append(Row(self.source.file, key.line, values, group, lines))

    def _partners(self, node: Node) -> None:
        for key, fields in self._mapping(node, "partners"):
            name = self._value("partner", key)
            values, lines = self._values(fields, "a partner", _NOT_OF_PARTNERS)
            if isinstance(name, str):
                partner = Defaults(name, self.source.file, key.line, values, lines)
                self.source.parsed.partners.append(partner)

    def _values(self, node: Node, what: str, forbidden: tuple[str, ...]) -> tuple[Values, dict[str, int]]:
        values: Values = {}
        lines: dict[str, int] = {}
        for key, value in self._mapping(node, what):
            try:
                field = field_named(key.text)
            except FieldError as error:
                self.source.problem(key.line, "", error.wrong, error.right)
                continue
            if field in forbidden:
                self.source.problem(key.line, field, "cannot stand here", "give it with the endpoint itself")
            elif field in values:
                self.source.problem(key.line, field, "stands twice under two names", "one of them")
            else:
                values[field], lines[field] = self._value(field, value), key.line
        return values, lines

    def _value(self, field: str, node: Node) -> object:
        """The value of a node, or BAD and a problem."""
        try:
            if isinstance(node, Sequence) and field == "tags":
                texts = [self._text(field, item) for item in node.items]
                return parse(field, " ".join(texts), self._words)
            return parse(field, self._text(field, node), self._words)
        except FieldError as error:
            self.source.problem(node.line, field, error.wrong, error.right)
            return BAD

    def _text(self, field: str, node: Node) -> str:
        if not isinstance(node, Scalar):
            raise FieldError("must be one value", "field: value")
        trap = node.trap(numbers=field in _NUMBERS)
        if trap:
            raise FieldError(f"{node.text[:40]!r} {trap}", "in quotes, or a plain number where one is meant")
        if not node.text.strip():
            raise FieldError("is empty", "a value, or leave the key out")
        return node.text

    def _name(self, key: Scalar, field: str) -> str | None:
        try:
            name = parse("id", self._text("id", key), self._words)
        except FieldError as error:
            self.source.problem(key.line, field, error.wrong, error.right)
            return None
        return str(name)
