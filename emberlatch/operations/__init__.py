"""The operators' interface: an HTTP server on a separate address for readiness, metrics and draining."""

from emberlatch.operations.handlers import OperatorHandlers
from emberlatch.operations.http_server import MAX_CONNECTIONS, OperatorEndpoint, OperatorServer
from emberlatch.operations.reload import missing_key, with_reloadable

__all__ = [
    "MAX_CONNECTIONS",
    "OperatorEndpoint",
    "OperatorHandlers",
    "OperatorServer",
    "missing_key",
    "with_reloadable",
]
