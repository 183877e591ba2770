"""JUnit XML: written results can be read again, and pytest's node ids are rebuilt from their parts."""

from __future__ import annotations

from pathlib import Path

import pytest

from tools.junit import CaseResult, Outcome, read_results, write_results


def test_written_results_are_read_unchanged(tmp_path: Path) -> None:
    results = (
        CaseResult("tests/cluster/test_a.py::a <mark> & an umlaut ä", Outcome.PASSED),
        CaseResult("tests/cluster/test_a.py::holds: for 'all'", Outcome.FAILED),
        CaseResult("tests/cluster/test_b.py::not here", Outcome.SKIPPED),
    )
    write_results(tmp_path / "results.xml", results)
    assert read_results(tmp_path / "results.xml") == results


@pytest.mark.parametrize(
    ("attributes", "test"),
    [
        ('file="tests/a/test_b.py" classname="tests.a.test_b" name="test_c"', "tests/a/test_b.py::test_c"),
        (
            'file="tests/test_b.py" classname="tests.test_b.TestC.TestD" name="test_e[1.5-x::y]"',
            "tests/test_b.py::TestC::TestD::test_e[1.5-x::y]",
        ),
        ('classname="" name="tests.test_broken"', "tests.test_broken"),
    ],
)
def test_node_id_is_rebuilt_from_the_attributes(tmp_path: Path, attributes: str, test: str) -> None:
    path = tmp_path / "results.xml"
    path.write_text(f"<testsuites><testsuite><testcase {attributes}/></testsuite></testsuites>")
    assert read_results(path) == (CaseResult(test, Outcome.PASSED),)


@pytest.mark.parametrize(
    ("child", "outcome"),
    [
        ("<failure/>", Outcome.FAILED),
        ("<error/>", Outcome.FAILED),
        ("<skipped/><error/>", Outcome.FAILED),
        ("<skipped/>", Outcome.SKIPPED),
        ("<system-out/>", Outcome.PASSED),
    ],
)
def test_outcome_follows_from_the_child_elements(tmp_path: Path, child: str, outcome: Outcome) -> None:
    path = tmp_path / "results.xml"
    path.write_text(
        f'<testsuite><testcase file="tests/test_a.py" name="test_b">{child}</testcase></testsuite>'
    )
    assert [result.outcome for result in read_results(path)] == [outcome]
