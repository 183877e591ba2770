"""Runs one member of a fleet: connects the membership machine to links, a clock and the gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

import structlog

from emberlatch.core.interface import Phase
from emberlatch.engine import Address
from emberlatch.fleet.endpoint_exchange import EndpointExchange, EndpointObserver
from emberlatch.fleet.environment import ProcessEnvironment
from emberlatch.fleet.frames import AnyFrame, EndpointUpdates, Handshake, MembershipTable
from emberlatch.fleet.generation_store import GenerationStore
from emberlatch.fleet.link_manager import LinkManager
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership import (
    Action,
    Halt,
    IncarnationChanged,
    LogEvent,
    MembershipMachine,
    ProcessIdentity,
    SendFrame,
)
from emberlatch.fleet.quota_shares import QuotaShare, QuotaShareController
from emberlatch.fleet.settings import FleetSettings
from emberlatch.fleet.status import FleetStatus
from emberlatch.store import Files

log = structlog.stdlib.get_logger(__name__)

SHARE_DECIMALS = 6  # decimal places of a quota share in the log
LEAVE_FLUSH_S = 0.1  # time for sending the announcement of leaving before the links are closed
# If the member's clock drifts from the event loop's, it would never reach a due time exactly.
MIN_TIMER_S = 0.001


class FleetObserver(EndpointObserver, Protocol):
    """Acts on changes of this member's view of the fleet."""

    def on_quota_share(self, share: QuotaShare) -> None:
        """Apply a changed quota share, or a change of the classes whose messages are rejected."""

    def on_halt(self, reason: str) -> None:
        """End this process, because another process has this member's name."""


class FleetService:
    """Passes events to the membership machine, carries out its actions, and sets a timer for its next tick.

    `membership` is the membership machine. `is_new_folder` is true if the state folder had no generation.
    """

    def __init__(
        self,
        settings: FleetSettings,
        files: Files,
        observer: FleetObserver,
        environment: ProcessEnvironment,
    ) -> None:
        """`files` is the folder with the generation file; raises OSError if it can't be read."""
        self.settings, self._observer = settings, observer
        self._loop = asyncio.get_running_loop()
        self._clock, self._log_event = environment.clock, environment.log_event
        self._generations = GenerationStore(files)
        self.is_new_folder = self._generations.is_new
        generation = self._generations.last_generation + 1
        self.membership = MembershipMachine(
            ProcessIdentity(settings.member_name, generation, environment.run_id),
            settings.peer_addresses,
            self._clock(),
            environment.seed,
            settings.parameters,
        )
        self._links = LinkManager(settings, self, environment)
        self._endpoints = EndpointExchange(self._links, observer, self._clock, self._log_event)
        self._quota_shares = QuotaShareController(settings.policies, self._clock())
        self._share: QuotaShare | None = None  # the share last reported to the observer
        self._timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    def start(self) -> None:
        """Store this generation, listen and dial; raises OSError if the address can't be listened on."""
        self._save_generation()
        generation, size = self.membership.identity.generation, self.membership.peers.fleet_size
        fresh = self.is_new_folder
        self._log_event(FleetEvent.MEMBER_PROCESS_STARTED, life=generation, fresh=fresh, size=size)
        self._links.start()
        self._run(self.membership.tick)

    async def leave(self) -> None:
        """Announce that this member leaves the fleet, and close."""
        # A halted process must not announce that the member leaves: another process runs under its name.
        if not self._is_closed and not self.membership.identity.is_halted:
            self._run(self.membership.leave)
            self._log_event(FleetEvent.LEAVING)
            await asyncio.sleep(LEAVE_FLUSH_S)
        self.close()

    def close(self) -> None:
        """Close without announcing that this member leaves."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._links.close()

    def configure(self, peer_addresses: Mapping[str, Address]) -> None:
        """Apply a changed list of the other members."""
        self._links.configure(peer_addresses)
        self._run(lambda now: self.membership.configure(now, peer_addresses))

    def share_endpoint_hold(self, target: str, seconds: float) -> None:
        """Inform the other members that an endpoint asked this member not to call it for `seconds`."""
        self._endpoints.share_hold(target, seconds)

    def share_endpoint_phases(self, phases: Mapping[str, Phase]) -> None:
        """Inform the other members of phases that have changed in this member's endpoint list."""
        self._endpoints.share_phases(phases)

    def status(self) -> FleetStatus:
        """Return the status for operators."""
        now = self._clock()
        share = self._quota_shares.share_at(now)
        links = self._links
        return FleetStatus.of(
            self.settings.fleet_name, self.membership, share, links.connected_names, links.dropped_frames, now
        )

    # The methods of LinkObserver.

    def handshake(self) -> Handshake:
        """Return the first frame on each link."""
        return self.membership.handshake(self.settings.fleet_name)

    def membership_table(self) -> MembershipTable:
        """Return this member's view of all members."""
        return self.membership.membership_table()

    def on_handshake(self, handshake: Handshake) -> None:
        """Handle a handshake: a link to a member is new, or a linked member has a new incarnation."""
        self._run(lambda now: self.membership.on_handshake(now, handshake))
        self._endpoints.send_all(handshake.name)

    def on_link_down(self, name: str) -> None:
        """Handle the loss of the link to a member."""
        self._run(lambda now: self.membership.on_link_down(now, name))

    def on_frame(self, name: str, incarnation: int, frame: AnyFrame) -> None:
        """Handle a frame of a member."""
        self._run(lambda now: self.membership.on_frame(now, name, incarnation, frame))
        if isinstance(frame, EndpointUpdates):
            self._endpoints.on_updates(name, frame)

    # Running the membership machine.

    def _run(self, event: Callable[[float], None]) -> None:
        """Pass an event to the machine, carry out its actions, and update the quota share and the timer."""
        if self._is_closed:
            return
        now = self._clock()
        event(now)
        for action in self.membership.take_actions():
            self._carry_out(action)
        self._apply_view(now)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendFrame(recipient, frame):
                self._links.send(recipient, frame)
            case LogEvent(event, fields):
                self._log_event(event, **fields)
            case IncarnationChanged():
                self._save_generation()
                self._links.announce_incarnation()
            case Halt(reason):
                self._observer.on_halt(reason)

    def _apply_view(self, now: float) -> None:
        """Update the quota share from the machine's view, report it if it changed, and set the timer."""
        partition = self.membership.partition
        self._quota_shares.update(now, self.membership.peers.fleet_size, partition.is_isolated)
        share = self._quota_shares.share_at(now)
        if share != self._share:
            self._share = share
            self._report_share(share)
        self._set_timer(now)

    def _report_share(self, share: QuotaShare) -> None:
        self._log_event(
            FleetEvent.QUOTA_SHARE_CHANGED,
            size=share.fleet_size,
            part=round(share.fraction, SHARE_DECIMALS),
            closed=sorted(share.closed_classes),
            cut=self.membership.partition.reason.value,
        )
        self._observer.on_quota_share(share)

    def _set_timer(self, now: float) -> None:
        """Set the timer for the next tick of the machine or the next step of the quota share."""
        due = min(self.membership.due, self._quota_shares.next_change_at(now) or self.membership.due)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(MIN_TIMER_S, due - now), self._on_timer)

    def _on_timer(self) -> None:
        self._run(self._tick_if_due)

    def _tick_if_due(self, now: float) -> None:
        """Call the machine's `tick` if it is due; the timer may have been set for the quota share instead."""
        if now >= self.membership.due:
            self.membership.tick(now)

    def _save_generation(self) -> None:
        """Store this generation, so that the next process takes a later one."""
        try:
            self._generations.save(self.membership.identity.generation)
        except OSError as error:
            log.error("the generation cannot be stored", error=str(error))  # noqa: TRY400
