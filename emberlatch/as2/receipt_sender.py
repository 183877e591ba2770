"""Our receipts for partners' orders: seals them for HTTP answers and delivers asynchronous ones."""

from __future__ import annotations

import asyncio
import logging

from emberlatch.as2 import mdn, names, orders
from emberlatch.as2.carrier import request
from emberlatch.as2.certificates import CertificateError
from emberlatch.as2.context import As2Context
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import Layers, Sealed
from emberlatch.as2.orders import Order
from emberlatch.as2.profile import Url
from emberlatch.net.http_connection import NoResponseError, Response, connect

log = logging.getLogger(__name__)

DELIVERY_BACKOFF_S = (0.5, 1.0, 2.0, 5.0, 15.0, 60.0)
"""Delays between attempts to deliver an asynchronous receipt; the last delay is repeated."""
DELIVERY_TIMEOUT_S = 10.0  # time-out of one attempt


class ReceiptSender:
    """Seals receipts, and posts asynchronous ones until `retention_s` after their orders were received."""

    def __init__(self, station: As2Context, retention_s: float) -> None:
        self._parties, self._crypto, self._now = station.parties, station.crypto, station.now
        self._retention_s = retention_s

    async def seal(self, receipt: Mdn, digest: str, at: float) -> Sealed:
        """Seal a receipt, signed unless `digest` is empty; `at` is the time of the signature."""
        return await self._crypto.seal(mdn.build(receipt), Layers(digest, "", False), "", at)

    async def seal_for(self, order: Order, digest: str) -> Sealed:
        """Seal the receipt of an order; the time of its signature is when the order was received."""
        return await self.seal(order.receipt(self._parties.own.name), digest, order.received_at)

    def headers(self, partner: str, message_id: str, sealed: Sealed) -> dict[str, str]:
        """Return the HTTP headers of a receipt to a partner, for the message with `message_id`."""
        own, known = self._parties.own, self._parties.partners.get(partner)
        headers = {
            "AS2-Version": "1.2",
            "AS2-From": names.quoted(own.name),
            "Message-ID": f"<r.{orders.submission_id(partner, message_id)}@{own.host}>",
        }
        if known is not None:
            headers["AS2-To"] = names.quoted(known.as2_name)
        return headers | dict(sealed.headers)

    async def deliver(self, order: Order) -> None:
        """Post the asynchronous receipt of an order until it is delivered or the order expires."""
        partner, attempts = self._parties.partners.get(order.partner), 0
        url = partner.receipt_url if partner is not None else None
        while url is not None and self._now() - order.received_at < self._retention_s:
            try:
                response = await self._post(url, order)
                if 200 <= response.status < 300:
                    return
                log.info("receipt for %s: %s answered %d", order.message_id, url, response.status)
            except (OSError, NoResponseError, CertificateError) as error:
                log.info("receipt for %s cannot be delivered to %s: %r", order.message_id, url, error)
            await asyncio.sleep(DELIVERY_BACKOFF_S[min(attempts, len(DELIVERY_BACKOFF_S) - 1)])
            attempts += 1

    async def _post(self, url: Url, order: Order) -> Response:
        sealed = await self.seal_for(order, order.receipt_digest)
        connection = await connect(url.address, DELIVERY_TIMEOUT_S, tls=url.tls)
        try:
            async with asyncio.timeout(DELIVERY_TIMEOUT_S):
                host = f"{url.address[0]}:{url.address[1]}"
                headers = [("Host", host), *self.headers(order.partner, order.message_id, sealed).items()]
                return await connection.exchange(request(url.path, headers, sealed.body))
        finally:
            connection.close()
