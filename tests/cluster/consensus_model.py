"""A model checker for the consensus on the control state: explores every order of steps in small deployments.

The explorer runs the production code: `Acceptor`, `Proposer`, `Quorum`, `ReadRound`, `next_change` and the
commands. It searches hashed states breadth first until it finds no new one, so that the first violation has a
shortest trace. A sent message stays available: it may be lost, delayed, duplicated or reordered.

The following reductions keep the state space small without excluding any behaviour:

* Requests are not stored. Every request that an attempt or a learned state allows is offered in each state.
* Attempts belong to no process. Any process may begin one on any learned state. A process that restarts loses
  its volatile state and gets a new proposer id: its old attempt is not continued, and another one begins.
* A proposer that can detect that its batch is chosen does so at once. This excludes nothing: what a proposer
  knows only allows more steps and makes the later checks stricter. Votes that no attempt can count any more
  are dropped at that point.
* A proposer receives all replies that it counts together, just before its stage changes. Its partial votes
  are not visible to others, and the messages stay available, so receiving them earlier makes no difference.
* A voter handles a request, syncs its record and sends its reply in one step. A crash before the sync undoes
  the record and the reply, which gives the previous state. A crash after the sync is the same as a reply that
  is never received.
* `last_batch`, which is not on disk, is not part of a state: each request is handled with and without it.
* Disks that the scenario lists as symmetric are kept in sorted order, and their content names no disk. So
  states that differ only in the order of these disks are one state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import replace
from itertools import pairwise

from emberlatch.cluster.consensus.acceptor import AcceptorRecord
from emberlatch.cluster.consensus.proposer import ReadOutcome, ReadRound, Stage
from emberlatch.cluster.consensus.replies import Promise
from emberlatch.cluster.consensus.requests import Read, Request
from emberlatch.cluster.consensus.state import ControlState
from tests.cluster.consensus_states import (
    ABSENT,
    UNNAMED,
    Attempt,
    Disk,
    InvariantError,
    Reading,
    Result,
    Scenario,
    SystemState,
    require,
)
from tests.cluster.consensus_subject import CodeUnderTest

MAX_STATES = 5_000_000
EMPTY_RECORD = AcceptorRecord(UNNAMED)


class Explorer:
    """Explores one scenario, as the module describes; caches the results of the production code."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._code = CodeUnderTest(scenario)
        self._states, self._pool = self._code.states, self._code.pool
        self._requests: dict[Attempt, list[Request]] = {}
        self._disks_after: dict[Hashable, list[Disk]] = {}
        self._attempts_after: dict[Hashable, list[Attempt]] = {}
        self._pruned_disks: dict[Hashable, Disk] = {}
        self._learned_states: dict[tuple[Attempt | None, ...], frozenset[int]] = {}
        self._chosen_by_votes: dict[Hashable, bool] = {}
        self._recovered_states: dict[Hashable, ControlState | None] = {}
        self._checked: set[Hashable] = set()

    def explore(self, max_states: int = MAX_STATES) -> Result:
        """Explore all states, or about `max_states`; stops at the first violation."""
        result, start = Result(), self._start()
        origin: dict[SystemState, tuple[SystemState, str] | None] = {start: None}
        frontier = deque([(start, 0)])
        system, label = start, ""
        try:
            while frontier and len(origin) < max_states:
                system, result.depth = frontier.popleft()
                label = ""
                for label, after in self._steps(system):
                    if after is system:
                        continue
                    after = self._canonical(self._observe_chosen(after))
                    if after not in origin:
                        origin[after] = (system, label)
                        self._check(after)
                        result.coverage |= self._coverage(after)
                        frontier.append((after, result.depth + 1))
            result.complete = not frontier
        except InvariantError as violation:
            result.violation, result.trace = str(violation), [*self._trace(origin, system), label]
        result.states = len(origin)
        return result

    def _trace(
        self, origin: dict[SystemState, tuple[SystemState, str] | None], system: SystemState
    ) -> list[str]:
        labels: list[str] = []
        while (before := origin[system]) is not None:
            system, label = before
            labels.append(label)
        return labels[::-1]

    def _start(self) -> SystemState:
        scenario = self._scenario
        initial_record = self._code.records.number(replace(EMPTY_RECORD, state=scenario.initial))
        records = [
            ABSENT if index in scenario.absent else initial_record for index in range(len(scenario.disks))
        ]
        return SystemState(tuple(map(self._pool.disk, records)), (None,) * len(scenario.batch_choices))

    def _observe_chosen(self, system: SystemState) -> SystemState:
        """Let proposers detect at once what is chosen, and drop votes that no attempt can count any more."""
        for number, attempt in enumerate(system.attempts):
            if attempt is not None and attempt.stage is Stage.ACCEPTING:
                for after in self._count(system, attempt):
                    if after.stage is Stage.CHOSEN:
                        require(
                            self._is_chosen(system, attempt),
                            "a proposer confirmed a batch that is not chosen",
                        )
                        system = self._with_attempt(system, number, after)
                        break
        return system._replace(disks=tuple(self._pruned(disk, system.attempts) for disk in system.disks))

    def _pruned(self, disk: Disk, attempts: tuple[Attempt | None, ...]) -> Disk:
        """Return the disk with only those votes that an attempt in its current stage can count."""
        if not disk.sent:
            return disk
        key = (disk, attempts)
        if key not in self._pruned_disks:
            votes = frozenset(number for number in disk.sent if self._is_open(number, attempts))
            self._pruned_disks[key] = self._pool.disk(disk.record, votes, disk.read)
        return self._pruned_disks[key]

    def _is_open(self, number: int, attempts: tuple[Attempt | None, ...]) -> bool:
        reply = self._code.sent[number].reply
        stage = Stage.PREPARING if isinstance(reply, Promise) else Stage.ACCEPTING
        return any(
            attempt is not None
            and attempt.stage is stage
            and self._scenario.ballot(attempt.index) == reply.ballot
            and self._states[attempt.base].version + 1 == reply.version
            for attempt in attempts
        )

    def _canonical(self, system: SystemState) -> SystemState:
        indexes = self._scenario.symmetric
        if not indexes or any(attempt is not None and attempt.votes for attempt in system.attempts):
            return system
        disks = list(system.disks)
        ordered = sorted((disks[index] for index in indexes), key=lambda disk: disk.number)
        for index, disk in zip(indexes, ordered, strict=True):
            disks[index] = disk
        return system._replace(disks=tuple(disks))

    # Steps.

    def _steps(self, system: SystemState) -> Iterator[tuple[str, SystemState]]:
        learned = self._learned(system)
        yield from self._begin_attempt(system, learned)
        yield from self._deliver(system)
        yield from self._finish_phase_1(system)
        yield from self._lose_disk(system)
        yield from self._retire(system, learned)
        if self._scenario.reads:
            yield from self._read(system, learned)

    def _learned(self, system: SystemState) -> frozenset[int]:
        """Return the states that some process knows to be chosen."""
        known = self._learned_states.get(system.attempts)
        if known is None:
            initial = (self._scenario.initial, *self._scenario.other_initial)
            states = {self._states.number(state) for state in initial}
            for attempt in system.attempts:
                if attempt is not None and attempt.stage is Stage.CHOSEN:
                    states.add(self._code.next_state(attempt))
            known = self._learned_states[system.attempts] = frozenset(states)
        return known

    def _begin_attempt(
        self, system: SystemState, learned: frozenset[int]
    ) -> Iterator[tuple[str, SystemState]]:
        for index, batch_choices in enumerate(self._scenario.batch_choices):
            if system.attempts[index] is not None:
                continue
            for base in sorted(learned):
                if self._states[base].version >= self._scenario.max_version:
                    continue
                for choice in batch_choices:
                    due = choice.batch is None
                    batch = self._code.due_change(system.disks, base) if due else choice.batch
                    for lost in sorted({0, system.lost}) if batch else ():
                        attempt = self._pool.attempt(
                            index, Stage.PREPARING, base, batch or (), lost, frozenset()
                        )
                        yield f"begin {index}: {batch}", self._with_attempt(system, index, attempt)

    def _deliver(self, system: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Yield the steps in which a voter handles a request of an attempt or learns its decision."""
        for attempt in system.attempts:
            if attempt is None:
                continue
            for index, disk in enumerate(system.disks):
                if disk.record == ABSENT:
                    continue
                for kind, after in enumerate(self._after_requests(attempt, index, disk)):
                    if after is not disk:
                        yield (
                            f"request {kind} of {attempt.index} at {index}",
                            self._with_disk(system, index, after),
                        )
        yield from self._install_initial(system)

    def _install_initial(self, system: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Yield the steps in which an older disk gets the state that the scenario begins with."""
        initial = self._scenario.initial
        initial_record = self._code.records.number(replace(EMPTY_RECORD, state=initial))
        for index, disk in enumerate(system.disks):
            if disk.record != ABSENT and self._code.records[disk.record].state.version < initial.version:
                yield (
                    f"install at {index}",
                    self._with_disk(system, index, self._pool.disk(initial_record, disk.sent, disk.read)),
                )

    def _after_requests(self, attempt: Attempt, index: int, disk: Disk) -> list[Disk]:
        """Return the disk after each request of an attempt."""
        key = (attempt, index, disk)
        if key not in self._disks_after:
            if attempt not in self._requests:
                self._requests[attempt] = self._code.requests(attempt)
            results = []
            for request in self._requests[attempt]:
                handled = self._code.handle(index, disk.record, request)
                if handled.other_reply is not None:
                    self._code.receive_other_reply(attempt, handled.other_reply)
                sent = disk.sent if handled.vote == ABSENT else disk.sent | {handled.vote}
                results.append(self._pool.disk(handled.record, sent, disk.read))
            self._disks_after[key] = results
        return self._disks_after[key]

    @staticmethod
    def _with_disk(system: SystemState, index: int, disk: Disk) -> SystemState:
        return system._replace(disks=(*system.disks[:index], disk, *system.disks[index + 1 :]))

    @staticmethod
    def _with_attempt(system: SystemState, index: int, attempt: Attempt) -> SystemState:
        return system._replace(attempts=(*system.attempts[:index], attempt, *system.attempts[index + 1 :]))

    def _count(self, system: SystemState, attempt: Attempt) -> list[Attempt]:
        """Return the states that an attempt may reach by receiving votes that the voters have sent."""
        key = (attempt, tuple(disk.sent for disk in system.disks))
        if key not in self._attempts_after:
            self._attempts_after[key] = self._code.count(attempt, self._code.replies(system.disks))
        return self._attempts_after[key]

    def _finish_phase_1(self, system: SystemState) -> Iterator[tuple[str, SystemState]]:
        for attempt in system.attempts:
            if attempt is not None and attempt.stage is Stage.PREPARING:
                for after in self._count(system, attempt):
                    label = f"count {attempt.index}: {after.stage.value} {after.batch}"
                    yield label, self._with_attempt(system, attempt.index, after)

    # Losses and changes of voters.

    def _lose_disk(self, system: SystemState) -> Iterator[tuple[str, SystemState]]:
        scenario = self._scenario
        if system.lost.bit_count() >= scenario.max_losses:
            return
        if (system.lost & ~system.retired).bit_count() >= scenario.max_losses_at_once:
            return
        state = ControlState() if scenario.initial.version else scenario.initial
        empty = self._pool.disk(self._code.records.number(replace(EMPTY_RECORD, state=state)))
        for index in scenario.may_lose:
            if system.disks[index].record != ABSENT:
                after = self._without_disk(system, index)
                for lost, new in scenario.replacements:
                    if lost == index:
                        after = self._with_disk(after, new, empty)
                yield f"lose {index}", after._replace(lost=system.lost | 1 << index)

    def _without_disk(self, system: SystemState, index: int) -> SystemState:
        old = system.disks[index]
        return self._with_disk(system, index, self._pool.disk(ABSENT, old.sent, old.read))

    def _retire(self, system: SystemState, learned: frozenset[int]) -> Iterator[tuple[str, SystemState]]:
        """Yield the steps that retire the disks without a vote, once a read finds the new state durable."""
        scenario = self._scenario
        for state in map(self._states.__getitem__, learned):
            outside = sum(1 << p for p, voter in enumerate(scenario.disks) if voter not in state.voters)
            retired = system.lost & outside & ~system.retired
            released = (
                0
                if scenario.decommissioned == ABSENT
                else 1 << scenario.decommissioned & outside & ~system.retired
            )
            due = state.version > 0 and (retired | released)
            if due and self._code.is_durable(system.disks, state, system.lost):
                after = system._replace(retired=system.retired | retired | released)
                yield "retire", self._without_disk(after, scenario.decommissioned) if released else after

    def _read(self, system: SystemState, learned: frozenset[int]) -> Iterator[tuple[str, SystemState]]:
        """Yield the steps in which a read begins or counts a reply.

        A reply that would end the read without confirming it is treated as lost.
        """
        reading = system.reading
        if reading is None:
            min_version = max(self._states[state].version for state in learned)
            for base in sorted(learned):
                for lost in sorted({0, system.lost}):
                    yield f"read {base}", system._replace(reading=Reading(base, min_version, lost))
        if reading is None or reading.confirmed:
            return
        state, voters = self._states[reading.state], self._scenario.disks
        for index, disk in enumerate(system.disks):
            if disk.record == ABSENT:
                continue
            read = ReadRound(state, self._code.quorum(state, reading.lost))
            read._votes = {voter for voter, d in zip(voters, system.disks, strict=True) if d.read}
            reply = self._code.handle(index, disk.record, Read(state.version)).other_reply
            assert reply is not None
            read.receive(reply)
            confirmed = read.outcome is ReadOutcome.CONFIRMED
            if confirmed or voters[index] in read._votes:
                after = self._with_disk(system, index, self._pool.disk(disk.record, disk.sent, True))
                yield f"read at {index}", after._replace(reading=reading._replace(confirmed=confirmed))

    def _coverage(self, system: SystemState) -> set[str]:
        coverage = {f"version {self._states[state].version}" for state in self._learned(system)}
        if system.lost:
            coverage.add("loss")
        if system.retired & system.lost:
            coverage.add("replacement")
        if system.retired & ~system.lost:
            coverage.add("decommission")
        if system.reading is not None and system.reading.confirmed:
            coverage.add("read")
        return coverage

    # Invariants.

    def _check(self, system: SystemState) -> None:
        chosen = self._chosen(system)
        require(
            len({version for version, _ in chosen}) == len(chosen), "two batches were chosen for one version"
        )
        learned = [self._states[number] for number in self._learned(system)]
        if system.attempts not in self._checked:
            self._check_texts(learned)
            self._checked.add(system.attempts)
        reading = system.reading
        if reading is not None and reading.confirmed:
            require(
                self._states[reading.state].version >= reading.min_version,
                "a read returned a state older than one confirmed before it began",
            )
        if (system.lost & ~system.retired).bit_count() <= self._scenario.tolerated_losses:
            self._check_recovery(system, learned, max((version for version, _ in chosen), default=0))

    def _chosen(self, system: SystemState) -> set[tuple[int, Hashable]]:
        """Return the versions and batches that the sent votes choose, even if no proposer knows it yet."""
        return {
            (self._states[attempt.base].version + 1, attempt.batch)
            for attempt in system.attempts
            if attempt is not None and self._is_chosen(system, attempt)
        }

    def _is_chosen(self, system: SystemState, attempt: Attempt) -> bool:
        if attempt.stage is not Stage.ACCEPTING:
            return attempt.stage is Stage.CHOSEN
        key = (attempt, tuple(disk.sent for disk in system.disks))
        if key not in self._chosen_by_votes:
            self._chosen_by_votes[key] = self._code.has_quorum(attempt, system.disks)
        return self._chosen_by_votes[key]

    @staticmethod
    def _check_texts(learned: list[ControlState]) -> None:
        """Check that each revision has one text, which no later state drops or replaces."""
        ordered = sorted(learned, key=lambda state: state.version)
        for older, newer in pairwise(ordered):
            preserved = older.by_revision.items() <= newer.by_revision.items()
            require(preserved, "a confirmed text was dropped or replaced")
            require(
                older.revision < newer.revision or older.text == newer.text,
                "the text in force was replaced without a higher revision",
            )

    def _check_recovery(self, system: SystemState, learned: list[ControlState], newest: int) -> None:
        """Check that the disks alone can decide the next version, and that nothing confirmed was lost."""
        records = tuple(disk.record for disk in system.disks)
        key = (records, system.lost)
        if key not in self._recovered_states:
            self._recovered_states[key] = self._code.recover(records, system.lost)
        state = self._recovered_states[key]
        require(state is not None, "the remaining disks can't decide the next version")
        assert state is not None
        require(state.version > newest, "a chosen version was lost")
        if (key, system.attempts) not in self._checked:
            self._check_texts([*learned, state])
            self._checked.add((key, system.attempts))
