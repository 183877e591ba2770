"""Generates inventories of many files, and plants defects whose lines it records."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from emberlatch.inventory import Vocabulary

VOCABULARY = Vocabulary(("east-wing", "west-wing"), ("wallet-operator", "rural-bank"))
COLUMNS = ("id", "address", "destination", "partner", "kind", "wing", "limit", "phase", "tags")


@dataclass
class Line:
    """The text of one endpoint; `extra` is appended to its cells."""

    cells: dict[str, str]
    extra: str = ""


@dataclass
class InventoryText:
    """Inventory files and their lines. Half of the files are CSV, half are YAML with one host per line."""

    files: dict[str, list[Line]] = field(default_factory=dict)

    def text(self, name: str) -> str:
        if name.endswith(".csv"):
            rows = [
                ",".join(line.cells.get(c, "") for c in COLUMNS) + line.extra for line in self.files[name]
            ]
            return "\n".join([",".join(COLUMNS), *rows]) + "\n"
        rows = ["all:", "  hosts:"]
        for line in self.files[name]:
            fields = [f"{k}: {v}" for k, v in line.cells.items() if k != "id" and v]
            rows.append(f"    {line.cells['id']}: {{{', '.join(fields)}{line.extra}}}")
        return "\n".join(rows) + "\n"

    def number(self, name: str, index: int) -> int:
        """Return the line number of a row."""
        return index + (2 if name.endswith(".csv") else 3)

    def copy(self) -> InventoryText:
        return InventoryText(
            {n: [replace(line, cells=dict(line.cells)) for line in b] for n, b in self.files.items()}
        )

    def texts(self) -> dict[str, str]:
        return {name: self.text(name) for name in self.files}


def generated_inventory(rows: int, files: int) -> InventoryText:
    """Generate a valid inventory; each partner has two endpoints per wing, distributed over all files."""
    made = InventoryText({f"f{n:02d}.{'csv' if n % 2 else 'yaml'}": [] for n in range(files)})
    names = list(made.files)
    for n in range(rows):
        partner = n // 4
        cells = {
            "id": f"ep-{n}",
            "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:5000",
            "destination": str(partner + 1) if partner % 3 else "",
            "partner": f"bank-{partner}x",
            "kind": VOCABULARY.kinds[partner % 2],
            "wing": VOCABULARY.wings[n % 2],
            "limit": str(partner % 7 + 1) if partner % 5 else "",
            "phase": "draining" if n % 97 == 0 else "",
            "tags": "north" if n % 11 == 0 else "",
        }
        made.files[names[n % files]].append(Line(cells))
    return made


@dataclass
class Planting:
    """Plants defects in rows of different partners."""

    text: InventoryText
    random: random.Random
    used: set[str] = field(default_factory=set)
    lines: set[tuple[str, int]] = field(default_factory=set)

    def row(self, ending: str = "") -> tuple[str, int]:
        """Choose a row of a partner that has no defect yet."""
        while True:
            name = self.random.choice([n for n in self.text.files if n.endswith(ending)])
            index = self.random.randrange(len(self.text.files[name]))
            partner = self.text.files[name][index].cells["partner"]
            if partner not in self.used:
                self.used.add(partner)
                return name, index

    def set(self, row: tuple[str, int], cells: dict[str, str]) -> None:
        name, index = row
        self.text.files[name][index].cells.update(cells)
        self.lines.add((name, self.text.number(name, index)))

    def twice(self, field_name: str) -> None:
        """Copy a value from one row to another; the later of the two rows must be reported."""
        (name, index), (other, at) = self.row(), self.row()
        value = self.text.files[other][at].cells[field_name]
        self.text.files[name][index].cells[field_name] = value
        here, there = (name, self.text.number(name, index)), (other, self.text.number(other, at))
        self.lines.add(max(here, there))

    def plant(self) -> None:
        """Plant one random defect."""
        self.random.choice(DEFECTS)(self)


def _cell(field_name: str, *values: str) -> Callable[[Planting], None]:
    def plant(planting: Planting) -> None:
        planting.set(planting.row(), {field_name: planting.random.choice(values)})

    return plant


def _spelt(planting: Planting) -> None:
    name, index = planting.row()
    partner = planting.text.files[name][index].cells["partner"]
    other = planting.random.choice([partner.upper(), partner.replace("-", "_")])
    planting.set((name, index), {"partner": other})


def _extra(ending: str, text: str) -> Callable[[Planting], None]:
    def plant(planting: Planting) -> None:
        name, index = planting.row(ending)
        planting.text.files[name][index].extra = text
        planting.lines.add((name, planting.text.number(name, index)))

    return plant


def _in(ending: str, field_name: str, value: str) -> Callable[[Planting], None]:
    def plant(planting: Planting) -> None:
        planting.set(planting.row(ending), {field_name: value})

    return plant


DEFECTS: list[Callable[[Planting], None]] = [
    _cell("wing", "north-wing", "East-wing", "east wing"),
    _cell("kind", "bank", "rural_bank"),
    _cell("address", "10.0.0.1", "10.0.0.300:80", "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:x", ""),
    _cell("limit", "1e3", "0", "010", "ten", "0x10"),
    _cell("destination", "007", "1234567890123"),
    _cell("phase", "up", "drained"),
    _cell("tags", "x" * 300, "a/b"),
    _cell("partner", "a\x00b", "9lives"),
    lambda planting: planting.twice("id"),
    lambda planting: planting.twice("address"),
    _spelt,
    _extra(".csv", ",surplus"),
    _extra(".yaml", ", colour: red"),
    _extra(".yaml", ", <<: {wing: east-wing}"),
    _in(".csv", "partner", "=A1"),
    _in(".csv", "id", ""),
    _in(".yaml", "partner", "no"),
    _in(".yaml", "partner", "&a x"),
    _in(".yaml", "address", "12:30"),
]
