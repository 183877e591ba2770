"""Run all ward and pytest tests and print the verdict: `python -m tools.run_tests`."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from xml.etree.ElementTree import ParseError

from tools.junit import CaseResult, read_results
from tools.known_red import KnownRedList, RunnerReport, Verdict, judge, parse_known_red, render
from tools.ward_junit import RESULTS_VARIABLE

WARD_FOLDERS = ("tests/cluster",)
# A run of ward takes as long as its longest file, provided that enough files run at once.
WARD_PROCESSES = max(4, (os.cpu_count() or 1) // 2)


def run(root: Path) -> Verdict:
    """Run every test of the checkout at `root` once and judge the results."""
    known = _known_red(root / "KNOWN-RED.txt")
    with tempfile.TemporaryDirectory(prefix="emberlatch-results-") as name:
        folder = Path(name)
        reports = [*_run_ward(root, folder), _run_pytest(root, folder)]
    return judge(known, reports)


def main() -> int:
    """Run every test of this checkout; return 0 if only tests failed that KNOWN-RED.txt lists."""
    verdict = run(Path(__file__).resolve().parent.parent)
    print(render(verdict), flush=True)
    return 0 if verdict.green else 1


def _run_ward(root: Path, folder: Path) -> list[RunnerReport]:
    """Run ward once for each of its test files, at most `WARD_PROCESSES` at a time."""
    files = sorted(path for name in WARD_FOLDERS for path in (root / name).glob("test_*.py"))
    if not files:
        return [RunnerReport("ward", 0, ())]
    with ThreadPoolExecutor(WARD_PROCESSES) as pool:
        return list(pool.map(lambda file: _run_ward_file(root, file.relative_to(root), folder), files))


def _run_ward_file(root: Path, file: Path, folder: Path) -> RunnerReport:
    results = folder / f"{file.parent.name}-{file.stem}.xml"
    command = ["-m", "ward", "test", "--path", str(file), "--hook-module", "tools.ward_junit"]
    ended = subprocess.run(
        [sys.executable, *command],
        cwd=root,
        env=os.environ | {RESULTS_VARIABLE: str(results)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )
    # Write the output of a file at once, so that it does not mix with that of files that run concurrently.
    sys.stdout.buffer.write(ended.stdout)
    sys.stdout.flush()
    return RunnerReport(f"ward {file}", ended.returncode, _results(results))


def _run_pytest(root: Path, folder: Path) -> RunnerReport:
    """Run pytest, which collects all tests except those of ward."""
    results = folder / "pytest.xml"
    command = ["-m", "pytest", "-q", "-n", "auto", "--dist", "worksteal"]
    # The older format, xunit1, includes the file of each test, which is needed to rebuild the node id.
    junit = ["-o", "junit_family=xunit1", f"--junitxml={results}"]
    ended = subprocess.run([sys.executable, *command, *junit], cwd=root, check=False)
    return RunnerReport("pytest", ended.returncode, _results(results))


def _results(path: Path) -> tuple[CaseResult, ...]:
    """Read a runner's results; return none if it aborted without writing them, which the verdict reports."""
    try:
        return read_results(path)
    except (OSError, ParseError):
        return ()


def _known_red(path: Path) -> KnownRedList:
    if not path.exists():
        return KnownRedList()
    return parse_known_red(path.read_text(encoding="utf-8"))


if __name__ == "__main__":
    sys.exit(main())
