"""Cryptographic Message Syntax (CMS): the signed and enveloped data that AS2 uses (RFC 5652, 5083, 5084).

All objects are DER-encoded. The library asn1crypto encodes and decodes the structures; the library
cryptography signs, verifies, encrypts and decrypts. No received data is trusted before its signature is
verified. A certificate inside a message is accepted only if a trusted authority certifies it.
"""

from __future__ import annotations

import hmac
import os
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import lru_cache

from asn1crypto import algos, cms, core
from asn1crypto import x509 as asn1_x509
from cryptography import x509
from cryptography.exceptions import InvalidSignature, InvalidTag, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, padding, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.asymmetric import padding as rsa_padding
from cryptography.hazmat.primitives.asymmetric.types import PublicKeyTypes
from cryptography.hazmat.primitives.ciphers import BlockCipherAlgorithm, Cipher, algorithms, modes
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
"""The key length, in bytes, of each content cipher. A received message may also use TRIPLE_DES if allowed."""
TRIPLE_DES = "tripledes_3key"
GCM_TAG_BYTES = 16
GCM_NONCE_BYTES = 12
CBC_VECTOR_BYTES = 16
AES_BLOCK_BITS = 128
MAX_SIGNERS = 4
MAX_RECIPIENTS = 16
MAX_CERTIFICATES = 8

# The exceptions that decoding of malformed DER was seen to raise.
DECODING_ERRORS = (ValueError, TypeError, KeyError, IndexError, AttributeError, OverflowError, RecursionError)


class _GcmParameters(core.Sequence):  # type: ignore[misc]
    """The parameters of AES-GCM (RFC 5084, 3.2)."""

    _fields = [("nonce", core.OctetString), ("icv_len", core.Integer, {"default": 12})]  # noqa: RUF012


@dataclass(frozen=True, slots=True)
class Signed:
    """A signature that was verified."""

    signer: x509.Certificate
    digest: str  # a key of DIGESTS
    content: bytes  # the signed bytes


def normalized_digest(name: str) -> str:
    """Normalize the name of a digest: `SHA-256` becomes `sha256`."""
    return name.strip().lower().replace("-", "").replace("_", "")


def digest(name: str, content: bytes) -> bytes:
    """Compute a digest; `name` is a key of DIGESTS."""
    hasher = hashes.Hash(DIGESTS[name]())
    hasher.update(content)
    return hasher.finalize()


def content_type(der: bytes) -> str:
    """Return the content type of a CMS object: `signed_data`, `enveloped_data`, ...; raises As2Error."""
    try:
        return str(cms.ContentInfo.load(der, strict=True)["content_type"].native)
    except DECODING_ERRORS as error:
        raise As2Error(Modifier.UNEXPECTED, f"no CMS object: {error!r}") from error


# Signatures.


@lru_cache(256)  # Pinned certificates are converted once, not for each message.
def _to_asn1(certificate: x509.Certificate) -> asn1_x509.Certificate:
    return asn1_x509.Certificate.load(certificate.public_bytes(serialization.Encoding.DER))


def _identifier(certificate: x509.Certificate) -> cms.IssuerAndSerialNumber:
    own = _to_asn1(certificate)
    return cms.IssuerAndSerialNumber({"issuer": own.issuer, "serial_number": own.serial_number})


def sign(content: bytes, certificate: x509.Certificate, key: PrivateKey, name: str, now: float) -> bytes:
    """Create a detached signature with its certificate; `name` is a key of DIGESTS."""
    attributes = _signed_attributes(content, name, now)
    signature, algorithm = _raw_signature(attributes.dump(), key, name)
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
            "certificates": [cms.CertificateChoices({"certificate": _to_asn1(certificate)})],
            "signer_infos": [signer],
        }
    )
    return bytes(cms.ContentInfo({"content_type": "signed_data", "content": data}).dump())


def _signed_attributes(content: bytes, name: str, now: float) -> cms.CMSAttributes:
    """Return the attributes that are signed in place of the content. They have its digest (RFC 5652, 5.4)."""
    signing_time = datetime.fromtimestamp(now, UTC).replace(microsecond=0)
    return cms.CMSAttributes(
        [
            cms.CMSAttribute({"type": "content_type", "values": ["data"]}),
            cms.CMSAttribute({"type": "signing_time", "values": [cms.Time({"utc_time": signing_time})]}),
            cms.CMSAttribute({"type": "message_digest", "values": [digest(name, content)]}),
        ]
    )


def _raw_signature(to_sign: bytes, key: PrivateKey, name: str) -> tuple[bytes, str]:
    """Sign bytes; return the signature and the name of its algorithm."""
    hash_algorithm = DIGESTS[name]()
    if isinstance(key, rsa.RSAPrivateKey):
        return key.sign(to_sign, rsa_padding.PKCS1v15(), hash_algorithm), "rsassa_pkcs1v15"
    return key.sign(to_sign, ec.ECDSA(hash_algorithm)), f"{name}_ecdsa"


def verify(der: bytes, content: bytes | None, trust: Trust, now: float, sha1: bool = False) -> Signed:
    """Verify a signature with a partner's certificates; raises As2Error for every kind of failure.

    `content` is None if the signature contains the content.
    """
    try:
        data = cms.ContentInfo.load(der, strict=True)["content"]
        attached = _attached_certificates(data)
        if content is None:
            content = bytes(data["encap_content_info"]["content"].native or b"")
        infos = data["signer_infos"]
        if not 1 <= len(infos) <= MAX_SIGNERS:
            raise ValueError(f"{len(infos)} signers")
        signers = trust.signers(attached, now)
        for info in infos:
            for certificate in signers:
                if _identifies(info["sid"], certificate):
                    return _verify_signer(info, certificate, content, sha1)
        raise ValueError("no signer that is known and whose certificate holds")
    except (*DECODING_ERRORS, InvalidSignature, UnsupportedAlgorithm) as error:
        raise As2Error(Modifier.AUTHENTICATION, f"signature: {error!r}") from error


def _attached_certificates(data: cms.SignedData) -> list[x509.Certificate]:
    """Return the certificates attached to a signature; those that can't be read are skipped."""
    found = []
    for choice in list(data["certificates"] or ())[:MAX_CERTIFICATES]:
        try:
            found.append(x509.load_der_x509_certificate(choice.chosen.dump()))
        except (ValueError, UnsupportedAlgorithm, x509.InvalidVersion):
            continue
    return found


def _identifies(
    identifier: cms.SignerIdentifier | cms.RecipientIdentifier, certificate: x509.Certificate
) -> bool:
    """Whether a signer or recipient identifier refers to a certificate."""
    own = _to_asn1(certificate)
    if identifier.name == "issuer_and_serial_number":
        issuer_and_serial = identifier.chosen
        return bool(
            issuer_and_serial["serial_number"].native == own.serial_number
            and issuer_and_serial["issuer"].dump() == own.issuer.dump()
        )
    key_identifier = identifier.chosen.native
    return key_identifier is not None and key_identifier == own.key_identifier


def _verify_signer(info: cms.SignerInfo, certificate: x509.Certificate, content: bytes, sha1: bool) -> Signed:
    name = str(info["digest_algorithm"]["algorithm"].native)
    if name not in DIGESTS or (name == "sha1" and not sha1):
        raise ValueError(f"digest {name}")
    attributes, signed = info["signed_attrs"], content
    if len(attributes):
        values: dict[str, core.SetOf] = {}
        for attribute in attributes:
            attribute_type = attribute["type"].native
            if attribute_type in values:
                raise ValueError(f"attribute {attribute_type} twice")
            values[attribute_type] = attribute["values"]
        if values["content_type"].native != ["data"] or len(values["message_digest"]) != 1:
            raise ValueError("attributes")
        if not hmac.compare_digest(values["message_digest"][0].native, digest(name, content)):
            raise ValueError("the content is not what was signed")
        # The attributes are signed with the tag of a SET OF, but sent with a context-specific tag.
        signed = b"\x31" + attributes.dump()[1:]
    _check_signature(info, certificate.public_key(), signed, name)
    return Signed(certificate, name, content)


def _check_signature(info: cms.SignerInfo, key: PublicKeyTypes, signed: bytes, name: str) -> None:
    """Verify the signature over `signed`; raises InvalidSignature or ValueError."""
    signature, algorithm = info["signature"].native, info["signature_algorithm"]
    hash_algorithm, method = DIGESTS[name](), algorithm.signature_algo
    if isinstance(key, rsa.RSAPublicKey) and method == "rsassa_pkcs1v15":
        if algorithm["algorithm"].native not in ("rsassa_pkcs1v15", f"{name}_rsa"):
            raise ValueError("two digests")
        key.verify(signature, signed, rsa_padding.PKCS1v15(), hash_algorithm)
    elif isinstance(key, rsa.RSAPublicKey) and method == "rsassa_pss":
        parameters = algorithm["parameters"]
        if parameters["hash_algorithm"]["algorithm"].native != name:
            raise ValueError("two digests")
        pss = rsa_padding.PSS(rsa_padding.MGF1(hash_algorithm), int(parameters["salt_length"].native))
        key.verify(signature, signed, pss, hash_algorithm)
    elif isinstance(key, ec.EllipticCurvePublicKey) and method == "ecdsa":
        if algorithm.hash_algo != name:
            raise ValueError("two digests")
        key.verify(signature, signed, ec.ECDSA(hash_algorithm))
    else:
        raise ValueError(f"signature {algorithm['algorithm'].native} with another kind of key")


# Encryption.


def encrypt(content: bytes, recipient: x509.Certificate, cipher: str) -> bytes:
    """Encrypt content to one recipient as enveloped data; `cipher` is a key of CIPHERS.

    With GCM the result is authenticated enveloped data (RFC 5083).
    """
    public = recipient.public_key()
    if not isinstance(public, rsa.RSAPublicKey):
        raise As2Error(Modifier.UNSUPPORTED, "content can be encrypted to RSA keys only")
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
        return _encrypt_gcm(content, key, cipher, recipients)
    return _encrypt_cbc(content, key, cipher, recipients)


def _encrypt_gcm(content: bytes, key: bytes, cipher: str, recipients: list[cms.RecipientInfo]) -> bytes:
    nonce = os.urandom(GCM_NONCE_BYTES)
    ciphertext = AESGCM(key).encrypt(nonce, content, None)
    parameters = _GcmParameters({"nonce": nonce, "icv_len": GCM_TAG_BYTES})
    encrypted = _encrypted_content_info(cipher, parameters, ciphertext[:-GCM_TAG_BYTES])
    data = cms.AuthEnvelopedData(
        {
            "version": "v0",
            "recipient_infos": recipients,
            "auth_encrypted_content_info": encrypted,
            "mac": ciphertext[-GCM_TAG_BYTES:],
        }
    )
    return bytes(cms.ContentInfo({"content_type": "authenticated_enveloped_data", "content": data}).dump())


def _encrypt_cbc(content: bytes, key: bytes, cipher: str, recipients: list[cms.RecipientInfo]) -> bytes:
    vector = os.urandom(CBC_VECTOR_BYTES)
    padder = padding.PKCS7(AES_BLOCK_BITS).padder()
    encryptor = Cipher(algorithms.AES(key), modes.CBC(vector)).encryptor()
    padded = padder.update(content) + padder.finalize()
    ciphertext = encryptor.update(padded) + encryptor.finalize()
    encrypted = _encrypted_content_info(cipher, core.OctetString(vector), ciphertext)
    data = cms.EnvelopedData(
        {"version": "v0", "recipient_infos": recipients, "encrypted_content_info": encrypted}
    )
    return bytes(cms.ContentInfo({"content_type": "enveloped_data", "content": data}).dump())


def _encrypted_content_info(
    cipher: str, parameters: _GcmParameters | core.OctetString, content: bytes
) -> dict[str, object]:
    algorithm = algos.EncryptionAlgorithm({"algorithm": cipher})
    algorithm["parameters"] = parameters
    return {
        "content_type": "data",
        "content_encryption_algorithm": algorithm,
        "encrypted_content": content,
    }


def decrypt(der: bytes, identity: Identity, triple_des: bool = False) -> tuple[bytes, str]:
    """Decrypt enveloped data; return the content and its cipher.

    Raises As2Error, with the same modifier for every cause.
    """
    try:
        info = cms.ContentInfo.load(der, strict=True)
        data, authenticated = info["content"], info["content_type"].native == "authenticated_enveloped_data"
        encrypted = data["auth_encrypted_content_info" if authenticated else "encrypted_content_info"]
        cipher = str(encrypted["content_encryption_algorithm"]["algorithm"].native)
        if cipher not in CIPHERS and not (cipher == TRIPLE_DES and triple_des):
            raise ValueError(f"cipher {cipher}")
        if cipher.endswith("gcm") != authenticated:
            raise ValueError(f"{cipher} in {info['content_type'].native}")
        parameters = encrypted["content_encryption_algorithm"]["parameters"]
        content = encrypted["encrypted_content"].native
        key = _content_key(data["recipient_infos"], identity)
        if authenticated:
            return _decrypt_gcm(key, parameters, content, data, cipher), cipher
        return _decrypt_cbc(key, parameters.native, content, cipher), cipher
    except (*DECODING_ERRORS, InvalidTag, UnsupportedAlgorithm) as error:
        raise As2Error(Modifier.AUTHENTICATION, f"decryption: {error!r}") from error


def _content_key(recipients: cms.RecipientInfos, identity: Identity) -> bytes:
    if not 1 <= len(recipients) <= MAX_RECIPIENTS:
        raise ValueError(f"{len(recipients)} recipients")
    for recipient in recipients:
        if recipient.name != "ktri":
            continue
        info = recipient.chosen
        for certificate, key in identity.key_pairs:
            if isinstance(key, rsa.RSAPrivateKey) and _identifies(info["rid"], certificate):
                return key.decrypt(
                    info["encrypted_key"].native, _key_transport_padding(info["key_encryption_algorithm"])
                )
    raise ValueError("encrypted to nobody here")


def _key_transport_padding(algorithm: cms.KeyEncryptionAlgorithm) -> rsa_padding.AsymmetricPadding:
    name = algorithm["algorithm"].native
    if name in ("rsaes_pkcs1v15", "rsa"):
        return rsa_padding.PKCS1v15()
    if name != "rsaes_oaep":
        raise ValueError(f"key transport {name}")
    parameters = algorithm["parameters"]
    hash_algorithm = DIGESTS[parameters["hash_algorithm"]["algorithm"].native]()
    mask = DIGESTS[parameters["mask_gen_algorithm"]["parameters"]["algorithm"].native]()
    return rsa_padding.OAEP(rsa_padding.MGF1(mask), hash_algorithm, None)


def _decrypt_gcm(
    key: bytes, parameters: core.Asn1Value, content: bytes, data: cms.AuthEnvelopedData, cipher: str
) -> bytes:
    gcm = _GcmParameters.load(parameters.dump(), strict=True)
    mac, nonce = data["mac"].native, gcm["nonce"].native
    if len(key) != CIPHERS[cipher] or len(mac) != GCM_TAG_BYTES or len(nonce) != GCM_NONCE_BYTES:
        raise ValueError("key, nonce or tag of another length")
    attributes = data["auth_attrs"]
    associated_data = b"\x31" + attributes.dump()[1:] if len(attributes) else None
    return AESGCM(key).decrypt(nonce, content + mac, associated_data)


def _decrypt_cbc(key: bytes, vector: bytes, content: bytes, cipher: str) -> bytes:
    if cipher == TRIPLE_DES:
        from cryptography.hazmat.decrepit.ciphers.algorithms import TripleDES

        block: BlockCipherAlgorithm = TripleDES(key)
    else:
        if len(key) != CIPHERS[cipher]:
            raise ValueError("a key of another length")
        block = algorithms.AES(key)
    decryptor = Cipher(block, modes.CBC(vector)).decryptor()
    unpadder = padding.PKCS7(block.block_size).unpadder()
    return unpadder.update(decryptor.update(content) + decryptor.finalize()) + unpadder.finalize()
