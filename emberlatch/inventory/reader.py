"""The files of an inventory on disk: what is there, and the text of one. Nothing else here does I/O."""

from __future__ import annotations

import os
import re
import stat
from collections.abc import Iterable, Iterator
from itertools import islice
from pathlib import Path

from emberlatch.inventory.csvfile import parse_csv
from emberlatch.inventory.model import Inventory, Place, Problem, RefusedError, Vocabulary
from emberlatch.inventory.parsed import Parsed, Source
from emberlatch.inventory.settle import Signature
from emberlatch.inventory.whole import assemble
from emberlatch.inventory.yamlfile import parse_yaml

MOST_FILES = 2000
MOST_BYTES = 32 << 20  # of one file
PARSERS = {".csv": parse_csv, ".yaml": parse_yaml, ".yml": parse_yaml}

MOST_UNTEXT = 20
SCANNED = 1 << 18  # characters looked through at once
_UNTEXT = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\udc80-\udcff]")


class UnsettledError(Exception):
    """A file changed while it was read."""


def scan(paths: Iterable[Path]) -> dict[str, Signature]:
    """The inventory files under files and folders; raises RefusedError if there are too many.

    In folders, hidden files, backups and files with other endings are passed over.
    """
    found: dict[str, Signature] = {}
    for path in paths:
        for file in _files(path):
            try:
                found[str(file)] = _signature(os.stat(file))
            except OSError:
                continue  # gone since
            if len(found) > MOST_FILES:
                raise RefusedError([Problem(Place(str(path), 1), "", f"holds over {MOST_FILES} files")])
    return found


def _files(path: Path) -> Iterable[Path]:
    if not path.is_dir():
        return [path]
    return (
        file
        for file in sorted(path.rglob("*"))
        if file.suffix.lower() in PARSERS and not any(p[0] in ".#" for p in file.relative_to(path).parts)
    )


def read(path: str) -> tuple[Signature, bytes]:
    """A file's bytes and signature; UnsettledError if it was written meanwhile, OSError as it comes."""
    with open(path, "rb") as file:
        before = os.fstat(file.fileno())
        if not stat.S_ISREG(before.st_mode):
            raise OSError(0, "is not a regular file")
        data = file.read(MOST_BYTES + 1)
        after = os.fstat(file.fileno())
    if _signature(before) != _signature(after) or len(data) != min(after.st_size, MOST_BYTES + 1):
        raise UnsettledError(path)
    return _signature(after), data


def _signature(found: os.stat_result) -> Signature:
    return Signature(found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns, found.st_ctime_ns)


def parse(data: bytes, file: str, words: Vocabulary) -> Parsed:
    """What the bytes of a file say; the ending of its name tells the form."""
    source = Source(file)
    parser = PARSERS.get(Path(file).suffix.lower())
    if parser is None:
        source.problem(1, "", "is neither CSV nor YAML by its name", f"one of {', '.join(PARSERS)}")
        return source.parsed
    if len(data) > MOST_BYTES:
        source.problem(1, "", f"is over {MOST_BYTES >> 20} MiB", "several smaller files")
        return source.parsed
    text = data.decode("utf-8-sig", "surrogateescape")
    for at in islice(_untext(text), MOST_UNTEXT):  # of a file that is no text, some are enough
        line = text.count("\n", 0, at) + 1
        source.problem(line, "", f"holds {_told(text[at])}", "plain text, saved as UTF-8")
    if source.parsed.problems:
        text = _UNTEXT.sub(" ", text)
    parsed = parser(text, file, words)
    parsed.problems += source.parsed.problems
    return parsed


def _untext(text: str) -> Iterator[int]:
    """Where characters stand that are no text; a part at a time, for nothing else runs meanwhile."""
    for begin in range(0, len(text), SCANNED):
        for match in _UNTEXT.finditer(text, begin, begin + SCANNED):
            yield match.start()


def _told(character: str) -> str:
    """A character that is no text: a control character, or a byte that is not UTF-8."""
    code = ord(character)
    return f"the byte {code - 0xDC00:#04x}" if code >= 0xDC00 else f"the control character {character!r}"


def load(paths: Iterable[Path], words: Vocabulary) -> Inventory:
    """Read an inventory as it is now, once; raises RefusedError with all that is wrong."""
    paths = list(paths)
    parsed, unread = [], []
    for file in scan(paths):
        try:
            parsed.append(parse(read(file)[1], file, words))
        except (OSError, UnsettledError) as error:
            reason = "changes while it is read" if isinstance(error, UnsettledError) else str(error.strerror)
            unread.append(Problem(Place(file, 1), "", reason))
    unread += [Problem(Place(str(p), 1), "", "is not there") for p in paths if not p.exists()]
    if unread:
        raise RefusedError([*unread, *(problem for file in parsed for problem in file.problems)])
    return assemble(parsed, words)
