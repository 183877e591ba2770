"""What happened in a cluster as its clients, targets and operators saw it, and the rules over it. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken."""

    rule: str
    at: float
    text: str


@dataclass(slots=True)
class Run:
    """A run of a message at a target."""

    at: float
    target: str
    service: str
    status: int
    seal: str
    read: bool = False  # its answer came in whole at whoever asked
    disturbed: bool = False  # a fault was near when it was read


@dataclass(slots=True)
class Sent:
    """A try of a client."""

    id: str
    at: float
    delay: float
    service: str
    body: bytes
    poison: str = ""  # "422" or "500": what each run of it is answered
    answer: int = 0  # 0: none
    answered: float = 0.0


@dataclass
class History:
    """Everything that was seen, by the loop's time; `calm`: how long a fault's effects are excused."""

    calm: float = 4.0
    sent: dict[str, Sent] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    faults: list[float] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)  # target -> when its leaving was acknowledged
    arrivals: dict[str, list[float]] = field(default_factory=dict)  # service -> when each came
    acknowledged: list[int] = field(default_factory=list)
    states: dict[str, tuple[str, str]] = field(default_factory=dict)  # id -> state, seal, asked at the end
    bodies: dict[str, bytes] = field(default_factory=dict)
    read_back: int = -1
    breaches: list[Breach] = field(default_factory=list)

    def breach(self, rule: str, at: float, text: str) -> None:
        """Note a breach that is seen as it happens."""
        self.breaches.append(Breach(rule, at, text))

    def troubled(self, at: float) -> bool:
        """Whether a fault was near."""
        return any(fault <= at <= fault + self.calm for fault in self.faults)

    def run(self, id: str, run: Run, drain_s: float, early_s: float) -> None:
        """A target works on a message: what is wrong with that at once."""
        sent = self.sent.get(id)
        if sent is None:
            return self.breach("UNASKED", run.at, f"{id} at {run.target}")
        if sent.service != run.service:
            self.breach("ROUTE", run.at, f"{id} of {sent.service} run by {run.service}")
        if run.at < sent.at + sent.delay - early_s:
            self.breach("EARLY", run.at, f"{id} ran {sent.at + sent.delay - run.at:.3f} s early")
        left = self.drained.get(run.target)
        if left is not None and run.at > left + drain_s and not self.troubled(run.at):
            self.breach("DRAIN", run.at, f"{id} at {run.target}, {run.at - left:.2f} s after")
        before = self.runs.setdefault(id, [])
        done = [r for r in before if r.status == 200 and r.read]
        if done and not self.troubled(run.at) and not any(r.disturbed for r in done):
            self.breach("TWICE", run.at, f"{id} again at {run.target}, done at {done[0].at:.2f}")
        before.append(run)

    def judge(self, most_attempts: int, retention: float, now: float) -> list[Breach]:
        """All that is wrong once the end has been asked for."""
        for sent in self.sent.values():
            runs = self.runs.get(sent.id, [])
            if sent.answer in (408, 421, 429, 503) and runs:
                self.breach(
                    "REFUSED", runs[0].at, f"{sent.id} was answered {sent.answer} at {sent.answered:.2f}"
                )
            if sent.answer == 202:
                self._judge_accepted(sent, runs, most_attempts, retention, now)
        if self.acknowledged and self.read_back < max(self.acknowledged):
            self.breach("CONFIG", now, f"read back {self.read_back}, acknowledged {max(self.acknowledged)}")
        return sorted(self.breaches, key=lambda breach: breach.at)

    def _judge_accepted(self, sent: Sent, runs: list[Run], most: int, retention: float, now: float) -> None:
        state, seal = self.states.get(sent.id, ("", ""))
        failed = sum(run.status == 500 for run in runs)
        ended = any(run.status in (200, 422) for run in runs) or failed >= most or now > sent.at + retention
        if not ended and (state in ("completed", "dead_letter") or self.bodies.get(sent.id) != sent.body):
            self.breach("LOST", now, f"{sent.id} accepted at {sent.answered:.2f}: state {state or 'unknown'}")
        if state == "completed" and seal not in {run.seal for run in runs if run.status == 200}:
            self.breach("MIXED", now, f"{sent.id} completed with seal {seal}")
        if state == "dead_letter" and not ended:
            self.breach("MIXED", now, f"{sent.id} dead with {failed} failures")

    def over(self, service: str, rate: float, window: float, excess: float) -> None:
        """Hold a service's limit to every sliding window."""
        times = self.arrivals.get(service, [])
        most = rate * window * excess + 5
        for at in range(len(times)):
            count = sum(times[at] <= other < times[at] + window for other in times[at:])
            if count > most:
                return self.breach(
                    "CEILING", times[at], f"{service}: {count} in {window:g} s, {most:.0f} at most"
                )
