"""The rules of a run, checked on the observed traffic and not on the forwarders' own state.

The checks do no I/O: they receive events in order of time and collect breaches. Their limits come from the
settings. Two parties may see an event at different times; the limits allow for this with a tolerance and with
the latency of a packet.
"""

from emberlatch.faults.checks.breaches import Breach, BreachLog, Rule
from emberlatch.faults.checks.drain_checks import MOVE_ASSUMED_RECEIVED_S
from emberlatch.faults.checks.message_states import AttemptOutcome, CallAttempt, CallKey, CheckedMessage
from emberlatch.faults.checks.parameters import RuleParameters
from emberlatch.faults.checks.rule_checks import RuleChecks

__all__ = [
    "MOVE_ASSUMED_RECEIVED_S",
    "AttemptOutcome",
    "Breach",
    "BreachLog",
    "CallAttempt",
    "CallKey",
    "CheckedMessage",
    "Rule",
    "RuleChecks",
    "RuleParameters",
]
