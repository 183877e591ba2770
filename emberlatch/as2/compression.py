"""Compressed data of the Cryptographic Message Syntax (RFC 3274), DER-encoded."""

from __future__ import annotations

import zlib

from asn1crypto import cms

from emberlatch.as2.cms import DECODING_ERRORS
from emberlatch.as2.errors import As2Error, Modifier


def compress(content: bytes) -> bytes:
    """Compress content into a compressed-data object (RFC 3274)."""
    data = cms.CompressedData(
        {
            "version": "v0",
            "compression_algorithm": {"algorithm": "zlib"},
            "encap_content_info": {"content_type": "data", "content": zlib.compress(content)},
        }
    )
    return bytes(cms.ContentInfo({"content_type": "compressed_data", "content": data}).dump())


def decompress(der: bytes, max_bytes: int) -> bytes:
    """Decompress content; raises As2Error if it is longer than `max_bytes` or can't be decompressed."""
    try:
        data = cms.ContentInfo.load(der, strict=True)["content"]
        if data["compression_algorithm"]["algorithm"].native != "zlib":
            raise ValueError("not zlib")
        compressed = bytes(data["encap_content_info"]["content"].native or b"")
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(compressed, max_bytes + 1)
        if len(content) > max_bytes:
            raise ValueError(f"over {max_bytes} bytes")
        if not decompressor.eof:
            raise ValueError("does not end")
    except (*DECODING_ERRORS, zlib.error) as error:
        raise As2Error(Modifier.DECOMPRESSION, repr(error)) from error
    return content
