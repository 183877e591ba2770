"""What is owed, kept in a folder that outlasts the process."""

from emberlatch.store.files import Files, Folder
from emberlatch.store.journal import MAX_BODY, Doubt, Entry, Store

__all__ = ["MAX_BODY", "Doubt", "Entry", "Files", "Folder", "Store"]
