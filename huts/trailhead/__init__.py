"""Where requests come in: messages of clients, calls of targets and operators."""

from huts.trailhead.desk import Desk
from huts.trailhead.front import Front
from huts.trailhead.ready import Ready
from huts.trailhead.server import Gate

__all__ = ["Desk", "Front", "Gate", "Ready"]
