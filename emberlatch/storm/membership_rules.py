"""The rules on membership, checked on the history of a storm. Pure.

| rule | breach |
| --- | --- |
| heals | after recovery a member does not see all others alive, or believes itself to be without a majority |
| detects | a member that is down for long while nothing else happens is still believed to be there |
| false death | a member that runs is believed unreachable while nothing happens, or little loss and delay |
| stalled | a process that was suspended reports or decides anything before it reports the stall |
| backwards | a member goes back to an earlier incarnation of a peer |
| left | a member is believed to have left that was not asked to, or one that left to be unreachable |
| parts | the quota shares of all running members sum to more than 1 |
| two of a name | of two processes with one name both go on, or the later one ends |
| others' waits | a member calls an endpoint that asked another member to wait |
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

from emberlatch.storm.availability import MAX_CLOCK_DRIFT, Availability, LinkImpairments, Span
from emberlatch.storm.breach import Breach
from emberlatch.storm.history import RUNNER, TWIN_SUFFIX, EventKind, History, HistoryEvent
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
HEAL_LIMIT_S = 8.0  # from the last process's start after all faults until everybody sees everybody
DETECTION_LIMIT_S = 10.0  # without any disturbance, also for members that distrust their own probes
QUIET_S = 4.0  # without any disturbance before an event that counts as undisturbed
QUIET_BEFORE_WAIT_S = 3.0
NOTICED_SUSPENSION_S = 1.2  # a suspension that must be noticed as a stall
WAIT_PROPAGATION_S = 0.2  # until all members know a wait that one was asked for
WAIT_TOLERANCE_S = 0.02  # by which a call may come before the end of a wait
IMPAIRMENT_BEFORE_WAIT_S = 2.0  # a link that was impaired so long before an answer excuses its reader
MAX_SHARE_SUM = 1.0 + 1e-4
HALT_LIMIT_S = 6.0  # from the serving of the second process until one of the two has ended
TWIN_KILL_MARGIN_S = 0.5  # before the faults are over: the runner may be killing the second process
SIMULTANEOUS_S = 0.01  # events so close are consequences of one another
MILD_FAULTS = (FaultKind.DELAY, FaultKind.LOSS, FaultKind.DISCONNECT)
MAX_MILD_AMOUNT = 0.1  # seconds of delay, or probability of loss
PRESENT_STATES = ("alive", "suspect")


def check_membership(history: History) -> list[Breach]:
    """All breaches of the rules on membership; none if the members did not form a fleet."""
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
    """The name that a process goes by in the fleet: a second one has it from the first."""
    return name.rstrip(TWIN_SUFFIX)


def find_disturbances(history: History, without: str = "", include_mild: bool = True) -> list[Span]:
    """Spans of faults between members and of processes, and moments at which processes started or ended.

    `without` leaves out what happened to the process of one member; `include_mild` says whether faults count
    that must not make any member unreachable.
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
    """Whether no disturbance overlaps a span."""
    return not any(begin <= until and end >= since for begin, end in disturbances)


def _check_healing(history: History) -> Iterator[Breach]:
    names = history.plan.member_names
    due = history.last_time_of(EventKind.RECOVERED, math.inf) + HEAL_LIMIT_S
    completed_at = history.last_time_of(EventKind.COMPLETED, 0.0)
    if completed_at < due and not MembershipViews(history, completed_at).are_complete(names):
        return  # the storm was over before it was due
    views = MembershipViews(history, due)
    for name in names:
        unseen = views.unseen_by(name, names)
        if unseen or views.is_partitioned(name):
            missing = ", ".join(unseen) or "a majority"
            text = f"{name} does not see {missing} {HEAL_LIMIT_S:g} s after all was healed"
            yield Breach("heals", due, (name, *unseen), text)


def _check_detection(history: History, availability: Availability) -> Iterator[Breach]:
    disturbances = find_disturbances(history)
    duplicated = {event.member for event in history.of_kind(EventKind.DUPLICATED)}
    for name, downtimes in availability.downtimes.items():
        if name in duplicated:
            continue  # the other process of that name is there
        for begin, end in downtimes:
            if (since := _quiet_part(disturbances, begin, end)) is not None:
                yield from _check_detected(history, availability, name, begin, since)


def _quiet_part(disturbances: list[Span], begin: float, end: float) -> float | None:
    """From when on nothing happens for `DETECTION_LIMIT_S` within a downtime; None if something always
    does."""
    for since in sorted({begin, *(over for _, over in disturbances if begin <= over < end)}):
        until = since + DETECTION_LIMIT_S
        later = [span for span in disturbances if span[1] > since + SIMULTANEOUS_S]
        if until < end and is_quiet(later, since + 2 * SIMULTANEOUS_S, until):
            return since
    return None


def _check_detected(
    history: History, availability: Availability, name: str, down_since: float, since: float
) -> Iterator[Breach]:
    """Everybody that ran all the time has noticed that a member is down."""
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
                    if event.at - suspended_at.pop(name, event.at) > NOTICED_SUSPENSION_S:
                        must_report.add(name)
                case EventKind.KILLED | EventKind.PROCESS_EXITED:
                    must_report.discard(name)
        elif event.source in must_report:
            if event.kind in FLEET_EVENTS:
                text = f"{event.source} reports {event.kind} {event.payload} before the stall that it had"
                yield Breach("stalled", event.at, (event.source,), text)
            if event.kind in (*FLEET_EVENTS, EventKind.STALL_DETECTED, EventKind.MEMBER_PROCESS_STARTED):
                must_report.discard(event.source)


def _check_incarnations(history: History) -> Iterator[Breach]:
    known: dict[tuple[str, str], int] = {}  # by observer and peer
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
            text = f"{event.source} believes that {name} left"
            yield Breach("left", event.at, (event.source, name), text)
        elif state == "unreachable" and (left_at := terminated_at.get(name)) is not None:
            if not _must_be_known_as_left(history, availability, event, left_at):
                continue
            text = f"{event.source} believes {name} to be unreachable, which left at {left_at:.3f}"
            yield Breach("left", event.at, (event.source, name), text)


def _must_be_known_as_left(
    history: History, availability: Availability, event: HistoryEvent, terminated_at: float
) -> bool:
    """Whether a member that was asked to leave is still down, and nothing kept others from learning it."""
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
                yield Breach("parts", event.at, (event.source,), f"the shares are {text}")
        elif event.source == RUNNER and event.kind == EventKind.PROCESS_EXITED:
            shares.pop(event.member, None)


def _check_duplicates(history: History, availability: Availability) -> Iterator[Breach]:
    faults_over_at = history.last_time_of(EventKind.FAULTS_OVER, math.inf)
    checked: set[str] = set()
    for duplication in history.of_kind(EventKind.DUPLICATED):
        name, at = duplication.member, duplication.at
        if name in checked or availability.was_down(name, at - QUIET_S, at):
            continue  # the first second process is still there, or there is no earlier one
        checked.add(name)
        # However long the second one took to start: what counts is when both serve.
        serving = (event.at for event in _twin_events(history, duplication, EventKind.SERVING))
        due = next(serving, at) + HALT_LIMIT_S
        until = min(due, faults_over_at - TWIN_KILL_MARGIN_S)
        if not is_quiet(_disturbances_of_pair(history, duplication), at - QUIET_S, until):
            continue
        ended = [
            event.member
            for event in history.of_kind(EventKind.PROCESS_EXITED)
            if at < event.at < until and base_name(event.member) == name
        ]
        # Who ended is checked however soon the storm ends; that nobody did, only once it was due.
        if ended != [name] and (ended or due <= faults_over_at):
            who = ", ".join(ended) or "nobody"
            text = f"of {name} and its twin of {at:.3f} the earlier one is to stop; {who} did"
            yield Breach("two of a name", until, (name,), text)


def _twin_events(history: History, duplication: HistoryEvent, kind: EventKind) -> Iterator[HistoryEvent]:
    twin = duplication.member + TWIN_SUFFIX
    return (event for event in history.of_kind(kind) if event.at >= duplication.at and event.member == twin)


def _disturbances_of_pair(history: History, duplication: HistoryEvent) -> list[Span]:
    """Faults of links, and what else happened to the two processes of one name."""
    expected = [duplication, *list(_twin_events(history, duplication, EventKind.PROCESS_STARTED))[:1]]
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
    # By endpoint: since and until when it asked for no calls, and which member.
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
