"""A stub of the store for tests of dispatchers and carriers."""

from __future__ import annotations

from emberlatch.cluster.message_store import MessageState, Record


class RecordingOwner:
    """A `DeliveryOwner` that owns every message, may always send, and records final states."""

    def __init__(self) -> None:
        self.finished: list[MessageState] = []

    def owns(self, record: Record) -> bool:
        return True

    def finish(self, record: Record, state: MessageState, seal: str) -> None:
        self.finished.append(state)

    def on_wrong_instance(self, target_id: str) -> None:
        pass

    def may_start_calls(self) -> bool:
        return True

    def quota_divisor(self, service: str) -> float:
        return 1.0
