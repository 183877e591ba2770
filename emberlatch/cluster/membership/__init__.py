"""Who is there: the members of the system, their leases, and the view that one process has of them."""

from emberlatch.cluster.membership.placement import first, rank
from emberlatch.cluster.membership.roster import Member, Roster
from emberlatch.cluster.membership.view import MembershipView

__all__ = ["Member", "MembershipView", "Roster", "first", "rank"]
