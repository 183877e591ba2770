"""`emberlatch fleet`: status, members and leave."""

from __future__ import annotations

import json
from pathlib import Path

import click

from emberlatch.cli.common import PATH, query_gateway
from emberlatch.standalone.answers import Command, FleetAnswer, decode

AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object, for scripts.")


@click.group()
def fleet() -> None:
    """The forwarders that act as one sender, as the running gateway sees them."""


@fleet.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
@AS_JSON
def status(config_path: Path, as_json: bool) -> None:
    """Show whether this member reaches a majority, since when, and its part of each limit and why."""
    answer = query_gateway(config_path, Command.FLEET)
    if as_json:
        click.echo(json.dumps(answer))
        return
    from emberlatch.cli.fleet_tables import show_fleet

    show_fleet(decode(answer, FleetAnswer))


@fleet.command()
@click.argument("config_paths", metavar="CONFIGS...", type=PATH, nargs=-1, required=True)
@AS_JSON
def members(config_paths: tuple[Path, ...], as_json: bool) -> None:
    """Show which members see each other: a row for each CONFIG whose gateway runs here."""
    documents = {path: query_gateway(path, Command.FLEET) for path in config_paths}
    if as_json:
        click.echo(json.dumps({str(document["me"]): document for document in documents.values()}))
        return
    from emberlatch.cli.fleet_tables import show_members

    views = [decode(document, FleetAnswer) for document in documents.values()]
    show_members({view.member_name: view for view in views})


@fleet.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
def leave(config_path: Path) -> None:
    """Make the gateway announce that it leaves the fleet, and stop, as on SIGTERM."""
    query_gateway(config_path, Command.LEAVE)
    click.echo("leaving")
