"""The settings of a process and the operator's configuration, read and checked."""

from huts.waymark.boot import Boot, SettingsError, read_boot
from huts.waymark.configuration import Configuration, Fault, Route, Service, read_configuration

__all__ = [
    "Boot", "Configuration", "Fault", "Route", "Service", "SettingsError", "read_boot", "read_configuration",
]  # fmt: skip
