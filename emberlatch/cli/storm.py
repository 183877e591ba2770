"""`emberlatch storm`: run, sweep and replay."""

from __future__ import annotations

import asyncio
import importlib.util
import shutil
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from emberlatch.cli.common import PATH, fail
from emberlatch.cli.faults import Seeds
from emberlatch.storm import Breach, History, Plan, PlanError, draw, judge, parse, play, read
from emberlatch.storm import report as reports
from emberlatch.storm.virtual import play as play_virtually

LACKING = "tables and charts need further libraries: pip install 'emberlatch[storm]'"


def _has_libraries() -> bool:
    return all(importlib.util.find_spec(name) is not None for name in ("hdrh", "matplotlib"))


def _tell(history: History, chart: Path | None) -> int:
    """Print what came of it; how many breaches."""
    breaches = judge(history)
    if _has_libraries():
        click.echo(reports.table(history))
        if chart is not None:
            reports.chart(history, chart)
    else:
        click.echo(LACKING, err=True)
    if breaches:
        click.echo(reports.breach(history, breaches[0]))
    click.echo(f"seed {history.plan.seed}: {len(breaches)} breaches" if breaches else "no breach")
    return len(breaches)


def _play(plan: Plan, keep: Path | None) -> History:
    with tempfile.TemporaryDirectory(prefix="emberlatch-storm-") as folder:
        place = Path(folder) / "fleet"
        history = asyncio.run(play(plan, place))
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            history.save(keep / f"{plan.seed}.jsonl")
            for member in place.iterdir():
                shutil.copy(member / "log", keep / f"{plan.seed}-{member.name}.log")
    return history


def _one(
    seed: int, members: int, seconds: float, keep: Path | None, virtual: bool
) -> tuple[int, int, list[Breach]]:
    plan = draw(seed, members, seconds)
    history = play_virtually(plan) if virtual else _play(plan, keep)
    failures = [Breach("crash", fact.at, (), str(fact)) for fact in history.of("failure")]
    return seed, sum(1 for _ in history.of("end")), judge(history) + failures


class _RunByDefault(click.Group):
    """`storm PLAN` and `storm --seed N` stand for `storm run ...`."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0] not in (*self.commands, "-h", "--help"):
            args = ["run", *args]
        return super().parse_args(ctx, args)


@click.group(cls=_RunByDefault)
def storm() -> None:
    """Play faults on a fleet of real processes, and hold it to the rules.

    `emberlatch storm PLAN.toml` and `emberlatch storm --seed 7` play one storm.
    """


@storm.command()
@click.argument("plan", type=PATH, required=False)
@click.option("--seed", type=int, help="Draw the plan from a seed.")
@click.option("--members", type=click.IntRange(0, 8), default=0, help="So many, with --seed.")
@click.option(
    "--seconds", type=click.FloatRange(6, 600), default=20.0, show_default=True, help="With --seed."
)
@click.option("--keep", type=PATH, help="A folder for the history and the logs.")
@click.option("--chart", type=PATH, help="A picture of messages by outcome over time.")
@click.option("--show", is_flag=True, help="Print the plan and play nothing.")
def run(
    plan: Path | None,
    seed: int | None,
    members: int,
    seconds: float,
    keep: Path | None,
    chart: Path | None,
    show: bool,
) -> None:
    """Play one storm: PLAN, or the one of a seed. Exit 1 if a rule is broken."""
    if (plan is None) == (seed is None):
        fail(["name either a plan or a seed"])
    try:
        told = parse(plan.read_text()) if plan is not None else draw(seed or 0, members, seconds)
    except (OSError, PlanError) as error:
        fail([f"{plan}: {error}"])
    if show:
        return click.echo(told.text())
    raise SystemExit(1 if _tell(_play(told, keep), chart) else 0)


@storm.command()
@click.option("--seeds", type=Seeds(), default="0-11", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--members", type=click.IntRange(0, 64), default=0, help="So many; drawn if 0.")
@click.option("--seconds", type=click.FloatRange(6, 600), default=20.0, show_default=True)
@click.option("--keep", type=PATH, help="A folder for histories and logs.")
@click.option("--virtual", is_flag=True, help="In the virtual world: links and members, many seeds a second.")
def sweep(seeds: range, jobs: int, members: int, seconds: float, keep: Path | None, virtual: bool) -> None:
    """Play the storms of many seeds, several at once. Exit 1 if a rule is broken in any."""
    if members > 8 and not virtual:
        fail(["--members: at most 8 real processes; more with --virtual"])
    broken, messages, began = 0, 0, time.perf_counter()
    with ProcessPoolExecutor(jobs) as pool:
        count = len(seeds)
        more = ([members] * count, [seconds] * count, [keep] * count, [virtual] * count)
        told = pool.map(_one, seeds, *more, chunksize=8 if virtual else 1)
        for seed, ends, breaches in told:
            messages += ends
            if breaches:
                broken += 1
                click.echo(f"seed {seed}: {len(breaches)} breaches; {breaches[0]}")
    took = time.perf_counter() - began
    click.echo(f"{len(seeds)} storms in {took:.0f} s, {messages} ends, {broken} with a breach")
    raise SystemExit(1 if broken else 0)


@storm.command()
@click.argument("history", type=PATH)
@click.option("--chart", type=PATH, help="A picture of messages by outcome over time.")
def replay(history: Path, chart: Path | None) -> None:
    """Judge a history that was kept, without running anything. Exit 1 if a rule is broken."""
    try:
        told = read(history)
    except (OSError, ValueError) as error:
        fail([f"{history}: {error}"])
    raise SystemExit(1 if _tell(told, chart) else 0)
