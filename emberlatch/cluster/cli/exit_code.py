"""Exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command; the help text of each command explains its codes."""

    OK = 0
    FAILED = 1  # the command ran, and found a problem or did not complete its work
    UNUSABLE = 2  # invalid arguments, or the input is missing
