"""`emberlatch inventory`: show, diff and convert."""

from __future__ import annotations

import json
from pathlib import Path

import click

from emberlatch.cli.common import PATH, inventory_of
from emberlatch.inventory import cells, diff, to_csv, to_yaml

CONFIG = click.option("--config", type=PATH, help="Where wings and kinds are named, if SOURCE is no *.toml.")


@click.group()
def inventory() -> None:
    """Look at inventories: of a configuration (*.toml), a CSV or YAML file, or a folder of them."""


@inventory.command()
@click.argument("source", type=PATH)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="A JSON list, for scripts.")
def show(source: Path, config: Path | None, as_json: bool) -> None:
    """List the endpoints of SOURCE as they are in effect, with all that they inherit."""
    found = inventory_of(source, config)
    if as_json:
        rows = [cells(e) | {"destination": e.destination} for e in found.endpoints.values()]
        return click.echo(json.dumps(rows, indent=1))
    from emberlatch.cli.tables import show_inventory

    show_inventory(found)


@inventory.command(name="diff")
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="A JSON list, for scripts.")
def compare(old: Path, new: Path, config: Path | None, as_json: bool) -> None:
    """Say what changes in effect from OLD to NEW; exit 1 if anything does."""
    changes = diff(inventory_of(old, config), inventory_of(new, config))
    if as_json:
        told = [
            {
                "before": cells(change.before) if change.before else None,
                "after": cells(change.after) if change.after else None,
                "fields": change.fields,
            }
            for change in changes
        ]
        click.echo(json.dumps(told, indent=1))
    else:
        for change in changes:
            click.echo(str(change))
        click.echo(f"{len(changes)} changes" if changes else "no change in effect")
    raise SystemExit(1 if changes else 0)


@inventory.command()
@click.argument("source", type=PATH)
@click.option("--to", "form", type=click.Choice(["csv", "yaml"]), required=True)
@click.option("--output", "-o", type=PATH, help="A file; else standard output.")
@CONFIG
def convert(source: Path, form: str, output: Path | None, config: Path | None) -> None:
    """Write SOURCE as one CSV or YAML file that gives the same set."""
    found = inventory_of(source, config)
    text = to_csv(found) if form == "csv" else to_yaml(found)
    if output is None:
        click.echo(text, nl=False)
    else:
        output.write_text(text, encoding="utf-8")
