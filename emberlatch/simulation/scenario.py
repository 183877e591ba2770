"""A day of a simulated cluster: start, traffic, faults, quiet, and what everyone is asked at the end."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from emberlatch.faults.run import abandon
from emberlatch.net.http import BrokenError
from emberlatch.simulation.actors import Clients, Operator, ask
from emberlatch.simulation.cluster import FRONT, SYNC, Fault, Plan, SimulatedCluster, SimulatedNode
from emberlatch.simulation.disk import DiskFault
from emberlatch.simulation.history import Breach

SETTLE = 12.0  # seconds after the last message until the end is asked for
STORE_FAULTS = ("kill", "term", "power", "wipe", "freeze", "cut", "replace", "add", "retire", "stall")
PLANNED = ("term", "configuration", "bad configuration", "race", "target leave", "add", "retire")
ONE_AT_A_TIME = (
    9.0  # seconds between losses of stores: one may be lost at once, and is lost until it is whole
)


def draw(seed: int, strange: bool = False, large: bool = False) -> Plan:
    """A drawn deployment and day; `strange` ones lose stores faster than the settings allow, `large` ones
    have the size of deployments that have grown."""
    chance = random.Random(f"plan {seed}")
    stores = chance.choice((12, 15, 18) if large else (3, 3, 3, 4, 5, 7, 9))
    fronts = chance.randrange(16, 41) if large else chance.randrange(2, 7)
    seconds = chance.uniform(8.0, 16.0)
    faults, at = list[Fault](), 1.0
    while at < seconds - 1:
        kind = chance.random()
        if kind < 0.4:
            what = chance.choice(STORE_FAULTS)
            length = chance.uniform(0.5, 7.0 if what == "cut" else 3.0)
            faults.append(Fault(at, what, f"s{chance.randrange(stores)}", length))
            at += 2.5 if what in ("term", "add") or strange else ONE_AT_A_TIME + max(0.0, length - 3.0)
            continue
        if kind < 0.6:
            faults.append(
                Fault(at, chance.choice(("kill", "term", "power")), f"f{chance.randrange(fronts)}", 2.0)
            )
        elif kind < 0.75:
            faults.append(
                Fault(
                    at,
                    chance.choice(("target crash", "target leave", "target reuse", "lose answers")),
                    "",
                    2.0,
                )
            )
        elif kind < 0.9:
            faults.append(Fault(at, chance.choice(("configuration", "configuration", "race"))))
        else:
            faults.append(Fault(at, "bad configuration"))
        at += chance.uniform(0.2, 2.0)
    closing = chance.choice(("", "", "all kill", "all power", "stores power", "wipe and power"))
    lost = max((f.at + f.seconds for f in faults if f.who.startswith("s")), default=-9.0)
    if closing == "wipe and power" and lost + 6.0 > seconds and not strange:
        closing = "all power"  # one loss at a time is borne, and one lasts until the machine is whole again
    if closing:
        faults.append(Fault(seconds - 0.5, closing, f"s{chance.randrange(stores)}", chance.uniform(0.5, 1.5)))
    return Plan(
        seed, zones=chance.choice((3, 4) if large else (1, 2, 3)), fronts=fronts, stores=stores,
        targets=chance.randrange(8, 30) if large else chance.randrange(2, 9),
        per_s=chance.uniform(10, 50), seconds=seconds, poison=chance.choice((0.0, 0.02, 0.1)),
        losses=2 if stores >= 5 and chance.random() < 0.5 else 1,
        rate=chance.choice((0.0, 0.0, 6.0, 20.0)), faults=tuple(faults),
    )  # fmt: skip


class Scenario:
    """Plays a plan."""

    def __init__(self, world: SimulatedCluster) -> None:
        self.world, self.plan = world, world.plan
        self.operator = Operator(world)
        self.revision = 3

    async def start(self) -> None:
        """The first start, targets and a configuration."""
        world, plan = self.world, self.plan
        for node in world.nodes.values():
            node.start()
        zones = sorted({n.zone for n in world.nodes.values()})
        for n in range(plan.targets):
            await world.add_target(world.services[n % len(world.services)], zones[n % len(zones)])
        if plan.rate:
            await world.add_target("outside", zones[0], ("172.20.0.3", 8043))
        assert await self.operator.send(self.revision), "no configuration was taken"
        await asyncio.sleep(2.5)
        world.first = False

    async def run(self) -> None:
        """From the first start to the last question."""
        world, plan, loop = self.world, self.plan, self.world.loop
        await self.start()
        zones = sorted({n.zone for n in world.nodes.values()})
        for fault in plan.faults:
            world.later(fault.at, lambda fault=fault: self.fault(fault))  # type: ignore[misc]
        await asyncio.gather(*(Clients(world, z, plan.per_s / len(zones)).run(plan.seconds) for z in zones))
        await asyncio.sleep(SETTLE)
        await self._end()
        world.history.judge(4, 60.0, loop.time())
        if plan.rate:
            world.history.over("outside", plan.rate, 5.0, 1.1)

    def fault(self, fault: Fault) -> None:
        """Let something happen."""
        world, node = self.world, self.world.nodes.get(fault.who)
        now = world.loop.time()
        if fault.what not in PLANNED:
            world.history.faults += [now, now + fault.seconds]
        match fault.what:
            case "kill" if node is not None:
                node.kill(max(0.3, fault.seconds))
            case "term" if node is not None:
                node.term()
            case "power" | "wipe" if node is not None:
                node.power_off(fault.seconds, fault.what == "wipe")
            case "freeze" if node is not None and node.process is not None:
                node.process.stop()
                world.later(fault.seconds, lambda p=node.process: p.go_on(world.loop))  # type: ignore[misc]
            case "all kill":
                for one in world.nodes.values():
                    one.kill(fault.seconds)
            case "all power" | "wipe and power":
                for one in world.nodes.values():
                    one.power_off(fault.seconds, fault.what == "wipe and power" and one.name == fault.who)
            case "stores power":  # forwarders go on, with nobody to hand messages to
                for one in world.nodes.values():
                    if one.store:
                        one.power_off(fault.seconds)
            case "cut" if node is not None:
                for other in world.nodes.values():
                    if other.store and other is not node:
                        world.cut(node.name, other.name, fault.seconds)
            case "replace" if node is not None:
                node.power_off(1e6)
                world.later(max(0.6, fault.seconds), lambda: self._more(node.zone))
            case "add":
                self._more("z0")
            case "retire" if node is not None:
                world.loop.create_task(self._retire(node))
            case "stall" if node is not None:
                node.disk_s = fault.seconds
                world.later(fault.seconds, lambda: setattr(node, "disk_s", SYNC))
            case "disk full" if node is not None:
                node.disk.fail(DiskFault.FULL)
                world.later(fault.seconds, node.disk.mend)
            case "sync fails" if node is not None:
                node.disk.fail(DiskFault.SYNC_FAILS)
                world.later(fault.seconds, node.disk.mend)
            case "all disks full":
                for one in world.nodes.values():
                    one.disk.fail(DiskFault.FULL)
                    world.later(fault.seconds, one.disk.mend)
            case "race":
                self.revision += 2
                for controls, nominal in ((world.controls(), 700), (world.controls(), 900)):
                    body = world.text(self.revision, nominal)
                    world.loop.create_task(self.operator.send_raw(body, controls))
            case "configuration":
                self.revision += 1 + world.random.randrange(3)
                world.loop.create_task(self.operator.send(self.revision))
                if world.random.random() < 0.3:
                    world.loop.create_task(self.operator.send(max(3, self.revision - 1)))
            case "bad configuration":
                world.loop.create_task(self._bad())
            case "lose answers":
                for target in world.targets.values():
                    target.lost = 0.2
                    world.later(fault.seconds, lambda t=target: setattr(t, "lost", 0.0))  # type: ignore[misc]
            case _:
                self._target_fault(fault.what)

    def _more(self, zone: str) -> None:
        """A store more, with an empty disk."""
        self.world.add_store(f"s{len(self.world.nodes) + 10}", zone)

    async def _retire(self, node: SimulatedNode) -> None:
        """Have a store emptied, and take it away with its disk once that is done."""
        for _ in range(100):
            for control in self.world.controls():
                path = f"/api/retire/{node.name}"
                try:
                    told = await ask(
                        control, "POST", f"{path}/initiate", b'{"period_s":8}', {"Host": "c"}, 1.0
                    )
                    if told.status in (404, 409):
                        return
                    told = await ask(control, "GET", f"{path}/retrieve", b"", {"Host": "c"}, 1.0)
                except (OSError, BrokenError, TimeoutError):
                    continue
                if b"completed" in told.body:
                    return node.power_off(1e6, wipe=True)
            await asyncio.sleep(0.2)

    async def _bad(self) -> None:
        told = self.world.configuration(self.revision + 50)
        told["route_entries"][0]["service"] = "nobody"
        if await self.operator.send_raw(json.dumps(told).encode()) == 200:
            self.world.history.breach("CONFIG", self.world.loop.time(), "an invalid one was acknowledged")

    def _target_fault(self, what: str) -> None:
        world = self.world
        alive = [
            t
            for t in world.targets.values()
            if t.process.alive and t.state == "in_service" and t.service != "outside"
        ]
        if not alive:
            return
        target = world.random.choice(alive)
        if what == "target leave":
            world.run_in(target.process, target.leave())
            world.loop.create_task(world.add_target(target.service, target.zone))
        else:
            target.crash()
            other = (
                next(s for s in world.services if s != target.service)
                if what == "target reuse"
                else target.service
            )

            async def back() -> None:
                await asyncio.sleep(2.1)
                await world.add_target(other, target.zone, target.address if what == "target reuse" else None)
                await world.add_target(target.service, target.zone)

            world.loop.create_task(back())

    async def _end(self) -> None:
        """Ask for the state of all that was accepted, and for the bodies of what has not ended."""
        world, history = self.world, self.world.history
        history.read_back = await self.operator.read_back()
        fronts = [n for n in world.nodes.values() if not n.store]
        for sent in history.sent.values():
            if sent.answer != 202:
                continue
            for front in fronts:
                told = await self._get((front.host, FRONT), f"/api/message/{sent.id}")
                if told is not None:
                    state = json.loads(told)
                    history.states[sent.id] = state["state"], state.get("seal", "")
                    break
            if history.states.get(sent.id, ("",))[0] in ("queued", "dead_letter"):
                for front in fronts:
                    body = await self._get((front.host, FRONT), f"/api/message-body/{sent.id}")
                    if body is not None:
                        history.bodies[sent.id] = body
                        break

    async def _get(self, address: tuple[str, int], path: str) -> bytes | None:
        try:
            answer = await ask(address, "GET", path, b"", {"Host": "a.example"}, 2.0)
        except (OSError, BrokenError, TimeoutError):
            return None
        return bytes(answer.body) if answer.status == 200 else None


def play(
    plan: Plan, scene: Callable[[Scenario], Coroutine[Any, Any, None]] | None = None
) -> tuple[SimulatedCluster, list[Breach]]:
    """Play a plan to its end, or a scene of one's own in its deployment; the world as it was left, and what
    was wrong."""
    world = SimulatedCluster(plan)
    try:
        scenario = Scenario(world)
        world.loop.run_until_complete(scenario.run() if scene is None else scene(scenario))
        for failure in world.loop.failures:
            world.history.breach("FAULT", world.loop.time(), failure)
        return world, sorted(world.history.breaches, key=lambda b: b.at)
    finally:
        abandon(world.loop)
        world.close()
