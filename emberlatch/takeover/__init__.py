"""One process follows another under load: who owns, what is handed over, and who carries what is out.

The lock in the state folder decides (`Lock`); the talk over a Unix socket only informs (`Link`). `Owner` is
the side that serves and may be asked to give way, `claim` the side that comes.
"""

from __future__ import annotations

from emberlatch.takeover.link import Frame, Link, LinkError, Talk, reach, talk_path
from emberlatch.takeover.listening import inherited
from emberlatch.takeover.lock import Lock, Owning
from emberlatch.takeover.owner import Owner, Process
from emberlatch.takeover.state import VERSION, StateError, checked
from emberlatch.takeover.states import Giving, Reply, State
from emberlatch.takeover.successor import Taken, claim

__all__ = [
    "VERSION",
    "Frame",
    "Giving",
    "Link",
    "LinkError",
    "Lock",
    "Owner",
    "Owning",
    "Process",
    "Reply",
    "State",
    "StateError",
    "Taken",
    "Talk",
    "checked",
    "claim",
    "inherited",
    "reach",
    "talk_path",
]
