"""`emberlatch storm`: run, sweep and replay."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click

from emberlatch.cli.common import PATH, fail, has_libraries
from emberlatch.cli.seeds import SeedRange
from emberlatch.storm import (
    Breach,
    EventKind,
    History,
    Plan,
    PlanError,
    check_history,
    generate_plan,
    parse_plan,
    play_plan,
    read_history,
)
from emberlatch.storm.report import render_breach, render_table, save_chart
from emberlatch.storm.virtual_fleet import play_virtually

REPORT_LIBRARIES = ("hdrh", "matplotlib")
REPORT_LIBRARIES_MISSING = "tables and charts need additional libraries: pip install 'emberlatch[storm]'"
MAX_PROCESSES = 8
VIRTUAL_SEEDS_PER_TASK = 8


@dataclass(frozen=True, slots=True)
class _SweepTask:
    """Plays one seed of a sweep when it is called; the parameters are the same for all seeds."""

    members: int
    seconds: float
    keep: Path | None
    virtual: bool

    def __call__(self, seed: int) -> _SeedResult:
        plan = generate_plan(seed, self.members, self.seconds)
        history = play_virtually(plan) if self.virtual else _play(plan, self.keep)
        failures = history.of_kind(EventKind.FAILURE)
        crashes = [Breach("crash", event.at, (), str(event)) for event in failures]
        outcomes = sum(1 for _ in history.of_kind(EventKind.OUTCOME))
        return _SeedResult(seed, outcomes, [*check_history(history), *crashes])


@dataclass(frozen=True, slots=True)
class _SeedResult:
    seed: int
    outcomes: int
    breaches: list[Breach]


def _print_verdict(history: History, chart: Path | None) -> int:
    """Print the results of a history; returns the number of breaches."""
    breaches = check_history(history)
    if has_libraries(REPORT_LIBRARIES):
        click.echo(render_table(history))
        if chart is not None:
            save_chart(history, chart)
    else:
        click.echo(REPORT_LIBRARIES_MISSING, err=True)
    if breaches:
        click.echo(render_breach(history, breaches[0]))
    click.echo(f"seed {history.plan.seed}: {len(breaches)} breaches" if breaches else "no breach")
    return len(breaches)


def _play(plan: Plan, keep: Path | None) -> History:
    """Play a plan on real processes; the history and the members' logs are copied to the folder `keep`."""
    with tempfile.TemporaryDirectory(prefix="emberlatch-storm-") as name:
        folder = Path(name) / "fleet"
        history = asyncio.run(play_plan(plan, folder))
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            history.save(keep / f"{plan.seed}.jsonl")
            for member in folder.iterdir():
                shutil.copy(member / "log", keep / f"{plan.seed}-{member.name}.log")
    return history


def _plan_of(path: Path | None, seed: int | None, members: int, seconds: float) -> Plan:
    """Return the plan in the file `path`, or generate one from `seed`; raises OSError or PlanError."""
    if path is not None:
        return parse_plan(path.read_text())
    return generate_plan(seed or 0, members, seconds)


class _RunByDefault(click.Group):
    """Treats `storm PLAN` and `storm --seed N` as `storm run ...`."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Insert `run` before arguments that don't begin with a command."""
        if args and args[0] not in (*self.commands, "-h", "--help"):
            args = ["run", *args]
        return super().parse_args(ctx, args)


@click.group(cls=_RunByDefault)
def storm() -> None:
    """Inject faults into a fleet of real processes, and check the fleet against the rules.

    `emberlatch storm PLAN.toml` and `emberlatch storm --seed 7` play one storm.
    """


@storm.command()
@click.argument("plan_path", metavar="[PLAN]", type=PATH, required=False)
@click.option("--seed", type=int, help="Draw the plan from a seed.")
@click.option("--members", type=click.IntRange(0, MAX_PROCESSES), default=0, help="Members, with --seed.")
@click.option(
    "--seconds", type=click.FloatRange(6, 600), default=20.0, show_default=True, help="With --seed."
)
@click.option("--keep", type=PATH, help="A folder for the history and the logs.")
@click.option("--chart", type=PATH, help="A picture of messages by outcome over time.")
@click.option("--show", is_flag=True, help="Print the plan and play nothing.")
def run(
    plan_path: Path | None,
    seed: int | None,
    members: int,
    seconds: float,
    keep: Path | None,
    chart: Path | None,
    show: bool,
) -> None:
    """Play one storm: PLAN, or the one of a seed. Exit 1 if a rule is broken."""
    if (plan_path is None) == (seed is None):
        fail(["give either a plan file or --seed"])
    try:
        plan = _plan_of(plan_path, seed, members, seconds)
    except (OSError, PlanError) as error:
        fail([f"{plan_path}: {error}"])
    if show:
        click.echo(plan.to_toml())
        return
    raise SystemExit(1 if _print_verdict(_play(plan, keep), chart) else 0)


@storm.command()
@click.option("--seeds", type=SeedRange(), default="0-11", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--members", type=click.IntRange(0, 64), default=0, help="Number of members; drawn if 0.")
@click.option("--seconds", type=click.FloatRange(6, 600), default=20.0, show_default=True)
@click.option("--keep", type=PATH, help="A folder for histories and logs.")
@click.option("--virtual", is_flag=True, help="Simulate links and members, many seeds a second.")
def sweep(seeds: range, jobs: int, members: int, seconds: float, keep: Path | None, virtual: bool) -> None:
    """Play the storms of many seeds, several at once. Exit 1 if a rule is broken in any."""
    if members > MAX_PROCESSES and not virtual:
        fail([f"--members: at most {MAX_PROCESSES} real processes; more with --virtual"])
    broken_seeds, outcomes, started_at = 0, 0, time.perf_counter()
    task = _SweepTask(members, seconds, keep, virtual)
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(task, seeds, chunksize=VIRTUAL_SEEDS_PER_TASK if virtual else 1):
            outcomes += result.outcomes
            if result.breaches:
                broken_seeds += 1
                click.echo(f"seed {result.seed}: {len(result.breaches)} breaches; {result.breaches[0]}")
    took_s = time.perf_counter() - started_at
    click.echo(f"{len(seeds)} storms in {took_s:.0f} s, {outcomes} ends, {broken_seeds} with a breach")
    raise SystemExit(1 if broken_seeds else 0)


@storm.command()
@click.argument("history_path", metavar="HISTORY", type=PATH)
@click.option("--chart", type=PATH, help="A picture of messages by outcome over time.")
def replay(history_path: Path, chart: Path | None) -> None:
    """Check a kept history without running anything. Exit 1 if a rule is broken."""
    try:
        history = read_history(history_path)
    except (OSError, ValueError) as error:
        fail([f"{history_path}: {error}"])
    raise SystemExit(1 if _print_verdict(history, chart) else 0)
