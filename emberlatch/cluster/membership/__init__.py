"""The members of the system, their leases, and the view that one process has of them."""

from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.messages import (
    ControlReport,
    Handshake,
    Heartbeat,
    HeartbeatDecoder,
    HeartbeatNotice,
    MembershipUpdate,
)
from emberlatch.cluster.membership.placement import primary_store, rank
from emberlatch.cluster.membership.roster import Roster
from emberlatch.cluster.membership.view import MembershipView

__all__ = [
    "AgreedState",
    "ControlReport",
    "Handshake",
    "Heartbeat",
    "HeartbeatDecoder",
    "HeartbeatNotice",
    "Member",
    "MembershipUpdate",
    "MembershipView",
    "Roster",
    "primary_store",
    "rank",
]
