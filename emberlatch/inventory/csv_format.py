"""Parses inventory files in CSV (RFC 4180): a header with the fields, then one endpoint per line."""

from __future__ import annotations

import csv
import io
import re

from emberlatch.inventory.fields import FieldError, field_named, parse, parse_id
from emberlatch.inventory.model import Vocabulary
from emberlatch.inventory.parsed_file import INVALID, FieldValues, ParsedFile, ParsedFileBuilder, Row

_FORMULA = re.compile(r"[=+@\t\r-]")
_GROUP = "group"
"""The column that names the YAML group from which a row inherits; it is not a field of an endpoint."""


def parse_csv(text: str, file: str, vocabulary: Vocabulary) -> ParsedFile:
    """Parse a file's text. The delimiter is comma or semicolon, whichever is more frequent in the header."""
    builder = ParsedFileBuilder(file)
    header = text.partition("\n")[0]
    delimiter = ";" if header.count(";") > header.count(",") else ","
    records = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    columns: list[str | None] | None = None
    next_line = 1
    try:
        for cells in records:
            line, next_line = next_line, records.line_num + 1
            if not any(cell.strip() for cell in cells):
                continue  # a blank line, or a row of empty cells at the end of a spreadsheet
            if columns is None:
                columns = _parse_header(builder, line, cells)
            elif len(cells) != len(columns):
                remedy = f"{len(columns)}, as in the header" + _quoting_hint(delimiter, cells, columns)
                builder.add_problem(line, "", f"has {len(cells)} cells", remedy)
            else:
                builder.parsed.rows.append(_parse_row(builder, line, columns, cells, vocabulary))
    except csv.Error as error:
        fault = f"cannot be read: {error}"
        builder.add_problem(next_line, "", fault, "quotes in pairs, one record after another")
    if columns is None and not builder.parsed.problems:
        builder.add_problem(1, "", "is empty", "a header line with the names of the columns")
    return builder.parsed


def _quoting_hint(delimiter: str, cells: list[str], columns: list[str | None]) -> str:
    return f" (a cell that holds {delimiter!r} stands in quotes)" if len(cells) > len(columns) else ""


def _parse_header(builder: ParsedFileBuilder, line: int, cells: list[str]) -> list[str | None]:
    """Return the field of each column, None for an unknown column; report problems of the header."""
    columns: list[str | None] = []
    for cell in cells:
        field: str | None
        try:
            field = _GROUP if cell.strip() == _GROUP else field_named(cell)
        except FieldError as error:
            builder.add_problem(line, "", f"column {error.fault}", error.remedy)
            field = None
        if field in columns and field is not None:
            builder.add_problem(line, field, "stands in two columns", "one column for each field")
        columns.append(field)
    if "id" not in columns:
        remedy = "a header line with id, address, partner, kind, wing, ..."
        builder.add_problem(line, "id", "has no column", remedy)
    return columns


def _parse_row(
    builder: ParsedFileBuilder, line: int, columns: list[str | None], cells: list[str], vocabulary: Vocabulary
) -> Row:
    row = Row(builder.file, line, {})
    values: FieldValues = row.values
    for field, cell in zip(columns, cells, strict=True):
        if field is None or not cell.strip():
            continue
        try:
            if _FORMULA.match(cell):
                raise FieldError(f"{cell[:40]!r} is a spreadsheet formula", "the value itself")
            if field == _GROUP:
                row.group = parse_id(cell)
            else:
                values[field] = parse(field, cell, vocabulary)
        except FieldError as error:
            values[field] = INVALID
            builder.add_problem(line, field, error.fault, error.remedy)
    if _GROUP in values:
        # The group is invalid. Fields that it might have set must not be reported as missing.
        values |= dict.fromkeys((name for name in columns if name and name not in values), INVALID)
    return row
