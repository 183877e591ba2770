"""The rules on messages, checked on the history of a storm without I/O.

| rule | breach |
| --- | --- |
| lost | a message that was answered with 202 has no outcome by its deadline, and its member was not down |
| two ends | a message has more than one outcome |
| twice | a message took effect more often than its class allows |
| untrue | a message is delivered without having taken effect, or is unsafe and refused after it took effect |
| waits | a member calls an endpoint that asked it to wait |
| leases | a member has more calls in flight than slots, or three quarters of the slots at one partner |
| crashed | a process exited by itself with a status that is not 0 |

A deadline is extended while the member is suspended or down, until `RESTART_GRACE_S` after it serves again.
A message is exempt if its member's state folder was wiped after the member accepted the message.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from emberlatch.storm.availability import MAX_CLOCK_DRIFT, Availability, LinkImpairments
from emberlatch.storm.breach import Breach
from emberlatch.storm.client_load import CLASS_EFFECTS
from emberlatch.storm.history import REQUEST, EventKind, History, HistoryEvent

# Time after a message's deadline until its outcome is due: 0.3 s that the rule allows and 0.5 s for the
# runner's polling.
OUTCOME_GRACE_S = 0.3 + 0.5
WAIT_PROPAGATION_S = 0.15  # time within which a member must have read an answer that asks it to wait
WAIT_TOLERANCE_S = 0.02  # time by which a call may precede the end of a wait
IMPAIRMENT_BEFORE_WAIT_S = 2.0  # a link impairment within this time before an answer excuses later calls
MEMBER_SLOTS = 16
MAX_PARTNER_SHARE = 3 / 4  # share of a member's slots that its calls to one partner must not reach
# Time after a link impairment in which the member may have abandoned calls that the endpoint still counts.
ABANDONED_CALL_S = 8.0
RECENT_DOWNTIME_S = 1.0  # time after a downtime in which the calls of a member are not counted


@dataclass(slots=True)
class SubmittedMessage:
    """A message as its client submitted it.

    `accepted_at` is the time at which the client read the status 202, infinite if it never did.
    """

    id: str
    request: int
    message_class: str
    key: str
    member: str
    submitted_at: float
    deadline: float
    accepted_at: float = math.inf

    @property
    def effect_name(self) -> str:
        """The name by which partners count effects: the idempotency key, or else the message's id."""
        return self.key or self.id


def submitted_messages(history: History) -> Iterator[SubmittedMessage]:
    """Return all submitted messages, accepted or not."""
    messages: dict[str, SubmittedMessage] = {}
    for event in history.of_kind(EventKind.SUBMITTED, EventKind.SUBMISSION_ANSWERED):
        payload = event.payload
        if event.kind == EventKind.SUBMITTED:
            messages[payload["id"]] = SubmittedMessage(
                payload["id"],
                payload[REQUEST],
                payload["kind"],
                payload.get("key", ""),
                payload["member"],
                event.at,
                event.at + payload["left"],
            )
        elif payload["status"] == 202:
            messages[payload["id"]].accepted_at = event.at
    yield from messages.values()


def count_unresolved(history: History) -> int:
    """Return the number of accepted messages without an outcome, also where no rule requires one."""
    answers = history.of_kind(EventKind.SUBMISSION_ANSWERED)
    accepted = {answer.payload["id"] for answer in answers if answer.payload["status"] == 202}
    return len(accepted - {event.payload["id"] for event in history.of_kind(EventKind.OUTCOME)})


def check_messages(history: History) -> list[Breach]:
    """Return all breaches of the rules on messages."""
    availability, impairments = Availability(history), LinkImpairments(history)
    return [
        *_check_outcomes(history, availability),
        *_check_effects(history),
        *_check_truth(history),
        *_check_waits(history, availability, impairments),
        *_check_leases(history, availability, impairments),
        *_check_exits(history),
    ]


def _check_outcomes(history: History, availability: Availability) -> Iterator[Breach]:
    outcomes: dict[str, list[HistoryEvent]] = defaultdict(list)
    for event in history.of_kind(EventKind.OUTCOME):
        outcomes[event.payload["id"]].append(event)
    completed_at = history.last_time_of(EventKind.COMPLETED, math.inf)
    for message in submitted_messages(history):
        own = outcomes[message.id]
        if len(own) > 1:
            states = ", ".join(f"{event.payload['state']} of {event.source}" for event in own)
            subjects = tuple(sorted({event.source for event in own}))
            yield Breach("two ends", own[1].at, subjects, f"{message.id}: {states}")
        wiped_at = availability.wiped_at[message.member]
        if message.accepted_at == math.inf or any(message.accepted_at <= at for at in wiped_at):
            continue
        due = message.deadline + OUTCOME_GRACE_S + MAX_CLOCK_DRIFT * (message.deadline - message.accepted_at)
        due = availability.extend_deadline(message.member, due)
        if (own[0].at if own else math.inf) > due and completed_at > due:
            text = f"{message.id}, accepted at {message.accepted_at:.3f}, had no outcome by {due:.3f}"
            yield Breach("lost", min(due, completed_at), (message.member,), text)


def _count_effects(history: History) -> dict[str, int]:
    """Return the number of effects of each message, by `SubmittedMessage.effect_name`."""
    effects: dict[str, int] = defaultdict(int)
    for event in history.of_kind(EventKind.EFFECTS):
        effects[event.payload["name"]] += event.payload["times"]
    return effects


def _check_effects(history: History) -> Iterator[Breach]:
    effects = _count_effects(history)
    by_request: dict[int, int] = defaultdict(int)
    last_calls = {
        message: event.at
        for event in history.of_kind(EventKind.CALL_STARTED)
        for message in event.payload["ids"]
    }
    for message in submitted_messages(history):
        name, at, subjects = message.effect_name, last_calls.get(message.id, 0.0), (message.member,)
        times = effects[name]
        match CLASS_EFFECTS[message.message_class]:
            case "unsafe":
                by_request[message.request] += times
                if by_request[message.request] > 1:
                    text = (
                        f"{name} took effect {times} times, "
                        f"its request {message.request} took effect {by_request[message.request]} times"
                    )
                    yield Breach("twice", at, subjects, text)
            case "keyed" if times > 1:
                yield Breach("twice", at, subjects, f"{name} took effect {times} times")


def _check_truth(history: History) -> Iterator[Breach]:
    effects = _count_effects(history)
    messages = {message.id: message for message in submitted_messages(history)}
    for event in history.of_kind(EventKind.OUTCOME):
        message, state = messages[event.payload["id"]], event.payload["state"]
        times, subjects = effects[message.effect_name], (event.source,)
        if state == "delivered" and not times:
            yield Breach("untrue", event.at, subjects, f"{message.id} is delivered, and never took effect")
        if state == "refused" and times and CLASS_EFFECTS[message.message_class] == "unsafe":
            yield Breach(
                "untrue", event.at, subjects, f"{message.id} is refused, and took effect {times} times"
            )


def _check_waits(
    history: History, availability: Availability, impairments: LinkImpairments
) -> Iterator[Breach]:
    waits: dict[tuple[str, str], tuple[float, float]] = {}  # start and end of waits, by endpoint and member
    for event in history.of_kind(EventKind.CALL_ANSWERED, EventKind.CALL_STARTED):
        member, endpoint = event.member, event.source
        if event.kind == EventKind.CALL_ANSWERED:
            if event.payload["wait"]:
                waits[endpoint, member] = event.at, event.at + event.payload["wait"] * (1 - MAX_CLOCK_DRIFT)
            continue
        if (endpoint, member) not in waits:
            continue
        since, until = waits[endpoint, member]
        if not since + WAIT_PROPAGATION_S < event.at < until - WAIT_TOLERANCE_S:
            continue
        if availability.was_down(member, since, event.at):
            continue
        if impairments.overlap(member, endpoint, since - IMPAIRMENT_BEFORE_WAIT_S, event.at):
            continue
        text = f"{member} calls {endpoint}, which asked it at {since:.3f} to wait until {until:.3f}"
        yield Breach("waits", event.at, (member, endpoint), text)


def _check_leases(
    history: History, availability: Availability, impairments: LinkImpairments
) -> Iterator[Breach]:
    in_flight: dict[str, dict[int, str]] = defaultdict(dict)  # endpoints by member and number of the call
    kinds = (EventKind.CALL_STARTED, EventKind.CALL_ANSWERED, EventKind.CALL_DISCONNECTED)
    for event in history.of_kind(*kinds):
        member, endpoint, number = event.member, event.source, event.payload["number"]
        calls = in_flight[member]
        if event.kind != EventKind.CALL_STARTED:
            calls.pop(number, None)
            continue
        calls[number] = endpoint
        since = event.at - ABANDONED_CALL_S
        if any(impairments.overlap(member, name, since, event.at) for name in set(calls.values())):
            continue
        if availability.was_down(member, event.at - RECENT_DOWNTIME_S, event.at):
            continue
        partner = endpoint[:2]
        at_partner = sum(name[:2] == partner for name in calls.values())
        if len(calls) > MEMBER_SLOTS or at_partner >= MEMBER_SLOTS * MAX_PARTNER_SHARE:
            counts = f"{len(calls)} calls in flight, {at_partner} of them to {partner}"
            limits = f"{MEMBER_SLOTS} calls, and fewer than {MEMBER_SLOTS * MAX_PARTNER_SHARE:g} to a partner"
            yield Breach("leases", event.at, (member, endpoint), f"{member} has {counts}; allowed: {limits}")


def _check_exits(history: History) -> Iterator[Breach]:
    """Check that no process exited with a status above 0.

    A status below 0 is a signal that the runner sent. A process exits with 0 if it was asked to, or because
    another process has its name.
    """
    for event in history.of_kind(EventKind.PROCESS_EXITED):
        if (status := event.payload.get("status", 0)) > 0:
            text = f"{event.member} ended by itself with status {status}: {event.payload.get('text', '')}"
            yield Breach("crashed", event.at, (event.member,), text)
