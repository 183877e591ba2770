"""An AS2 message's layers: what is sent is compressed, signed and encrypted as a partner wants it, what comes
is opened whatever the nesting (RFC 4130, 4; RFC 5402; RFC 8551, 3).

The MIC, by which a receipt says what was received, is reckoned over what was signed; without a signature,
over the content and its headers where it was encrypted or compressed, else over the content alone (RFC 4130,
7.3.1; RFC 5402, 4).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from emberlatch.as2 import cms, mime
from emberlatch.as2.certificates import Identity, Trust, described
from emberlatch.as2.errors import As2Error, MimeError, Modifier
from emberlatch.as2.mime import Entity

MOST_CONTENT = 128 * 1024  # bytes of a content, also once it is unpacked
MOST_LAYERS = 5
PKCS7 = ("application/pkcs7-mime", "application/x-pkcs7-mime")
SIGNATURES = ("application/pkcs7-signature", "application/x-pkcs7-signature")
MICALG = {"sha1": "sha1", "sha256": "sha-256", "sha384": "sha-384", "sha512": "sha-512"}
"""Digests as `micalg` and receipts name them (RFC 5751, 3.4.3.2)."""


@dataclass(frozen=True, slots=True)
class Format:
    """How a partner wants its messages: a digest to sign with and a cipher, each empty for none."""

    sign: str = "sha256"
    encrypt: str = "aes256_cbc"
    compress: bool = False


PLAIN = Format("", "", False)


@dataclass(frozen=True, slots=True)
class Sealed:
    """A message as it goes out, and what a receipt for it has to say; a MIC without a digest is none."""

    headers: tuple[tuple[str, str], ...]
    body: bytes
    mic: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class Policy:
    """What is taken in from a partner."""

    signed: bool = True
    encrypted: bool = False
    sha1: bool = False
    triple_des: bool = False


@dataclass(frozen=True, slots=True)
class Opened:
    """A message without its layers. `over` is what a MIC is reckoned over, `digest` that of the signature."""

    content: Entity
    over: bytes
    digest: str
    signer: str  # as people know it; empty for none
    layers: tuple[str, ...]

    def mic(self, digest: str = "") -> tuple[bytes, str]:
        """The MIC and its digest: that of the signature, else the one asked for."""
        name = self.digest or digest or "sha256"
        return cms.digest(name, self.over), name


def seal(content: bytes, wanted: Format, identity: Identity, trust: Trust, now: float) -> Sealed:
    """Wrap an entity in canonical form; `now` is Unix time. Raises CertificateError or As2Error."""
    inner, name = content, wanted.sign or "sha256"
    if wanted.compress:
        inner = _pkcs7("compressed-data", "smime.p7z", cms.compress(inner))
    over = content if wanted.compress or wanted.encrypt else mime.entity(content).body
    if wanted.sign:
        over, certificate_and_key = inner, identity.signing(now)
        signature = cms.sign(inner, *certificate_and_key, wanted.sign, now)
        inner = _signed(inner, signature, wanted.sign)
    if wanted.encrypt:
        hidden = cms.encrypt(inner, trust.recipient(now), wanted.encrypt)
        kind = "authEnveloped-data" if wanted.encrypt.endswith("gcm") else "enveloped-data"
        inner = _pkcs7(kind, "smime.p7m", hidden)
    entity = mime.entity(inner)
    return Sealed(entity.headers, entity.body, cms.digest(name, over), name)


def _pkcs7(kind: str, filename: str, der: bytes) -> bytes:
    headers = (
        ("Content-Type", f'application/pkcs7-mime; smime-type={kind}; name="{filename}"'),
        ("Content-Transfer-Encoding", "binary"),
        ("Content-Disposition", f'attachment; filename="{filename}"'),
    )
    return mime.compose(headers, der)


def _signed(inner: bytes, signature: bytes, name: str) -> bytes:
    # Of the content's own digest: no content can hold it, and the same content is wrapped the same way.
    boundary = f"el-{hashlib.sha256(inner).hexdigest()[:40]}"
    headers = (
        ("Content-Type", 'application/pkcs7-signature; name="smime.p7s"'),
        ("Content-Transfer-Encoding", "binary"),
        ("Content-Disposition", 'attachment; filename="smime.p7s"'),
    )
    kind = (
        f'multipart/signed; protocol="application/pkcs7-signature"; '
        f'micalg={MICALG[name]}; boundary="{boundary}"'
    )
    body = mime.joined([inner, mime.compose(headers, signature)], boundary)
    return mime.compose((("Content-Type", kind),), body)


class _Opening:
    """One message on its way to its content."""

    def __init__(self, identity: Identity, trust: Trust, policy: Policy, now: float) -> None:
        self.identity, self.trust, self.policy, self.now = identity, trust, policy, now
        self.layers: list[str] = []
        self.signed: cms.Signed | None = None

    @property
    def encrypted(self) -> bool:
        """Whether a layer was decrypted."""
        return any(layer.startswith("encrypted") for layer in self.layers)

    def content(self, outer: Entity) -> Entity:
        """What is inside all layers."""
        while (inner := self._step(outer)) is not None:
            if len(self.layers) > MOST_LAYERS:
                raise As2Error(Modifier.UNSUPPORTED, f"over {MOST_LAYERS} layers")
            outer = inner
        policy = self.policy
        if (policy.signed and self.signed is None) or (policy.encrypted and not self.encrypted):
            raise As2Error(Modifier.SECURITY, f"layers are {', '.join(self.layers) or 'none'}")
        if len(outer.body) > MOST_CONTENT:
            raise As2Error(Modifier.UNSUPPORTED, f"over {MOST_CONTENT} bytes")
        return outer

    def _step(self, outer: Entity) -> Entity | None:
        """What is inside; None where this is the content."""
        if outer.type == "multipart/signed":
            return self._detached(outer)
        if outer.type not in PKCS7:
            return None
        der = outer.content()
        kind = cms.kind(der)
        if kind == "signed_data":
            self._verified(cms.verify(der, None, self.trust, self.now, self.policy.sha1))
            assert self.signed is not None
            return mime.entity(self.signed.content)
        if kind in ("enveloped_data", "authenticated_enveloped_data"):
            content, cipher = cms.decrypt(der, self.identity, self.policy.triple_des)
            self.layers.append(f"encrypted {cipher}")
            return mime.entity(content)
        if kind == "compressed_data":
            content = cms.decompress(der, MOST_CONTENT)
            self.layers.append("compressed")
            return mime.entity(content)
        raise As2Error(Modifier.UNSUPPORTED, f"CMS object of kind {kind}")

    def _detached(self, outer: Entity) -> Entity:
        found = mime.parts(outer)
        if len(found) != 2:
            raise MimeError(f"multipart/signed with {len(found)} parts")
        signature = mime.entity(found[1])
        if signature.type not in SIGNATURES:
            raise As2Error(Modifier.UNSUPPORTED, f"signature of type {signature.type[:40]!r}")
        self._verified(self._against(signature.content(), found[0]))
        return mime.entity(found[0])

    def _against(self, der: bytes, content: bytes) -> cms.Signed:
        try:
            return cms.verify(der, content, self.trust, self.now, self.policy.sha1)
        except As2Error:
            # Some sign what they hold with bare line feeds as the canonical form, and send it as it is.
            if (other := mime.canonical(content)) == content:
                raise
            return cms.verify(der, other, self.trust, self.now, self.policy.sha1)

    def _verified(self, signed: cms.Signed) -> None:
        if self.signed is not None:
            raise As2Error(Modifier.UNSUPPORTED, "signed twice")
        self.signed = signed
        self.layers.append(f"signed {signed.digest}")


def unseal(outer: Entity, identity: Identity, trust: Trust, policy: Policy, now: float) -> Opened:
    """Take the layers off; raises As2Error. What lacks a layer that is asked for is turned down as well."""
    opening = _Opening(identity, trust, policy, now)
    try:
        current = opening.content(outer)
    except As2Error as error:
        if opening.encrypted and opening.signed is None:
            # What was decrypted may be noise, be it of a wrong key or of a bit turned underway: whatever it
            # looks like, the other side must not learn how far we got with it.
            raise As2Error(Modifier.AUTHENTICATION, str(error)) from error
        raise
    signed = opening.signed
    over = signed.content if signed is not None else current.raw if opening.layers else current.body
    return Opened(
        current,
        over,
        signed.digest if signed is not None else "",
        described(signed.signer) if signed is not None else "",
        tuple(opening.layers),
    )
