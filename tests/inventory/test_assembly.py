"""Thousands of valid rows are loaded exactly, and exactly the lines of planted defects are reported."""

from __future__ import annotations

import random
from functools import cache

import pytest

from emberlatch.inventory import Inventory, RefusedError, assemble, parse
from emberlatch.inventory.parsed_file import ParsedFile
from tests.inventory.generated import VOCABULARY, InventoryText, Planting, generated_inventory

ROWS, FILES, VARIANTS, CHUNKS = 5000, 40, 200, 20


def parsed(text: str, name: str) -> ParsedFile:
    return parse(text.encode(), name, VOCABULARY)


@cache
def valid_inventory() -> tuple[InventoryText, dict[str, str], dict[str, ParsedFile], Inventory]:
    made = generated_inventory(ROWS, FILES)
    texts = made.texts()
    files = {name: parsed(text, name) for name, text in texts.items()}
    return made, texts, files, assemble(files.values())


def test_five_thousand_rows_over_forty_files_load_in_any_order() -> None:
    _, _, files, inventory = valid_inventory()
    assert len(inventory) == ROWS
    names = list(files)
    random.Random(1).shuffle(names)
    again = assemble(files[name] for name in names)
    assert again == inventory and again.digest == inventory.digest
    first = inventory.endpoints[b"ep-8@east-wing/3"]
    assert (first.address, first.partner, first.limit) == (("10.0.0.8", 5000), "bank-2x", 3.0)


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_an_inventory_with_defects_is_rejected_with_exactly_their_lines(chunk: int) -> None:
    made, texts, files, inventory = valid_inventory()
    for variant in range(chunk, VARIANTS, CHUNKS):
        planting = Planting(made.copy(), random.Random(variant))
        for _ in range(1 + variant % 5):
            planting.plant()
        now = {name: planting.text.text(name) for name in files}
        changed = {name: parsed(text, name) for name, text in now.items() if text != texts[name]}
        with pytest.raises(RefusedError) as refused:
            assemble((files | changed).values())
        named = {(problem.location.file, problem.location.line) for problem in refused.value.problems}
        assert named == planting.lines, f"variant {variant}: {[*map(str, refused.value.problems)]}"
        assert all(problem.fault for problem in refused.value.problems)
    assert len(inventory) == ROWS


@pytest.mark.parametrize(
    "change",
    [
        lambda text: "\ufeff" + text,
        lambda text: text.replace("\n", "\r\n"),
        lambda text: text.replace(",", ";"),
        lambda text: text.rstrip("\n"),
        lambda text: text + "\n\n,,,,,,,,\n",
        lambda text: "\n".join([text.split("\n")[0], *reversed(text.split("\n")[1:])]),
        lambda text: text.replace("rural-bank", '"rural-bank"'),
    ],
)
def test_a_file_saved_by_a_spreadsheet_gives_an_equal_inventory(change: object) -> None:
    _, texts, files, inventory = valid_inventory()
    assert callable(change)
    again = {name: parsed(change(texts[name]), name) for name in files if name.endswith(".csv")}
    assert assemble((files | again).values()) == inventory
