"""Failure detection: the SWIM protocol (Das 2002) with Lifeguard's local health awareness (Dadgar 2017).

This package does no I/O. Its inputs are frames and the time; its outputs are actions and the next due time.
"""

from emberlatch.fleet.membership.actions import Action, Halt, IncarnationChanged, LogEvent, SendFrame
from emberlatch.fleet.membership.identity import ProcessIdentity
from emberlatch.fleet.membership.isolation import IsolationReason
from emberlatch.fleet.membership.machine import MembershipMachine
from emberlatch.fleet.membership.parameters import ProtocolParameters
from emberlatch.fleet.membership.peers import Peer, first_incarnation, generation_of

__all__ = [
    "Action",
    "Halt",
    "IncarnationChanged",
    "IsolationReason",
    "LogEvent",
    "MembershipMachine",
    "Peer",
    "ProcessIdentity",
    "ProtocolParameters",
    "SendFrame",
    "first_incarnation",
    "generation_of",
]
