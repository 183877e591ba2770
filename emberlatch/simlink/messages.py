"""Messages of the protocol other than the events and actions of the decision module."""

from __future__ import annotations

from dataclasses import dataclass

from emberlatch.core import interface as api


@dataclass(frozen=True, slots=True)
class Start:
    """An instance starts with the random seed `seed`, the settings `settings`, and no state."""

    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """An instance is killed; its state is lost."""


@dataclass(frozen=True, slots=True)
class Fault:
    """The decision module raised an exception; `text` describes it."""

    text: str


WireEvent = api.Event | Start | Stop
WireAction = api.Action | Fault
