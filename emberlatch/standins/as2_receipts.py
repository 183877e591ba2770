"""Builds the receipts of a stand-in AS2 partner. They are valid or faulty, as the script requires."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from emberlatch.as2 import mdn, names
from emberlatch.as2.certificates import Identity
from emberlatch.as2.errors import Modifier
from emberlatch.as2.mdn import Disposition, Mdn
from emberlatch.as2.message import Layers, Opened, seal
from emberlatch.as2.profile import OwnParty, Partner
from emberlatch.standins.as2_script import WITHOUT_RECEIPT, ReceiptBehaviour, Script

UNKNOWN_ORIGINAL_PREFIX = "other-"


@dataclass(frozen=True, slots=True)
class Receipt:
    """A receipt to send `delay_s` seconds after the message or the receipt before it."""

    delay_s: float
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ReceiptBuilder:
    """Builds the receipts of one partner."""

    def __init__(
        self, own: OwnParty, gateway: Partner, wrong_signer: Identity, wall: Callable[[], float]
    ) -> None:
        """`wrong_signer` signs receipts of `MISSIGNED`; `wall` gives Unix time in seconds."""
        self._own, self._gateway = own, gateway
        self._wrong_signer, self._wall = wrong_signer, wall

    def build(self, script: Script, original: str, opened: Opened | None, options: str) -> Iterator[Receipt]:
        """Yield the receipts for a message in order; `options` is its Disposition-Notification-Options."""
        behaviour = script.behaviour
        if behaviour in WITHOUT_RECEIPT:
            return
        signed, digest = mdn.receipt_options(options)
        if opened is not None and opened.digest:
            digest = opened.digest
        signed = signed and behaviour is not ReceiptBehaviour.UNSIGNED
        signer = self._wrong_signer if behaviour is ReceiptBehaviour.MISSIGNED else self._own.identity
        delay_s = script.first_delay_s
        for notification in self._notifications(behaviour, original, opened, digest):
            if not notification.mic:
                notification = replace(notification, digest="")
            layers = Layers(digest if signed else "", "", False)
            sealed = seal(mdn.build(notification), layers, signer, self._gateway.trust, self._wall())
            body = bytearray(sealed.body)
            if behaviour is ReceiptBehaviour.CORRUPT:
                body[len(body) // 3] ^= 1
            yield Receipt(delay_s, (*self._headers(original), *sealed.headers), bytes(body))
            delay_s = script.delay_s

    def _notifications(
        self, behaviour: ReceiptBehaviour, original: str, opened: Opened | None, digest: str
    ) -> list[Mdn]:
        subject = original
        if behaviour is ReceiptBehaviour.FOR_ANOTHER:
            subject = UNKNOWN_ORIGINAL_PREFIX + original
        disposition = _disposition(behaviour)
        mic = _mic(behaviour, opened, digest) if disposition == mdn.PROCESSED else b""
        first = Mdn(subject, disposition, mic, digest, self._own.name)
        match behaviour:
            case ReceiptBehaviour.TWICE:
                return [first, first]
            case ReceiptBehaviour.CONTRADICTS:
                refusal = mdn.error_disposition(Modifier.AUTHENTICATION)
                return [first, Mdn(original, refusal, recipient=self._own.name)]
            case _:
                return [first]

    def _headers(self, original: str) -> list[tuple[str, str]]:
        return [
            ("AS2-Version", "1.2"),
            ("AS2-From", names.quoted(self._own.name)),
            ("AS2-To", names.quoted(self._gateway.as2_name)),
            ("Message-ID", f"<receipt-{original}>"),
        ]


def _disposition(behaviour: ReceiptBehaviour) -> Disposition:
    match behaviour:
        case ReceiptBehaviour.UNEXPECTED:
            return mdn.error_disposition(Modifier.UNEXPECTED)
        case ReceiptBehaviour.REFUSED:
            return mdn.error_disposition(Modifier.DECRYPTION)
        case _:
            return mdn.PROCESSED


def _mic(behaviour: ReceiptBehaviour, opened: Opened | None, digest: str) -> bytes:
    if opened is None:
        return b""
    match behaviour:
        case ReceiptBehaviour.WRONG_MIC:
            return bytes(len(opened.mic(digest)[0]))
        case ReceiptBehaviour.OTHER_ENDS:
            return replace(opened, mic_input=opened.mic_input.replace(b"\r\n", b"\n")).mic(digest)[0]
        case _:
            return opened.mic(digest)[0]
