"""The commands `status` and `why`: where the stores of a running cluster disagree, and where a message is."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Iterable

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.cluster.cli.store_reports import (
    Address,
    MessageReplica,
    StoreReport,
    collect_reports,
)
from emberlatch.cluster.consensus import DecommissionMark
from emberlatch.cluster.control_plane import REVISION_WITHHELD
from emberlatch.cluster.membership import Heartbeat
from emberlatch.cluster.message_store import STATE_LABELS, DiskState
from emberlatch.cluster.rpc import CallFailedError, MessageDecodeError

MAX_PORT = 65535
HEADER = f"{'store':26s} {'zone':14s} {'phase':10s} {'revision':>8s} {'state':>6s} {'list':>9s}"


def parse_address(text: str) -> Address | None:
    """Parse HOST:PORT; return None if it is malformed."""
    host, _, port = text.rpartition(":")
    return (host, int(port)) if host and port.isdigit() and 0 < int(port) <= MAX_PORT else None


def _node_heartbeats(reports: Iterable[StoreReport]) -> list[tuple[str, Heartbeat]]:
    return [(r.member.node, r.heartbeat) for r in reports if r.heartbeat is not None]


def _disagreement(
    heartbeats: list[tuple[str, Heartbeat]],
    value_of: Callable[[Heartbeat], int | None],
    what: str,
) -> list[str]:
    """Return a line with the stores grouped by the value they report; no line if all values are equal.

    Missing and negative values are ignored.
    """
    by_value: dict[int, list[str]] = {}
    for node, heartbeat in heartbeats:
        value = value_of(heartbeat)
        if value is not None and value >= 0:
            by_value.setdefault(value, []).append(node)
    if len(by_value) < 2:
        return []
    groups = (f"{value} at {','.join(nodes)}" for value, nodes in sorted(by_value.items()))
    return [f"two {what}: " + "; ".join(groups)]


def find_problems(reports: list[StoreReport]) -> list[str]:
    """Return a line for each problem; empty if the cluster is healthy."""
    heartbeats = _node_heartbeats(reports)
    problems = [f"{r.member.node} does not answer: {r.error}" for r in reports if r.error]
    problems += _disagreement(heartbeats, lambda h: h.revision, "configurations in force")
    problems += _disagreement(heartbeats, lambda h: h.roster_digest, "lists of stores")
    problems += [
        f"{node} has no contact with most of the voters"
        for node, heartbeat in heartbeats
        if heartbeat.revision == REVISION_WITHHELD
    ]
    problems += [
        f"{node}: its disk is {h.disk.value}"
        for node, h in heartbeats
        if h.disk is not None and h.disk is not DiskState.OK
    ]
    problems += [
        f"{node} gives no vote: its disk"
        for node, h in heartbeats
        if h.control is not None and not h.control.votes
    ]
    problems += [f"{node} is {h.phase}" for node, h in heartbeats if h.phase != "serving"]
    return problems


def _status_line(report: StoreReport) -> str:
    heartbeat = report.heartbeat
    phase = (heartbeat.phase if heartbeat is not None else None) or "no answer"
    revision = heartbeat.revision if heartbeat is not None else None
    control = heartbeat.control if heartbeat is not None else None
    version = "" if control is None else control.version
    digest = (heartbeat.roster_digest if heartbeat is not None else None) or 0
    return (
        f"{report.member.node:26s} {report.member.zone:14s} {phase:10s} "
        f"{'' if revision is None else revision:>8} {version:>6} {digest:9x}"
    )


def status_lines(reports: list[StoreReport]) -> list[str]:
    """Return a table of the stores, then the decommissions, then the problems."""
    marks: dict[str, int] = {}
    for _, heartbeat in _node_heartbeats(reports):
        marks |= heartbeat.control.decommissions if heartbeat.control is not None else {}
    decommissions = [
        f"{node} is {'emptied' if mark == DecommissionMark.EMPTY else 'being emptied'}"
        for node, mark in marks.items()
    ]
    problems = find_problems(reports) or ["all agree"]
    return [HEADER, *map(_status_line, reports), *decommissions, *problems]


def _replica_lines(node: str, replica: MessageReplica) -> list[str]:
    due_s, ended_s = replica.due_s, replica.ended_s
    due = f"due in {due_s:.1f} s" if due_s > 0 else f"due {-due_s:.1f} s ago"
    ended = f", ended {-ended_s:.1f} s ago" if ended_s is not None else ""
    seal = f"; {replica.seal}" if replica.seal else ""
    return [
        f"{node}: {STATE_LABELS[replica.state]}, owned by {replica.owner} (epoch {replica.epoch})",
        f"    replicas on {', '.join(replica.replicas)}; revision {replica.revision}; "
        f"failed attempts {replica.failed_attempts}",
        f"    sent {-replica.sent_s:.1f} s ago, {due}{ended}{seal}",
    ]


def message_lines(reports: list[StoreReport], message_id: str) -> list[str]:
    """Return lines on each store's replica of a message, in descending order of `MessageReplica.rank`."""
    replicas = [(r.member.node, r.replica) for r in reports if r.replica is not None]
    replicas.sort(key=lambda item: item[1].rank, reverse=True)
    lines = [line for node, replica in replicas for line in _replica_lines(node, replica)]
    lines += [f"{r.member.node} does not answer: {r.error}" for r in reports if r.error]
    return lines or [f"{message_id}: no store knows of it"]


def _to_json(reports: list[StoreReport]) -> str:
    """Encode the reports as JSON; other programs read this output, so its keys must not change."""
    stores = []
    for report in reports:
        store: dict[str, object] = {
            "node": report.member.node,
            "zone": report.member.zone,
            "lost": report.error,
            "beat": report.payload if report.heartbeat is not None else {},
        }
        if report.replica is not None:
            store["record"] = report.replica.payload
        stores.append(store)
    return json.dumps({"stores": stores, "wrong": find_problems(reports)})


def _collect(store: str, message_id: str) -> list[StoreReport] | None:
    """Query all stores. If this fails, print the reason on standard error and return None."""
    address = parse_address(store)
    if address is None:
        print(f"{store}: HOST:PORT of a store expected, its port for other processes", file=sys.stderr)
        return None
    try:
        return asyncio.run(collect_reports(address, message_id))
    except (CallFailedError, MessageDecodeError) as error:
        print(f"no answer: {error}", file=sys.stderr)
        return None


def show_status(store: str, as_json: bool) -> ExitCode:
    """Print the status of all stores. Return FAILED if there are problems, UNUSABLE without answers."""
    reports = _collect(store, "")
    if reports is None:
        return ExitCode.UNUSABLE
    print(_to_json(reports) if as_json else "\n".join(status_lines(reports)))
    return ExitCode.FAILED if find_problems(reports) else ExitCode.OK


def show_message(store: str, message_id: str, as_json: bool) -> ExitCode:
    """Print the replicas of a message. Return FAILED if there are none, UNUSABLE without answers."""
    reports = _collect(store, message_id)
    if reports is None:
        return ExitCode.UNUSABLE
    print(_to_json(reports) if as_json else "\n".join(message_lines(reports, message_id)))
    return ExitCode.OK if any(report.replica is not None for report in reports) else ExitCode.FAILED
