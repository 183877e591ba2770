"""The exception hierarchy of the store. Errors of the file system are raised unchanged, as OSError."""

from __future__ import annotations


class StoreError(Exception):
    """Base class: stored data cannot be read, or a log cannot be created."""


class LimitTooSmallError(StoreError, ValueError):
    """The disk space limit of a log is less than the log needs."""


class RecordDecodeError(StoreError, ValueError):
    """The checksum of a record is correct, but its content is not a valid record."""
