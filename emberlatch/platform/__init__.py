"""A forwarder on the platform: its configuration (EDGE_*), its parts and its handover."""

from emberlatch.platform.config import ConfigError, PlatformConfig, read_config
from emberlatch.platform.forwarder import PlatformForwarder

__all__ = ["ConfigError", "PlatformConfig", "PlatformForwarder", "read_config"]
