"""The configuration file: all problems are reported by line, and settings reach the decision module."""

from __future__ import annotations

from pathlib import Path

import pytest

from emberlatch.config import ConfigError, load, parse, settings
from emberlatch.core.interface import Effect, Scope, Weights
from tests.peers import ROOT

MINIMAL = '[inventory]\npaths = ["x"]\n'


def problems(text: str | bytes) -> list[str]:
    with pytest.raises(ConfigError) as refused:
        parse(text if isinstance(text, bytes) else text.encode(), "g.toml")
    return [str(problem) for problem in refused.value.problems]


def test_every_setting_but_the_inventory_has_a_default() -> None:
    config = parse(MINIMAL.encode(), "g.toml")
    derived = settings(config)
    assert (config.listen_address, config.inventory.quiet_period_s) == (("127.0.0.1", 8080), 2.0)
    assert [(c.name, c.effect, c.latency_target, c.dedup_window) for c in derived.categories] == [
        ("payout", Effect.KEYED, 4.0, 25.0),
        ("status-update", Effect.SAFE, 3.0, 0.0),
    ]
    assert (
        derived.batch_limits == (10, 1)
        and derived.weights is Weights.NOMINAL
        and not derived.must_poll_directory
    )


def test_settings_are_passed_to_the_decision_module() -> None:
    text = """
    wings = {north = {}, south = {fee = 0.5}}
    INVENTORY
    [kinds.bank]
    batch = 4
    routes = "shared"
    [classes.order]
    effect = "keyed"
    aim = "1.5s"
    deadline = "2min"
    window = "500ms"
    scope = "endpoint"
    [tenants]
    pensions = {rate = 3.5}
    [rules]
    drain_grace = "250ms"
    [limits]
    journal = "64KB"
    """
    reported = problems(text.replace("INVENTORY", MINIMAL))
    assert reported == ["g.toml:20: limits.journal: Input should be greater than or equal to 1000000"]
    config = parse(text.replace("64KB", "64MiB").replace("INVENTORY", MINIMAL).encode(), "g.toml")
    made = settings(config)
    (category,) = made.categories
    assert (category.latency_target, category.deadline, category.dedup_window, category.scope) == (
        1.5,
        120.0,
        0.5,
        Scope.CELL,
    )
    assert (made.zone_fees, made.separate_routes, made.batch_limits) == ((0.0, 0.5), (False,), (4,))
    assert (made.tenants[0].allowance, made.rules.drain_grace) == (3.5, 0.25)
    assert config.limits.journal == 64 * 2**20


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("listn = 1\n" + MINIMAL, "g.toml:1: listn: is not known; did you mean 'listen'?"),
        (MINIMAL + "settel = '2s'\n", "g.toml:3: inventory.settel: is not known; did you mean 'settle'?"),
        (MINIMAL + "settle = 2\n", "g.toml:3: inventory.settle: must be a number with a unit (ms, s, min, h) in quotes, like '500ms'"),
        (MINIMAL + "settle = '2 weeks'\n", "g.toml:3: inventory.settle: must be a number with a unit (ms, s, min, h) in quotes, like '500ms'"),
        ("", "g.toml: inventory: is missing"),
        ("listen = 'x'\n" + MINIMAL, "g.toml:1: listen: must be host:port, like 127.0.0.1:8080"),
        ("reports = 'ftp://x'\n" + MINIMAL, "g.toml:1: reports: must be a plain URL, like http://127.0.0.1:9000/reports"),
        (MINIMAL + "[classes.p]\neffect = 'keyed'\n", "g.toml:3: classes.p: a keyed class needs a window over 0s, and no other class has one"),
        (MINIMAL + "[classes.p]\neffect = 'safe'\naim = '30s'\n", "g.toml:3: classes.p: aim must be over 0s and at most the deadline"),
        (MINIMAL + "[wings.'-x']\n", "g.toml:3: wings.-x: is no name: letters, digits, dots, dashes, at most 64, the first no dash or dot"),
        (MINIMAL + "[rules]\ncold_share = 1.5\n", "g.toml:4: rules.cold_share: Input should be less than or equal to 1"),
        (MINIMAL + "[limits]\ncalls = true\n", "g.toml:4: limits.calls: Input should be a valid integer"),
        ("a = \n", "g.toml:1: Invalid value"),
        ("a = 1\na = 2\n", "g.toml:2: Cannot overwrite a value"),
        (b"a = 1\n\xff", "g.toml:2: is not UTF-8"),
        (b"#" * (1 << 20) + b"x", "g.toml: is over 1048576 bytes"),
    ],
)  # fmt: skip
def test_a_problem_is_reported_by_line_with_its_remedy(text: str | bytes, expected: str) -> None:
    assert problems(text) == [expected]


def test_all_problems_of_a_configuration_are_reported_together() -> None:
    text = 'log = "loud"\n[inventory]\npaths = []\npoll = "1"\n[limits]\ncalls = 0\nmesages = 1\n'
    assert [line.split(": ")[0] for line in problems(text)] == [f"g.toml:{n}" for n in (1, 3, 4, 6, 7)]


def test_the_sample_is_valid_and_its_relative_paths_start_at_its_folder(tmp_path: Path) -> None:
    config = load(ROOT / "deploy" / "gateway.toml")
    assert config.path("inventory") == ROOT / "deploy" / "inventory"
    with pytest.raises(ConfigError, match="No such file"):
        load(tmp_path / "none.toml")


FLEET = """
[fleet]
name = "payouts"
me = "a"
[fleet.members]
a = "127.0.0.1:7001"
b = "127.0.0.1:7002"
"""


def test_a_fleet_is_absent_by_default_and_listens_at_its_members_address() -> None:
    assert parse(MINIMAL.encode(), "g.toml").fleet is None
    fleet = parse((MINIMAL + FLEET).encode(), "g.toml").fleet
    assert fleet is not None and fleet.listen_address == ("127.0.0.1", 7001)
    assert fleet.member_addresses == {"a": ("127.0.0.1", 7001), "b": ("127.0.0.1", 7002)}


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('me = "a"', 'me = "z"', "'z' is not among the members"),
        ('b = "127.0.0.1:7002"', 'b = "nowhere"', "g.toml:9: fleet.members.b: must be host:port"),
        ('name = "payouts"', 'name = "pay outs"', "g.toml:5: fleet.name"),
        ('name = "payouts"', 'nam = "payouts"', "did you mean 'name'"),
    ],
)
def test_an_invalid_fleet_is_reported(old: str, new: str, expected: str) -> None:
    assert any(expected in problem for problem in problems(MINIMAL + FLEET.replace(old, new)))
