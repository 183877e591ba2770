"""The layers of an AS2 message (RFC 4130, 4; RFC 5402; RFC 8551, 3).

Messages to a partner are compressed, signed and encrypted as its profile says. A received message may have
its layers in any order.

The MIC in a receipt identifies the received content. For a signed message it is computed over the signed
bytes. For an unsigned message that is encrypted or compressed, it is computed over the content with its
headers, and for any other message over the content without its headers (RFC 4130, 7.3.1; RFC 5402, 4).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from emberlatch.as2 import cms, compression, mime
from emberlatch.as2.certificates import Identity, Trust, describe
from emberlatch.as2.errors import As2Error, MimeError, Modifier
from emberlatch.as2.mime import Entity

MAX_CONTENT_BYTES = 128 * 1024  # limit of a content, after decompression
MAX_LAYERS = 5
PKCS7_TYPES = ("application/pkcs7-mime", "application/x-pkcs7-mime")
SIGNATURE_TYPES = ("application/pkcs7-signature", "application/x-pkcs7-signature")
MICALG_NAMES = {"sha1": "sha1", "sha256": "sha-256", "sha384": "sha-384", "sha512": "sha-512"}
"""The names of digests in `micalg` and in receipts (RFC 5751, 3.4.3.2)."""


@dataclass(frozen=True, slots=True)
class Layers:
    """The layers of messages to a partner; an empty `sign` or `encrypt` means that there is no such layer."""

    sign: str = "sha256"  # digest
    encrypt: str = "aes256_cbc"  # cipher
    compress: bool = False


NO_LAYERS = Layers("", "", False)


@dataclass(frozen=True, slots=True)
class Sealed:
    """A message as it is sent, with the MIC that its receipt must have and the MIC's digest."""

    headers: tuple[tuple[str, str], ...]
    body: bytes
    mic: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class AcceptancePolicy:
    """What is accepted from a partner: the layers required, and the weak algorithms allowed."""

    signed: bool = True
    encrypted: bool = False
    sha1: bool = False
    triple_des: bool = False


@dataclass(frozen=True, slots=True)
class Opened:
    """A message without its layers. Its MIC is computed over `mic_input`."""

    content: Entity
    mic_input: bytes
    digest: str  # the digest of the signature; empty for an unsigned message
    signer: str  # description of the certificate, for operators; empty for an unsigned message
    layers: tuple[str, ...]

    def mic(self, digest: str = "") -> tuple[bytes, str]:
        """Return the MIC and the digest used: that of the signature, else `digest`, else SHA-256."""
        name = self.digest or digest or "sha256"
        return cms.digest(name, self.mic_input), name


def seal(content: bytes, layers: Layers, identity: Identity, trust: Trust, now: float) -> Sealed:
    """Apply the layers to an entity in canonical form; raises CertificateError or As2Error.

    `now` is Unix time in seconds.
    """
    inner, name = content, layers.sign or "sha256"
    if layers.compress:
        inner = _pkcs7("compressed-data", "smime.p7z", compression.compress(inner))
    mic_input = content if layers.compress or layers.encrypt else mime.parse_entity(content).body
    if layers.sign:
        mic_input, certificate_and_key = inner, identity.signing(now)
        signature = cms.sign(inner, *certificate_and_key, layers.sign, now)
        inner = _multipart_signed(inner, signature, layers.sign)
    if layers.encrypt:
        encrypted = cms.encrypt(inner, trust.recipient(now), layers.encrypt)
        kind = "authEnveloped-data" if layers.encrypt.endswith("gcm") else "enveloped-data"
        inner = _pkcs7(kind, "smime.p7m", encrypted)
    entity = mime.parse_entity(inner)
    return Sealed(entity.headers, entity.body, cms.digest(name, mic_input), name)


def _pkcs7(kind: str, filename: str, der: bytes) -> bytes:
    headers = (
        ("Content-Type", f'application/pkcs7-mime; smime-type={kind}; name="{filename}"'),
        ("Content-Transfer-Encoding", "binary"),
        ("Content-Disposition", f'attachment; filename="{filename}"'),
    )
    return mime.compose(headers, der)


def _multipart_signed(inner: bytes, signature: bytes, name: str) -> bytes:
    # The boundary is derived from the digest of the content. Therefore the content can't contain it, and a
    # repeated attempt has the same boundary.
    boundary = f"el-{hashlib.sha256(inner).hexdigest()[:40]}"
    headers = (
        ("Content-Type", 'application/pkcs7-signature; name="smime.p7s"'),
        ("Content-Transfer-Encoding", "binary"),
        ("Content-Disposition", 'attachment; filename="smime.p7s"'),
    )
    kind = (
        f'multipart/signed; protocol="application/pkcs7-signature"; '
        f'micalg={MICALG_NAMES[name]}; boundary="{boundary}"'
    )
    body = mime.join_parts([inner, mime.compose(headers, signature)], boundary)
    return mime.compose((("Content-Type", kind),), body)


class _Opening:
    """Removes the layers of one message and records them."""

    def __init__(self, identity: Identity, trust: Trust, policy: AcceptancePolicy, now: float) -> None:
        self.identity, self.trust, self.policy, self.now = identity, trust, policy, now
        self.layers: list[str] = []
        self.signed: cms.Signed | None = None

    @property
    def encrypted(self) -> bool:
        """Whether one of the removed layers was encryption."""
        return any(layer.startswith("encrypted") for layer in self.layers)

    def content(self, outer: Entity) -> Entity:
        """Remove all layers and return the content; raises As2Error."""
        while (inner := self._remove_layer(outer)) is not None:
            if len(self.layers) > MAX_LAYERS:
                raise As2Error(Modifier.UNSUPPORTED, f"over {MAX_LAYERS} layers")
            outer = inner
        policy = self.policy
        if (policy.signed and self.signed is None) or (policy.encrypted and not self.encrypted):
            raise As2Error(Modifier.SECURITY, f"layers are {', '.join(self.layers) or 'none'}")
        if len(outer.body) > MAX_CONTENT_BYTES:
            raise As2Error(Modifier.UNSUPPORTED, f"over {MAX_CONTENT_BYTES} bytes")
        return outer

    def _remove_layer(self, outer: Entity) -> Entity | None:
        """Remove the outermost layer; return None if the entity has no layer."""
        if outer.type == "multipart/signed":
            return self._open_detached(outer)
        if outer.type not in PKCS7_TYPES:
            return None
        der = outer.content()
        kind = cms.content_type(der)
        if kind == "signed_data":
            self._add_signature(cms.verify(der, None, self.trust, self.now, self.policy.sha1))
            assert self.signed is not None
            return mime.parse_entity(self.signed.content)
        if kind in ("enveloped_data", "authenticated_enveloped_data"):
            content, cipher = cms.decrypt(der, self.identity, self.policy.triple_des)
            self.layers.append(f"encrypted {cipher}")
            return mime.parse_entity(content)
        if kind == "compressed_data":
            content = compression.decompress(der, MAX_CONTENT_BYTES)
            self.layers.append("compressed")
            return mime.parse_entity(content)
        raise As2Error(Modifier.UNSUPPORTED, f"CMS object of kind {kind}")

    def _open_detached(self, outer: Entity) -> Entity:
        found = mime.parts(outer)
        if len(found) != 2:
            raise MimeError(f"multipart/signed with {len(found)} parts")
        signature = mime.parse_entity(found[1])
        if signature.type not in SIGNATURE_TYPES:
            raise As2Error(Modifier.UNSUPPORTED, f"signature of type {signature.type[:40]!r}")
        self._add_signature(self._verify_detached(signature.content(), found[0]))
        return mime.parse_entity(found[0])

    def _verify_detached(self, der: bytes, content: bytes) -> cms.Signed:
        try:
            return cms.verify(der, content, self.trust, self.now, self.policy.sha1)
        except As2Error:
            # Some senders sign the canonical form of a content but send it with bare line feeds.
            if (canonical := mime.canonicalize(content)) == content:
                raise
            return cms.verify(der, canonical, self.trust, self.now, self.policy.sha1)

    def _add_signature(self, signed: cms.Signed) -> None:
        if self.signed is not None:
            raise As2Error(Modifier.UNSUPPORTED, "signed twice")
        self.signed = signed
        self.layers.append(f"signed {signed.digest}")


def unseal(outer: Entity, identity: Identity, trust: Trust, policy: AcceptancePolicy, now: float) -> Opened:
    """Remove all layers; raises As2Error, also if a layer that the policy requires is missing."""
    opening = _Opening(identity, trust, policy, now)
    try:
        current = opening.content(outer)
    except As2Error as error:
        if opening.encrypted and opening.signed is None:
            # With a wrong key or a modified ciphertext, decryption may return random bytes. The sender must
            # not learn at which step such bytes were rejected: that would be a padding oracle.
            raise As2Error(Modifier.AUTHENTICATION, str(error)) from error
        raise
    signed = opening.signed
    mic_input = signed.content if signed is not None else current.raw if opening.layers else current.body
    return Opened(
        current,
        mic_input,
        signed.digest if signed is not None else "",
        describe(signed.signer) if signed is not None else "",
        tuple(opening.layers),
    )
