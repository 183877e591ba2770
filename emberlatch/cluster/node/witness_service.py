"""The vote of a process without a disk: serves requests to a voter, and reports unreachable stores."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from emberlatch.cluster.consensus.state import ControlState
from emberlatch.cluster.consensus.witness import Witness
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.membership import AgreedState, ControlReport, MembershipView


class WitnessService:
    """A witness, connected to the membership of its process."""

    def __init__(self, node: str, membership: MembershipView, agreed: AgreedState) -> None:
        self._membership = membership
        self._witness = Witness(node)
        self._created_at = asyncio.get_running_loop().time()
        self._report: ControlReport | None = None
        self._shutting_down = False
        agreed.update(ControlState(), self._witness.voter.identity)

    def serve(self, payload: object) -> list[object]:
        """Handle an encoded request of a voter; returns the encoded reply.

        Raises MessageDecodeError if the payload is no request.
        """
        voted = self._witness.votes
        reply = self._witness.serve(payload)
        if self._witness.votes is not voted:
            event = Event.WITNESS_ADMITTED if self._witness.votes else Event.WITNESS_REPLACED
            log_event(event, self._witness.voter.node, version=self._witness.state.version)
        return reply

    def begin_shutdown(self) -> None:
        """Report from now on that another process should become the witness; this one votes until then."""
        self._shutting_down = True

    def report(self) -> ControlReport | None:
        """Return the report that each heartbeat contains while this process votes; None if it does not.

        The previous report is returned while its contents are unchanged.
        """
        if not self._witness.votes:
            return None
        state = self._witness.state
        report = ControlReport(
            state.version,
            state.epoch,
            state.cluster,
            self._witness.voter.identity,
            votes=not self._shutting_down,
            unreachable_s=self._unreachable_s(state),
        )
        if report != self._report:
            self._report = report
        return self._report

    def _unreachable_s(self, state: ControlState) -> Mapping[str, float]:
        """The stores that this process can't reach, each with the seconds since the last contact.

        A voter of which it knows no address has had no contact with any process since this one started.
        """
        unreachable = self._membership.unreachable()
        stores = self._membership.stores()
        unknown_s = asyncio.get_running_loop().time() - self._created_at
        for voter in state.voters:
            if not voter.is_witness and voter.node not in stores:
                unreachable[voter.node] = unknown_s
        return unreachable
