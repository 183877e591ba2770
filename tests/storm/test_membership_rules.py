"""The rules on membership, checked on hand-written histories.

A valid history has no breach, and each rule rejects an invalid one.
"""

from __future__ import annotations

import pytest

from emberlatch.storm import Fault, check_history
from tests.storm.test_message_rules import Events, answer, call, history, runner_event

NAMES = ("f0", "f1", "f2")


def event(at: float, source: str, kind: str, **payload: object) -> Events:
    return [(at, source, kind, payload)]


def peer_state(at: float, observer: str, peer: str, state: str = "alive", inc: int = 1 << 20) -> Events:
    payload = {"member": peer, "state": state, "was": "", "incarnation": inc, "life": inc >> 20}
    return event(at, observer, "member", **payload)


def quota_share(at: float, observer: str, part: float) -> Events:
    return event(at, observer, "standing", size=3, part=part, closed=[], cut="")


def formed(at: float = -0.5) -> Events:
    """Return the events of three members that start and see each other."""
    events: Events = []
    for name in NAMES:
        events += runner_event(at - 0.1, "up", name) + event(at, name, "life", life=1, fresh=True, size=3)
        events += [item for other in NAMES if other != name for item in peer_state(at + 0.1, name, other)]
        events += event(at + 0.2, name, "majority", was="joining", seconds=0.1) + quota_share(
            at + 0.2, name, 1 / 3
        )
    return events


END: Events = [(30.0, "rig", "calm", {}), (31.0, "rig", "healed", {}), (42.0, "rig", "settled", {})]
VALID = formed() + END


def rules(events: Events, *faults: Fault) -> list[str]:
    return [breach.rule for breach in check_history(history(events, *faults))]


def test_a_valid_history_and_one_without_a_fleet_have_no_breach() -> None:
    assert rules(VALID) == [] and rules(END) == []


def f0_unreachable(at: float, *observers: str) -> Events:
    return [item for name in observers for item in peer_state(at, name, "f0", "unreachable")]


F0_KILLED = runner_event(10.0, "killed", "f0") + runner_event(10.0, "dead", "f0")
F0_RESTARTED = (
    runner_event(30.1, "up", "f0") + event(30.1, "f0", "life", life=2) + quota_share(30.1, "f0", 0.1)
)
F0_RESTARTED += [
    item
    for other in ("f1", "f2")
    for item in peer_state(30.2, "f0", other) + peer_state(30.2, other, "f0", inc=2 << 20)
]
F0_RESTARTED += event(30.3, "f0", "majority", was="joining", seconds=0.2)
F1_SUSPENDED = runner_event(10.0, "stopped", "f1") + runner_event(13.0, "continued", "f1")
F0_DUPLICATED = event(10.0, "rig", "twin", member="f0")

BROKEN: dict[str, tuple[str, Events]] = {
    "a member is never seen again": ("heals", formed() + peer_state(20.0, "f1", "f2", "unreachable") + END),
    "a member holds itself cut off for ever": ("heals", formed() + event(20.0, "f1", "cut", why="stalled") + END),
    "a death that one member does not notice": ("detects", VALID + F0_KILLED + f0_unreachable(12.0, "f1") + F0_RESTARTED),
    "a death out of nothing": ("false death", VALID + peer_state(20.0, "f1", "f2", "unreachable") + peer_state(20.5, "f1", "f2")),
    "a stall that is not reported": ("stalled", VALID + F1_SUSPENDED + peer_state(13.1, "f1", "f0", "suspect") + peer_state(13.2, "f1", "f0")),
    "an earlier incarnation": ("backwards", VALID + peer_state(9.0, "f1", "f0", inc=3 << 20) + peer_state(9.5, "f1", "f0")),
    "left and was not asked to": ("left", formed() + peer_state(20.0, "f1", "f2", "left") + peer_state(21.0, "f1", "f2") + END),
    "parts of more than all": ("parts", VALID + quota_share(20.0, "f1", 0.4)),
    "a twin and nobody stops": ("two of a name", VALID + F0_DUPLICATED),
    "a twin and the later one stops": ("two of a name", VALID + F0_DUPLICATED + runner_event(11.0, "dead", "f0'")),
    "a twin that starts late and nobody stops": (
        "two of a name",
        VALID + F0_DUPLICATED + runner_event(10.1, "start", "f0'") + runner_event(17.0, "up", "f0'"),
    ),
    "a twin whose start is recorded late and nobody stops": ("two of a name", VALID + F0_DUPLICATED + runner_event(10.5, "start", "f0'")),
    "a twin that starts late and stops": (
        "two of a name",
        VALID + F0_DUPLICATED + runner_event(10.1, "start", "f0'") + runner_event(17.0, "up", "f0'") + runner_event(18.0, "dead", "f0'"),
    ),
    "a twin that stops soon before the end": (
        "two of a name",
        VALID + event(26.0, "rig", "twin", member="f0") + runner_event(28.0, "dead", "f0'"),
    ),
    "a wait that another member was asked for": (
        "others' waits",
        VALID + answer(10.0, 1, 429, 3.0) + call(11.0, 2, "z", member="f1"),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", BROKEN)
def test_a_history_that_breaks_a_rule_has_a_breach_of_that_rule(name: str) -> None:
    rule, events = BROKEN[name]
    assert rule in rules(events)


def test_expected_reactions_to_faults_are_no_breach() -> None:
    assert rules(VALID + F0_KILLED + f0_unreachable(12.0, "f1", "f2") + F0_RESTARTED) == []
    assert rules(VALID + F1_SUSPENDED + event(13.01, "f1", "stalled", seconds=3.0) + event(13.02, "f1", "cut", why="x")
                 + event(13.1, "f1", "majority", was="stalled", seconds=0.1)) == []  # fmt: skip
    assert rules(VALID + F0_DUPLICATED + runner_event(11.0, "dead", "f0") + F0_RESTARTED) == []
    slow_duplicate = F0_DUPLICATED + runner_event(10.1, "start", "f0'") + runner_event(17.0, "up", "f0'")
    assert rules(VALID + slow_duplicate + runner_event(18.0, "dead", "f0") + F0_RESTARTED) == []
    late_duplicate = (
        runner_event(26.0, "twin", "f0")
        + runner_event(26.1, "start", "f0'")
        + runner_event(27.0, "up", "f0'")
    )
    assert (
        rules(
            VALID + late_duplicate + runner_event(29.99, "killed", "f0'") + runner_event(30.0, "dead", "f0'")
        )
        == []
    )
    partition = Fault(17.0, "cut", ("f1",), until=21.0, destinations=("f2",), bidirectional=True)
    f2_unreachable = peer_state(20.0, "f1", "f2", "unreachable") + peer_state(21.5, "f1", "f2")
    assert rules(VALID + f2_unreachable, partition) == []
    f0_leaves = runner_event(10.0, "term", "f0") + runner_event(10.1, "dead", "f0")
    assert (
        rules(
            VALID
            + f0_leaves
            + [item for name in ("f1", "f2") for item in peer_state(10.1, name, "f0", "left")]
            + F0_RESTARTED
        )
        == []
    )
