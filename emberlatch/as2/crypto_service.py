"""The interface that seals and opens messages, and an implementation that runs in the calling process.

To seal is to compress, sign and encrypt a message as agreed with its partner; to open is the reverse.
`crypto_worker` has an implementation that runs in a child process.
"""

from __future__ import annotations

from typing import Protocol

from emberlatch.as2.certificates import Trust
from emberlatch.as2.message import AcceptancePolicy, Layers, Opened, Sealed, seal, unseal
from emberlatch.as2.mime import Entity
from emberlatch.as2.profile import Parties

NO_RECIPIENT = Trust(())  # stands for the recipient of a message that is not encrypted


class CryptoServiceError(OSError):
    """The worker process ended before it served a request. The caller may send the request again."""


class CryptoService(Protocol):
    """Seals and opens messages.

    `partner` is a partner's inventory name. For `seal` it may be empty if the message is not encrypted.
    """

    async def seal(self, content: bytes, layers: Layers, partner: str, now: float) -> Sealed:
        """Seal as `message.seal` does; also raises CryptoServiceError."""

    async def unseal(self, outer: Entity, partner: str, policy: AcceptancePolicy, now: float) -> Opened:
        """Open as `message.unseal` does; also raises CryptoServiceError."""

    def close(self) -> None:
        """Accept no more requests."""


class InlineCryptoService:
    """Seals and opens messages in the calling process, without suspending the coroutine."""

    def __init__(self, parties: Parties) -> None:
        self._parties = parties

    async def seal(self, content: bytes, layers: Layers, partner: str, now: float) -> Sealed:
        """See `message.seal`."""
        return self.seal_now(content, layers, partner, now)

    async def unseal(self, outer: Entity, partner: str, policy: AcceptancePolicy, now: float) -> Opened:
        """See `message.unseal`."""
        return self.unseal_now(outer, partner, policy, now)

    def close(self) -> None:
        """Do nothing: there is nothing to release."""

    def seal_now(self, content: bytes, layers: Layers, partner: str, now: float) -> Sealed:
        """Seal as `seal` does, without a coroutine."""
        trust = self._parties.partners[partner].trust if partner else NO_RECIPIENT
        return seal(content, layers, self._parties.own.identity, trust, now)

    def unseal_now(self, outer: Entity, partner: str, policy: AcceptancePolicy, now: float) -> Opened:
        """Open as `unseal` does, without a coroutine."""
        return unseal(outer, self._parties.own.identity, self._parties.partners[partner].trust, policy, now)
