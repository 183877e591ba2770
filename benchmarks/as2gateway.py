"""Measure a standalone gateway in a process of its own under HTTP messages and AS2 orders.

The HTTP clients run in the calling process, the AS2 partner in a third process.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from dataclasses import dataclass, field
from multiprocessing import Pipe, get_context
from multiprocessing.connection import Connection
from pathlib import Path

from emberlatch.as2 import lab, mdn, mime, names
from emberlatch.as2.certificates import Identity, Trust, read_certificates, read_identity
from emberlatch.as2.message import Layers, seal
from emberlatch.as2.profile import OwnParty, Partner
from emberlatch.standins.as2_partner import As2Partner
from emberlatch.standins.as2_script import DuplicateFilter, Script
from emberlatch.standins.endpoint_model import Behaviour, CallOutcome, EndpointModel, Message
from emberlatch.standins.http_post import post
from emberlatch.standins.partner_server import PartnerServer

HTTP_MESSAGES_PER_S = 40.0
AS2_WORKERS = 4  # senders, each with one order in flight at a time


@dataclass(slots=True)
class Measured:
    """Latencies of HTTP messages in milliseconds, and message rates per second."""

    acceptance_ms: list[float] = field(default_factory=list)
    delivery_ms: list[float] = field(default_factory=list)
    http_per_s: float = 0.0
    as2_per_s: float = 0.0

    def acceptance_percentile(self, share: float) -> float:
        """Return a percentile, given as a share, of the milliseconds until a message is accepted."""
        return sorted(self.acceptance_ms)[int(share * (len(self.acceptance_ms) - 1))]

    def delivery_percentile(self, share: float) -> float:
        """Return a percentile, given as a share, of the milliseconds until a message is delivered."""
        return sorted(self.delivery_ms)[int(share * (len(self.delivery_ms) - 1))]


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _write_identity(folder: Path, name: str) -> None:
    identity, both = lab.to_pem(*lab.new_certificate(name, 30))
    (folder / f"{name}.crt").write_bytes(identity)
    (folder / f"{name}.pem").write_bytes(both)


class _DeliveryObserver:
    """Records the time from the submission of an HTTP message until the partner receives it."""

    def __init__(self, measured: Measured, sent_at: dict[str, float]) -> None:
        self._measured, self._sent_at = measured, sent_at

    def on_call(self, number: int, process: str, messages: list[Message]) -> None:
        for message in messages:
            if (started_at := self._sent_at.pop(message.id, None)) is not None:
                self._measured.delivery_ms.append((time.perf_counter() - started_at) * 1e3)

    def on_answer(self, number: int, outcome: CallOutcome) -> None:
        pass

    def on_disconnect(self, number: int) -> None:
        pass


async def _partner_side(folder: Path, as2_port: int, seconds: float, workers: int, ready: Connection) -> None:
    """Run the AS2 partner and send its orders; in a separate process, to not slow down the measurement."""
    identity = read_identity([folder / "bank.pem"])
    gateway_trust = Trust(tuple(read_certificates(folder / "us.crt")))
    partner = As2Partner(
        OwnParty("bank", identity),
        Partner("us", "us", gateway_trust),
        DuplicateFilter(),
        Script,
        identity,
        time.time,
    )
    await partner.start()
    ready.send(partner.address)
    await asyncio.to_thread(ready.recv)
    ends_at = time.perf_counter() + seconds
    counts = await asyncio.gather(
        *(_send_orders(as2_port, identity, gateway_trust, ends_at, n) for n in range(workers))
    )
    ready.send(sum(counts))
    await asyncio.sleep(1.5)
    await partner.stop()


def _partner_process(folder: Path, as2_port: int, seconds: float, workers: int, ready: Connection) -> None:
    asyncio.run(_partner_side(folder, as2_port, seconds, workers, ready))


async def measure(folder: Path, seconds: float, with_as2: bool) -> Measured:
    """Send HTTP messages at a steady rate, and if `with_as2` also AS2 orders as fast as possible."""
    for name in ("us", "bank"):
        _write_identity(folder, name)
    measured, sent_at = Measured(), dict[str, float]()
    http_partner = EndpointModel(Behaviour(service_time_s=0.005, service_time_variation=0.0), seed=1)
    http_server = PartnerServer(http_partner, _DeliveryObserver(measured, sent_at))
    await http_server.start()
    http_port, as2_port = _free_port(), _free_port()
    parent_end, child_end = Pipe()
    load = (folder, as2_port, seconds, AS2_WORKERS if with_as2 else 0, child_end)
    partner = get_context("spawn").Process(target=_partner_process, args=load)
    partner.start()
    rows = [
        "id,address,partner,kind,wing,protocol",
        f"h,{http_server.address},shop,rural-bank,east-wing,http",
    ]
    rows.append(f"a,{await asyncio.to_thread(parent_end.recv)},bank,rural-bank,east-wing,as2")
    (folder / "inventory.csv").write_text("\n".join(rows) + "\n")
    os.utime(folder / "inventory.csv", (1, 1))
    (folder / "gateway.toml").write_text(
        f'listen = "127.0.0.1:{http_port}"\n[inventory]\npaths = ["inventory.csv"]\n'
        f'[as2]\nname = "us"\ncertificates = ["us.pem"]\nlisten = "127.0.0.1:{as2_port}"\n'
        f'[as2.partners.bank]\nname = "bank"\ncertificates = ["bank.crt"]\n'
        f'orders = {{class = "payout", destination = "bank"}}\n'
    )
    command = (sys.executable, "-m", "emberlatch", "serve", str(folder / "gateway.toml"))
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(*command, stderr=log)
    try:
        while b"serving" not in (folder / "log").read_bytes():
            await asyncio.sleep(0.05)
        parent_end.send("go")
        count = await _submit_payouts(http_port, time.perf_counter() + seconds, measured, sent_at)
        await asyncio.sleep(1.0)
        measured.http_per_s, measured.as2_per_s = (
            count / seconds,
            await asyncio.to_thread(parent_end.recv) / seconds,
        )
    finally:
        process.terminate()
        await process.wait()
        await http_server.stop()
        await asyncio.to_thread(partner.join)
    return measured


async def _submit_payouts(port: int, ends_at: float, measured: Measured, sent_at: dict[str, float]) -> int:
    count, tasks = 0, set[asyncio.Task[None]]()
    while time.perf_counter() < ends_at:
        tasks.add(asyncio.create_task(_submit_payout(port, f"m{count}", measured, sent_at)))
        count += 1
        await asyncio.sleep(1 / HTTP_MESSAGES_PER_S)
    await asyncio.gather(*tasks)
    return count


async def _submit_payout(port: int, name: str, measured: Measured, sent_at: dict[str, float]) -> None:
    headers = [
        ("X-Request-ID", name),
        ("X-Priority-Class", "payout"),
        ("Idempotency-Key", name),
        ("X-Timeout-Ms", "20000"),
        ("Envelope", "dest=shop"),
    ]
    sent_at[name] = started_at = time.perf_counter()
    status = (await post("127.0.0.1", port, headers, b"x" * 200, "/api")).status
    if status == 202:
        measured.acceptance_ms.append((time.perf_counter() - started_at) * 1e3)


async def _send_orders(
    port: int, identity: Identity, gateway_trust: Trust, ends_at: float, worker: int
) -> int:
    """Send orders in sequence, which the gateway forwards over AS2; return how many got status 200."""
    content = mime.compose((("Content-Type", "application/octet-stream"),), b"order" * 200)
    sealed = seal(content, Layers("sha256", "aes256_cbc"), identity, gateway_trust, time.time())
    count = 0
    while time.perf_counter() < ends_at:
        headers = [
            ("AS2-From", "bank"),
            ("AS2-To", names.quoted("us")),
            ("Message-ID", f"<{worker}.{count}@bank>"),
            ("Disposition-Notification-To", "bank"),
            ("Disposition-Notification-Options", mdn.SIGNED_RECEIPT_OPTIONS.format("sha-256")),
            *sealed.headers,
        ]
        status = (await post("127.0.0.1", port, headers, sealed.body)).status
        count += status == 200
    return count
