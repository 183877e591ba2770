"""The control API: calls of targets and operators, handled here or forwarded to a machine with a disk."""

from emberlatch.cluster.control_api.api import CallHandler, ControlApi
from emberlatch.cluster.control_api.forwarding import ForwardingHandler
from emberlatch.cluster.control_api.local import LocalHandler
from emberlatch.cluster.control_api.messages import ControlRequest, ControlResponse

__all__ = [
    "CallHandler",
    "ControlApi",
    "ControlRequest",
    "ControlResponse",
    "ForwardingHandler",
    "LocalHandler",
]
