"""One incarnation of a target, and the report about it that stores exchange."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Self

from emberlatch.cluster.rpc import MessageDecodeError


class TargetState(IntEnum):
    """State of an incarnation. It changes only to a higher value; processes exchange these values."""

    IN_SERVICE = 0
    DRAINING = 1
    DEREGISTERED = 2


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One store's information about a target, with times relative to the sending of the report.

    Attributes:
        capacity: maximum number of concurrent calls.
        sequence: number of the newest heartbeat.
        last_contact_s_ago: seconds since the target's last heartbeat or its deregistration.
        warmup_remaining_s: seconds until the target has warmed up; negative if that time has passed.
    """

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int
    state: TargetState
    sequence: int
    last_contact_s_ago: float
    warmup_remaining_s: float

    def to_wire(self) -> list[object]:
        """Return the payload, a list in the order of the fields."""
        return [
            self.id,
            self.service,
            list(self.address),
            self.zone,
            self.capacity,
            int(self.state),
            self.sequence,
            self.last_contact_s_ago,
            self.warmup_remaining_s,
        ]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not a report."""
        match payload:
            case [
                str(id), str(service), [str(host), int(port)], str(zone), int(capacity), int(state),
                int(sequence), float() | int() as last_contact_s_ago, float() | int() as warmup_remaining_s,
            ] if state in _STATES:  # fmt: skip
                return cls(
                    id, service, (host, port), zone, capacity, _STATES[state], sequence, last_contact_s_ago,
                    warmup_remaining_s,
                )  # fmt: skip
        raise MessageDecodeError("target report", f"unexpected fields: {payload!r:.100}")


@dataclass(frozen=True, slots=True)
class TargetReports:
    """Reports about several targets: the content of a TARGETS message."""

    reports: tuple[TargetReport, ...]

    def to_wire(self) -> list[list[object]]:
        """Return the payload, a list of reports."""
        return [report.to_wire() for report in self.reports]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a payload. Raises MessageDecodeError if it is not a list of reports."""
        if not isinstance(payload, list):
            raise MessageDecodeError("target reports", f"not a list: {payload!r:.100}")
        return cls(tuple(map(TargetReport.from_wire, payload)))


_STATES = {int(state): state for state in TargetState}


@dataclass(slots=True)
class Target:
    """This process's information about one incarnation of a target; only the directory changes it."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    capacity: int  # maximum number of concurrent calls
    state: TargetState
    sequence: int  # number of its newest heartbeat
    last_contact_at: float  # loop time of its last heartbeat or its deregistration
    warmed_up_at: float = 0.0  # loop time at which warm-up ends; the target is slow until then
    lease_expired: bool = False  # decided by this process alone, and not sent to other stores

    @classmethod
    def from_report(cls, report: TargetReport, now: float) -> Self:
        """Create a target from a report that arrived at loop time `now`."""
        return cls(
            report.id,
            report.service,
            report.address,
            report.zone,
            report.capacity,
            report.state,
            report.sequence,
            now - report.last_contact_s_ago,
            now + report.warmup_remaining_s,
        )

    def report(self, now: float) -> TargetReport:
        """Return the report for other stores at loop time `now`."""
        return TargetReport(
            self.id,
            self.service,
            self.address,
            self.zone,
            self.capacity,
            self.state,
            self.sequence,
            now - self.last_contact_at,
            self.warmed_up_at - now,
        )

    @property
    def available(self) -> bool:
        """Whether messages may be sent to this target, as far as this process knows."""
        return self.state is TargetState.IN_SERVICE and not self.lease_expired
