"""Membership: discovery from seeds, updates, permanent removal, and the cost of growing clusters."""

from __future__ import annotations

from dataclasses import replace

from ward import test

from emberlatch.cluster.membership import Member, Roster
from emberlatch.cluster.membership.roster_exchange import RosterExchange
from emberlatch.simulation.growth import measure
from emberlatch.simulation.scenario import Scenario
from tests.cluster.support import Plan, patched_attribute, play, until

ME = Member("a", "10.0.0.1", 7300, "z0", "r", True, True, "", 5)


def digests(scenario: Scenario) -> set[int]:
    return {
        n.running.membership.roster.digest()
        for n in scenario.cluster.nodes.values()
        if n.up and n.program is not None
    }


@test(
    "nine stores and twelve forwarders that know only three seeds discover all stores and the configuration"
)
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        for node in scenario.cluster.nodes.values():
            assert node.program is not None
            assert len(node.running.membership.stores()) == 9 - node.is_store, node.name
            assert node.running.active_configuration.revision == scenario.revision, node.name

    play(Plan(3, forwarders=12, stores=9), steps)


@test("every forwarder knows an added store within 1.5 s, although each update is sent only once")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        scenario.cluster.add_store("late", "z1")
        forwarders = [
            n.program for n in scenario.cluster.nodes.values() if not n.is_store and n.program is not None
        ]
        await until(lambda: all("late" in program.membership.stores() for program in forwarders), 1.5)

    play(Plan(4, forwarders=9, stores=6), steps)


@test("rosters become equal even if updates are lost, because their digests are compared")
def _() -> None:
    async def steps(scenario: Scenario) -> None:
        await scenario.start()
        scenario.cluster.add_store("late", "z1")
        await until(lambda: len(digests(scenario)) == 1, 6.0)

    with patched_attribute(RosterExchange, "_send_updates", lambda self: None):
        play(Plan(5, forwarders=6, stores=6), steps)


@test("a late update does not add a removed incarnation again, but a later incarnation can join")
def _() -> None:
    roster, other = Roster(ME), replace(ME, node="b", incarnation=7)
    assert roster.add(other) and roster.digest() != Roster(ME).digest()
    roster.remove("b")
    assert not roster.add(other) and roster.digest() == Roster(ME).digest()
    assert roster.add(replace(other, incarnation=8))


@test("a forwarder is removed when its lease expires, and a store is not")
def _() -> None:
    roster = Roster(ME)
    for node, store in (("f", False), ("s", True)):
        roster.add(replace(ME, node=node, store=store))
        roster.renew(node, 10.0)
    roster.expire_leases(9.0)
    assert set(roster.members) == {"a", "f", "s"}
    roster.expire_leases(11.0)
    assert set(roster.members) == {"a", "s"}


@test("cross-zone traffic at start grows with the pairs of processes, not with roster size times pairs")
def _() -> None:
    small, large = measure(6, 6), measure(24, 12)
    pairs = [f * s + s * s for f, s in ((6, 6), (24, 12))]
    assert large.start_cross_zone_bytes / small.start_cross_zone_bytes < 3 * pairs[1] / pairs[0], (
        small,
        large,
    )
    assert large.configuration_s < 1.0
