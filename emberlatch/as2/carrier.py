"""The AS2 carrier: sends each call as an AS2 message and waits for its receipt.

A call ends when its receipt arrives, when an HTTP answer decides it without a receipt, or when the decision
module cancels it at its time-out.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import OrderedDict
from dataclasses import dataclass

from emberlatch.as2 import evaluation, mdn, mime, names
from emberlatch.as2.certificates import CertificateError
from emberlatch.as2.context import As2Context
from emberlatch.as2.errors import As2Error
from emberlatch.as2.evaluation import Expected, ProcessingStatus, Verdict
from emberlatch.as2.evidence import Evidence
from emberlatch.as2.ledger import Record
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import MICALG_NAMES, AcceptancePolicy, Sealed
from emberlatch.as2.mime import Entity
from emberlatch.as2.ports import PartnerDirectory
from emberlatch.as2.profile import OwnParty, Partner
from emberlatch.core.interface import Outcome, Result, Settings, Target
from emberlatch.engine import Address, CallItem
from emberlatch.gateway_core import GatewayCore
from emberlatch.net.call import Call
from emberlatch.net.endpoint import Endpoint
from emberlatch.net.http_connection import Connection, Response, connect
from emberlatch.net.pooled_carrier import PooledCarrier
from emberlatch.net.retry_after import parse_retry_after

log = logging.getLogger(__name__)

SEALED_CACHE_BYTES = 8 * 1024 * 1024
"""Size limit of the cache of sealed messages. A repeated attempt sends the cached bytes."""
MAX_ANSWER_BYTES = 128 * 1024  # limit of an HTTP answer, which may contain a receipt
MAX_CAUSE_CHARACTERS = 120  # limit of an error's cause in the text of a dispute
RECEIPT_POLICY = AcceptancePolicy(signed=False)
"""The policy for opening receipts.

It accepts unsigned receipts: `evaluation` checks whether a receipt has to be signed.
"""
RESULT_OF_STATUS = {
    ProcessingStatus.PROCESSED: Result.OK,
    ProcessingStatus.REJECTED: Result.FULL,
    ProcessingStatus.UNKNOWN: Result.ERROR,
}


class UnsentError(OSError):
    """A message can't be sent at present; the error's text gives the reason."""


@dataclass(slots=True)
class _Exchange:
    """A message that was sent and awaits its receipt."""

    call: Call
    partner: Partner
    sealed: Sealed
    record: Record
    receipt_arrived: asyncio.Future[None]  # done once an asynchronous receipt arrived, see `_complete`

    @property
    def expected(self) -> Expected:
        """What the receipt of the message has to contain."""
        sealed = self.sealed
        return Expected(self.record.message_id, sealed.mic, sealed.digest, self.partner.signed_receipts)


def compose_content(item: CallItem) -> bytes:
    """Encode a message as a MIME entity. It contains no time, so that all attempts have the same MIC."""
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


class As2Carrier(PooledCarrier):
    """Sends calls to AS2 endpoints on at most `max_connections` connections.

    A receipt completes its call. The engine of `core` gets the outcomes. Each message is recorded in
    `evidence` before it is sent.
    """

    def __init__(
        self,
        settings: Settings,
        max_connections: int,
        core: GatewayCore,
        station: As2Context,
        directory: PartnerDirectory,
        evidence: Evidence,
    ) -> None:
        super().__init__(
            settings, max_connections, core.engine.on_attempt_outcome, core.tasks, core.engine.counters
        )
        self._parties, self._crypto, self._now = station.parties, station.crypto, station.now
        self._directory, self._evidence = directory, evidence
        self._exchanges: dict[str, _Exchange] = {}  # calls in flight, by Message-ID
        self._exchange_of: dict[Call, _Exchange] = {}
        self._sealed: OrderedDict[str, Sealed] = OrderedDict()
        self._sealed_bytes = 0

    async def _run(self, target: Endpoint, call: Call) -> None:
        try:
            await super()._run(target, call)
        finally:
            exchange = self._exchange_of.pop(call, None)
            if exchange is not None and self._exchanges.get(exchange.record.message_id) is exchange:
                del self._exchanges[exchange.record.message_id]

    def _partner_of(self, target: Target) -> Partner | None:
        return self._parties.partners.get(self._directory.partner_of(target) or "")

    # Sending.

    async def _prepare(self, target: Endpoint, call: Call) -> None:
        if len(call.items) != 1:
            raise UnsentError(f"{len(call.items)} messages in a call to an AS2 endpoint; 1 is allowed")
        (item,), partner = call.items, self._partner_of(call.target)
        if partner is None:
            raise UnsentError(f"no AS2 profile for {call.target!r}")
        id_digest = hashlib.sha256(item.id.encode()).hexdigest()[:24]
        message_id = f"{item.ref}.{id_digest}@{self._parties.own.host}"
        try:
            sealed = await self._seal(message_id, partner, item)
        except (CertificateError, As2Error) as error:
            log.error("messages to %s cannot be sealed: %s", partner.inventory_name, error)
            raise UnsentError(str(error)) from error
        mic, name = sealed.mic.hex(), target.entry.target.decode()
        record = Record(
            message_id, item.ref, item.id, partner.inventory_name, mic, sealed.digest, round(self._now(), 3)
        )
        record = self._evidence.record_attempt(record, item.attempt, name)
        arrived = asyncio.get_running_loop().create_future()
        exchange = _Exchange(call, partner, sealed, record, arrived)
        self._exchange_of[call] = self._exchanges[message_id] = exchange

    async def _seal(self, message_id: str, partner: Partner, item: CallItem) -> Sealed:
        """Return the sealed message. A repeated attempt gets the cached bytes if there are any."""
        key = f"{partner.inventory_name}\n{message_id}"
        if (cached := self._sealed.get(key)) is not None:
            self._sealed.move_to_end(key)
            return cached
        sealed = await self._crypto.seal(
            compose_content(item), partner.layers, partner.inventory_name, self._now()
        )
        if (other := self._sealed.setdefault(key, sealed)) is not sealed:
            return other  # A hedged request has sealed the message meanwhile: both send the same bytes.
        self._sealed_bytes += len(sealed.body)
        while self._sealed_bytes > SEALED_CACHE_BYTES:
            self._sealed_bytes -= len(self._sealed.popitem(last=False)[1].body)
        return sealed

    async def _connect(self, target: Endpoint) -> Connection:
        partner = self._partner_of(target.entry.target)
        tls = partner.tls if partner is not None else None
        return await connect(target.address, self._settings.connect_timeout, MAX_ANSWER_BYTES, tls)

    def _request(self, target: Endpoint, call: Call) -> bytes:
        exchange, own = self._exchange_of[call], self._parties.own
        partner, sealed = exchange.partner, exchange.sealed
        headers = request_headers(own, partner, target.address, exchange.record.message_id, sealed)
        return request(partner.path, headers, sealed.body)

    # Answers and receipts.

    async def _on_response(self, target: Endpoint, call: Call, response: Response) -> None:
        exchange = self._exchange_of[call]
        retry_after = parse_retry_after(response.headers.get("retry-after"))
        if retry_after > 0:
            self._set_retry_after(target, retry_after)
        if not 200 <= response.status < 300:
            verdict = Verdict(evaluation.evaluate_status(response.status))
            log.warning(
                "endpoint %s answered %d to message %s",
                call.target,
                response.status,
                exchange.record.message_id,
            )
            self._record(exchange.record, verdict)
        elif response.body.strip():
            verdict = await self._synchronous_receipt(exchange, response)
        elif exchange.partner.asynchronous_receipts:
            # The receipt completes the call, see `_complete`.
            await call.wait_for(exchange.receipt_arrived, lambda: True)
            return
        else:
            verdict = Verdict(ProcessingStatus.UNKNOWN, "no receipt in the answer")
            self._record(exchange.record, verdict)
        self._complete_call(call, verdict, retry_after)

    def _complete_call(self, call: Call, verdict: Verdict, retry_after: float = 0.0) -> None:
        processed = verdict.status is ProcessingStatus.PROCESSED
        call.complete_all(RESULT_OF_STATUS[verdict.status], processed, retry_after)

    async def _synchronous_receipt(self, exchange: _Exchange, response: Response) -> Verdict:
        outer = mime.make_entity(tuple(response.headers.items()), bytes(response.body))
        raw = _raw_receipt(outer)
        try:
            receipt, signed = await self._read(exchange.partner, outer)
            verdict = evaluation.evaluate_receipt(exchange.expected, receipt, signed)
        except As2Error as error:
            verdict = _invalid_receipt(error)
        self._record(exchange.record, verdict, raw)
        return verdict

    async def _read(self, partner: Partner, outer: Entity) -> tuple[Mdn, bool]:
        """Open a receipt; return its contents, and whether the partner has signed it. Raises As2Error."""
        opened = await self._crypto.unseal(outer, partner.inventory_name, RECEIPT_POLICY, self._now())
        return mdn.parse(opened.content), bool(opened.signer)

    def _record(self, record: Record, verdict: Verdict, raw: bytes = b"") -> None:
        _log_dispute(record, verdict)
        try:
            self._evidence.record_verdict(record.message_id, verdict, self._now(), raw)
        except OSError as error:  # The verdict is valid even if it is not stored.
            log.error("verdict on message %s could not be recorded: %s", record.message_id, error)

    async def on_receipt(self, partner: Partner, outer: Entity) -> None:
        """Handle an asynchronous receipt.

        Raises As2Error if it can't be read, and OSError if it can't be recorded, so that the partner has to
        send it again.
        """
        raw = _raw_receipt(outer)
        try:
            receipt, signed = await self._read(partner, outer)
            invalid = None
        except As2Error as error:
            # A receipt with an invalid signature proves nothing. But it names its message, and a dispute is
            # recorded for that message.
            receipt, signed, invalid = _read_unverified(outer), False, _invalid_receipt(error)
        record, now = self._evidence.find(receipt.message_id), self._now()
        if record is None or record.partner != partner.inventory_name:
            log.warning("receipt from %s for unknown message %s", partner.inventory_name, receipt.message_id)
            self._evidence.record_unknown(partner.inventory_name, receipt.message_id, now, raw)
            return
        verdict = invalid or evaluation.evaluate_receipt(
            _expected_from_record(record, partner), receipt, signed
        )
        _log_dispute(record, verdict)
        self._evidence.record_verdict(record.message_id, verdict, now, raw)
        self._complete(record, verdict)

    def _complete(self, record: Record, verdict: Verdict) -> None:
        """Complete the call that waits for the receipt.

        If no call waits, report the message as delivered. This is done only if the receipt proves that the
        message was processed, and if the message has no final state yet.
        """
        exchange = self._exchanges.get(record.message_id)
        if exchange is not None and exchange.call.pending:
            # The receipt may arrive before the HTTP answer, which then has no effect.
            self._complete_call(exchange.call, verdict)
            if exchange.call.connection is not None:
                exchange.call.connection.close()
            if not exchange.receipt_arrived.done():
                exchange.receipt_arrived.set_result(None)
        elif verdict.status is ProcessingStatus.PROCESSED and not record.final_state and record.attempts:
            attempt, target = record.attempts[-1]
            self._report(Outcome(record.ref, attempt, target.encode(), Result.OK, 0.0, is_final=True))


def request_headers(
    own: OwnParty, partner: Partner, address: Address, message_id: str, sealed: Sealed
) -> list[tuple[str, str]]:
    """Return the HTTP headers of a message, including those that request its receipt."""
    headers = [
        ("Host", f"{address[0]}:{address[1]}"),
        ("AS2-Version", "1.2"),
        ("AS2-From", names.quoted(own.name)),
        ("AS2-To", names.quoted(partner.as2_name)),
        ("Message-ID", f"<{message_id}>"),
        ("Subject", "message"),
        ("Disposition-Notification-To", own.receipt_url or own.host),
        ("EDIINT-Features", "AS2-Reliability"),
        *sealed.headers,
    ]
    if partner.signed_receipts:
        headers.append(
            (
                "Disposition-Notification-Options",
                mdn.SIGNED_RECEIPT_OPTIONS.format(MICALG_NAMES[sealed.digest]),
            )
        )
    if partner.asynchronous_receipts:
        headers.append(("Receipt-Delivery-Option", own.receipt_url))
    return headers


def request(path: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Encode a POST request."""
    head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


def _raw_receipt(outer: Entity) -> bytes:
    """Return a receipt with its headers, as it is stored for operators."""
    return mime.compose([(name, _ascii(value)) for name, value in outer.headers], outer.body)


def _expected_from_record(record: Record, partner: Partner) -> Expected:
    """Return what a receipt has to contain. It is read from the message's record, also after a restart."""
    return Expected(record.message_id, bytes.fromhex(record.mic), record.digest, partner.signed_receipts)


def _log_dispute(record: Record, verdict: Verdict) -> None:
    if verdict.dispute:
        log.warning("dispute with %s over %s: %s", record.partner, record.message_id, verdict.dispute)


def _invalid_receipt(error: As2Error) -> Verdict:
    return Verdict(
        ProcessingStatus.UNKNOWN, f"receipt that does not hold: {error.cause[:MAX_CAUSE_CHARACTERS]}"
    )


def _read_unverified(outer: Entity) -> Mdn:
    """Parse a receipt whose signature is invalid; raises As2Error if it can't be read."""
    inner = mime.parse_entity(mime.parts(outer)[0]) if outer.type == "multipart/signed" else outer
    return mdn.parse(inner)
