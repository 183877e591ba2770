"""The layers of a message: every combination, also checked against an independent implementation."""

from __future__ import annotations

import itertools
import zlib

import pytest
from asn1crypto import cms as asn1
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives import padding as symmetric
from cryptography.hazmat.primitives.asymmetric import padding, rsa
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.serialization import pkcs7

from emberlatch.as2 import cms, compression, mime
from emberlatch.as2.certificates import CertificateError, Identity, Trust
from emberlatch.as2.errors import As2Error, Modifier
from emberlatch.as2.message import MAX_CONTENT_BYTES, AcceptancePolicy, Layers, Opened, Sealed, seal, unseal
from tests.as2.parties import NOW, certificate, identity, key, trust

CONTENT = mime.compose(
    (("Content-Type", "application/edi-x12"), ("Content-Transfer-Encoding", "binary")),
    b"ISA*00*\r\nlines\nof every\rkind\r\n\x00\xff--el-\r\n",
)
ANY = AcceptancePolicy(signed=False)


def unsealed(
    sealed: Sealed, by: Identity, known: Trust, policy: AcceptancePolicy = ANY, now: float = NOW
) -> Opened:
    return unseal(mime.make_entity(sealed.headers, sealed.body), by, known, policy, now)


@pytest.mark.parametrize(
    ("sign", "encrypt", "compressed", "sender"),
    [
        (s, e, c, "ours")
        for s, e, c in itertools.product(
            ("", "sha256", "sha384", "sha512"), ("", *cms.CIPHERS), (False, True)
        )
    ]
    + [("sha256", "aes128_cbc", False, "ec-ours"), ("sha512", "", True, "ec-ours")],
)
def test_every_combination_of_layers_is_opened_with_the_same_mic(
    sign: str, encrypt: str, compressed: bool, sender: str
) -> None:
    sealed = seal(CONTENT, Layers(sign, encrypt, compressed), identity(sender), trust("theirs"), NOW)
    got = unsealed(sealed, identity("theirs"), trust(sender), AcceptancePolicy(bool(sign), bool(encrypt)))
    assert got.content.body == mime.parse_entity(CONTENT).body
    assert got.content.get("content-type") == "application/edi-x12"
    assert got.mic(sealed.digest) == (sealed.mic, sealed.digest)
    assert len(got.layers) == bool(sign) + bool(encrypt) + compressed


def test_mic_excludes_headers_of_plain_message_and_includes_those_of_encrypted_one() -> None:
    sealed = seal(CONTENT, Layers("", "", False), identity("ours"), trust("theirs"), NOW)
    assert sealed.mic == cms.digest("sha256", mime.parse_entity(CONTENT).body)
    sealed = seal(CONTENT, Layers("", "aes128_cbc", False), identity("ours"), trust("theirs"), NOW)
    assert sealed.mic == cms.digest("sha256", CONTENT)


@pytest.mark.parametrize("cipher", ["aes128_cbc", "aes256_cbc"])
def test_our_encryption_is_decrypted_by_another_implementation(cipher: str) -> None:
    der = cms.encrypt(CONTENT, certificate("theirs"), cipher)
    decrypted = pkcs7.pkcs7_decrypt_der(der, certificate("theirs"), key("theirs"), [])  # type: ignore[arg-type]
    assert decrypted == CONTENT


@pytest.mark.parametrize("cipher", [algorithms.AES128, algorithms.AES256])
def test_encryption_of_another_implementation_is_decrypted(
    cipher: type[algorithms.AES128 | algorithms.AES256],
) -> None:
    builder = pkcs7.PKCS7EnvelopeBuilder().set_data(CONTENT).add_recipient(certificate("theirs"))
    der = builder.set_content_encryption_algorithm(cipher).encrypt(
        serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary]
    )
    assert cms.decrypt(der, identity("theirs"))[0] == CONTENT


@pytest.mark.parametrize("sender", ["ours", "ec-ours"])
@pytest.mark.parametrize("detached", [True, False])
def test_signature_of_another_implementation_is_verified(sender: str, detached: bool) -> None:
    options = [pkcs7.PKCS7Options.Binary] + [pkcs7.PKCS7Options.DetachedSignature] * detached
    builder = pkcs7.PKCS7SignatureBuilder().set_data(CONTENT)
    builder = builder.add_signer(certificate(sender), key(sender), hashes.SHA384())
    der = builder.sign(serialization.Encoding.DER, options)
    signed = cms.verify(der, CONTENT if detached else None, trust(sender), NOW)
    assert (signed.digest, signed.content) == ("sha384", CONTENT)


def test_our_signature_has_the_structure_of_another_implementations() -> None:
    """No other implementation that verifies signatures is available: the structure is compared instead."""
    theirs = pkcs7.PKCS7SignatureBuilder().set_data(CONTENT)
    theirs = theirs.add_signer(certificate("ours"), key("ours"), hashes.SHA256())
    options = [pkcs7.PKCS7Options.Binary, pkcs7.PKCS7Options.DetachedSignature]
    reference = asn1.ContentInfo.load(theirs.sign(serialization.Encoding.DER, options))["content"]
    own = cms.sign(CONTENT, certificate("ours"), key("ours"), "sha256", NOW)
    ours = asn1.ContentInfo.load(own, strict=True)["content"]
    for field in ("version", "digest_algorithms", "encap_content_info", "certificates"):
        assert ours[field].dump() == reference[field].dump(), field
    one, other = ours["signer_infos"][0], reference["signer_infos"][0]
    assert one["sid"].dump() == other["sid"].dump()
    kinds = {a["type"].native: a["values"] for a in other["signed_attrs"]}
    for attribute in one["signed_attrs"]:
        if attribute["type"].native != "signing_time":
            assert attribute["values"].dump() == kinds[attribute["type"].native].dump()
    # The signature covers the attributes as a sorted SET OF. Verify it with the public key directly.
    public = certificate("ours").public_key()
    assert isinstance(public, rsa.RSAPublicKey)
    signed_bytes = b"\x31" + one["signed_attrs"].dump()[1:]
    public.verify(one["signature"].native, signed_bytes, padding.PKCS1v15(), hashes.SHA256())


@pytest.mark.parametrize("sign", ["sha256", ""])
@pytest.mark.parametrize("cipher", sorted(cms.CIPHERS))
def test_signature_and_decryption_failures_have_the_same_modifier(sign: str, cipher: str) -> None:
    sealed = seal(CONTENT, Layers(sign, cipher, False), identity("ours"), trust("theirs"), NOW)
    reported = set()
    for at in range(len(sealed.body) - 64, len(sealed.body), 7):
        spoilt = bytearray(sealed.body)
        spoilt[at] ^= 1
        try:
            unsealed(Sealed(sealed.headers, bytes(spoilt), b"", ""), identity("theirs"), trust("ours"))
        except As2Error as error:
            reported.add(error.modifier)
    reported |= {reported_modifier(sealed, identity("other"), trust("ours"))}
    if sign:
        reported |= {reported_modifier(sealed, identity("theirs"), trust("other"))}
    assert reported == {Modifier.AUTHENTICATION}


def reported_modifier(
    sealed: Sealed, by: Identity, known: Trust, policy: AcceptancePolicy = ANY, now: float = NOW
) -> Modifier:
    with pytest.raises(As2Error) as caught:
        unsealed(sealed, by, known, policy, now)
    return caught.value.modifier


def test_message_without_required_layer_is_rejected() -> None:
    plain = seal(CONTENT, Layers("", "", False), identity("ours"), trust("theirs"), NOW)
    signed = seal(CONTENT, Layers("sha256", "", False), identity("ours"), trust("theirs"), NOW)
    assert (
        reported_modifier(plain, identity("theirs"), trust("ours"), AcceptancePolicy()) is Modifier.SECURITY
    )
    wanted = AcceptancePolicy(signed=True, encrypted=True)
    assert reported_modifier(signed, identity("theirs"), trust("ours"), wanted) is Modifier.SECURITY


def test_sha1_signature_is_accepted_only_if_allowed() -> None:
    sealed = seal(CONTENT, Layers("sha1", "", False), identity("ours"), trust("theirs"), NOW)
    assert reported_modifier(sealed, identity("theirs"), trust("ours")) is Modifier.AUTHENTICATION
    got = unsealed(sealed, identity("theirs"), trust("ours"), AcceptancePolicy(sha1=True))
    assert got.mic() == (sealed.mic, "sha1")


def test_decompression_bomb_is_rejected() -> None:
    packed, block = zlib.compressobj(9), bytes(1 << 20)
    first, other = (packed.compress(block) + packed.flush(zlib.Z_FULL_FLUSH) for _ in range(2))
    data = first + 1023 * other  # after a full flush, equal input is compressed to equal bytes
    assert len(data) < 1_100_000
    der = asn1.ContentInfo(
        {
            "content_type": "compressed_data",
            "content": asn1.CompressedData(
                {
                    "version": "v0",
                    "compression_algorithm": {"algorithm": "zlib"},
                    "encap_content_info": {"content_type": "data", "content": data},
                }
            ),
        }
    ).dump()
    bomb = mime.make_entity((("Content-Type", "application/pkcs7-mime; smime-type=compressed-data"),), der)
    with pytest.raises(As2Error) as caught:
        unseal(bomb, identity("theirs"), trust("ours"), ANY, NOW)
    assert caught.value.modifier is Modifier.DECOMPRESSION


def test_too_many_layers_are_rejected() -> None:
    inner = CONTENT
    for _ in range(12):
        inner = mime.compose(
            (("Content-Type", "application/pkcs7-mime; smime-type=compressed-data"),),
            compression.compress(inner),
        )
    with pytest.raises(As2Error, match="layers"):
        unseal(mime.parse_entity(inner), identity("theirs"), trust("ours"), ANY, NOW)


def test_expired_certificate_is_not_used_to_sign_verify_or_encrypt() -> None:
    expired = certificate("old", since=-30.0, until=-1.0)
    then = Identity(((expired, key("old")),))
    sealed = seal(CONTENT, Layers("sha256", "", False), then, trust("theirs"), NOW - 86400 * 5)
    assert reported_modifier(sealed, identity("theirs"), Trust((expired,))) is Modifier.AUTHENTICATION
    with pytest.raises(CertificateError):
        seal(CONTENT, Layers("", "aes128_cbc", False), identity("ours"), Trust((expired,)), NOW)
    with pytest.raises(CertificateError):
        seal(CONTENT, Layers("sha256", "", False), then, trust("theirs"), NOW)


def test_rollover_accepts_both_certificates_and_encrypts_to_the_new_one() -> None:
    """The old certificate still decrypts and verifies; a new one is used to encrypt once it is valid."""
    both = identity("theirs", "theirs-new")
    sealed = seal(CONTENT, Layers("sha256", "aes128_cbc", False), identity("ours"), trust("theirs"), NOW)
    assert unsealed(sealed, both, trust("ours-new", "ours")).layers
    old, new = certificate("theirs"), certificate("theirs-next", until=730.0)
    assert Trust((old, new)).recipient(NOW) is new
    later = certificate("theirs-later", since=5.0, until=900.0)
    assert Trust((old, later)).recipient(NOW) is old


def test_certificate_chain_is_accepted_only_for_the_certified_name() -> None:
    root = certificate("root", authority=True)
    leaf = certificate("bank", issuer="root")
    other = certificate("stranger", issuer="root")
    for cert, name, good in ((leaf, "bank", True), (other, "stranger", False)):
        der = cms.sign(CONTENT, cert, key(name), "sha256", NOW)
        known = Trust((), (root,), "bank")
        if good:
            assert cms.verify(der, CONTENT, known, NOW).signer == leaf
        else:
            with pytest.raises(As2Error):
                cms.verify(der, CONTENT, known, NOW)
    alone = cms.sign(CONTENT, certificate("bank"), key("bank"), "sha256", NOW)
    with pytest.raises(As2Error):
        cms.verify(alone, CONTENT, Trust((), (root,), "bank"), NOW)


def test_attached_certificate_is_not_trusted() -> None:
    der = cms.sign(CONTENT, certificate("other"), key("other"), "sha256", NOW)
    with pytest.raises(As2Error, match="no signer"):
        cms.verify(der, CONTENT, trust("ours"), NOW)


def test_content_over_size_limit_is_rejected() -> None:
    large = mime.make_entity((("Content-Type", "text/plain"),), bytes(MAX_CONTENT_BYTES + 1))
    with pytest.raises(As2Error, match="over"):
        unseal(large, identity("theirs"), trust("ours"), ANY, NOW)


def test_pss_signature_is_verified() -> None:
    builder = pkcs7.PKCS7SignatureBuilder().set_data(CONTENT)
    builder = builder.add_signer(
        certificate("ours"),
        key("ours"),
        hashes.SHA256(),
        rsa_padding=padding.PSS(padding.MGF1(hashes.SHA256()), 32),
    )
    options = [pkcs7.PKCS7Options.Binary, pkcs7.PKCS7Options.DetachedSignature]
    der = builder.sign(serialization.Encoding.DER, options)
    assert cms.verify(der, CONTENT, trust("ours"), NOW).digest == "sha256"
    with pytest.raises(As2Error):
        cms.verify(der, CONTENT + b"x", trust("ours"), NOW)


def enveloped(cipher: str, vector: bytes, hidden: bytes, transport: object, encrypted_key: bytes) -> bytes:
    """Build enveloped data with algorithms that `cms.encrypt` does not use."""
    info = asn1.KeyTransRecipientInfo(
        {
            "version": "v0",
            "rid": asn1.RecipientIdentifier(
                {"issuer_and_serial_number": cms._identifier(certificate("theirs"))}
            ),
            "key_encryption_algorithm": transport,
            "encrypted_key": encrypted_key,
        }
    )
    inner = {
        "content_type": "data",
        "content_encryption_algorithm": {"algorithm": cipher, "parameters": vector},
        "encrypted_content": hidden,
    }
    data = asn1.EnvelopedData(
        {
            "version": "v0",
            "recipient_infos": [asn1.RecipientInfo({"ktri": info})],
            "encrypted_content_info": inner,
        }
    )
    return bytes(asn1.ContentInfo({"content_type": "enveloped_data", "content": data}).dump())


def encrypt_cbc(algorithm: object, size: int, secret: bytes, vector: bytes) -> bytes:
    padder = symmetric.PKCS7(size).padder()
    encryptor = Cipher(algorithm(secret), modes.CBC(vector)).encryptor()  # type: ignore[operator]
    return encryptor.update(padder.update(CONTENT) + padder.finalize()) + encryptor.finalize()


def test_content_key_encrypted_with_oaep_is_decrypted() -> None:
    public, secret, vector = certificate("theirs").public_key(), bytes(range(16)), bytes(16)
    assert isinstance(public, rsa.RSAPublicKey)
    sealed = public.encrypt(secret, padding.OAEP(padding.MGF1(hashes.SHA256()), hashes.SHA256(), None))
    sha = {"algorithm": "sha256"}
    parameters = {"hash_algorithm": sha, "mask_gen_algorithm": {"algorithm": "mgf1", "parameters": sha}}
    transport = {"algorithm": "rsaes_oaep", "parameters": parameters}
    der = enveloped("aes128_cbc", vector, encrypt_cbc(algorithms.AES, 128, secret, vector), transport, sealed)
    assert cms.decrypt(der, identity("theirs")) == (CONTENT, "aes128_cbc")


def test_triple_des_is_decrypted_only_if_allowed() -> None:
    from cryptography.hazmat.decrepit.ciphers.algorithms import TripleDES

    public, secret, vector = certificate("theirs").public_key(), bytes(range(24)), bytes(8)
    assert isinstance(public, rsa.RSAPublicKey)
    sealed = public.encrypt(secret, padding.PKCS1v15())
    transport = {"algorithm": "rsaes_pkcs1v15"}
    der = enveloped("tripledes_3key", vector, encrypt_cbc(TripleDES, 64, secret, vector), transport, sealed)
    assert cms.decrypt(der, identity("theirs"), triple_des=True)[0] == CONTENT
    with pytest.raises(As2Error):
        cms.decrypt(der, identity("theirs"))
