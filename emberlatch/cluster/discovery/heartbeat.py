"""The heartbeat that a target sends to a control address: its fields and their validation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from emberlatch.cluster.discovery.target import TargetState

MAX_TEXT_LENGTH = 200  # characters
MAX_NUMBER = 1e15
MAX_ERROR_LENGTH = 200  # characters
_STATES = {"in_service": TargetState.IN_SERVICE, "draining": TargetState.DRAINING}


class InvalidHeartbeatError(ValueError):
    """A malformed heartbeat. `target_id` names the target that sent it; `reason` is the first fault found."""

    def __init__(self, target_id: str, reason: str) -> None:
        super().__init__(f"heartbeat of {target_id[:60]}: {reason}"[:MAX_ERROR_LENGTH])
        self.target_id, self.reason = target_id, reason


@dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """The state that a target reports.

    Attributes:
        capacity: maximum number of concurrent calls.
        sequence: number of the heartbeat; later heartbeats of a target have higher numbers.
        warmup_remaining_s: seconds until the target has warmed up; it is slow until then.
    """

    target_id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    state: TargetState
    sequence: int
    warmup_remaining_s: float

    @classmethod
    def from_json(cls, target_id: str, fields: object) -> Self:
        """Validate the decoded body of a heartbeat request.

        Raises:
            InvalidHeartbeatError: a field is missing or invalid.
        """
        try:
            return cls._checked(target_id, fields)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise InvalidHeartbeatError(target_id, repr(error)) from None

    @classmethod
    def _checked(cls, target_id: str, fields: object) -> Self:
        if not isinstance(fields, dict):
            raise TypeError("not an object")
        host, _, port = _text(fields["address"]).rpartition(":")
        state = _STATES[fields["state"]]
        capacity, sequence = _number(fields["capacity"]), _number(fields["sequence"])
        warmup_remaining_s = _number(fields.get("warmup_left_ms", 0)) / 1000
        heartbeat = cls(
            _text(target_id),
            _text(fields["service"]),
            (host, int(port)),
            _text(fields.get("zone", "")),
            max(1, int(capacity)),
            state,
            int(sequence),
            warmup_remaining_s,
        )
        if not host or not 0 < heartbeat.address[1] < 65536:
            raise ValueError("address")
        return heartbeat


def _text(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise ValueError(f"not a text of 1 to {MAX_TEXT_LENGTH} characters: {value!r:.40}")
    return value


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise ValueError(f"not a number from 0 to {MAX_NUMBER:g}: {value!r:.40}")
    return value
