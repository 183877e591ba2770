"""The links between this process and the others: those that it dials, and those that the others dial."""

from __future__ import annotations

import asyncio

from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.member import Member
from emberlatch.cluster.membership.roster import Roster
from emberlatch.cluster.rpc import (
    Peer,
    PeerDelegate,
    RequestHandler,
    RpcConnection,
    RpcServer,
    TrafficCounters,
)
from emberlatch.cluster.rpc.peer import SEED_PREFIX
from emberlatch.cluster.settings import NodeSettings
from emberlatch.engine import Tasks

SEED_DIAL_PERIOD_S = 10.0  # seconds after the start during which all seeds are dialled

Address = tuple[str, int]


class PeerLinks:
    """A link to each store of the roster and each witness, and to the seeds until enough stores are known."""

    def __init__(self, settings: NodeSettings, roster: Roster, tasks: Tasks, agreed: AgreedState) -> None:
        self.counters = TrafficCounters()
        self.peers: dict[Address, Peer] = {}
        self._settings, self._roster, self._tasks, self._agreed = settings, roster, tasks, agreed
        self._witnesses: dict[str, Peer] = {}
        self._stores: dict[str, Peer] | None = None  # cache of `stores()`; None if it must be computed
        self._created_at = asyncio.get_running_loop().time()
        self._server_delegate_handler: tuple[RpcServer, PeerDelegate, RequestHandler] | None = None

    def open(self, rpc_server: RpcServer, delegate: PeerDelegate, handler: RequestHandler) -> None:
        """Start to dial.

        Args:
            rpc_server: Owns the connections that other processes dialled to this one.
            delegate: Supplies the heartbeats of this process and receives those of the others.
            handler: Serves the requests that arrive on the links that this process dials.
        """
        self._server_delegate_handler = rpc_server, delegate, handler
        self.dial()

    def close(self) -> None:
        """Close all links."""
        if self._server_delegate_handler is not None:
            self._server_delegate_handler[0].close()
        for peer in list(self.peers.values()):
            peer.close()

    def inbound_connections(self) -> list[RpcConnection]:
        """The connections that other processes dialled to this one."""
        return (
            list(self._server_delegate_handler[0].connections)
            if self._server_delegate_handler is not None
            else []
        )

    def stores(self) -> dict[str, Peer]:
        """The links to the other stores, by node, whether they are up or not."""
        if self._stores is None:
            links = ((m.node, self.peers.get((m.ip, m.port))) for m in self._roster.stores())
            self._stores = {n: peer for n, peer in links if peer is not None and n != self._settings.node}
        return self._stores

    def witnesses(self) -> dict[str, Peer]:
        """The links to the voters without a disk, by node, whether they are up or not."""
        return self._witnesses

    def missing_witnesses(self) -> set[str]:
        """The voters without a disk to which this process has no link yet."""
        return {voter.node for voter in self._agreed.control_state.witnesses} - set(self._witnesses)

    def voter(self, node: str) -> Peer | None:
        """The link to a store or a witness; None if there is none."""
        return self.stores().get(node) or self._witnesses.get(node)

    def reachable_stores(self) -> list[Peer]:
        """The links to stores that are up."""
        return [peer for peer in self.stores().values() if peer.up]

    def dial(self) -> None:
        """Keep a link to each store and witness and, while needed, to the seeds; close all other links."""
        if self._server_delegate_handler is None:
            return
        addresses = self._addresses_to_dial()
        for address, name in addresses.items():
            peer = self.peers.get(address)
            if peer is None:
                self.peers[address] = self._create_peer(name, address)
            elif not name.startswith(SEED_PREFIX):
                peer.name = name
        for address in [a for a in self.peers if a not in addresses]:
            self.peers.pop(address).close()
        self._stores = None
        self._witnesses = {m.node: self.peers[m.ip, m.port] for m in self._witness_members()}

    def _create_peer(self, name: str, address: Address) -> Peer:
        assert self._server_delegate_handler is not None
        _, delegate, handler = self._server_delegate_handler
        return Peer(name, address, handler, self._tasks, delegate, self.counters)

    def _addresses_to_dial(self) -> dict[Address, str]:
        """The addresses to dial, each with the name of the peer that is expected there."""
        settings = self._settings
        addresses = {(m.ip, m.port): m.node for m in self._roster.stores() if m.node != settings.node}
        known_stores = len(addresses)
        addresses |= {(m.ip, m.port): m.node for m in self._witness_members()}
        if self._needs_seeds(known_stores):
            for host, _ in settings.seeds:
                if host != settings.ip:
                    addresses.setdefault((host, settings.inner_port), f"{SEED_PREFIX}{host}")
        return addresses

    def _witness_members(self) -> list[Member]:
        """The witnesses that this process knows; only a store has links to them."""
        if not self._settings.is_store:
            return []
        known = (self._roster.members.get(v.node) for v in self._agreed.control_state.witnesses)
        return [member for member in known if member is not None and not member.store]

    def _needs_seeds(self, known_stores: int) -> bool:
        """Whether to dial the seeds.

        They are dialled for `SEED_DIAL_PERIOD_S` even if one has answered, since the first seed to answer may
        know only some of the stores.
        """
        if asyncio.get_running_loop().time() - self._created_at < SEED_DIAL_PERIOD_S:
            return True
        required_stores = 1 if self._settings.is_store else 2
        return known_stores < required_stores or not any(peer.up for peer in self.peers.values())
