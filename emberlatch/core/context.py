"""State shared by all parts of a forwarder: settings, current time, random source and actions of the turn."""

from __future__ import annotations

import math
import random

from emberlatch.core.actions import Action, LogLine
from emberlatch.core.records import Route
from emberlatch.core.settings import Settings

MAX_LOG_LINES = 60  # maximum number of lines that a forwarder logs in its lifetime


class Context:
    """Shared by the parts of one forwarder. A turn is one call of `Forwarder.handle`.

    Attributes:
        settings: current settings; `Forwarder` replaces them.
        rules: rules of the initial settings; a change of the settings does not replace them.
        random: the only source of random numbers; the order of draws is part of the behaviour.
        now: time of the present turn in seconds; set by `Forwarder`.
        actions: actions of the present turn; all parts append to it.
        stalled_at: end of the last stall of the process itself; set by `Timer`.
        shutdown_at: time at which the forwarder shuts down; set by `Forwarder`.
    """

    __slots__ = (
        "_logged_lines",
        "actions",
        "now",
        "random",
        "rules",
        "settings",
        "shutdown_at",
        "stalled_at",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.random = settings, settings.rules, random.Random(seed)
        self.now = self.stalled_at = -math.inf
        self.actions: list[Action] = []
        self.shutdown_at = math.inf
        self._logged_lines = 0

    def log(self, route: Route, text: str) -> None:
        """Log a line about a route, unless the forwarder has already logged `MAX_LOG_LINES` lines."""
        if not route.endpoints:
            return
        entry = route.endpoints[0].entry
        self._logged_lines += 1
        if self._logged_lines <= MAX_LOG_LINES:
            line = f"destination {entry.destination} ({entry.target.hex()}): {text}"
            self.actions.append(LogLine(line))
