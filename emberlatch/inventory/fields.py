"""The fields of an endpoint: what a cell may hold, and what it means."""

from __future__ import annotations

import difflib
import ipaddress
import re
from collections.abc import Callable
from typing import Any

from emberlatch.engine import Address
from emberlatch.inventory.model import UNNUMBERED, Vocabulary

MOST_CHARACTERS = 256
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
"""Other names under which a field may stand."""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PARTNER = re.compile(r"[A-Za-z][A-Za-z0-9 ._-]{0,62}[A-Za-z0-9]|[A-Za-z]")
_HOST = re.compile(r"(?!-)[a-z0-9-]{1,63}(\.(?!-)[a-z0-9-]{1,63})*\.?")
_WHOLE = re.compile(r"0|[1-9][0-9]*")
_DECIMAL = re.compile(r"(0|[1-9][0-9]{0,6})(\.[0-9]{1,6})?")
_CONTROL = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")


class FieldError(Exception):
    """A cell that can't be taken: what is wrong and what would be right."""

    def __init__(self, wrong: str, right: str = "") -> None:
        super().__init__(f"{wrong}; {right}")
        self.wrong, self.right = wrong, right


def field_named(name: str) -> str:
    """The field that a column or key stands for; FieldError if there is none."""
    name = name.strip()
    if name in FIELDS:
        return name
    if name in ALIASES:
        return ALIASES[name]
    close = difflib.get_close_matches(name.casefold(), [*FIELDS, *ALIASES, "group"], 1, 0.5)
    right = f"did you mean {close[0]!r}?" if close else f"known are {', '.join(FIELDS)}"
    raise FieldError(f"{name[:40]!r} is not known", right)


def parse(field: str, text: str, words: Vocabulary) -> Any:
    """The value of a cell that is not empty; raises FieldError.

    An address is (host, port); a destination int or str; a limit float; tags a tuple; a phase whether
    it drains; all else str.
    """
    if len(text) > MOST_CHARACTERS:
        raise FieldError(f"has {len(text)} characters", f"at most {MOST_CHARACTERS}")
    if _CONTROL.search(text):
        raise FieldError(f"{text[:40]!r} holds a control character", "plain text on one line")
    return _PARSERS[field](text.strip(), words)


def _id(text: str, _: Vocabulary) -> str:
    if not _NAME.fullmatch(text):
        raise FieldError(f"{text[:40]!r} is no id", "letters, digits, dots, dashes; at most 64")
    return text


def _address(text: str, _: Vocabulary) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not _WHOLE.fullmatch(port) or not 0 < int(port[:6]) < 65536:
        raise FieldError(f"{text[:60]!r} has no port", "host:port, like 10.1.0.18:5000")
    try:
        if host.startswith("[") and host.endswith("]"):
            return str(ipaddress.IPv6Address(host[1:-1])), int(port)
        if re.fullmatch(r"[0-9.]+", host):
            return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise FieldError(f"{host!r} is no IP address", "like 10.1.0.18 or [fd00::18]") from None
    if not _HOST.fullmatch(host.lower()) or len(host) > 253:
        raise FieldError(f"{host[:60]!r} is no host", "an IP address, [IPv6] in brackets, or a host name")
    return host.lower(), int(port)


def _destination(text: str, words: Vocabulary) -> int | str:
    if not _WHOLE.fullmatch(text):
        if text[0].isdigit():
            raise FieldError(f"{text[:40]!r} is no plain number", "digits without leading zeros, or a name")
        return _partner(text, words)
    if len(text) > 9:
        raise FieldError(f"{text[:40]} is too large", f"under {UNNUMBERED}")
    return int(text)


def _partner(text: str, _: Vocabulary) -> str:
    if not _PARTNER.fullmatch(text):
        raise FieldError(
            f"{text[:40]!r} is no name", "letters first, then also digits, blanks, dots, dashes; at most 64"
        )
    return text


def _limit(text: str, _: Vocabulary) -> float:
    if not _DECIMAL.fullmatch(text):
        raise FieldError(f"{text[:40]!r} is no plain number", "calls a second in digits, like 1000 or 2.5")
    if not float(text):
        raise FieldError("0 calls a second", "over 0; leave it empty for no limit, or set phase to draining")
    return float(text)


def _phase(text: str, _: Vocabulary) -> bool:
    return _word(text, ("serving", "draining")) == "draining"


def _tags(text: str, words: Vocabulary) -> tuple[str, ...]:
    return tuple(sorted({_id(tag, words) for tag in re.split(r"[\s|]+", text) if tag}))


def _word(text: str, known: tuple[str, ...]) -> str:
    if text not in known:
        close = difflib.get_close_matches(text.casefold(), known, 1, 0.5)
        right = f"did you mean {close[0]!r}?" if close else f"one of {', '.join(known)}"
        raise FieldError(f"{text[:40]!r} is not known", right)
    return known[known.index(text)]  # one object for all rows


_PARSERS: dict[str, Callable[[str, Vocabulary], Any]] = {
    "id": _id,
    "address": _address,
    "destination": _destination,
    "partner": _partner,
    "kind": lambda text, words: _word(text, words.kinds),
    "wing": lambda text, words: _word(text, words.wings),
    "protocol": lambda text, words: _word(text, words.protocols),
    "limit": _limit,
    "phase": _phase,
    "tags": _tags,
}
