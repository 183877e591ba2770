"""Every order of what can befall the operator's word on three disks, up to a depth, by the shipped `ConfigStore`.

Two operators send; what one machine tells another may come late, again, or never. A machine may die (its disk
stays) or come back with an empty disk, once. Each step makes stores of the state before, has them do one thing,
and reads the state off them.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine, Iterable, Iterator
from dataclasses import dataclass, replace
from functools import cache
from typing import Any

from emberlatch.cluster.config_store import ConfigStore
from emberlatch.cluster.config_store.files import digest
from emberlatch.cluster.settings import Configuration, read_configuration

STORES = ("a", "b", "c")
Rank = tuple[int, str]
NONE: Rank = (-1, "")


def text(revision: int, nominal: int = 80) -> bytes:
    """A version; of two operators' texts of one version the figure differs."""
    route = {
        "name": "r", "host_name": "h", "path_prefix": "/", "route_type": "deferred", "guard_timer_ms": 500,
        "nominal_ms": nominal, "priority": 1, "service": "s", "max_attempts": 2, "in_order": False,
        "retention_s": 60.0, "notify_uri": False, "nominal_start_ms": 500,
    }  # fmt: skip
    return json.dumps({"revision": revision, "route_entries": [route], "services": [{"name": "s"}]}).encode()


SENT = ((text(1), "a"), (text(2), "b"), (text(2, 90), "c"), (text(3), "c"))
"""What the operators send, and to whom."""


@cache
def parsed(raw: bytes) -> Configuration:
    return read_configuration(raw).ok


@cache
def rank(raw: bytes | None) -> Rank:
    return NONE if raw is None else (parsed(raw).revision, digest(raw))


@dataclass(frozen=True)
class Machine:
    """One store: what its disk has, and what its process knows; `force` is what stands there."""

    disk: bytes | None = None
    have: frozenset[tuple[str, Rank]] = frozenset()
    force: bytes | None = None


@dataclass(frozen=True)
class World:
    machines: tuple[Machine, ...] = (Machine(), Machine(), Machine())
    words: frozenset[tuple[str, str, bytes]] = frozenset()  # to whom, from whom, a whole text
    told: frozenset[tuple[str, str, Rank]] = frozenset()  # to whom, from whom, what its disk has
    sent: frozenset[int] = frozenset()
    acked: Rank = NONE
    deaths: int = 0
    wiped: int = 0
    breach: str = ""


def at_once(work: Coroutine[Any, Any, Any]) -> Any:
    try:
        work.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waited")


class Disk:
    """Stands in for the folder of versions."""

    def __init__(self, raw: bytes | None) -> None:
        self.raw = raw

    def newest(self) -> bytes | None:
        return self.raw

    def write(self, revision: int, raw: bytes) -> None:
        self.raw = raw


def alive(name: str, machine: Machine) -> tuple[ConfigStore, Disk]:
    """The shipped object in that state."""
    disk = Disk(machine.disk)

    async def offload(work: Callable[[], None]) -> None:
        work()

    def enough(nodes: Iterable[str]) -> bool:
        return len(set(nodes)) > 1

    config_store = ConfigStore(name, disk, offload, None, enough, list)  # type: ignore[arg-type]
    config_store._have = dict(machine.have)
    if machine.disk is not None:
        config_store.held, config_store._held = parsed(machine.disk), rank(machine.disk)
    if machine.force is not None:
        config_store.force, config_store._force = parsed(machine.force), rank(machine.force)
    return config_store, disk


def seen(world: World, at: int, config_store: ConfigStore, disk: Disk) -> World:
    """The world after one machine has done something."""
    raw = config_store.force.raw if config_store.force is not None else None
    machine = Machine(disk.raw, frozenset(config_store._have.items()), raw)
    before = world.machines[at]
    machines = (*world.machines[:at], machine, *world.machines[at + 1 :])
    world = replace(world, machines=machines)
    if rank(raw)[0] < rank(before.force)[0]:
        return replace(world, breach="BACK")
    return world


def steps(world: World) -> Iterator[World]:
    """All that can happen next."""
    for number, (raw, to) in enumerate(SENT):
        if number not in world.sent:
            at = STORES.index(to)
            config_store, disk = alive(to, world.machines[at])
            at_once(config_store.keep(raw))
            yield replace(seen(world, at, config_store, disk), sent=world.sent | {number})
    for at, name in enumerate(STORES):
        machine = world.machines[at]
        if machine.disk is not None:
            for other in STORES:
                if other != name:
                    yield replace(world, words=world.words | {(other, name, machine.disk)})
                    yield replace(world, told=world.told | {(other, name, rank(machine.disk))})
        for number in world.sent:  # its call is answered once what stands is as high
            raw, to = SENT[number]
            if to == name and rank(machine.force)[0] >= rank(raw)[0] and rank(machine.force) > world.acked:
                yield replace(world, acked=rank(machine.force))
        if world.deaths < 2:
            config_store, disk = alive(name, Machine(machine.disk))
            config_store.load()
            after = replace(world, machines=(*world.machines[:at], Machine(), *world.machines[at + 1 :]))
            yield replace(seen(after, at, config_store, disk), deaths=world.deaths + 1)
        if world.wiped < 1 and machine.disk is not None:
            machines = [
                replace(m, have=frozenset((n, r) for n, r in m.have if n != name)) for m in world.machines
            ]
            machines[at] = Machine()
            told = frozenset(t for t in world.told if t[1] != name)
            yield replace(world, machines=tuple(machines), told=told, wiped=1, deaths=world.deaths + 1)
    for to, sender, raw in world.words:
        at = STORES.index(to)
        config_store, disk = alive(to, world.machines[at])
        has = tuple(at_once(config_store.taken(raw)))
        after = seen(world, at, config_store, disk)
        yield replace(after, told=after.told | {(sender, to, (int(has[0]), str(has[1])))})
    for to, sender, has in world.told:
        at = STORES.index(to)
        config_store, disk = alive(to, world.machines[at])
        config_store.heard(sender, list(has))
        yield seen(world, at, config_store, disk)


def wrong(world: World) -> str:
    """What is broken now: an acknowledged version that fewer disks have than must bear a loss."""
    if world.breach or world.acked == NONE:
        return world.breach
    disks = sum(rank(m.disk) >= world.acked or rank(m.disk)[0] > world.acked[0] for m in world.machines)
    return "" if disks >= 2 - world.wiped else "LOST"


def explore(depth: int) -> tuple[int, set[str]]:
    """How many states there are within so many steps, and what was broken in them."""
    edge, known, broken = {World()}, {World()}, set[str]()
    for _ in range(depth):
        edge = {after for world in edge for after in steps(world)} - known
        known |= edge
        for world in list(edge):
            if what := wrong(world):
                broken.add(what)
                edge.discard(world)
    return len(known), broken
