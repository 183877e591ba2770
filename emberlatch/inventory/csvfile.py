"""CSV as spreadsheets save it (RFC 4180): a header line, then one endpoint a line."""

from __future__ import annotations

import csv
import io
import re

from emberlatch.inventory.fields import FieldError, field_named, parse
from emberlatch.inventory.model import Vocabulary
from emberlatch.inventory.parsed import BAD, Parsed, Row, Source, Values

_FORMULA = re.compile(r"[=+@\t\r-]")


def parse_csv(text: str, file: str, words: Vocabulary) -> Parsed:
    """Read the text of a file; comma or semicolon, whichever the header has more of."""
    source = Source(file)
    head = text.partition("\n")[0]
    delimiter = ";" if head.count(";") > head.count(",") else ","
    lines = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    columns: list[str | None] | None = None
    begun = 1
    try:
        for cells in lines:
            line, begun = begun, lines.line_num + 1
            if not any(cell.strip() for cell in cells):
                continue  # a blank line, or the empty cells that spreadsheets leave at the end
            if columns is None:
                columns = _header(source, line, cells)
            elif len(cells) != len(columns):
                right = f"{len(columns)}, as in the header" + _quoting(delimiter, cells, columns)
                source.problem(line, "", f"has {len(cells)} cells", right)
            else:
                source.parsed.rows.append(_row(source, line, columns, cells, words))
    except csv.Error as error:
        source.problem(begun, "", f"cannot be read: {error}", "quotes in pairs, one record after another")
    if columns is None and not source.parsed.problems:
        source.problem(1, "", "is empty", "a header line with the names of the columns")
    return source.parsed


def _quoting(delimiter: str, cells: list[str], columns: list[str | None]) -> str:
    return f" (a cell that holds {delimiter!r} stands in quotes)" if len(cells) > len(columns) else ""


def _header(source: Source, line: int, cells: list[str]) -> list[str | None]:
    """The field of each column; None for one that is not known."""
    columns: list[str | None] = []
    for cell in cells:
        try:
            field = "group" if cell.strip() == "group" else field_named(cell)
        except FieldError as error:
            source.problem(line, "", f"column {error.wrong}", error.right)
            field = None
        if field in columns and field is not None:
            source.problem(line, field, "stands in two columns", "one column for each field")
        columns.append(field)
    if "id" not in columns:
        source.problem(
            line, "id", "has no column", "a header line with id, address, partner, kind, wing, ..."
        )
    return columns


def _row(source: Source, line: int, columns: list[str | None], cells: list[str], words: Vocabulary) -> Row:
    row = Row(source.file, line, {})
    values: Values = row.values
    for field, cell in zip(columns, cells, strict=True):
        if field is None or not cell.strip():
            continue
        try:
            if _FORMULA.match(cell):
                raise FieldError(f"{cell[:40]!r} is a spreadsheet formula", "the value itself")
            if field == "group":
                row.group = parse("id", cell, words)
            else:
                values[field] = parse(field, cell, words)
        except FieldError as error:
            values[field] = BAD
            source.problem(line, field, error.wrong, error.right)
    if "group" in values:  # not known which one: what it would give can't be missed
        values |= {name: BAD for name in columns if name and name not in values}
    return row
