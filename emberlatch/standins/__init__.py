"""Stand-ins for external systems on loopback addresses, for tests, demonstrations and benchmarks."""

from emberlatch.standins.directory import Directory, DirectoryObserver, DirectoryServer
from emberlatch.standins.endpoint_model import Behaviour, CallOutcome, Condition, EndpointModel, Message
from emberlatch.standins.partner_server import EndpointObserver, PartnerServer
from emberlatch.standins.reserved_ports import reserve_port
from emberlatch.standins.service_queue import ServiceCost, ServiceQueue, ServiceTurn

__all__ = [
    "Behaviour",
    "CallOutcome",
    "Condition",
    "Directory",
    "DirectoryObserver",
    "DirectoryServer",
    "EndpointModel",
    "EndpointObserver",
    "Message",
    "PartnerServer",
    "ServiceCost",
    "ServiceQueue",
    "ServiceTurn",
    "reserve_port",
]
