"""Errors of calls between processes; all are subclasses of `RpcError`."""

from __future__ import annotations

from emberlatch.cluster.rpc.incarnation import Incarnation


class RpcError(Exception):
    """Base class of the errors of this package."""


class MessageDecodeError(RpcError, ValueError):
    """A payload is not a valid message of its method.

    `message` names the expected message; `reason` says what is wrong with the payload.
    """

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(f"{message}: {reason}")
        self.message, self.reason = message, reason


class FrameError(RpcError, ValueError):
    """Received bytes are not a valid frame, or the frame is not allowed now. The connection is closed."""


class FrameTooLargeError(FrameError):
    """A frame exceeds the largest size that a receiver accepts. It is not sent."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"frame of {size} bytes, at most {limit} are allowed")
        self.size, self.limit = size, limit


class CallFailedError(RpcError):
    """A call ended without a result.

    `step` is the method, or the step of connecting, that failed; `peer` is the node or address. If
    `may_have_arrived` is False, the request certainly had no effect and may be sent to another peer;
    otherwise only an idempotent request may be retried.
    """

    def __init__(self, step: str, peer: str, reason: str, may_have_arrived: bool) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step, self.peer, self.reason, self.may_have_arrived = step, peer, reason, may_have_arrived


class ForeignPeerError(RpcError):
    """The peer at an address is another node, or an earlier incarnation of the expected node."""

    def __init__(self, expected: Incarnation, found: Incarnation) -> None:
        super().__init__(f"expected {expected}, found {found}")
        self.expected, self.found = expected, found
