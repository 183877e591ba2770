"""Handles, in a store, the operators' calls that replace and retrieve the agreed configuration."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from emberlatch.cluster.consensus.service import ControlService
from emberlatch.cluster.consensus.state_client import CommitOutcome, ControlStateClient
from emberlatch.cluster.events import Event, log_event
from emberlatch.cluster.settings import ConfigurationError, read_configuration

REPLACE_TIMEOUT_S = 0.8  # seconds for a replacement to be decided, after which its outcome is uncertain
RETRIEVE_TIMEOUT_S = 0.6  # seconds for a read to be confirmed, after which the call fails
NO_MAJORITY_REASON = "cut off from most of the voters"


class Outcome(Enum):
    """The outcome of a call on the configuration."""

    DONE = "done"
    INVALID = "invalid"  # The body is not a valid configuration.
    CONFLICT = "conflict"  # Another configuration is committed under the same revision.
    UNDECIDED = "undecided"  # Too few voters answered, or the revision is older than the stored history.


@dataclass(frozen=True, slots=True)
class ConfigResult:
    """The outcome of a call, with the configuration that was read or the reason for the failure."""

    outcome: Outcome
    text: bytes = b""
    reason: str = ""


class MajorityContact(Protocol):
    """Determines whether a majority of the voters can be reached."""

    def has_confirmed_majority(self) -> bool:
        """Whether a majority of the voters answered a recent heartbeat."""


class ConfigService:
    """Replaces and retrieves the agreed configuration; fails at once without contact with a majority."""

    def __init__(self, service: ControlService, contact: MajorityContact) -> None:
        self._service, self._contact = service, contact
        self._changes = ControlStateClient(service, REPLACE_TIMEOUT_S)
        self._reads = ControlStateClient(service, RETRIEVE_TIMEOUT_S)

    async def replace(self, raw: bytes) -> ConfigResult:
        """Commit this configuration under its revision; the highest committed revision becomes active."""
        try:
            revision = read_configuration(raw).revision
        except ConfigurationError as error:
            log_event(Event.CONFIG_REJECTED, str(error))
            return ConfigResult(Outcome.INVALID, reason=str(error))
        if not self._contact.has_confirmed_majority():
            return ConfigResult(Outcome.UNDECIDED, reason=NO_MAJORITY_REASON)
        match await self._changes.commit_configuration(revision, raw):
            case CommitOutcome.COMMITTED:
                log_event(Event.CONFIG_COMMITTED, revision=revision)
                return ConfigResult(Outcome.DONE)
            case CommitOutcome.CONFLICT:
                return self._conflict(revision)
            case CommitOutcome.FORGOTTEN:
                return ConfigResult(Outcome.UNDECIDED, reason="too old to tell what its revision stands for")
            case CommitOutcome.UNDECIDED:
                return ConfigResult(Outcome.UNDECIDED, reason="too few voters answer")

    def _conflict(self, revision: int) -> ConfigResult:
        state = self._service.state
        digest = state.by_revision.get(revision, "")
        log_event(Event.CONFIG_CONFLICT, revision=revision, digest=digest)
        reason = (
            f"revision {revision} stands for another text, digest {digest}; "
            f"in force: revision {state.revision}, digest {state.digest}"
        )
        return ConfigResult(Outcome.CONFLICT, reason=reason)

    async def retrieve(self) -> ConfigResult:
        """Return the agreed configuration, confirmed by a majority; an empty text if there is none yet."""
        if not self._contact.has_confirmed_majority():
            return ConfigResult(Outcome.UNDECIDED, reason=NO_MAJORITY_REASON)
        state = await self._reads.read()
        if state is None:
            return ConfigResult(Outcome.UNDECIDED, reason="too few voters answer")
        return ConfigResult(Outcome.DONE, state.text)
