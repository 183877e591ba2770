"""Tools for tests by operators: self-signed certificates, and a test message that bypasses the gateway."""

from __future__ import annotations

import asyncio
import datetime as dt
import secrets

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import rsa

from emberlatch.as2 import evaluation, mdn, mime, names
from emberlatch.as2.carrier import MAX_ANSWER_BYTES, RECEIPT_POLICY, request, request_headers
from emberlatch.as2.certificates import PrivateKey
from emberlatch.as2.errors import As2Error
from emberlatch.as2.evaluation import Expected
from emberlatch.as2.message import seal, unseal
from emberlatch.as2.profile import Parties, Partner
from emberlatch.engine import Address
from emberlatch.net.http_connection import connect

ANSWER_TIMEOUT_S = 30.0


def new_certificate(name: str, days: int) -> tuple[x509.Certificate, PrivateKey]:
    """Create a 2048-bit RSA key and its self-signed certificate, valid from one hour ago.

    Raises ValueError if the name can't be a common name.
    """
    key = rsa.generate_private_key(65537, 2048)
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = dt.datetime.now(dt.UTC)
    builder = x509.CertificateBuilder(subject_name=subject, issuer_name=subject, public_key=key.public_key())
    builder = builder.serial_number(x509.random_serial_number())
    builder = builder.not_valid_before(now - dt.timedelta(hours=1))
    builder = builder.not_valid_after(now + dt.timedelta(days=days))
    identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    builder = builder.add_extension(identifier, critical=False)
    return builder.sign(key, hashes.SHA256()), key


def to_pem(certificate: x509.Certificate, key: PrivateKey) -> tuple[bytes, bytes]:
    """Encode as PEM: the certificate alone, and the certificate followed by its key."""
    own = certificate.public_bytes(serialization.Encoding.PEM)
    secret = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    return own, own + secret


async def send(parties: Parties, partner: Partner, address: Address, body: bytes, now: float) -> str:
    """Send one message and describe the answer.

    Raises OSError, NoResponseError, CertificateError or As2Error.
    """
    own = parties.own
    content = mime.compose((("Content-Type", "application/octet-stream"),), body)
    sealed = seal(content, partner.layers, own.identity, partner.trust, now)
    message_id = f"{secrets.token_hex(12)}.trial@{own.host}"
    headers = request_headers(own, partner, address, message_id, sealed)
    connection = await connect(address, ANSWER_TIMEOUT_S, MAX_ANSWER_BYTES, partner.tls)
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            response = await connection.exchange(request(partner.path, headers, sealed.body))
    finally:
        connection.close()
    if not 200 <= response.status < 300:
        return f"answered {response.status}: {evaluation.evaluate_status(response.status)}"
    if not response.body.strip():
        return (
            "a receipt will come later"
            if partner.asynchronous_receipts
            else "unknown: no receipt in the answer"
        )
    outer = mime.make_entity(tuple(response.headers.items()), bytes(response.body))
    try:
        opened = unseal(outer, own.identity, partner.trust, RECEIPT_POLICY, now)
        receipt = mdn.parse(opened.content)
    except As2Error as error:
        return f"unknown: receipt that does not hold: {error.cause}"
    expected = Expected(message_id, sealed.mic, sealed.digest, partner.signed_receipts)
    verdict = evaluation.evaluate_receipt(expected, receipt, bool(opened.signer))
    dispute = f": {verdict.dispute}" if verdict.dispute else ""
    answered = names.message_id(receipt.message_id)
    return f"{verdict.status}{dispute} (disposition {receipt.disposition.short_form}, {answered})"
