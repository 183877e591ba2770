"""The view that one incarnation of a simulated machine has of its peers, and its transport to them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from emberlatch.cluster.consensus.errors import UnreachableError
from emberlatch.cluster.consensus.maintenance import MemberReport
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state import Voter
from emberlatch.cluster.membership.unreachability import UnreachabilityReports
from emberlatch.simulation.control_network import (
    ControlNetwork,
    DriftingLoop,
    Heartbeat,
    ReplyFrame,
    RequestFrame,
)

REACHABLE_S = 1.5  # seconds after a heartbeat for which a machine counts as reachable
UNREACHABLE_AFTER_S = 1.0  # seconds without a heartbeat after which a machine is reported as unreachable
REGION = "region"


@dataclass(frozen=True, slots=True)
class MachineFacts:
    """The facts that do not change during one incarnation of a machine."""

    name: str
    incarnation: int
    address: str
    zone: str
    founding_voters: tuple[Voter, ...]


@dataclass(frozen=True, slots=True)
class _Peer:
    heartbeat: Heartbeat
    received_at: float


class PeerTable:
    """The newest heartbeat of each peer, and the time when it was received."""

    def __init__(self, facts: MachineFacts, loop: DriftingLoop) -> None:
        self._loop, self._started_at = loop, loop.time()
        self._peers: dict[str, _Peer] = {}
        self._nodes_by_address = {facts.address: facts.name}

    def now(self) -> float:
        """The time of the loop's clock in seconds."""
        return self._loop.time()

    def update(self, heartbeat: Heartbeat) -> bool:
        """Store a heartbeat; False if a later incarnation of its sender is known."""
        known = self._peers.get(heartbeat.sender)
        if known is not None and known.heartbeat.incarnation > heartbeat.incarnation:
            return False
        self._peers[heartbeat.sender] = _Peer(heartbeat, self.now())
        self._nodes_by_address[heartbeat.address] = heartbeat.sender
        return True

    def heartbeats(self) -> list[Heartbeat]:
        """The newest heartbeat of each peer."""
        return [peer.heartbeat for peer in self._peers.values()]

    def heartbeat_of(self, node: str) -> Heartbeat | None:
        """The newest heartbeat of a peer; None if there was none."""
        peer = self._peers.get(node)
        return None if peer is None else peer.heartbeat

    def node_at(self, address: str) -> str | None:
        """The node at an address; None until it has sent a heartbeat."""
        return self._nodes_by_address.get(address)

    def reachable_nodes(self) -> list[str]:
        """The peers whose last heartbeat is recent."""
        now = self.now()
        return [node for node, peer in self._peers.items() if now - peer.received_at < REACHABLE_S]

    def seconds_unreachable(self, expected: Iterable[str]) -> dict[str, float]:
        """Seconds since the last heartbeat of each unreachable peer; since the start if there was none.

        `expected` are nodes that count as peers even if they have sent no heartbeat.
        """
        now = self.now()
        unreachable = {node: now - peer.received_at for node, peer in self._peers.items()}
        for node in expected:
            unreachable.setdefault(node, now - self._started_at)
        return {node: seconds for node, seconds in unreachable.items() if seconds > UNREACHABLE_AFTER_S}


class PeerTransport:
    """`Transport` of the control register: requests to peers over the simulated network."""

    def __init__(
        self, facts: MachineFacts, local_voter: Voter, network: ControlNetwork, table: PeerTable
    ) -> None:
        self._facts, self._local_voter, self._network, self._table = facts, local_voter, network, table
        self._pending: dict[int, asyncio.Future[list[object]]] = {}
        self._last_number = 0

    def reachable_nodes(self) -> Iterable[str]:
        """The peers whose last heartbeat is recent."""
        return self._table.reachable_nodes()

    def node_of(self, voter: Voter) -> str | None:
        """The machine of a voter; a seed's address is known once its machine has sent a heartbeat."""
        return voter.node if voter.identity else self._table.node_at(voter.node)

    def voters_with_replaced_disk(self, voters: Iterable[Voter]) -> frozenset[Voter]:
        """The voters whose machine reports another identity, because its disk was lost."""
        return frozenset(voter for voter in voters if voter.identity and self._has_other_disk(voter))

    def _has_other_disk(self, voter: Voter) -> bool:
        if voter.node == self._facts.name:
            return self._local_voter.identity != voter.identity
        heartbeat = self._table.heartbeat_of(voter.node)
        return heartbeat is not None and heartbeat.identity != voter.identity

    async def call(self, node: str, request: list[object], timeout: float) -> list[object]:
        """Send a request to a machine; UnreachableError if there is no reply in `timeout` seconds."""
        loop = asyncio.get_running_loop()
        self._last_number += 1
        number = self._last_number
        reply: asyncio.Future[list[object]] = loop.create_future()
        self._pending[number] = reply
        self._network.send(node, RequestFrame(self._facts.name, self._facts.incarnation, number, request))
        timer = loop.call_later(timeout, self._expire, number)
        try:
            return await reply
        finally:
            timer.cancel()
            self._pending.pop(number, None)

    def _expire(self, number: int) -> None:
        reply = self._pending.get(number)
        if reply is not None and not reply.done():
            reply.set_exception(UnreachableError(f"no reply to request {number} in time"))

    def receive_reply(self, frame: ReplyFrame) -> None:
        """Complete the call that a reply answers; drop late and duplicate replies.

        A reply to another incarnation is dropped too.
        """
        if frame.incarnation != self._facts.incarnation:
            return
        reply = self._pending.get(frame.number)
        if reply is not None and not reply.done():
            reply.set_result(frame.reply)


class PeerView:
    """The `MembershipView` of the maintenance loop, from the heartbeats of the peers."""

    def __init__(self, facts: MachineFacts, service: ControlService, table: PeerTable) -> None:
        self._facts, self._service, self._table = facts, service, table
        self._reports = UnreachabilityReports()

    def heartbeat(self) -> Heartbeat:
        """The heartbeat that this machine sends to all others now."""
        record = self._service.register.record
        assert record is not None
        facts = self._facts
        return Heartbeat(
            facts.name,
            facts.incarnation,
            record.voter.identity,
            facts.address,
            facts.zone,
            record.state.version,
            record.state.cluster,
            self._table.seconds_unreachable(self._other_voters()),
        )

    def _other_voters(self) -> list[str]:
        voters = self._service.state.voters
        return [voter.node for voter in voters if voter.identity and voter.node != self._facts.name]

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a peer's heartbeat; one of an earlier incarnation is ignored."""
        if self._table.update(heartbeat):
            self._reports.report(heartbeat.sender, heartbeat.unreachable_s, self.now())

    def now(self) -> float:
        """The time of the loop's clock in seconds."""
        return self._table.now()

    def founding_voters(self) -> tuple[Voter, ...]:
        """The seeds, which are the voters until the group is founded."""
        return self._facts.founding_voters

    def reports(self) -> Mapping[str, MemberReport]:
        """A report on every machine that has sent a heartbeat and on every voter, by node name."""
        own, heartbeats = self.heartbeat(), self._table.heartbeats()
        self._reports.report(self._facts.name, own.unreachable_s, self.now())
        unreachable_s = self._seconds_unreachable_by_majority([own, *heartbeats])
        reachable = frozenset(self._table.reachable_nodes())
        reports = {own.sender: _report(own, True, unreachable_s)}
        for heartbeat in heartbeats:
            reports[heartbeat.sender] = _report(heartbeat, heartbeat.sender in reachable, unreachable_s)
        for voter in self._service.state.voters:
            if voter.identity and voter.node not in reports:
                seconds = unreachable_s.get(voter.node, 0.0)
                reports[voter.node] = MemberReport(voter, "", REGION, True, False, seconds, 0)
        return reports

    def _seconds_unreachable_by_majority(self, heartbeats: Iterable[Heartbeat]) -> dict[str, float]:
        """For each machine reported as unreachable, the seconds for which most voters did not reach it."""
        now = self.now()
        voters = self._service.state.voters
        nodes = {node for heartbeat in heartbeats for node in heartbeat.unreachable_s}
        return {node: self._reports.unreachable_s(node, voters, now) for node in nodes}


def _report(heartbeat: Heartbeat, reachable: bool, unreachable_s: Mapping[str, float]) -> MemberReport:
    node = heartbeat.sender
    voter = Voter(node, heartbeat.identity)
    return MemberReport(
        voter,
        heartbeat.zone,
        REGION,
        True,
        reachable,
        unreachable_s.get(node, 0.0),
        heartbeat.version,
        heartbeat.cluster,
    )
