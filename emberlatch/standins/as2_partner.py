"""A stand-in partner that speaks AS2; a script determines which receipts it sends.

The partner does not process a repeated message again. It recognises a repetition by its Message-ID, within a
time window, and at all endpoints that share a `DuplicateFilter`.
The stand-in uses only those parts of the forwarder's code that read and write the layers of a message.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import replace

from emberlatch.as2 import mime, names
from emberlatch.as2.certificates import Identity
from emberlatch.as2.errors import As2Error
from emberlatch.as2.message import AcceptancePolicy, Opened, unseal
from emberlatch.as2.profile import OwnParty, Partner
from emberlatch.standins.as2_receipts import Receipt, ReceiptBuilder
from emberlatch.standins.as2_script import (
    NOT_EXECUTED,
    DeliveredReceipt,
    DuplicateFilter,
    ReceiptBehaviour,
    ReceivedMessage,
    Script,
)
from emberlatch.standins.http_connection import HttpConnection, HttpRequest, OpenConnections
from emberlatch.standins.http_post import post

MAX_RECEIPT_ATTEMPTS = 3
RECEIPT_RETRY_BACKOFF_S = 0.3
BUSY_RETRY_AFTER_S = "0.2"


class As2Partner:
    """One endpoint of a partner; `own` is the partner's identity, `gateway` its profile of the forwarder."""

    def __init__(
        self,
        own: OwnParty,
        gateway: Partner,
        duplicates: DuplicateFilter,
        next_script: Callable[[], Script],
        wrong_signer: Identity,
        wall: Callable[[], float],
    ) -> None:
        """`next_script` is called for each message; `wall` gives Unix time in seconds."""
        self.own, self.gateway = own, gateway
        self.duplicates, self.next_script = duplicates, next_script
        self.received: list[ReceivedMessage] = []
        self.delivered_receipts: list[DeliveredReceipt] = []
        self._wall = wall
        self._receipts = ReceiptBuilder(own, gateway, wrong_signer, wall)
        self._port = 0
        self._server: asyncio.Server | None = None
        self._connections = OpenConnections()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address as host:port; valid after the first `start`."""
        return f"127.0.0.1:{self._port}"

    @property
    def open_connections(self) -> int:
        """Number of open connections from the forwarder."""
        return len(self._connections)

    async def start(self, tls: ssl.SSLContext | None = None) -> None:
        """Listen on a port that the kernel chooses; after a stop, listen on the same port again."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: As2Connection(self, self._connections), "127.0.0.1", self._port, ssl=tls
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Refuse new connections and break the open ones; receipts that are not yet delivered are lost."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._connections.abort_all()
        for task in list(self._tasks):
            task.cancel()

    def on_message(self, connection: As2Connection, headers: dict[str, str], body: bytes) -> None:
        """Serve a message that was received completely."""
        task = asyncio.get_running_loop().create_task(self._serve(connection, headers, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: As2Connection, headers: dict[str, str], body: bytes) -> None:
        script, opened = self._process(headers, body)
        original = names.message_id(headers["message-id"])
        options = headers.get("disposition-notification-options", "")
        receipts = list(self._receipts.build(script, original, opened, options))
        receipt_url = headers.get("receipt-delivery-option")
        match script.behaviour:
            case ReceiptBehaviour.BUSY:
                connection.respond(429, [("Retry-After", BUSY_RETRY_AFTER_S)], b"")
            case ReceiptBehaviour.STATUS:
                connection.respond(503, [], b"")
            case ReceiptBehaviour.RESET:
                connection.transport.abort()
            case ReceiptBehaviour.DROPPED if receipt_url is None:
                pass
            case _ if receipt_url is not None:
                connection.respond(202, [], b"")
                await self._post_all(receipts, receipt_url, original, script.behaviour)
            case _ if receipts:
                await asyncio.sleep(receipts[0].delay_s)
                connection.respond(200, list(receipts[0].headers), receipts[0].body)
            case _:
                connection.respond(200, [], b"")

    def _process(self, headers: dict[str, str], body: bytes) -> tuple[Script, Opened | None]:
        """Open and process a message unless its behaviour is in `NOT_EXECUTED`; returns script and content.

        If the message can't be opened, the behaviour in the returned script is `REFUSED`.
        """
        script, now = self.next_script(), asyncio.get_running_loop().time
        original = names.message_id(headers["message-id"])
        opened = None
        if script.behaviour not in NOT_EXECUTED:
            message = mime.make_entity(tuple(headers.items()), body)
            policy = AcceptancePolicy(signed=False, sha1=True)
            try:
                opened = unseal(message, self.own.identity, self.gateway.trust, policy, self._wall())
            except As2Error:
                script = replace(script, behaviour=ReceiptBehaviour.REFUSED)
        processed = opened is not None and self.duplicates.process(now(), original)
        self.received.append(ReceivedMessage(now(), original, script.behaviour, processed, opened))
        return script, opened

    async def _post_all(
        self, receipts: list[Receipt], url: str, original: str, behaviour: ReceiptBehaviour
    ) -> None:
        for receipt in receipts:
            await asyncio.sleep(receipt.delay_s)
            if await _post_receipt(url, receipt):
                now = asyncio.get_running_loop().time()
                self.delivered_receipts.append(DeliveredReceipt(now, original, behaviour))


async def _post_receipt(url: str, receipt: Receipt) -> bool:
    """Deliver a receipt in at most `MAX_RECEIPT_ATTEMPTS` attempts; returns whether it was confirmed."""
    host, _, port = url.removeprefix("http://").partition("/")[0].partition(":")
    for _ in range(MAX_RECEIPT_ATTEMPTS):
        try:
            status = (await post(host, int(port), list(receipt.headers), receipt.body)).status
        except OSError:
            status = 0
        if 200 <= status < 300:
            return True
        await asyncio.sleep(RECEIPT_RETRY_BACKOFF_S)
    return False


class As2Connection(HttpConnection):
    """One connection from the forwarder."""

    def __init__(self, partner: As2Partner, connections: OpenConnections) -> None:
        super().__init__(connections)
        self._partner = partner

    def on_request(self, request: HttpRequest) -> None:
        """Pass a complete message to the partner."""
        self._partner.on_message(self, request.headers, request.body)

    def respond(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Write a response unless the connection is closing."""
        if not self.transport.is_closing():
            head = "".join(f"{name}: {value}\r\n" for name, value in headers)
            lines = f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(lines.encode("latin-1") + body)
