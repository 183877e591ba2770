"""The log of the final outcomes of messages, for installations without a URL to report outcomes to.

An outcome is appended to a file (see `outcome_file`), and confirmed to the engine after it is stored. The
newest outcomes are kept in memory, where clients can look them up by message id.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from enum import StrEnum
from pathlib import Path

from emberlatch.engine import CompletionNotice
from emberlatch.standalone.outcome_file import OutcomeFile, StoredOutcome, encode
from emberlatch.store import GroupSync, Offload

log = logging.getLogger(__name__)

WRITE_RETRY_BACKOFF_S = 0.5


class MessageState(StrEnum):
    """The state of a message. The values stand in the users' documentation; all but IN_FLIGHT are final."""

    IN_FLIGHT = "held"
    DELIVERED = "delivered"
    REFUSED = "refused"
    FAILED = "failed"


STATE_BY_RESULT = {
    "delivered": MessageState.DELIVERED,
    "bounced": MessageState.REFUSED,
    "dead": MessageState.FAILED,
}
"""The final state for each `result` of a completion notice."""


def _ignore_failure(error: OSError) -> None:
    pass


class OutcomeLog:
    """Stores outcomes, confirms them to the engine, and keeps the newest `max_in_memory` for look-ups."""

    notifies_deliveries = True

    def __init__(
        self,
        folder: Path,
        limit_bytes: int,
        max_in_memory: int,
        confirm: Callable[[list[int]], None],
        offload: Offload | None = None,
        on_storage_failure: Callable[[OSError], None] = _ignore_failure,
    ) -> None:
        """`limit_bytes` limits the size of both files of the log together.

        Without `offload`, an outcome is confirmed and can be found after its line is written. With `offload`,
        it is confirmed and can be found after its line is synced to disk. `on_storage_failure` is called if a
        sync fails.
        """
        self._file = OutcomeFile(folder, limit_bytes)
        self._sync = GroupSync(self._file, offload, on_storage_failure) if offload is not None else None
        self._max_in_memory, self._confirm = max_in_memory, confirm
        self._unwritten: dict[int, StoredOutcome] = {}  # by ref, the gateway's number of the message
        self._unsynced: dict[int, StoredOutcome] = {}
        # Refs that an earlier process wrote. The engine may add them again; they are not written twice.
        self._written_before: set[int] = set()
        self._by_message: dict[str, StoredOutcome] = {}  # by message id, the oldest first
        self._write_scheduled = False
        for outcome in self._file.read():
            self._remember(outcome)
            self._written_before.add(outcome["ref"])

    @property
    def pending(self) -> bool:
        """Whether any outcome is not written or not synced yet."""
        return bool(self._unwritten or self._unsynced)

    def find(self, message: str) -> StoredOutcome | None:
        """Return the outcome of the message with that id, or None if it is not in memory."""
        return self._by_message.get(message)

    def add(self, ref: int, notice: CompletionNotice) -> None:
        """Schedule the write of an outcome, together with the others of this event loop iteration."""
        outcome: StoredOutcome = {
            "ref": ref,
            "id": notice["ref"],
            "state": STATE_BY_RESULT[notice["result"]],
            "at": round(time.time(), 3),
        }
        if wait_ms := notice.get("wait_ms"):
            outcome["wait_ms"] = wait_ms
        self._unwritten[ref] = outcome
        self._schedule_write(0.0)

    def _schedule_write(self, delay_s: float) -> None:
        if not self._write_scheduled:
            self._write_scheduled = True
            asyncio.get_running_loop().call_later(delay_s, self._write)

    def _write(self) -> None:
        self._write_scheduled, outcomes = False, self._unwritten
        new = [outcome for ref, outcome in outcomes.items() if ref not in self._written_before]
        try:
            self._file.append(b"".join(map(encode, new)))
        except OSError as error:
            # The journal still has the unwritten outcomes; a retry writes them once there is space again.
            log.error("outcome log cannot be written, retrying in %s s: %s", WRITE_RETRY_BACKOFF_S, error)
            self._schedule_write(WRITE_RETRY_BACKOFF_S)
            return
        self._unwritten = {}
        if self._sync is None:
            self._complete(outcomes)
        else:
            self._unsynced |= outcomes
            self._sync.when_durable(lambda: self._complete(outcomes))

    def _complete(self, outcomes: Mapping[int, StoredOutcome]) -> None:
        """Confirm outcomes that are written and, with `offload`, synced; make them available to `find`."""
        for ref, outcome in outcomes.items():
            self._unsynced.pop(ref, None)
            if ref not in self._written_before:
                self._remember(outcome)
        self._written_before.difference_update(outcomes)
        self._confirm(list(outcomes))

    def _remember(self, outcome: StoredOutcome) -> None:
        self._by_message.pop(outcome["id"], None)
        self._by_message[outcome["id"]] = outcome
        while len(self._by_message) > self._max_in_memory:
            del self._by_message[next(iter(self._by_message))]
