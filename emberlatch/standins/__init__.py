"""Stand-ins for the systems outside, on loopback addresses: for tests, demos and benchmarks."""

from emberlatch.standins.behaviour import Behaviour, Condition, Fate, Message, Partner
from emberlatch.standins.desk import Desk, Load, Turn
from emberlatch.standins.directory import Directory, DirectoryServer
from emberlatch.standins.partner import PartnerServer, Tap
from emberlatch.standins.ports import reserve

__all__ = [
    "Behaviour",
    "Condition",
    "Desk",
    "Directory",
    "DirectoryServer",
    "Fate",
    "Load",
    "Message",
    "Partner",
    "PartnerServer",
    "Tap",
    "Turn",
    "reserve",
]
