"""A process of the system, as it describes itself to the others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from emberlatch.cluster.rpc import MessageDecodeError

MAX_TEXT_LENGTH = 100  # maximum number of characters of a name or an address
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a process. Its addresses are reachable from all other processes."""

    node: str
    ip: str
    port: int  # port for connections from other processes
    zone: str
    region: str
    store: bool  # whether it stores messages and votes on the control state
    counted: bool  # whether its loss counts towards the losses that the system tolerates
    control: str = ""  # `host:port` of its control API; empty if it has none
    incarnation: int = 0  # increases with each start

    def to_wire(self) -> dict[str, object]:
        """The payload that is sent to other processes and written to disk."""
        return {
            "node": self.node,
            "ip": self.ip,
            "port": self.port,
            "zone": self.zone,
            "region": self.region,
            "store": self.store,
            "counted": self.counted,
            "control": self.control,
            "life": self.incarnation,
        }

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it does not describe a member."""
        if not isinstance(payload, dict):
            raise MessageDecodeError("member", f"not a map but {type(payload).__name__}")
        try:
            member = cls(
                payload["node"],
                payload["ip"],
                payload["port"],
                payload["zone"],
                payload["region"],
                payload["store"],
                payload["counted"],
                payload.get("control", ""),
                payload.get("life", 0),
            )
        except KeyError as error:
            raise MessageDecodeError("member", f"{error} is missing") from error
        member._check()
        return member

    def _check(self) -> None:
        for text in (self.node, self.ip, self.zone, self.region, self.control):
            if not isinstance(text, str) or len(text) > MAX_TEXT_LENGTH:
                reason = f"no text of up to {MAX_TEXT_LENGTH} characters: {repr(text)[:MAX_TEXT_LENGTH]}"
                raise MessageDecodeError("member", reason)
        if not self.node:
            raise MessageDecodeError("member", "its node has no name")
        if not (isinstance(self.port, int) and 0 < self.port <= MAX_PORT):
            raise MessageDecodeError("member", f"no port: {repr(self.port)[:MAX_TEXT_LENGTH]}")
        if not isinstance(self.incarnation, int):
            raise MessageDecodeError("member", f"no incarnation: {repr(self.incarnation)[:MAX_TEXT_LENGTH]}")
