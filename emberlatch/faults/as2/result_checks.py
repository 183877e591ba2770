"""Checks of a run: messages complete in time, none is executed too often, and disputes are listed."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from emberlatch.as2.side import As2Side
from emberlatch.faults.as2.gateway import SimulatedGateway
from emberlatch.faults.as2.messages import Completion, SubmittedMessage
from emberlatch.faults.as2.partners import SimulatedPartners, zone_of
from emberlatch.faults.as2.settings import DEADLINE_S, DEDUP_WINDOW_S
from emberlatch.standins.as2_script import CONFIRMING, NOT_EXECUTED, ReceiptBehaviour

COMPLETION_GRACE_S = 0.4  # time after a message's deadline in which its notice is not late yet
RESTART_GRACE_S = 1.5  # time after a restart of the gateway in which no notice counts as late


class Delivery(NamedTuple):
    """One arrival of a message at a partner (`at` in seconds), and how the partner handled it."""

    at: float
    zone: int
    behaviour: ReceiptBehaviour
    is_processed: bool
    message_id: str

    @property
    def may_have_run(self) -> bool:
        """Whether the sender must assume that the partner may have executed the message."""
        return self.behaviour not in NOT_EXECUTED


Deliveries = Mapping[str, Sequence[Delivery]]
"""The deliveries of each message by its id, in order of time."""


class ResultChecks:
    """Checks each notice as it arrives, and all results at the end; reports violations to `breach`."""

    def __init__(
        self,
        messages: Mapping[str, SubmittedMessage],
        partners: SimulatedPartners,
        gateway: SimulatedGateway,
        breach: Callable[[str], None],
    ) -> None:
        self._messages, self._partners, self._gateway = messages, partners, gateway
        self._breach = breach

    def on_completed(self, name: str, completion: Completion) -> None:
        """Check that a message's first notice is in time, and that later notices have the same result."""
        message = self._messages.get(name)
        if message is None:
            self._breach(f"notice for {name}, which was never submitted")
            return
        for earlier in message.completions:
            if earlier.ref != completion.ref:
                self._breach(f"{name} was accepted twice: as number {earlier.ref} and as {completion.ref}")
            elif earlier.result != completion.result:
                self._breach(f"{name} was first reported {earlier.result}, then {completion.result}")
        if not message.completions:
            message.completions.append(completion)
            ready_at = self._gateway.ready_at
            serves_since = ready_at if ready_at < math.inf else completion.at
            due = message.submitted_at + DEADLINE_S + COMPLETION_GRACE_S
            if completion.at > max(due, serves_since + RESTART_GRACE_S):
                self._breach(
                    f"{name} was completed {completion.at - message.submitted_at:.2f} s after its submission"
                )

    def check(self) -> None:
        """Check all results at the end of the run."""
        deliveries = self._collect_deliveries()
        for message in self._messages.values():
            if message.accepted_at < math.inf and not message.completions:
                self._breach(f"{message.id} was accepted at {message.accepted_at:.3f} and never completed")
        for name, received in deliveries.items():
            message = self._messages[name]
            self._check_effects(message, received)
            if message.completions:
                self._check_completion(message, message.completions[0], received)
        if self._gateway.side is not None and self._gateway.core is not None:
            self._check_disputes(deliveries, self._gateway.side)

    def _collect_deliveries(self) -> Deliveries:
        """Collect all messages that the partners received."""
        deliveries: dict[str, list[Delivery]] = {}
        for target, endpoint in self._partners.endpoints.items():
            for received in endpoint.received:
                name = self._submission_of(received.original)
                if name is None:
                    self._breach(
                        f"a partner received {received.original}, which belongs to no submitted message"
                    )
                    continue
                delivery = Delivery(
                    received.at,
                    zone_of(target),
                    received.behaviour,
                    received.processed,
                    received.original,
                )
                deliveries.setdefault(name, []).append(delivery)
        return {name: sorted(each, key=lambda delivery: delivery.at) for name, each in deliveries.items()}

    def _submission_of(self, message_id: str) -> str | None:
        """The id of the submitted message that was sent under a Message-ID; None if no message was."""
        side = self._gateway.side
        if side is not None and (record := side.evidence.find(message_id)) is not None:
            return record.message
        for message in self._messages.values():
            if any(message_id.startswith(f"{completion.ref}.") for completion in message.completions):
                return message.id
        return None

    def _check_effects(self, message: SubmittedMessage, deliveries: Sequence[Delivery]) -> None:
        if len({delivery.message_id for delivery in deliveries}) > 1:
            self._breach(f"{message.id} was sent under more than one Message-ID")
        unsafe = [delivery for delivery in deliveries if delivery.may_have_run]
        if message.category == "order" and len(unsafe) > 1:
            self._breach(f"{message.id} is unsafe and was sent again after it may have been executed")
        if message.category == "payout" and unsafe:
            first = unsafe[0]
            for delivery in deliveries:
                if delivery.at > first.at and delivery.zone != first.zone:
                    self._breach(
                        f"{message.id} may have run in zone {first.zone} and was sent to zone {delivery.zone}"
                    )
                if delivery.at > first.at + DEDUP_WINDOW_S:
                    late_s = delivery.at - first.at
                    self._breach(
                        f"{message.id} was sent again after {late_s:.2f} s, window {DEDUP_WINDOW_S} s"
                    )
            if sum(delivery.is_processed for delivery in deliveries) > 1:
                self._breach(f"{message.id} took effect twice or more")

    def _check_completion(
        self, message: SubmittedMessage, completion: Completion, deliveries: Sequence[Delivery]
    ) -> None:
        may_have_run = any(delivery.may_have_run for delivery in deliveries)
        if completion.result == "bounced" and may_have_run and message.category != "note":
            self._breach(f"{message.id} was reported bounced but may have been executed")
        if completion.result == "delivered" and not may_have_run:
            self._breach(f"{message.id} was reported delivered but was never executed")

    def _check_disputes(self, deliveries: Deliveries, side: As2Side) -> None:
        """Check the ledger's disputes.

        The ledger must list each message for which a receipt confirms the processing, but which was reported
        with another result than `delivered`.
        """
        listed = {str(dispute.get("message")) for dispute in side.evidence.disputes()}
        proven = {
            receipt.original
            for endpoint in self._partners.endpoints.values()
            for receipt in endpoint.delivered_receipts
            if receipt.behaviour in CONFIRMING and receipt.behaviour is not ReceiptBehaviour.CONTRADICTS
        }
        for name, received in deliveries.items():
            completions = self._messages[name].completions
            if not completions or completions[0].result == "delivered":
                continue
            if received[0].message_id in proven and name not in listed:
                self._breach(
                    f"{name} was reported {completions[0].result} despite a receipt, without a listed dispute"
                )
