"""The extraction of the commands that CI runs from the README."""

from __future__ import annotations

from pathlib import Path

import pytest

from tools.readme_commands import NoCommandsError, section_commands

README = Path(__file__).resolve().parent.parent / "README.md"
TEXT = """\
# title

    before any section

## First

Some words
    that are not a block.

    one && two

    three
and a line of text.

## Second

```
    fenced
```

## First part

    four
"""


def test_only_indented_blocks_of_the_section_are_commands() -> None:
    assert section_commands(TEXT, "First") == ["one && two", "three"]
    assert section_commands(TEXT, "First part") == ["four"]


@pytest.mark.parametrize("section", ["Second", "Third", "title"])
def test_section_without_commands_raises_an_error(section: str) -> None:
    with pytest.raises(NoCommandsError, match=section):
        section_commands(TEXT, section)


def test_readme_has_the_commands_that_ci_runs() -> None:
    assert any("emberlatch demo" in command for command in section_commands(README.read_text(), "Run it"))
    assert any(
        "try --kill" in command for command in section_commands(README.read_text(), "The whole system")
    )
    assert any("make test" in command for command in section_commands(README.read_text(), "Test it"))
