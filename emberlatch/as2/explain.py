"""Explains a captured message to operators, layer by layer: types, algorithms, signers and disposition.

`describe_visible_layers` needs no keys. `describe_opened` removes the layers by means of keys, as the
gateway does.
"""

from __future__ import annotations

from collections.abc import Iterator

from asn1crypto import cms as asn1

from emberlatch.as2 import cms, compression, mdn, mime
from emberlatch.as2.certificates import Identity, Trust
from emberlatch.as2.errors import As2Error
from emberlatch.as2.message import PKCS7_TYPES, AcceptancePolicy, Opened, unseal
from emberlatch.as2.mime import Entity

MAX_LAYERS = 8
MAX_DECOMPRESSED_BYTES = 1 << 20


def describe_visible_layers(outer: Entity) -> Iterator[str]:
    """Describe the layers that are visible without keys, a line at a time."""
    for _ in range(MAX_LAYERS):
        yield f"{outer.type}, {len(outer.body)} bytes"
        if outer.type == "multipart/signed":
            found = mime.parts(outer)
            if len(found) > 1:
                yield from _signature(mime.parse_entity(found[1]).content())
            outer = mime.parse_entity(found[0])
        elif outer.type in PKCS7_TYPES:
            der = outer.content()
            kind = cms.content_type(der)
            yield from _describe_pkcs7(kind, der)
            if kind != "compressed_data":
                return
            outer = mime.parse_entity(compression.decompress(der, MAX_DECOMPRESSED_BYTES))
        else:
            return
    yield "and more layers than are looked at"


def _describe_pkcs7(kind: str, der: bytes) -> Iterator[str]:
    if kind == "signed_data":
        yield from _signature(der)
    elif kind in ("enveloped_data", "authenticated_enveloped_data"):
        data = asn1.ContentInfo.load(der)["content"]
        encrypted = data[
            "encrypted_content_info" if kind == "enveloped_data" else "auth_encrypted_content_info"
        ]
        yield f"  encrypted with {encrypted['content_encryption_algorithm']['algorithm'].native}"
        for recipient in data["recipient_infos"]:
            yield f"  for {_describe_identifier(recipient.chosen, 'rid')}"
    else:
        yield f"  {kind.replace('_', ' ')}"


def _signature(der: bytes) -> Iterator[str]:
    data = asn1.ContentInfo.load(der)["content"]
    for info in data["signer_infos"]:
        digest, method = info["digest_algorithm"]["algorithm"].native, info["signature_algorithm"]
        yield f"  signed with {digest}, {method['algorithm'].native}, by {_describe_identifier(info, 'sid')}"
    yield f"  {len(data['certificates'] or ())} certificates come along"


def _describe_identifier(info: asn1.SignerInfo | asn1.KeyTransRecipientInfo, field: str) -> str:
    identifier = info[field] if field in info._field_map else None
    if identifier is None or identifier.name != "issuer_and_serial_number":
        return "a key identifier" if identifier is not None else "another kind of recipient"
    issuer_and_serial = identifier.chosen
    issuer, serial = issuer_and_serial["issuer"].human_friendly, issuer_and_serial["serial_number"].native
    return f"{issuer}, serial {serial}"


def describe_opened(outer: Entity, identity: Identity, trust: Trust, now: float, sha1: bool) -> Iterator[str]:
    """Open a message with our keys and a partner's certificates, and describe the content or the failure."""
    try:
        found: Opened = unseal(outer, identity, trust, AcceptancePolicy(False, False, sha1, True), now)
    except As2Error as error:
        yield f"does not hold: {error.cause}"
        return
    yield f"layers: {', '.join(found.layers) or 'none'}"
    yield f"signer: {found.signer or 'none'}"
    mic, digest = found.mic()
    yield f"MIC: {mic.hex()}, {digest}"
    yield f"content: {found.content.type}, {len(found.content.body)} bytes"
    if name := found.content.param("filename", "content-disposition"):
        yield f"file name: {name}"
    if mdn.is_receipt(found.content):
        yield from _receipt(found.content)


def _receipt(content: Entity) -> Iterator[str]:
    try:
        receipt = mdn.parse(content)
    except As2Error as error:
        yield f"a receipt that cannot be read: {error.cause}"
        return
    yield f"receipt for: <{receipt.message_id}>"
    yield f"disposition: {receipt.disposition.short_form}"
    yield f"MIC received: {receipt.mic.hex() or 'none'}, {receipt.digest or 'no digest'}"
