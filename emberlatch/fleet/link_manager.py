"""Keeps one link between this member and each other member.

Of two members, the one whose name sorts first dials the other. This process closes a connection if the
other side sends an invalid or too large frame, an older protocol version or the name of another fleet. Other
connections are not affected.

If no data arrives on a link for `IDLE_TIMEOUT_S`, the member that dials opens a second connection, and the
link stays open meanwhile. If the cause was a network partition, the link works again after the partition has
healed. If the other process no longer exists, the second connection replaces the link.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from typing import Protocol

from emberlatch.engine import Address
from emberlatch.fleet.environment import ProcessEnvironment
from emberlatch.fleet.errors import HandshakeError
from emberlatch.fleet.frames import (
    MAX_NAME_CHARS,
    PROTOCOL_VERSION,
    AnyFrame,
    Frame,
    Handshake,
    MembershipTable,
)
from emberlatch.fleet.link import Link
from emberlatch.fleet.log_events import FleetEvent
from emberlatch.fleet.membership import generation_of
from emberlatch.fleet.settings import FleetSettings
from emberlatch.net.acceptor import Acceptor

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 1.5  # time without data after which a second connection is dialled
IDLE_CHECK_S = IDLE_TIMEOUT_S / 3
REDIAL_BACKOFF_S = 0.1  # delay after the first failure; doubled after each later one, up to the maximum
MAX_REDIAL_BACKOFF_S = 1.0
REDIAL_JITTER = (0.5, 1.0)  # each delay is multiplied by a random factor in this range
MAX_UNIDENTIFIED_LINKS = 32  # limit on the links in `LinkManager._unidentified`


class LinkObserver(Protocol):
    """Receives the frames and state changes of the links, and supplies the first frames on a link."""

    def handshake(self) -> Handshake:
        """Return the first frame on each link."""

    def membership_table(self) -> MembershipTable:
        """Return this member's view of all members."""

    def on_handshake(self, handshake: Handshake) -> None:
        """Handle a handshake: a link to a member is new, or a linked member has a new incarnation."""

    def on_link_down(self, name: str) -> None:
        """Handle the loss of the link to a member; not called if another link has replaced it."""

    def on_frame(self, name: str, incarnation: int, frame: AnyFrame) -> None:
        """Handle a frame of a member; `incarnation` is that in the member's handshake on this link."""


class LinkManager:
    """Dials, accepts and replaces links.

    `dropped_frames` counts the frames that `send` dropped: there was no link, or its send buffer was full.
    """

    def __init__(
        self, settings: FleetSettings, observer: LinkObserver, environment: ProcessEnvironment
    ) -> None:
        self._settings, self._observer = settings, observer
        self._tasks, self._machine = environment.tasks, environment.machine
        self._log_event = environment.log_event
        self._random = random.Random(environment.seed + 1)  # differs from the seed of the membership machine
        self._addresses: dict[str, Address] = {}
        self._links: dict[str, Link] = {}
        # Accepted links that are not identified yet, and links to an earlier generation; the oldest first.
        self._unidentified: dict[Link, None] = {}
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._acceptor: Acceptor | None = None
        self.dropped_frames = 0

    def start(self) -> None:
        """Listen and dial; raises OSError if the address can't be listened on."""
        listener = self._machine.listen(self._settings.listen_address)
        self._acceptor = Acceptor(listener, lambda: Link(self), self._tasks)
        self.configure(self._settings.peer_addresses)

    def configure(self, addresses: Mapping[str, Address]) -> None:
        """Apply the addresses of all other members, by name."""
        changed = [name for name in self._addresses if addresses.get(name) != self._addresses[name]]
        for name in changed:
            if (task := self._dialling.pop(name, None)) is not None:
                task.cancel()
            if name not in addresses and (link := self._links.get(name)) is not None:
                link.close("no longer a configured member")
        self._addresses = dict(addresses)
        for name in addresses:
            if self._settings.member_name < name and name not in self._dialling:
                self._dialling[name] = self._tasks.spawn(self._dial(name))

    def send(self, name: str, frame: Frame) -> None:
        """Send a frame to a member; drop it if there is no link, or too many bytes are unsent on the link."""
        link = self._links.get(name)
        self.dropped_frames += link is None or not link.send(frame)

    def announce_incarnation(self) -> None:
        """Send the handshake again on every link, because this member's incarnation has changed."""
        for link in list(self._links.values()):
            link.send(self.handshake())

    @property
    def connected_names(self) -> list[str]:
        """The names of the members to which there is a link, sorted."""
        return sorted(self._links)

    def close(self) -> None:
        """Stop listening and dialling, and close all links."""
        if self._acceptor is not None:
            self._acceptor.close()
        for task in self._dialling.values():
            task.cancel()
        for link in [*self._links.values(), *self._unidentified]:
            link.close()

    async def _dial(self, name: str) -> None:
        """Keep a link to a member: dial while there is no link, or no data arrives on the link."""
        loop, backoff_s = asyncio.get_running_loop(), REDIAL_BACKOFF_S
        while True:
            link = self._links.get(name)
            if link is not None and loop.time() - link.last_data_at < IDLE_TIMEOUT_S:
                backoff_s = REDIAL_BACKOFF_S
                await asyncio.sleep(IDLE_CHECK_S)
            elif await self._connect(name):
                backoff_s = REDIAL_BACKOFF_S
            else:
                await asyncio.sleep(backoff_s * self._random.uniform(*REDIAL_JITTER))
                backoff_s = min(MAX_REDIAL_BACKOFF_S, 2 * backoff_s)

    async def _connect(self, name: str) -> bool:
        """Dial a member once; return whether it has identified itself."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(lambda: Link(self, name), *self._addresses[name])
        except OSError:
            return False
        return await link.ready

    # The methods of LinkOwner.

    def handshake(self) -> Handshake:
        """Return the first frame on each link."""
        return self._observer.handshake()

    def on_connected(self, link: Link) -> None:
        """Record an accepted link, which is not identified yet; if there are too many, close the oldest."""
        self._unidentified[link] = None
        if len(self._unidentified) > MAX_UNIDENTIFIED_LINKS:
            next(iter(self._unidentified)).close(
                f"more than {MAX_UNIDENTIFIED_LINKS} unidentified connections; this is the oldest"
            )

    def check_handshake(self, link: Link, handshake: Handshake) -> None:
        """Reject a process that is not a member of this fleet, or not the member that was dialled."""
        if handshake.version < PROTOCOL_VERSION:
            raise HandshakeError(
                f"expected protocol version {PROTOCOL_VERSION} or later, got version {handshake.version}"
            )
        if handshake.fleet != self._settings.fleet_name:
            raise HandshakeError(
                f"expected fleet {self._settings.fleet_name!r}, got {handshake.fleet[:MAX_NAME_CHARS]!r}"
            )
        if handshake.name not in self._addresses or link.dialled_name not in ("", handshake.name):
            reason = (
                f"dialled {link.dialled_name!r}, got {handshake.name[:MAX_NAME_CHARS]!r}"
                if link.dialled_name
                else f"{handshake.name[:MAX_NAME_CHARS]!r} is not a configured member"
            )
            raise HandshakeError(reason)

    def on_ready(self, link: Link, handshake: Handshake) -> None:
        """Start using an identified link.

        If there are two links to a member, use the link to the later generation. If both are to the same
        generation, use the newer link.
        """
        self._unidentified.pop(link, None)
        old = self._links.get(handshake.name)
        if old is not None and not old.is_closing and _has_later_generation(old, handshake):
            # The process on this link learns of the later generation from the table, and takes a new one.
            link.send(self._observer.membership_table())
            self._unidentified[link] = None
            return
        self._links[handshake.name] = link  # before `old.close()`, so that no loss is reported
        if old is not None and old is not link:
            old.close()
        self._observer.on_handshake(handshake)

    def on_frame(self, handshake: Handshake, frame: AnyFrame) -> None:
        """Pass a frame to the observer."""
        self._observer.on_frame(handshake.name, handshake.incarnation, frame)

    def on_refused(self, link: Link, reason: str) -> None:
        """Log why this process closes a link."""
        self._log_event(FleetEvent.LINK_REFUSED, member=link.peer_name, why=reason)

    def on_lost(self, link: Link) -> None:
        """Remove a closed link; report the loss if the link was the one in use for its member."""
        self._unidentified.pop(link, None)
        handshake = link.peer_handshake
        if handshake is not None and self._links.get(handshake.name) is link:
            del self._links[handshake.name]
            self._observer.on_link_down(handshake.name)


def _has_later_generation(link: Link, handshake: Handshake) -> bool:
    """Return whether the process on a link has a later generation than the sender of a handshake."""
    known = link.peer_handshake
    return known is not None and generation_of(known.incarnation) > generation_of(handshake.incarnation)
