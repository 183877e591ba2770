"""The contents of one CSV or YAML file, and how each problem in it is reported."""

from __future__ import annotations

import pytest

from emberlatch.inventory import Endpoint, Inventory, RefusedError, assemble, parse
from tests.inventory.generated import VOCABULARY

GOOD = """\
partners:
  momo: {destination: 7, kind: wallet-operator}
all:
  vars: {wing: east-wing}
  children:
    banks:
      vars:
        kind: rural-bank
        limit: 2.5
      hosts:
        a1: {address: "10.0.0.1:5000", partner: abokobi, tags: [north, small]}
        a2: {address: "10.0.0.2:5000", partner: abokobi, wing: west-wing, limit: 4}
operators:
  hosts:
    m1:
      address: "[fd00::1]:5000"
      destination: momo
      phase: draining
"""


def inventory(*files: tuple[str, str]) -> Inventory:
    return assemble(parse(text.encode(), name, VOCABULARY) for name, text in files)


def problems(*files: tuple[str, str]) -> list[str]:
    with pytest.raises(RefusedError) as refused:
        inventory(*files)
    return [str(problem) for problem in refused.value.problems]


def csv(*rows: str, columns: str = "id,address,partner,kind,wing") -> tuple[str, str]:
    return "a.csv", "\n".join([columns, *rows]) + "\n"


ROW = "a1,10.0.0.1:5000,abokobi,rural-bank,east-wing"


def test_hosts_inherit_from_their_groups() -> None:
    found = {e.id: e for e in inventory(("a.yaml", GOOD)).endpoints.values()}
    number = found["a1"].destination
    assert found["a1"] == Endpoint(
        "a1",
        ("10.0.0.1", 5000),
        "abokobi",
        number,
        "rural-bank",
        "east-wing",
        limit=2.5,
        tags=("north", "small"),
    )
    assert (found["a2"].wing, found["a2"].limit, found["a2"].destination) == ("west-wing", 4.0, number)
    assert number >= 10**9  # the number is derived from the name, so it is equal in every process
    assert found["m1"] == Endpoint(
        "m1", ("fd00::1", 5000), "momo", 7, "wallet-operator", "east-wing", draining=True
    )


def test_a_csv_row_may_name_a_yaml_group() -> None:
    text = "id;address;partner;group\nc1;10.0.0.9:80;coast;banks\n"
    found = inventory(("a.csv", text), ("b.yaml", GOOD))
    (endpoint,) = [e for e in found.endpoints.values() if e.id == "c1"]
    assert (endpoint.kind, endpoint.limit, endpoint.wing) == ("rural-bank", 2.5, "east-wing")


def test_a_partner_may_be_named_by_its_number_alone() -> None:
    files = csv("a1,10.0.0.1:80,7,,rural-bank,east-wing", "a2,10.0.0.2:80,7,momo,rural-bank,east-wing",
                "a3,10.0.0.3:80,9,,rural-bank,east-wing", columns="id,address,destination,partner,kind,wing")  # fmt: skip
    assert {e.id: e.partner for e in inventory(files).endpoints.values()} == {
        "a1": "momo", "a2": "momo", "a3": "dest-9",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("file", "expected"),
    [
        (csv("a1,10.0.0.1:5000,abokobi,rural-bank,eastwing"), "a.csv:2: wing: 'eastwing' is not known; did you mean 'east-wing'?"),
        (csv("a1,10.0.0.1,abokobi,rural-bank,east-wing"), "a.csv:2: address: '10.0.0.1' has no port; host:port, like 10.1.0.18:5000"),
        (csv(ROW, ",10.0.0.2:1,abokobi,rural-bank,east-wing"), "a.csv:3: id: is missing; a name that no other endpoint has"),
        (csv(ROW[:-10]), "a.csv:2: has 4 cells; 5, as in the header"),
        (csv(ROW + ",more"), "a.csv:2: has 6 cells; 5, as in the header (a cell that holds ',' stands in quotes)"),
        (csv(ROW, columns="id,adress,partner,kind,wing"), "a.csv:1: column 'adress' is not known; did you mean 'address'?"),
        (csv('a1,"10.0.0.1:5000,abokobi'), "a.csv:2: cannot be read: unexpected end of data; quotes in pairs, one record after another"),
        (csv("=a1,10.0.0.1:5000,abokobi,rural-bank,east-wing"), "a.csv:2: id: '=a1' is a spreadsheet formula; the value itself"),
        (csv(ROW.replace("rural-bank", "rural\0bank")), "a.csv:2: holds the control character '\\x00'; plain text, saved as UTF-8"),
        (csv(ROW + "x", "a2,10.0.0.2:80,b,rural-bank,east-wing,"), "a.csv:3: has 6 cells; 5, as in the header (a cell that holds ',' stands in quotes)"),
        (("a.csv", ""), "a.csv:1: is empty; a header line with the names of the columns"),
        (("a.yaml", ""), "a.yaml:1: is empty; groups with hosts, like all: {hosts: {...}}"),
        (("a.yaml", "all: [a\n"), "a.yaml:2: cannot be read: did not find expected ',' or ']'"),
        (("a.txt", "x"), "a.txt:1: is neither CSV nor YAML by its name; one of .csv, .yaml, .yml"),
    ],
)  # fmt: skip
def test_an_invalid_file_is_reported_by_line_and_field(file: tuple[str, str], expected: str) -> None:
    assert expected in problems(file)


@pytest.mark.parametrize(
    ("value", "why"),
    [
        ("no", "is a boolean"),
        ("on", "is a boolean"),
        ("Yes", "is a boolean"),
        ("~", "is null"),
        ("1e3", "is a float"),
        ("010", "is octal"),
        ("0x1F", "is octal, hexadecimal"),
        ("12:30", "is a number in base 60"),
        ("2026-12-01", "is a date"),
        ("123", "is a number"),
    ],
)
def test_ambiguous_yaml_scalars_need_quotes(value: str, why: str) -> None:
    host = '{address: "10.0.0.1:80", kind: rural-bank, wing: east-wing, partner: %s}'
    (reported,) = problems(("a.yaml", f"all:\n  hosts:\n    a1: {host % value}\n"))
    assert reported.startswith(f"a.yaml:3: partner: {value!r} {why}")
    if value[0].isalpha():
        assert len(inventory(("a.yaml", f"all:\n  hosts:\n    a1: {host % repr(value)}\n"))) == 1


@pytest.mark.parametrize(
    ("text", "line", "wrong"),
    [
        ("all: {hosts: {a: &x {}, b: *x}}", 1, "an alias (*) is not taken"),
        ("all: {hosts: {a: &x {}}}", 1, "an anchor (&) is not taken"),
        ("all:\n  vars: {<<: {wing: east-wing}}", 2, "a merge (<<) is not taken"),
        ("all:\n  vars: !!str x", 2, "a tag (tag:yaml.org,2002:str) is not taken"),
        ("all: {}\nall: {}", 2, "'all' stands twice, first in line 1"),
        ("all: {}\n---\nall: {}", 2, "a second document begins"),
        ("all:\n  host: {}", 2, "'host' is no part of a group"),
        ("all:\n  vars: {adress: x}", 2, "'adress' is not known"),
        ("all:\n  vars: {id: x}", 2, "cannot stand here"),
        ("all:\n  vars: {limit: 3,\n    capacity: 4}", 3, "stands twice under two names"),
        ("- a", 1, "the file must be a mapping"),
        ("all:\n  hosts: [a]", 2, "hosts must be a mapping"),
        ("? [a]\n: b", 1, "a key must be a scalar"),
        ("all: " + "{a: " * 40 + "}" * 40, 1, "is nested over 32 levels deep"),
        ("all:\n  hosts:\n    a1: {kind: [x]}", 3, "must be one value"),
        ("all:\n  hosts:\n    a1: {kind: ''}", 3, "is empty"),
        ("partners: {momo: {address: x}}", 1, "cannot stand here"),
    ],
)
def test_ambiguous_yaml_is_rejected(text: str, line: int, wrong: str) -> None:
    assert any(
        reported.startswith(f"a.yaml:{line}: ") and wrong in reported
        for reported in problems(("a.yaml", text))
    )


def test_exponentially_nested_aliases_are_reported_without_expansion() -> None:
    lines = ["a0: &a0 {x: y}"] + [f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 9)}]" for n in range(1, 30)]
    reported = problems(("a.yaml", "\n".join(lines)))
    assert any("alias" in line for line in reported)


def test_all_problems_are_reported_in_one_pass() -> None:
    bad = csv("a1,10.0.0.1,abokobi,bank,east", "a2,10.0.0.2:80,abokobi,rural-bank,east-wing",
              "a2,10.0.0.2:80,Abokobi,rural-bank,west-wing")  # fmt: skip
    assert [line.split("; ")[0] for line in problems(bad, ("b.yaml", "all:\n  hosts:\n    b1: {}\n"))] == [
        "a.csv:2: address: '10.0.0.1' has no port",
        "a.csv:2: kind: 'bank' is not known",
        "a.csv:2: wing: 'east' is not known",
        "a.csv:4: address: 10.0.0.2:80 in west-wing conflicts with east-wing in a.csv:3",
        "a.csv:4: id: 'a2' in west-wing conflicts with east-wing in a.csv:3",
        "a.csv:4: partner: 'Abokobi' is spelt 'abokobi'",
        "b.yaml:3: address: is missing",
        "b.yaml:3: kind: is missing",
        "b.yaml:3: partner: is missing",
        "b.yaml:3: wing: is missing",
    ]


WEST = (
    'all:\n  hosts:\n    a1: {address: "10.0.0.2:80", partner: abokobi, kind: rural-bank, wing: west-wing}\n'
)


def test_the_same_endpoint_in_two_wings_is_a_conflict_in_one_file_and_over_two() -> None:
    other = "a1,10.0.0.2:80,abokobi,rural-bank,west-wing"
    expected = "id: 'a1' in west-wing conflicts with east-wing in a.csv:2; one wing for one endpoint"
    assert problems(csv(ROW, other)) == [f"a.csv:3: {expected}"]
    assert problems(csv(ROW), ("b.yaml", WEST)) == [f"b.yaml:3: {expected}"]
    assert problems(("b.yaml", WEST), csv(ROW)) == [f"b.yaml:3: {expected}"]
    assert problems(csv(ROW, ROW.replace(".1:", ".2:"))) == [
        "a.csv:3: id: 'a1' is a duplicate; once; it stands in a.csv:2"
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("partners: {momo: {destination: 7}}\n" + WEST, "b.yaml:1: partner: 'momo' has no endpoint"),
        ("a: {vars: {limit: 3}}\nb: {children: {a: {vars: {limit: 4}}}}\n" + WEST, "b.yaml:2: limit: 4.0 for group 'a' is 3.0 in b.yaml:1"),
        ("a: {children: {c: {}}}\nb: {children: {c: {}}}\n" + WEST, "b.yaml:2: group 'c' is in 'b', and in 'a' in b.yaml:1"),
        ("a: {children: {c: {}}}\nc: {children: {a: {}}}\n" + WEST, "b.yaml:2: group 'a' is inside itself"),
    ],
)  # fmt: skip
def test_conflicts_of_groups_and_partners_are_reported(text: str, expected: str) -> None:
    assert any(line.startswith(expected) for line in problems(("b.yaml", text)))


def test_an_unknown_group_is_reported_once() -> None:
    assert problems(("a.csv", "id,address,group\nc1,10.0.0.9:80,bank\n"), ("b.yaml", GOOD)) == [
        "a.csv:2: group: 'bank' is not defined; a group of a YAML file"
    ]


def test_a_number_with_two_partners_or_a_partner_with_two_numbers_is_reported() -> None:
    columns = "id,address,destination,partner,kind,wing"
    rows = [f"a{n},10.0.0.{n}:80,7,momo,rural-bank,east-wing" for n in (1, 2)]
    reported = problems(csv(*rows, "a3,10.0.0.3:80,8,momo,rural-bank,east-wing", columns=columns))
    assert reported == ["a.csv:4: destination: 8 is elsewhere 7; the same as in a.csv:2"]
    reported = problems(csv(*rows, "a3,10.0.0.3:80,7,coast,rural-bank,east-wing", columns=columns))
    assert reported == ["a.csv:4: destination: 7 of 'coast' is that of 'momo'; the same as in a.csv:2"]


def test_bytes_that_are_not_utf8_are_reported() -> None:
    data = csv(ROW)[1].encode() + "a2,10.0.0.2:80,bôgô,rural-bank,east-wing\n".encode("latin-1")
    with pytest.raises(RefusedError) as refused:
        assemble([parse(data, "a.csv", VOCABULARY)])
    assert str(refused.value.problems[0]) == "a.csv:3: holds the byte 0xf4; plain text, saved as UTF-8"


def test_too_large_inventories_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("emberlatch.inventory.reader.MAX_FILE_BYTES", 100)
    assert "is over 0 MiB" in problems(csv(ROW, ROW, ROW))[0]
    monkeypatch.undo()
    monkeypatch.setattr("emberlatch.inventory.assembly.MAX_ROWS", 1)
    assert problems(csv(ROW, "a2,10.0.0.2:80,b,rural-bank,east-wing")) == [
        "a.csv:3: is row 2; at most 1 rows"
    ]
