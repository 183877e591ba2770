"""Exceptions for input that does not follow the protocol."""

from __future__ import annotations


class WireError(ValueError):
    """Raised for input that does not follow the simulator's protocol; the text says where and why."""


class SettingsError(WireError):
    """Raised for invalid JSON settings of an instance; the text names the key."""

    def __init__(self, cause: str) -> None:
        super().__init__(f"settings: {cause}")
