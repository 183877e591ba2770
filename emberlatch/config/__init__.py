"""The standalone gateway's configuration file: TOML, validated, with every problem by line."""

from emberlatch.config.decision_settings import default_vocabulary, settings, vocabulary_of
from emberlatch.config.load import ConfigError, ConfigProblem, load, parse
from emberlatch.config.schema import Gateway

__all__ = [
    "ConfigError",
    "ConfigProblem",
    "Gateway",
    "default_vocabulary",
    "load",
    "parse",
    "settings",
    "vocabulary_of",
]
