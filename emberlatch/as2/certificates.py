"""Keys and certificates: our own, and those that authenticate a partner.

Each party may have several at a time, so that a new certificate can be announced before the old one expires.
Times are Unix time in seconds and are passed by the caller.
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

MIN_RSA_BITS = 2048
EXPIRY_WARNING_S = 30 * 86400.0  # time before a certificate's expiry from which a warning names it

PrivateKey = rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey
_PEM = re.compile(rb"-----BEGIN ([A-Z0-9 ]+)-----.+?-----END \1-----", re.DOTALL)


class CertificateError(ValueError):
    """A certificate or key is missing or can't be used; the error's text gives the reason."""


def expires_at(certificate: x509.Certificate) -> float:
    """Return when a certificate expires."""
    return certificate.not_valid_after_utc.timestamp()


def is_valid(certificate: x509.Certificate, now: float) -> bool:
    """Whether a certificate is valid at a time."""
    return certificate.not_valid_before_utc.timestamp() <= now <= expires_at(certificate)


def fingerprint(certificate: x509.Certificate) -> str:
    """Return the first 16 hexadecimal digits of a certificate's SHA-256 digest."""
    return certificate.fingerprint(hashes.SHA256()).hex()[:16]


def describe(certificate: x509.Certificate) -> str:
    """Describe a certificate in one line for operators."""
    until = certificate.not_valid_after_utc.strftime("%Y-%m-%d")
    return f"{certificate.subject.rfc4514_string()} ({fingerprint(certificate)}, until {until})"


def expiry_warnings(certificates: Sequence[x509.Certificate], now: float) -> list[str]:
    """Describe each certificate that has expired, is not valid yet, or expires soon with no successor."""
    last_expiry = max((expires_at(c) for c in certificates if is_valid(c, now)), default=-1.0)
    found = []
    for certificate in certificates:
        if expires_at(certificate) < now:
            found.append(f"{describe(certificate)} is over")
        elif not is_valid(certificate, now):
            found.append(f"{describe(certificate)} does not hold yet")
        elif expires_at(certificate) - now < EXPIRY_WARNING_S and last_expiry <= expires_at(certificate):
            days = int((expires_at(certificate) - now) / 86400)
            found.append(f"{describe(certificate)} ends in {days} days, and none follows")
    return found


@dataclass(frozen=True, slots=True)
class Identity:
    """Our own certificates with their keys."""

    key_pairs: tuple[tuple[x509.Certificate, PrivateKey], ...]

    def signing(self, now: float) -> tuple[x509.Certificate, PrivateKey]:
        """Return the first of our certificates that is valid now, with its key; raises CertificateError."""
        for certificate, key in self.key_pairs:
            if is_valid(certificate, now):
                return certificate, key
        raise CertificateError("none of our certificates is valid at present")


@dataclass(frozen=True, slots=True)
class Trust:
    """What authenticates a partner: pinned certificates, or ones that authorities issue for a common name."""

    pinned: tuple[x509.Certificate, ...]
    authorities: tuple[x509.Certificate, ...] = ()
    common_name: str = ""

    def recipient(self, now: float) -> x509.Certificate:
        """Return the pinned certificate to encrypt to: the valid one that expires last.

        Raises CertificateError if none is valid.
        """
        currently_valid = [certificate for certificate in self.pinned if is_valid(certificate, now)]
        if not currently_valid:
            raise CertificateError("none of the partner's certificates is valid at present")
        return max(currently_valid, key=expires_at)

    def signers(self, attached: Sequence[x509.Certificate], now: float) -> list[x509.Certificate]:
        """Return the certificates whose signatures are accepted.

        `attached` are the certificates that the message contains.
        """
        found = [certificate for certificate in self.pinned if is_valid(certificate, now)]
        if self.authorities:
            found += [
                certificate for certificate in attached if self._is_certified(certificate, attached, now)
            ]
        return found

    def _is_certified(self, leaf: x509.Certificate, attached: Sequence[x509.Certificate], now: float) -> bool:
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
            builder.build_client_verifier().verify(leaf, [c for c in attached if c != leaf])
        except (verification.VerificationError, InvalidSignature, UnsupportedAlgorithm, ValueError):
            return False
        return True


def read_certificates(path: Path) -> list[x509.Certificate]:
    """Read all certificates of a PEM file; raises CertificateError."""
    try:
        found = x509.load_pem_x509_certificates(path.read_bytes())
    except OSError as error:
        raise CertificateError(f"{path}: {error.strerror}") from error
    except (ValueError, UnsupportedAlgorithm, x509.InvalidVersion) as error:
        raise CertificateError(f"{path}: no PEM certificate: {error}") from error
    for certificate in found:
        _check_strength(certificate, path)
    return found


def read_identity(paths: Sequence[Path]) -> Identity:
    """Read our own certificates and keys, one pair from each PEM file; raises CertificateError."""
    pairs = []
    for path in paths:
        certificate = read_certificates(path)[0]
        keys = [m[0] for m in _PEM.finditer(path.read_bytes()) if m[1].endswith(b"PRIVATE KEY")]
        if len(keys) != 1:
            raise CertificateError(
                f"{path}: contains {len(keys)} private keys; expected 1, next to its certificate"
            )
        try:
            key = serialization.load_pem_private_key(keys[0], None)
        except (ValueError, TypeError, UnsupportedAlgorithm) as error:
            raise CertificateError(f"{path}: the private key cannot be read: {error}") from error
        if not isinstance(key, rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey):
            raise CertificateError(f"{path}: an RSA or elliptic-curve key is required")
        if key.public_key() != certificate.public_key():
            raise CertificateError(f"{path}: the private key does not match the certificate")
        pairs.append((certificate, key))
    return Identity(tuple(pairs))


def _check_strength(certificate: x509.Certificate, path: Path) -> None:
    key = certificate.public_key()
    if isinstance(key, rsa.RSAPublicKey) and key.key_size < MIN_RSA_BITS:
        raise CertificateError(
            f"{path}: RSA key of {key.key_size} bits; at least {MIN_RSA_BITS} are required"
        )
    if not isinstance(key, rsa.RSAPublicKey | ec.EllipticCurvePublicKey):
        raise CertificateError(f"{path}: an RSA or elliptic-curve key is required")
