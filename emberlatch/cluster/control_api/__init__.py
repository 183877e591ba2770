"""The control API: calls of targets and operators."""

from emberlatch.cluster.control_api.answer import Answer
from emberlatch.cluster.control_api.api import CallHandler, ControlApi, ForwardingHandler, LocalHandler

__all__ = ["Answer", "CallHandler", "ControlApi", "ForwardingHandler", "LocalHandler"]
