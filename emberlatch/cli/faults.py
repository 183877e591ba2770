"""`emberlatch faults`: run, replay, shrink and explain."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path

import click

from emberlatch.cli.common import PATH, fail
from emberlatch.cli.seeds import SeedRange
from emberlatch.faults import (
    PLAN_GENERATORS,
    Plan,
    PlanError,
    Report,
    parse_plan,
    run_plan,
    run_seeds,
    shrink,
    trace_digest,
)

DEFAULT_DRAW = "mixed"


def _plan_at(source: str) -> Plan:
    """Return the plan in a file, or the plan that a generator makes from a seed: `12` or `release:12`."""
    draw, colon, seed = source.rpartition(":")
    if seed.isdigit() and (not colon or draw in PLAN_GENERATORS):
        return PLAN_GENERATORS[draw or DEFAULT_DRAW](int(seed))
    try:
        return parse_plan(Path(source).read_text())
    except (OSError, PlanError) as error:
        fail([f"{source}: {error}"])


def _print_verdict(report: Report) -> None:
    for breach in report.breaches:
        click.echo(str(breach))
    found = f"{len(report.breaches)} breaches" if report.breaches else "no breach"
    click.echo(f"{found}; {report.messages} messages, {report.steps} steps, trace {trace_digest(report)}")


@click.group()
def faults() -> None:
    """Run the real code under seeded faults on a virtual clock.

    A SOURCE is a seed (12), a seed of another draw (release:12) or a file with a plan.
    """


@faults.command()
@click.option("--seeds", type=SeedRange(), default="0-299", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 256), default=8, show_default=True)
@click.option("--plans", type=click.Choice(sorted(PLAN_GENERATORS)), default=DEFAULT_DRAW, show_default=True)
def run(seeds: range, jobs: int, plans: str) -> None:
    """Play many seeds; a line for each breach, with the last events before it. Exit 1 if there is any."""
    started_at, steps, messages = time.perf_counter(), 0, 0
    broken_rules: Counter[str] = Counter()
    with click.progressbar(length=len(seeds), label="seeds") as bar:
        for result in run_seeds(seeds, jobs, plans):
            bar.update(1)
            steps, messages = steps + result.steps, messages + result.messages
            if result.breaches:
                broken_rules[result.breaches[0].rule] += 1
                click.echo(f"\nseed {result.seed}: {result.breaches[0]}")
                for line in result.last_events:
                    click.echo(f"    {line}")
    took_s = time.perf_counter() - started_at
    rate = len(seeds) / took_s / jobs
    click.echo(
        f"{len(seeds)} seeds in {took_s:.1f} s on {jobs} processes ({rate:.1f} a second for each), "
        f"{messages} messages, {steps} steps; broken: {dict(broken_rules) or 'none'}"
    )
    raise SystemExit(1 if broken_rules else 0)


@faults.command()
@click.argument("source")
@click.option("--until", type=float, help="Show the trace up to this second only.")
@click.option("--trace", "target", type=PATH, help="A file for the complete trace.")
def replay(source: str, until: float | None, target: Path | None) -> None:
    """Play SOURCE once more and show its plan, its trace and its breaches."""
    report = run_plan(_plan_at(source))
    click.echo(str(report.plan))
    if target is not None:
        target.write_text("".join(f"{line}\n" for line in report.lines))
    else:
        for line in report.lines:
            if until is None or float(line.split(" ", 1)[0]) <= until:
                click.echo(line)
    _print_verdict(report)
    raise SystemExit(1 if report.breaches else 0)


@faults.command(name="shrink")
@click.argument("source")
def shrink_plan(source: str) -> None:
    """Remove every fault of SOURCE that its first breach does not need, and print the smaller plan."""
    plan = _plan_at(source)
    breaches = run_plan(plan).breaches
    if not breaches:
        fail([f"{source} breaks nothing"])
    smallest = shrink(plan, breaches[0].rule)
    click.echo(f"# breaks: {run_plan(smallest).breaches[0]}")
    click.echo(str(smallest), nl=False)


@faults.command()
@click.argument("source")
@click.option("--output", "-o", type=PATH, required=True, help="A file for the SVG picture.")
def explain(source: str, output: Path) -> None:
    """Draw a timeline of SOURCE: a lane per endpoint, faults behind the calls, breaches as red lines."""
    from emberlatch.faults.timeline import render_svg

    report = run_plan(_plan_at(source))
    output.write_text(render_svg(report), encoding="utf-8")
    _print_verdict(report)
