"""A model checker: explores every order of events of one message on three stores, up to a depth.

Notices are never consumed, so each may arrive late, repeatedly or never. One store may crash at any moment,
and restart: its record is on disk, but its call in flight is lost. The message of a crashed owner may be taken
over. The steps (writing, accepting, replicating, handing over, ending, cancelling, probing) follow those of
the message store. The production code, `Record.merge`, computes the result of merging two copies.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from emberlatch.cluster.message_store import MessageState, Record

STORES = ("a", "b", "c")
Copy = tuple[int, int, str]  # message state, epoch, owner
Notice = tuple[str, Copy]  # receiving store, reported copy


@dataclass(frozen=True)
class ModelState:
    """One state of the model; tuples have one item per store, in the order of `STORES`.

    Attributes:
        in_flight: whether a call of the store to a target is in flight.
        accept_started: whether the store has started an ACCEPT. Only store a does, and later store c for the
            same client.
        answers: the client's answer to each ACCEPT: "202", "never" or "unclear"; empty before the answer.
        acknowledged: (store, epoch) of the copies that stores have confirmed.
        cancel_confirmed_by: stores that have confirmed the cancellation of the first ACCEPT.
        success_read: whether a store has read a target's success response.
        crash_count: number of crashes so far.
        breach: name of the rule that the last step broke; empty if none.
    """

    copies: tuple[Copy | None, ...] = (None, None, None)
    in_flight: tuple[bool, ...] = (False, False, False)
    crashed: tuple[bool, ...] = (False, False, False)
    notices: frozenset[Notice] = frozenset()
    accept_started: tuple[bool, ...] = (False, False, False)
    answers: tuple[str, ...] = ("", "", "")
    acknowledged: frozenset[tuple[str, int]] = frozenset()
    cancel_confirmed_by: frozenset[str] = frozenset()
    executed: bool = False
    success_read: bool = False
    crash_count: int = 0
    breach: str = ""


def merge_copies(copy: Copy | None, report: Copy) -> Copy:
    """Return a store's copy after it has received a report of another copy, by `Record.merge`."""
    if copy is None:
        return report
    record = Record("m", "h", "POST", "/", "", b"")
    record.state, record.epoch, record.owner = MessageState(copy[0]), copy[1], copy[2]
    record.merge(MessageState(report[0]), "", report[1], report[2], 0)
    return int(record.state), record.epoch, record.owner


def replace_at(values: tuple[Any, ...], index: int, value: Any) -> Any:
    return (*values[:index], value, *values[index + 1 :])


def merge_at(model: ModelState, index: int, report: Copy) -> ModelState:
    return replace(model, copies=replace_at(model.copies, index, merge_copies(model.copies[index], report)))


def send(model: ModelState, report: Copy, *to: str) -> ModelState:
    return replace(model, notices=model.notices | {(name, report) for name in to})


def steps(model: ModelState, probes: bool = True) -> Iterator[ModelState]:
    """Yield the model after each possible next step."""
    for to, report in model.notices:
        index = STORES.index(to)
        if not model.crashed[index]:
            after = merge_at(model, index, report)
            if report[0] == MessageState.QUEUED and report[1] <= 2:
                after = replace(after, acknowledged=after.acknowledged | {(to, report[1])})
            if report[0] == MessageState.CANCELLED and after.copies[index][0] == MessageState.CANCELLED:  # type: ignore[index]
                after = replace(after, cancel_confirmed_by=after.cancel_confirmed_by | {to})
            yield after
    for index, name in enumerate(STORES):
        if not model.crashed[index]:
            yield from store_steps(model, index, name, probes)
        if model.crash_count < 1 and not model.crashed[index]:
            yield replace(
                model,
                crashed=replace_at(model.crashed, index, True),
                in_flight=replace_at(model.in_flight, index, False),
                crash_count=1,
            )
        if model.crashed[index]:
            yield replace(model, crashed=replace_at(model.crashed, index, False))


def store_steps(model: ModelState, index: int, name: str, probes: bool) -> Iterator[ModelState]:
    copy = model.copies[index]
    others = [n for n in STORES if n != name]
    if name == "a" and not model.accept_started[0]:  # the first ACCEPT is written here and sent to b
        after = merge_at(replace(model, accept_started=(True, False, False)), 0, (0, 1, "a"))
        yield send(after, (0, 1, "a"), "b")
    if name == "c" and model.accept_started[0] and not model.accept_started[2] and model.answers[0] != "202":
        if not probes:
            after = merge_at(
                replace(model, accept_started=replace_at(model.accept_started, 2, True)), 2, (0, 2, "c")
            )
            yield send(after, (0, 2, "c"), "b")
        elif not model.crashed[0]:  # the same client's next attempt probes store a in one exchange
            first = model.copies[0]
            after = replace(model, accept_started=replace_at(model.accept_started, 2, True))
            if first is not None and first[0] >= MessageState.DEAD_LETTERED:
                yield merge_at(after, 2, first)
            elif model.in_flight[
                0
            ]:  # store a is delivering the message and stays its owner under a later epoch
                after = merge_at(merge_at(after, 0, (0, 3, "a")), 2, (0, 3, "a"))
                yield replace(after, answers=replace_at(after.answers, 2, "202"))
            else:
                after = merge_at(merge_at(after, 0, (0, 2, "c")), 2, (0, 2, "c"))
                yield send(after, (0, 2, "c"), "b")
    if name == "a" and model.accept_started[0] and not model.answers[0] and copy is not None:
        if ("b", 1) in model.acknowledged and copy == (0, 1, "a"):
            yield replace(model, answers=replace_at(model.answers, 0, "202"))
        elif ("b", 1) not in model.acknowledged and copy[:2] == (0, 1):
            yield send(
                merge_at(model, 0, (int(MessageState.CANCELLED), 1, "a")),
                (int(MessageState.CANCELLED), 1, "a"),
                "b",
            )
        if copy[0] == MessageState.CANCELLED and not model.accept_started[2]:
            yield replace(
                model,
                answers=replace_at(
                    model.answers, 0, "never" if "b" in model.cancel_confirmed_by else "unclear"
                ),
            )
    if (
        name == "c"
        and model.accept_started[2]
        and not model.answers[2]
        and ("b", 2) in model.acknowledged
        and copy == (0, 2, "c")
    ):
        yield replace(model, answers=replace_at(model.answers, 2, "202"))
    if copy is None or copy[0] != MessageState.QUEUED or copy[2] != name:
        return
    accepted = (
        copy[1] > 2
        or (name == "a" and model.answers[0] == "202")
        or (name == "c" and model.answers[2] == "202")
    )
    if accepted and not model.in_flight[index]:  # this store owns the accepted message and starts a call
        breach = ""
        if model.answers[0] == "never" and not model.accept_started[2]:  # the client got no other answer
            breach = "REFUSED"
        if model.success_read and model.crash_count == 0:
            breach = "TWICE"
        yield replace(model, in_flight=replace_at(model.in_flight, index, True), executed=True, breach=breach)
    if model.in_flight[index]:  # the success is read, written and reported to the others in one step
        final_copy = int(MessageState.COMPLETED), copy[1], copy[2]
        after = merge_at(
            replace(model, in_flight=replace_at(model.in_flight, index, False), success_read=True),
            index,
            final_copy,
        )
        yield send(after, final_copy, *others)
    if accepted and not model.in_flight[index] and copy[1] < 5:
        for new_owner in others:  # graceful shutdown: a store that has a copy and answers becomes the owner
            owner_index = STORES.index(new_owner)
            if not model.crashed[owner_index] and model.copies[owner_index] is not None:
                report = 0, copy[1] + 1, new_owner
                yield merge_at(merge_at(model, owner_index, report), index, report)


def explore(depth: int, probes: bool = True) -> tuple[int, set[str]]:
    """Return the number of model states up to a depth, and the names of the broken rules."""
    seen, frontier, broken_rules = {ModelState()}, [ModelState()], set[str]()
    for _ in range(depth):
        next_frontier = []
        for model in frontier:
            for after in [*steps(model, probes), *takeover_steps(model)]:
                if after not in seen:
                    seen.add(after)
                    check_rules(model, after, broken_rules)
                    next_frontier.append(after)
        frontier = next_frontier
    return len(seen), broken_rules


def takeover_steps(model: ModelState) -> Iterator[ModelState]:
    """Yield the model after each takeover of the message from a crashed owner by a running replica."""
    for index, name in enumerate(STORES):
        copy = model.copies[index]
        if copy is None or model.crashed[index] or copy[0] != MessageState.QUEUED or copy[1] > 4:
            continue
        if copy[2] != name and model.crashed[STORES.index(copy[2])]:
            yield merge_at(model, index, (0, copy[1] + 1, name))


def check_rules(before: ModelState, after: ModelState, broken_rules: set[str]) -> None:
    if after.breach:
        broken_rules.add(after.breach)
    if "202" in after.answers:
        valid_copies = [c for c in after.copies if c is not None and c[0] != MessageState.CANCELLED]
        if len(valid_copies) < 2 and not after.success_read:
            broken_rules.add("LOST")
    for old, new in zip(before.copies, after.copies, strict=True):
        if old is not None and new is not None and merge_copies(new, old) != new:
            broken_rules.add("BACK")
