"""The AS2 front: `POST /as2` takes orders from partners, and the receipts for what went out to them.

An order is answered with a receipt once the journal has it. What can't be understood is answered with a
receipt that says so, what can't be taken just now with 503 and a time to come again.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.as2 import mdn, mime, names, orders
from emberlatch.as2.carrier import As2Carrier, request
from emberlatch.as2.certificates import CertificateError
from emberlatch.as2.crew import Crew, CrewError
from emberlatch.as2.errors import As2Error, Modifier
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import MOST_CONTENT, Format, Opened, Sealed
from emberlatch.as2.mime import Entity
from emberlatch.as2.orders import Fate, Order
from emberlatch.as2.profile import Parties, Partner
from emberlatch.engine import BadMessageError, Engine, Submission, Tasks
from emberlatch.net.api import Named, destination, whole_number
from emberlatch.net.http import BrokenError, connect
from emberlatch.net.server import SINGLE, Reply, Request, Server
from emberlatch.store.book import Book

log = logging.getLogger(__name__)

PATH = b"/as2"
MOST_BODY = MOST_CONTENT + 64 * 1024  # bytes; base64 and signatures make a content larger
ONCE = SINGLE | {"as2-from", "as2-to", "message-id", "content-type", "content-transfer-encoding"}
AT_ONCE = 16  # messages that are opened at a time
BUSY_AGAIN = 1.0  # seconds after which to come again where the same order is being taken on
PAUSES = (
    0.5,
    1.0,
    2.0,
    5.0,
    15.0,
    60.0,
)  # seconds between tries to deliver a receipt; the last one from then on
PATIENCE = 10.0  # seconds for one such try
SWEEP, SWEPT = 1.0, 200  # seconds between looks for what may be forgotten, and how many are looked at


@dataclass(frozen=True, slots=True)
class _Asked:
    """Which receipt a message asks for."""

    wanted: bool = False
    signed: str = ""  # digest of its signature
    elsewhere: bool = False  # on a connection of its own


class As2Front:
    """Makes submissions of orders, hands receipts to the carrier, and owes receipts until they are heard."""

    def __init__(
        self,
        server: Callable[..., Server],
        engine: Engine,
        parties: Parties,
        carrier: As2Carrier,
        book: Book,
        remember: float,
        named: Named,
        crew: Crew,
        tasks: Tasks,
        wall: Callable[[], float],
    ) -> None:
        """`server` makes the listening side; `remember` is for how long (seconds) Message-IDs are known."""
        self._engine, self._parties, self._carrier, self._book = engine, parties, carrier, book
        self._remember, self._named, self._crew, self._tasks = remember, named, crew, tasks
        self._wall = wall
        self._server = server(self._submit, path=PATH, most_body=MOST_BODY, single=ONCE, folded=True)
        self._coming: dict[str, _Answer] = {}
        self._opening = asyncio.Semaphore(AT_ONCE)
        self._to_look_at: list[str] = []

    # The seam.

    def start(self) -> None:
        """Settle what the process before left half done, and listen; OSError if that fails."""
        self._book.load()
        for key, state in list(self._book.states.items()):
            try:
                order = orders.resolved(orders.read(state), self._engine.recovered)
            except TypeError as error:
                log.warning("orders: record of %r cannot be read: %r", key, error)
                order = None
            if order is None:
                self._book.drop(key)
                continue
            if not state["taken"]:
                self._book.put(key, order.document())
            if order.owed:
                self._tasks.spawn(self._deliver(key, order))
        self._server.start()
        self._tasks.spawn(self._sweep())

    def stop(self) -> None:
        self._server.stop()

    def close_listener(self) -> None:
        self._server.close_listener()

    @property
    def has_clients(self) -> bool:
        return self._server.has_clients

    @property
    def owed(self) -> int:
        """Receipts that are not delivered yet."""
        return sum(1 for state in self._book.states.values() if state["owed"])

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            if not self._to_look_at:
                self._to_look_at = list(self._book.states)
            for _ in range(min(SWEPT, len(self._to_look_at))):
                key = self._to_look_at.pop()
                state = self._book.states.get(key)
                if state is not None and orders.over(orders.read(state), self._wall(), self._remember):
                    self._record(key, None)

    # What comes in.

    def _submit(self, asked: Request, reply: Reply) -> None:
        self._tasks.spawn(self._serve(asked, reply))

    async def _serve(self, asked: Request, reply: Reply) -> None:
        try:
            headers = asked.headers
            sender = names.unquoted(headers.get("as2-from", ""))
            own = names.unquoted(headers.get("as2-to", ""))
            partner = self._parties.named(sender)
            if partner is None or own != self._parties.own.name:
                log.warning("message of %r to %r: no such partners", sender[:60], own[:60])
                return reply.send(403)
            outer = mime.of(tuple(headers.items()), bytes(asked.body))
            async with self._opening:
                await self._received(partner, outer, reply)
        except As2Error as error:
            log.warning("message cannot be read: %s", error.cause)
            reply.send(400)
        except CrewError as error:
            log.error("message %s: %s", asked.headers.get("message-id", "")[:80], error)
            reply.send(503, BUSY_AGAIN)
        except Exception:  # costs this message and nothing else
            log.exception("message %s failed", asked.headers.get("message-id", "")[:80])
            if reply.data is None:
                reply.send(500)

    async def _received(self, partner: Partner, outer: Entity, reply: Reply) -> None:
        if _may_be_receipt(outer):
            return await self._receipt(partner, outer, reply)
        original, asked = names.message_id(outer.get("message-id")), self._asked(partner, outer)
        try:
            opened = await self._crew.unseal(outer, partner.partner, partner.policy, self._wall())
            if mdn.is_receipt(opened.content):  # encrypted, which none asks for
                return await self._receipt(partner, outer, reply)
            order = self._order(partner, original, opened, asked)
            known = self._known(order)
            busy = (coming := self._coming.get(_key(order))) is not None and not coming.gone
            match orders.fate(known, order.mic, order.digest, busy):
                case Fate.BUSY:
                    reply.send(503, BUSY_AGAIN)
                case Fate.AGAIN:
                    assert known is not None
                    await self._answer(known, asked, reply)
                case Fate.OTHER:
                    log.warning("dispute with %s: %s came with another content", partner.partner, original)
                    raise As2Error(Modifier.UNEXPECTED, "another content under a Message-ID that was used")
                case Fate.NEW:
                    self._hand_in(partner, order, opened.content, asked, reply)
        except (As2Error, BadMessageError) as error:
            refused = error if isinstance(error, As2Error) else As2Error(Modifier.UNEXPECTED, str(error))
            log.warning("message %s of %s: %s", original, partner.partner, refused.cause)
            await self._refuse(partner, original, asked, refused, reply)

    def _order(self, partner: Partner, original: str, opened: Opened, asked: _Asked) -> Order:
        mic, digest = opened.mic(asked.signed)
        own_id = orders.submission_id(partner.partner, original)
        signed, now = asked.signed if asked.wanted else "", round(self._wall(), 3)
        return Order(original, partner.partner, own_id, mic.hex(), digest, now, signed=signed)

    def _known(self, order: Order) -> Order | None:
        state = self._book.states.get(_key(order))
        if state is None:
            return None
        known = orders.read(state)
        if not known.taken and self._engine.holds(known.id) and _key(order) not in self._coming:
            known.taken = True
        return known

    def _hand_in(self, partner: Partner, order: Order, content: Entity, asked: _Asked, reply: Reply) -> None:
        """Raises BadMessageError; what has no place in the book is to come again."""
        message = self._submission(partner, order, content)
        order.owed = asked.elsewhere
        try:
            self._put(_key(order), order)
        except OSError as error:
            log.error("orders cannot be recorded: %s", error)
            return reply.send(503, BUSY_AGAIN)
        answer = _Answer(self, order, asked, reply)
        self._coming[_key(order)] = answer
        try:
            self._engine.submit(message, answer)
        except BadMessageError:
            self.dropped(order)
            raise

    def _submission(self, partner: Partner, order: Order, content: Entity) -> Submission:
        """What is not told inside the signature is as the profile has it; HTTP's head tells nothing."""
        inward = partner.inward
        if inward is None:
            raise BadMessageError("no orders are agreed on with this partner")
        envelope, timeout = content.get("envelope"), content.get("x-timeout-ms")
        told = envelope or (f"dest={inward.destination}" if inward.destination else "")
        return Submission(
            id=order.id,
            key=content.get("idempotency-key") or order.id,
            category=content.get("x-priority-class") or inward.category,
            tenant=content.get("x-tenant-id") or inward.tenant,
            destination=destination(told, self._named),
            remaining=whole_number(timeout) / 1000 if timeout else inward.timeout,
            body=content.content(),
        )

    def _asked(self, partner: Partner, outer: Entity) -> _Asked:
        if not outer.get("disposition-notification-to"):
            return _Asked()
        signed, digest = mdn.wanted(outer.get("disposition-notification-options"))
        where = outer.get("receipt-delivery-option").strip()
        if where and (partner.receipts is None or where != str(partner.receipts)):
            raise As2Error(Modifier.UNEXPECTED, f"receipts to {where[:80]!r} are not agreed on")
        return _Asked(True, digest if signed else "", bool(where))

    async def _receipt(self, partner: Partner, outer: Entity, reply: Reply) -> None:
        try:
            await self._carrier.receipt(partner, outer)
        except OSError as error:
            log.error("a receipt could not be recorded: %s", error)
            return reply.send(503, BUSY_AGAIN)
        reply.send(200)

    # What goes back.

    def taken(self, order: Order, asked: _Asked, reply: Reply) -> None:
        """The journal has an order: from here on it is answered alike however often it comes."""
        order.taken = True
        self._coming.pop(_key(order), None)
        self._record(_key(order), order)
        self._tasks.spawn(self._answer(order, asked, reply))
        if order.owed:
            self._tasks.spawn(self._deliver(_key(order), order))

    def dropped(self, order: Order) -> None:
        """The engine has not taken an order: it may come again as if it had never been there."""
        self._coming.pop(_key(order), None)
        self._record(_key(order), None)

    def failed(self, order: Order, asked: _Asked, reply: Reply) -> None:
        """The engine has given an order up, with no promise."""
        told = mdn.refusal(Modifier.UNEXPECTED)
        order.said, order.modifier, order.text = told.type, told.modifier, told.text
        self.taken(order, asked, reply)

    def _record(self, key: str, order: Order | None) -> None:
        try:
            if order is None:
                self._book.drop(key)
            else:
                self._put(key, order)
        except OSError as error:
            # The journal has what is owed; after a restart it tells for what stands here as coming.
            log.error("orders cannot be recorded: %s", error)
            if order is not None:
                self._book.states[key] = order.document()

    def _put(self, key: str, order: Order) -> None:
        """Raises OSError."""
        for state in self._book.put(key, order.document()).values():
            if not orders.over(orders.read(state), self._wall(), self._remember):
                log.warning(
                    "no room for orders: %s of %s is forgotten early", state["original"], state["partner"]
                )

    async def _answer(self, order: Order, asked: _Asked, reply: Reply) -> None:
        if asked.elsewhere or not asked.wanted:
            return reply.send(200)
        try:
            sealed = await self._sealed(order.receipt(self._parties.own.name), asked.signed, order.at)
        except Exception:  # it is taken on all the same, and the sender will ask again
            log.exception("a receipt for %s cannot be made", order.original)
            return reply.send(500)
        reply.send(200, body=sealed.body, headers=self._head(order.partner, order.original, sealed))

    async def _refuse(
        self, partner: Partner, original: str, asked: _Asked, error: As2Error, reply: Reply
    ) -> None:
        """What was received and not understood gets a receipt that says so, where one is asked for."""
        if not asked.wanted or asked.elsewhere:
            return reply.send(400)
        told = mdn.refusal(error.modifier)
        receipt = Mdn(original, told, recipient=self._parties.own.name, text=told.plain)
        sealed = await self._sealed(receipt, asked.signed, self._wall())
        reply.send(200, body=sealed.body, headers=self._head(partner.partner, original, sealed))

    async def _sealed(self, receipt: Mdn, signed: str, at: float) -> Sealed:
        return await self._crew.seal(mdn.build(receipt), Format(signed, "", False), "", at)

    def _head(self, partner: str, original: str, sealed: Sealed) -> dict[str, str]:
        own, known = self._parties.own, self._parties.partners.get(partner)
        head = {
            "AS2-Version": "1.2",
            "AS2-From": names.quoted(own.name),
            "Message-ID": f"<r.{orders.submission_id(partner, original)}@{own.host}>",
        }
        if known is not None:
            head["AS2-To"] = names.quoted(known.name)
        return head | dict(sealed.headers)

    async def _deliver(self, key: str, order: Order) -> None:
        """Post a receipt until it is heard or its time is up."""
        partner, tries = self._parties.partners.get(order.partner), 0
        url = partner.receipts if partner is not None else None
        while url is not None and self._wall() - order.at < self._remember:
            try:
                sealed = await self._sealed(order.receipt(self._parties.own.name), order.signed, order.at)
                connection = await connect(url.address, PATIENCE, tls=url.tls)
                try:
                    async with asyncio.timeout(PATIENCE):
                        head = list(self._head(order.partner, order.original, sealed).items())
                        host = f"{url.address[0]}:{url.address[1]}"
                        data = request(url.path, [("Host", host), *head], sealed.body)
                        response = await connection.exchange(data)
                finally:
                    connection.close()
                if 200 <= response.status < 300:
                    break
                log.info("receipt for %s: %s answered %d", order.original, url, response.status)
            except (OSError, BrokenError, CertificateError) as error:
                log.info("receipt for %s cannot be delivered to %s: %r", order.original, url, error)
            await asyncio.sleep(PAUSES[min(tries, len(PAUSES) - 1)])
            tries += 1
        order.owed = False
        if key in self._book.states:
            self._record(key, order)


class _Answer:
    """The place of the engine's answer to an order."""

    def __init__(self, front: As2Front, order: Order, asked: _Asked, reply: Reply) -> None:
        self._front, self._order, self._asked, self._reply = front, order, asked, reply

    @property
    def gone(self) -> bool:
        return self._reply.gone

    def accepted(self) -> None:
        self._front.taken(self._order, self._asked, self._reply)

    def refused(self, retry_after: float) -> None:
        self._front.dropped(self._order)
        self._reply.send(503, retry_after)

    def unavailable(self, retry_after: float | None = None) -> None:
        self._front.dropped(self._order)
        self._reply.send(503, retry_after if retry_after is not None else BUSY_AGAIN)

    def failed(self) -> None:
        self._front.failed(self._order, self._asked, self._reply)


def _key(order: Order) -> str:
    return orders.key(order.partner, order.original)


def _may_be_receipt(outer: Entity) -> bool:
    """Whether a message is a receipt, by what can be seen without opening it."""
    if mdn.is_receipt(outer):
        return True
    if outer.type != "multipart/signed":
        return False
    found = mime.parts(outer)
    return bool(found) and mdn.is_receipt(mime.entity(found[0]))
