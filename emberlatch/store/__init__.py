"""What is owed, kept in a folder that outlasts the process."""

from emberlatch.store.files import Files, Folder
from emberlatch.store.journal import MAX_BODY, Doubt, Entry, Store
from emberlatch.store.sync import GroupSync, Offload

__all__ = ["MAX_BODY", "Doubt", "Entry", "Files", "Folder", "GroupSync", "Offload", "Store"]
