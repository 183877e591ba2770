"""The AS2 front end: `POST /as2` accepts orders from partners, and receipts for the messages sent to them.

An order is answered once it is in the journal: with its receipt, or with an empty 200 if the receipt is
asynchronous or none is requested. Other answers:

- a message that can't be accepted: an error receipt if a synchronous receipt is requested, else 400
- a receipt requested at a URL other than the one in the partner's profile: 400
- an unknown sender or recipient: 403
- an order that can't be accepted at present: 503 and Retry-After
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.as2 import mdn, mime, names, orders
from emberlatch.as2.context import As2Context
from emberlatch.as2.crypto_service import CryptoServiceError
from emberlatch.as2.errors import As2Error, Modifier
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import MAX_CONTENT_BYTES, Opened
from emberlatch.as2.mime import Entity
from emberlatch.as2.order_log import OrderLog
from emberlatch.as2.order_reply import BUSY_RETRY_AFTER_S, OrderReply, ReceiptRequest
from emberlatch.as2.orders import Classification, Order
from emberlatch.as2.ports import PartnerDirectory, ReceiptHandler
from emberlatch.as2.profile import Partner
from emberlatch.as2.receipt_sender import ReceiptSender
from emberlatch.engine import Address, BadMessageError, Machine, Submission, Tasks
from emberlatch.gateway_core import GatewayCore
from emberlatch.net.message_api import parse_destination, parse_number
from emberlatch.net.server import UNIQUE_HEADERS, Reply, Request, Server

log = logging.getLogger(__name__)

PATH = b"/as2"
MAX_BODY_BYTES = MAX_CONTENT_BYTES + 64 * 1024  # allows for the growth by base64 and signatures
SINGLE_HEADERS = UNIQUE_HEADERS | {
    "as2-from",
    "as2-to",
    "message-id",
    "content-type",
    "content-transfer-encoding",
}
MAX_CONCURRENT_UNSEALS = 16
EXPIRY_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class HttpListener:
    """The address at which partners connect to us, and the limit of their connections."""

    address: Address
    max_connections: int
    machine: Machine

    def make_server(self, submit: Callable[[Request, Reply], None], tasks: Tasks) -> Server:
        """Create the server, which passes each request to `submit`."""
        return Server(
            self.address,
            submit,
            self.max_connections,
            tasks,
            machine=self.machine,
            path=PATH,
            max_body_bytes=MAX_BODY_BYTES,
            unique_headers=SINGLE_HEADERS,
            allow_obs_fold=True,
        )


class As2Front:
    """Submits orders to the engine, passes on partners' receipts, and delivers our asynchronous receipts."""

    def __init__(
        self,
        listener: HttpListener,
        core: GatewayCore,
        station: As2Context,
        directory: PartnerDirectory,
        order_log: OrderLog,
        receipt_handler: ReceiptHandler,
    ) -> None:
        self._engine, self._tasks = core.engine, core.tasks
        self._parties, self._crypto, self._now = station.parties, station.crypto, station.now
        self._directory, self._order_log, self._receipt_handler = directory, order_log, receipt_handler
        self._server = listener.make_server(self._submit, core.tasks)
        self._receipts = ReceiptSender(station, order_log.retention_s)
        self._in_progress: dict[str, OrderReply] = {}  # orders being submitted, by storage key
        self._unseals = asyncio.Semaphore(MAX_CONCURRENT_UNSEALS)

    # The life cycle of an ingress, see `engine.ports`.

    def start(self) -> None:
        """Recover orders that were pending at a crash, and listen; raises OSError if either fails."""
        for order in self._order_log.recover(self._engine.recovered_ids):
            self._tasks.spawn(self._deliver(order))
        self._server.start()
        self._tasks.spawn(self._expire())

    def stop(self) -> None:
        """Close idle connections at once, and busy ones after their answers."""
        self._server.stop()

    def close_listener(self) -> None:
        """Accept no more connections."""
        self._server.close_listener()

    @property
    def has_clients(self) -> bool:
        """Whether any connection is open."""
        return self._server.has_clients

    @property
    def pending_receipts(self) -> int:
        """The number of undelivered asynchronous receipts."""
        return self._order_log.pending_receipts

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._order_log.expire(self._now())

    # Received messages.

    def _submit(self, received: Request, reply: Reply) -> None:
        self._tasks.spawn(self._serve(received, reply))

    async def _serve(self, received: Request, reply: Reply) -> None:
        try:
            headers = received.headers
            sender = names.unquoted(headers.get("as2-from", ""))
            own = names.unquoted(headers.get("as2-to", ""))
            partner = self._parties.with_as2_name(sender)
            if partner is None or own != self._parties.own.name:
                log.warning("message from %r to %r rejected: unknown AS2 name", sender[:60], own[:60])
                reply.send(403)
                return
            outer = mime.make_entity(tuple(headers.items()), bytes(received.body))
            async with self._unseals:
                await self._handle(partner, outer, reply)
        except As2Error as error:
            message_id = received.headers.get("message-id", "")[:80]
            log.warning("message %s cannot be read: %s", message_id, error.cause)
            reply.send(400)
        except CryptoServiceError as error:
            log.error("message %s cannot be opened: %s", received.headers.get("message-id", "")[:80], error)
            reply.send(503, BUSY_RETRY_AFTER_S)
        except Exception:  # The failure affects this message alone.
            log.exception("message %s failed", received.headers.get("message-id", "")[:80])
            if reply.data is None:
                reply.send(500)

    async def _handle(self, partner: Partner, outer: Entity, reply: Reply) -> None:
        if _may_be_receipt(outer):
            await self._handle_receipt(partner, outer, reply)
            return
        message_id = names.message_id(outer.get("message-id"))
        receipt_request = self._receipt_request(partner, outer)
        try:
            opened = await self._crypto.unseal(outer, partner.inventory_name, partner.policy, self._now())
            if mdn.is_receipt(opened.content):  # an encrypted receipt, although none is ever requested
                await self._handle_receipt(partner, outer, reply)
                return
            order = self._new_order(partner, message_id, opened, receipt_request)
            await self._handle_order(partner, order, opened.content, receipt_request, reply)
        except (As2Error, BadMessageError) as error:
            rejection = error if isinstance(error, As2Error) else As2Error(Modifier.UNEXPECTED, str(error))
            log.warning(
                "message %s from %s rejected: %s", message_id, partner.inventory_name, rejection.cause
            )
            await self._reject(partner, message_id, receipt_request, rejection, reply)

    async def _handle_order(
        self, partner: Partner, order: Order, content: Entity, receipt_request: ReceiptRequest, reply: Reply
    ) -> None:
        """Submit a new order, or answer a repeated one; raises As2Error or BadMessageError."""
        known = self._find_known(order)
        in_progress = self._in_progress.get(order.storage_key)
        busy = in_progress is not None and not in_progress.client_disconnected
        match orders.classify(known, order.mic, order.digest, busy):
            case Classification.BUSY:
                reply.send(503, BUSY_RETRY_AFTER_S)
            case Classification.DUPLICATE:
                assert known is not None
                await self._answer(known, receipt_request, reply)
            case Classification.CONFLICT:
                log.warning(
                    "dispute with %s: %s was sent again with a different content",
                    order.partner,
                    order.message_id,
                )
                raise As2Error(Modifier.UNEXPECTED, "Message-ID was already used for a different content")
            case Classification.NEW:
                self._submit_order(partner, order, content, receipt_request, reply)

    def _new_order(
        self, partner: Partner, message_id: str, opened: Opened, receipt_request: ReceiptRequest
    ) -> Order:
        mic, digest = opened.mic(receipt_request.digest)
        own_id = orders.submission_id(partner.inventory_name, message_id)
        receipt_digest = receipt_request.digest if receipt_request.is_requested else ""
        received_at = round(self._now(), 3)
        return Order(
            message_id,
            partner.inventory_name,
            own_id,
            mic.hex(),
            digest,
            received_at,
            receipt_digest=receipt_digest,
        )

    def _find_known(self, order: Order) -> Order | None:
        known = self._order_log.find(order)
        if (
            known is not None
            and not known.accepted
            and self._engine.messages.is_open(known.id)
            and order.storage_key not in self._in_progress
        ):
            known.accepted = True
        return known

    def _submit_order(
        self, partner: Partner, order: Order, content: Entity, receipt_request: ReceiptRequest, reply: Reply
    ) -> None:
        """Submit an order to the engine; answer 503 if it can't be stored. Raises BadMessageError."""
        message = self._submission(partner, order, content)
        order.receipt_pending = receipt_request.asynchronous
        try:
            self._order_log.put(order, self._now())
        except OSError as error:
            log.error("orders cannot be recorded: %s", error)
            reply.send(503, BUSY_RETRY_AFTER_S)
            return
        answer = OrderReply(self, order, receipt_request, reply)
        self._in_progress[order.storage_key] = answer
        try:
            self._engine.submit(message, answer)
        except BadMessageError:
            self.on_rejected(order)
            raise

    def _submission(self, partner: Partner, order: Order, content: Entity) -> Submission:
        """Build the submission of an order.

        Its settings come from the headers of its content, which may be signed, else from the profile. HTTP
        headers are never used, because they are not signed.
        """
        defaults = partner.order_defaults
        if defaults is None:
            raise BadMessageError(f"the profile of {partner.inventory_name} accepts no orders")
        envelope, timeout = content.get("envelope"), content.get("x-timeout-ms")
        address = envelope or (f"dest={defaults.destination}" if defaults.destination else "")
        return Submission(
            id=order.id,
            key=content.get("idempotency-key") or order.id,
            category=content.get("x-priority-class") or defaults.category,
            tenant=content.get("x-tenant-id") or defaults.tenant,
            destination=parse_destination(address, self._directory.destination_number),
            remaining=parse_number(timeout) / 1000 if timeout else defaults.timeout_s,
            body=content.content(),
        )

    def _receipt_request(self, partner: Partner, outer: Entity) -> ReceiptRequest:
        if not outer.get("disposition-notification-to"):
            return ReceiptRequest()
        signed, digest = mdn.receipt_options(outer.get("disposition-notification-options"))
        url = outer.get("receipt-delivery-option").strip()
        if url and (partner.receipt_url is None or url != str(partner.receipt_url)):
            raise As2Error(
                Modifier.UNEXPECTED, f"receipt requested at {url[:80]!r}, expected {partner.receipt_url}"
            )
        return ReceiptRequest(True, digest if signed else "", bool(url))

    async def _handle_receipt(self, partner: Partner, outer: Entity, reply: Reply) -> None:
        try:
            await self._receipt_handler.on_receipt(partner, outer)
        except OSError as error:
            log.error("receipt from %s could not be recorded: %s", partner.inventory_name, error)
            reply.send(503, BUSY_RETRY_AFTER_S)
            return
        reply.send(200)

    # Answers and receipts.

    def on_accepted(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        """Answer an order that is in the journal. From now on, each repetition of it gets the same answer.

        An asynchronous receipt is posted only once, not for each repetition.
        """
        order.accepted = True
        self._in_progress.pop(order.storage_key, None)
        self._order_log.update(order, self._now())
        self._tasks.spawn(self._answer(order, receipt_request, reply))
        if order.receipt_pending:
            self._tasks.spawn(self._deliver(order))

    def on_rejected(self, order: Order) -> None:
        """Delete an order that the engine has rejected; a repetition is handled as a new order."""
        self._in_progress.pop(order.storage_key, None)
        self._order_log.forget(order)

    def on_failed(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        """Accept an order that the engine failed after its submission; its receipt reports an error."""
        disposition = mdn.error_disposition(Modifier.UNEXPECTED)
        order.disposition_type, order.modifier = disposition.type, disposition.modifier
        order.text = disposition.text
        self.on_accepted(order, receipt_request, reply)

    async def _answer(self, order: Order, receipt_request: ReceiptRequest, reply: Reply) -> None:
        if receipt_request.asynchronous or not receipt_request.is_requested:
            reply.send(200)
            return
        try:
            sealed = await self._receipts.seal_for(order, receipt_request.digest)
        except Exception:  # The order stays accepted, and the sender will send it again.
            log.exception("receipt for %s cannot be sealed", order.message_id)
            reply.send(500)
            return
        headers = self._receipts.headers(order.partner, order.message_id, sealed)
        reply.send(200, body=sealed.body, headers=headers)

    async def _reject(
        self,
        partner: Partner,
        message_id: str,
        receipt_request: ReceiptRequest,
        error: As2Error,
        reply: Reply,
    ) -> None:
        """Answer a rejected message: an error receipt if a synchronous one is requested, else 400."""
        if not receipt_request.is_requested or receipt_request.asynchronous:
            reply.send(400)
            return
        disposition = mdn.error_disposition(error.modifier)
        own_name = self._parties.own.name
        receipt = Mdn(message_id, disposition, recipient=own_name, text=disposition.short_form)
        sealed = await self._receipts.seal(receipt, receipt_request.digest, self._now())
        headers = self._receipts.headers(partner.inventory_name, message_id, sealed)
        reply.send(200, body=sealed.body, headers=headers)

    async def _deliver(self, order: Order) -> None:
        await self._receipts.deliver(order)
        order.receipt_pending = False
        if self._order_log.find(order) is not None:  # The order may have expired meanwhile.
            self._order_log.update(order, self._now())


def _may_be_receipt(outer: Entity) -> bool:
    """Whether a message is a receipt, as far as its unencrypted headers and first part show."""
    if mdn.is_receipt(outer):
        return True
    if outer.type != "multipart/signed":
        return False
    found = mime.parts(outer)
    return bool(found) and mdn.is_receipt(mime.parse_entity(found[0]))
