"""Reads and validates the settings of a process and the operator's configuration."""

from emberlatch.cluster.settings.configuration import (
    Configuration,
    ConfigurationError,
    Route,
    Service,
    read_configuration,
)
from emberlatch.cluster.settings.node_settings import NodeSettings, SettingsError, read_settings

__all__ = [
    "Configuration",
    "ConfigurationError",
    "NodeSettings",
    "Route",
    "Service",
    "SettingsError",
    "read_configuration",
    "read_settings",
]
