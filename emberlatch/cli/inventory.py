"""`emberlatch inventory`: show, diff and convert."""

from __future__ import annotations

import json
from pathlib import Path

import click

from emberlatch.cli.common import PATH, inventory_at
from emberlatch.inventory import Change, cells, diff, to_csv, to_yaml

CONFIG = click.option(
    "--config",
    "config_path",
    type=PATH,
    help="The file that defines wings and kinds, if SOURCE is not a *.toml file.",
)


@click.group()
def inventory() -> None:
    """Look at inventories: of a configuration (*.toml), a CSV or YAML file, or a folder of them."""


@inventory.command()
@click.argument("source", type=PATH)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="A JSON list, for scripts.")
def show(source: Path, config_path: Path | None, as_json: bool) -> None:
    """List the endpoints of SOURCE with all values, including inherited ones."""
    found = inventory_at(source, config_path)
    if as_json:
        endpoints = found.endpoints.values()
        rows = [cells(endpoint) | {"destination": endpoint.destination} for endpoint in endpoints]
        click.echo(json.dumps(rows, indent=1))
        return
    from emberlatch.cli.gateway_tables import show_inventory

    show_inventory(found)


@inventory.command(name="diff")
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="A JSON list, for scripts.")
def compare(old: Path, new: Path, config_path: Path | None, as_json: bool) -> None:
    """Show how the endpoints change from OLD to NEW; exit 1 if any change."""
    changes = diff(inventory_at(old, config_path), inventory_at(new, config_path))
    if as_json:
        click.echo(json.dumps([_document(change) for change in changes], indent=1))
    else:
        for change in changes:
            click.echo(str(change))
        click.echo(f"{len(changes)} changes" if changes else "no change in effect")
    raise SystemExit(1 if changes else 0)


def _document(change: Change) -> dict[str, object]:
    return {
        "before": cells(change.before) if change.before else None,
        "after": cells(change.after) if change.after else None,
        "fields": change.fields,
    }


@inventory.command()
@click.argument("source", type=PATH)
@click.option("--to", "file_format", type=click.Choice(["csv", "yaml"]), required=True)
@click.option("--output", "-o", type=PATH, help="A file; the default is standard output.")
@CONFIG
def convert(source: Path, file_format: str, output: Path | None, config_path: Path | None) -> None:
    """Write SOURCE as one CSV or YAML file with the same endpoints."""
    found = inventory_at(source, config_path)
    text = to_csv(found) if file_format == "csv" else to_yaml(found)
    if output is None:
        click.echo(text, nl=False)
    else:
        output.write_text(text, encoding="utf-8")
