"""A ward hook that writes the results of a session as JUnit XML, a format that ward itself lacks."""

from __future__ import annotations

import os
from pathlib import Path

from ward.config import Config
from ward.hooks import hook
from ward.models import ExitCode
from ward.testing import TestOutcome, TestResult

from tools.junit import CaseResult, Outcome, write_results

RESULTS_VARIABLE = "WARD_JUNIT_XML"

OUTCOMES = {
    TestOutcome.PASS: Outcome.PASSED,
    TestOutcome.FAIL: Outcome.FAILED,
    TestOutcome.XPASS: Outcome.FAILED,  # ward fails the session on an unexpected pass
    TestOutcome.SKIP: Outcome.SKIPPED,
    TestOutcome.XFAIL: Outcome.SKIPPED,  # pytest also reports an expected failure as skipped in JUnit XML
    TestOutcome.DRYRUN: Outcome.SKIPPED,
}


@hook
def after_session(config: Config, test_results: list[TestResult], status_code: ExitCode) -> None:
    """Write the results to the file named by the environment variable `WARD_JUNIT_XML`."""
    root = Path.cwd()
    write_results(
        Path(os.environ[RESULTS_VARIABLE]),
        [
            CaseResult(
                f"{result.test.path.relative_to(root).as_posix()}::{result.test.description}",
                OUTCOMES[result.outcome],
            )
            for result in test_results
        ],
    )
