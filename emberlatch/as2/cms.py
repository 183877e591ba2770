"""Cryptographic Message Syntax, as far as AS2 uses it: signed, enveloped and compressed data (RFC 5652, 5083,
5084, 3274), all in DER.

The structures are asn1crypto's, the arithmetic is cryptography's. Nothing that came from outside is
believed before its signature is: a certificate inside a message counts only where an authority vouches.
"""

from __future__ import annotations

import hmac
import os
import zlib
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import lru_cache
from typing import Any

from asn1crypto import algos, cms, core
from asn1crypto import x509 as asn1_x509
from cryptography import x509
from cryptography.exceptions import InvalidSignature, InvalidTag, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, padding, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.asymmetric import padding as rsa_padding
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from emberlatch.as2.certificates import Identity, PrivateKey, Trust
from emberlatch.as2.errors import As2Error, Modifier

DIGESTS: dict[str, type[hashes.HashAlgorithm]] = {
    "sha1": hashes.SHA1,
    "sha256": hashes.SHA256,
    "sha384": hashes.SHA384,
    "sha512": hashes.SHA512,
}
CIPHERS = {f"aes{bits}_{mode}": bits // 8 for bits in (128, 192, 256) for mode in ("cbc", "gcm")}
"""Content ciphers and the bytes of their keys; `tripledes_3key` beside them inward, where it is allowed."""
TRIPLE_DES = "tripledes_3key"
TAG = 16  # bytes of a GCM tag
MOST_SIGNERS, MOST_RECIPIENTS, MOST_CERTIFICATES = 4, 16, 8

# What reading hostile DER was seen to raise, beside ValueError.
UNREADABLE = (ValueError, TypeError, KeyError, IndexError, AttributeError, OverflowError, RecursionError)


class _GcmParameters(core.Sequence):  # type: ignore[misc]
    """RFC 5084, 3.2."""

    _fields = [("nonce", core.OctetString), ("icv_len", core.Integer, {"default": 12})]  # noqa: RUF012


@dataclass(frozen=True, slots=True)
class Signed:
    """A signature that holds."""

    signer: x509.Certificate
    digest: str  # a name of DIGESTS
    content: bytes  # what was signed


def fold(name: str) -> str:
    """The name of a digest as we have it: `SHA-256` and `sha256` are one."""
    return name.strip().lower().replace("-", "").replace("_", "")


def digest(name: str, content: bytes) -> bytes:
    """Of some bytes; `name` is one of DIGESTS."""
    hashed = hashes.Hash(DIGESTS[name]())
    hashed.update(content)
    return hashed.finalize()


def _refused(modifier: Modifier, cause: str) -> As2Error:
    return As2Error(modifier, cause)


def kind(der: bytes) -> str:
    """What a CMS object holds: `signed_data`, `enveloped_data`, ...; raises As2Error."""
    try:
        return str(cms.ContentInfo.load(der, strict=True)["content_type"].native)
    except UNREADABLE as error:
        raise _refused(Modifier.UNEXPECTED, f"no CMS object: {error!r}") from error


# Signatures.


@lru_cache(256)  # of those that are pinned, and read again for each message
def _read(certificate: x509.Certificate) -> asn1_x509.Certificate:
    return asn1_x509.Certificate.load(certificate.public_bytes(serialization.Encoding.DER))


def _identifier(certificate: x509.Certificate) -> cms.IssuerAndSerialNumber:
    own = _read(certificate)
    return cms.IssuerAndSerialNumber({"issuer": own.issuer, "serial_number": own.serial_number})


def sign(content: bytes, certificate: x509.Certificate, key: PrivateKey, name: str, now: float) -> bytes:
    """A detached signature over some bytes, with its certificate."""
    attributes = cms.CMSAttributes(
        [
            cms.CMSAttribute({"type": "content_type", "values": ["data"]}),
            cms.CMSAttribute(
                {
                    "type": "signing_time",
                    "values": [
                        cms.Time({"utc_time": datetime.fromtimestamp(now, UTC).replace(microsecond=0)})
                    ],
                }
            ),
            cms.CMSAttribute({"type": "message_digest", "values": [digest(name, content)]}),
        ]
    )
    to_sign, hashed = attributes.dump(), DIGESTS[name]()
    if isinstance(key, rsa.RSAPrivateKey):
        signature, algorithm = key.sign(to_sign, rsa_padding.PKCS1v15(), hashed), "rsassa_pkcs1v15"
    else:
        signature, algorithm = key.sign(to_sign, ec.ECDSA(hashed)), f"{name}_ecdsa"
    signer = cms.SignerInfo(
        {
            "version": "v1",
            "sid": cms.SignerIdentifier({"issuer_and_serial_number": _identifier(certificate)}),
            "digest_algorithm": {"algorithm": name},
            "signed_attrs": attributes,
            "signature_algorithm": {"algorithm": algorithm},
            "signature": signature,
        }
    )
    data = cms.SignedData(
        {
            "version": "v1",
            "digest_algorithms": [{"algorithm": name}],
            "encap_content_info": {"content_type": "data"},
            "certificates": [cms.CertificateChoices({"certificate": _read(certificate)})],
            "signer_infos": [signer],
        }
    )
    return bytes(cms.ContentInfo({"content_type": "signed_data", "content": data}).dump())


def verify(der: bytes, content: bytes | None, trust: Trust, now: float, sha1: bool = False) -> Signed:
    """Hold a signature against a partner's certificates; `content` is None where it is inside.

    Raises As2Error, whatever is wrong with it.
    """
    try:
        data = cms.ContentInfo.load(der, strict=True)["content"]
        told = _told(data)
        if content is None:
            content = bytes(data["encap_content_info"]["content"].native or b"")
        infos = data["signer_infos"]
        if not 1 <= len(infos) <= MOST_SIGNERS:
            raise ValueError(f"{len(infos)} signers")
        signers = trust.signers(told, now)
        for info in infos:
            for certificate in signers:
                if _names(info["sid"], certificate):
                    return _verified(info, certificate, content, sha1)
        raise ValueError("no signer that is known and whose certificate holds")
    except (*UNREADABLE, InvalidSignature, UnsupportedAlgorithm) as error:
        raise _refused(Modifier.AUTHENTICATION, f"signature: {error!r}") from error


def _told(data: Any) -> list[x509.Certificate]:
    """The certificates that came with a signature; those that can't be read are none."""
    found = []
    for choice in list(data["certificates"] or ())[:MOST_CERTIFICATES]:
        try:
            found.append(x509.load_der_x509_certificate(choice.chosen.dump()))
        except (ValueError, UnsupportedAlgorithm, x509.InvalidVersion):
            continue
    return found


def _names(identifier: Any, certificate: x509.Certificate) -> bool:
    """Whether a signer or recipient identifier means a certificate."""
    own = _read(certificate)
    if identifier.name == "issuer_and_serial_number":
        told = identifier.chosen
        return bool(
            told["serial_number"].native == own.serial_number and told["issuer"].dump() == own.issuer.dump()
        )
    told = identifier.chosen.native
    return told is not None and told == own.key_identifier


def _verified(info: Any, certificate: x509.Certificate, content: bytes, sha1: bool) -> Signed:
    name = str(info["digest_algorithm"]["algorithm"].native)
    if name not in DIGESTS or (name == "sha1" and not sha1):
        raise ValueError(f"digest {name}")
    attributes, signed = info["signed_attrs"], content
    if len(attributes):
        values: dict[str, Any] = {}
        for attribute in attributes:
            kind_of = attribute["type"].native
            if kind_of in values:
                raise ValueError(f"attribute {kind_of} twice")
            values[kind_of] = attribute["values"]
        if values["content_type"].native != ["data"] or len(values["message_digest"]) != 1:
            raise ValueError("attributes")
        if not hmac.compare_digest(values["message_digest"][0].native, digest(name, content)):
            raise ValueError("the content is not what was signed")
        signed = b"\x31" + attributes.dump()[1:]  # signed as a SET OF, sent with a tag of its own
    _check(info, certificate.public_key(), signed, name)
    return Signed(certificate, name, content)


def _check(info: Any, key: Any, signed: bytes, name: str) -> None:
    """Raises InvalidSignature, or ValueError."""
    signature, algorithm = info["signature"].native, info["signature_algorithm"]
    hashed, method = DIGESTS[name](), algorithm.signature_algo
    if isinstance(key, rsa.RSAPublicKey) and method == "rsassa_pkcs1v15":
        if algorithm["algorithm"].native not in ("rsassa_pkcs1v15", f"{name}_rsa"):
            raise ValueError("two digests")
        key.verify(signature, signed, rsa_padding.PKCS1v15(), hashed)
    elif isinstance(key, rsa.RSAPublicKey) and method == "rsassa_pss":
        told = algorithm["parameters"]
        if told["hash_algorithm"]["algorithm"].native != name:
            raise ValueError("two digests")
        pss = rsa_padding.PSS(rsa_padding.MGF1(hashed), int(told["salt_length"].native))
        key.verify(signature, signed, pss, hashed)
    elif isinstance(key, ec.EllipticCurvePublicKey) and method == "ecdsa":
        if algorithm.hash_algo != name:
            raise ValueError("two digests")
        key.verify(signature, signed, ec.ECDSA(hashed))
    else:
        raise ValueError(f"signature {algorithm['algorithm'].native} with another kind of key")


# Encryption.


def encrypt(content: bytes, recipient: x509.Certificate, cipher: str) -> bytes:
    """Enveloped data for one recipient; authenticated with GCM (RFC 5083). `cipher` is one of CIPHERS."""
    public = recipient.public_key()
    if not isinstance(public, rsa.RSAPublicKey):
        raise _refused(Modifier.UNSUPPORTED, "content can be encrypted to RSA keys only")
    key = os.urandom(CIPHERS[cipher])
    info = cms.KeyTransRecipientInfo(
        {
            "version": "v0",
            "rid": cms.RecipientIdentifier({"issuer_and_serial_number": _identifier(recipient)}),
            "key_encryption_algorithm": {"algorithm": "rsaes_pkcs1v15"},
            "encrypted_key": public.encrypt(key, rsa_padding.PKCS1v15()),
        }
    )
    recipients = [cms.RecipientInfo({"ktri": info})]
    if cipher.endswith("gcm"):
        nonce = os.urandom(12)
        sealed = AESGCM(key).encrypt(nonce, content, None)
        parameters: Any = _GcmParameters({"nonce": nonce, "icv_len": TAG})
        data = cms.AuthEnvelopedData(
            {
                "version": "v0",
                "recipient_infos": recipients,
                "auth_encrypted_content_info": _encrypted(cipher, parameters, sealed[:-TAG]),
                "mac": sealed[-TAG:],
            }
        )
        return bytes(
            cms.ContentInfo({"content_type": "authenticated_enveloped_data", "content": data}).dump()
        )
    vector = os.urandom(16)
    padder, encryptor = (
        padding.PKCS7(128).padder(),
        Cipher(algorithms.AES(key), modes.CBC(vector)).encryptor(),
    )
    padded = padder.update(content) + padder.finalize()
    hidden = _encrypted(cipher, core.OctetString(vector), encryptor.update(padded) + encryptor.finalize())
    data = cms.EnvelopedData(
        {"version": "v0", "recipient_infos": recipients, "encrypted_content_info": hidden}
    )
    return bytes(cms.ContentInfo({"content_type": "enveloped_data", "content": data}).dump())


def _encrypted(cipher: str, parameters: Any, content: bytes) -> dict[str, Any]:
    algorithm = algos.EncryptionAlgorithm({"algorithm": cipher})
    algorithm["parameters"] = parameters
    return {
        "content_type": "data",
        "content_encryption_algorithm": algorithm,
        "encrypted_content": content,
    }


def decrypt(der: bytes, identity: Identity, triple_des: bool = False) -> tuple[bytes, str]:
    """The content and its cipher; raises As2Error, the same for every cause."""
    try:
        info = cms.ContentInfo.load(der, strict=True)
        data, sealed = info["content"], info["content_type"].native == "authenticated_enveloped_data"
        hidden = data["auth_encrypted_content_info" if sealed else "encrypted_content_info"]
        cipher = str(hidden["content_encryption_algorithm"]["algorithm"].native)
        if cipher not in CIPHERS and not (cipher == TRIPLE_DES and triple_des):
            raise ValueError(f"cipher {cipher}")
        if cipher.endswith("gcm") != sealed:
            raise ValueError(f"{cipher} in {info['content_type'].native}")
        parameters = hidden["content_encryption_algorithm"]["parameters"]
        content = hidden["encrypted_content"].native
        key = _content_key(data["recipient_infos"], identity)
        if sealed:
            return _open_gcm(key, parameters, content, data, cipher), cipher
        return _open_cbc(key, parameters.native, content, cipher), cipher
    except (*UNREADABLE, InvalidTag, UnsupportedAlgorithm) as error:
        raise _refused(Modifier.AUTHENTICATION, f"decryption: {error!r}") from error


def _content_key(recipients: Any, identity: Identity) -> bytes:
    if not 1 <= len(recipients) <= MOST_RECIPIENTS:
        raise ValueError(f"{len(recipients)} recipients")
    for recipient in recipients:
        if recipient.name != "ktri":
            continue
        info = recipient.chosen
        for certificate, key in identity.held:
            if isinstance(key, rsa.RSAPrivateKey) and _names(info["rid"], certificate):
                return key.decrypt(info["encrypted_key"].native, _transport(info["key_encryption_algorithm"]))
    raise ValueError("encrypted to nobody here")


def _transport(algorithm: Any) -> rsa_padding.AsymmetricPadding:
    name = algorithm["algorithm"].native
    if name in ("rsaes_pkcs1v15", "rsa"):
        return rsa_padding.PKCS1v15()
    if name != "rsaes_oaep":
        raise ValueError(f"key transport {name}")
    told = algorithm["parameters"]
    hashed = DIGESTS[told["hash_algorithm"]["algorithm"].native]()
    mask = DIGESTS[told["mask_gen_algorithm"]["parameters"]["algorithm"].native]()
    return rsa_padding.OAEP(rsa_padding.MGF1(mask), hashed, None)


def _open_gcm(key: bytes, parameters: Any, content: bytes, data: Any, cipher: str) -> bytes:
    told = _GcmParameters.load(parameters.dump(), strict=True)
    mac, nonce = data["mac"].native, told["nonce"].native
    if len(key) != CIPHERS[cipher] or len(mac) != TAG or len(nonce) != 12:
        raise ValueError("key, nonce or tag of another length")
    attributes = data["auth_attrs"]
    bound = b"\x31" + attributes.dump()[1:] if len(attributes) else None
    return AESGCM(key).decrypt(nonce, content + mac, bound)


def _open_cbc(key: bytes, vector: bytes, content: bytes, cipher: str) -> bytes:
    if cipher == TRIPLE_DES:
        from cryptography.hazmat.decrepit.ciphers.algorithms import TripleDES

        block: Any = TripleDES(key)
    else:
        if len(key) != CIPHERS[cipher]:
            raise ValueError("a key of another length")
        block = algorithms.AES(key)
    decryptor = Cipher(block, modes.CBC(vector)).decryptor()
    unpadder = padding.PKCS7(block.block_size).unpadder()
    return unpadder.update(decryptor.update(content) + decryptor.finalize()) + unpadder.finalize()


# Compression.


def compress(content: bytes) -> bytes:
    """Compressed data (RFC 3274)."""
    data = cms.CompressedData(
        {
            "version": "v0",
            "compression_algorithm": {"algorithm": "zlib"},
            "encap_content_info": {"content_type": "data", "content": zlib.compress(content)},
        }
    )
    return bytes(cms.ContentInfo({"content_type": "compressed_data", "content": data}).dump())


def decompress(der: bytes, most: int) -> bytes:
    """The content, of at most so many bytes: no more is ever unpacked. Raises As2Error."""
    try:
        data = cms.ContentInfo.load(der, strict=True)["content"]
        if data["compression_algorithm"]["algorithm"].native != "zlib":
            raise ValueError("not zlib")
        packed = bytes(data["encap_content_info"]["content"].native or b"")
        unpacker = zlib.decompressobj()
        content = unpacker.decompress(packed, most + 1)
        if len(content) > most:
            raise ValueError(f"over {most} bytes")
        if not unpacker.eof:
            raise ValueError("does not end")
    except (*UNREADABLE, zlib.error) as error:
        raise _refused(Modifier.DECOMPRESSION, repr(error)) from error
    return content
