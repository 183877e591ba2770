"""Defines the names of an endpoint's fields, and parses the text of each field."""

from __future__ import annotations

import difflib
import ipaddress
import re
from collections.abc import Callable

from emberlatch.engine import Address
from emberlatch.inventory.model import FIRST_DERIVED_DESTINATION, Vocabulary
from emberlatch.inventory.parsed_file import ParsedValue

MAX_CELL_CHARACTERS = 256
FIELDS = (
    "id",
    "address",
    "destination",
    "partner",
    "kind",
    "wing",
    "protocol",
    "limit",
    "phase",
    "tags",
)
ALIASES = {"capacity": "limit"}
"""Other accepted names of a field."""

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PARTNER = re.compile(r"[A-Za-z][A-Za-z0-9 ._-]{0,62}[A-Za-z0-9]|[A-Za-z]")
_HOST = re.compile(r"(?!-)[a-z0-9-]{1,63}(\.(?!-)[a-z0-9-]{1,63})*\.?")
_INTEGER = re.compile(r"0|[1-9][0-9]*")
_DECIMAL = re.compile(r"(0|[1-9][0-9]{0,6})(\.[0-9]{1,6})?")
_CONTROL = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")
_MAX_HOST_CHARACTERS = 253
_MAX_PORT = 65535
_MAX_DESTINATION_DIGITS = len(str(FIRST_DERIVED_DESTINATION)) - 1


class FieldError(Exception):
    """Raised for an invalid cell or field name; `fault` is what is wrong, `remedy` what to write instead."""

    def __init__(self, fault: str, remedy: str = "") -> None:
        super().__init__(f"{fault}; {remedy}")
        self.fault, self.remedy = fault, remedy


def field_named(name: str) -> str:
    """Return the field that a column or key names; raises FieldError if the name is unknown."""
    name = name.strip()
    if name in FIELDS:
        return name
    if name in ALIASES:
        return ALIASES[name]
    close = difflib.get_close_matches(name.casefold(), [*FIELDS, *ALIASES, "group"], 1, 0.5)
    remedy = f"did you mean {close[0]!r}?" if close else f"known are {', '.join(FIELDS)}"
    raise FieldError(f"{name[:40]!r} is not known", remedy)


def parse(field: str, text: str, vocabulary: Vocabulary) -> ParsedValue:
    """Parse a cell that is not empty; raises FieldError.

    Returns (host, port) for an address, an int or str for a destination, a float (calls per second) for a
    limit, a tuple for tags, True for the phase `draining`, and a str for every other field.
    """
    return _PARSERS[field](_checked_text(text), vocabulary)


def parse_id(text: str) -> str:
    """Parse the id of an endpoint or a group; raises FieldError."""
    return _id(_checked_text(text))


def _checked_text(text: str) -> str:
    if len(text) > MAX_CELL_CHARACTERS:
        raise FieldError(f"has {len(text)} characters", f"at most {MAX_CELL_CHARACTERS}")
    if _CONTROL.search(text):
        raise FieldError(f"{text[:40]!r} holds a control character", "plain text on one line")
    return text.strip()


def _id(text: str) -> str:
    if not _ID.fullmatch(text):
        raise FieldError(f"{text[:40]!r} is no id", "letters, digits, dots, dashes; at most 64")
    return text


def _address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not _INTEGER.fullmatch(port) or not 0 < int(port[:6]) <= _MAX_PORT:
        raise FieldError(f"{text[:60]!r} has no port", "host:port, like 10.1.0.18:5000")
    try:
        if host.startswith("[") and host.endswith("]"):
            return str(ipaddress.IPv6Address(host[1:-1])), int(port)
        if re.fullmatch(r"[0-9.]+", host):
            return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise FieldError(f"{host!r} is no IP address", "like 10.1.0.18 or [fd00::18]") from None
    if not _HOST.fullmatch(host.lower()) or len(host) > _MAX_HOST_CHARACTERS:
        raise FieldError(f"{host[:60]!r} is no host", "an IP address, [IPv6] in brackets, or a host name")
    return host.lower(), int(port)


def _destination(text: str) -> int | str:
    if not _INTEGER.fullmatch(text):
        if text[0].isdigit():
            raise FieldError(f"{text[:40]!r} is no plain number", "digits without leading zeros, or a name")
        return _partner(text)
    if len(text) > _MAX_DESTINATION_DIGITS:
        raise FieldError(f"{text[:40]} is too large", f"under {FIRST_DERIVED_DESTINATION}")
    return int(text)


def _partner(text: str) -> str:
    if not _PARTNER.fullmatch(text):
        raise FieldError(
            f"{text[:40]!r} is no name", "letters first, then also digits, blanks, dots, dashes; at most 64"
        )
    return text


def _limit(text: str) -> float:
    if not _DECIMAL.fullmatch(text):
        raise FieldError(f"{text[:40]!r} is no plain number", "calls a second in digits, like 1000 or 2.5")
    if not float(text):
        raise FieldError("0 calls a second", "over 0; leave it empty for no limit, or set phase to draining")
    return float(text)


def _phase(text: str) -> bool:
    return _choice(text, ("serving", "draining")) == "draining"


def _tags(text: str) -> tuple[str, ...]:
    return tuple(sorted({_id(tag) for tag in re.split(r"[\s|]+", text) if tag}))


def _choice(text: str, known: tuple[str, ...]) -> str:
    if text not in known:
        close = difflib.get_close_matches(text.casefold(), known, 1, 0.5)
        remedy = f"did you mean {close[0]!r}?" if close else f"one of {', '.join(known)}"
        raise FieldError(f"{text[:40]!r} is not known", remedy)
    return known[known.index(text)]  # one shared string for all rows


_PARSERS: dict[str, Callable[[str, Vocabulary], ParsedValue]] = {
    "id": lambda text, _: _id(text),
    "address": lambda text, _: _address(text),
    "destination": lambda text, _: _destination(text),
    "partner": lambda text, _: _partner(text),
    "kind": lambda text, vocabulary: _choice(text, vocabulary.kinds),
    "wing": lambda text, vocabulary: _choice(text, vocabulary.wings),
    "protocol": lambda text, vocabulary: _choice(text, vocabulary.protocols),
    "limit": lambda text, _: _limit(text),
    "phase": lambda text, _: _phase(text),
    "tags": lambda text, _: _tags(text),
}
