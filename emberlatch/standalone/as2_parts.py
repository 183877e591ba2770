"""Composes the AS2 parts of a gateway.

This module is imported only if the configuration has AS2. The libraries that AS2 needs are an optional extra.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from emberlatch.as2.build import ProfileError, as2_settings, build_parties
from emberlatch.as2.context import As2Context
from emberlatch.as2.crypto_worker import CryptoWorker
from emberlatch.as2.ports import StateFolders
from emberlatch.as2.side import LEDGER, ORDERS, As2Side
from emberlatch.config import Gateway
from emberlatch.config.as2 import As2
from emberlatch.core.interface import Settings, Target
from emberlatch.engine import CompletionNotifier
from emberlatch.gateway_core import GatewayCore
from emberlatch.inventory import InventoryMembership
from emberlatch.standalone.errors import StartError
from emberlatch.store import Folder

AS2_PROTOCOL = "as2"
"""The protocol of AS2 endpoints in the inventory."""


@dataclass(frozen=True, slots=True)
class As2Parts:
    """The AS2 side and the worker process that signs and encrypts for it."""

    side: As2Side
    crypto_worker: CryptoWorker


@dataclass(frozen=True, slots=True)
class InventoryPartners:
    """An `as2.PartnerDirectory` that reads the current inventory."""

    membership: InventoryMembership

    def partner_of(self, target: Target) -> str | None:
        """See `as2.PartnerDirectory`."""
        endpoint = self.membership.inventory.endpoints.get(target)
        return endpoint.partner if endpoint is not None and endpoint.protocol == AS2_PROTOCOL else None

    def destination_number(self, partner: str) -> int | None:
        """See `as2.PartnerDirectory`."""
        return self.membership.named(partner)


def reserved_descriptors(config: As2) -> int:
    """Return how many descriptors the AS2 parts may open."""
    return as2_settings(config).descriptors


def make_as2_parts(
    config: Gateway,
    settings: Settings,
    core: GatewayCore,
    membership: InventoryMembership,
    state: Path,
    notifier: CompletionNotifier,
) -> As2Parts:
    """Create the AS2 parts; raises StartError if a profile can't be used or the state can't be read."""
    assert config.as2 is not None

    def open_folder(name: str) -> Folder:
        (state / name).mkdir(exist_ok=True)
        return Folder(state / name)

    try:
        profiles = build_parties(config.as2, config.path)
        worker = CryptoWorker(config.as2, config.path("."), core.tasks.spawn)
        side = As2Side(
            as2_settings(config.as2),
            settings,
            core,
            As2Context(profiles, worker),
            InventoryPartners(membership),
            StateFolders(open_folder(LEDGER), open_folder(ORDERS)),
            notifier,
        )
    except ProfileError as error:
        raise StartError(error.setting, error.reason) from error
    except (OSError, ValueError) as error:
        raise StartError("state", error) from error
    return As2Parts(side, worker)
