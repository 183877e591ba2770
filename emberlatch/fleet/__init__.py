"""Fleets of gateways: failure detection among members, and reduced operation of an isolated member."""

from emberlatch.fleet.environment import ProcessEnvironment
from emberlatch.fleet.membership import ProtocolParameters
from emberlatch.fleet.quota_shares import IsolationPolicy, QuotaShare, QuotaShareController
from emberlatch.fleet.service import FleetObserver, FleetService
from emberlatch.fleet.settings import FleetSettings
from emberlatch.fleet.status import FleetStatus

__all__ = [
    "FleetObserver",
    "FleetService",
    "FleetSettings",
    "FleetStatus",
    "IsolationPolicy",
    "ProcessEnvironment",
    "ProtocolParameters",
    "QuotaShare",
    "QuotaShareController",
]
