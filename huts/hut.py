"""One process of the system, whatever its role: links to the others, and the parts that its settings ask for.

A process with a disk keeps the state and delivers; one that clients reach takes messages in; one with a
control address takes calls, and passes on what it can't settle.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Any

from emberlatch.engine import Machine, Tasks
from emberlatch.store import Offload
from huts.cairn import Cairn, WordFiles
from huts.descent import Descent
from huts.events import Event, say
from huts.lookout import Target, Targets
from huts.refuge import Keeper, Ledger, Phase, Record, Shelf, State, Stock
from huts.register import Member, Roster, first, rank
from huts.retire import Retirements
from huts.rope import BEAT, Lost, Peer, PeerState, RopeServer, Strand, Tally
from huts.trailhead import Desk, Front, Gate, Ready
from huts.trailhead import desk as desks
from huts.waymark import Boot, Configuration

FEW = 6  # stores to which a forwarder tells as often as a store does that it is there
LEFT_OUT = "left out"  # the name under which those that were counted out are noted
MOST_OF_IT = 0.8  # share of a zone's part of a limit that the store has whose turn the service is
ROSTER = "stores"  # the name under which the stores are noted on disk
TAKE_STILL = (
    2.7  # seconds after SIGTERM in which clients that still come are served; at most part of the grace
)
SEEDED = 10.0  # seconds from the start for which all seeds are dialled
ASK_AGAIN = 1.5  # seconds between two questions for the list of stores
GATHER = 0.1  # seconds for which news of stores are gathered before they are passed on
LEFT = 6.0  # seconds of silence after which a store counts no more among those that must agree
FORGOTTEN = 120.0  # seconds after which it is dialled no more


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
        self.boot, self.machine, self.tasks, self.tally = boot, machine, Tasks(), Tally()
        self._offload, self._seed, self._failed = offload, seed, failed
        control = boot.listen.get("control")
        self.me = Member(
            boot.node, boot.ip, boot.inner_port, boot.zone, boot.region, boot.stores, boot.counted,
            f"{control[0]}:{control[1]}" if control else "", life,
        )  # fmt: skip
        self.roster = Roster(self.me)
        self._peers: dict[tuple[str, int], Peer] = {}
        self._phases: dict[str, str] = {}
        self.stopping = False
        self._began = asyncio.get_running_loop().time()
        self._asked = -1e9  # when it last asked for a list of stores
        self._untold: dict[str, Member] = {}  # stores of which the others are to hear
        self._left: set[str] = set()
        self._turn = 0
        self.retire = Retirements(boot.node, self.tasks, self)
        files = WordFiles(boot.data_dir / "word") if boot.stores and boot.data_dir else None
        self.cairn = Cairn(boot.node, files, offload, self.tasks, self.enough, self.other_stores)
        self.cairn.in_force = self._in_force
        self.keeper: Keeper | None = None
        self.descent: Descent | None = None
        self.targets: Targets | None = None
        self.front: Gate | None = None
        self.desk: Gate | None = None
        self.ready: Gate | None = None

    # The others.

    def enough(self, nodes: Iterable[str]) -> bool:
        """Whether what these machines' disks have bears the losses that the settings name."""
        known = self.roster.members
        counted = (n for n in set(nodes) if not self.retire.marked(n))
        members = [m for n in counted if (m := known.get(n)) is not None and m.store]
        want = self.boot.resilience
        return (
            len(members) > want.machines
            and len({m.zone for m in members}) > want.zones
            and len({m.region for m in members}) > want.regions
        )

    def stores(self) -> dict[str, Peer]:
        """The other stores, by node."""
        found = {}
        for member in self.roster.stores():
            peer = self._peers.get((member.ip, member.port))
            if member.node != self.boot.node and peer is not None:
                found[member.node] = peer
        return found

    def current(self) -> dict[str, Peer]:
        """Those of them that count: not retired, nor silent for long while most of the others were there."""
        return {n: p for n, p in self.stores().items() if n not in self._left and not self.retire.done(n)}

    def _count_out(self, now: float) -> None:
        """A store that is silent for long counts no more, as long as most of the rest hear each other: who is
        cut off itself never counts anybody out."""
        if self.keeper is None:
            return
        for name, peer in self.stores().items():
            silent = now - max(peer.last_up, peer.began)
            if peer.up and name in self._left:
                self._left.discard(name)
                self._note_left()
            elif peer.up:
                continue
            elif name not in self._left and silent > LEFT and self.keeper.holding.in_touch():
                self._left.add(name)
                self._note_left()
                say(Event.MEMBER_LEFT, name)
            elif name in self._left and silent > FORGOTTEN:
                self._left.discard(name)
                self._note_left()
                self.roster.remove(name)
                self._dial()

    def _note_left(self) -> None:
        """Who was counted out stays so over our next start, until it is heard: nobody waits for it then."""
        if self.keeper is not None:
            self.keeper.stock.ledger.note(LEFT_OUT, sorted(self._left))
            self.keeper.stock.ledger.settle()

    def able_stores(self) -> list[Peer]:
        """Those that take messages and copies."""
        return [p for n, p in self.current().items() if p.up and self.serving(n)]

    def other_stores(self) -> list[Peer]:
        """Those of them that can be asked."""
        return [peer for peer in self.stores().values() if peer.up]

    def near_stores(self, thing: str = "") -> list[Peer]:
        """The stores that take messages, those of our zone first; of these the one whose turn a thing is, so
        that what goes to one service is in few hands."""
        members = self.roster.members

        def order(peer: Peer) -> tuple[bool, bool, bool, int]:
            member = members[peer.name]
            far, abroad = member.zone != self.boot.zone, member.region != self.boot.region
            return peer.lagging, far, abroad, -rank(thing, peer.name)

        return sorted(self.able_stores(), key=order)

    def partners(self, have: set[str]) -> list[Peer]:
        """The stores that may keep what these have, the best first: what is lacking of zones and regions,
        else our own zone, for each body that leaves it is paid for."""
        members, want = self.roster.members, self.boot.resilience
        zones = {m.zone for n in have if (m := members.get(n)) is not None}
        regions = {m.region for n in have if (m := members.get(n)) is not None}
        new_zone, new_region = len(zones) <= want.zones, len(regions) <= want.regions
        self._turn += 1
        turn = str(self._turn)

        def order(peer: Peer) -> tuple[bool, bool, bool, bool, int]:
            member = members[peer.name]
            return (
                peer.lagging,
                new_region and member.region in regions,
                new_zone and member.zone in zones,
                not new_zone and member.zone != self.boot.zone,
                rank(turn, peer.name),
            )

        return sorted((p for p in self.able_stores() if p.name not in have), key=order)

    def serving(self, node: str) -> bool:
        """Whether a store said that it takes messages and copies."""
        return self._phases.get(node) == Phase.SERVING.value

    def _dial(self) -> None:
        """Keep a link to each store; to the seeds for a while, or as long as none is known: the first that
        answers may know only part of the others."""
        wanted = {(m.ip, m.port): m.node for m in self.roster.stores() if m.node != self.boot.node}
        young = asyncio.get_running_loop().time() - self._began < SEEDED
        if young or len(wanted) < 1 + (not self.boot.stores) or not any(p.up for p in self._peers.values()):
            for host, _ in self.boot.seeds:
                if host != self.boot.ip:
                    wanted.setdefault((host, self.boot.inner_port), f"seed {host}")
        for address, name in wanted.items():
            peer = self._peers.get(address)
            if peer is None:
                self._peers[address] = Peer(name, address, self.serve, self.tasks, self, self.tally)
            elif not name.startswith("seed "):
                peer.name = name
        for address in [a for a in self._peers if a not in wanted]:
            self._peers.pop(address).close()

    def _members(self, told: Any, peer: Peer | Strand | None) -> None:
        """What another process says of itself and of the stores that it knows."""
        told_of, speaker = [Member.read(item) for item in told["roster"]], Member.read(told["me"])
        news = [m for m in (*told_of, speaker) if self.roster.add(m) and m.store]
        self.roster.renew(speaker.node, asyncio.get_running_loop().time())
        if peer is not None:
            peer.name = speaker.node
        if told.get("phase") is not None:
            self._phases[speaker.node] = told["phase"]
        if not news:
            return
        for member in news:
            say(Event.MEMBER_NEW, member.node, member.ip, f"life={member.life}")
        self._dial()
        if self.keeper is None:
            return
        self.keeper.stock.ledger.note(ROSTER, [m.told() for m in self.roster.stores()])
        self.keeper.stock.ledger.settle()
        if not self._untold:
            asyncio.get_running_loop().call_later(GATHER, self._tell_members)
        self._untold.update((m.node, m) for m in news)

    def _tell_members(self) -> None:
        """Pass on what is new of the stores: only that, and what came within a moment in one piece."""
        news, self._untold = self._untold, {}
        told = self._roster_told() | {"roster": [m.told() for m in news.values()]}
        for peer in self.other_stores():
            peer.tell("members", told)
        for strand in list(self._rope.strands):
            member = self.roster.members.get(strand.name)
            if member is not None and not member.store:
                strand.tell("members", told)

    # What is said on links by itself.

    def hello(self) -> dict[str, Any]:
        return self.beat() | self._roster_told()

    def _roster_told(self) -> dict[str, Any]:
        known = self.roster.stores() if self.boot.stores else []
        return {"me": self.me.told(), "roster": [m.told() for m in known]}

    async def _ask_roster(self, peer: Peer) -> None:
        with contextlib.suppress(Lost):  # the next beat says again that the lists differ
            self._members(await peer.ask("roster", None, 1.0), peer)

    def every(self) -> float:
        """Stores need to know soon that one of them is silent. Forwarders are many and go by answers that are
        owed: what all of them ask a store in a second does not grow with the stores."""
        return BEAT if self.boot.stores else BEAT * max(1.0, len(self.stores()) / FEW)

    def beat(self) -> dict[str, Any]:
        phase = self.keeper.phase.value if self.keeper is not None else None
        told = {"phase": phase, "word": self.cairn.told(), "stands": self.cairn.revision}
        told["stores"] = self.roster.digest()
        return told | ({"retire": self.retire.told()} if self.retire.marks else {})

    def greeted(self, peer: Peer, told: Any) -> None:
        self._members(told, peer)
        if Member.read(told["me"]).store:
            self.cairn.forget(peer.name)
        self._beat_of(peer, told)

    def beaten(self, peer: Peer, told: Any) -> None:
        self.roster.renew(peer.name, asyncio.get_running_loop().time())
        self._beat_of(peer, told)

    def _beat_of(self, peer: Peer, told: Any) -> None:
        self.retire.heard(told.get("retire") or {})
        if told["phase"] is not None:
            self._phases[peer.name] = told["phase"]
            self.cairn.meet(peer, told["word"], told["stands"])
            self._compare_lists(peer, told.get("stores"))

    def _compare_lists(self, peer: Peer, digest: Any) -> None:
        """Whoever has another list of stores is asked for it, now and then."""
        now = asyncio.get_running_loop().time()
        if isinstance(digest, int) and digest != self.roster.digest() and now - self._asked > ASK_AGAIN:
            self._asked = now
            self.tasks.spawn(self._ask_roster(peer))

    def changed(self, peer: Peer) -> None:
        if not peer.up:
            self._phases.pop(peer.name, None)
        if peer.up and self.targets is not None:
            now = asyncio.get_running_loop().time()
            for target in self.targets.known.values():
                peer.tell("target", target.told(now))
        self._dial()

    def _tell_beat(self) -> None:
        for peer in self.other_stores():
            peer.tell("beat", self.beat())
        for strand in list(self._rope.strands):
            strand.tell("news", [self.boot.node, self.beat()])

    # What others ask.

    def serve(self, strand: Strand, method: str, payload: Any) -> Any:
        """One question of another process."""
        match method:
            case "beat":
                self.roster.renew(strand.name, asyncio.get_running_loop().time())
                if payload and (peer := self.stores().get(strand.name)) is not None and peer.up:
                    self._beat_of(peer, payload)
                return self.beat()
            case "hello":
                self._members(payload, strand)
                return self.hello()
            case "roster":
                return self._roster_told()
            case "members":
                return self._members(payload, None)
            case "news":
                if (peer := self.stores().get(payload[0])) is not None and peer.up:
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
                return self.retire.kept(payload)
            case "target":
                assert self.targets is not None
                self.targets.heard(payload, asyncio.get_running_loop().time())
                return True
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
        self._rope = RopeServer(self.machine, (boot.ip, boot.inner_port), self.serve, self.tasks, self.tally)
        self._dial()
        most = max(16, (boot.max_fds - 300) // 2)
        if "front" in boot.listen:
            handler = Front(
                lambda: self.cairn.force,
                self.near_stores,
                self.other_stores,
                lambda: max(1, len(self.stores())),
            )
            self.front = Gate(boot.listen["front"], handler.handle, most, self.tasks, self.machine)
            self.front.start()
            self.ready = Gate(boot.listen["ready"], Ready(self.lacks).handle, 64, self.tasks, self.machine)
            self.ready.start()
        self._clerk: desks.Clerk = desks.Passer(self.near_stores)
        if self.keeper is not None and self.targets is not None:
            self._clerk = desks.Settler(self)
        if "control" in boot.listen:
            self.desk = Gate(boot.listen["control"], Desk(self._clerk).handle, most, self.tasks, self.machine)
            self.desk.most_body, self.desk.idle = 2 * 1024 * 1024, 30.0
            self.desk.start()
        self.cairn.load()
        if self.keeper is not None:
            self.tasks.spawn(self._store_life(self.keeper))
        say(Event.STARTED, boot.node, boot.role, f"life={self.me.life}", f"loop={type(loop).__module__}")

    def _make_store(self) -> None:
        boot = self.boot
        assert boot.data_dir is not None
        shelf = Shelf(boot.node)
        ledger = Ledger(boot.data_dir / "records.db", self._offload, self.machine.wall, self._failed)
        limits = boot.memory_mb * 1e6, boot.disk_mb * 1e6
        stock = Stock(boot.node, shelf, ledger)
        keeper = self.keeper = Keeper(
            stock, self.tasks, self.enough, self.current, self.stores, self.able_stores, self.partners,
            limits,
            boot.bounds.status_keep_s,
        )  # fmt: skip
        keeper.repair.leaving = lambda: set(self.retire.marks)
        self.retire.load(ledger.noted("retire"))
        self._left = set(ledger.noted(LEFT_OUT) or [])
        keeper.phase_changed = lambda _: self._tell_beat()
        for told in ledger.noted(ROSTER) or []:
            self.roster.add(Member.read(told | {"life": 0}))
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
        self.retire.resume()
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.25)
            assert self.targets is not None and self.descent is not None
            self.targets.tick(loop.time())
            self._count_out(loop.time())
            self.roster.lapse(loop.time() - FORGOTTEN)
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
        stores = self.roster.stores()
        zones = len({store.zone for store in stores})
        mine = [store.node for store in stores if store.zone == self.boot.zone]
        if len(mine) < 2:
            return max(1, zones)
        there = [n for n in mine if n == self.boot.node or n in self.current()]
        if first(service, there) == self.boot.node:
            return zones / MOST_OF_IT
        return zones * (len(mine) - 1) / (1 - MOST_OF_IT)

    def needed(self) -> int:
        """Of how many others it has to be heard which configuration they have."""
        return max(0, len(self.current()) - self.boot.resilience.machines)

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
        if self.keeper is not None and hasattr(self, "_rope"):
            self._tell_beat()

    def lacks(self) -> str:
        """What a front lacks to take messages; empty if nothing."""
        if self.stopping:
            return "stopping"
        if self.cairn.force is None:
            return "a configuration"
        able = [p.name for p in self.near_stores()]
        return "" if self.enough(able) else "enough stores"

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
            for peer in self._peers.values():
                peer.flush()
            await asyncio.sleep(0.03)
            await self.keeper.settled()
        self._rope.close()
        for peer in list(self._peers.values()):
            peer.close()
        await asyncio.sleep(0.02)
        if self.keeper is not None:
            self.keeper.stock.ledger.close()
        say(Event.STOPPED, self.boot.node)
        self.tasks.cancel()


__all__ = ["Hut", "PeerState"]
