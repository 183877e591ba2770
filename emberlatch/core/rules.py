"""Every decision of a forwarder. The types, events and actions are in interface.py.

The ordinary path is a bulkhead: a call holds a lease of its destination's pool; a message that finds
none waits briefly and is turned back. A ROUTE, which has its own limit, pace and health, is one endpoint
where routes are separate, else the whole destination.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from typing import Any

from emberlatch.core import handover
from emberlatch.core import interface as api
from emberlatch.core.interface import Effect, ListKind, Phase, Result, Scope
from emberlatch.core.records import Agenda, Call, Endpoint, Lines, Message, Pool, Route

HEADROOM, PEAK_KEEPS = 1.5, 0.95  # pool over peak rate x latency; share of a peak left a second later
ITEM_COST = 0.35  # what a further message adds to a call, ours: kinds differ and do not tell
HORIZON = 2.0  # seconds a passed-over message is thought to wait for its next chance
FEE_WEIGHT = 20.0  # a route with a fee is as good as a free one this much slower per point of fee
SLOW = 3.0  # a route is slow at this multiple of its normal latency
SILENT_AT_LEAST, SILENT_TIMES = 0.8, 6.0  # silence: at least so long, and so many normal latencies
USED_UP = 0.3  # told share of a limit left, under which it explains a refusal (reports lag and are noisy)
LEAST_REUSE, SHORT_FOR = 5.0, 30.0  # calls that an idle connection must serve; seconds of shortage
ALIVE, GAP = 1.0, 2.0  # seconds: a success proves life so long; between two so close fits no outage
BUDGET = 0.75  # share of the tipping load that a returning route gets from all of us
LEAST_TRIALS = 4.0  # calls in tip-after that all of us may send even to a small cold route
FORGOTTEN = 0.01  # arrivals in memory under which a destination without endpoints is forgotten
MEMORY = 10.0  # seconds over which demand is averaged: longer than clumps, shorter than outages matter
TRUSTED = {api.Weights.NOMINAL: 1.0, api.Weights.ROUGH: 0.7, api.Weights.OFF: 0.0, api.Weights.LIVE: 0.0}
SLOWER, FASTER = 0.8, 0.03  # change of the pace by a refusal, by a success
SPARING = 0.95  # change of the pace by a success that tells that the limit is used up
TOGETHER = 3  # forwarders that may each do what one alone does; more share what these would do
LEAST_PART, MORE_PART, CROWDED = 0.5, 0.7, 6.0  # its floor over own demand: least, more, fall by refusals
SHARE_FIRST = 1.5  # of an even part of a known limit, at first: others may need less than theirs
LEAST_TIMEOUT, TIMEOUT_TIMES = 2.0, 20.0  # cheap time-outs only make waste: a slow message is not lost
PASSED = 3  # later calls answered before one, from which on it is not just slow
KNOWN = 30  # successes from which on a destination's ways are known, so that one sign is enough
RETRY_PAUSE = 0.05  # seconds; doubled by each attempt where others crowd in as well
STOP_ROOM = 3.0  # usual latencies that a call is given to end before the forwarder does
LASTS = 1 / 3  # of its age an outage is expected to last on; all of it refuses too much of what comes in time
QUICK = ("", "full", "error", "reset", "connect_failed")  # signs of trouble that cost a call next to no time
CARRIED = ("crowd", "room", "refused", "came_back")  # what is learnt of all destinations together
STALL, NOTES = 0.2, 60  # a timer so late says that we stood still ourselves; log lines in one life


class Forwarder:
    """Decides for one sender: takes what it has seen and returns what to do."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rules, self.random = settings, settings.rules, random.Random(seed)
        self.now, self.actions = -math.inf, list[api.Action]()
        self.pools: dict[int, Pool] = {}
        self.touched, self.short = dict[int, Pool](), dict[int, Pool]()  # concerned now; in want of a slot
        self.agenda = Agenda()  # when each destination needs a look though nothing is heard of it
        self.endpoints: dict[api.Target, Endpoint] = {}
        self.leaving: dict[api.Target, Endpoint] = {}  # gone, but something binds them still
        self.bare: set[int] = set()  # destinations that may have a pool and no route
        self.open: dict[int, Message] = {}
        self.calls: dict[tuple[int, int], Call] = {}
        self.joined: dict[api.Target, Call] = {}  # calls of the present reply: they take more messages
        self.lines = Lines()
        self.short_until: dict[int, float] = {}  # by kind: targets that seem to be out of connections
        self.free, self.stuck, self.refused, self.came_back = settings.slots, 0, 0, 0
        self.crowd, self.room = 0.0, 1.0  # share of our calls turned away as full of late; 1: next to none
        self.latest = 2 * settings.round + 0.005  # so long before its end a message is answered at least
        self.ask_at, self.ask_backoff = (-math.inf if settings.must_ask else math.inf), 0.5
        self.timer, self.timers, self.notes, self.stalled = math.inf, 0, 0, -math.inf
        self.stops_at, self.blind = math.inf, False  # blind: a drain may count as told that was not heard
        self._set_caps()
        self.handlers: dict[type, Any] = {
            api.Arrival: self._arrive, api.Recovered: self._recover, api.Outcome: self._outcome,
            api.ProbeResult: self._probed, api.DirectoryUpdate: self._directory,
            api.DirectoryMoved: self._moved, api.NewSettings: self._retune,
            api.TakenOver: self._take_over, api.Held: self._told,
            api.ClientGone: lambda event: self._close(event.ref), api.Stopping: self._stop,
        }  # fmt: skip

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take what has happened at `now` and return what to do, in order."""
        self.stalled = now if now > self.timer + STALL else self.stalled
        self.timer = self.timer if now < self.timer - 1e-4 else math.inf  # clocks may be rounded
        self.now, self.actions, self.joined, self.touched = now, [], {}, {}
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        for destination in self.agenda.pop(now):
            self._touch(destination)
        for pool in list(self.touched.values()):
            self._watch_routes(pool)
            self._give_up(pool)
        self._make_room()
        self._dispatch()
        for destination, pool in self.touched.items():
            self._plan(destination, pool)
        self._set_timer()
        return self.actions

    def _touch(self, destination: int) -> Pool:
        """The pool of a destination, which is looked at before this reply ends."""
        pool = self.pools.get(destination)
        if pool is None:
            pool = self.pools[destination] = Pool()
            self.bare.add(destination)
        self.touched[destination] = pool
        return pool

    def _plan(self, destination: int, pool: Pool) -> None:
        """Note when time alone will change something for a pool: nothing else wakes the forwarder."""
        times = [self._silent_at(route) for route in pool.routes if route.calls and not route.held]
        self.short.pop(destination, None)
        if pool.waiting and (self.free <= 0 or self.stuck >= self.sick_cap):
            self.short[destination] = pool
        for route in pool.routes if pool.waiting else ():
            times += [route.blocked_until, route.next_trial, route.bucket.ready_at(self._pace(route))]
        now, first = self.now, min((at for at in times if at > self.now), default=math.inf)
        brief, waits, ways = self._brief(pool), self._waits_briefly(), self._ways(pool)
        for message in pool.waiting.values():  # often hundreds, at every turn: no list of all their times
            if now < message.due < first:
                first = message.due
            if now < message.not_before < first:
                first = message.not_before
            if waits and not message.returned and now < (at := self._wait_end(message, pool, brief)) < first:
                first = at
            if ways and now < (at := self._hopeless_from(message, pool, ways)) < first:
                first = at
            if message.key and now < (at := self.lines.rests_until(message.key)) < first:
                first = at
        self.agenda.put(destination, first)

    def _arrive(self, event: api.Arrival) -> None:
        settings = self.settings
        if event.category in settings.closed:
            self.actions.append(api.Refuse(event.ref, settings.closed_wait))
        else:
            self._take(event, api.Terms(settings.categories[event.category], settings.max_attempts))

    def _take(self, event: api.Arrival, terms: api.Terms) -> Message:
        now, category = self.now, terms.category
        message = Message(event, terms, now)
        message.due = message.end - max(self.latest, min(self.settings.end_margin, event.remaining / 4))
        message.returned = event.orphan or event.remaining < category.deadline - 0.1
        self.came_back += message.returned and not event.orphan
        pool = self._touch(event.destination)
        pool.count(now, PEAK_KEEPS)
        if not message.returned:
            pool.demand.add(now, MEMORY)
            for route in pool.routes:  # drawn anew: a gap that is random has no memory
                if route.next_trial > now and self._part(route) * self.rules.tip_after < 1:
                    route.next_trial = self._next_cold(route)
        self.open[event.ref] = pool.waiting[event.ref] = message
        self.lines.join(message)
        return message

    def _recover(self, event: api.Recovered) -> None:
        """Go on where the earlier life ended: what was out then may have run, and binds as ever."""
        settings, arrival = self.settings, event.arrival
        now = api.Terms(settings.categories[arrival.category], settings.max_attempts)
        message = self._take(arrival, event.terms or now)
        message.returned, message.attempts = True, event.attempts
        message.doubts = [(self.now - doubt.age, doubt.target, doubt.zone) for doubt in event.doubts]
        if message.doubts and not event.lent and not self._has_way(message):
            self._end(message)

    def carry(self) -> dict[str, Any]:
        """What a process that follows this one needs to go on, as plain values."""
        return {
            "pools": handover.pools(self.pools),
            "messages": handover.messages(self.open),
            "calls": list(handover.calls(self.calls)),
            "short_until": list(self.short_until.items()),
            "rests": self.lines.rests(),
        } | handover.take(self, CARRIED)

    def _take_over(self, event: api.TakenOver) -> None:
        """Go on as the one before: its calls that are out hold leases and slots here."""
        state = event.state
        for told in state["messages"]:
            if (message := self.open.get(told["ref"])) is not None:
                handover.give(message, handover.MESSAGE, told)
        for told in state["calls"]:
            call = Call(self._end_of_call(told), told["sent"], told["trial"])
            call.judged, self.free = told["judged"], self.free - 1
            for ref, attempt, key in told["messages"]:
                message = self.open.get(ref) or self._ended_one(ref, told["destination"], key)
                message.attempts = attempt
                self.calls[ref, attempt] = call
                call.add(message)
                self.lines.sent(message)
        handover.resume_pools(state["pools"], self.pools, self.endpoints)
        self.short_until = dict(state["short_until"])
        self.lines.rest(state["rests"])
        handover.give(self, CARRIED, state)

    def _ended_one(self, ref: int, destination: int, key: int) -> Message:
        """A message that has its answer while a call of it is out: that call holds its slot and its line."""
        ordered = (c for c in self.settings.categories if c.ordered == (key != 0))
        terms = api.Terms(next(ordered, self.settings.categories[0]), 1)
        return Message(api.Arrival(ref, 0, destination, 0.0, key=key), terms, self.now)

    def _end_of_call(self, told: Mapping[str, Any]) -> Endpoint:
        """Where a call went; a target that has left the list since is there until the call is back."""
        target = str(told["target"]).encode()
        if target not in self.endpoints:
            entry = api.Entry(target, told["destination"], Phase.GONE, told["kind"], told["zone"])
            endpoint = self.leaving[target] = self._add(entry)
            endpoint.ready, endpoint.gone = False, True
        return self.endpoints[target]

    def _retune(self, event: api.NewSettings) -> None:
        """Messages have their terms; what is asked of the whole forwarder changes at once."""
        self.free += event.settings.slots - self.settings.slots
        self.settings = event.settings
        self._set_caps()
        for destination in self.pools:
            self._touch(destination)

    def _set_caps(self) -> None:
        slots = self.settings.slots
        self.healthy_cap, self.sick_cap = max(1, math.ceil(slots * 3 / 4) - 1), max(1, slots // 2)

    def _stop(self, event: api.Stopping) -> None:
        self.stops_at = event.at

    def _close(self, ref: int) -> None:
        if ref in self.open:
            message = self.open.pop(ref)
            self._touch(message.destination).waiting.pop(ref, None)
            self.lines.leave(message)
            self._wake_line(message.key)

    def _wake_line(self, key: int) -> None:
        for ref in self.lines.first(key):
            self._touch(self.open[ref].destination)

    def _in_window(self, message: Message) -> bool:
        latest = self.now + 0.1 + 2 * self.settings.round
        return all(latest < sent + message.category.window for sent, _, _ in message.doubts)

    def _may_refuse(self, message: Message) -> bool:
        """A refusal promises that coming again is harmless."""
        category = message.category
        if message.call is not None or not message.doubts or category.effect is Effect.SAFE:
            return message.call is None
        return category.effect is Effect.KEYED and category.scope is Scope.ALL and self._in_window(message)

    def _end(self, message: Message) -> None:
        if self._may_refuse(message):
            self.refused += not message.returned
            pool = self.pools[message.destination]
            down = all(route.held for route in pool.routes)
            turn = math.inf if down else len(pool.waiting) * pool.normal / self._size(pool) + 0.1
            self.actions.append(api.Refuse(message.ref, min(turn, self.settings.max_retry_after)))
        else:
            self.actions.append(api.Fail(message.ref))
        self._close(message.ref)

    def _brief(self, pool: Pool) -> float:
        """The design's wait: burst x latency / size; none in trouble."""
        if pool.sick:
            return math.inf
        return self.settings.open_cap * pool.normal / self._size(pool) or math.inf

    def _wait_end(self, message: Message, pool: Pool, brief: float) -> float:
        """That wait of a message that has not come again ends before the aim."""
        return min(message.aim - pool.normal, message.arrived + brief)

    def _waits_briefly(self) -> bool:
        """Whether messages do: where clients do not come again, all wait on."""
        return self.refused < 5 or self.came_back >= 0.3 * self.refused

    def _ways(self, pool: Pool) -> list[Route]:
        """The routes of a pool; none if one of them is open and serves, for then all have a prospect."""
        sound = any(r.unheard == math.inf and r.blocked_until <= self.now for r in pool.routes)
        return [] if sound else pool.routes

    def _hopeless_from(self, message: Message, pool: Pool, ways: list[Route]) -> float:
        """When it can't expect its turn before its end any more.

        A route that was called and has served nothing for some time is expected to go on so in proportion,
        for of an outage only its age is known. The end of a told wait is known.
        """
        last = message.end - pool.normal
        open_then = [r.unheard for r in ways if r.blocked_until <= last]
        if not open_then:
            return -math.inf if ways else math.inf
        return (last + LASTS * max(open_then)) / (1 + LASTS)

    def _give_up(self, pool: Pool) -> None:
        """The brief wait ends before the aim; what has no prospect is told so at once; all before the end."""
        brief, waits, ways = self._brief(pool), self._waits_briefly(), self._ways(pool)
        asking = sum(not route.trial_out for route in pool.routes)
        for message in list(pool.waiting.values()):
            over = self.now >= message.due or message.attempts >= message.most_attempts
            brisk = waits and not message.returned
            waited = brisk and self.now >= self._wait_end(message, pool, brief)
            if ways and not over and not waited and self.now >= self._hopeless_from(message, pool, ways):
                # Some stay: who else would find out that it is back?
                waited, asking = asking <= 0, asking - 1
            if over or (waited and self._may_refuse(message)):
                self._end(message)

    def _make_room(self) -> None:
        """Nearly full: the least worthy are turned back, for more would be turned away blindly."""
        surplus = len(self.open) - self.settings.open_cap + max(1, self.settings.open_cap // 20)
        least = [m for m in self.open.values() if self._may_refuse(m)] if surplus > 0 else []
        for message in sorted(least, key=lambda m: m.worth(self.now + 1, self.settings.decay))[:surplus]:
            self._end(message)

    def _size(self, pool: Pool) -> int:
        wanted = math.ceil(max(pool.peak, pool.arrivals) * pool.normal * HEADROOM) + (pool.samples > 0)
        return int(min(self.sick_cap if pool.sick else self.healthy_cap, max(1, wanted, pool.grown)))

    def _dispatch(self) -> None:
        """Free leases go to the waiting messages with most at stake for the time a lease takes.

        Those that can travel together need one lease between them.
        """
        now, decay, ranked = self.now, self.settings.decay, []
        for pool in self.touched.values():
            if not pool.waiting or self.free <= 0 or pool.leases >= self._size(pool):
                continue
            if not any(self._usable(route) for route in pool.routes):
                continue  # before all that wait are ranked in vain
            lease = max(pool.normal, *(route.recent for route in pool.routes), 0.01)
            if now + STOP_ROOM * lease > self.stops_at:
                continue
            after = now + lease
            due = [m for m in pool.waiting.values() if m.not_before <= now and self.lines.in_turn(m, now)]
            most = max((e.per_call for route in pool.routes for e in route.endpoints), default=1)
            together = min(most, max(1, len(due)))
            lease *= (1 + ITEM_COST * (together - 1)) / together
            for message in due:
                stake = 1.1 * message.worth(after, decay) - message.worth(after + HORIZON, decay)
                ranked.append((stake / lease, message))
        shut = set[Pool]()  # these take no more: where a message without doubts finds no way, none does
        for _, message in sorted(ranked, key=lambda item: -item[0]):
            pool = self.pools[message.destination]
            if pool not in shut and self.lines.in_turn(message, now):
                placed = self._place(message)
                if not placed and not message.doubts:
                    shut.add(pool)

    def _place(self, message: Message) -> bool:
        """Send a message by the route that costs least, if there is a lease and a route for it."""
        pool, best, least = self.pools[message.destination], None, math.inf
        lease = self.free > 0 and pool.leases < self._size(pool)
        for route in pool.routes:
            # Several sick destinations, each within its cap, could still hold every slot between
            # them, so calls on unwell routes share one half; a healthy sibling route is not bound.
            fresh = lease and (not route.unwell or self.stuck < self.sick_cap) and self._usable(route)
            for endpoint in route.endpoints:
                join = endpoint.entry.target in self.joined
                if not join and not (fresh and endpoint.calls < endpoint.most):
                    continue
                delay = (route.recent or pool.normal) * (1 if join else 1 + endpoint.calls)
                cost = delay * (1 + FEE_WEIGHT * endpoint.fee)
                if cost < least and endpoint.ready and self._may_send(message, endpoint):
                    best, least = endpoint, cost
        if best is None:
            return False
        call, target = self.joined.get(best.entry.target), best.entry.target
        if call is None:
            call = self.joined[target] = Call(best, self.now, best.route.held)
            self.free, self.stuck = self.free - 1, self.stuck + best.route.unwell
            pool.stuck += best.route.unwell
            if self.now < best.route.ramp_until:
                best.route.next_trial = self.now if best.route.spare else self._next_cold(best.route)
                best.route.spare = False
        self.actions.append(api.Send(message.ref, target, self._timeout(message, best.route)))
        self.calls[message.ref, message.attempts] = call
        call.add(message)
        if call.trial or len(call.messages) >= best.per_call:
            del self.joined[target]
        self.lines.sent(message)
        return True

    def _timeout(self, message: Message, route: Route) -> float:
        """Never shorter than doubt is worth: after doubt an unsafe message is lost to us."""
        if message.category.effect is Effect.UNSAFE or message.attempts + 1 >= message.most_attempts:
            return 0.0
        long = max(LEAST_TIMEOUT, TIMEOUT_TIMES * route.pool.normal) * 2.0 ** len(message.doubts)
        return self._silence(route.pool) if route.held else long

    def _silence(self, pool: Pool) -> float:
        return max(SILENT_AT_LEAST, SILENT_TIMES * pool.normal)

    def _may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """Once an attempt may have run, a further one stays within what the class allows."""
        category = message.category
        if message.call is not None or message.attempts >= message.most_attempts:
            return False
        if not message.doubts or category.effect is not Effect.KEYED:
            return not message.doubts or category.effect is Effect.SAFE
        zone = endpoint.entry.zone if category.scope is Scope.ZONE else None
        known = all(at == endpoint.entry.target or zone == at_zone for _, at, at_zone in message.doubts)
        return (known or category.scope is Scope.ALL) and self._in_window(message)

    def _usable(self, route: Route) -> bool:
        """Whether a further call may go there now: waits, trials, the budget of a return, pace."""
        if route.held:
            ready = route.probed if self.settings.probes else self.now >= route.next_trial
            # What refuses while a drain may have gone unheard is likely to be what drains.
            spared = self.blind and not all(other.held for other in route.pool.routes)
            return ready and not spared and not route.trial_out and self.now >= route.blocked_until
        if route.pace == math.inf:  # a burst would run into a limit that is known before any refusal
            route.pace = SHARE_FIRST * route.limit / self.settings.forwarders or math.inf
        pace = self._pace(route)
        depth = max(1 + 2 * self.room * (1 - min(pace, 1.0)), pace / 2)
        depth = max(1.0, min(depth, bound)) if (bound := self._bound(route)) else depth
        cold = self.now < max(route.blocked_until, min(route.next_trial, route.ramp_until))
        return route.bucket.fill(self.now, pace, depth) >= 1 and not cold

    def _pace(self, route: Route) -> float:
        """Calls a second; at least a part of our demand, all of it while few calls anywhere are refused.

        Where many are, the least part is that of full calls: messages that wait travel together.
        """
        least = LEAST_PART / max((e.per_call for e in route.endpoints), default=1) + MORE_PART * self.room
        pace = max(route.pace, least * self._part(route), 1e-6)
        return min(pace, bound) if (bound := self._bound(route)) else pace

    def _bound(self, route: Route) -> float:
        """Our part of a known limit in calls a second, where parts are dealt out; 0 where they are not."""
        return self.settings.part * route.limit

    def _part(self, route: Route) -> float:
        """Calls a second that we have for a route. It may be far under one in our lifetime, and yet
        over all forwarders these parts sum to the whole demand, however unevenly they carry it."""
        return route.pool.demand.at(self.now, MEMORY) / max(1, len(route.pool.routes))

    def _cold_rate(self, route: Route) -> float:
        """Our calls a second to a route that may be cold, by our part of what all of us may send there.

        Many forwarders, each with a floor, or freed by one told wait, would push it over.
        """
        rules, left = self.rules, max(route.ramp_until - self.now, 0.0) if not route.held else math.inf
        share = 1 - (1 - rules.cold_from) * min(1.0, left / max(rules.cold, 1e-9))
        most, together = self._part(route), max((e.per_call for e in route.endpoints), default=1)
        if route.sign in QUICK:  # it takes what it is known for; but a trial that hangs costs messages dear
            most = max(most, route.limit / self.settings.forwarders / together)
        least = LEAST_TRIALS / rules.tip_after / self.settings.forwarders
        return max(BUDGET * rules.fall_multiple * share * most, least)

    def _next_cold(self, route: Route) -> float:
        """When our next call to it may go: random if rare, and the gap begins when a wait ends.

        Where nothing is served a told wait says when that ends, and all who were told come then: as many as
        may always try go at once, of more each somewhere within its gap. Where calls are served it tells of a
        limit, and who came at its end each time would only be refused more.
        """
        rate = self._cold_rate(route)
        often = rate * self.rules.tip_after > 1
        gap = 1 / rate if often else self.random.expovariate(rate)
        if route.held and route.blocked_until > self.now:
            gap *= max(0.0, 1 - LEAST_TRIALS / self.settings.forwarders)
            gap *= self.random.random() if often else 1.0
        return max(self.now, route.blocked_until) + gap

    def _hold(self, route: Route, why: str) -> None:
        if not route.held:
            self._note(route, f"held after {why}")
        route.held, route.probed, route.spare, route.ramp_until = True, False, False, -math.inf
        route.sign, route.failed_at = why, self.now
        route.next_trial = self._next_cold(route)

    def _silent_at(self, route: Route) -> float:
        """When the silence of a route with calls out says that it hangs."""
        limit, sent = self._silence(route.pool), [c.sent for c in route.calls]
        one = sent[0] + 1.5 * limit if route.pool.samples >= KNOWN else math.inf  # it may just be slow
        return max(min([one] + [at + limit for at in sent[1:2]]), route.last_ok + limit, self.stalled + limit)

    def _watch_routes(self, pool: Pool) -> None:
        self.stuck, pool.stuck = self.stuck - pool.stuck, 0
        for route in pool.routes:
            if route.calls and not route.held and self.now >= self._silent_at(route):
                self._hold(route, "silence")  # it tells before any time-out does
            due = route.held and self.now >= max(route.next_trial, route.blocked_until)
            ready = [e.entry.target for e in route.endpoints if due and e.ready and self.settings.probes]
            if ready and pool.waiting and not (route.probed or route.trial_out):
                route.trial_out = True
                self.actions.append(api.Probe(self.random.choice(ready)))
            slow = route.recent > SLOW * pool.normal > 0  # than this destination is in health
            route.unwell = route.held or self.now < route.ramp_until or slow
            pool.stuck += route.unwell * len(route.calls)
        self.stuck += pool.stuck
        pool.sick = any(route.unwell for route in pool.routes)

    def _probed(self, event: api.ProbeResult) -> None:
        endpoint = self.endpoints.get(event.target)
        if endpoint is None:
            return
        route, endpoint.route.trial_out = endpoint.route, False
        self._touch(endpoint.entry.destination)
        route.report(self.settings.report_fields, event.report)
        if event.result is not Result.OK:
            return self._hold(route, "probe")
        route.probed, endpoint.last_ok = True, self.now

    def _outcome(self, event: api.Outcome) -> None:
        if (event.ref, event.attempt) not in self.calls:
            return self._close(event.ref) if event.closed else None  # late, and yet it is delivered
        call = self.calls.pop((event.ref, event.attempt))
        message = call.messages.pop((event.ref, event.attempt))
        endpoint, route, result = call.endpoint, call.endpoint.route, event.result
        self._touch(message.destination)
        if not call.messages:
            self.free += 1
            call.close()
            self.touched.update(self.short)
            self._close_idle(endpoint, result)
        self._learn(event, call, route)
        if not call.messages and result is Result.OK:
            self._overtake(call, route)
        message.call = None
        rests = result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # it may still be running
        self.lines.back(message, self.now + self.rules.order_settle if rests else -math.inf)
        self._wake_line(message.key)
        if event.closed or message.ref not in self.open:
            return self._close(message.ref)
        pause = RETRY_PAUSE * (2 ** min(message.attempts, 5) if result in (Result.FULL, Result.ERROR) else 1)
        if result in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.ERROR):
            message.not_before = self.now + pause * self.random.uniform(0.5, 1.5)
        if result not in (Result.FULL, Result.CONNECT_FAILED, Result.MOOT):  # else it never ran
            message.doubts.append((call.sent, endpoint.entry.target, endpoint.entry.zone))
        route.pool.waiting[message.ref] = message
        if not self._has_way(message):
            self._end(message)

    def _overtake(self, answered: Call, route: Route) -> None:
        """Give up what holds a lease though those behind it are served: its connection has fallen silent.

        In a queue answers come in the order of the calls, however late: what is only slow is not overtaken.
        """
        limit, wanted = self._silence(route.pool), bool(route.pool.waiting or self.short)
        for call in list(route.calls):
            if call.sent >= answered.sent or not self.settings.cancel:
                break
            if call.endpoint is not answered.endpoint:  # each has a queue of its own
                continue
            call.passed += 1
            doubts = max((len(message.doubts) for message in call.messages.values()), default=0)
            late = (
                self.now - call.sent > limit * 2.0**doubts
            )  # a message that is slow by itself gets its time
            if (
                wanted
                and call.passed >= PASSED
                and late
                and all(map(self._may_doubt, call.messages.values()))
            ):
                self.actions += [api.Cancel(ref, attempt) for ref, attempt in call.messages]

    def _may_doubt(self, message: Message) -> bool:
        """Whether it can go on if its attempt that is out may have run."""
        left = message.attempts < message.most_attempts
        return message.ref in self.open and left and message.category.effect is not Effect.UNSAFE

    def _has_way(self, message: Message) -> bool:
        """Whether its class allows a further attempt: an endpoint for it may be listed any time."""
        if message.attempts >= message.most_attempts:
            return False
        effect = message.category.effect
        bound = effect is not Effect.SAFE and bool(message.doubts)
        return not bound or (effect is Effect.KEYED and self._in_window(message))

    def _close_idle(self, endpoint: Endpoint, result: Result) -> None:
        """Idle connections of many forwarders, each seldom used, fill a table that takes few."""
        kind, route = endpoint.entry.kind, endpoint.route
        if result is Result.CONNECT_FAILED:
            self.short_until[kind] = self.now + SHORT_FOR
        reuse = self._part(route) / max(1, len(route.endpoints)) * self.settings.connection_idle
        if reuse < LEAST_REUSE and not endpoint.calls and self.now < self.short_until.get(kind, -math.inf):
            self.actions.append(api.CloseIdle(endpoint.entry.target))

    def _told(self, event: api.Held) -> None:
        """Another forwarder of ours was told to wait: that binds us as well, and we come back apart."""
        if (endpoint := self.endpoints.get(event.target)) is not None and event.hold > 0:
            self._block(endpoint.route, event.hold)
            self._touch(endpoint.entry.destination)

    def _block(self, route: Route, hold: float) -> None:
        jitter = self.settings.round + min(hold, GAP) * self.random.uniform(0.0, 0.3)  # others too
        route.blocked_until = max(route.blocked_until, self.now + hold + jitter)

    def _learn(self, event: api.Outcome, call: Call, route: Route) -> None:
        now, result, endpoint, pool = self.now, event.result, call.endpoint, route.pool
        route.trial_out = route.trial_out and not call.trial
        route.report(self.settings.report_fields, event.report)
        if event.hold > 0:  # told to wait: nothing goes there, whatever the message
            self._block(route, event.hold)
        self.crowd += 0.05 * ((result is Result.FULL) - self.crowd)
        self.room = max(0.0, 1 - CROWDED * self.crowd)
        if result is Result.OK:
            endpoint.last_ok, endpoint.most = now, min(endpoint.entry.most, endpoint.most + 0.1)
            self._success(route, event.elapsed if self.stalled < now else route.recent)
            if pool.waiting and self.free > 0:
                pool.grown = min(self.healthy_cap, pool.grown + 1)
        if call.judged or result in (Result.OK, Result.MOOT, Result.CANCELLED):
            return
        call.judged = True
        pool.grown = max(1.0, pool.grown * 0.7)
        if result is Result.FULL:
            # Quick refusals hold no lease, so the pool cannot feel them: a pace does.
            calls = self._part(route) / (1 + len(call.messages))  # of as many messages as this one
            lately = max(calls, route.limit / self.settings.forwarders / 2)
            route.pace = max(min(route.pace, 2 * lately), lately * LEAST_PART) * SLOWER
        full = result is Result.CONNECT_FAILED and endpoint.last_ok > call.sent - ALIVE
        if full or (result is Result.FULL and route.left < USED_UP):
            # Alive, so it is out of connections; or all of us use up its limit. It is not down.
            endpoint.most = max(1.0, endpoint.calls) if full else endpoint.most
            return self._release(route)
        if result is Result.TIMEOUT and max(route.last_ok, endpoint.last_ok) > call.sent:
            return  # one slow message
        route.failed_at = now
        # One failure may be bad luck, a full table or a lost answer, and a hold costs much where calls
        # are rare. To try once more at once is safe: what pushes over is a late crowd.
        route.fails, route.failing = route.fails + 1, route.failing if route.fails else now
        many = 3 if result in (Result.FULL, Result.ERROR, Result.RESET) else 1 + (pool.samples < KNOWN)
        many -= result is Result.ERROR and now < route.ramp_until
        lasting = route.fails >= many and (result is not Result.FULL or now - route.failing > GAP)
        if event.hold > GAP or lasting or call.trial:
            never_came_up = result is Result.CONNECT_FAILED and event.elapsed > SILENT_AT_LEAST
            self._hold(route, "silence" if never_came_up else result.name.lower())
        if result is Result.ERROR and (route.held or now < route.ramp_until):
            # The outage goes on: what went so far weighs nothing on what will return. The next call may go at
            # once, and one behind it: where only most calls fail, one that does not is no return yet.
            route.next_trial = now + RETRY_PAUSE * self.random.uniform(0.5, 1.5)
            route.spare = self._cold_rate(route) * self.rules.tip_after > 1

    def _few(self) -> float:
        """One forwarder's part of what up to three may do each: 1 for those, less for each of many."""
        return min(1.0, TOGETHER / self.settings.forwarders)

    def _success(self, route: Route, elapsed: float) -> None:
        now, pool = self.now, route.pool
        route.recent += (elapsed - route.recent) * (0.3 if route.recent else 1.0)
        if not pool.samples or not route.unwell:
            pool.samples += 1  # normal latency must not learn from trouble
            at_most = min(elapsed, 2 * pool.normal or elapsed)
            pool.normal += (at_most - pool.normal) * max(1 / pool.samples, 0.03)
        self._release(route)
        route.fails, route.last_ok, route.unheard = (
            0,
            now,
            min((c.sent for c in route.calls), default=math.inf),
        )
        if route.pace < math.inf and route.limit and route.left < USED_UP:
            route.pace *= SPARING  # before any refusal: that would use the limit up as well
        elif route.pace < math.inf:
            # What all of us add together stays the same, however many we are.
            route.pace = min(route.pace + FASTER * (route.pace + self._few()), route.limit or math.inf)
        route.before = route.pace

    def _release(self, route: Route) -> None:
        """It shows life. Long enough without for an outage to have come and gone: it may be cold."""
        back = (route.held or route.fails) and self.now - max(route.last_ok, route.ramp_until) > GAP
        # Where most calls fail and not all, that it served a moment ago does not say that it is warm.
        back = back or (route.held and route.sign == "error")
        if route.held:
            self._note(route, "answers again")
        if route.sign == "full":  # it was shut, which tells of no limit: the refusals count as one
            route.pace = max(route.pace, route.before * SLOWER)
        spare, route.held, route.probed, route.sign, route.spare = route.spare, False, False, "", False
        if back:
            # It came back at some moment since its last failure. The guesses of many even out.
            guess = (1 - self._few()) * (self.now - route.failed_at) / 2
            route.ramp_until = self.now + max(0.0, self.rules.cold - guess)
            route.next_trial = self.now if spare else self._next_cold(route)

    def _directory(self, event: api.DirectoryUpdate) -> None:
        self.blind = event.overdue
        if event.kind is ListKind.FAILED:
            self.ask_at, self.ask_backoff = self.now + self.ask_backoff, min(4.0, 2 * self.ask_backoff)
        elif self.settings.must_ask and event.kind is not ListKind.CACHED:
            self.ask_at, self.ask_backoff = self.now + 0.8 * self.rules.ask_every, 0.5
        whole = event.kind in (ListKind.CACHED, ListKind.FULL)
        for endpoint in self.endpoints.values() if whole else ():
            endpoint.ready, endpoint.gone = False, True
            self.leaving[endpoint.entry.target] = endpoint
        for entry in event.entries:
            known = self.endpoints.get(entry.target)
            if known is None and entry.phase is Phase.GONE:
                continue
            known = known or self._add(entry)
            if entry != known.entry:
                self._describe(known, entry)
            known.ready, known.gone = entry.phase is Phase.READY, entry.phase is Phase.GONE
            self.leaving.pop(entry.target, None)
            if known.gone:
                self.leaving[entry.target] = known
            self._touch(entry.destination)
        self._forget()

    def _forget(self) -> None:
        """What is gone has no part in its pool, in demand, health or limits; calls there hold what they need.

        A wait that was told binds to its end, also if the target is listed again before. Only what left
        is looked at: a list of many thousands must not be walked for a change of one entry.
        """
        for target, endpoint in list(self.leaving.items()):
            route, destination = endpoint.route, endpoint.entry.destination
            if self.now >= route.blocked_until:
                del self.endpoints[target], self.leaving[target]
                self._touch(destination)
                route.endpoints.remove(endpoint)
                if not route.endpoints:
                    route.pool.routes.remove(route)
                    self.bare.add(destination)
        for destination in list(self.bare):
            pool = self.pools[destination]
            if pool.routes:
                self.bare.remove(destination)
            elif not (pool.waiting or pool.leases) and pool.demand.at(self.now, MEMORY) * MEMORY < FORGOTTEN:
                del self.pools[destination]
                self.bare.remove(destination)
                self.touched.pop(destination, None)
                self.short.pop(destination, None)
                self.agenda.drop(destination)

    def _moved(self, _: api.DirectoryMoved) -> None:
        """The pauses that failures of the old place have earned do not bind at the new one."""
        if self.settings.must_ask:
            self.ask_at, self.ask_backoff = self.now, 0.5

    def _add(self, entry: api.Entry) -> Endpoint:
        separate = any(self.settings.separate_routes[entry.kind : entry.kind + 1])
        endpoint = self.endpoints[entry.target] = self._touch(entry.destination).add(entry, separate)
        self._describe(endpoint, entry)
        endpoint.route.limit = entry.weight * TRUSTED[self.settings.weights]
        if entry.cold and endpoint.route.endpoints == [endpoint]:  # a route in use stays as it is
            endpoint.route.ramp_until = self.now + self.rules.cold
            endpoint.route.next_trial = self._next_cold(endpoint.route)
        return endpoint

    def _describe(self, endpoint: Endpoint, entry: api.Entry) -> None:
        """Take what the list says of it, also where that has changed since it was added."""
        settings, kind, trusted = self.settings, entry.kind, TRUSTED[self.settings.weights]
        if trusted and entry.weight != endpoint.entry.weight:
            endpoint.route.limit, endpoint.route.pace = entry.weight * trusted, math.inf
        endpoint.entry, endpoint.most = entry, min(entry.most, endpoint.most)
        endpoint.per_call = max(settings.per_call[kind : kind + 1], default=1)
        separate = any(settings.separate_routes[kind : kind + 1])
        endpoint.fee = sum(settings.zone_fees[entry.zone : entry.zone + 1]) if separate else 0.0

    def _set_timer(self) -> None:
        if self.now >= self.ask_at:
            self.actions.append(api.Watch(True))
            self.ask_at = self.now + max(2.0, self.ask_backoff)
        due = min(self.ask_at, self.agenda.next())
        if due < self.timer:
            self.timer, self.timers = due, self.timers + 1
            self.actions.append(api.SetTimer(due, self.timers))

    def _note(self, route: Route, text: str) -> None:
        if not route.endpoints:
            return
        entry, self.notes = route.endpoints[0].entry, self.notes + 1
        line = api.Note(f"destination {entry.destination} ({entry.target.hex()}): {text}")
        self.actions += [line] if self.notes <= NOTES else []
