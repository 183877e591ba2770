"""The operators' configuration: the active one (`active`), and the calls that change it (`service`)."""

from emberlatch.cluster.configuration.active import ActiveConfiguration
from emberlatch.cluster.configuration.service import ConfigResult, ConfigService, Outcome

__all__ = ["ActiveConfiguration", "ConfigResult", "ConfigService", "Outcome"]
