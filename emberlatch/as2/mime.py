"""MIME entities as AS2 uses them (RFC 2045, 2046).

The received bytes are kept unchanged, since signatures and MICs are computed over them. The number and the
size of headers, the number of parts and the length of parameters are limited.
"""

from __future__ import annotations

import base64
import binascii
import quopri
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from email.message import Message

from emberlatch.as2.errors import MimeError

MAX_HEADERS = 64
MAX_HEAD_BYTES = 16 * 1024
MAX_VALUE_CHARACTERS = 1024  # limit of a header value with parameters
MAX_PARTS = 16

_BLANK = re.compile(rb"\r?\n\r?\n")
_NAME = re.compile(rb"[\x21-\x39\x3b-\x7e]{1,128}")
_BOUNDARY = re.compile(r"[0-9A-Za-z'()+_,\-./:=? ]{1,70}")
_BREAKS = re.compile(rb"\r\n|\r|\n")

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Entity:
    """Headers, and a body that is still in its transfer encoding.

    `raw` is the complete entity as received. It is empty if headers and body were received separately.
    """

    headers: tuple[tuple[str, str], ...]
    body: bytes
    raw: bytes

    def get(self, name: str) -> str:
        """Return the first header named `name` (lower case), unfolded; empty if there is none."""
        return next((value for header, value in self.headers if header.lower() == name), "")

    @property
    def type(self) -> str:
        """The media type in lower case, without parameters."""
        return self.get("content-type").partition(";")[0].strip().lower() or "text/plain"

    def param(self, name: str, header: str = "content-type") -> str:
        """Return a parameter of a header; empty if there is none. Raises MimeError if it can't be read."""
        return parameter(self.get(header), name)

    def content(self) -> bytes:
        """Return the body, decoded from its transfer encoding; raises MimeError."""
        encoding = self.get("content-transfer-encoding").strip().lower()
        if encoding in ("", "7bit", "8bit", "binary"):
            return self.body
        if encoding == "base64":
            try:
                return base64.b64decode(re.sub(rb"\s+", b"", self.body), validate=True)
            except binascii.Error as error:
                raise MimeError(f"base64: {error}") from error
        if encoding == "quoted-printable":
            return quopri.decodestring(self.body)
        raise MimeError(f"transfer encoding {encoding[:40]!r}")


def parameter(value: str, name: str) -> str:
    """Return a parameter of a header's value; empty if there is none. Raises MimeError if unreadable."""
    if len(value) > MAX_VALUE_CHARACTERS:
        raise MimeError(f"a header of {len(value)} characters with parameters")
    message = Message()
    message["X"] = value.replace("\r", " ").replace("\n", " ")
    try:
        found = message.get_param(name, "", "X")
    except (ValueError, LookupError, TypeError) as error:
        raise MimeError(f"a parameter cannot be read: {error}") from error
    return found if isinstance(found, str) else str(found[2]) if found else ""


def parse_entity(raw: bytes) -> Entity:
    """Parse an entity; raises MimeError."""
    if raw.startswith((b"\r\n", b"\n")):  # no headers
        return Entity((), raw[2 if raw.startswith(b"\r") else 1 :], raw)
    blank = _BLANK.search(raw, 0, MAX_HEAD_BYTES)
    if blank is None:
        raise MimeError("no end of the headers")
    return Entity(tuple(_headers(raw[: blank.start()])), raw[blank.end() :], raw)


def make_entity(headers: Headers, body: bytes) -> Entity:
    """Create an entity from headers and a body that were received separately, as with HTTP."""
    return Entity(tuple(headers), body, b"")


def _headers(head: bytes) -> Iterator[tuple[str, str]]:
    unfolded = re.sub(rb"\r?\n(?=[ \t])", b"", head)
    lines = re.split(rb"\r?\n", unfolded)
    if len(lines) > MAX_HEADERS:
        raise MimeError(f"{len(lines)} headers")
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _NAME.fullmatch(name.rstrip(b" \t")):
            raise MimeError(f"no header: {line[:40]!r}")
        yield name.rstrip(b" \t").decode("ascii"), value.strip(b" \t").decode("latin-1")


def compose(headers: Headers, body: bytes) -> bytes:
    """Encode an entity in canonical form: the lines of its headers end in CRLF."""
    head = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode("ascii") + b"\r\n" + body


def canonicalize(raw: bytes) -> bytes:
    """Convert text to the form in which it is signed: every line ends in CRLF (RFC 8551, 3.1.1)."""
    return _BREAKS.sub(b"\r\n", raw)


def parts(multipart: Entity) -> list[bytes]:
    """Split a multipart body into its parts, each as received; raises MimeError.

    The line break before a delimiter belongs to the delimiter (RFC 2046, 5.1.1). The preamble and
    the epilogue are ignored.
    """
    boundary = multipart.param("boundary")
    if not _BOUNDARY.fullmatch(boundary) or boundary.endswith(" "):
        raise MimeError(f"no boundary: {boundary[:40]!r}")
    found: list[bytes] = []
    begin: int | None = None
    for start, end, last in _delimiters(multipart.body, b"--" + boundary.encode("ascii")):
        if begin is not None:
            found.append(multipart.body[begin : max(begin, start)])
        if last:
            return found
        if len(found) >= MAX_PARTS:
            raise MimeError(f"over {MAX_PARTS} parts")
        begin = end
    raise MimeError("a multipart body that does not end")


def _delimiters(body: bytes, delimiter: bytes) -> Iterator[tuple[int, int, bool]]:
    """Yield the start and the end of each delimiter line, and whether the delimiter is the last.

    The start includes the line break before the delimiter, and the end the line break after it. A line break
    between two delimiters belongs to both. No regular expression is used: it would have to be compiled for
    each boundary, which took ten times as long.
    """
    at = body.find(delimiter)
    while at >= 0:
        end = at + len(delimiter)
        last = body.startswith(b"--", end)
        end += 2 * last
        while body[end : end + 1] in (b" ", b"\t"):
            end += 1
        broken = next((size for size, ends in ((2, b"\r\n"), (1, b"\n")) if body.startswith(ends, end)), 0)
        if (at == 0 or body[at - 1 : at] == b"\n") and (broken or end == len(body)):
            start = max(at - 1, 0)
            start -= start > 0 and body[start - 1 : start] == b"\r"
            yield start, end + broken, last
        at = body.find(delimiter, at + 1)


def join_parts(parts_of: Sequence[bytes], boundary: str) -> bytes:
    """Build a multipart body from its parts."""
    delimiter = f"--{boundary}".encode("ascii")
    return b"".join(b"%b\r\n%b\r\n" % (delimiter, part) for part in parts_of) + delimiter + b"--\r\n"
