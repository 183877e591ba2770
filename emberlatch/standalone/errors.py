"""Errors of the standalone gateway.

GatewayError            the gateway can't run; names a setting and the reason
  StartError            the gateway can't start
  StorageFailedError    the gateway must stop: the disk can't provide the configured durability
"""

from __future__ import annotations


class GatewayError(Exception):
    """The gateway can't run; `setting` is the configuration key that the error is about."""

    def __init__(self, setting: str, reason: object) -> None:
        super().__init__(f"{setting}: {reason}")
        self.setting, self.reason = setting, str(reason)


class StartError(GatewayError):
    """The gateway can't start."""


class StorageFailedError(GatewayError):
    """A sync of the state folder failed. Confirmed data is on disk, but later writes may be lost."""

    def __init__(self, error: OSError) -> None:
        super().__init__("state", f"cannot sync to disk: {error}")
