"""The process is killed at each system call made for a received order or an asynchronous receipt."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

import pytest

from emberlatch.as2 import orders
from emberlatch.faults.as2 import CATEGORIES, As2Environment, SubmittedMessage
from emberlatch.faults.disk import KillMoment
from emberlatch.faults.loop import VirtualLoop, close_loop
from emberlatch.standins.as2_script import ReceiptBehaviour, Script
from tests.as2.test_seeded_runs import own_identities


class OneOrder(As2Environment):
    """`bank` sends one order, and repeats it long after its delivery.

    The process is killed at one system call.
    """

    def kill_at(self, disk: str, call: int, moment: KillMoment) -> OneOrder:
        self.where = disk, call, moment
        return self

    async def run(self) -> None:
        await self.start()
        disk, call, moment = self.where
        self.disks[disk].kill_at = self.disks[disk].calls + call, moment
        with (
            patch.object(self.random, "randint", lambda *_: 3),
            patch.object(self.random, "uniform", lambda *_: 2.5),
        ):
            await self.orders.send("bank", "one@bank")
        await self.wait_until_ready()
        await asyncio.sleep(15)
        self.checks.check()
        if self.messages and not next(iter(self.messages.values())).accepted_at < 1e9:
            self.breach("the order was never accepted")

    def draw_script(self) -> Script:
        return Script(ReceiptBehaviour.RECEIPT)


class OneReceipt(OneOrder):
    """The gateway sends one message to `fund`, which sends the asynchronous receipt 4 s later."""

    async def run(self) -> None:
        await self.start()
        self.clients.submit("one", CATEGORIES[2], 2)
        await asyncio.sleep(2.0)
        disk, call, moment = self.where
        self.disks[disk].kill_at = self.disks[disk].calls + call, moment
        await asyncio.sleep(8.0)
        self.disks[disk].kill_at = None
        await self.wait_until_ready()
        await asyncio.sleep(15)
        self.checks.check()
        message: SubmittedMessage = self.messages["one"]
        assert self.side is not None
        disputed = {each["message"] for each in self.side.evidence.disputes()}
        # The message must not be sent twice. If the kill ends its call, the message therefore fails at
        # once, and the receipt causes a dispute.
        if [result for *_, result in message.completions] != ["delivered"] and "one" not in disputed:
            self.breach(f"{message.completions} without a dispute")

    def draw_script(self) -> Script:
        return Script(ReceiptBehaviour.LATE, late_delay_s=4.0)


def run_with_kill(kind: type[OneOrder], disk: str, call: int, moment: KillMoment) -> OneOrder:
    loop = VirtualLoop()
    environment = kind(1, loop, own_identities()).kill_at(disk, call, moment)
    try:
        loop.run_until_complete(environment.run())
    finally:
        close_loop(loop)
    return environment


CALLS = [
    (disk, call, moment)
    for disk, most in (("journal", 9), ("as2-orders", 3))
    for call in range(1, most)
    for moment in KillMoment
]


@pytest.mark.parametrize(("disk", "call", "moment"), CALLS)
def test_order_is_accepted_once_if_the_process_is_killed(disk: str, call: int, moment: KillMoment) -> None:
    environment = run_with_kill(OneOrder, disk, call, moment)
    assert not environment.breaches


def test_order_is_accepted_twice_if_recovery_ignores_the_journal() -> None:
    """Recovery that ignores the journal drops accepted orders, so that a repetition is accepted again."""
    with patch.object(orders, "resolve_pending", lambda order, journaled: order if order.accepted else None):
        found = [run_with_kill(OneOrder, *where).breaches for where in CALLS]
    assert any("twice" in breach for breaches in found for breach in breaches)


@pytest.mark.parametrize("moment", KillMoment)
@pytest.mark.parametrize(
    ("disk", "call"), [("as2-ledger", n) for n in range(1, 6)] + [("journal", 1), ("journal", 2)]
)
def test_asynchronous_receipt_is_evaluated_if_the_process_is_killed(
    disk: str, call: int, moment: KillMoment
) -> None:
    assert not run_with_kill(OneReceipt, disk, call, moment).breaches
