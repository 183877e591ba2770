"""Delivery: time to run, the decision module, calls, outcomes."""

from emberlatch.cluster.dispatch.carrier import Carrier, Verdict
from emberlatch.cluster.dispatch.dispatcher import Dispatcher

__all__ = ["Carrier", "Dispatcher", "Verdict"]
