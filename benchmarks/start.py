"""Compares start time and memory of the platform's forwarder with those of another checkout.

    python -m benchmarks.start /path/to/baseline/checkout [rounds]

The forwarders of the two checkouts start alternately, each in a process of its own, with the same
configuration. Prints the medians and their ratio.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

CHECKOUT = Path(__file__).parents[1]
SETTINGS: dict[str, Any] = {
    "allowed": {"max-attempts": 6, "open-cap": 50, "connect-timeout": 1.0, "conn-idle": 15.0},
    "balancers": 2,
    "categories": [{"name": "note", "idempotency": "read_like", "target": 3.0, "deadline": 24.0}],
    "discovery": "ask",
    "extra": {"workers": 5},
    "rules": {"ask-every": 10.0},
}


def free_port() -> int:
    """Return a port that is currently free."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


def is_ready(port: int) -> bool:
    """Return whether the health endpoint of the forwarder answers with 200."""
    try:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            return connection.recv(100).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def measure_start(checkout: Path) -> tuple[float, float]:
    """Return the milliseconds until the forwarder is ready, and its resident memory at that time in MiB."""
    with tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        config = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{free_port()}",
            "seed": "1",
            "limits": {"memory_mb": 64, "sockets": 256, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": []},
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(config))
        environment = os.environ | {"EDGE_CONFIG": str(folder / "config.json"), "EDGE_STATE": str(folder)}
        started_at = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-m", "emberlatch"], cwd=checkout, env=environment, stderr=subprocess.DEVNULL
        )
        try:
            while not is_ready(port):
                time.sleep(0.002)
            took_s = time.perf_counter() - started_at
            status = Path(f"/proc/{process.pid}/status").read_text()
            resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
            return took_s * 1000, resident / 1024
        finally:
            process.kill()
            process.wait()


def main(baseline: Path, rounds: int) -> None:
    """Measure both checkouts alternately, and print the medians."""
    results_by_checkout: dict[Path, list[tuple[float, float]]] = {baseline: [], CHECKOUT: []}
    for _ in range(rounds):
        for checkout, results in results_by_checkout.items():
            results.append(measure_start(checkout))
    for index, figure in enumerate(("ms to ready", "MB resident")):
        before, now = (
            statistics.median(r[index] for r in results) for results in results_by_checkout.values()
        )
        print(f"{figure}: baseline {before:.1f}, here {now:.1f}, ratio {now / before:.3f}")


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve(), int(sys.argv[2]) if len(sys.argv) > 2 else 15)
