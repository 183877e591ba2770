"""The command `check`: validation of settings files and configurations."""

from __future__ import annotations

import sys
from pathlib import Path

from emberlatch.cluster.cli.exit_code import ExitCode
from emberlatch.cluster.settings import ConfigurationError, SettingsError, read_configuration, read_settings

MIN_TERM_CHARS = 3  # shorter words in an error message are not names


def check(files: list[Path]) -> ExitCode:
    """Print a line on standard error for each invalid file. Return UNUSABLE if there is one."""
    errors = [error for path in files if (error := _error_in(path)) is not None]
    for error in errors:
        print(error, file=sys.stderr)
    return ExitCode.UNUSABLE if errors else ExitCode.OK


def _error_in(path: Path) -> str | None:
    """Return the error in a settings file (.toml) or a configuration, or None if it is valid."""
    if path.suffix == ".toml":
        return _settings_error(path)
    try:
        raw = path.read_bytes()
    except OSError as error:
        return f"{path}:0: can't be read: {error.strerror}"
    try:
        read_configuration(raw)
    except ConfigurationError as error:
        reason = str(error)
        return f"{path}:{_line_of(raw, reason)}: {reason}"
    return None


def _settings_error(path: Path) -> str | None:
    try:
        read_settings(path)
    except SettingsError as error:
        return str(error)
    return None


def _line_of(raw: bytes, reason: str) -> int:
    """Return the number of the line that an error refers to; 0 if it can't be found.

    Takes the terms of `reason` from the last to the first, and searches the file for each in double quotes.
    Returns the first line that matches.
    """
    terms = [term.strip(":,") for term in reason.split() if len(term) >= MIN_TERM_CHARS]
    lines = raw.decode("utf-8", "replace").splitlines()
    for term in reversed(terms):
        for number, line in enumerate(lines, 1):
            if f'"{term}"' in line:
                return number
    return 0
