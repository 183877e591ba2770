"""Delivery of messages that this store owns: delays, queues, rate quotas, calls to targets, outcomes."""

from emberlatch.cluster.dispatch.carrier import Carrier, DeliveryRequest
from emberlatch.cluster.dispatch.delivery_result import DeliveryResult
from emberlatch.cluster.dispatch.dispatcher import Dispatcher
from emberlatch.cluster.dispatch.ports import DeliveryOwner, DispatchSettings

__all__ = ["Carrier", "DeliveryOwner", "DeliveryRequest", "DeliveryResult", "DispatchSettings", "Dispatcher"]
