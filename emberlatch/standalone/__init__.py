"""The standalone gateway: it reads its configuration from a file and its endpoints from an inventory."""

from emberlatch.standalone.control_socket import send_command
from emberlatch.standalone.errors import GatewayError, StartError, StorageFailedError
from emberlatch.standalone.gateway import StandaloneGateway
from emberlatch.standalone.outcome_log import OutcomeLog
from emberlatch.standalone.service import serve

__all__ = [
    "GatewayError",
    "OutcomeLog",
    "StandaloneGateway",
    "StartError",
    "StorageFailedError",
    "send_command",
    "serve",
]
