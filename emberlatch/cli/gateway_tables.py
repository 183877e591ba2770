"""Tables of an inventory and of a running gateway's status."""

from __future__ import annotations

from collections.abc import Iterator

from rich.console import Console
from rich.table import Table

from emberlatch.inventory import Inventory, cells
from emberlatch.standalone.answers import InventoryAnswer, PoolAnswer, RouteAnswer, StatusAnswer
from emberlatch.standalone.outcome_log import MessageState

INVENTORY_COLUMNS = ("id", "address", "partner", "kind", "wing", "protocol", "limit", "phase", "tags")
POOL_COLUMNS = ("partner", "dest", "leases", "waiting", "normal")
ROUTE_COLUMNS = ("endpoint", "phase", "route", "recent")


def show_inventory(inventory: Inventory) -> None:
    """Print all endpoints, in the order of their ids."""
    table = Table(*INVENTORY_COLUMNS, title=f"set {inventory.digest}: {len(inventory)} endpoints")
    for endpoint in inventory.endpoints.values():
        row = cells(endpoint)
        table.add_row(*(row[column] for column in INVENTORY_COLUMNS))
    Console().print(table)


def show_status(status: StatusAnswer) -> None:
    """Print a gateway's messages in flight, the state of its inventory and of AS2, and its pools."""
    console = Console()
    console.print(
        f"set {status.inventory.digest} with {status.inventory.endpoints} endpoints; "
        f"{status.in_flight} messages {MessageState.IN_FLIGHT}, {status.unconfirmed_outcomes} ends owed; "
        f"{status.free_slots} of {status.slots} slots free"
    )
    for line in (*_as2_lines(status), *_inventory_lines(status.inventory)):
        console.print(line, markup=False)
    table = Table(*POOL_COLUMNS, *ROUTE_COLUMNS)
    for pool in status.pools:
        for row in _pool_rows(pool):
            table.add_row(*row)
    console.print(table)


def _as2_lines(status: StatusAnswer) -> Iterator[str]:
    as2 = status.as2
    if as2 is not None:
        yield (
            f"AS2 as {as2.name}: {as2.messages} messages known, {as2.disputes} disputes, "
            f"{as2.pending_receipts} receipts owed"
        )
        for line in as2.expiring_certificates:
            yield f"renew: {line}"


def _inventory_lines(inventory: InventoryAnswer) -> Iterator[str]:
    for problem in inventory.problems:
        yield f"not taken: {problem}"
    for path, reason in inventory.unstable_files.items():
        yield f"waiting: {path} is {reason}"


def _pool_rows(pool: PoolAnswer) -> Iterator[list[str]]:
    """Yield a row for each endpoint; only the first row has the cells of the pool itself."""
    pool_cells = [pool.partner, str(pool.destination), str(pool.leases), str(pool.queued)]
    pool_cells.append(_milliseconds(pool.usual_latency_s))
    for route in pool.routes:
        for endpoint in route.endpoints:
            recent = _milliseconds(route.recent_latency_s)
            yield [*pool_cells, endpoint.target, endpoint.phase, _route_state(route), recent]
            pool_cells = [""] * len(pool_cells)


def _route_state(route: RouteAnswer) -> str:
    return route.state + (f" {route.retry_after_s:.1f} s" if route.retry_after_s else "")


def _milliseconds(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms"
