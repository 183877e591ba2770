"""What the clients, targets and operators of a cluster observed, and the rules for it. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

REJECTION_STATUSES = frozenset({408, 421, 429, 503})  # answers that promise that the message does not run
ENDED_STATES = frozenset({"completed", "dead_letter"})
TOLERATED_RATE_BURST = 5  # requests above the rate limit that are tolerated in each window


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken, the loop time `at` which that happened, and a description."""

    rule: str
    at: float
    text: str


@dataclass(slots=True)
class Run:
    """One run of a message by a target; `at` is the loop time of its start."""

    at: float
    target: str
    service: str
    status: int
    seal: str
    answered: bool = False  # whether the target sent its answer
    soon_after_fault: bool = False  # whether effects of a fault were excused when the answer was sent


@dataclass(slots=True)
class SentMessage:
    """One attempt of a client to submit a message."""

    id: str
    sent_at: float
    delay_s: float  # seconds after `sent_at` before which the message must not run
    service: str
    body: bytes
    forced_status: int = 0  # status with which every run is answered; 0: the target chooses
    status: int = 0  # status of the answer; 0 if there was none
    answered_at: float = 0.0


@dataclass
class History:
    """Everything that was observed, with times of the loop's clock.

    The effects of a fault on draining and on repeated runs are excused for `fault_grace_s` seconds.
    """

    fault_grace_s: float = 4.0
    sent: dict[str, SentMessage] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    fault_times: list[float] = field(default_factory=list)  # times at which faults began or ended
    drain_acknowledged_at: dict[str, float] = field(default_factory=dict)  # loop time, by target id
    arrivals: dict[str, list[float]] = field(default_factory=dict)  # times of requests, by service
    acknowledged: list[int] = field(default_factory=list)  # revisions of configurations
    states: dict[str, tuple[str, str]] = field(default_factory=dict)  # final state and seal, by message id
    bodies: dict[str, bytes] = field(default_factory=dict)  # final body, by message id
    read_back: int = -1  # revision that was read at the end
    breaches: list[Breach] = field(default_factory=list)

    def record_breach(self, rule: str, at: float, text: str) -> None:
        """Record a breach."""
        self.breaches.append(Breach(rule, at, text))

    def is_soon_after_fault(self, at: float) -> bool:
        """Whether a fault began or ended at most `fault_grace_s` seconds before `at`."""
        return any(fault <= at <= fault + self.fault_grace_s for fault in self.fault_times)

    def record_run(self, id: str, run: Run, drain_s: float, early_tolerance_s: float) -> None:
        """Record a run of a message, and the breaches that can be detected at this time."""
        sent = self.sent.get(id)
        if sent is None:
            self.record_breach("UNASKED", run.at, f"{id} ran at {run.target}, but nobody sent it")
            return
        if sent.service != run.service:
            self.record_breach("ROUTE", run.at, f"{id} for {sent.service} ran at {run.service}")
        due = sent.sent_at + sent.delay_s
        if run.at < due - early_tolerance_s:
            self.record_breach("EARLY", run.at, f"{id} ran {due - run.at:.3f} s early")
        acknowledged_at = self.drain_acknowledged_at.get(run.target)
        if (
            acknowledged_at is not None
            and run.at > acknowledged_at + drain_s
            and not self.is_soon_after_fault(run.at)
        ):
            self.record_breach(
                "DRAIN",
                run.at,
                f"{id} ran at {run.target}, {run.at - acknowledged_at:.2f} s after the acknowledged drain",
            )
        earlier = self.runs.setdefault(id, [])
        successful = [r for r in earlier if r.status == 200 and r.answered]
        if (
            successful
            and not self.is_soon_after_fault(run.at)
            and not any(r.soon_after_fault for r in successful)
        ):
            self.record_breach(
                "TWICE",
                run.at,
                f"{id} ran again at {run.target}, completed by the run at {successful[0].at:.2f}",
            )
        earlier.append(run)

    def judge(self, max_attempts: int, retention_s: float, now: float) -> list[Breach]:
        """Check the final states; return all breaches in order of time."""
        for sent in self.sent.values():
            runs = self.runs.get(sent.id, [])
            if sent.status in REJECTION_STATUSES and runs:
                text = f"{sent.id} ran, but was answered {sent.status} at {sent.answered_at:.2f}"
                self.record_breach("REFUSED", runs[0].at, text)
            if sent.status == 202:
                self._judge_accepted(sent, runs, max_attempts, retention_s, now)
        if self.acknowledged and self.read_back < max(self.acknowledged):
            text = f"revision {self.read_back} was read back, but {max(self.acknowledged)} was acknowledged"
            self.record_breach("CONFIG", now, text)
        return sorted(self.breaches, key=lambda breach: breach.at)

    def _judge_accepted(
        self, sent: SentMessage, runs: list[Run], max_attempts: int, retention_s: float, now: float
    ) -> None:
        state, seal = self.states.get(sent.id, ("", ""))
        failures = sum(run.status == 500 for run in runs)
        is_final = any(run.status in (200, 422) for run in runs)
        ended = is_final or failures >= max_attempts or now > sent.sent_at + retention_s
        if not ended and (state in ENDED_STATES or self.bodies.get(sent.id) != sent.body):
            text = f"{sent.id} was accepted at {sent.answered_at:.2f}, but its state is {state or 'unknown'}"
            self.record_breach("LOST", now, text)
        if state == "completed" and seal not in {run.seal for run in runs if run.status == 200}:
            self.record_breach(
                "MIXED", now, f"{sent.id} is completed with seal {seal}, which no successful run has"
            )
        if state == "dead_letter" and not ended:
            self.record_breach(
                "MIXED", now, f"{sent.id} is in state dead_letter after {failures} failed runs"
            )

    def judge_rate(self, service: str, rate_per_s: float, window_s: float, excess: float) -> None:
        """Check the number of requests in each sliding window of `window_s` seconds.

        At most `excess` times the number that the rate limit allows, plus `TOLERATED_RATE_BURST`, may occur.
        """
        times = self.arrivals.get(service, [])
        limit = rate_per_s * window_s * excess + TOLERATED_RATE_BURST
        for first, start in enumerate(times):
            count = sum(start <= other < start + window_s for other in times[first:])
            if count > limit:
                text = f"{service}: {count} requests in {window_s:g} s, at most {limit:.0f} are allowed"
                self.record_breach("CEILING", start, text)
                return
