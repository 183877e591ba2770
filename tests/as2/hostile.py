"""Hostile inputs, generated from a seed: valid messages with bytes flipped, removed, repeated or replaced."""

from __future__ import annotations

import random
from collections.abc import Iterator
from functools import cache

from emberlatch.as2 import cms, compression, mdn, mime
from emberlatch.as2.errors import As2Error
from emberlatch.as2.mdn import Mdn
from emberlatch.as2.message import NO_LAYERS, AcceptancePolicy, Layers, seal, unseal
from tests.as2.parties import NOW, identity, trust

CONTENT = mime.compose((("Content-Type", "application/octet-stream"),), b"an order\r\n" * 8)
RECEIPT = mdn.build(Mdn("a@b", mdn.PROCESSED, b"0123", "sha256", "bank", "taken"))
TOKENS = [b"\r\n", b"\n", b"--", b";", b'"', b"\\", b"=", b"\x30\x80", b"\x24\x80", b"\xff" * 4, b"\x00" * 8]
TOKENS += [b"Content-Type: multipart/signed\r\n", b'boundary="', b"A" * 300, b"/", b":"]


@cache
def valid_messages() -> list[bytes]:
    """Return valid messages, each encoded as a MIME entity."""
    made = []
    for content in (CONTENT, RECEIPT):
        for wanted in (
            NO_LAYERS,
            Layers("sha256", ""),
            Layers("", "aes128_cbc"),
            Layers("sha256", "aes256_gcm", True),
            Layers("", "", True),
        ):
            sealed = seal(content, wanted, identity("ours"), trust("theirs"), NOW)
            made.append(mime.compose(sealed.headers, sealed.body))
    return made


def mutated_messages(seed: int) -> Iterator[bytes]:
    """Yield mutated messages endlessly."""
    random_ = random.Random(seed)
    messages = valid_messages()
    while True:
        raw = bytearray(random_.choice(messages))
        for _ in range(random_.randint(1, 4)):
            at = random_.randrange(len(raw) + 1)
            match random_.randrange(6):
                case 0:
                    raw[at : at + 1] = bytes([random_.randrange(256)])
                case 1:
                    del raw[at : at + random_.randint(1, 64)]
                case 2:
                    raw[at:at] = random_.choice(TOKENS)
                case 3:
                    raw[at:at] = raw[at : at + random_.randint(1, 200)]
                case 4:
                    other = random_.choice(messages)
                    raw[at:] = other[random_.randrange(len(other)) :]
                case _:
                    if at < len(raw):
                        raw[at] ^= 1 << random_.randrange(8)
        yield bytes(raw)


def open_input(raw: bytes) -> str:
    """Open an input; return `read` or the modifier of the As2Error. Any other error is raised."""
    try:
        opened = unseal(
            mime.parse_entity(raw), identity("theirs"), trust("ours"), AcceptancePolicy(signed=False), NOW
        )
        opened.mic("sha256")
        if mdn.is_receipt(opened.content):
            mdn.parse(opened.content)
        opened.content.content()
    except As2Error as error:
        return error.modifier
    return "read"


def run_cms_parsers(raw: bytes) -> None:
    """Pass an input to the parsers of CMS objects directly. Any error other than As2Error is raised."""
    for parse in (cms.content_type, lambda der: compression.decompress(der, 4096)):
        try:
            parse(raw)
        except As2Error:
            continue
