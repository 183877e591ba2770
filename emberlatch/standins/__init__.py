"""Stand-ins for the systems outside, on loopback addresses: for tests, demos and benchmarks."""

from emberlatch.standins.behaviour import Behaviour, Condition, Fate, Message, Partner
from emberlatch.standins.partner import PartnerServer

__all__ = ["Behaviour", "Condition", "Fate", "Message", "Partner", "PartnerServer"]
