"""The directory of targets. It performs no I/O and reads no clock: each call passes the time.

Each start of a target is a new incarnation with a new id. The state of an incarnation changes only in this
order: in service, draining, deregistered. Therefore a duplicate or late report cannot change a state back.
The directory is not stored: if it is lost, the next heartbeats rebuild it.

A target's lease expires if no heartbeat renews it. Each process decides for itself whether a lease has
expired, and does not report this to other stores: if heartbeats stop arriving, the process itself may be
isolated. The next heartbeat renews the lease, whether it arrives from the target or in a report of another
store.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from emberlatch.cluster.discovery.heartbeat import TargetHeartbeat
from emberlatch.cluster.discovery.target import Target, TargetReport, TargetReports, TargetState
from emberlatch.cluster.events import Event, log_event

LEASE_HEARTBEATS = 3.2  # a target's lease expires after this many heartbeat intervals
TOMBSTONE_RETENTION_S = 60.0  # keeps a deregistered target so that no late report registers it again
MAX_TARGETS = 20_000


@dataclass(frozen=True, slots=True)
class AppliedHeartbeat:
    """A target as its heartbeat reports it; `state_changed` is also true if the target was registered."""

    target: Target
    state_changed: bool


class TargetDirectory:
    """All known targets.

    Args:
        heartbeat_interval_s: seconds between two heartbeats of a target.

    Attributes:
        targets_by_id: targets by id, including those deregistered within `TOMBSTONE_RETENTION_S`.
    """

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._lease_s = heartbeat_interval_s * LEASE_HEARTBEATS
        self._subscribers: list[Callable[[Target], None]] = []
        self.targets_by_id: dict[str, Target] = {}
        self._by_address: dict[tuple[str, int], Target] = {}

    def subscribe(self, subscriber: Callable[[Target], None]) -> None:
        """Call `subscriber` with a target whenever it is registered, or its state or lease changes."""
        self._subscribers.append(subscriber)

    def apply_heartbeat(self, target_id: str, fields: object, now: float) -> AppliedHeartbeat:
        """Apply a target's own heartbeat, a decoded JSON object. Raises InvalidHeartbeatError."""
        heartbeat = TargetHeartbeat.from_json(target_id, fields)
        target = Target(
            heartbeat.target_id,
            heartbeat.service,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.capacity,
            heartbeat.state,
            heartbeat.sequence,
            now,
            now + heartbeat.warmup_remaining_s,
        )
        return AppliedHeartbeat(target, self._merge(target, now))

    def apply_report(self, report: TargetReport, now: float) -> None:
        """Apply another store's report about a target."""
        self._merge(Target.from_report(report, now), now)

    def reports(self, now: float) -> TargetReports:
        """Return reports about all known targets, for another store."""
        return TargetReports(tuple(target.report(now) for target in self.targets_by_id.values()))

    def deregister(self, target_id: str, now: float) -> Target | None:
        """Mark a target as deregistered; return the target, or None if it is not known."""
        target = self.targets_by_id.get(target_id)
        if target is not None:
            self._set_state(target, TargetState.DEREGISTERED)
            target.last_contact_at = now
        return target

    def on_wrong_instance(self, target_id: str, now: float) -> None:
        """Deregister a target: another instance answered at its address, so this incarnation has ended."""
        self.deregister(target_id, now)

    def expire(self, now: float) -> None:
        """Expire overdue leases; remove targets whose last contact is over `TOMBSTONE_RETENTION_S` ago."""
        for target in list(self.targets_by_id.values()):
            lease_over = now - target.last_contact_at > self._lease_s
            if target.state is not TargetState.DEREGISTERED and lease_over and not target.lease_expired:
                self._set_lease_expired(target, True)
            elif now - target.last_contact_at > TOMBSTONE_RETENTION_S:
                del self.targets_by_id[target.id]
                if self._by_address.get(target.address) is target:
                    del self._by_address[target.address]

    def _merge(self, reported: Target, now: float) -> bool:
        """Merge a report into the directory; return whether this registered the target or changed its state.

        The service, address, zone and capacity of a registered target do not change.
        """
        known = self.targets_by_id.get(reported.id)
        if known is None:
            if len(self.targets_by_id) >= MAX_TARGETS or now - reported.last_contact_at > self._lease_s:
                return False
            self._register(reported)
            return True
        if known.state is not TargetState.DEREGISTERED:
            known.last_contact_at = max(known.last_contact_at, reported.last_contact_at)
            if known.lease_expired and now - known.last_contact_at <= self._lease_s:
                self._set_lease_expired(known, False)
        if reported.sequence > known.sequence:
            known.sequence, known.warmed_up_at = reported.sequence, reported.warmed_up_at
        if reported.state <= known.state:
            return False
        self._set_state(known, reported.state)
        return True

    def _register(self, target: Target) -> None:
        self.targets_by_id[target.id] = target
        if target.state is TargetState.DEREGISTERED:
            return
        previous = self._by_address.get(target.address)
        if previous is not None:  # The new target, perhaps of another service, replaces it at this address.
            self._set_state(previous, TargetState.DEREGISTERED)
        self._by_address[target.address] = target
        host, port = target.address
        log_event(Event.TARGET_REGISTERED, target.id, target.service, f"{host}:{port}", target.zone)
        self._notify(target)

    def _set_state(self, target: Target, state: TargetState) -> None:
        """Set the state of a known target if the new state is higher. No other method changes a state."""
        if state <= target.state:
            return
        target.state = state
        deregistered = state is TargetState.DEREGISTERED
        log_event(Event.TARGET_DEREGISTERED if deregistered else Event.TARGET_DRAINING, target.id)
        if deregistered and self._by_address.get(target.address) is target:
            del self._by_address[target.address]
        self._notify(target)

    def _set_lease_expired(self, target: Target, expired: bool) -> None:
        """Set whether a target's lease has expired; no other method changes this."""
        target.lease_expired = expired
        log_event(Event.TARGET_LEASE_EXPIRED if expired else Event.TARGET_LEASE_RENEWED, target.id)
        self._notify(target)

    def _notify(self, target: Target) -> None:
        for subscriber in self._subscribers:
            subscriber(target)
