"""Delivery of messages that this store owns: delays, queues, rate quotas, calls to targets, outcomes.

The decision module is `Forwarder` in `emberlatch.core.forwarder`. It chooses a target for each delivery that
is offered to it. A seal is a target's proof that it executed a message.
"""

from emberlatch.cluster.dispatch.carrier import Carrier, DeliveryRequest
from emberlatch.cluster.dispatch.delivery_result import DeliveryResult
from emberlatch.cluster.dispatch.dispatcher import Dispatcher
from emberlatch.cluster.dispatch.ports import DeliveryOwner, DispatchSettings

__all__ = ["Carrier", "DeliveryOwner", "DeliveryRequest", "DeliveryResult", "DispatchSettings", "Dispatcher"]
