"""Keys and certificates of test parties, cached since generating a key takes long."""

from __future__ import annotations

import datetime as dt
import time
from functools import cache

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, rsa

from emberlatch.as2.certificates import Identity, PrivateKey, Trust

NOW = time.time()


@cache
def key(name: str) -> PrivateKey:
    if name.startswith("ec"):
        return ec.generate_private_key(ec.SECP256R1())
    return rsa.generate_private_key(65537, 2048)


@cache
def certificate(
    name: str,
    since: float = -1.0,
    until: float = 365.0,
    issuer: str = "",
    authority: bool = False,
    owner: str = "",
) -> x509.Certificate:
    """Create a certificate, self-signed unless an issuer is named; `since` and `until` are days from now.

    `owner` names the party that has the key, if it is another party than `name`.
    """
    own, by = owner or name, issuer or name

    def called(text: str) -> x509.Name:
        return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])

    now = dt.datetime.fromtimestamp(NOW, dt.UTC)
    public = key(own).public_key()
    builder = (
        x509.CertificateBuilder()
        .subject_name(called(name))
        .issuer_name(called(by))
        .public_key(public)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now + dt.timedelta(days=since))
        .not_valid_after(now + dt.timedelta(days=until))
        .add_extension(x509.BasicConstraints(authority, None), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(public), critical=False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(key(by).public_key()), critical=False
        )
    )
    if authority:
        usage = x509.KeyUsage(False, False, False, False, False, True, True, False, False)
        builder = builder.add_extension(usage, critical=True)
    return builder.sign(key(by), hashes.SHA256())


def identity(*names: str) -> Identity:
    return Identity(tuple((certificate(name), key(name)) for name in names))


def trust(*names: str) -> Trust:
    return Trust(tuple(certificate(name) for name in names))
