"""MIME entities: bytes are kept for signatures, unusual spellings are read, hostile input is rejected."""

from __future__ import annotations

import pytest

from emberlatch.as2 import mime, names
from emberlatch.as2.errors import MimeError

BODY = b"--b\r\nA: 1\r\n\r\none\r\n--b\r\n\r\ntwo\r\n--b--\r\nbehind"


def multipart(body: bytes, boundary: str = "b") -> mime.Entity:
    return mime.make_entity((("Content-Type", f'multipart/mixed; boundary="{boundary}"'),), body)


def test_parts_are_returned_byte_for_byte() -> None:
    assert mime.parts(multipart(BODY)) == [b"A: 1\r\n\r\none", b"\r\ntwo"]
    assert mime.parts(multipart(BODY.replace(b"\r\n", b"\n"))) == [b"A: 1\n\none", b"\ntwo"]


@pytest.mark.parametrize(
    ("body", "found"),
    [
        (b"ahead\r\n--b\r\n\r\nx\r\n--b--", [b"\r\nx"]),
        (b"--b \t\r\n\r\nx\r\n--b-- ", [b"\r\nx"]),
        (b"--b\r\n\r\nx--b\r\n--b--", [b"\r\nx--b"]),  # the delimiter is not at the start of a line
        (b"--b\r\n\r\n--bee\r\n--b--", [b"\r\n--bee"]),  # the line is longer than the delimiter
        (b"--b\r\n\r\nx\r\n\r\n--b--", [b"\r\nx\r\n"]),  # the first line break belongs to the content
        (b"--b\r\n\r\nx\r--b\r\n--b--", [b"\r\nx\r--b"]),
        (b"--b\r\n--b--", [b""]),
        (b"--b--", []),
    ],
)
def test_unusual_boundary_lines_are_split_correctly(body: bytes, found: list[bytes]) -> None:
    assert mime.parts(multipart(body)) == found


@pytest.mark.parametrize("body", [b"", b"--b\r\n\r\nx", b"--b\r\n\r\nx\r\n--c--", b"--b\r\n\r\n" * 40])
def test_unterminated_multipart_is_rejected(body: bytes) -> None:
    with pytest.raises(MimeError):
        mime.parts(multipart(body))


@pytest.mark.parametrize("boundary", ["", "x" * 71, "a\r\nb", "b ", "bö"])
def test_invalid_boundary_is_rejected(boundary: str) -> None:
    with pytest.raises(MimeError):
        mime.parts(multipart(BODY, boundary))


def test_folded_header_is_unfolded() -> None:
    read = mime.parse_entity(b"Content-Type: a/b;\r\n\tname=x;\r\n  boundary=c\r\nX : y \r\n\r\nbody")
    assert (read.type, read.param("boundary"), read.get("x"), read.body) == ("a/b", "c", "y", b"body")


def test_transfer_encodings_are_decoded_to_the_same_content() -> None:
    plain = mime.parse_entity(b"Content-Transfer-Encoding: binary\r\n\r\n\x00\xff")
    coded = mime.parse_entity(b"Content-Transfer-Encoding: BASE64 \n\nAP\n8=\n")
    quoted = mime.parse_entity(b"Content-Transfer-Encoding: quoted-printable\n\n=00=FF")
    assert plain.content() == coded.content() == quoted.content() == b"\x00\xff"
    for spoilt in (b"base64\n\nA", b"base64\n\n%%%%", b"x-uuencode\n\nA"):
        with pytest.raises(MimeError):
            mime.parse_entity(b"Content-Transfer-Encoding: " + spoilt).content()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"no headers at all",
        b"A: 1\r\nno header\r\n\r\n",
        b"A: 1\r\n: nameless\r\n\r\n",
        b"A: 1\r\n" * 200 + b"\r\n",
        b"A: " + b"x" * 20_000 + b"\r\n\r\n",
    ],
)
def test_invalid_headers_are_rejected(raw: bytes) -> None:
    with pytest.raises(MimeError):
        mime.parse_entity(raw)


def test_overlong_parameter_is_rejected() -> None:
    with pytest.raises(MimeError):
        mime.parameter("a/b; " + '";' * 2000, "boundary")


def test_canonical_form_ends_every_line_in_crlf() -> None:
    assert mime.canonicalize(b"a\nb\r\nc\rd") == b"a\r\nb\r\nc\r\nd"


@pytest.mark.parametrize("name", ["bank", "National Office", 'a "quoted" \\ one', "x" * 128, "a;b", "~"])
def test_quoted_name_is_unquoted_to_the_same_name(name: str) -> None:
    assert names.unquoted(names.quoted(name)) == name


@pytest.mark.parametrize("name", ["", "x" * 129, "ümlaut", "a\r\nX: b", "\t"])
def test_invalid_name_cannot_be_quoted(name: str) -> None:
    with pytest.raises(ValueError, match="must be 1 to 128 printable ASCII characters"):
        names.quoted(name)


@pytest.mark.parametrize("text", ["", "a b", '"a', 'a"b', '"a\\x"', '"' + "x" * 129 + '"', "x" * 129, '""'])
def test_malformed_name_in_header_is_rejected(text: str) -> None:
    with pytest.raises(MimeError):
        names.unquoted(text)


def test_message_id_is_read_with_and_without_brackets() -> None:
    # The examples of RFC 4130 have Message-IDs with quotes and backslashes.
    assert (
        names.message_id('<200207310834482A70BF63@\\"~~foo~~\\">') == '200207310834482A70BF63@\\"~~foo~~\\"'
    )
    assert names.message_id(" a@b ") == names.message_id("<a@b>") == "a@b"
    for text in ("", "<>", "<a b>", "a>b", "<" + "x" * 300 + ">", "<a\nb>"):
        with pytest.raises(MimeError):
            names.message_id(text)
