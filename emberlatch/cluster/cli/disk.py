"""The command `state show`: the contents of a machine's disk."""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.cluster.cli.stored_records import (
    RECORDS_FILE,
    DamagedRecord,
    passes_integrity_check,
    read_records,
)
from emberlatch.cluster.consensus import ControlState
from emberlatch.cluster.consensus.storage import read_state
from emberlatch.cluster.control_plane import CONTROL_FOLDER
from emberlatch.cluster.message_store import STATE_LABELS, MessageState, Record
from emberlatch.cluster.settings import ConfigurationError, read_configuration


@dataclass
class DiskContents:
    """Summary of the records on a disk.

    Attributes:
        by_state: number of records by the label of their state.
        queued_by_owner: number of records that wait for delivery, by the owning store.
        body_bytes: total size of the message bodies.
        damages: a line for each damage that was found.
    """

    by_state: Counter[str] = field(default_factory=Counter)
    queued_by_owner: Counter[str] = field(default_factory=Counter)
    body_bytes: int = 0
    damages: list[str] = field(default_factory=list)

    def add(self, record: Record) -> None:
        """Count one record."""
        self.by_state[STATE_LABELS[record.state]] += 1
        self.queued_by_owner[record.owner] += record.state is MessageState.QUEUED
        self.body_bytes += len(record.body or b"")


def read_contents(database: Path, verify: bool) -> DiskContents:
    """Read all records. With `verify`, also report queued records without a body and a corrupt database."""
    contents = DiskContents()
    for record in read_records(database):
        if isinstance(record, DamagedRecord):
            contents.damages.append(f"damaged {record.id}: {record.error}")
            continue
        contents.add(record)
        if verify and record.state is MessageState.QUEUED and record.body is None:
            contents.damages.append(f"damaged {record.id}: it is queued, and has no body")
    if verify and not passes_integrity_check(database):
        contents.damages.append("damaged: the database's integrity check fails")
    return contents


def _content_lines(contents: DiskContents) -> list[str]:
    states = " ".join(f"{name}={count}" for name, count in sorted(contents.by_state.items()))
    owners = " ".join(f"{name}={count}" for name, count in sorted(contents.queued_by_owner.items()) if count)
    return [
        *contents.damages,
        f"records  {states} body_bytes={contents.body_bytes}",
        f"queued   {owners}",
    ]


def _control_lines(state: ControlState | None) -> list[str]:
    lines = []
    if state is not None:
        voters = ",".join(voter.node for voter in state.voters)
        lines.append(f"control  version={state.version} epoch={state.epoch} voters={voters}")
    return [*lines, f"config   {_configuration_counts(state)}"]


def _configuration_counts(state: ControlState | None) -> str:
    if state is None or not state.text:
        return "none"
    try:
        config = read_configuration(state.text)
    except ConfigurationError:
        return "none"
    counts = f"routes={len(config.route_entries)} services={len(config.services)}"
    return f"revision={config.revision} {counts}"


def show(folder: Path, verify: bool) -> ExitCode:
    """Print the contents of a stopped process's data folder.

    Return FAILED if something is damaged, UNUSABLE if the folder has no record database.
    """
    database = folder / RECORDS_FILE
    if not database.exists():
        print(f"{folder}: not a data folder: {RECORDS_FILE} not found", file=sys.stderr)
        return ExitCode.UNUSABLE
    contents = read_contents(database, verify)
    print("\n".join(_content_lines(contents)))
    print("\n".join(_control_lines(read_state(folder / CONTROL_FOLDER))))
    return ExitCode.FAILED if contents.damages else ExitCode.OK
