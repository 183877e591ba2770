"""One process of the system, whatever its role: links to the others, and the parts that its settings ask for.

A process with a disk keeps the state and delivers; one that clients reach takes messages in; one with a
control address takes calls, and passes on what it can't settle.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from emberlatch.engine import Machine, Tasks
from emberlatch.store import Offload
from huts.cairn import Cairn, WordFiles
from huts.descent import Descent
from huts.events import Event, say
from huts.lookout import Target, Targets
from huts.party import FORGOTTEN, Party
from huts.refuge import Keeper, Ledger, Phase, Record, Shelf, State, Stock
from huts.register import Member, first
from huts.retire import Retirements
from huts.rope import BEAT, Peer, PeerState, RopeServer, Strand
from huts.trailhead import Desk, Front, Gate, Ready
from huts.trailhead import desk as desks
from huts.waymark import Boot, Configuration

FEW = 6  # stores to which a forwarder tells as often as a store does that it is there
MOST_OF_IT = 0.8  # share of a zone's part of a limit that the store has whose turn the service is
TAKE_STILL = (
    2.7  # seconds after SIGTERM in which clients that still come are served; at most part of the grace
)


class Hut:
    """See the module. `failed` is told when the disk can be believed no more."""

    def __init__(
        self,
        boot: Boot,
        machine: Machine,
        offload: Offload,
        life: int,
        seed: int,
        failed: Callable[[OSError], None],
    ) -> None:
        self.boot, self.machine, self.tasks = boot, machine, Tasks()
        self._offload, self._seed, self._failed = offload, seed, failed
        self.party = Party(boot, life, self.tasks, self, self.serve)
        self.stopping = False
        files = WordFiles(boot.data_dir / "word") if boot.stores and boot.data_dir else None
        self.cairn = Cairn(boot.node, files, offload, self.tasks, self.party.enough, self.other_stores)
        self.cairn.in_force = self._in_force
        self.keeper: Keeper | None = None
        self.descent: Descent | None = None
        self.targets: Targets | None = None
        self.front: Gate | None = None
        self.desk: Gate | None = None
        self.ready: Gate | None = None

    @property
    def retire(self) -> Retirements:
        """Who empties machines."""
        return self.party.retire

    def other_stores(self) -> list[Peer]:
        """The other stores that can be asked."""
        return self.party.other_stores()

    # What is said on links by itself.

    def hello(self) -> dict[str, Any]:
        return self.beat() | self.party.told()

    def every(self) -> float:
        """Stores need to know soon that one of them is silent. Forwarders are many and go by answers that are
        owed: what all of them ask a store in a second does not grow with the stores."""
        return BEAT if self.boot.stores else BEAT * max(1.0, len(self.party.stores()) / FEW)

    def beat(self) -> dict[str, Any]:
        phase = self.keeper.phase.value if self.keeper is not None else None
        told = {"phase": phase, "word": self.cairn.told(), "stands": self.cairn.revision}
        told["stores"] = self.party.roster.digest()
        return told | ({"retire": self.party.retire.told()} if self.party.retire.marks else {})

    def greeted(self, peer: Peer, told: Any) -> None:
        self.party.meet(told, peer)
        if Member.read(told["me"]).store:
            self.cairn.forget(peer.name)
        self._beat_of(peer, told)

    def beaten(self, peer: Peer, told: Any) -> None:
        self.party.roster.renew(peer.name, asyncio.get_running_loop().time())
        self._beat_of(peer, told)

    def _beat_of(self, peer: Peer, told: Any) -> None:
        self.party.retire.heard(told.get("retire") or {})
        if told["phase"] is not None:
            self.party.phases[peer.name] = told["phase"]
            self.cairn.meet(peer, told["word"], told["stands"])
            self.party.compare(peer, told.get("stores"))

    def changed(self, peer: Peer) -> None:
        if not peer.up:
            self.party.phases.pop(peer.name, None)
        if peer.up and self.targets is not None and self.targets.known:
            now = asyncio.get_running_loop().time()
            peer.tell("targets", [target.told(now) for target in self.targets.known.values()])
        self.party.dial()

    def _tell_beat(self) -> None:
        for peer in self.other_stores():
            peer.tell("beat", self.beat())
        for strand in list(self.party.rope.strands) if self.party.rope is not None else []:
            strand.tell("news", [self.boot.node, self.beat()])

    # What others ask.

    def serve(self, strand: Strand, method: str, payload: Any) -> Any:
        """One question of another process."""
        match method:
            case "beat":
                self.party.roster.renew(strand.name, asyncio.get_running_loop().time())
                if payload and (peer := self.party.stores().get(strand.name)) is not None and peer.up:
                    self._beat_of(peer, payload)
                return self.beat()
            case "hello":
                self.party.meet(payload, strand)
                if (peer := self.party.stores().get(strand.name)) is not None:
                    peer.speaks()
                return self.hello()
            case "roster":
                return self.party.told()
            case "members":
                return self.party.meet(payload, None)
            case "news":
                if (peer := self.party.stores().get(payload[0])) is not None and peer.up:
                    self._beat_of(peer, payload[1])
                return None
            case "tell word":
                return self.cairn.held.raw if self.cairn.held is not None else None
        if self.keeper is None:
            raise ValueError(f"{method}: not kept here")
        return self._serve_store(strand, method, payload, self.keeper)

    def _serve_store(self, strand: Strand, method: str, payload: Any, keeper: Keeper) -> Any:
        match method:
            case "take":
                return keeper.take(payload)
            case "claim":
                return keeper.claimed(payload)
            case "keep":
                return keeper.keep(payload)
            case "ended":
                return keeper.ended(payload)
            case "state":
                return keeper.state_of(payload)
            case "body":
                return keeper.body_of(payload)
            case "own":
                return keeper.holding.own(payload)
            case "ranges":
                return keeper.repair.ranges(strand.name, payload)
            case "records":
                return keeper.repair.records(payload)
            case "mend":
                return keeper.repair.take(payload)
            case "word":
                return self.cairn.taken(payload)
            case "version":
                return self.cairn.told()
            case "retire":
                return self.party.retire.kept(payload)
            case "target":
                assert self.targets is not None
                self.targets.heard(payload, asyncio.get_running_loop().time())
                return True
            case "targets":
                assert self.targets is not None
                for target in payload:
                    self.targets.heard(target, asyncio.get_running_loop().time())
                return None
            case "control":
                return self._control(payload)
        raise ValueError(f"no such question: {method}")

    async def _control(self, payload: Any) -> list[Any]:
        answer = await self._clerk.settle(payload[0], payload[1], payload[2])
        return [answer.status, answer.body]

    # Parts.

    async def start(self) -> None:
        """Begin; returns once all addresses listen."""
        boot, loop = self.boot, asyncio.get_running_loop()
        if boot.stores:
            self._make_store()
        inner = boot.ip, boot.inner_port
        self.party.rope = RopeServer(self.machine, inner, self.serve, self.tasks, self.party.tally)
        self.party.dial()
        most = max(16, (boot.max_fds - 300) // 2)
        if "front" in boot.listen:
            handler = Front(
                lambda: self.cairn.force,
                self.party.near_stores,
                self.other_stores,
                lambda: max(1, len(self.party.stores())),
            )
            self.front = Gate(boot.listen["front"], handler.handle, most, self.tasks, self.machine)
            self.front.start()
            self.ready = Gate(boot.listen["ready"], Ready(self.lacks).handle, 64, self.tasks, self.machine)
            self.ready.start()
        self._clerk: desks.Clerk = desks.Passer(self.party.near_stores)
        if self.keeper is not None and self.targets is not None:
            self._clerk = desks.Settler(self)
        if "control" in boot.listen:
            self.desk = Gate(boot.listen["control"], Desk(self._clerk).handle, most, self.tasks, self.machine)
            self.desk.most_body, self.desk.idle = 2 * 1024 * 1024, 30.0
            self.desk.start()
        self.cairn.load()
        if self.keeper is not None:
            self.tasks.spawn(self._store_life(self.keeper))
        life = f"life={self.party.me.life}"
        say(Event.STARTED, boot.node, boot.role, life, f"loop={type(loop).__module__}")

    def _make_store(self) -> None:
        boot, party = self.boot, self.party
        assert boot.data_dir is not None
        shelf = Shelf(boot.node)
        ledger = Ledger(boot.data_dir / "records.db", self._offload, self.machine.wall, self._failed)
        limits = boot.memory_mb * 1e6, boot.disk_mb * 1e6
        stock = Stock(boot.node, shelf, ledger)
        keeper = self.keeper = Keeper(
            stock, self.tasks, party.enough, party.current, party.stores, party.able_stores, party.partners,
            limits,
            boot.bounds.status_keep_s,
        )  # fmt: skip
        keeper.repair.leaving = lambda: set(party.retire.marks)
        party.recall(keeper)
        keeper.phase_changed = lambda _: self._tell_beat()
        self.targets = Targets(boot.heartbeat_ms / 1000, self._target_changed)
        window = boot.bounds.origin_window_s, boot.bounds.origin_excess
        self.descent = Descent(
            boot.zone, self.tasks, self._seed, stock.ours, self._finished, self._wrong,
            keeper.holding.in_touch, self._parts, window, max(64, (boot.max_fds - 300) // 4),
        )  # fmt: skip
        stock.deliverer = self.descent

    async def _store_life(self, keeper: Keeper) -> None:
        await keeper.start(self.boot.initial_start)
        self.tasks.spawn(keeper.tend())
        self.party.retire.resume()
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.25)
            assert self.targets is not None and self.descent is not None
            self.targets.tick(loop.time())
            self.party.count_out(loop.time())
            self.party.roster.lapse(loop.time() - FORGOTTEN)
            self.descent.poke()

    def _target_changed(self, target: Target) -> None:
        assert self.descent is not None
        self.descent.target(target)

    def _finished(self, record: Record, state: State, seal: str) -> None:
        assert self.keeper is not None
        self.keeper.finish(record, state, seal)

    def _wrong(self, id: str) -> None:
        assert self.targets is not None
        self.targets.wrong(id, asyncio.get_running_loop().time())

    def _parts(self, service: str) -> float:
        """By how many a limit is shared, the dead among them, for they may have sent just now.

        Of each zone one store has most of it, the one that the forwarders send the service's messages to; the
        others of the zone, which have what they took over, share the rest.
        """
        stores = self.party.roster.stores()
        zones = len({store.zone for store in stores})
        mine = [store.node for store in stores if store.zone == self.boot.zone]
        if len(mine) < 2:
            return max(1, zones)
        there = [n for n in mine if n == self.boot.node or n in self.party.current()]
        if first(service, there) == self.boot.node:
            return zones / MOST_OF_IT
        return zones * (len(mine) - 1) / (1 - MOST_OF_IT)

    def needed(self) -> int:
        """Of how many others it has to be heard which configuration they have."""
        return max(0, len(self.party.current()) - self.boot.resilience.machines)

    def whole(self) -> bool:
        assert self.keeper is not None
        return self.keeper.phase is not Phase.STARTING

    def reaches(self) -> bool:
        """Whether this process is not cut off from the other stores."""
        return self.keeper is None or self.keeper.holding.reaches()

    def _in_force(self, config: Configuration) -> None:
        for gate in (self.front,):
            if gate is not None:
                gate.limit(config.limits)
        if self.descent is not None:
            self.descent.configure(config)
        if self.keeper is not None and self.party.rope is not None:
            self._tell_beat()

    def lacks(self) -> str:
        """What a front lacks to take messages; empty if nothing."""
        if self.stopping:
            return "stopping"
        if self.cairn.force is None:
            return "a configuration"
        return "" if self.party.enough(p.name for p in self.party.able_stores()) else "enough stores"

    # The end.

    async def stop(self) -> None:
        """Leave in order: finish what is out, give the rest to others, well inside the grace."""
        self.stopping = True
        loop = asyncio.get_running_loop()
        until = loop.time() + self.boot.bounds.grace_s
        say(Event.STOPPING, self.boot.node)
        if self.front is not None:
            self.front.drain(True)
            still = loop.time() + min(TAKE_STILL, self.boot.bounds.grace_s * 0.45)
            while loop.time() < still:
                await asyncio.sleep(0.05)
            self.front.close_listener()
            while (self.front.busy or self.front.has_clients) and loop.time() < until - 1.5:
                await asyncio.sleep(0.05)
        if self.keeper is not None and self.descent is not None:
            self.keeper.become(Phase.CLOSING)
            if self.desk is not None:
                self.desk.close_listener()
                self.desk.drain(True)
            await self.descent.close(self.keeper.holding.hand_over, until)
            while loop.time() < until - 1.0 and (
                self.keeper.busy or (self.desk is not None and self.desk.busy)
            ):
                await asyncio.sleep(0.02)
            for peer in self.party.peers.values():
                peer.flush()
            await asyncio.sleep(0.03)
            await self.keeper.settled()
        self.party.close()
        await asyncio.sleep(0.02)
        if self.keeper is not None:
            self.keeper.stock.ledger.close()
        say(Event.STOPPED, self.boot.node)
        self.tasks.cancel()


__all__ = ["Hut", "PeerState"]
