"""Measures the processor time of each simulated process by sampling which one is running.

The work of the simulated network counts for the process that writes to the network. The work that a kernel
does for real sockets is not included.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from types import FrameType, TracebackType

from emberlatch.faults.process import current_process

SAMPLE_INTERVAL_S = 0.001  # seconds of processor time between two samples


class ProcessorSamples:
    """A context manager that takes samples; only in the main thread, and only one at a time.

    `seconds` is the processor time of the entire simulation; it is set on exit.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._samples: Counter[str] = Counter()  # by process name, which is the host of a node's process
        self._started_at = 0.0

    def __enter__(self) -> ProcessorSamples:
        self._previous_handler = signal.signal(signal.SIGPROF, self._sample)
        self._started_at = time.process_time()
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        signal.setitimer(signal.ITIMER_PROF, 0)
        signal.signal(signal.SIGPROF, self._previous_handler)
        self.seconds = time.process_time() - self._started_at

    def _sample(self, signal_number: int, frame: FrameType | None) -> None:
        self._samples[current_process.get().name] += 1

    def seconds_of(self, host: str) -> float:
        """The processor time in seconds of the process on `host`."""
        return self.seconds * self._samples[host] / max(1, self._samples.total())
