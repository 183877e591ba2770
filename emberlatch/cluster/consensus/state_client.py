"""Access to the agreed control state for the rest of the process.

Each result is confirmed by a majority of the voters. Without a majority the outcome is unknown, and the
result is `UNDECIDED`, None or False.
"""

from __future__ import annotations

from enum import Enum

from emberlatch.cluster.consensus.commands import Configure, MarkDecommission
from emberlatch.cluster.consensus.errors import UndecidedError
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state import (
    ControlState,
    DecommissionMark,
    RevisionStatus,
    text_digest,
)


class CommitOutcome(Enum):
    """The outcome of committing a configuration."""

    COMMITTED = "committed"  # its revision is bound to this text permanently
    CONFLICT = "conflict"  # its revision is bound to another text permanently
    FORGOTTEN = "forgotten"  # its revision is older than the history
    UNDECIDED = "undecided"  # not known; the configuration may be committed already or later


_OUTCOMES = {
    RevisionStatus.COMMITTED: CommitOutcome.COMMITTED,
    RevisionStatus.CONFLICT: CommitOutcome.CONFLICT,
    RevisionStatus.FORGOTTEN: CommitOutcome.FORGOTTEN,
    RevisionStatus.ABSENT: CommitOutcome.UNDECIDED,
}


class ControlStateClient:
    """Access to the agreed control state from one process. `timeout` is for one request, in seconds."""

    def __init__(self, service: ControlService, timeout: float) -> None:
        self._service, self._timeout = service, timeout

    async def commit_configuration(self, revision: int, text: bytes) -> CommitOutcome:
        """Commit a valid configuration under its revision.

        Nothing is submitted before the cluster is founded. If the seeds chose the configuration as the first
        command, the cluster could no longer be founded, because the founding applies only to version 0.
        """
        if self._service.state.version == 0:
            return CommitOutcome.UNDECIDED
        try:
            state = await self._service.commit(Configure(revision, text), self._timeout)
        except UndecidedError:
            return CommitOutcome.UNDECIDED
        return _OUTCOMES[state.revision_status(revision, text_digest(text))]

    async def read(self) -> ControlState | None:
        """The current state; None if no majority confirms one in time."""
        try:
            return await self._service.read(self._timeout)
        except UndecidedError:
            return None

    async def advance_decommission(self, node: str, mark: DecommissionMark) -> bool:
        """Advance the decommission of a node; returns whether it is known to have reached `mark`."""
        if self._service.state.version == 0:
            return False
        try:
            state = await self._service.commit(MarkDecommission(node, mark), self._timeout)
        except UndecidedError:
            return False
        reached = state.decommission_mark(node)
        return reached is not None and reached >= mark

    async def is_decommissioned(self, node: str) -> bool:
        """Whether a machine and its disk may be removed: it is empty and has no vote, in a durable state.

        Also False if no majority confirms that in time.
        """
        try:
            state = await self._service.read_durable(self._timeout)
        except UndecidedError:
            return False
        return state.decommission_mark(node) is DecommissionMark.EMPTY and state.voter(node) is None
