"""Operators' orders about the configuration, settled by agreement on a machine with a disk."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from expression import Result

from emberlatch.cluster.consensus import Configure, ControlState, RevisionStatus
from emberlatch.cluster.consensus.links import Undecided
from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state import text_digest
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.settings import read_configuration

ORDER_S = 0.8  # seconds in which an order is decided, or has no clear answer
READ_S = 0.6  # seconds in which a read is confirmed, or has no clear answer


class Outcome(Enum):
    """What became of an order or a read."""

    DONE = "done"
    INVALID = "invalid"  # it is not a configuration that may be in force
    CONFLICT = "conflict"  # its revision stands for another text
    UNDECIDED = "undecided"  # no clear answer: too few voters were reached


@dataclass(frozen=True, slots=True)
class Settled:
    """An outcome, with the text that was read or the reason."""

    outcome: Outcome
    text: bytes = b""
    reason: str = ""


class ConfigOrders:
    """See the module. `in_contact` says whether a majority of the voters answers us."""

    def __init__(self, service: ControlService, in_contact: Callable[[], bool]) -> None:
        self._service, self._in_contact = service, in_contact

    async def replace(self, raw: bytes) -> Settled:
        """An operator sends a configuration."""
        match read_configuration(raw):
            case Result(tag="error", error=reason):
                log_event(Event.CONFIG_REFUSED, reason)
                return Settled(Outcome.INVALID, reason=reason)
            case Result(ok=config):
                revision = config.revision
        if not self._in_contact():
            return Settled(Outcome.UNDECIDED, reason="cut off from most of the voters")
        try:
            state = await self._service.submit(Configure(revision, raw), ORDER_S)
        except Undecided as error:
            return Settled(Outcome.UNDECIDED, reason=str(error))
        return self._judged(state, revision, raw)

    @staticmethod
    def _judged(state: ControlState, revision: int, raw: bytes) -> Settled:
        match state.status(revision, text_digest(raw)):
            case RevisionStatus.COMMITTED:
                log_event(Event.CONFIG_COMMITTED, f"revision={revision}")
                return Settled(Outcome.DONE)
            case RevisionStatus.CONFLICT:
                digest = state.by_revision[revision]
                log_event(Event.CONFIG_CONFLICT, f"revision={revision} digest={digest}")
                return Settled(
                    Outcome.CONFLICT,
                    reason=f"revision {revision} stands for another text, digest {digest}; "
                    f"in force: revision {state.revision}, digest {state.digest}",
                )
            case _:
                return Settled(Outcome.UNDECIDED, reason="too old to tell what its revision stands for")

    async def retrieve(self) -> Settled:
        """The newest configuration; an empty text if there is none."""
        if not self._in_contact():
            return Settled(Outcome.UNDECIDED, reason="cut off from most of the voters")
        try:
            state = await self._service.confirm(READ_S)
        except Undecided as error:
            return Settled(Outcome.UNDECIDED, reason=str(error))
        return Settled(Outcome.DONE, state.text)
