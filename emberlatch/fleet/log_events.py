"""The events that a member logs, and the interface of its event log.

The enum values are the names that are logged. They must not change: operators search logs for them, and the
stored histories of storm tests contain them. docs/operators/fleet.md explains each event to operators.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol


class FleetEvent(StrEnum):
    """An event of a member. The text below each event lists the fields that are logged with it."""

    MEMBER_PROCESS_STARTED = "life"
    """This process has started: `life` (its generation), `fresh` (whether the state folder is new), `size`
    (of the fleet)."""
    LEAVING = "leaves"
    """This member has announced that it leaves the fleet."""
    HALTED = "halted"
    """A process of a later generation has this member's name, so this process stops: `why`."""
    GENERATION_ADVANCED = "new_life"
    """Other members know of a generation of this member that its state folder does not contain: `before`
    (that generation), `life` (the generation after it, which this process takes)."""
    SUSPICION_REFUTED = "refuted"
    """This member has refuted a report that it is not alive: `state` (as reported), `by` (the member that
    suspects it)."""

    STALL_DETECTED = "stalled"
    """This process did not run for a while: `seconds`."""
    ISOLATED = "cut"
    """This member has become isolated: `why`, an `IsolationReason`. JOINING, with which a member starts,
    is not logged."""
    MAJORITY_REACHED = "majority"
    """This member is in contact with a majority again: `was` (the `IsolationReason` of the isolation that has
    ended), `seconds` (how long the isolation lasted)."""
    QUOTA_SHARE_CHANGED = "standing"
    """This member's quota share has changed: `size` (of the fleet), `part` (the fraction of each rate limit),
    `closed` (the classes that are rejected), `cut` (an `IsolationReason`)."""

    PEER_STATE_CHANGED = "member"
    """Another member has changed its state or generation: `member`, `state`, `was` (the previous state),
    `incarnation`, `life` (its generation)."""
    PEER_REACHED_DIRECTLY = "reached"
    """Another member answers direct probes again: `member`."""
    PEER_REACHED_INDIRECTLY = "unreached"
    """Another member answers only indirect probes: `member`."""
    LINK_REFUSED = "link_refused"
    """This process has closed a connection: `member` (empty if the other side is unknown), `why`."""
    ENDPOINT_REPORTED = "told_of"
    """Another member has reported a changed phase of an endpoint: `target`, `phase`, `by` (that member)."""


class EventLog(Protocol):
    """Logs events with their fields."""

    def __call__(self, event: FleetEvent, **fields: object) -> object:
        """Log one event."""
