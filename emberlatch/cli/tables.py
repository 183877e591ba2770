"""Tables for people."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table

from emberlatch.demo import Progress, Summary
from emberlatch.inventory import Inventory, cells

PARTS = ("before", "during", "after")


def show_inventory(inventory: Inventory) -> None:
    """All endpoints by id."""
    columns = ("id", "address", "partner", "kind", "wing", "protocol", "limit", "phase", "tags")
    table = Table(*columns, title=f"set {inventory.digest}: {len(inventory)} endpoints")
    for endpoint in inventory.endpoints.values():
        told = cells(endpoint)
        table.add_row(*(told[column] for column in columns))
    Console().print(table)


def show_status(told: dict[str, Any]) -> None:
    """What a gateway holds, and its pools."""
    console, inventory = Console(), told["inventory"]
    console.print(
        f"set {inventory['set']} with {inventory['endpoints']} endpoints; "
        f"{told['held']} messages held, {told['notices_owed']} ends owed; "
        f"{told['slots_free']} of {told['slots']} slots free"
    )
    for problem in inventory["problems"]:
        console.print(f"not taken: {problem}", markup=False)
    for path, why in inventory["waiting"].items():
        console.print(f"waiting: {path} is {why}", markup=False)
    table = Table("partner", "dest", "leases", "waiting", "normal", "endpoint", "phase", "route", "recent")
    for pool in told["pools"]:
        head = [pool["partner"], str(pool["destination"]), str(pool["leases"]), str(pool["waiting"])]
        head.append(f"{pool['normal'] * 1000:.0f} ms")
        for route in pool["routes"]:
            state = route["state"] + (f" {route['wait']:.1f} s" if route["wait"] else "")
            for endpoint in route["endpoints"]:
                recent = f"{route['recent'] * 1000:.0f} ms"
                table.add_row(*head, endpoint["target"], endpoint["phase"], state, recent)
                head = [""] * len(head)
    console.print(table)


def progress_table(progress: Progress) -> Table:
    """The live table of a demonstration."""
    title = {
        "before": "all partners are well",
        "during": f"{progress.account.broken} hangs",
        "after": f"{progress.account.broken} is back, cold",
    }[progress.part]
    table = Table(title=f"{min(progress.elapsed, progress.total):4.0f} of {progress.total:.0f} s: {title}")
    for column in ("partner", "sent", "in time", "late", "refused", "failed", "median", "leases", "routes"):
        table.add_column(column, justify="left" if column in ("partner", "routes") else "right")
    pools = {pool["partner"]: pool for pool in progress.status.get("pools", ())}
    for name, parts in progress.account.tallies.items():
        tally = parts.get(progress.part)
        pool = pools.get(name, {"leases": 0, "routes": []})
        if tally is None:
            continue
        table.add_row(
            name,
            str(tally.sent),
            f"{tally.service:.1%}",
            str(tally.late),
            str(tally.refused),
            str(tally.failed),
            f"{tally.median * 1000:.0f} ms",
            str(pool["leases"]),
            ", ".join(route["state"] for route in pool["routes"]),
        )
    return table


def show_summary(summary: Summary) -> None:
    """What a demonstration has shown."""
    console = Console()
    table = Table("partner", *(f"{p}: {what}" for p in PARTS for what in ("sent", "in time", "median")))
    for name, parts in summary.partners.items():
        row = [name]
        for part in PARTS:
            tally = parts.get(part, {"sent": 0, "service": 1.0, "median": 0.0})
            row += [str(tally["sent"]), f"{tally['service']:.1%}", f"{tally['median'] * 1000:.0f} ms"]
        table.add_row(*row)
    console.print(table)
    console.print(
        f"While {summary.broken} hung, the others had {summary.others_during:.1%} of their messages in time, "
        f"after {summary.others_before:.1%} before. "
        f"{summary.unanswered} messages without an answer, {summary.answered_twice} answered twice."
    )
    console.print("The break was contained." if summary.contained else "The break was NOT contained.")
