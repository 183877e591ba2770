"""Simulated runs with AS2 partners and the gateway's real engine, carrier and front end.

Partners lose, delay, duplicate and corrupt receipts; endpoints have outages, and the gateway's process is
killed. The checks compare what the partners executed with the gateway's notices, not with its own state.
"""

from emberlatch.faults.as2.environment import As2Environment, run_as2_seed
from emberlatch.faults.as2.messages import SubmittedMessage
from emberlatch.faults.as2.settings import CATEGORIES

__all__ = ["CATEGORIES", "As2Environment", "SubmittedMessage", "run_as2_seed"]
