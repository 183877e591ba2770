"""Exchanges endpoint state between members: retry-after times (holds) and changed phases of endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from emberlatch.core.interface import Phase
from emberlatch.fleet.endpoint_reports import EndpointReports
from emberlatch.fleet.frames import EndpointHold, EndpointReport, EndpointUpdates, Frame
from emberlatch.fleet.log_events import EventLog, FleetEvent

MIN_HOLD_S = 0.05
"""A hold is shared only if it is longer than this, and ends more than this after a known hold ends."""


class EndpointObserver(Protocol):
    """Acts on the endpoint updates of other members."""

    def on_endpoint_hold(self, target: str, seconds: float) -> None:
        """Do not call an endpoint for `seconds`: it has asked another member not to call it for that time."""

    def on_endpoint_report(self, target: str, phase: Phase) -> None:
        """Apply the phase of an endpoint in another member's endpoint list."""


class FrameSender(Protocol):
    """The part of `LinkManager` that is used here."""

    @property
    def connected_names(self) -> list[str]:
        """The names of the members to which there is a link."""

    def send(self, name: str, frame: Frame) -> None:
        """Send a frame to a member; the frame may be lost."""


class EndpointExchange:
    """Shares only new updates, each once: a hold that ends later, or a report that changes a phase.

    Times are in seconds on `clock`, which is monotonic.
    """

    def __init__(
        self,
        links: FrameSender,
        observer: EndpointObserver,
        clock: Callable[[], float],
        log_event: EventLog,
    ) -> None:
        self._links, self._observer = links, observer
        self._clock, self._log_event = clock, log_event
        self._reports = EndpointReports()
        self._hold_ends_at: dict[str, float] = {}  # by endpoint; includes holds that other members shared

    def share_hold(self, target: str, seconds: float) -> None:
        """Share a hold that an endpoint asked this member for, if it ends later than the known hold."""
        if seconds > MIN_HOLD_S and self._extend_hold(target, seconds):
            self._send_to_linked(EndpointUpdates((EndpointHold(target, seconds),)))

    def share_phases(self, phases: Mapping[str, Phase]) -> None:
        """Share the phases of this member's endpoint list that differ from the newest reports."""
        now = self._clock()
        changed = [target for target, phase in phases.items() if self._reports.record(target, phase, now)]
        self._forward(self._reports.of(now, changed))

    def send_all(self, name: str) -> None:
        """Send all holds and reports to a newly linked member."""
        now = self._clock()
        hold_ends = self._hold_ends_at.items()
        holds = tuple(EndpointHold(target, until - now) for target, until in hold_ends if until > now)
        reports = self._reports.all(now)
        if holds or reports:
            self._links.send(name, EndpointUpdates(holds, reports))

    def on_updates(self, sender: str, updates: EndpointUpdates) -> None:
        """Apply the new ones among another member's updates, and forward new reports to all other members."""
        for hold in updates.holds:
            if hold.remaining_s > MIN_HOLD_S and self._extend_hold(hold.target, hold.remaining_s):
                self._observer.on_endpoint_hold(hold.target, hold.remaining_s)
        now = self._clock()
        new = tuple(
            report
            for report in updates.reports
            if self._reports.record(report.target, report.phase, now - report.age_s)
        )
        for report in new:
            phase = int(report.phase)
            self._log_event(FleetEvent.ENDPOINT_REPORTED, target=report.target, phase=phase, by=sender)
            self._observer.on_endpoint_report(report.target, report.phase)
        self._forward(new, except_for=sender)  # the sender may have no link to some members

    def _forward(self, reports: tuple[EndpointReport, ...], except_for: str = "") -> None:
        if reports:
            self._send_to_linked(EndpointUpdates(reports=reports), except_for)

    def _send_to_linked(self, updates: EndpointUpdates, except_for: str = "") -> None:
        for name in self._links.connected_names:
            if name != except_for:
                self._links.send(name, updates)

    def _extend_hold(self, target: str, seconds: float) -> bool:
        """Record a hold that begins now, unless a known hold ends as late; return whether it was recorded."""
        now = self._clock()
        self._hold_ends_at = {name: until for name, until in self._hold_ends_at.items() if until > now}
        if now + seconds <= self._hold_ends_at.get(target, 0.0) + MIN_HOLD_S:
            return False
        self._hold_ends_at[target] = now + seconds
        return True
