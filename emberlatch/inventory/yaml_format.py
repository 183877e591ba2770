"""Parses inventory files in YAML, structured like those of Ansible: groups with vars, hosts and children."""

from __future__ import annotations

import difflib

from emberlatch.inventory.fields import FieldError, field_named, parse, parse_id
from emberlatch.inventory.model import Vocabulary
from emberlatch.inventory.parsed_file import (
    INVALID,
    Defaults,
    FieldValue,
    FieldValues,
    ParsedFile,
    ParsedFileBuilder,
    Row,
)
from emberlatch.inventory.yaml_nodes import Mapping, Node, Scalar, Sequence, compose

ROOT_GROUP = "all"
"""The group that contains every endpoint."""

_PARTNERS = "partners"
_GROUP_KEYS = ("vars", "hosts", "children")
_NUMBERS = ("limit", "destination")
_NOT_IN_VARS = ("id", "address")
_NOT_IN_HOSTS = ("id",)
_NOT_IN_PARTNERS = ("id", "address", "partner", "wing", "phase")


def parse_yaml(text: str, file: str, vocabulary: Vocabulary) -> ParsedFile:
    """Parse a file's text."""
    parser = _Parser(file, vocabulary)
    parser.parse(text)
    return parser.builder.parsed


class _Parser:
    def __init__(self, file: str, vocabulary: Vocabulary) -> None:
        self.builder, self._vocabulary = ParsedFileBuilder(file), vocabulary

    def parse(self, text: str) -> None:
        root = compose(text, lambda line, fault, remedy: self.builder.add_problem(line, "", fault, remedy))
        if root is None and not self.builder.parsed.problems:
            self.builder.add_problem(1, "", "is empty", "groups with hosts, like all: {hosts: {...}}")
        for key, value in self._items(root, "the file") if root is not None else ():
            if key.text == _PARTNERS:
                self._partners(value)
            else:
                self._group(key, value, None)

    def _items(self, node: Node, what: str) -> list[tuple[Scalar, Node]]:
        """Return the items of a mapping, or none for an empty value; report any other node."""
        if isinstance(node, Mapping):
            return list(node.items.values())
        if not (isinstance(node, Scalar) and node.empty):
            self.builder.add_problem(node.line, "", f"{what} must be a mapping", "name: value")
        return []

    def _group(self, key: Scalar, node: Node, parent: str | None) -> None:
        name = self._name(key, "group")
        if name is None:
            return
        group = Defaults(name, self.builder.file, key.line, parent=parent)
        self.builder.parsed.groups.append(group)
        for item, value in self._items(node, f"group {name!r}"):
            match item.text:
                case "vars":
                    group.values, group.lines = self._values(value, "vars", _NOT_IN_VARS)
                case "hosts":
                    for host, fields in self._items(value, "hosts"):
                        self._host(host, fields, name)
                case "children":
                    for child, body in self._items(value, "children"):
                        self._group(child, body, name)
                case _:
                    self._unknown_group_key(item)

    def _unknown_group_key(self, key: Scalar) -> None:
        close = difflib.get_close_matches(key.text, _GROUP_KEYS, 1, 0.5)
        remedy = f"did you mean {close[0]!r}?" if close else f"one of {', '.join(_GROUP_KEYS)}"
        self.builder.add_problem(key.line, "", f"{key.text[:40]!r} is no part of a group", remedy)

    def _host(self, key: Scalar, node: Node, group: str) -> None:
        name = self._name(key, "id")
        values, lines = self._values(node, f"host {key.text[:40]!r}", _NOT_IN_HOSTS)
        values["id"] = name if name is not None else INVALID
        self.builder.parsed.rows.append(Row(self.builder.file, key.line, values, group, lines))

    def _partners(self, node: Node) -> None:
        for key, fields in self._items(node, _PARTNERS):
            name = self._value("partner", key)
            values, lines = self._values(fields, "a partner", _NOT_IN_PARTNERS)
            if isinstance(name, str):
                partner = Defaults(name, self.builder.file, key.line, values, lines)
                self.builder.parsed.partners.append(partner)

    def _values(
        self, node: Node, what: str, forbidden: tuple[str, ...]
    ) -> tuple[FieldValues, dict[str, int]]:
        """Return the values of a mapping by field, and the line of each field."""
        values: FieldValues = {}
        lines: dict[str, int] = {}
        for key, value in self._items(node, what):
            try:
                field = field_named(key.text)
            except FieldError as error:
                self.builder.add_problem(key.line, "", error.fault, error.remedy)
                continue
            if field in forbidden:
                remedy = "give it with the endpoint itself"
                self.builder.add_problem(key.line, field, "cannot stand here", remedy)
            elif field in values:
                self.builder.add_problem(key.line, field, "stands twice under two names", "one of them")
            else:
                values[field], lines[field] = self._value(field, value), key.line
        return values, lines

    def _value(self, field: str, node: Node) -> FieldValue:
        """Return the value of a node. If the value is invalid, report it and return INVALID."""
        try:
            if isinstance(node, Sequence) and field == "tags":
                texts = [self._text(field, item) for item in node.items]
                return parse(field, " ".join(texts), self._vocabulary)
            return parse(field, self._text(field, node), self._vocabulary)
        except FieldError as error:
            self.builder.add_problem(node.line, field, error.fault, error.remedy)
            return INVALID

    def _text(self, field: str, node: Node) -> str:
        if not isinstance(node, Scalar):
            raise FieldError("must be one value", "field: value")
        ambiguity = node.ambiguity(numbers=field in _NUMBERS)
        if ambiguity:
            fault = f"{node.text[:40]!r} {ambiguity}"
            raise FieldError(fault, "in quotes, or a plain number where one is meant")
        if not node.text.strip():
            raise FieldError("is empty", "a value, or leave the key out")
        return node.text

    def _name(self, key: Scalar, field: str) -> str | None:
        try:
            return parse_id(self._text("id", key))
        except FieldError as error:
            self.builder.add_problem(key.line, field, error.fault, error.remedy)
            return None
