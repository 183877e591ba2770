"""The rules on membership, checked on the history of a storm without I/O.

| rule | breach |
| --- | --- |
| heals | after recovery a member does not see all others alive, or believes that it lacks a majority |
| detects | a member stays down without other disturbances, and a peer still believes it to be present |
| false death | a running member is believed unreachable without a fault, or with mild link faults only |
| stalled | a process that was suspended logs any other membership event before it logs the stall |
| backwards | a member returns to an earlier incarnation of a peer |
| left | a peer counts as left although nobody asked it to leave, or as unreachable although it left |
| parts | the quota shares of all running members sum to more than 1 |
| two of a name | of two processes with one name both continue to run, or the later one exits |
| others' waits | a member calls an endpoint that asked another member to wait |

"Quiet" in this module means: without any of the disturbances that `find_disturbances` returns.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from emberlatch.storm.availability import MAX_CLOCK_DRIFT, Availability, LinkImpairments, Span
from emberlatch.storm.breach import Breach
from emberlatch.storm.history import DUPLICATE_SUFFIX, RUNNER, EventKind, History, HistoryEvent
from emberlatch.storm.membership_views import MembershipViews
from emberlatch.storm.plan import CLOCK_FAULTS, ENDPOINTS, LINK_FAULTS, Fault, FaultKind

FLEET_EVENTS = (
    EventKind.PEER_STATE_CHANGED,
    EventKind.ISOLATED,
    EventKind.MAJORITY_REACHED,
    EventKind.SUSPICION_REFUTED,
    EventKind.QUOTA_SHARE_CHANGED,
    EventKind.PEER_REACHED_DIRECTLY,
    EventKind.PEER_REACHED_INDIRECTLY,
)
PROCESS_EVENTS = (
    EventKind.PROCESS_STARTED,
    EventKind.SERVING,
    EventKind.PROCESS_EXITED,
    EventKind.KILLED,
    EventKind.SUSPENDED,
    EventKind.RESUMED,
    EventKind.TERMINATED,
)
# Limit from RECOVERED, when the last process serves again, until all members see each other alive.
HEAL_LIMIT_S = 8.0
# Quiet time within which all running members must detect a member that is down. The limit also applies to
# members that probe more slowly because their local health score (Lifeguard) is raised.
DETECTION_LIMIT_S = 10.0
QUIET_S = 4.0  # if so much time before an event was quiet, no earlier disturbance counts as its cause
QUIET_BEFORE_WAIT_S = 3.0  # if so much time before a Retry-After was quiet, all members must obey it
MIN_REPORTED_SUSPENSION_S = 1.2  # shortest suspension that a process must report as a stall
WAIT_PROPAGATION_S = 0.2  # time until all members have learned of a Retry-After that one received
WAIT_TOLERANCE_S = 0.02  # time by which a call may precede the end of a Retry-After
IMPAIRMENT_BEFORE_WAIT_S = 2.0  # a link impairment within this time before an answer excuses later calls
MAX_SHARE_SUM = 1.0 + 1e-4
HALT_LIMIT_S = 6.0  # limit from the second process's SERVING until one of the two has exited
# Time before ALL_FAULTS_ENDED in which exits are ignored: the runner may be killing the second process.
DUPLICATE_KILL_MARGIN_S = 0.5
SIMULTANEOUS_S = 0.01  # events within this time of each other are assumed to have one cause
MILD_FAULTS = (FaultKind.DELAY, FaultKind.LOSS, FaultKind.DISCONNECT)
MAX_MILD_AMOUNT = 0.1  # seconds of delay, or probability of loss
PRESENT_STATES = ("alive", "suspect")


def check_membership(history: History) -> list[Breach]:
    """Return all breaches of the rules on membership; none if the members ran without a fleet."""
    if not any(history.of_kind(EventKind.MEMBER_PROCESS_STARTED)):
        return []
    availability = Availability(history)
    return [
        *_check_healing(history),
        *_check_detection(history, availability),
        *_check_false_deaths(history, availability),
        *_check_stalls(history),
        *_check_incarnations(history),
        *_check_departures(history, availability),
        *_check_share_sums(history, availability),
        *_check_duplicates(history, availability),
        *_check_shared_waits(history),
    ]


def base_name(name: str) -> str:
    """Return the name that a process has in the fleet, which a duplicate shares with the first process."""
    return name.rstrip(DUPLICATE_SUFFIX)


def find_disturbances(history: History, without: str = "", include_mild: bool = True) -> list[Span]:
    """Return the spans of process faults and of link faults between members, and of process events.

    The span of a process event begins and ends at the time of the event.


    `without` excludes the process faults and process events of one member; `include_mild` says whether to
    include faults that are too mild to make any member unreachable.
    """
    spans = []
    for fault in history.plan.faults:
        if fault.kind in CLOCK_FAULTS or {*fault.subjects, *fault.destinations} & set(ENDPOINTS):
            continue
        if not fault.destinations and without in fault.subjects:
            continue
        if include_mild or not _is_mild(fault):
            spans.append((fault.at, fault.end))
    for event in history.of_kind(*PROCESS_EVENTS, EventKind.STALL_DETECTED):
        if base_name(str(event.payload.get("member", event.source))) != without:
            spans.append((event.at, event.at))
    return spans


def _is_mild(fault: Fault) -> bool:
    return fault.kind in MILD_FAULTS and fault.amount <= MAX_MILD_AMOUNT


def is_quiet(disturbances: list[Span], since: float, until: float) -> bool:
    """Return whether no disturbance overlaps a span."""
    return not any(begin <= until and end >= since for begin, end in disturbances)


def _check_healing(history: History) -> Iterator[Breach]:
    names = history.plan.member_names
    due = history.last_time_of(EventKind.RECOVERED, math.inf) + HEAL_LIMIT_S
    completed_at = history.last_time_of(EventKind.COMPLETED, 0.0)
    if completed_at < due and not MembershipViews(history, completed_at).are_complete(names):
        return  # the storm was completed before the limit: the members had too little time to be judged
    views = MembershipViews(history, due)
    for name in names:
        unseen = views.unseen_by(name, names)
        if unseen or views.is_partitioned(name):
            missing = ", ".join(unseen) or "a majority"
            text = f"{name} does not see {missing} {HEAL_LIMIT_S:g} s after the recovery"
            yield Breach("heals", due, (name, *unseen), text)


def _check_detection(history: History, availability: Availability) -> Iterator[Breach]:
    disturbances = find_disturbances(history)
    duplicated = {event.member for event in history.of_kind(EventKind.DUPLICATED)}
    for name, downtimes in availability.downtimes.items():
        if name in duplicated:
            continue  # the other process with that name may still be alive
        for begin, end in downtimes:
            if (since := _find_quiet_start(disturbances, begin, end)) is not None:
                yield from _check_detected(history, availability, name, begin, since)


def _find_quiet_start(disturbances: list[Span], begin: float, end: float) -> float | None:
    """Return when `DETECTION_LIMIT_S` without disturbances first begin in a downtime; None if never."""
    for since in sorted({begin, *(span_end for _, span_end in disturbances if begin <= span_end < end)}):
        until = since + DETECTION_LIMIT_S
        later = [span for span in disturbances if span[1] > since + SIMULTANEOUS_S]
        if until < end and is_quiet(later, since + 2 * SIMULTANEOUS_S, until):
            return since
    return None


def _check_detected(
    history: History, availability: Availability, name: str, down_since: float, since: float
) -> Iterator[Breach]:
    """Check that every member that ran all the time has noticed that the member `name` is down."""
    due = since + DETECTION_LIMIT_S
    views = MembershipViews(history, due)
    for observer in history.plan.member_names:
        if observer == name or availability.was_down(observer, since, due):
            continue
        if (state := views.state_of(name, observer)) in PRESENT_STATES:
            text = f"{observer} believes {name}, down since {down_since:.3f}, to be {state}"
            yield Breach("detects", due, (observer, name), text)


def _check_false_deaths(history: History, availability: Availability) -> Iterator[Breach]:
    disturbances = find_disturbances(history, include_mild=False)
    completed_at = history.last_time_of(EventKind.COMPLETED, math.inf)
    for event in history.of_kind(EventKind.PEER_STATE_CHANGED):
        if event.payload["state"] != "unreachable" or event.at > completed_at:
            continue
        since = event.at - QUIET_S
        was_down = availability.was_down(event.member, since, event.at)
        if is_quiet(disturbances, since, event.at) and not was_down:
            text = f"{event.source} believes {event.member} to be unreachable"
            yield Breach("false death", event.at, (event.source, event.member), text)


def _check_stalls(history: History) -> Iterator[Breach]:
    suspended_at: dict[str, float] = {}
    must_report: set[str] = set()
    for event in history.events:
        if event.source == RUNNER:
            name = str(event.payload.get("member"))
            match event.kind:
                case EventKind.SUSPENDED:
                    suspended_at[name] = event.at
                case EventKind.RESUMED:
                    if event.at - suspended_at.pop(name, event.at) > MIN_REPORTED_SUSPENSION_S:
                        must_report.add(name)
                case EventKind.KILLED | EventKind.PROCESS_EXITED:
                    must_report.discard(name)
        elif event.source in must_report:
            if event.kind in FLEET_EVENTS:
                text = f"{event.source} logs {event.kind} {event.payload} before it logs the stall"
                yield Breach("stalled", event.at, (event.source,), text)
            if event.kind in (*FLEET_EVENTS, EventKind.STALL_DETECTED, EventKind.MEMBER_PROCESS_STARTED):
                must_report.discard(event.source)


def _check_incarnations(history: History) -> Iterator[Breach]:
    known: dict[tuple[str, str], int] = {}  # incarnation numbers by observer and peer
    for event in history.of_kind(EventKind.MEMBER_PROCESS_STARTED, EventKind.PEER_STATE_CHANGED):
        if event.kind == EventKind.MEMBER_PROCESS_STARTED:
            known = {pair: number for pair, number in known.items() if pair[0] != event.source}
            continue
        pair, incarnation = (event.source, event.member), event.payload["incarnation"]
        if incarnation < known.get(pair, incarnation):
            before = known[pair]
            text = f"{event.source} goes from incarnation {before} of {event.member} back to {incarnation}"
            yield Breach("backwards", event.at, pair, text)
        known[pair] = incarnation


def _check_departures(history: History, availability: Availability) -> Iterator[Breach]:
    terminated_at: dict[str, float] = {}
    for event in history.of_kind(EventKind.TERMINATED, EventKind.PEER_STATE_CHANGED):
        name = event.member
        if event.kind == EventKind.TERMINATED:
            terminated_at[name] = event.at
            continue
        state = event.payload["state"]
        if state == "left" and name not in terminated_at:
            text = f"{event.source} believes that {name} left, which was not asked to leave"
            yield Breach("left", event.at, (event.source, name), text)
        elif state == "unreachable" and (left_at := terminated_at.get(name)) is not None:
            if not _must_be_known_as_left(history, availability, event, left_at):
                continue
            text = f"{event.source} believes {name}, which left at {left_at:.3f}, to be unreachable"
            yield Breach("left", event.at, (event.source, name), text)


def _must_be_known_as_left(
    history: History, availability: Availability, event: HistoryEvent, terminated_at: float
) -> bool:
    """Return whether an observer must know that a member left and did not fail.

    This holds if the member is still down and no disturbance can have hidden its departure from others.
    """
    if availability.extend_deadline(event.member, terminated_at, 0.0) < event.at:
        return False
    disturbances = find_disturbances(history, without=event.member)
    return terminated_at <= event.at and is_quiet(disturbances, terminated_at - QUIET_S, event.at)


def _check_share_sums(history: History, availability: Availability) -> Iterator[Breach]:
    shares: dict[str, float] = {}
    for event in history.events:
        if event.kind == EventKind.QUOTA_SHARE_CHANGED and event.source in availability.downtimes:
            shares[event.source] = event.payload["part"]
            if sum(shares.values()) > MAX_SHARE_SUM:
                text = ", ".join(f"{name} {share:.3f}" for name, share in sorted(shares.items()))
                text = f"the shares sum to {sum(shares.values()):.4f}, expected at most 1: {text}"
                yield Breach("parts", event.at, (event.source,), text)
        elif event.source == RUNNER and event.kind == EventKind.PROCESS_EXITED:
            shares.pop(event.member, None)


def _check_duplicates(history: History, availability: Availability) -> Iterator[Breach]:
    all_faults_ended_at = history.last_time_of(EventKind.ALL_FAULTS_ENDED, math.inf)
    checked: set[str] = set()
    for duplication in history.of_kind(EventKind.DUPLICATED):
        name, at = duplication.member, duplication.at
        if name in checked or availability.was_down(name, at - QUIET_S, at):
            continue  # an earlier duplicate may still be running, or the first process was down
        checked.add(name)
        # The limit begins when both processes serve, however long the second one took to start.
        serving = (event.at for event in _duplicate_events(history, duplication, EventKind.SERVING))
        due = next(serving, at) + HALT_LIMIT_S
        until = min(due, all_faults_ended_at - DUPLICATE_KILL_MARGIN_S)
        if not is_quiet(_disturbances_of_pair(history, duplication), at - QUIET_S, until):
            continue
        exited = [
            event.member
            for event in history.of_kind(EventKind.PROCESS_EXITED)
            if at < event.at < until and base_name(event.member) == name
        ]
        # An exit of the wrong process is always a breach; a missing exit only if the limit has passed.
        if exited != [name] and (exited or due <= all_faults_ended_at):
            exited_names = ", ".join(exited) or "none"
            text = f"a second {name} started at {at:.3f}: the earlier one must exit; exited: {exited_names}"
            yield Breach("two of a name", until, (name,), text)


def _duplicate_events(history: History, duplication: HistoryEvent, kind: EventKind) -> Iterator[HistoryEvent]:
    name = duplication.member + DUPLICATE_SUFFIX
    return (event for event in history.of_kind(kind) if event.at >= duplication.at and event.member == name)


def _disturbances_of_pair(history: History, duplication: HistoryEvent) -> list[Span]:
    """Return the spans of all link faults, and the moments of process events of the two processes.

    The duplication and the first start of the duplicate are not disturbances.
    """
    expected = [duplication, *list(_duplicate_events(history, duplication, EventKind.PROCESS_STARTED))[:1]]
    kinds = (
        EventKind.KILLED,
        EventKind.TERMINATED,
        EventKind.SUSPENDED,
        EventKind.PROCESS_STARTED,
        EventKind.DUPLICATED,
    )
    return [
        *((fault.at, fault.end) for fault in history.plan.faults if fault.kind in LINK_FAULTS),
        *(
            (event.at, event.at)
            for event in history.of_kind(*kinds)
            if base_name(event.member) == duplication.member and event not in expected
        ),
    ]


def _check_shared_waits(history: History) -> Iterator[Breach]:
    impairments, disturbances = LinkImpairments(history), find_disturbances(history)
    # By endpoint: start and end of the Retry-After that ends last, and the member that received it.
    waits: dict[str, tuple[float, float, str]] = defaultdict(lambda: (0.0, 0.0, ""))
    for event in history.of_kind(EventKind.CALL_ANSWERED, EventKind.CALL_STARTED):
        member, endpoint = event.member, event.source
        since, until, first = waits[endpoint]
        if event.kind == EventKind.CALL_ANSWERED:
            if wait_s := event.payload["wait"]:
                wait_until = event.at + wait_s * (1 - MAX_CLOCK_DRIFT)
                if wait_until > until:
                    waits[endpoint] = event.at, wait_until, member
            continue
        if member == first or not since + WAIT_PROPAGATION_S < event.at < until - WAIT_TOLERANCE_S:
            continue
        if not is_quiet(disturbances, since - QUIET_BEFORE_WAIT_S, event.at):
            continue
        impaired_since = since - IMPAIRMENT_BEFORE_WAIT_S
        names = history.plan.member_names
        if any(impairments.overlap(name, endpoint, impaired_since, event.at) for name in names):
            continue
        text = f"{member} calls {endpoint}, which asked {first} at {since:.3f} to wait until {until:.3f}"
        yield Breach("others' waits", event.at, (member, first, endpoint), text)
