"""Finds, reads and parses inventory files. No other module reads them."""

from __future__ import annotations

import os
import re
import stat
from collections.abc import Iterable, Iterator
from itertools import islice
from pathlib import Path

from emberlatch.inventory.assembly import assemble
from emberlatch.inventory.csv_format import parse_csv
from emberlatch.inventory.model import Inventory, Problem, RefusedError, SourceLocation, Vocabulary
from emberlatch.inventory.parsed_file import ParsedFile, ParsedFileBuilder
from emberlatch.inventory.stability import FileSignature
from emberlatch.inventory.yaml_format import parse_yaml

MAX_FILES = 2000
MAX_FILE_BYTES = 32 << 20
PARSERS = {".csv": parse_csv, ".yaml": parse_yaml, ".yml": parse_yaml}

MAX_NON_TEXT_PROBLEMS = 20
SEARCH_CHUNK_CHARACTERS = 1 << 18
_NON_TEXT = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\udc80-\udcff]")
_FIRST_SURROGATE_ESCAPE = 0xDC00


class UnstableFileError(Exception):
    """Raised when a file changed while it was read, or may be incompletely written."""


def scan(paths: Iterable[Path]) -> dict[str, FileSignature]:
    """Return the signature of each inventory file at and under `paths`, by path.

    In folders, hidden files, backups and files with other extensions are ignored. Raises RefusedError
    if there are too many files.
    """
    found: dict[str, FileSignature] = {}
    for path in paths:
        for file in _files(path):
            try:
                found[str(file)] = _signature(os.stat(file))
            except OSError:
                continue  # deleted since the folder was listed
            if len(found) > MAX_FILES:
                location = SourceLocation(str(path), 1)
                raise RefusedError([Problem(location, "", f"holds over {MAX_FILES} files")])
    return found


def _files(path: Path) -> Iterable[Path]:
    if not path.is_dir():
        return [path]
    return (
        file
        for file in sorted(path.rglob("*"))
        if file.suffix.lower() in PARSERS and not any(p[0] in ".#" for p in file.relative_to(path).parts)
    )


def read(path: str) -> tuple[FileSignature, bytes]:
    """Return a file's signature and contents.

    Raises UnstableFileError if the file was written during the read, OSError if it can't be read.
    """
    with open(path, "rb") as file:
        before = os.fstat(file.fileno())
        if not stat.S_ISREG(before.st_mode):
            raise OSError(0, "is not a regular file")
        data = file.read(MAX_FILE_BYTES + 1)
        after = os.fstat(file.fileno())
    if _signature(before) != _signature(after) or len(data) != min(after.st_size, MAX_FILE_BYTES + 1):
        raise UnstableFileError(path)
    return _signature(after), data


def _signature(status: os.stat_result) -> FileSignature:
    return FileSignature(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)


def parse(data: bytes, file: str, vocabulary: Vocabulary) -> ParsedFile:
    """Parse a file's contents. The extension of the file's name determines the format."""
    builder = ParsedFileBuilder(file)
    parser = PARSERS.get(Path(file).suffix.lower())
    if parser is None:
        remedy = f"one of {', '.join(PARSERS)}"
        builder.add_problem(1, "", "is neither CSV nor YAML by its name", remedy)
        return builder.parsed
    if len(data) > MAX_FILE_BYTES:
        builder.add_problem(1, "", f"is over {MAX_FILE_BYTES >> 20} MiB", "several smaller files")
        return builder.parsed
    text = data.decode("utf-8-sig", "surrogateescape")
    for position in islice(_non_text_positions(text), MAX_NON_TEXT_PROBLEMS):
        line = text.count("\n", 0, position) + 1
        fault = f"holds {_describe_character(text[position])}"
        builder.add_problem(line, "", fault, "plain text, saved as UTF-8")
    if builder.parsed.problems:
        text = _NON_TEXT.sub(" ", text)
    parsed = parser(text, file, vocabulary)
    parsed.problems += builder.parsed.problems
    return parsed


def _non_text_positions(text: str) -> Iterator[int]:
    """Yield the positions of control characters and undecodable bytes.

    The text is searched in chunks, because each search call blocks all other threads: it does not release the
    interpreter lock.
    """
    for start in range(0, len(text), SEARCH_CHUNK_CHARACTERS):
        for match in _NON_TEXT.finditer(text, start, start + SEARCH_CHUNK_CHARACTERS):
            yield match.start()


def _describe_character(character: str) -> str:
    """Describe a control character, or a byte that is not UTF-8."""
    code = ord(character)
    if code >= _FIRST_SURROGATE_ESCAPE:
        return f"the byte {code - _FIRST_SURROGATE_ESCAPE:#04x}"
    return f"the control character {character!r}"


def load(paths: Iterable[Path], vocabulary: Vocabulary) -> Inventory:
    """Read an inventory from the files as they are now; raises RefusedError with every problem."""
    paths = list(paths)
    parsed: list[ParsedFile] = []
    unread: list[Problem] = []
    for file in scan(paths):
        try:
            parsed.append(parse(read(file)[1], file, vocabulary))
        except UnstableFileError:
            unread.append(Problem(SourceLocation(file, 1), "", "changes while it is read"))
        except OSError as error:
            unread.append(Problem(SourceLocation(file, 1), "", str(error.strerror)))
    unread += missing_paths(paths)
    if unread:
        raise RefusedError([*unread, *(problem for file in parsed for problem in file.problems)])
    return assemble(parsed, vocabulary)


def missing_paths(paths: Iterable[Path]) -> list[Problem]:
    """Return a problem for each configured path that does not exist."""
    return [Problem(SourceLocation(str(path), 1), "", "is not there") for path in paths if not path.exists()]
