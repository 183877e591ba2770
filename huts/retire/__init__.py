"""Retirement of a machine: its work is carried to the others, and then it is not needed any more."""

from huts.retire.retirement import Mark, Retirements

__all__ = ["Mark", "Retirements"]
