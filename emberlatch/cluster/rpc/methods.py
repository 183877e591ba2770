"""Every method that goes between processes, and what happens if it runs twice.

A call itself is sent once, on one connection, and never again by this layer: whoever wants the effect after a
silence asks again under the rules of the method. Of the methods marked `ONCE` the receiver also keeps the
numbers of the calls that it ran, so that a doubled request does not run again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Repeatable(Enum):
    """What a receiver does with a request that it has had before."""

    HARMLESS = "harmless"  # runs it again: the outcome is the same
    ONCE = "once"  # does not run it: it is kept by its number


@dataclass(frozen=True, slots=True)
class Method:
    """One method; `why` says by what a repeat is harmless, or what it would do."""

    name: str
    repeatable: Repeatable
    why: str


_HARMLESS, _ONCE = Repeatable.HARMLESS, Repeatable.ONCE

_METHODS = (
    Method("hello", _HARMLESS, "members are merged by their lives; the answer is read from memory"),
    Method("beat", _HARMLESS, "renews the speaker's lease; the answer is read from memory"),
    Method("news", _HARMLESS, "a beat that is told; the newest heard revision only grows"),
    Method("roster", _HARMLESS, "reads"),
    Method("members", _HARMLESS, "members are merged by their lives"),
    Method("take", _ONCE, "run again, it could accept what was refused with a promise that it never runs"),
    Method("claim", _ONCE, "merged by epoch; run again it may find the call of this message ended"),
    Method("keep", _HARMLESS, "a copy is merged: state, epoch and owner only grow"),
    Method("ended", _HARMLESS, "merged: an end is final, and a success beats everything"),
    Method("state", _HARMLESS, "reads"),
    Method("body", _HARMLESS, "reads"),
    Method("own", _HARMLESS, "merged by an epoch that the sender has drawn for this hand-over"),
    Method("ranges", _HARMLESS, "reads"),
    Method("records", _HARMLESS, "reads"),
    Method("mend", _HARMLESS, "copies are merged as in keep"),
    Method("configuration", _HARMLESS, "reads"),
    Method("target", _HARMLESS, "a target's life only goes forward; its sequence orders what it says"),
    Method("targets", _HARMLESS, "as target"),
    Method("control", _ONCE, "orders are merged by revision or mark; late beats would seem fresh again"),
    Method("control state", _HARMLESS, "ballots order promises; a command that was applied changes nothing"),
)

METHODS: dict[str, Method] = {method.name: method for method in _METHODS}
"""By name."""


def runs_once(name: str) -> bool:
    """Whether a receiver has to keep the numbers of this method's calls."""
    method = METHODS.get(name)
    return method is not None and method.repeatable is Repeatable.ONCE
