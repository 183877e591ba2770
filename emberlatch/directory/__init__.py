"""The client of a discovery service, without I/O and without a clock.

`Client` decides when to send which request and which answers to accept; `AssumedDelivery` tracks the deadline
by which a lost answer counts as delivered; `Backoff` computes the delay before a retry. Times are in seconds
of a monotonic clock. `emberlatch.net.directory_membership` sends the requests on sockets.
"""

from emberlatch.directory.assumed_delivery import AssumedDelivery, DeliveryTerms
from emberlatch.directory.backoff import Backoff
from emberlatch.directory.client import CancelRequest, Client, Failure, RequestContent, SendRequest

__all__ = [
    "AssumedDelivery",
    "Backoff",
    "CancelRequest",
    "Client",
    "DeliveryTerms",
    "Failure",
    "RequestContent",
    "SendRequest",
]
