"""The files and links that the documentation pages name exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("docs/glossary.md", "docs/architecture.md", "docs/newcomers-reading.md")

PATH = re.compile(r"`((?:emberlatch|tests|docs|deploy)/[A-Za-z0-9_./]+)`")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def named_paths(text: str) -> list[str]:
    """Return the paths of files and folders that a page names from the root of the repository."""
    return PATH.findall(text)


def missing(page: str) -> list[str]:
    """Return the paths and links of a page that do not exist."""
    text = (ROOT / page).read_text(encoding="utf-8")
    paths = [path for path in named_paths(text) if not (ROOT / path).exists()]
    links = [link for link in LINK.findall(text) if not ((ROOT / page).parent / link).exists()]
    return paths + links


@pytest.mark.parametrize("page", PAGES)
def test_named_files_and_links_exist(page: str) -> None:
    assert named_paths((ROOT / page).read_text(encoding="utf-8"))
    assert missing(page) == []


def test_missing_files_and_links_are_reported(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "page.md").write_text("see `emberlatch/missing.py` and [this](other.md)", encoding="utf-8")
    monkeypatch.setattr("tests.test_documents.ROOT", tmp_path)
    assert missing("page.md") == ["emberlatch/missing.py", "other.md"]
