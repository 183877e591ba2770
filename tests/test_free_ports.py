"""Concurrent test runs get separate ports for the processes that they start."""

from __future__ import annotations

import json
import os
import subprocess
import sys

from tests.peers import ROOT

RUNS, PORTS = 4, 20
PROGRAM = f"""
import asyncio, json, sys
from tests.peers import free_port

async def ports():
    return [await free_port() for _ in range({PORTS})]

print(json.dumps(asyncio.run(ports())), flush=True)
sys.stdin.read()
"""


def start_run() -> subprocess.Popen[str]:
    """Start a process like the first worker of a test run; it reserves ports until its stdin is closed."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        cwd=ROOT,
        env=os.environ | {"PYTEST_XDIST_WORKER": "gw0", "PYTHONPATH": str(ROOT)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def read_ports(run: subprocess.Popen[str]) -> list[int]:
    """Return the ports that the process reserved."""
    assert run.stdout is not None
    ports: list[int] = json.loads(run.stdout.readline())
    return ports


def test_first_workers_of_concurrent_runs_share_no_port() -> None:
    runs = [start_run() for _ in range(RUNS)]
    try:
        ports = [port for run in runs for port in read_ports(run)]
    finally:
        for run in runs:
            run.communicate()
    assert len(set(ports)) == RUNS * PORTS
    assert all(run.returncode == 0 for run in runs)


def test_the_read_ports_a_run_that_is_killed_are_given_again() -> None:
    for _ in range(3):
        run = start_run()
        ports = read_ports(run)
        run.kill()
        run.communicate()
        with start_run() as successor:
            assert len(read_ports(successor)) == len(ports)
