"""The methods that processes call on each other, and how a receiver treats duplicate requests.

This layer sends a request once, on one connection, and never retries. After a time-out the caller itself may
call again, if the rule of the method permits that. For at-most-once methods, the
receiver retains the numbers of the requests that it ran, so that a duplicate does not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum


class RpcMethod(StrEnum):
    """Methods with their names on the wire. No name may change: versions of the program run side by side."""

    HANDSHAKE = "hello"
    HEARTBEAT = "beat"
    HEARTBEAT_NOTICE = "news"
    ROSTER = "roster"
    MEMBERSHIP_UPDATE = "members"
    ACCEPT = "take"
    PROBE = "claim"
    REPLICATE = "keep"
    COMMIT_STATE = "ended"
    MESSAGE_STATE = "state"
    MESSAGE_BODY = "body"
    ASSUME_OWNERSHIP = "own"
    TAKEOVER_INQUIRY = "take over"
    DIGEST_RANGES = "ranges"
    RECORDS = "records"
    REPAIR = "mend"
    CONFIGURATION = "configuration"
    TARGET = "target"
    TARGETS = "targets"
    CONTROL_API = "control"
    CONTROL_STATE = "control state"


class Idempotency(Enum):
    """What a receiver does with a request that it has received before."""

    IDEMPOTENT = "idempotent"  # the receiver runs it again: the outcome is the same
    AT_MOST_ONCE = "at most once"  # the receiver recognizes it by its number and does not run it


@dataclass(frozen=True, slots=True)
class MethodRule:
    """How a receiver treats duplicates of one method.

    `reason` says why running a duplicate is harmless, or what harm it would do.
    """

    method: RpcMethod
    idempotency: Idempotency
    reason: str


def _idempotent(method: RpcMethod, reason: str) -> MethodRule:
    return MethodRule(method, Idempotency.IDEMPOTENT, reason)


def _at_most_once(method: RpcMethod, reason: str) -> MethodRule:
    return MethodRule(method, Idempotency.AT_MOST_ONCE, reason)


_READ_ONLY = "read-only"

_RULES = (
    _idempotent(RpcMethod.HANDSHAKE, "members merge by incarnation; the response is read from memory"),
    _idempotent(RpcMethod.HEARTBEAT, "renews the caller's lease; the response is read from memory"),
    _idempotent(RpcMethod.HEARTBEAT_NOTICE, "as HEARTBEAT; the newest reported revision only increases"),
    _idempotent(RpcMethod.ROSTER, _READ_ONLY),
    _idempotent(RpcMethod.MEMBERSHIP_UPDATE, "members merge by incarnation"),
    _at_most_once(
        RpcMethod.ACCEPT,
        "a duplicate could accept a message that was rejected with the promise that it never runs",
    ),
    _at_most_once(RpcMethod.PROBE, "merges by epoch; a duplicate may find the message already ended"),
    _idempotent(RpcMethod.REPLICATE, "replicas merge: state, epoch and owner only advance"),
    _idempotent(RpcMethod.COMMIT_STATE, "merges: an outcome is final, and success overrides any other"),
    _idempotent(RpcMethod.MESSAGE_STATE, _READ_ONLY),
    _idempotent(RpcMethod.MESSAGE_BODY, _READ_ONLY),
    _idempotent(RpcMethod.ASSUME_OWNERSHIP, "merges by the epoch that the sender chose for this handover"),
    _idempotent(
        RpcMethod.TAKEOVER_INQUIRY,
        "a store that owns a message keeps it; a duplicate only names the caller as a replica again",
    ),
    _idempotent(RpcMethod.DIGEST_RANGES, _READ_ONLY),
    _idempotent(RpcMethod.RECORDS, _READ_ONLY),
    _idempotent(RpcMethod.REPAIR, "replicas merge as in REPLICATE"),
    _idempotent(RpcMethod.CONFIGURATION, _READ_ONLY),
    _idempotent(
        RpcMethod.TARGET, "a target's incarnation only increases; its sequence numbers order its heartbeats"
    ),
    _idempotent(RpcMethod.TARGETS, "as TARGET, for several targets"),
    _at_most_once(
        RpcMethod.CONTROL_API,
        "commands merge by revision or decommission mark, but a late heartbeat would renew a lease",
    ),
    _idempotent(
        RpcMethod.CONTROL_STATE, "ballots order promises; a command that is already applied changes nothing"
    ),
)

METHOD_RULES: dict[str, MethodRule] = {rule.method: rule for rule in _RULES}
"""The rule of each method, by the method's name on the wire."""


def runs_once(name: str) -> bool:
    """Whether a receiver must not run duplicates of this method's requests."""
    rule = METHOD_RULES.get(name)
    return rule is not None and rule.idempotency is Idempotency.AT_MOST_ONCE
