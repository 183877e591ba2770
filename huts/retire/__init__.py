"""Retirement of a machine: its work carried to the others."""

from huts.retire.none import NoRetirement

__all__ = ["NoRetirement"]
