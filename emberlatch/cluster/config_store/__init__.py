"""The operators' configuration: which one is in force here, and orders that change it by agreement."""

from emberlatch.cluster.config_store.orders import ConfigOrders, Outcome, Settled
from emberlatch.cluster.config_store.store import ConfigStore

__all__ = ["ConfigOrders", "ConfigStore", "Outcome", "Settled"]
