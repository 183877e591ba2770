"""Forbidden words do not occur in the names and texts of the packages.

The words belong to an earlier private vocabulary of this project. The list of words was given by the users;
docs/glossary.md maps each word to the common term that replaces it.
"""

from __future__ import annotations

import ast
import gc
import re
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

FORBIDDEN_WORD_LIST = (
    "told whole held news word words lives beat beats ill sick mates fellows kin letter errand book "
    "mend mended mending mends settle settled settles silence crowd rope room wish wishes further "
    "turned crew lot sent_on thrown lookout cairn refuge trailhead descent waymark caravan huts "
    "ration rations rationed bulk mishap keeper keepers saves helper helpers door resting parcel "
)
FORBIDDEN_WORDS = frozenset(FORBIDDEN_WORD_LIST.split())

CHECKED_PACKAGES = (
    "emberlatch/admission",
    "emberlatch/as2",
    "emberlatch/cli",
    "emberlatch/cluster",
    "emberlatch/config",
    "emberlatch/core",
    "emberlatch/demo",
    "emberlatch/directory",
    "emberlatch/engine",
    "emberlatch/faults",
    "emberlatch/fleet",
    "emberlatch/inventory",
    "emberlatch/net",
    "emberlatch/operations",
    "emberlatch/platform",
    "emberlatch/simlink",
    "emberlatch/simulation",
    "emberlatch/standalone",
    "emberlatch/standins",
    "emberlatch/store",
    "emberlatch/storm",
    "emberlatch/takeover",
)
"""The packages that are checked. Packages may be added but not removed."""

ALLOWED_TEXTS = {
    "dead_letter": "a message's state in the users' pages",
    "keepers": "a key of records on disk and between processes",
    "beat": "a method between processes of which versions run side by side",
    "news": "a method between processes of which versions run side by side",
    "mend": "a method between processes of which versions run side by side",
    "mending": "a command of emberlatch-cluster",
    "huts": "the package's name in checkouts and backups of earlier versions",
    "word": "a folder on disk of earlier versions",
}
"""Texts in which a forbidden word is allowed in every module, each with the reason."""

ALLOWED_LITERALS = {
    ("emberlatch/engine/engine.py", "held"): "a key of the gateway's status, which scripts read",
    ("emberlatch/standalone/answers.py", "held"): "a key of the gateway's status, which scripts read",
    ("emberlatch/standalone/outcome_log.py", "held"): "a message's state in the users' pages",
    ("emberlatch/as2/evaluation.py", "told "): "in a text that the ledger stores",
    ("emberlatch/as2/orders.py", "The message is taken on; its end is told as agreed."): "sent in receipts",
    ("emberlatch/faults/plan.py", "door"): "a fault's name in plan files",
    ("emberlatch/config/schema.py", "settle"): "a key of the users' configuration file",
    ("emberlatch/simlink/settings.py", "order-settle"): "a key of the simulator's settings",
    ("emberlatch/core/handover.py", "held"): "a key of the state that the next process reads",
    ("emberlatch/core/handover.py", "crowd"): "a key of the state that the next process reads",
    ("emberlatch/core/handover.py", "room"): "a key of the state that the next process reads",
    ("emberlatch/core/records.py", "silence"): "a value in the state that the next process reads",
    ("emberlatch/core/settings.py", "rules.order-settle"): "the name of a setting of the simulator",
    ("emberlatch/core/view.py", "sick"): "a key of the users' status",
    ("emberlatch/core/view.py", "held"): "a route's state in the users' status",
    ("emberlatch/core/view.py", "told to wait"): "a route's state in the users' status",
    ("emberlatch/store/state_log.py", "book"): "the suffix of files on disk",
    ("emberlatch/fleet/generation_store.py", "lives"): "a file in the state folder",
    ("emberlatch/storm/history.py", "settled"): "the stored name of a kind of events in kept histories",
    ("emberlatch/storm/history.py", "told"): "a key of kept histories",
    ("emberlatch/storm/history.py", "wish"): "a key of kept histories",
}
"""Texts that are allowed in one module, as a complete string literal only, each with the reason."""


def forbidden_words_in(identifier: str) -> set[str]:
    """Return the forbidden words in an identifier, which is written in snake case or camel case."""
    parts = re.findall(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])", identifier)
    return {part.lower() for part in parts} & FORBIDDEN_WORDS


def defined_names(tree: ast.AST) -> list[tuple[int, str]]:
    """Return every identifier that a module defines, with its line."""
    names: list[tuple[int, str]] = []
    for node in ast.walk(tree):
        match node:
            case ast.FunctionDef() | ast.AsyncFunctionDef() | ast.ClassDef():
                names.append((node.lineno, node.name))
            case ast.arg():
                names.append((node.lineno, node.arg))
            case ast.Name(ctx=ast.Store()):
                names.append((node.lineno, node.id))
            case ast.Attribute(ctx=ast.Store()):
                names.append((node.lineno, node.attr))
            case _:
                pass
    return names


def texts(tree: ast.AST) -> list[tuple[int, str]]:
    """Return every string literal of a module, including docstrings, with its line."""
    return [
        (node.lineno, node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    ]


@contextmanager
def garbage_collection_paused() -> Iterator[None]:
    """Collect no garbage within the context.

    Early versions of Python 3.11 raise SystemError if a finalizer that runs while a module is parsed has its
    traceback printed, for that parses as well. Objects that other tests left behind have such finalizers.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def findings(source: str, name: str) -> list[str]:
    """Return a line for each defined name and each text of a module that contains a forbidden word."""
    with garbage_collection_paused():
        tree = ast.parse(source)
    found = [
        f"{name}:{line}: {identifier}"
        for line, identifier in defined_names(tree)
        if forbidden_words_in(identifier)
    ]
    for line, text in texts(tree):
        allowed = {word for word in ALLOWED_TEXTS if text == word or f"`{word}`" in text}
        if (name, text) in ALLOWED_LITERALS:
            continue
        words = FORBIDDEN_WORDS & set(re.findall(r"[a-z_]+", text.lower())) - allowed
        if words:
            found.append(f"{name}:{line}: {' '.join(sorted(words))} in {text[:60]!r}")
    return found


def findings_in(paths: Iterable[Path]) -> list[str]:
    """Return the findings in several modules."""
    return [
        line
        for path in sorted(paths)
        for line in findings(path.read_text(encoding="utf-8"), str(path.relative_to(ROOT)))
    ]


@pytest.mark.parametrize("package", CHECKED_PACKAGES)
def test_checked_packages_contain_no_forbidden_word(package: str) -> None:
    assert findings_in((ROOT / package).rglob("*.py")) == []


def test_top_level_modules_contain_no_forbidden_word() -> None:
    assert findings_in((ROOT / "emberlatch").glob("*.py")) == []


def test_all_packages_are_checked() -> None:
    packages = {f"emberlatch/{path.parent.name}" for path in (ROOT / "emberlatch").glob("*/__init__.py")}
    assert packages == set(CHECKED_PACKAGES)


@pytest.mark.parametrize(
    "planted",
    [
        "told = 1",
        "def mend(): ...",
        "class LettersOfNews: ...",
        "def f(beat): ...",
        "x.held = 2",
        "log('the rope')",
    ],
)
def test_forbidden_word_in_a_name_or_text_is_reported(planted: str) -> None:
    assert findings(planted, "planted.py")


@pytest.mark.parametrize(("module", "key"), ALLOWED_LITERALS)
def test_allowed_literal_is_accepted_only_in_its_module_and_as_a_complete_literal(
    module: str, key: str
) -> None:
    assert findings(f"x = {key!r}", module) == []
    assert findings(f"x = {key!r}", "planted.py")
    assert findings(f"x = 'to {key} it'", module)


def test_terms_that_contain_a_forbidden_word_as_a_part_are_accepted() -> None:
    source = "heartbeat = threshold = 1\ndef withhold(bookmark, skill): ...\n"
    assert findings(source, "planted.py") == []
