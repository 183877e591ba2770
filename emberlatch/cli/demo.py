"""The command `emberlatch demo`."""

from __future__ import annotations

import asyncio
import json

import click


@click.command()
@click.option("--seconds", type=click.FloatRange(3, 3600), default=30.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="Of the traffic.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object at the end, for scripts.")
def demo(seconds: float, seed: int, as_json: bool) -> None:
    """Run the gateway with stand-in partners, break one, and show what the others notice of it.

    Everything stays on loopback addresses and in a temporary folder. Exit 1 if the break was not contained.
    """
    from emberlatch.demo import run

    if as_json:
        summary = asyncio.run(run(seconds, seed, lambda _: None))
        click.echo(json.dumps(summary.document(), indent=1))
    else:
        from rich.live import Live

        from emberlatch.cli.demo_tables import progress_table, show_summary

        with Live(refresh_per_second=4) as live:
            summary = asyncio.run(run(seconds, seed, lambda progress: live.update(progress_table(progress))))
        show_summary(summary)
    raise SystemExit(0 if summary.contained else 1)
