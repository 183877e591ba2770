"""Reads and writes test results as JUnit XML, the format used for both test runners, pytest and ward."""

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

    `test` is the node id of a pytest test. For a ward test it is the file, `::` and the description.
    """

    test: str
    outcome: Outcome


def read_results(path: Path) -> tuple[CaseResult, ...]:
    """Read the test cases of a JUnit file.

    Raises `OSError` if the file can't be read, and `ElementTree.ParseError` if it is not valid XML.
    """
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
    """Rebuild the test id from the attributes of a test case.

    pytest splits `tests/test_a.py::TestB::test_c` into the class name `tests.test_a.TestB` and the name
    `test_c`. The entry for a file that pytest could not collect has only a name.
    """
    file = case.get("file", "")
    name = case.get("name", "")
    if not file:
        return "::".join(part for part in (case.get("classname", ""), name) if part)
    module = ".".join(PurePosixPath(file.removesuffix(MODULE_SUFFIX)).parts)
    classes = case.get("classname", "").removeprefix(module).strip(".")
    return "::".join([file, *(classes.split(".") if classes else []), name])
