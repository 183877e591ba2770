"""Test results as JUnit XML, the one format in which both test runners leave them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path, PurePosixPath
from xml.etree import ElementTree

MODULE_SUFFIX = ".py"


class Outcome(Enum):
    """How a test ended."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@dataclass(frozen=True)
class CaseResult:
    """One test and its outcome.

    `test` is a pytest node id, or the file of a ward test, `::` and the test's description.
    """

    test: str
    outcome: Outcome


def read_results(path: Path) -> tuple[CaseResult, ...]:
    """Read the test cases of a JUnit file; raises `ElementTree.ParseError` or `OSError` if that fails."""
    root = ElementTree.parse(path).getroot()
    return tuple(CaseResult(_test_id(case), _outcome(case)) for case in root.iter("testcase"))


def write_results(path: Path, results: Sequence[CaseResult]) -> None:
    """Write results as a JUnit file that `read_results` reads."""
    suite = ElementTree.Element("testsuite")
    for result in results:
        file, name = result.test.split("::", 1)
        case = ElementTree.SubElement(suite, "testcase", file=file, name=name)
        if result.outcome is Outcome.FAILED:
            ElementTree.SubElement(case, "failure")
        elif result.outcome is Outcome.SKIPPED:
            ElementTree.SubElement(case, "skipped")
    ElementTree.ElementTree(suite).write(path, encoding="utf-8", xml_declaration=True)


def _outcome(case: ElementTree.Element) -> Outcome:
    if case.find("failure") is not None or case.find("error") is not None:
        return Outcome.FAILED
    if case.find("skipped") is not None:
        return Outcome.SKIPPED
    return Outcome.PASSED


def _test_id(case: ElementTree.Element) -> str:
    """Put the parts of a node id together again.

    pytest splits `tests/test_a.py::TestB::test_c` into the class name `tests.test_a.TestB` and the name
    `test_c`. A file that can't be collected has a name alone.
    """
    file = case.get("file", "")
    name = case.get("name", "")
    if not file:
        return "::".join(part for part in (case.get("classname", ""), name) if part)
    module = ".".join(PurePosixPath(file.removesuffix(MODULE_SUFFIX)).parts)
    classes = case.get("classname", "").removeprefix(module).strip(".")
    return "::".join([file, *(classes.split(".") if classes else []), name])
