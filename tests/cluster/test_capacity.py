"""The traffic of one forwarder and one voter grows with the fleet no faster than docs/CAPACITY.md says."""

from __future__ import annotations

import json
from functools import cache

from ward import test

from emberlatch.cluster.node.heartbeats import FULL_RATE_STORES
from emberlatch.cluster.rpc.peer import DEFAULT_HEARTBEAT_INTERVAL_S
from emberlatch.simulation import control_cost
from emberlatch.simulation.control_cost import ControlCost, Deployment
from emberlatch.simulation.growth import GrowthCost, MemberCost, measure

IDLE_S = 4.0
TOLERANCE = 1.03  # the measured period may include one heartbeat more or less
TARGETS_FRAMES = 10.0  # allowed frames per second of a store for one target


@cache
def growth(forwarders: int, stores: int) -> GrowthCost:
    return measure(forwarders, stores, targets=1, idle_s=IDLE_S)


def frames(cost: MemberCost) -> float:
    return cost.frames_sent_per_s + cost.frames_received_per_s


@test("a forwarder's frames do not grow when the forwarders, the stores or both double")
def _() -> None:
    least = frames(growth(6, 6).forwarder)
    # Each heartbeat is a request and its response.
    assert 0 < least <= 2 * FULL_RATE_STORES / DEFAULT_HEARTBEAT_INTERVAL_S * TOLERANCE
    for size in ((12, 6), (6, 12), (12, 12)):
        assert frames(growth(*size).forwarder) <= least * TOLERANCE, size


@test("doubling the forwarders adds no more to a voter's frames than its share of their heartbeats")
def _() -> None:
    for stores in (6, 12):
        few, many = frames(growth(6, stores).busiest_store), frames(growth(12, stores).busiest_store)
        # Frames per second between one forwarder and one store: heartbeat requests and their responses.
        share = 2 * FULL_RATE_STORES / DEFAULT_HEARTBEAT_INTERVAL_S / stores
        assert 0 < many - few <= 6 * share * TOLERANCE, (stores, few, many)


@test("a voter's frames are at most its share of the forwarders' heartbeats, and those of all other stores")
def _() -> None:
    for forwarders, stores in ((6, 6), (12, 6), (6, 12), (12, 12)):
        of_forwarders = forwarders * 2 * FULL_RATE_STORES / DEFAULT_HEARTBEAT_INTERVAL_S / stores
        # Per heartbeat interval, two stores exchange two requests and two responses.
        of_stores = (stores - 1) * 2 * 2 / DEFAULT_HEARTBEAT_INTERVAL_S
        most = (of_forwarders + of_stores) * TOLERANCE + TARGETS_FRAMES
        assert frames(growth(forwarders, stores).busiest_store) <= most, (forwarders, stores)


@cache
def change(voters: int, stores: int, forwarders: int) -> ControlCost:
    return control_cost.measure(Deployment(voters, stores, forwarders, rounds=5))


@test("a change costs a voter no more synced files when stores and forwarders double")
def _() -> None:
    small, large = change(3, 6, 4), change(3, 12, 8)
    assert 0 < large.files_busiest <= small.files_busiest + 0.5, (small, large)


@test(
    "a change costs two rounds of calls to the voters, one call to each other store, and two to hand it over"
)
def _() -> None:
    for voters, stores, forwarders in ((3, 6, 4), (3, 12, 8)):
        rounds, learners = 2 * (voters - 1), stores - 1
        most = 2 * (
            rounds + learners + 2
        )  # the 2: the machine that is called hands the change to the proposing voter, and learns the result
        assert most - 4 <= change(voters, stores, forwarders).methods["control state"].frames <= most


@test("the JSON output of the growth command contains the costs of the members and the methods")
def _() -> None:
    report = json.loads(json.dumps(growth(6, 6).to_json()))
    assert report["forwarder"]["frames_sent"] > 0 and report["store"]["bytes_received"] > 0
    assert report["methods"]["beat"] > 0
