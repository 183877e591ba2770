"""A standalone gateway with AS2 partners on loopback sockets."""

from __future__ import annotations

import asyncio
import os
import ssl
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from cryptography.hazmat.primitives import serialization

from emberlatch.as2 import mdn, mime, names
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import AcceptancePolicy, Layers, seal, unseal
from emberlatch.as2.profile import OwnParty, Partner
from emberlatch.config import load
from emberlatch.standalone import StandaloneGateway
from emberlatch.standins.as2_partner import As2Partner
from emberlatch.standins.as2_script import DuplicateFilter, Script
from emberlatch.standins.http_post import post as post_message
from tests.as2.parties import NOW, certificate, identity, key, trust
from tests.peers import free_port

US, BANK = "National Office", "RIVER BANK"
PEM = serialization.Encoding.PEM


def write(folder: Path, *names_: str) -> None:
    """Write the certificates and keys of parties as PEM files."""
    for name in names_:
        own = certificate(name).public_bytes(PEM)
        secret = key(name).private_bytes(PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
        (folder / f"{name}.pem").write_bytes(own + secret)
        (folder / f"{name}.crt").write_bytes(own)


def configuration(folder: Path, listen: int, as2: int, endpoint: str, **more: str) -> Path:
    """Write the configuration of a gateway with the partner `river`, and return its path.

    `more` is added to the partner's profile; an option with the prefix `as2_` is added to `[as2]`.
    """
    write(folder, "us", "river", "stranger")
    (folder / "inventory").mkdir(exist_ok=True)
    rows = f"id,address,partner,kind,wing,protocol\nriver-1,{endpoint},river,rural-bank,east-wing,as2\n"
    (folder / "inventory" / "a.csv").write_text(rows)
    os.utime(folder / "inventory" / "a.csv", (1, 1))
    profile = {"name": f'"{BANK}"', "certificates": '["river.crt"]'}
    top = {"name": f'"{US}"', "certificates": '["us.pem"]', "listen": f'"127.0.0.1:{as2}"'}
    for name, value in more.items():
        (top if name.startswith("as2_") else profile)[name.removeprefix("as2_")] = value
    lines = [
        f'listen = "127.0.0.1:{listen}"',
        "[inventory]",
        'paths = ["inventory"]',
        "[limits]",
        "calls = 8",
    ]
    lines += ["[as2]", *(f"{k} = {v}" for k, v in top.items())]
    lines += ["[as2.partners.river]", *(f"{k} = {v}" for k, v in profile.items())]
    path = folder / "gateway.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def partner(script: Callable[[], Script] = Script, duplicates: DuplicateFilter | None = None) -> As2Partner:
    """Create the stand-in for the partner `river`."""
    us = Partner("us", US, trust("us"))
    own = OwnParty(BANK, identity("river"))
    return As2Partner(own, us, duplicates or DuplicateFilter(), script, identity("stranger"), time.time)


@asynccontextmanager
async def running(
    folder: Path, script: Callable[[], Script] = Script, context: ssl.SSLContext | None = None, **more: str
) -> AsyncIterator[tuple[StandaloneGateway, As2Partner, int, int]]:
    """Run a gateway and its partner; yield both, the gateway's HTTP port and its AS2 port.

    `{as2}` in an option is replaced by the AS2 port.
    """
    bank = partner(script)
    await bank.start(context)
    listen, as2 = await free_port(), await free_port()
    options = {name: value.replace("{as2}", str(as2)) for name, value in more.items()}
    path = configuration(folder, listen, as2, bank.address, **options)
    gateway = StandaloneGateway(load(path))
    await gateway.start()
    try:
        yield gateway, bank, listen, as2
    finally:
        await gateway.stop()
        await bank.stop()


CONTENT = mime.compose((("Content-Type", "application/octet-stream"),), b"an order\r\n")


def order(
    original: str = "o-1@river",
    content: bytes = CONTENT,
    wanted: Layers | None = None,
    signer: str = "river",
    **headers: str,
) -> tuple[list[tuple[str, str]], bytes]:
    """Create an order of the bank: HTTP headers and a body."""
    sealed = seal(content, wanted or Layers(), identity(signer), trust("us"), NOW)
    fields = {
        "AS2-Version": "1.2",
        "AS2-From": names.quoted(BANK),
        "AS2-To": names.quoted(US),
        "Message-ID": f"<{original}>",
        "Disposition-Notification-To": "river",
        "Disposition-Notification-Options": mdn.SIGNED_RECEIPT_OPTIONS.format("sha-256"),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    return [*((k, v) for k, v in fields.items() if v), *sealed.headers], sealed.body


def receipt(headers: dict[str, str], body: bytes, signed: bool = True) -> Mdn:
    """Open and parse a receipt that the gateway sent."""
    outer = mime.make_entity(tuple(headers.items()), body)
    opened = unseal(outer, identity("river"), trust("us"), AcceptancePolicy(signed=signed), time.time())
    return mdn.parse(opened.content)


async def post(port: int, message: tuple[list[tuple[str, str]], bytes]) -> tuple[int, dict[str, str], bytes]:
    response = await post_message("127.0.0.1", port, *message)
    return response.status, response.headers, response.body


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true."""
    while not condition():
        await asyncio.sleep(0.01)
