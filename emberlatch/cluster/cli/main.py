"""`emberlatch-cluster`: declarations of the commands and their arguments; the other modules implement them.

Operators depend on the names of commands and options, so these names must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from emberlatch.cluster import events
from emberlatch.cluster.cli import backup, batch, disk, growth, simulate, status, trial, validation


@cappa.command(name="check", help="Check a settings file (.toml) or an operator's configuration (.json).")
@dataclass
class Check:
    """Prints a line on standard error for each invalid file; exit code 2 if there is one."""

    files: Annotated[list[Path], cappa.Arg(help="files to check", num_args=-1)] = field(default_factory=list)

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=validation.check(self.files))


@cappa.command(name="events", help="The catalogue of the events that processes log.")
@dataclass
class Events:
    """Prints Markdown."""

    def __call__(self) -> None:
        """Run the command."""
        print(events.catalogue(), end="")


@cappa.command(name="show", help="What a machine's disk contains; the process must not run.")
@dataclass
class Show:
    """Prints counts, versions and damages."""

    folder: Annotated[Path, cappa.Arg(help="the data folder of the process")]
    verify: Annotated[bool, cappa.Arg(long=True, help="read every record; exit code 1 if one is damaged")] = (
        False
    )

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=disk.show(self.folder, self.verify))


@cappa.command(name="export", help="Back up the state: one file from the disks of stopped machines.")
@dataclass
class Export:
    """Reads the folders of all available machines; the setting `resilience` says how many may be missing.

    Exit code 2 if a folder can't be read.
    """

    folders: Annotated[list[Path], cappa.Arg(help="data folders", num_args=-1)]
    to: Annotated[Path, cappa.Arg(long=True, help="the file")]

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=backup.export(self.folders, self.to))


@cappa.command(name="restore", help="Restore a backup on the empty disk of one machine; call it for each.")
@dataclass
class Restore:
    """Use it only if the old cluster is lost: messages that ended after the backup are delivered again.

    Exit code 1 if the backup is damaged, 2 if the folder is not empty.
    """

    file: Annotated[Path, cappa.Arg(help="the backup")]
    into: Annotated[Path, cappa.Arg(long=True, help="the machine's data folder")]
    node: Annotated[str, cappa.Arg(long=True, help="the machine's name")]
    nodes: Annotated[str, cappa.Arg(long=True, help="names of all machines that get a part, by commas")]
    copies: Annotated[int, cappa.Arg(long=True, help="replicas of each record")] = 2

    def __call__(self) -> None:
        """Run the command."""
        names = [name for name in self.nodes.split(",") if name]
        raise cappa.Exit(code=backup.restore(self.file, self.into, self.node, names, self.copies))


@cappa.command(name="state", help="Disks of machines: show their contents, back them up, restore a backup.")
@dataclass
class State:
    """The processes of the machines must be stopped."""

    command: cappa.Subcommands[Show | Export | Restore]


@cappa.command(name="try", help="Start a cluster on loopback addresses, with targets and clients.")
@dataclass
class Try:
    """Prints the answers and deliveries of each second, and the final states of the messages."""

    seconds: Annotated[float, cappa.Arg(long=True, help="for how long clients submit messages")] = 10.0
    per_s: Annotated[float, cappa.Arg(long="--per-s", help="messages a second")] = 40.0
    kill: Annotated[bool, cappa.Arg(long=True, help="kill a store half-way")] = False
    other_checkout: Annotated[
        Path | None,
        cappa.Arg(
            long="--from", help="try a roll-out: begin with this checkout, replace it machine by machine"
        ),
    ] = None

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=trial.run(self.seconds, self.per_s, self.kill, self.other_checkout))


@cappa.command(name="simulate", help="Play drawn days of simulated clusters, and check the rules.")
@dataclass
class Simulate:
    """Exit code 1 if a rule was broken; the same seed simulates the same day again."""

    seed: Annotated[int, cappa.Arg(long=True, help="the first seed")] = 1
    days: Annotated[int, cappa.Arg(long=True, help="how many")] = 1
    jobs: Annotated[int, cappa.Arg(long=True, help="processes")] = 1
    log: Annotated[bool, cappa.Arg(long=True, help="print what the processes log")] = False
    strange: Annotated[bool, cappa.Arg(long=True, help="more losses than the settings allow")] = False
    large: Annotated[bool, cappa.Arg(long=True, help="deployments that have grown")] = False
    shrink: Annotated[bool, cappa.Arg(long=True, help="leave out faults as long as a rule still breaks")] = (
        False
    )

    def __call__(self) -> None:
        """Run the command."""
        options = simulate.SimulationOptions(
            self.seed, self.days, self.jobs, self.log, self.strange, self.large, self.shrink
        )
        raise cappa.Exit(code=simulate.run(options))


@cappa.command(name="batch", help="Submit a file, a message a line; resumes where an earlier call stopped.")
@dataclass
class Batch:
    """Exit code 0 if all messages were delivered, 1 if some were not, 2 if an argument is invalid."""

    file: Annotated[Path, cappa.Arg(help="the messages")]
    to: Annotated[str, cappa.Arg(long=True, help="HOST/PATH of the route")]
    front: Annotated[list[str], cappa.Arg(long=True, help="HOST:PORT of a forwarder; may be given again")]
    per_s: Annotated[float, cappa.Arg(long="--per-s", help="messages a second at most")] = 20.0
    progress: Annotated[Path | None, cappa.Arg(long=True, help="where to store the progress")] = None

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=batch.send(self.file, self.to, self.front, self.per_s, self.progress))


@cappa.command(
    name="growth", help="What heartbeats, a start and a new configuration cost as a cluster grows."
)
@dataclass
class Growth:
    """Column `over`: bytes sent to another zone. Exit code 2 if a size is malformed."""

    sizes: Annotated[list[str], cappa.Arg(help="FORWARDERS/STORES, several", num_args=-1)] = field(
        default_factory=list
    )
    zones: Annotated[int, cappa.Arg(long=True, help="zones")] = 3
    targets: Annotated[int, cappa.Arg(long=True, help="targets that send heartbeats")] = 10
    json: Annotated[bool, cappa.Arg(long=True, help="a JSON object a line")] = False

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=growth.measure_growth(self.sizes, self.zones, self.targets, self.json))


@cappa.command(name="mending", help="What the repair of a store costs after it was away.")
@dataclass
class Repair:
    """Column `least`: bytes of the missing records alone; column `again`: bytes of the next comparison.

    Exit code 2 if a size is malformed.
    """

    sizes: Annotated[list[str], cappa.Arg(help="RECORDS/LACKING, several", num_args=-1)] = field(
        default_factory=list
    )
    json: Annotated[bool, cappa.Arg(long=True, help="a JSON object a line")] = False

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=growth.measure_repair(self.sizes, self.json))


@cappa.command(name="status", help="What the stores of a running cluster report, and where they disagree.")
@dataclass
class Status:
    """Exit code 0 if all stores agree, 1 if there is a problem, 2 if no store answers."""

    at: Annotated[str, cappa.Arg(help="HOST:PORT of any store, its port for other processes")]
    json: Annotated[bool, cappa.Arg(long=True, help="one JSON object")] = False

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=status.show_status(self.at, self.json))


@cappa.command(name="why", help="What each store has of one message.")
@dataclass
class Why:
    """Exit code 0 if a store has the message, 1 if none has it, 2 if no store answers."""

    id: Annotated[str, cappa.Arg(help="the message's name, the id of the attempt that was answered 202")]
    at: Annotated[str, cappa.Arg(long=True, help="HOST:PORT of any store, its port for other processes")]
    json: Annotated[bool, cappa.Arg(long=True, help="one JSON object")] = False

    def __call__(self) -> None:
        """Run the command."""
        raise cappa.Exit(code=status.show_message(self.at, self.id, self.json))


@cappa.command(name="emberlatch-cluster", help="An ingest and dispatch service as a cluster.")
@dataclass
class ClusterCommands:
    """All commands."""

    command: cappa.Subcommands[
        Batch | Check | Events | Growth | Repair | State | Status | Try | Simulate | Why
    ]


def main() -> None:
    """Parse the command line and run the command."""
    cappa.invoke(ClusterCommands)
