"""One machine that loses power at random times, and the traffic that it receives."""

from __future__ import annotations

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable

from emberlatch.core import interface as api
from emberlatch.engine import DurableClasses, Engine, EnginePorts, Machine, Submission, Tasks
from emberlatch.faults.disk import Disk
from emberlatch.faults.loop import DeadlockError, VirtualLoop, close_loop
from emberlatch.faults.network import Network
from emberlatch.faults.power_loss.surroundings import (
    DESTINATION,
    CompletionObserver,
    FixedMembership,
    ObservedMessage,
    Responder,
    SimulatedCarrier,
    Surroundings,
)
from emberlatch.faults.process import Process, context_of
from emberlatch.standins.endpoint_model import IdempotencyKeys
from emberlatch.store import Journal

DEDUP_WINDOW_S, DEADLINE_S = 20.0, 4.0
CATEGORIES = (
    api.Category("note", api.Effect.SAFE, 1.0, DEADLINE_S),
    api.Category(
        "payout", api.Effect.KEYED, 1.0, DEADLINE_S, scope=api.Scope.ALL, dedup_window=DEDUP_WINDOW_S
    ),
    api.Category("order", api.Effect.UNSAFE, 1.0, DEADLINE_S),
)
CATEGORY_NAMES = frozenset(category.name for category in CATEGORIES)
SETTINGS = api.Settings(
    CATEGORIES,
    20,
    200,
    max_attempts=4,
    cancel=True,
    retry_after=True,
    max_retry_after=1.0,
    decision_interval=0.005,
)
JOURNAL_BYTES = 360_000  # small enough for segments to fill and be compacted
MAX_BODY_BYTES = 2500
TRAFFIC_S = 5.0  # duration of the traffic; all power losses and kills occur in it
FIRST_LOSS_S = 0.2  # earliest time of a power loss or kill
MAX_POWER_LOSSES, MAX_KILLS = 4, 2
COMPLETION_S = DEADLINE_S + 3.0  # time for the last messages to complete, after the traffic
SYNC_DURATION_S = (0.001, 0.03)  # range from which each duration is drawn
RESUBMIT_DELAY_S = 0.4  # time after which a client repeats a note without an answer
RATE_PER_S = 30.0
RESTART_DELAY_S = 0.05  # time between a kill of the process and the next start
POWER_OFF_S = (0.01, 0.3)  # the two possible durations of a power loss
WALL_CLOCK_START_S = 1.8e9


class PowerLossEnvironment:
    """One run of a seed; messages of the categories in `durable` must survive power losses.

    `failed_sync_count` is the number of processes that ended because of a failed sync.
    """

    def __init__(self, seed: int, durable: frozenset[str] = CATEGORY_NAMES) -> None:
        self.seed, self.disk = seed, Disk()
        self.boot_count = self.failed_sync_count = 0
        self._durable, self._rng = durable, random.Random(f"power {seed}")
        self._surroundings = Surroundings(VirtualLoop(), self._rng, DEDUP_WINDOW_S)
        self.power_loss_count = self._rng.randint(1, MAX_POWER_LOSSES)
        self._process: Process | None = None
        self._engine: Engine | None = None  # None until the engine of the current process has started

    @property
    def loop(self) -> VirtualLoop:
        """The virtual loop of the run."""
        return self._surroundings.loop

    @property
    def messages(self) -> dict[str, ObservedMessage]:
        """The observed state of each message, by its id."""
        return self._surroundings.messages

    @property
    def keys(self) -> IdempotencyKeys:
        """The idempotency keys and effects that the partner recorded."""
        return self._surroundings.keys

    # The machine.

    async def _run_sync(self, job: Callable[[], object]) -> None:
        """Run a sync. It takes time, and covers only the data that was written before it started."""
        sizes = self.disk.sizes()
        await asyncio.sleep(self._rng.uniform(*SYNC_DURATION_S))
        self.disk.sizes_at_sync_start = sizes
        try:
            job()
        finally:
            self.disk.sizes_at_sync_start = None

    async def _boot(self, process: Process) -> None:
        boot_id = f"boot {self.boot_count}"
        machine = Machine(
            lambda: WALL_CLOCK_START_S + self.loop.time(),
            lambda: boot_id,
            Network(self.loop, self.seed).listen,
            lambda _: self.disk,
            self._run_sync,
        )
        carrier, membership = SimulatedCarrier(self._surroundings, process), FixedMembership()
        completions = CompletionObserver(self._surroundings, process)
        journal = Journal(self.disk, JOURNAL_BYTES, durable=bool(self._durable))
        durable_classes = DurableClasses(self._durable, self._on_sync_failure)
        engine = Engine(SETTINGS, self.seed, journal, Tasks(), machine, durable_classes)
        carrier.engine = completions.engine = membership.engine = engine
        engine.connect(EnginePorts([], carrier, membership, completions))
        await engine.start()
        self._engine = engine

    def _start_process(self) -> None:
        if self._process is not None and self._process.alive:
            return  # a loss of power soon after another loss or a kill adds a start; the earlier one has run
        self.boot_count += 1
        self.disk.restart()
        process = self._process = Process("machine")
        self._engine = None
        self.loop.create_task(self._boot(process), context=context_of(process))

    def _on_sync_failure(self, error: OSError) -> None:
        """Kill the process after a failed sync; the next process recovers from the records on the disk."""
        self.failed_sync_count += 1
        self._kill_process()

    def _kill_process(self) -> None:
        """Kill the process without a power loss: the disk keeps all written data, synced or not."""
        if self._process is not None and self._process.alive:
            self._process.kill()
            self._surroundings.call_later(RESTART_DELAY_S, self._start_process)

    def _lose_power(self) -> None:
        assert self._process is not None
        self._process.kill()
        self.disk.power_loss(self._rng)
        self._surroundings.call_later(self._rng.choice(POWER_OFF_S), self._start_process)

    # The run.

    async def run(self) -> None:
        """Run traffic, power losses and kills, then wait for the last messages to complete."""
        self._start_process()
        for _ in range(self.power_loss_count):
            self._surroundings.call_later(self._rng.uniform(FIRST_LOSS_S, TRAFFIC_S), self._lose_power)
        for _ in range(self._rng.randint(0, MAX_KILLS)):
            self._surroundings.call_later(self._rng.uniform(FIRST_LOSS_S, TRAFFIC_S), self._kill_process)
        until, number = self.loop.time() + TRAFFIC_S, 0
        while self.loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(RATE_PER_S))
            if self._engine is not None and self._process is not None and self._process.alive:
                number += 1
                self._submit(f"m{number}")
        await asyncio.sleep(COMPLETION_S)

    def _submit(self, name: str) -> None:
        category = self._rng.choice(sorted(CATEGORY_NAMES))
        message = self.messages.setdefault(name, ObservedMessage(category))
        if message.is_answered or self._engine is None or self._process is None:
            return
        message.submission_count += 1
        if message.category == "note":  # a note is idempotent
            self._surroundings.call_later(RESUBMIT_DELAY_S, self._submit, name)
        key = name if message.category == "payout" else ""
        body = b"x" * self._rng.randrange(MAX_BODY_BYTES)
        submission = Submission(name, key, message.category, "", DESTINATION, DEADLINE_S, body)
        responder = Responder(self._surroundings, self._process, message)
        self._surroundings.call_in_process(self._process, self._engine.submit, submission, responder)

    def breaches(self) -> Counter[str]:
        """The number of messages that break each rule, by the rule's name."""
        counts: Counter[str] = Counter()
        for name, message in self.messages.items():
            effects = self.keys.effects.get(name, 0)
            results = set(message.completions)
            counts["lost"] += message.accepted_at < math.inf and not results
            counts["two ends"] += len(results) > 1 and message.submission_count == 1
            counts["twice"] += effects > 1 and message.category != "note"
            counts["untrue"] += "delivered" in results and not effects
            counts["untrue"] += "bounced" in results and effects > 0 and message.category == "order"
        return +counts


def play(seed: int, durable: frozenset[str] = CATEGORY_NAMES, failing_syncs: int = 0) -> PowerLossEnvironment:
    """Run one seed, in which the first `failing_syncs` syncs fail; see `PowerLossEnvironment.breaches`."""
    environment = PowerLossEnvironment(seed, durable)
    environment.disk.failing_syncs = failing_syncs
    try:
        environment.loop.run_until_complete(environment.run())
    except DeadlockError:
        environment.loop.failures.append("stuck")
    finally:
        close_loop(environment.loop)
    return environment
