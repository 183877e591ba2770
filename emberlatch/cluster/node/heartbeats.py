"""Handshakes and heartbeats: the reports that processes send about themselves, and their handling."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.configuration import ActiveConfiguration
from emberlatch.cluster.control_plane import REVISION_WITHHELD
from emberlatch.cluster.membership import (
    AgreedState,
    Handshake,
    Heartbeat,
    HeartbeatDecoder,
    HeartbeatNotice,
    MembershipView,
)
from emberlatch.cluster.node.parts import StoreParts
from emberlatch.cluster.node.witness_service import WitnessService
from emberlatch.cluster.rpc import DEFAULT_HEARTBEAT_INTERVAL_S, LocalEndpoint, Peer, RpcConnection, RpcMethod
from emberlatch.cluster.settings import NodeSettings

FULL_RATE_STORES = 6  # with more stores than this, forwarders send heartbeats less often than stores do


class HeartbeatService:
    """Implements `PeerDelegate` for the links.

    `store` is None in a process without a disk, `witness` in one with a disk.
    """

    def __init__(
        self,
        settings: NodeSettings,
        endpoint: LocalEndpoint,
        membership: MembershipView,
        agreed: AgreedState,
        active_configuration: ActiveConfiguration,
        store: StoreParts | None,
        witness: WitnessService | None = None,
    ) -> None:
        self.endpoint = endpoint
        self._node, self._is_store = settings.node, settings.is_store
        self._membership, self._agreed = membership, agreed
        self._active_configuration, self._store, self._witness = active_configuration, store, witness
        self._decoder = HeartbeatDecoder()
        self._encoded: tuple[Heartbeat, object] | None = None  # the last encoded heartbeat, and its payload

    # Reports that this process sends.

    def handshake(self) -> object:
        """The payload of a handshake: heartbeat, membership and the identity of the local disk."""
        update, identity = self._membership.create_update(), self._agreed.identity
        return Handshake(self.current(), update, identity).to_wire()

    def heartbeat_interval_s(self) -> float:
        """Seconds between two heartbeats to one peer.

        A store has to detect quickly that another store is unreachable. A forwarder (a process without a
        disk) detects this from calls without a response. As there are many forwarders, each sends fewer
        heartbeats above FULL_RATE_STORES stores: its interval grows with the number of stores, so that its
        heartbeats per second do not increase.
        """
        if self._is_store:
            return DEFAULT_HEARTBEAT_INTERVAL_S
        return DEFAULT_HEARTBEAT_INTERVAL_S * max(1.0, len(self._membership.stores()) / FULL_RATE_STORES)

    def heartbeat(self) -> object:
        """The payload of a heartbeat."""
        return self._payload(self.current())

    def current(self) -> Heartbeat:
        """The heartbeat that describes the present state of this process.

        Heartbeats are frequent: while nothing has changed, the last encoded heartbeat is returned again.
        """
        store, revision = self._store, self.reported_revision()
        phase, disk, control = None, None, None
        if store is not None:
            phase, disk = store.message_store.phase.value, store.message_store.local_store.disk_state
            control = store.control.report()
        elif self._witness is not None:
            control = self._witness.report()
        digest = self._membership.roster.digest()
        if self._encoded is not None:
            latest = self._encoded[0]
            same_report = latest.revision == revision and latest.control is control
            if (
                same_report
                and latest.roster_digest == digest
                and latest.phase == phase
                and latest.disk is disk
            ):
                return latest
        return Heartbeat(phase, revision, digest, disk, control)

    def _payload(self, heartbeat: Heartbeat) -> object:
        if self._encoded is None or self._encoded[0] is not heartbeat:
            self._encoded = heartbeat, heartbeat.to_wire()
        return self._encoded[1]

    def reported_revision(self) -> int:
        """The configuration revision that forwarders may fetch from this process.

        A store that is isolated from the majority of the voters reports REVISION_WITHHELD.
        """
        if self._store is not None and not self._store.control.has_confirmed_majority():
            return REVISION_WITHHELD
        return self._active_configuration.revision

    def announce(self) -> None:
        """Send a heartbeat now to all reachable stores and to all processes that dialled this one."""
        for peer in self._membership.reachable_stores():
            peer.notify(RpcMethod.HEARTBEAT, self.heartbeat())
        for connection in self._membership.inbound_connections():
            notice = HeartbeatNotice(self._node, self.current())
            connection.notify(RpcMethod.HEARTBEAT_NOTICE, notice.to_wire())

    # Reports that this process receives.

    def on_handshake(self, peer: Peer, payload: object) -> None:
        """Apply a peer's response to a handshake of this process."""
        handshake = Handshake.from_wire(payload)
        self._membership.apply_handshake(handshake, peer)
        self._apply(peer, handshake.heartbeat)

    def on_heartbeat(self, peer: Peer, payload: object) -> None:
        """Apply a peer's response to a heartbeat of this process."""
        self._membership.roster.renew(peer.name, asyncio.get_running_loop().time())
        self._apply(peer, self._decoder.decode(peer.name, payload))

    def on_state_change(self, peer: Peer) -> None:
        """Handle a change of a link's state.

        If the link is up, a store sends its known targets to the peer, unless that is a witness.
        """
        is_store = self._membership.stores().get(peer.name) is peer
        if peer.up and is_store and self._store is not None and self._store.targets.targets_by_id:
            now = asyncio.get_running_loop().time()
            peer.notify(RpcMethod.TARGETS, self._store.targets.reports(now).to_wire())
        self._membership.on_link_state_change(peer)

    def serve_handshake(self, connection: RpcConnection, payload: object) -> object:
        """Apply the handshake of a process that dialled this one, and return the local handshake."""
        self._membership.apply_handshake(Handshake.from_wire(payload), connection)
        if (peer := self._membership.stores().get(connection.name)) is not None:
            peer.on_inbound_handshake()
        return self.handshake()

    def serve_heartbeat(self, connection: RpcConnection, payload: object) -> object:
        """Apply the heartbeat of a process that dialled this one, and return the local heartbeat."""
        self._membership.roster.renew(connection.name, asyncio.get_running_loop().time())
        peer = self._membership.stores().get(connection.name)
        if payload and peer is not None and peer.up:
            self._apply(peer, self._decoder.decode(peer.name, payload))
        return self.heartbeat()

    def serve_notice(self, connection: RpcConnection, payload: object) -> None:
        """Apply a change that a store reports on a connection dialled by this process."""
        notice = HeartbeatNotice.from_wire(payload)
        peer = self._membership.stores().get(notice.node)
        if peer is not None and peer.up:
            self._apply(peer, notice.heartbeat)

    def _apply(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Apply a store's report. Only a forwarder uses the reported revision, to fetch the configuration."""
        if heartbeat.control is None:
            return
        self._membership.apply_heartbeat(peer, heartbeat)
        if self._store is not None:
            self._store.control.on_heartbeat(peer, heartbeat.control)
        else:
            self._active_configuration.on_heartbeat(peer, heartbeat.revision)
