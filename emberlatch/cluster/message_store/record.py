"""A stored message, and how copies of it are merged.

Merging is commutative, associative and idempotent: copies that are merged in any order, any number of times,
become equal. Which of two copies outweighs the other is decided in this order: a completed copy outweighs a
dead-lettered one, and both outweigh a queued or cancelled one; a later epoch outweighs an earlier one;
within an epoch, a cancelled copy outweighs a queued one.

`attempts` counts only the attempts that a target answered with 500.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Any, cast

from emberlatch.cluster.rpc.errors import MessageDecodeError

WireRecord = dict[str, object]
"""The wire form of a record, also stored on disk; its keys are those of `Record.to_wire`."""


class MessageState(IntEnum):
    """The state of a message. The numbers are stored and sent; `rank` says which state outweighs which."""

    QUEUED = 0
    CANCELLED = 1  # a tombstone: not accepted in this epoch; the client was refused or got no reply
    DEAD_LETTERED = 2  # no more attempts; log event 601 names the reason
    COMPLETED = 3


Rank = tuple[int, int, int, str]


def rank(state: int, epoch: int, owner: str) -> Rank:
    """Return the rank of a copy: merging keeps the state of the copy with the highest rank.

    Completed copies rank above dead-lettered ones, and these above all others. Next the epoch is compared.
    Within an epoch a cancelled copy ranks above a queued one, and equal states rank by the owner's name.
    """
    ended = max(0, state - MessageState.CANCELLED)
    return ended, epoch, int(state == MessageState.CANCELLED), owner


STATE_NAMES = {
    MessageState.QUEUED: "queued",
    MessageState.DEAD_LETTERED: "dead_letter",
    MessageState.COMPLETED: "completed",
}
"""Names of states in responses to clients; a cancelled message is not reported to clients."""

STATE_LABELS = {
    MessageState.QUEUED: "queued",
    MessageState.CANCELLED: "void",
    MessageState.DEAD_LETTERED: "dead",
    MessageState.COMPLETED: "done",
}
"""Names of states in the output of the operators' commands."""


class Record:
    """One message in a store.

    `sent_at`, `due_at`, `expires_at` and `ended_at` are event loop times in seconds; on disk they are Unix
    times, and on the wire they are seconds relative to the time of sending.
    """

    __slots__ = (
        "attempts",
        "body",
        "config_revision",
        "content_type",
        "counted_fingerprint",
        "due_at",
        "ended_at",
        "epoch",
        "expires_at",
        "host",
        "id",
        "method",
        "owner",
        "path",
        "replicas",
        "seal",
        "sent_at",
        "state",
        "unconfirmed_replicas",
    )  # fmt: skip

    def __init__(
        self, id: str, host: str, method: str, path: str, content_type: str, body: bytes | None
    ) -> None:
        self.id, self.host, self.method, self.path = id, host, method, path
        self.content_type = content_type
        self.body = body  # None if the message has ended or the body is only on disk
        # `seal` is the target's proof of execution, for a completed message; empty if there is none.
        self.state, self.seal = MessageState.QUEUED, ""
        self.owner = ""  # node name of the only store that delivers the message
        self.epoch = 0  # epoch of the ownership; increases with each new owner, see `ownership`
        self.replicas: tuple[str, ...] = ()
        # Stores to which a copy was sent that they have not confirmed; neither stored nor sent.
        self.unconfirmed_replicas: frozenset[str] = frozenset()
        self.attempts = 0
        self.config_revision = -1  # revision of the configuration under which the message was accepted
        self.sent_at = 0.0  # approximate time at which the client sent the message
        self.due_at = 0.0  # earliest time of delivery
        self.expires_at = 0.0  # end of the retention time
        self.ended_at = 0.0  # 0.0 while the message has not ended
        self.counted_fingerprint = 0  # fingerprint that is included in the digests of its replicas

    @property
    def is_queued(self) -> bool:
        """Whether the message is queued for delivery."""
        return self.state is MessageState.QUEUED

    @property
    def has_ended(self) -> bool:
        """Whether the message is completed or dead-lettered."""
        return self.state > MessageState.CANCELLED

    @property
    def possible_replicas(self) -> set[str]:
        """The stores that have a copy, and those that may have one."""
        return {*self.replicas, *self.unconfirmed_replicas, self.owner}

    def fingerprint(self) -> int:
        """Return a 64-bit hash that is equal for copies with equal state, epoch and owner."""
        text = f"{self.id} {self.state} {self.epoch} {self.owner}".encode()
        return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")

    def outweighs(self, state: int, epoch: int, owner: str) -> bool:
        """Return whether this copy ranks above one with this state, epoch and owner."""
        return self.rank > rank(state, epoch, owner)

    @property
    def rank(self) -> Rank:
        """The rank of this copy; see the function `rank`."""
        return rank(self.state, self.epoch, self.owner)

    def merge(self, state: MessageState, seal: str, epoch: int, owner: str, attempts: int) -> bool:
        """Adopt another copy's state if that copy outweighs this one; return whether it does."""
        self.attempts = max(self.attempts, attempts)
        if rank(state, epoch, owner) <= self.rank:
            return False
        self.state, self.epoch, self.owner, self.seal = state, epoch, owner, seal
        return True

    def to_wire(self, now: float, body: bytes | None) -> WireRecord:
        """Return the wire form; its times are in seconds relative to `now`."""
        return {
            "id": self.id, "host": self.host, "method": self.method, "path": self.path,
            "content": self.content_type, "body": body, "state": int(self.state), "seal": self.seal,
            "holder": self.owner, "epoch": self.epoch, "keepers": list(self.replicas),
            "attempts": self.attempts, "version": self.config_revision, "sent": self.sent_at - now,
            "due": self.due_at - now, "end": self.expires_at - now,
            "ended": self.ended_at - now if self.ended_at else None,
        }  # fmt: skip

    @staticmethod
    def from_wire(payload: object, now: float) -> Record:
        """Decode the wire form, received or read from disk; `now` is added to its relative times.

        Raises MessageDecodeError if the payload is not a record.
        """
        fields = cast("dict[str, Any]", payload)
        try:
            record = Record(
                str(fields["id"]),
                str(fields["host"]),
                str(fields["method"]),
                str(fields["path"]),
                str(fields["content"]),
                fields["body"],
            )
            record.state, record.seal = MessageState(fields["state"]), str(fields["seal"])
            record.owner, record.epoch = str(fields["holder"]), int(fields["epoch"])
            record.replicas = tuple(map(str, fields["keepers"]))
            record.attempts, record.config_revision = int(fields["attempts"]), int(fields["version"])
            record.sent_at, record.due_at = now + fields["sent"], now + fields["due"]
            record.expires_at = now + fields["end"]
            record.ended_at = 0.0 if fields["ended"] is None else now + fields["ended"]
            return record
        except (KeyError, TypeError, ValueError) as error:
            raise MessageDecodeError("record", repr(error)) from error
