"""The AS2 carrier: each message of a call goes out as an AS2 message, and the call lasts until a receipt, an
answer that needs none, or the module's patience is there."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.as2 import judge, mdn, mime, names
from emberlatch.as2.certificates import CertificateError
from emberlatch.as2.crew import Crew
from emberlatch.as2.errors import As2Error
from emberlatch.as2.evidence import Evidence
from emberlatch.as2.judge import Expected, Said, Verdict
from emberlatch.as2.ledger import Record
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import MICALG, Policy, Sealed
from emberlatch.as2.mime import Entity
from emberlatch.as2.profile import Own, Parties, Partner
from emberlatch.core.interface import Outcome, Result, Settings
from emberlatch.engine import Address, Item, Tally, Tasks
from emberlatch.net.calls import Call, Calls, Endpoint, seconds
from emberlatch.net.http import Connection, Response, connect

log = logging.getLogger(__name__)

KEPT = 8 * 1024 * 1024  # bytes of sealed messages that are kept for a repeat
MOST_ANSWER = 128 * 1024  # bytes of a receipt
ANY = Policy(signed=False)  # a receipt's signature is the judge's matter
RESULTS = {Said.PROCESSED: Result.OK, Said.REFUSED: Result.FULL, Said.UNKNOWN: Result.ERROR}


class UnsentError(OSError):
    """A message that can't go out as things stand; the text says why."""


@dataclass(slots=True)
class _Exchange:
    """A message on its way."""

    call: Call
    partner: Partner
    sealed: Sealed
    record: Record
    receipt: asyncio.Future[None]  # has come on a connection of its own

    @property
    def expected(self) -> Expected:
        sealed = self.sealed
        return Expected(self.record.original, sealed.mic, sealed.digest, self.partner.signed_receipts)


def content_of(item: Item) -> bytes:
    """A message as an entity: nothing in it tells a time, so that its MIC is the same at each attempt."""
    headers = [
        ("Content-Type", "application/octet-stream"),
        ("Content-Transfer-Encoding", "binary"),
        ("X-Request-ID", item.id),
    ]
    if item.key:
        headers.append(("Idempotency-Key", item.key))
    return mime.compose([(name, _ascii(value)) for name, value in headers], item.body)


def _ascii(value: str) -> str:
    return value.encode("ascii", "backslashreplace").decode()


class As2Carrier(Calls):
    """`partner` finds whose endpoint a target is; `wall` tells the Unix time."""

    def __init__(
        self,
        settings: Settings,
        most: int,
        report: Callable[[Outcome], None],
        tasks: Tasks,
        tally: Tally,
        parties: Parties,
        partner: Callable[[bytes], Partner | None],
        evidence: Evidence,
        crew: Crew,
        wall: Callable[[], float],
    ) -> None:
        super().__init__(settings, most, report, tasks, tally)
        self._parties, self._partner, self._evidence = parties, partner, evidence
        self._crew, self._wall = crew, wall
        self._exchanges: dict[str, _Exchange] = {}  # by Message-ID, while a call is out
        self._of: dict[Call, _Exchange] = {}
        self._sealed: OrderedDict[str, Sealed] = OrderedDict()
        self._kept = 0

    async def _run(self, target: Endpoint, call: Call) -> None:
        try:
            await super()._run(target, call)
        finally:
            exchange = self._of.pop(call, None)
            if exchange is not None and self._exchanges.get(exchange.record.original) is exchange:
                del self._exchanges[exchange.record.original]

    # Out.

    async def _prepare(self, target: Endpoint, call: Call) -> None:
        if len(call.items) != 1:
            raise UnsentError("several messages in a call to an AS2 endpoint")
        (item,), partner = call.items, self._partner(call.target)
        if partner is None:
            raise UnsentError(f"no AS2 profile for {call.target!r}")
        original = f"{item.ref}.{hashlib.sha256(item.id.encode()).hexdigest()[:24]}@{self._parties.own.host}"
        try:
            sealed = await self._seal(original, partner, item)
        except (CertificateError, As2Error) as error:
            log.error("no message can go out to %s: %s", partner.partner, error)
            raise UnsentError(str(error)) from error
        mic, name = sealed.mic.hex(), target.entry.target.decode()
        record = Record(
            original, item.ref, item.id, partner.partner, mic, sealed.digest, round(self._wall(), 3)
        )
        record = self._evidence.out(record, item.attempt, name)
        receipt = asyncio.get_running_loop().create_future()
        self._of[call] = self._exchanges[original] = _Exchange(call, partner, sealed, record, receipt)

    async def _seal(self, original: str, partner: Partner, item: Item) -> Sealed:
        """The message as it goes out; at a repeat the very same bytes while they are kept."""
        key = f"{partner.partner}\n{original}"
        if (known := self._sealed.get(key)) is not None:
            self._sealed.move_to_end(key)
            return known
        sealed = await self._crew.seal(content_of(item), partner.format, partner.partner, self._wall())
        if (other := self._sealed.setdefault(key, sealed)) is not sealed:
            return other  # a second copy was quicker: both are to be the same
        self._kept += len(sealed.body)
        while self._kept > KEPT:
            self._kept -= len(self._sealed.popitem(last=False)[1].body)
        return sealed

    async def _connect(self, target: Endpoint) -> Connection:
        partner = self._partner(target.entry.target)
        tls = partner.tls if partner is not None else None
        return await connect(target.address, self._settings.connect_timeout, MOST_ANSWER, tls)

    def _request(self, target: Endpoint, call: Call) -> bytes:
        exchange, own = self._of[call], self._parties.own
        partner, sealed = exchange.partner, exchange.sealed
        headers = asked(own, partner, target.address, exchange.record.original, sealed)
        return request(partner.path, headers, sealed.body)

    # Back.

    async def _concluded(self, target: Endpoint, call: Call, response: Response) -> None:
        exchange = self._of[call]
        hold = seconds(response.headers.get("retry-after"))
        if hold > 0:
            self._hold(target, hold)
        if not 200 <= response.status < 300:
            verdict = Verdict(judge.of_status(response.status))
            log.warning("%s answered %d to %s", call.target, response.status, exchange.record.original)
            self._told(exchange.record, verdict)
        elif response.body.strip():
            verdict = await self._in_the_answer(exchange, response)
        elif exchange.partner.late_receipts:
            return await call.wait_for(exchange.receipt, lambda: True)  # which settles it, see `_conclude`
        else:
            verdict = Verdict(Said.UNKNOWN, "no receipt in the answer")
            self._told(exchange.record, verdict)
        self._settle(call, verdict, hold)

    def _settle(self, call: Call, verdict: Verdict, hold: float = 0.0) -> None:
        call.settle_all(RESULTS[verdict.said], verdict.said is Said.PROCESSED, hold)

    async def _in_the_answer(self, exchange: _Exchange, response: Response) -> Verdict:
        outer = mime.of(tuple(response.headers.items()), bytes(response.body))
        raw = mime.compose([(k, _ascii(v)) for k, v in response.headers.items()], bytes(response.body))
        try:
            told, signed = await self._read(exchange.partner, outer)
            verdict = judge.of_receipt(exchange.expected, told, signed)
        except As2Error as error:
            verdict = Verdict(Said.UNKNOWN, _no_proof(error))
        self._told(exchange.record, verdict, raw)
        return verdict

    async def _read(self, partner: Partner, outer: Entity) -> tuple[Mdn, bool]:
        """A receipt, and whether a signature of the partner holds; raises As2Error."""
        opened = await self._crew.unseal(outer, partner.partner, ANY, self._wall())
        return mdn.parse(opened.content), bool(opened.signer)

    def _told(self, record: Record, verdict: Verdict, raw: bytes = b"") -> None:
        if verdict.dispute:
            log.warning("dispute with %s over %s: %s", record.partner, record.original, verdict.dispute)
        try:
            self._evidence.told(record.original, verdict, self._wall(), raw)
        except OSError as error:  # what it proves holds all the same
            log.error("a receipt could not be recorded: %s", error)

    async def receipt(self, partner: Partner, outer: Entity) -> None:
        """A receipt has come on a connection of its own.

        Raises As2Error if it can't be read, and OSError if it can't be recorded: then it has to come again.
        """
        raw = mime.compose([(k, _ascii(v)) for k, v in outer.headers], outer.body)
        try:
            told, signed = await self._read(partner, outer)
            problem = ""
        except As2Error as error:
            # Whose signature fails names its message all the same; it proves nothing, and is argued about.
            told, signed, problem = _unverified(outer), False, _no_proof(error)
        record, now = self._evidence.find(told.original), self._wall()
        if record is None or record.partner != partner.partner:
            log.warning("receipt of %s for %s, which is not known", partner.partner, told.original)
            return self._evidence.unknown(partner.partner, told.original, now, raw)
        expected = Expected(
            record.original, bytes.fromhex(record.mic), record.digest, partner.signed_receipts
        )
        verdict = Verdict(Said.UNKNOWN, problem) if problem else judge.of_receipt(expected, told, signed)
        if verdict.dispute:
            log.warning("dispute with %s over %s: %s", record.partner, record.original, verdict.dispute)
        self._evidence.told(record.original, verdict, now, raw)
        self._conclude(record, verdict)

    def _conclude(self, record: Record, verdict: Verdict) -> None:
        """Tell who waits for it; where nobody does, a message that is held still is over by it."""
        exchange = self._exchanges.get(record.original)
        if exchange is not None and exchange.call.pending:
            # It may be there before the answer to the call is, which then tells nothing more.
            self._settle(exchange.call, verdict)
            if exchange.call.connection is not None:
                exchange.call.connection.close()
            if not exchange.receipt.done():
                exchange.receipt.set_result(None)
        elif verdict.said is Said.PROCESSED and not record.end and record.attempts:
            attempt, target = record.attempts[-1]
            self._report(Outcome(record.ref, attempt, target.encode(), Result.OK, 0.0, closed=True))


def asked(
    own: Own, partner: Partner, address: Address, original: str, sealed: Sealed
) -> list[tuple[str, str]]:
    """The head of a message, with the receipt that it asks for."""
    headers = [
        ("Host", f"{address[0]}:{address[1]}"),
        ("AS2-Version", "1.2"),
        ("AS2-From", names.quoted(own.name)),
        ("AS2-To", names.quoted(partner.name)),
        ("Message-ID", f"<{original}>"),
        ("Subject", "message"),
        ("Disposition-Notification-To", own.receipts or own.host),
        ("EDIINT-Features", "AS2-Reliability"),
        *sealed.headers,
    ]
    if partner.signed_receipts:
        headers.append(("Disposition-Notification-Options", mdn.ASKED.format(MICALG[sealed.digest])))
    if partner.late_receipts:
        headers.append(("Receipt-Delivery-Option", own.receipts))
    return headers


def request(path: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """A POST as bytes."""
    head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


def _no_proof(error: As2Error) -> str:
    return f"receipt that does not hold: {error.cause[:120]}"


def _unverified(outer: Entity) -> Mdn:
    """What a receipt whose signature fails would say; raises As2Error if even that can't be read."""
    inner = mime.entity(mime.parts(outer)[0]) if outer.type == "multipart/signed" else outer
    return mdn.parse(inner)
