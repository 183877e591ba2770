"""The command `batch`: submits a file as a batch job, one message per line."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from emberlatch.cluster.batch import BatchProgress, BatchRoute, BatchSender, ItemState
from emberlatch.cluster.cli.exit_code import ExitCode

PROGRESS_SUFFIX = ".progress"


class ArgumentError(ValueError):
    """The route, a forwarder or the rate is invalid."""


def parse_route(to: str, forwarders: list[str]) -> BatchRoute:
    """Parse HOST/PATH of the route and HOST:PORT of each forwarder. Raises ArgumentError."""
    host, slash, path = to.partition("/")
    if not host or not slash:
        raise ArgumentError(f"{to}: HOST/PATH of a route expected")
    if not forwarders:
        raise ArgumentError("HOST:PORT of a forwarder expected")
    return BatchRoute(host, slash + path, tuple(map(_parse_forwarder, forwarders)))


def _parse_forwarder(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not port.isdigit():
        raise ArgumentError(f"{text}: HOST:PORT of a forwarder expected")
    return host, int(port)


def send(file: Path, to: str, forwarders: list[str], per_s: float, progress: Path | None) -> ExitCode:
    """Submit the messages that are not completed yet.

    Return FAILED if a message was not completed, UNUSABLE for invalid arguments.
    """
    try:
        route = parse_route(to, forwarders)
        if per_s <= 0:
            raise ArgumentError(f"{per_s}: a rate above 0 messages per second expected")
        bodies = file.read_bytes().splitlines()
    except ArgumentError as error:
        print(f"emberlatch-cluster batch: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE
    except OSError as error:
        print(f"{file}:0: can't be read: {error.strerror}", file=sys.stderr)
        return ExitCode.UNUSABLE
    progress_log = BatchProgress(progress or file.with_name(file.name + PROGRESS_SUFFIX))
    sender = BatchSender(file.stem, bodies, route, progress_log)
    print(f"{len(bodies)} messages, {dict(sender.counts())}")
    asyncio.run(sender.run(per_s))
    progress_log.close()
    return _report(sender, len(bodies))


def _report(sender: BatchSender, count: int) -> ExitCode:
    counts = sender.counts()
    print(dict(counts))
    for item in sender.items:
        if item.state is not ItemState.COMPLETED:
            print(f"line {item.number + 1}: {item.state.value} under {item.id}")
    return ExitCode.OK if counts[ItemState.COMPLETED.value] == count else ExitCode.FAILED
