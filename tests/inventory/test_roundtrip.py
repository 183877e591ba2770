"""Conversions between CSV and YAML keep the inventory; a diff lists exactly the changed endpoints."""

from __future__ import annotations

import json
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from emberlatch.inventory import Endpoint, Inventory, assemble, cells, diff, parse, to_csv, to_yaml
from emberlatch.inventory.model import destination_number
from tests.inventory.generated import VOCABULARY, generated_inventory

NAMES = st.from_regex(r"[A-Za-z][A-Za-z0-9 ._-]{0,20}[A-Za-z0-9]", fullmatch=True) | st.sampled_from(
    ["no", "on", "null", "e1", "yes", "x1e3", "True", "y"]
)
IDS = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True) | st.sampled_from(
    ["007", "1e3", "no", "0x1F", "12", "2026-12-01", "null"]
)


@st.composite
def inventories(draw: st.DrawFn) -> Inventory:
    endpoints: list[Endpoint] = []
    folded: set[str] = set()
    ids: set[str] = set()
    for number, partner in enumerate(draw(st.lists(NAMES, min_size=1, max_size=6))):
        plain = "".join(c for c in partner.casefold() if c not in " ._-")
        if plain in folded:
            continue
        folded.add(plain)
        destination = number if draw(st.booleans()) else destination_number(partner)
        for name in draw(st.lists(IDS, min_size=1, max_size=3)):
            if name in ids:
                continue
            ids.add(name)
            n = len(ids)
            host = draw(st.sampled_from([f"10.0.0.{n}", f"fd00::{n}", f"host-{n}.example"]))
            limit = draw(st.just(0.0) | st.integers(1, 10**9).map(lambda x: x / 1000))
            endpoints.append(
                Endpoint(
                    name,
                    (host, draw(st.integers(1, 65535))),
                    partner,
                    destination,
                    draw(st.sampled_from(VOCABULARY.kinds)),
                    draw(st.sampled_from(VOCABULARY.wings)),
                    limit=limit,
                    draining=draw(st.booleans()),
                    tags=tuple(sorted(draw(st.sets(IDS, max_size=2)))),
                )
            )
    return Inventory(endpoints)


def read(text: str, name: str) -> Inventory:
    return assemble([parse(text.encode(), name, VOCABULARY)])


@settings(max_examples=150, deadline=None, derandomize=True)
@given(inventories())
def test_conversion_from_csv_to_yaml_to_csv_keeps_the_inventory(inventory: Inventory) -> None:
    if not len(inventory):
        return
    first = read(to_csv(inventory), "a.csv")
    assert first == inventory
    second = read(to_yaml(first), "a.yaml")
    assert second == inventory
    assert to_csv(second) == to_csv(inventory)
    assert not diff(inventory, second)


def test_reordered_rows_give_an_equal_inventory() -> None:
    old = generated_inventory(200, 4)
    new = generated_inventory(200, 4)
    for lines in new.files.values():
        random.Random(3).shuffle(lines)
    first, second = (
        assemble(parse(text.encode(), name, VOCABULARY) for name, text in made.texts().items())
        for made in (old, new)
    )
    assert first == second and not diff(first, second)


def endpoint(**changes: object) -> Endpoint:
    values: dict[str, object] = {
        "id": "a1",
        "address": ("10.0.0.1", 80),
        "partner": "momo",
        "destination": 7,
        "kind": "rural-bank",
        "wing": "east-wing",
    }
    return Endpoint(**(values | changes))  # type: ignore[arg-type]


def test_each_changed_endpoint_is_reported() -> None:
    old = Inventory([endpoint(), endpoint(id="a2"), endpoint(id="a3"), endpoint(id="a4"), endpoint(id="a5")])
    new = Inventory(
        [
            endpoint(address=("10.0.0.9", 80)),
            endpoint(id="a2", draining=True),
            endpoint(id="a3", limit=5.0, tags=("x",)),
            endpoint(id="a4", wing="west-wing"),
            endpoint(id="a6"),
        ]
    )
    assert [str(change) for change in diff(old, new)] == [
        "~ a1 (momo): moves from 10.0.0.1:80 to 10.0.0.9:80",
        "~ a2 (momo): drains",
        "~ a3 (momo): limit none -> 5.0, tags none -> x",
        "- a4 (momo): removed from east-wing",
        "+ a4 (momo): added in west-wing at 10.0.0.1:80, cold",
        "- a5 (momo): removed from east-wing",
        "+ a6 (momo): added in east-wing at 10.0.0.1:80, cold",
    ]
    assert not diff(new, new)
    assert json.dumps([cells(e) for e in new.endpoints.values()])
