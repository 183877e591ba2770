"""Unit tests of the membership rules: the order of updates, suspicions, local health, protocol instances."""

from __future__ import annotations

import pytest

from emberlatch.fleet.frames import Handshake, MemberState, MemberUpdate
from emberlatch.fleet.membership import (
    MembershipMachine,
    Peer,
    ProcessIdentity,
    ProtocolParameters,
    first_incarnation,
)
from emberlatch.fleet.membership.local_health import LocalHealth
from emberlatch.fleet.membership.protocol_instance import ProtocolInstance
from emberlatch.fleet.membership.suspicion import Suspicion

PARAMETERS = ProtocolParameters()


def test_of_two_different_updates_exactly_one_supersedes_the_other() -> None:
    updates = [MemberUpdate("m", state, inc) for inc in (1, 2, 3) for state in list(MemberState)[1:]]
    for first in updates:
        for second in updates:
            peer = Peer("m", first.state, first.incarnation)
            other = Peer("m", second.state, second.incarnation)
            assert not (peer.is_superseded_by(second) and other.is_superseded_by(first))
            assert peer.is_superseded_by(second) or other.is_superseded_by(first) or first == second


def test_confirmations_shorten_a_suspicion_and_flaps_lengthen_it() -> None:
    suspicion = Suspicion(0.0, "a", 10, PARAMETERS, 0.0, 0)
    unconfirmed = suspicion.deadline
    assert suspicion.confirm("b") and not suspicion.confirm("b") and suspicion.deadline < unconfirmed
    assert Suspicion(0.0, "a", 10, PARAMETERS, 0.0, 2).deadline == pytest.approx(3 * unconfirmed)
    suspicion.start_final_probe(5.0, 0.3)
    assert suspicion.in_final_probe and suspicion.deadline == 5.3
    suspicion.restart(7.0)
    assert not suspicion.in_final_probe and suspicion.deadline > 7.0


def test_the_health_score_stays_within_its_bounds() -> None:
    health = LocalHealth(8)
    health.adjust(-3)
    assert health.scale(1.0) == 1.0
    health.adjust(99)
    assert health.scale(1.0) == 9.0


def test_a_machine_starts_with_the_identity_of_its_process() -> None:
    machine = MembershipMachine(ProcessIdentity("a", 3, "run"), ["a", "b"], now=0.0, seed=1)
    assert machine.handshake("f") == Handshake("f", "a", first_incarnation(3), "run", member_count=2)
    assert machine.identity.generation == 3 and list(machine.peers) == ["b"]


def test_protocol_instances_share_no_state_and_draw_alike_with_the_same_seed() -> None:
    one, other = (ProtocolInstance.begin(PARAMETERS, seed=7) for _ in range(2))
    one.peers.configure(0.0, ["b"])
    one.queue.add(MemberUpdate("b", MemberState.ALIVE, 1))
    assert one.queue and not other.queue and not other.peers and not other.outbox.take()
    assert [one.rng.random() for _ in range(3)] == [other.rng.random() for _ in range(3)]
