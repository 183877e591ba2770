"""The membership machine on a simulated network: failures, partitions, stalls and restarts."""

from __future__ import annotations

import pytest

from emberlatch.fleet.frames import MemberState, MemberUpdate
from emberlatch.fleet.membership import IsolationReason, first_incarnation
from tests.fleet.simulated_fleet import LATENCY_S, SimulatedFleet, partition


def running_fleet(size: int = 5, seed: int = 1) -> SimulatedFleet:
    """Return a fleet in which each member sees all others as alive."""
    fleet = SimulatedFleet(size, seed)
    fleet.run(5.0)
    assert all(fleet.is_seen_by_all(name, MemberState.ALIVE) for name in fleet.names)
    assert set(fleet.isolation_reasons().values()) == {IsolationReason.NONE}
    fleet.events.clear()
    return fleet


@pytest.mark.parametrize("size", [2, 3, 10, 40])
def test_all_members_learn_of_a_killed_member_and_of_its_next_generation(size: int) -> None:
    fleet = running_fleet(size)
    fleet.kill("m1")
    fleet.run(6.0 if size > 2 else 8.0)
    assert fleet.is_seen_by_all("m1", MemberState.UNREACHABLE)
    fleet.start("m1", 2)
    fleet.run(3.0)
    assert fleet.is_seen_by_all("m1", MemberState.ALIVE)
    others = [member for name, member in fleet.members.items() if name != "m1"]
    assert {member.peers["m1"].incarnation for member in others} == {first_incarnation(2)}


def test_killing_half_of_forty_members_at_once_isolates_the_others() -> None:
    fleet = running_fleet(40)
    for name in fleet.names[:20]:
        fleet.kill(name)
    fleet.run(12.0)
    for name in fleet.names[:20]:
        assert fleet.is_seen_by_all(name, MemberState.UNREACHABLE), name
    assert set(fleet.isolation_reasons().values()) == {IsolationReason.NO_MAJORITY}


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_a_fifth_of_the_frames_and_a_slow_member_make_no_member_unreachable(seed: int) -> None:
    fleet = running_fleet(10, seed)
    fleet.is_lost = lambda one, other: fleet.random.random() < 0.2
    fleet.latency_s = lambda one, other: fleet.random.uniform(0.0, 0.4) if "m9" in (one, other) else LATENCY_S
    fleet.run(60.0)
    assert [fields for fields in fleet.logged("member") if fields["state"] == "unreachable"] == []


def test_a_link_that_fails_in_one_direction_is_logged_and_not_a_failure() -> None:
    fleet = running_fleet()
    fleet.is_lost = lambda one, other: (one, other) == ("m0", "m1")
    fleet.run(10.0)
    assert fleet.is_seen_by_all("m1", MemberState.ALIVE) and fleet.is_seen_by_all("m0", MemberState.ALIVE)
    assert {"member": "m1"} in fleet.logged("unreached", "m0")
    assert not fleet.members["m0"].peers["m1"].is_reached_directly


def test_two_members_linked_only_through_a_third_see_each_other_as_alive() -> None:
    fleet = running_fleet(3)
    fleet.is_lost = lambda one, other: {one, other} == {"m0", "m2"}
    fleet.run(15.0)
    assert fleet.is_seen_by_all("m0", MemberState.ALIVE) and fleet.is_seen_by_all("m2", MemberState.ALIVE)
    assert set(fleet.isolation_reasons().values()) == {IsolationReason.NONE}


def test_a_partition_of_four_members_into_halves_isolates_both_until_it_heals() -> None:
    fleet = running_fleet(4)
    fleet.is_lost = partition({"m0", "m1"}, {"m2", "m3"})
    fleet.run(10.0)
    assert set(fleet.isolation_reasons().values()) == {IsolationReason.NO_MAJORITY}
    fleet.is_lost = lambda one, other: False
    fleet.run(3.0)
    assert set(fleet.isolation_reasons().values()) == {IsolationReason.NONE}
    assert all(fleet.is_seen_by_all(name, MemberState.ALIVE) for name in fleet.names)


def test_a_partition_of_five_members_isolates_the_two_and_not_the_three() -> None:
    fleet = running_fleet(5)
    fleet.is_lost = partition({"m0", "m1", "m2"}, {"m3", "m4"})
    fleet.run(10.0)
    majority = dict.fromkeys(["m0", "m1", "m2"], IsolationReason.NONE)
    assert fleet.isolation_reasons() == majority | dict.fromkeys(["m3", "m4"], IsolationReason.NO_MAJORITY)


def test_a_flapping_link_causes_ever_fewer_state_changes() -> None:
    fleet = running_fleet()
    fleet.is_lost = lambda one, other: "m1" in (one, other) and int(fleet.now) % 4 < 2
    fleet.run(60.0)
    failed_at = [
        at for at, name, _, fields in fleet.events if (name, fields.get("state")) == ("m0", "unreachable")
    ]
    assert len(failed_at) <= 6  # the link fails fifteen times
    assert len([at for at in failed_at if at > 35.0]) <= 2


@pytest.mark.parametrize(("seconds", "is_stall"), [(0.3, False), (2.0, True), (20.0, True)])
def test_a_stalled_member_logs_the_stall_before_anything_else(seconds: float, is_stall: bool) -> None:
    fleet = running_fleet()
    fleet.stopped.add("m2")
    fleet.run(seconds)
    fleet.events.clear()
    fleet.stopped.clear()
    fleet.run(0.2 if is_stall else 3.0)
    own = [event for _, name, event, _ in fleet.events if name == "m2"]
    assert own[:2] == (["stalled", "cut"] if is_stall else own[:2])
    assert ("stalled" in own) == is_stall
    fleet.run(3.0)
    assert fleet.isolation_reasons()["m2"] is IsolationReason.NONE and fleet.is_seen_by_all(
        "m2", MemberState.ALIVE
    )


def test_a_stall_is_detected_while_probes_are_rare() -> None:
    fleet = running_fleet()
    fleet.members["m2"].health.adjust(8)
    fleet.run(2.0)
    fleet.stopped.add("m2")
    fleet.run(1.2)
    fleet.stopped.clear()
    fleet.run(0.1)
    assert fleet.logged("stalled", "m2")


def test_after_a_stall_only_answers_to_later_pings_end_the_isolation() -> None:
    fleet = running_fleet()
    fleet.stopped.add("m2")
    fleet.run(2.0)
    fleet.stopped.clear()
    fleet.is_lost = lambda one, other: one == "m2"  # frames in m2's receive buffer still arrive
    fleet.run(3.0)
    assert fleet.isolation_reasons()["m2"] is IsolationReason.STALLED
    fleet.is_lost = lambda one, other: False
    fleet.run(2.0)
    assert fleet.isolation_reasons()["m2"] is IsolationReason.NONE


def test_updates_and_frames_from_before_a_restart_are_ignored() -> None:
    fleet = running_fleet()
    fleet.kill("m1")
    fleet.run(1.0)
    fleet.start("m1", 2)
    fleet.run(3.0)
    late = MemberUpdate("m1", MemberState.UNREACHABLE, first_incarnation(1) + 7, "m1.1")
    for name in ("m0", "m2"):
        fleet.members[name]._apply(fleet.now, (late,))
    last_frame_at = fleet.members["m0"].peers["m1"].last_frame_at
    table = fleet.members["m1"].membership_table()
    fleet.members["m0"].on_frame(fleet.now + 0.1, "m1", first_incarnation(1), table)
    assert fleet.members["m0"].peers["m1"].last_frame_at == last_frame_at
    assert fleet.is_seen_by_all("m1", MemberState.ALIVE)


def test_a_member_that_left_stays_left_until_its_next_generation() -> None:
    fleet = running_fleet()
    fleet.members["m3"].leave(fleet.now)
    fleet.run(0.05)
    fleet.kill("m3")
    fleet.run(8.0)
    assert fleet.is_seen_by_all("m3", MemberState.LEFT)
    assert not [fields for fields in fleet.logged("member") if fields["state"] == "unreachable"]
    fleet.start("m3", 2)
    fleet.run(2.0)
    assert fleet.is_seen_by_all("m3", MemberState.ALIVE)


def test_in_a_rolling_restart_each_member_sees_all_but_one_and_is_not_isolated() -> None:
    fleet = running_fleet(4)
    for name in fleet.names:
        fleet.members[name].leave(fleet.now)
        fleet.run(0.05)
        fleet.kill(name)
        fleet.run(1.0)
        assert min(member.peers.present_count for member in fleet.members.values()) == 3
        fleet.start(name, 2)
        fleet.run(2.0)
    assert not fleet.logged("cut", "m0")[1:]  # the only isolation is that of m0's own start


def test_a_process_with_an_empty_state_folder_takes_the_next_generation_and_logs_it() -> None:
    fleet = running_fleet()
    fleet.kill("m1")
    fleet.run(5.0)
    fleet.start("m1", 1, run_suffix="new")
    fleet.run(3.0)
    assert fleet.logged("new_life", "m1")[0] == {"before": 1, "life": 2}
    assert fleet.is_seen_by_all("m1", MemberState.ALIVE) and not fleet.halted


def test_a_process_halts_when_a_later_generation_has_its_name() -> None:
    fleet = running_fleet()
    earlier = fleet.members["m1"]
    earlier.identity.end_join_window_at(0.0)
    later = MemberUpdate("m1", MemberState.ALIVE, first_incarnation(2), "another")
    earlier._apply(fleet.now, (later,))
    fleet.run(0.1)
    assert fleet.halted == ["m1"]
    assert "another process is m1" in fleet.logged("halted", "m1")[0]["why"]


def test_ticks_of_a_running_member_change_no_view() -> None:
    fleet = SimulatedFleet(5)
    member, ticks = fleet.members["m1"], []
    tick = member.tick
    member.tick = lambda now: (ticks.append(now), tick(now))[1]  # type: ignore[method-assign,func-returns-value]
    fleet.run(20.0)
    assert ticks and fleet.is_seen_by_all("m1", MemberState.ALIVE)


def test_a_longer_member_list_at_one_member_sets_the_fleet_size_for_all() -> None:
    fleet = running_fleet(3)
    fleet.members["m0"].configure(fleet.now, [*fleet.names, "m9"])
    fleet.run(0.1)
    assert [member.peers.fleet_size for member in fleet.members.values()] == [4, 4, 4]
    fleet.members["m0"].configure(fleet.now, fleet.names)
    fleet.run(0.1)
    assert [member.peers.fleet_size for member in fleet.members.values()] == [3, 3, 3]


def test_added_and_removed_members_change_the_fleet_size() -> None:
    fleet = running_fleet(3)
    member = fleet.members["m0"]
    member.configure(fleet.now, [*fleet.names, "m9"])
    assert member.peers.fleet_size == 4 and member.peers["m9"].state is MemberState.JOINING
    member.configure(fleet.now, fleet.names)
    fleet.run(3.0)
    assert fleet.isolation_reasons()["m0"] is IsolationReason.NONE and set(member.peers) == {"m1", "m2"}
    assert fleet.members["m1"].peers.fleet_size == 3
