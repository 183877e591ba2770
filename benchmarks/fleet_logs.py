"""Adds up the counters in the logs of all forwarders of a simulated day, per second.

    python -m benchmarks.fleet_logs FOLDER [--targets] [--notes]

FOLDER holds one log per forwarder, in which each line begins with the second of the day. The counters of a
line are attributed to the second in which it was written. A forwarder without work writes no counters.
"""

from __future__ import annotations

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path

LINE = re.compile(r"^(?P<at>[\d.]+) .*?: (?P<text>.*)$")
NOTE = re.compile(r"^destination \d+ \([0-9a-f]+\): (?P<what>.*)$")
COLUMNS = (
    "accepted",
    "rejected",
    "journal full",
    "failed at submission",
    "bounced",
    "dead",
    "closed by target",
    "delivered",
    "late",
    "dispatches",
)
DIRECTORY_REQUESTS = ("asks", "lists", "ask failed")
RESULTS = ("calls", "ok", "full", "error", "timeout", "connect_failed", "reset", "not_executed", "connects")


def read(folder: Path) -> Iterator[tuple[float, str]]:
    """Yield the second of the day and the text of every line of every log."""
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if (found := LINE.match(line)) is not None:
                yield float(found["at"]), found["text"]


class Sums:
    """The counters of all forwarders, added up per second."""

    def __init__(self) -> None:
        self.totals: dict[int, Counter[str]] = defaultdict(Counter)
        self.targets: dict[str, dict[int, Counter[str]]] = defaultdict(lambda: defaultdict(Counter))
        self.notes: dict[int, Counter[str]] = defaultdict(Counter)

    def add(self, at: float, text: str) -> None:
        """Add a line of a log."""
        second = int(at)
        if text.startswith("sums "):
            document = json.loads(text.removeprefix("sums "))
            self.totals[second].update(document["all"])
            for target, counts in document["targets"].items():
                self.targets[target][second].update(counts)
        elif (note := NOTE.match(text)) is not None:
            self.notes[second][note["what"]] += 1

    def table(self) -> Iterator[str]:
        """Yield a row per second: messages, requests to the directory, then calls to all targets."""
        names = (*COLUMNS, *DIRECTORY_REQUESTS, *RESULTS)
        yield " ".join(["second", *(name.replace(" ", "-").rjust(7) for name in names)])
        calls: dict[int, Counter[str]] = defaultdict(Counter)
        for seconds in self.targets.values():
            for second, counts in seconds.items():
                calls[second].update(counts)
        for second in sorted(self.totals | calls):
            row = self.totals[second] + calls[second]
            yield " ".join([f"{second:6}", *(f"{row[n]:{max(7, len(n))}}" for n in names)])

    def by_target(self) -> Iterator[str]:
        """Yield the totals of each target, followed by a row per second in which it was called."""
        for target, seconds in sorted(self.targets.items()):
            total = sum(seconds.values(), Counter[str]())
            yield f"{target}: {dict(total)}"
            for second, counts in sorted(seconds.items()):
                yield f"  {second:4} " + " ".join(
                    f"{name}={counts[name]}" for name in RESULTS if counts[name]
                )


def main() -> None:
    """Read the logs and print the tables that the options select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--targets", action="store_true", help="each target's calls by second")
    parser.add_argument("--notes", action="store_true", help="log notes about destinations by second")
    options = parser.parse_args()
    sums = Sums()
    for at, text in read(options.folder):
        sums.add(at, text)
    for line in sums.table():
        print(line)
    for line in sums.by_target() if options.targets else ():
        print(line)
    for second, notes in sorted(sums.notes.items()) if options.notes else ():
        print(second, dict(notes))


if __name__ == "__main__":
    main()
