"""`emberlatch`: serve, check, reload, status, inventory, as2, fleet, faults, storm and demo."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import click

from emberlatch import __version__
from emberlatch.cli.as2 import as2
from emberlatch.cli.common import (
    AS2_LIBRARIES_MISSING,
    PATH,
    fail,
    has_as2,
    inventory_of,
    load_configuration,
    load_parties,
    query_gateway,
)
from emberlatch.cli.demo import demo
from emberlatch.cli.faults import faults
from emberlatch.cli.fleet import fleet
from emberlatch.cli.inventory import inventory
from emberlatch.cli.storm import storm
from emberlatch.standalone.answers import Command, ReloadAnswer, StatusAnswer, decode


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="emberlatch")
def main() -> None:
    """A gateway that accepts messages, delivers them to partners and gives each exactly one final answer."""


main.add_command(inventory)
main.add_command(as2)
main.add_command(demo)
main.add_command(faults)
main.add_command(fleet)
main.add_command(storm)


@main.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
def serve(config_path: Path) -> None:
    """Run the gateway that CONFIG describes until SIGTERM. SIGHUP reloads the inventory at once."""
    from emberlatch.inventory import RefusedError
    from emberlatch.standalone import GatewayError
    from emberlatch.standalone import serve as run
    from emberlatch.standalone.logging_setup import configure as configure_logging

    config = load_configuration(config_path)
    if config.as2 is not None and not has_as2():
        fail([f"{config_path}: as2: {AS2_LIBRARIES_MISSING}"])
    configure_logging(config.log, config.log_format)
    try:
        asyncio.run(run(config))
    except GatewayError as error:
        fail([f"{config_path}: {error}"])
    except RefusedError as error:
        fail(error.problems)


@main.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
def check(config_path: Path) -> None:
    """Check CONFIG and its inventory, start nothing; list problems by file and line, and exit 2 if any."""
    config = load_configuration(config_path)
    found = inventory_of(config)
    if config.as2 is not None:
        if not has_as2():
            fail([f"{config_path}: as2: {AS2_LIBRARIES_MISSING}"])
        load_parties(config_path, config, config.as2)
    click.echo(
        f"{config_path}: good; set {found.digest} with {len(found)} endpoints of {len(found.names)} partners"
    )


@main.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
def reload(config_path: Path) -> None:
    """Make the running gateway reload its inventory now; exit 1 if the new files were not used."""
    answer = decode(query_gateway(config_path, Command.RELOAD), ReloadAnswer)
    for problem in answer.problems:
        click.echo(problem, err=True)
    for path, reason in answer.unstable_files.items():
        click.echo(f"{path}: {reason}, not taken yet", err=True)
    effect = "taken" if answer.changed else "in force, as before"
    click.echo(f"set {answer.digest} with {answer.endpoints} endpoints {effect}")
    raise SystemExit(1 if answer.problems or answer.unstable_files else 0)


@main.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for scripts.")
def status(config_path: Path, as_json: bool) -> None:
    """Show the running gateway's messages in flight, and its pools, waits and endpoints."""
    answer = query_gateway(config_path, Command.STATUS)
    if as_json:
        click.echo(json.dumps(answer))
        return
    from emberlatch.cli.gateway_tables import show_status

    show_status(decode(answer, StatusAnswer))
