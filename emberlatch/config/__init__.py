"""Our own configuration file: TOML, checked as a whole, each fault with its line."""

from emberlatch.config.load import ConfigProblem, ConfigProblems, load, parse
from emberlatch.config.schema import Gateway, settings, words

__all__ = ["ConfigProblem", "ConfigProblems", "Gateway", "load", "parse", "settings", "words"]
