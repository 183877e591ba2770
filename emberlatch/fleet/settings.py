"""The settings with which a fleet member starts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from emberlatch.engine import Address
from emberlatch.fleet.membership import ProtocolParameters
from emberlatch.fleet.quota_shares import IsolationPolicy


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The names of the fleet and of this member, the addresses, the policies and the protocol parameters."""

    fleet_name: str
    member_name: str
    listen_address: Address
    peer_addresses: Mapping[str, Address]  # by member name; excludes this member
    policies: Mapping[str, IsolationPolicy]  # by class name
    parameters: ProtocolParameters = field(default_factory=ProtocolParameters)
