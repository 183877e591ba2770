"""Delivery: time to run, the decision module, calls, outcomes."""

from huts.descent.carrier import Carrier, Verdict
from huts.descent.descent import Descent

__all__ = ["Carrier", "Descent", "Verdict"]
