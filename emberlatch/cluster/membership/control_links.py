"""Sends the requests of the replicated register to other machines, over the links of this process."""

from __future__ import annotations

from collections.abc import Iterable

from emberlatch.cluster.consensus.errors import UnreachableError
from emberlatch.cluster.consensus.state import Voter
from emberlatch.cluster.membership.agreed_state import AgreedState
from emberlatch.cluster.membership.view import MembershipView
from emberlatch.cluster.rpc import CallFailedError, RpcMethod


class ControlLinks:
    """Implements the interface through which the replicated register calls the other machines."""

    def __init__(self, view: MembershipView, agreed: AgreedState) -> None:
        self._view, self._agreed = view, agreed

    def reachable_nodes(self) -> Iterable[str]:
        """The stores and witnesses whose link is up."""
        return [peer.name for peer in (*self._view.reachable_stores(), *self._view.reachable_witnesses())]

    def node_of(self, voter: Voter) -> str | None:
        """The machine of a voter. Before the cluster is founded, a voter is known only by its address."""
        return voter.node if voter.identity else self._view.node_at(voter.node)

    def voters_with_replaced_disk(self, voters: Iterable[Voter]) -> frozenset[Voter]:
        """The voters whose machine has itself reported that it now has a disk with another identity."""
        return frozenset(voter for voter in voters if voter.identity and self._has_another_disk(voter))

    def _has_another_disk(self, voter: Voter) -> bool:
        if voter.node == self._view.me.node:
            return self._agreed.identity != voter.identity
        return self._view.reported.identities.get(voter.node, voter.identity) != voter.identity

    async def call(self, node: str, request: list[object], timeout: float) -> object:
        """Send a request to a machine. Raises UnreachableError if no answer arrives in `timeout` seconds."""
        peer = self._view.voter_link(node)
        if peer is None or not peer.up:
            raise UnreachableError(f"{node}: no link")
        try:
            return await peer.call(RpcMethod.CONTROL_STATE, request, timeout)
        except CallFailedError as error:
            raise UnreachableError(str(error)) from error
