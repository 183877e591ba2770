"""A small fixed set of hostile inputs; `python -m benchmarks.as2 fuzz` tests more of them."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from emberlatch.as2 import cms, mdn, mime, names
from emberlatch.as2.errors import As2Error, MimeError
from tests.as2.hostile import mutated_messages, open_input, run_cms_parsers
from tests.as2.parties import NOW, certificate, key, trust


def test_mutated_message_raises_no_other_error_than_as2_error() -> None:
    said = {open_input(raw) for raw in itertools.islice(mutated_messages(1), 1500)}
    assert {"read", "authentication-failed", "unexpected-processing-error"} <= said


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_random_bytes_raise_no_other_error_than_as2_error(raw: bytes) -> None:
    open_input(raw)
    run_cms_parsers(raw)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(max_size=300))
def test_random_header_value_raises_no_other_error_than_as2_error(text: str) -> None:
    for parse in (names.unquoted, names.message_id, lambda value: mime.parameter(value, "boundary")):
        try:
            parse(text)
        except MimeError:
            continue
    mdn.receipt_options(text)
    kind = (("Content-Type", text), ("Content-Transfer-Encoding", text))
    try:
        entity = mime.make_entity(kind, b"--x\r\n\r\n--x--")
        entity.content()
        mime.parts(entity)
    except As2Error:
        pass


def test_attached_certificate_of_unknown_version_is_ignored() -> None:
    """The benchmark's inputs showed that the library raises its own exception class in this case."""
    from asn1crypto import cms as asn1

    der = cms.sign(b"x", certificate("ours"), key("ours"), "sha256", NOW)
    info = asn1.ContentInfo.load(der)
    certificates = info["content"]["certificates"]
    spoilt = certificates[0].chosen.dump().replace(b"\xa0\x03\x02\x01\x02", b"\xa0\x03\x02\x01\x07", 1)
    modified = der.replace(certificates[0].chosen.dump(), spoilt)
    assert modified != der and cms.verify(modified, b"x", trust("ours"), NOW).digest == "sha256"
