"""Print the commands of a section of the README, one per line.

`python tools/readme_commands.py README.md "Run it"`. CI runs the printed commands, which tests the
instructions that a newcomer reads. The script uses only the standard library, because CI calls it before
anything is installed.
"""

from __future__ import annotations

import sys
from pathlib import Path

HEADING = "## "
INDENT = " " * 4


class NoCommandsError(Exception):
    """Raised if a section is missing or has no indented block."""


def section_commands(text: str, section: str) -> list[str]:
    """Return the lines of the indented blocks below the heading `section`; each line is one command."""
    commands: list[str] = []
    inside = False
    in_block = False
    previous_blank = True
    for line in text.splitlines():
        if line.startswith(HEADING):
            inside = line.removeprefix(HEADING).strip() == section
        # Markdown starts an indented block only after an empty line.
        in_block = line.startswith(INDENT) and (in_block or previous_blank)
        previous_blank = not line.strip()
        if inside and in_block and not previous_blank:
            commands.append(line.strip())
    if not commands:
        raise NoCommandsError(f"no commands under '{section}'")
    return commands


def main() -> int:
    """Print the commands of the section that the arguments name."""
    readme, section = sys.argv[1:]
    try:
        commands = section_commands(Path(readme).read_text(encoding="utf-8"), section)
    except NoCommandsError as error:
        print(f"{readme}: {error}", file=sys.stderr)
        return 1
    print("\n".join(commands))
    return 0


if __name__ == "__main__":
    sys.exit(main())
