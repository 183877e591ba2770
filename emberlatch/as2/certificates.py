"""Keys and certificates: our own, and those by which a partner is known.

Of each there may be two at a time, so that a new one can be told before the old one ends. Times are Unix
time in seconds and come from the caller.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509 import verification

LEAST_RSA = 2048  # bits
WARNED = 30 * 86400.0  # seconds before its end at which a certificate is named

PrivateKey = rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey
_PEM = re.compile(rb"-----BEGIN ([A-Z0-9 ]+)-----.+?-----END \1-----", re.DOTALL)


class CertificateError(ValueError):
    """A file that holds no usable certificate or key; the text says why."""


def ends(certificate: x509.Certificate) -> float:
    """When it is over."""
    return certificate.not_valid_after_utc.timestamp()


def valid(certificate: x509.Certificate, now: float) -> bool:
    """Whether it holds at a time."""
    return certificate.not_valid_before_utc.timestamp() <= now <= ends(certificate)


def fingerprint(certificate: x509.Certificate) -> str:
    """The first 16 hexadecimal digits of its SHA-256."""
    return certificate.fingerprint(hashes.SHA256()).hex()[:16]


def described(certificate: x509.Certificate) -> str:
    """One line for people."""
    until = certificate.not_valid_after_utc.strftime("%Y-%m-%d")
    return f"{certificate.subject.rfc4514_string()} ({fingerprint(certificate)}, until {until})"


def warnings(certificates: Sequence[x509.Certificate], now: float) -> list[str]:
    """What the people who keep them should know: what is over, not yet good, or ends with none behind."""
    lasting = max((ends(c) for c in certificates if valid(c, now)), default=-1.0)
    told = []
    for certificate in certificates:
        if ends(certificate) < now:
            told.append(f"{described(certificate)} is over")
        elif not valid(certificate, now):
            told.append(f"{described(certificate)} does not hold yet")
        elif ends(certificate) - now < WARNED and lasting <= ends(certificate):
            days = int((ends(certificate) - now) / 86400)
            told.append(f"{described(certificate)} ends in {days} days, and none follows")
    return told


@dataclass(frozen=True, slots=True)
class Identity:
    """Our own certificates with their keys."""

    held: tuple[tuple[x509.Certificate, PrivateKey], ...]

    def signing(self, now: float) -> tuple[x509.Certificate, PrivateKey]:
        """The one to sign with: the first in the settings that holds; CertificateError if none does."""
        for certificate, key in self.held:
            if valid(certificate, now):
                return certificate, key
        raise CertificateError("none of our certificates holds now")


@dataclass(frozen=True, slots=True)
class Trust:
    """By what a partner is known: its own certificates, or authorities and the common name they vouch for."""

    pinned: tuple[x509.Certificate, ...]
    authorities: tuple[x509.Certificate, ...] = ()
    common_name: str = ""

    def recipient(self, now: float) -> x509.Certificate:
        """The one to encrypt to: of those that hold the one that lasts longest; CertificateError if none."""
        holding = [certificate for certificate in self.pinned if valid(certificate, now)]
        if not holding:
            raise CertificateError("none of the partner's certificates holds now")
        return max(holding, key=ends)

    def signers(self, told: Sequence[x509.Certificate], now: float) -> list[x509.Certificate]:
        """The certificates whose signature counts; `told` are those that came with a message."""
        found = [certificate for certificate in self.pinned if valid(certificate, now)]
        if self.authorities:
            found += [certificate for certificate in told if self._vouched(certificate, told, now)]
        return found

    def _vouched(self, leaf: x509.Certificate, told: Sequence[x509.Certificate], now: float) -> bool:
        names = [n.value for n in leaf.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)]
        if names != [self.common_name]:
            return False
        policy = verification.ExtensionPolicy
        builder = (
            verification.PolicyBuilder()
            .store(verification.Store(list(self.authorities)))
            .time(datetime.fromtimestamp(now, UTC))
            .max_chain_depth(4)
            .extension_policies(ca_policy=policy.webpki_defaults_ca(), ee_policy=policy.permit_all())
        )
        try:
            builder.build_client_verifier().verify(leaf, [c for c in told if c != leaf])
        except (verification.VerificationError, InvalidSignature, UnsupportedAlgorithm, ValueError):
            return False
        return True


def read_certificates(path: Path) -> list[x509.Certificate]:
    """All certificates of a PEM file; raises CertificateError."""
    try:
        found = x509.load_pem_x509_certificates(path.read_bytes())
    except OSError as error:
        raise CertificateError(f"{path}: {error.strerror}") from error
    except (ValueError, UnsupportedAlgorithm, x509.InvalidVersion) as error:
        raise CertificateError(f"{path}: no PEM certificate: {error}") from error
    for certificate in found:
        _strong(certificate, path)
    return found


def read_identity(paths: Sequence[Path]) -> Identity:
    """Our own: each PEM file holds a key and its certificate. Raises CertificateError."""
    held = []
    for path in paths:
        certificate = read_certificates(path)[0]
        keys = [m[0] for m in _PEM.finditer(path.read_bytes()) if m[1].endswith(b"PRIVATE KEY")]
        if len(keys) != 1:
            raise CertificateError(f"{path}: holds {len(keys)} private keys; one, beside its certificate")
        try:
            key = serialization.load_pem_private_key(keys[0], None)
        except (ValueError, TypeError, UnsupportedAlgorithm) as error:
            raise CertificateError(f"{path}: the private key cannot be read: {error}") from error
        if not isinstance(key, rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey):
            raise CertificateError(f"{path}: a key of RSA or an elliptic curve is needed")
        if key.public_key() != certificate.public_key():
            raise CertificateError(f"{path}: the key is not that of the certificate")
        held.append((certificate, key))
    return Identity(tuple(held))


def _strong(certificate: x509.Certificate, path: Path) -> None:
    key = certificate.public_key()
    if isinstance(key, rsa.RSAPublicKey) and key.key_size < LEAST_RSA:
        raise CertificateError(f"{path}: an RSA key of {key.key_size} bits; {LEAST_RSA} at least")
    if not isinstance(key, rsa.RSAPublicKey | ec.EllipticCurvePublicKey):
        raise CertificateError(f"{path}: a key of RSA or an elliptic curve is needed")
