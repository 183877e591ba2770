"""The status of a member for operators (`emberlatch fleet status` and `emberlatch fleet members`)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from emberlatch.fleet.membership import MembershipMachine, Peer
from emberlatch.fleet.quota_shares import QuotaShare


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """This member's view of another member."""

    state: str
    generation: int  # 0 if no update on the peer has been received
    state_age_s: float
    last_frame_age_s: float | None  # None if the peer has sent no frame
    is_reached_directly: bool

    @classmethod
    def of(cls, peer: Peer, now: float) -> PeerStatus:
        """Return the status of a peer at a time."""
        return cls(
            peer.state.name.lower(),
            max(0, peer.generation),
            round(now - peer.state_since, 1),
            round(now - peer.last_frame_at, 1) if peer.last_frame_at > 0 else None,
            peer.is_reached_directly,
        )

    def to_json(self) -> dict[str, object]:
        """Return the JSON object for operators; scripts read its keys, which must not change."""
        return {
            "state": self.state,
            "life": self.generation,
            "since": self.state_age_s,
            "heard": self.last_frame_age_s,
            "direct": self.is_reached_directly,
        }


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """One member's view of its fleet, and the quota share that results from it."""

    fleet_name: str
    member_name: str
    generation: int
    fleet_size: int  # the largest number of members that may be alive
    present_count: int  # members that are alive or suspect, this one included
    isolation_reason: str  # empty while in contact with a majority
    isolation_age_s: float  # time since the isolation began or ended
    share: QuotaShare
    connected_names: tuple[str, ...]
    dropped_frames: int
    peers: Mapping[str, PeerStatus]

    @classmethod
    def of(
        cls,
        fleet_name: str,
        machine: MembershipMachine,
        share: QuotaShare,
        connected_names: list[str],
        dropped_frames: int,
        now: float,
    ) -> FleetStatus:
        """Return the status of a member, from its membership machine and its links."""
        identity, partition = machine.identity, machine.partition
        return cls(
            fleet_name,
            identity.name,
            identity.generation,
            machine.peers.fleet_size,
            machine.peers.present_count,
            partition.reason.value,
            round(now - partition.since, 1),
            share,
            tuple(connected_names),
            dropped_frames,
            {name: PeerStatus.of(peer, now) for name, peer in machine.peers.items()},
        )

    def to_json(self) -> dict[str, object]:
        """Return the JSON object for operators; scripts read its keys, which must not change."""
        return {
            "fleet": self.fleet_name,
            "me": self.member_name,
            "life": self.generation,
            "size": self.fleet_size,
            "here": self.present_count,
            "cut": self.isolation_reason,
            "since": self.isolation_age_s,
            "part": self.share.fraction,
            "closed": sorted(self.share.closed_classes),
            "links": list(self.connected_names),
            "dropped": self.dropped_frames,
            "members": {name: peer.to_json() for name, peer in self.peers.items()},
        }
