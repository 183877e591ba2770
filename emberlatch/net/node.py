"""The engine: gathers what happened in a loop turn, asks the decision module, carries out its actions."""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from emberlatch import interface as api
from emberlatch.net.directory import Addresses, Directory
from emberlatch.net.http import Address
from emberlatch.net.notices import Notices
from emberlatch.net.server import Reply, Request, Server
from emberlatch.net.store import Doubt, Entry, Store
from emberlatch.net.targets import Item, Targets
from emberlatch.net.tasks import Tasks
from emberlatch.rules import Forwarder

log = logging.getLogger(__name__)

ACCEPT_FOR = 0.5  # seconds for which new connections are taken after the word to stop
CALLS_END, GONE_AFTER = 3.0, 3.3  # seconds from that word: calls should be back, the process ends
NO_ROOM_AGAIN = 1.0  # seconds after which a client may come again when the journal is full
NEVER_RAN = (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.MOOT)


@dataclass(frozen=True, slots=True)
class Config:
    """What a forwarder is told at its start."""

    listen: Address
    discovery: Address
    state: Path
    seed: int
    most_clients: int
    most_calls: int
    journal_bytes: int
    known: Mapping[str, Any]
    raw_settings: Mapping[str, Any]
    settings: api.Settings


class BadRequestError(ValueError):
    """A message that can't be taken on; the text says why."""


class Node:
    """One forwarder. It owns every message's state, from the request to the confirmed end."""

    def __init__(self, config: Config) -> None:
        # The platform has no probes beside calls, so the module must not wait for one.
        self._settings = replace(config.settings, probes=False)
        self._config = config
        self._forwarder = Forwarder(self._settings, config.seed)
        self._tasks = Tasks()
        self._store = Store(config.state, config.journal_bytes)
        self._server = Server(self._submit, config.most_clients, self._tasks)
        self._targets = Targets(self._settings, config.most_calls, self._outcome, self._tasks)
        self._discovery = config.discovery
        self._notices = Notices(config.discovery, self._confirmed, self._tasks)
        self._directory = Directory(config.discovery, config.raw_settings, self._listed, self._tasks)
        self._categories = {category.name: n for n, category in enumerate(self._settings.categories)}
        self._tenants = {tenant.name: n for n, tenant in enumerate(self._settings.tenants)}
        self._destinations: set[int] = set()
        self._arriving: dict[int, tuple[Entry, Reply]] = {}  # not yet shown to the module
        self._arriving_ids: set[str] = set()
        self._held: dict[int, Entry] = {}  # taken on, no end yet
        self._ended: dict[int, Entry] = {}  # ended by a notice that is not confirmed yet
        self._ids: set[str] = set()  # of those held
        self._events: list[api.Event] = []
        self._turn_due = False
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Read the journal, go on with what it holds, then listen."""
        self._directory.known(self._config.known)
        now = time.time()
        entries = self._store.load()
        for entry in entries:
            if entry.notice is not None:
                self._ended[entry.ref] = entry
                self._notices.add(entry.ref, entry.notice)
            else:
                self._recover(entry, now)
        self._refs = itertools.count(max([int(now * 1000), *(entry.ref + 1 for entry in entries)]))
        log.info("journal read: %d messages held, %d notices owed", len(self._held), len(self._ended))
        self._turn()
        self._server.start(self._config.listen)

    async def stop(self) -> None:
        """Accept for a little longer, let open calls end, leave the rest to the journal."""
        began = self._loop.time()
        self._server.stop()
        self._happened(api.Stopping(began + CALLS_END))
        await asyncio.sleep(ACCEPT_FOR)
        self._server.close_listener()
        # A client that connected just before may be writing its request right now: while one is there,
        # the process stays to answer it.
        while (now := self._loop.time()) < began + GONE_AFTER and (
            self._targets.out
            or self._notices.pending
            or self._server.has_clients
            or (self._held and now < began + CALLS_END)
        ):
            await asyncio.sleep(0.02)
        log.info("stopped with %d messages held, %d notices owed", len(self._held), len(self._ended))
        self._tasks.cancel()
        self._store.close()

    def check(self, config: Config) -> None:
        """Look at the parts of a new configuration that are read at a start only; raises if one is bad."""
        Store(config.state, config.journal_bytes)
        self._directory.read(config.known)

    def move(self, discovery: Address) -> None:
        """Discovery, which also takes the notices, is at another address from now on."""
        if discovery == self._discovery:
            return
        log.info("discovery moves to %s:%d", *discovery)
        self._discovery = discovery
        self._directory.move(discovery)
        self._notices.move(discovery)
        self._happened(api.DirectoryMoved())

    def _recover(self, entry: Entry, now: float) -> None:
        category = self._categories.get(entry.category)
        self._held[entry.ref] = entry
        self._ids.add(entry.id)
        if category is None:
            log.error("message %s in the journal is of unknown class %r", entry.id, entry.category)
            return self._end(entry.ref, {"result": "dead"})
        arrival = api.Arrival(
            entry.ref,
            category,
            entry.destination,
            entry.deadline - now,
            self._tenants.get(entry.tenant, 0),
            orphan=True,
        )
        doubts = tuple(api.Doubt(d.target.encode(), d.zone, now - d.sent) for d in entry.doubts)
        self._happened(api.Recovered(arrival, entry.attempts, doubts))

    # What comes in.

    def _submit(self, request: Request, reply: Reply) -> None:
        try:
            entry, arrival = self._read(request)
        except BadRequestError as error:
            log.debug("bad request: %s", error)
            return reply.send(400)
        if entry.id in self._ids:  # handed in twice: it is taken on already
            return reply.send(202)
        if entry.id in self._arriving_ids:
            return reply.send(503)  # what becomes of the first is not known yet
        self._arriving[entry.ref] = entry, reply
        self._arriving_ids.add(entry.id)
        self._happened(arrival)

    def _read(self, request: Request) -> tuple[Entry, api.Arrival]:
        headers = request.headers
        try:
            request_id, name = headers["x-request-id"], headers["x-priority-class"]
            tenant, envelope = headers["x-tenant-id"], headers["envelope"]
            remaining = _whole_number(headers["x-timeout-ms"]) / 1000
        except KeyError as error:
            raise BadRequestError(f"{error.args[0]} is missing") from error
        if remaining <= 0:
            raise BadRequestError("no time is left")
        destination = _destination(envelope)
        key = headers.get("idempotency-key", "")
        for value in (request_id, key):  # in a batch they stand in a line, parted by spaces
            if len(value) > 256 or not value.isprintable() or " " in value:
                raise BadRequestError("an id or a key cannot be passed on")
        if not request_id or name not in self._categories:
            raise BadRequestError(f"no id, or unknown class {name!r}")
        if self._tenants and tenant not in self._tenants:
            raise BadRequestError(f"unknown tenant {tenant!r}")
        if destination not in self._destinations:
            raise BadRequestError(f"unknown destination {destination}")
        number = self._categories[name]
        keyed = self._settings.categories[number].effect is api.Effect.KEYED
        if keyed and not key:
            raise BadRequestError("idempotency-key is missing")
        ref = next(self._refs)
        entry = Entry(
            ref, request_id, key, name, tenant, destination, time.time() + remaining, bytes(request.body)
        )
        retried = headers.get("x-retried", "")
        arrival = api.Arrival(
            ref,
            number,
            destination,
            remaining,
            self._tenants.get(tenant, 0),
            again=retried == "1",
            orphan=retried == "again",
        )
        return entry, arrival

    # What calls, discovery and notices bring.

    def _outcome(self, outcome: api.Outcome) -> None:
        entry = self._held.get(outcome.ref)
        if entry is not None and outcome.closed:
            self._release(entry)
            self._journal(self._store.forget, entry)
        elif entry is not None and outcome.result in NEVER_RAN:
            # Any other outcome leaves the doubt that was recorded before the attempt.
            entry.doubts = [doubt for doubt in entry.doubts if doubt.attempt != outcome.attempt]
            self._journal(self._store.update, entry)
        self._happened(outcome)

    def _listed(self, update: api.DirectoryUpdate, addresses: Addresses) -> None:
        self._destinations.update(entry.destination for entry in update.entries)
        whole = update.kind in (api.ListKind.CACHED, api.ListKind.FULL)
        self._targets.update(update.entries, addresses, whole)
        self._happened(update)

    def _confirmed(self, refs: list[int]) -> None:
        for ref in refs:
            if (entry := self._ended.pop(ref, None)) is not None:
                self._journal(self._store.forget, entry)

    # One turn.

    def _happened(self, event: api.Event) -> None:
        self._events.append(event)
        if not self._turn_due:
            self._turn_due = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._turn_due = False
        events, self._events = self._events, []
        arriving, self._arriving = self._arriving, {}
        self._arriving_ids.clear()
        for ref in [ref for ref, (_, reply) in arriving.items() if reply.gone]:
            # Nobody heard that it was taken on, so it may be handed in again: it is not ours.
            del arriving[ref]
            events = [e for e in events if not (isinstance(e, api.Arrival) and e.ref == ref)]
        left = iter(events)
        try:
            actions = self._forwarder.handle(self._loop.time(), left)
        except Exception:
            # What was decided up to there is carried out, for the module counts on it; the events after
            # the one that failed come again, and a new message that it did not take in fails.
            log.exception("decision failed on %r", events)
            again = list(left)
            waiting = {event.ref for event in again if isinstance(event, api.Arrival)}
            self._arriving |= {ref: arriving.pop(ref) for ref in waiting}
            self._arriving_ids |= {entry.id for entry, _ in self._arriving.values()}
            lost = [api.Fail(ref) for ref in arriving if ref not in self._forwarder.open]
            actions = [*lost, *self._forwarder.actions]
            for event in again:
                self._happened(event)
            self._loop.call_later(0.05, self._happened, api.TimerFired(0))  # its own timer may not be set
        self._admit(arriving, actions)
        calls: dict[bytes, list[Item]] = {}
        for action in actions:
            try:
                self._carry_out(action, calls)
            except Exception:
                log.exception("action failed: %r", action)
        for target, items in calls.items():
            most = self._per_call(target)
            for first in range(0, len(items), most):
                self._targets.call(target, items[first : first + most])

    def _admit(self, arriving: dict[int, tuple[Entry, Reply]], actions: list[api.Action]) -> None:
        """Answer the new messages: refused ones are never owed, the others are journalled first."""
        ends = {action.ref: action for action in actions if isinstance(action, api.Refuse | api.Fail)}
        for ref, (entry, reply) in arriving.items():
            end = ends.get(ref)
            if end is None and self._has_room(entry) and self._journal(self._store.take, entry):
                self._held[ref] = entry
                self._ids.add(entry.id)
                reply.send(202)
                continue
            if isinstance(end, api.Refuse):
                reply.send(429, end.retry_after)
            elif isinstance(end, api.Fail):
                reply.send(500)
            else:
                reply.send(503, NO_ROOM_AGAIN)
                self._happened(api.ClientGone(ref))

    def _carry_out(self, action: api.Action, calls: dict[bytes, list[Item]]) -> None:
        match action:
            case api.Send():
                calls.setdefault(action.target, []).extend(self._intend(action))
            case api.Refuse(ref, retry_after):
                self._end(ref, {"result": "bounced", "wait_ms": round(retry_after * 1000)})
            case api.Fail(ref):
                self._end(ref, {"result": "dead"})
            case api.SetTimer(at, token):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(at, self._happened, api.TimerFired(token))
            case api.CloseIdle(target):
                self._targets.close_idle(target)
            case api.Note(text):
                log.info("%s", text)
            case api.Watch(active):
                self._directory.watch(active)
            case api.Lookup():
                self._directory.look_up()
            case _:
                log.error("the platform has no way to carry out %r", action)

    def _intend(self, action: api.Send) -> Iterator[Item]:
        """Record an attempt before it goes out."""
        entry = self._held.get(action.ref)
        if entry is None:
            # It could not be journalled, so it was not taken on. The module counts a lease for its
            # first call, which would never come back without an outcome.
            self._happened(api.Outcome(action.ref, 0, action.target, api.Result.MOOT, 0.0, closed=True))
            return
        attempt, now = entry.attempts, time.time()
        entry.attempts += 1
        listed = self._targets.entry(action.target)
        if listed is None:  # gone since
            self._happened(api.Outcome(entry.ref, attempt, action.target, api.Result.MOOT, 0.0))
            return
        doubt = Doubt(attempt, action.target.decode(), listed.zone, now)
        entry.doubts.append(doubt)
        if not self._journal(self._store.update, entry):
            entry.doubts.remove(doubt)  # a call that the journal does not know of must not go out
            self._happened(api.Outcome(entry.ref, attempt, action.target, api.Result.MOOT, 0.0))
            return
        left = max(entry.deadline - now, 0.001)
        timeout = min(action.timeout or left, left)
        yield Item(entry.ref, attempt, entry.id, entry.key, entry.body, timeout)

    def _per_call(self, target: bytes) -> int:
        listed = self._targets.entry(target)
        kind = listed.kind if listed is not None else len(self._settings.per_call)
        return max(self._settings.per_call[kind : kind + 1], default=1)

    def _end(self, ref: int, notice: dict[str, Any]) -> None:
        entry = self._held.get(ref)
        if entry is None:
            return
        self._release(entry)
        entry.notice = {"ref": entry.id, **notice}
        self._journal(self._store.update, entry)
        self._ended[ref] = entry
        self._notices.add(ref, entry.notice)

    def _release(self, entry: Entry) -> None:
        del self._held[entry.ref]
        self._ids.discard(entry.id)

    def _has_room(self, entry: Entry) -> bool:
        """Looked at message by message: those of one turn could fill the journal between them."""
        return self._store.has_room(len(entry.body))

    def _journal(self, write: Callable[[Entry], None], entry: Entry) -> bool:
        try:
            write(entry)
        except OSError as error:
            log.error("journal cannot be written: %s", error)
            return False
        return True


def _whole_number(text: str) -> int:
    """Plain digits and nothing else: int() would also take signs, blanks, underscores and other scripts."""
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        raise BadRequestError(f"no whole number: {text[:20]!r}")
    return int(text)


def _destination(envelope: str) -> int:
    """The number behind `dest` in an envelope, every part of which must be readable."""
    parts = [part.strip().partition("=") for part in envelope.split(";")]
    fields = {name: value for name, _, value in parts}
    if len(fields) < len(parts) or not all(name and value for name, _, value in parts):
        raise BadRequestError(f"envelope cannot be read: {envelope[:40]!r}")
    if "dest" not in fields:
        raise BadRequestError("envelope names no dest")
    return _whole_number(fields["dest"])
