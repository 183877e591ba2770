"""Composes the AS2 parts of a gateway - front end, carrier and ledger - with its protocol-neutral parts."""

from __future__ import annotations

import asyncio
import logging
from typing import TypedDict

from emberlatch.as2.build import describe_expiring_certificates
from emberlatch.as2.carrier import As2Carrier
from emberlatch.as2.context import As2Context
from emberlatch.as2.evidence import Evidence
from emberlatch.as2.final_state_observer import FinalStateObserver
from emberlatch.as2.front import As2Front, HttpListener
from emberlatch.as2.order_log import OrderLog
from emberlatch.as2.ports import PartnerDirectory, StateFolders
from emberlatch.as2.settings import As2Settings
from emberlatch.core.interface import Settings
from emberlatch.engine import CarrierRouter, CompletionNotifier
from emberlatch.gateway_core import GatewayCore
from emberlatch.store.state_log import StateLog

log = logging.getLogger(__name__)

LEDGER, ORDERS = "as2-ledger", "as2-orders"  # folders within the state folder
CERTIFICATE_CHECK_INTERVAL_S = 86400.0
EXPIRY_INTERVAL_S = 1.0


class Status(TypedDict):
    """The AS2 part of a gateway's status; the keys are those of the operators' status answer."""

    name: str
    messages: int
    disputes: int
    receipts_owed: int
    renew: list[str]


class As2Side:
    """Composes the AS2 parts of one gateway; `core` has the parts that every gateway has."""

    def __init__(
        self,
        settings: As2Settings,
        call_settings: Settings,
        core: GatewayCore,
        station: As2Context,
        directory: PartnerDirectory,
        folders: StateFolders,
        notifier: CompletionNotifier,
    ) -> None:
        """`call_settings` are those of the decision module. `notifier` gets the completions of all messages.

        Raises OSError if the state can't be read, and ValueError if a disk limit is too small.
        """
        self._parties, self._crypto, self._now = station.parties, station.crypto, station.now
        self.evidence = Evidence(folders.ledger, settings.ledger_bytes, settings.retention_s)
        self.evidence.load()
        self._as2 = As2Carrier(call_settings, settings.max_calls, core, station, directory, self.evidence)
        self.carrier = CarrierRouter(
            {"http": core.carrier, "as2": self._as2},
            lambda target: "http" if directory.partner_of(target) is None else "as2",
        )
        self._orders = StateLog(folders.orders, settings.orders_bytes)
        self.front = As2Front(
            HttpListener(settings.listen, settings.max_client_connections, station.machine),
            core,
            station,
            directory,
            OrderLog(self._orders, settings.retention_s),
            self._as2,
        )
        self.completion_notifier = FinalStateObserver(notifier, self._on_final_state)
        core.tasks.spawn(self._maintain())

    def _on_final_state(self, ref: int, state: str) -> None:
        self.evidence.record_final_state(ref, state, self._now())

    async def _maintain(self) -> None:
        """Warn of expiring certificates and delete expired records."""
        checked_at = 0.0
        while True:
            if (now := self._now()) - checked_at > CERTIFICATE_CHECK_INTERVAL_S:
                checked_at = now
                for line in describe_expiring_certificates(self._parties, now):
                    log.warning("certificates: %s", line)
            try:
                self.evidence.expire(now)
            except OSError as error:
                log.error("the ledger cannot be written: %s", error)
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    def status(self) -> Status:
        """Return the AS2 status for operators."""
        return {
            "name": self._parties.own.name,
            "messages": sum(1 for _ in self.evidence.records()),
            "disputes": len(self.evidence.disputes()),
            "receipts_owed": self.front.pending_receipts,
            "renew": describe_expiring_certificates(self._parties, self._now()),
        }

    def close(self) -> None:
        """Release files and the crypto service, after the engine has stopped."""
        self._crypto.close()
        self._orders.close()
        self.evidence.close()
