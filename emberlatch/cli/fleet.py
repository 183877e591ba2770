"""`emberlatch fleet`: status, members and leave."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click

from emberlatch.cli.common import PATH, asked, fail

AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object, for scripts.")


def _fleet(config: Path, name: str) -> dict[str, Any]:
    told = asked(config, name)
    if "error" in told:
        fail([told["error"]])
    return told


@click.group()
def fleet() -> None:
    """The forwarders that act as one sender, as the running gateway sees them."""


@fleet.command()
@click.argument("config", type=PATH)
@AS_JSON
def status(config: Path, as_json: bool) -> None:
    """Whether this member is with a majority, since when, and which part of each limit is its own, and
    why."""
    told = _fleet(config, "fleet")
    if as_json:
        return click.echo(json.dumps(told))
    from emberlatch.cli.tables import show_fleet

    show_fleet(told)


@fleet.command()
@click.argument("configs", type=PATH, nargs=-1, required=True)
@AS_JSON
def members(configs: tuple[Path, ...], as_json: bool) -> None:
    """Who sees whom: a row for each member whose configuration is named and which runs here."""
    told = {config: _fleet(config, "fleet") for config in configs}
    views = {view["me"]: view for view in told.values()}
    if as_json:
        return click.echo(json.dumps(views))
    from emberlatch.cli.tables import show_members

    show_members(views)


@fleet.command()
@click.argument("config", type=PATH)
def leave(config: Path) -> None:
    """Have the gateway say that it leaves, and stop, as SIGTERM does."""
    _fleet(config, "leave")
    click.echo("leaving")
