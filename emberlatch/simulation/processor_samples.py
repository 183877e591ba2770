"""Which simulated process the processor's time goes to, told by samples of the running one.

The work of the simulated network counts for the process that writes; what a kernel does for real sockets is
not in it.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from types import TracebackType
from typing import Any

from emberlatch.faults.loop import current

SAMPLE_S = 0.001  # seconds of processor time between two samples


class ProcessorSamples:
    """Takes samples while it is entered. For the main thread, once at a time."""

    def __init__(self) -> None:
        self._samples: Counter[str] = Counter()  # by the host of the process
        self._began = self.seconds = 0.0  # `seconds`: processor time of the whole simulation

    def __enter__(self) -> ProcessorSamples:
        self._replaced = signal.signal(signal.SIGPROF, self._sample)
        self._began = time.process_time()
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        signal.setitimer(signal.ITIMER_PROF, 0)
        signal.signal(signal.SIGPROF, self._replaced)
        self.seconds = time.process_time() - self._began

    def _sample(self, *_: Any) -> None:
        self._samples[current.get().name] += 1

    def of(self, host: str) -> float:
        """Seconds of processor time of one process."""
        return self.seconds * self._samples[host] / max(1, self._samples.total())
