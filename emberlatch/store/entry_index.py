"""An index of the journal: its entries, and the segment that holds the body of each."""

from __future__ import annotations

from emberlatch.store.entries import Entry

STATE_BYTES = 1536  # disk space reserved for the records of a message's attempts and completion


class EntryIndex:
    """The entries of the journal that are not removed.

    Attributes:
        live_bytes: disk space that is reserved for these entries.
    """

    def __init__(self) -> None:
        self.live_bytes = 0
        self._entries: dict[int, Entry] = {}  # by ref
        self._segments: dict[int, int] = {}  # ref -> number of the segment that holds the body

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> list[Entry]:
        """Return all entries, in the order in which they were added."""
        return list(self._entries.values())

    def get(self, ref: int) -> Entry | None:
        """Return the entry with this ref, or None if there is none."""
        return self._entries.get(ref)

    def put(self, entry: Entry, segment: int) -> None:
        """Add or replace an entry whose body is in the given segment."""
        self.live_bytes += reserved_bytes(entry)
        if (replaced := self._entries.get(entry.ref)) is not None:
            self.live_bytes -= reserved_bytes(replaced)
        self._entries[entry.ref], self._segments[entry.ref] = entry, segment

    def move(self, entry: Entry, segment: int) -> None:
        """Record that the body of an entry was copied to the given segment."""
        self._segments[entry.ref] = segment

    def remove(self, ref: int) -> bool:
        """Remove an entry; return whether the index contained it."""
        entry = self._entries.pop(ref, None)
        if entry is None:
            return False
        del self._segments[ref]
        self.live_bytes -= reserved_bytes(entry)
        return True

    def in_segment(self, segment: int) -> list[Entry]:
        """Return the entries whose body is in the given segment."""
        return [self._entries[ref] for ref, number in self._segments.items() if number == segment]

    def terms(self) -> set[str]:
        """Return the set of the terms of all entries."""
        return {entry.terms for entry in self._entries.values()}


def reserved_bytes(entry: Entry) -> int:
    """Return the disk space that is reserved for an entry."""
    return len(entry.body) + STATE_BYTES
