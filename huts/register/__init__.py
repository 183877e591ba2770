"""Who is there: the members of the system and the leases by which they stay members."""

from huts.register.placement import first, rank
from huts.register.roster import Member, Roster

__all__ = ["Member", "Roster", "first", "rank"]
