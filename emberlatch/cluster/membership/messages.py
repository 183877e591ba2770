"""Messages by which processes describe themselves to each other: handshakes, heartbeats, membership updates.

The keys on the wire must not change, because versions of the program run side by side. A key that this
version does not know is ignored; a key that an older version does not send has a default.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Self

from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.message_store import DiskState
from emberlatch.cluster.rpc import MessageDecodeError


@dataclass(frozen=True, slots=True)
class ControlReport:
    """What a store or witness reports about the agreed control state and the machines that it can't reach.

    A witness reports the state in its memory in place of that on a disk.
    """

    version: int = 0  # version of the control state on its disk
    epoch: int = 0
    cluster: str = ""  # the cluster that its disk belongs to; empty before the cluster is founded
    identity: str = ""  # identity of its disk; empty while the disk can't be read
    votes: bool = True  # False while its disk accepts no writes, and of a witness that is shutting down
    unreachable_s: Mapping[str, float] = field(default_factory=dict)  # seconds since contact, by node
    decommissions: Mapping[str, int] = field(default_factory=dict)  # value of `DecommissionMark`, by node

    def to_wire(self) -> dict[str, object]:
        """Keys of the report in a heartbeat; `votes`, `silent` and `retire` are omitted at their default."""
        payload: dict[str, object] = {
            "version": self.version,
            "epoch": self.epoch,
            "cluster": self.cluster,
            "identity": self.identity,
        }
        if not self.votes:
            payload["votes"] = False
        if self.unreachable_s:
            payload["silent"] = dict(self.unreachable_s)
        if self.decommissions:
            payload["retire"] = dict(self.decommissions)
        return payload

    @classmethod
    def from_wire(cls, payload: Mapping[str, object]) -> Self:
        """Decode the keys of a heartbeat. Raises MessageDecodeError if a value has the wrong type."""
        return cls(
            _decode_integer(payload.get("version", 0)),
            _decode_integer(payload.get("epoch", 0)),
            str(payload.get("cluster", "")),
            str(payload.get("identity") or ""),
            payload.get("votes") is not False,
            _decode_map_by_node(payload.get("silent")),
            {node: int(mark) for node, mark in _decode_map_by_node(payload.get("retire")).items()},
        )


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a process reports about itself with each heartbeat.

    Only stores report `disk`, and only stores and witnesses `control`.
    """

    phase: str | None  # value of `Phase`; None if the process is not a store
    revision: int  # revision of the configuration that it can supply; negative if it has none
    roster_digest: int | None  # digest of the stores that it knows
    disk: DiskState | None = None
    control: ControlReport | None = None

    def to_wire(self) -> dict[str, object]:
        """The payload of a heartbeat."""
        payload: dict[str, object] = {
            "phase": self.phase,
            "stands": self.revision,
            "stores": self.roster_digest,
        }
        if self.disk is not None:
            payload["disk"] = self.disk.value
        return payload if self.control is None else payload | self.control.to_wire()

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not a heartbeat."""
        if not isinstance(payload, dict):
            raise MessageDecodeError("heartbeat", f"not a map but {type(payload).__name__}")
        phase, revision, digest = payload.get("phase"), payload.get("stands"), payload.get("stores")
        revision = revision if isinstance(revision, int) else -1
        digest = digest if isinstance(digest, int) else None
        if phase is None:
            witness = ControlReport.from_wire(payload) if "version" in payload else None
            return cls(None, revision, digest, None, witness)
        control = ControlReport.from_wire(payload)
        return cls(str(phase), revision, digest, _decode_disk_state(payload.get("disk")), control)


class HeartbeatDecoder:
    """Decodes the heartbeats of the other stores.

    Most heartbeats are equal to the sender's previous one, and comparing is much cheaper than decoding.
    """

    def __init__(self) -> None:
        self._latest: dict[str, tuple[object, Heartbeat]] = {}  # payload and decoded heartbeat, by sender

    def decode(self, sender: str, payload: object) -> Heartbeat:
        """Decode a heartbeat of this sender. Raises MessageDecodeError if the payload is not a heartbeat."""
        latest = self._latest.get(sender)
        if latest is not None and latest[0] == payload:
            return latest[1]
        heartbeat = Heartbeat.from_wire(payload)
        self._latest[sender] = payload, heartbeat
        return heartbeat


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Description of a process, and of stores that it knows."""

    me: Member
    roster: tuple[Member, ...] = ()

    def to_wire(self) -> dict[str, object]:
        """The payload of an update, and of the answer to a request for the roster."""
        return {"me": self.me.to_wire(), "roster": [member.to_wire() for member in self.roster]}

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not an update."""
        match payload:
            case {"me": me, "roster": list(roster)}:
                return cls(Member.from_wire(me), tuple(map(Member.from_wire, roster)))
        raise MessageDecodeError("membership update", "not a map with me and a roster")


@dataclass(frozen=True, slots=True)
class Handshake:
    """The payload of the first request on a connection, and of the response to it."""

    heartbeat: Heartbeat
    update: MembershipUpdate
    identity: str = ""  # identity of the sender's disk; empty if it has none

    def to_wire(self) -> dict[str, object]:
        """The payload of a handshake: the keys of both parts, and the identity."""
        return self.heartbeat.to_wire() | self.update.to_wire() | {"identity": self.identity}

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not a handshake."""
        heartbeat, update = Heartbeat.from_wire(payload), MembershipUpdate.from_wire(payload)
        identity = payload.get("identity") if isinstance(payload, dict) else None
        return cls(heartbeat, update, identity if isinstance(identity, str) else "")


@dataclass(frozen=True, slots=True)
class HeartbeatNotice:
    """A heartbeat that a store sends to a process that dialled it."""

    node: str
    heartbeat: Heartbeat

    def to_wire(self) -> list[object]:
        """The payload of the notice."""
        return [self.node, self.heartbeat.to_wire()]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not such a notice."""
        match payload:
            case [str(node), heartbeat, *_]:
                return cls(node, Heartbeat.from_wire(heartbeat))
        raise MessageDecodeError("heartbeat notice", "not a node and its heartbeat")


def _decode_integer(value: object) -> int:
    if not isinstance(value, int):
        raise MessageDecodeError("heartbeat", f"not a number but {type(value).__name__}")
    return value


def _decode_map_by_node(value: object) -> Mapping[str, float]:
    """Decode a map with nodes as keys. Senders omit an empty map, so a missing value is decoded as one."""
    if not value:
        return {}
    if not isinstance(value, dict):
        raise MessageDecodeError("heartbeat", f"not a map by node but {type(value).__name__}")
    return value


def _decode_disk_state(value: object) -> DiskState:
    """Decode the state of the sender's disk; a missing state means OK."""
    try:
        return DiskState.OK if value is None else DiskState(value)
    except ValueError as error:
        raise MessageDecodeError("heartbeat", str(error)) from error
