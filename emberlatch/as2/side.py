"""The AS2 side of a gateway: front, carrier and ledger beside the parts that every gateway has."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from emberlatch.as2.build import expiry
from emberlatch.as2.carrier import As2Carrier
from emberlatch.as2.crew import Crew
from emberlatch.as2.evidence import Evidence
from emberlatch.as2.front import As2Front
from emberlatch.as2.places import Places
from emberlatch.as2.profile import Parties, Partner
from emberlatch.as2.witness import Witness
from emberlatch.core.interface import Settings, Target
from emberlatch.engine import REAL, Address, Carriers, End, Machine, Tasks
from emberlatch.net.server import Server
from emberlatch.node import Node
from emberlatch.store import Files
from emberlatch.store.book import Book

log = logging.getLogger(__name__)

LEDGER, ORDERS = "as2-ledger", "as2-orders"  # folders of the state folder
NAMED_EVERY = 86400.0  # seconds between looks at certificates
EXPIRE_EVERY = 1.0


class As2Side:
    """`partner` gives the name of the partner whose AS2 endpoint a target is, None if it is no such endpoint;
    `files` one of its folders by name; `named` the number of a destination by name."""

    def __init__(
        self,
        places: Places,
        parties: Parties,
        settings: Settings,
        node: Node,
        partner: Callable[[Target], str | None],
        named: Callable[[str], int | None],
        files: Callable[[str], Files],
        end: End,
        crew: Crew,
        machine: Machine = REAL,
    ) -> None:
        """Raises OSError where the state can't be read, ValueError where its room is too small."""
        self.parties, self._wall = parties, machine.wall
        self._crew, self._partner_of = crew, partner
        self.evidence = Evidence(files(LEDGER), places.ledger, places.remember)
        self.evidence.load()
        engine, tasks, half = node.engine, node.tasks, places.sockets // 2
        self._as2 = As2Carrier(
            settings,
            half,
            engine.outcome,
            tasks,
            engine.tally,
            parties,
            self._partner,
            self.evidence,
            self._crew,
            machine.wall,
        )
        self.carrier = Carriers({"http": node.targets, "as2": self._as2}, self._protocol)
        self._book = Book(files(ORDERS), places.orders)
        self.front = As2Front(
            partial(_server, places.listen, half, tasks, machine),
            engine,
            parties,
            self._as2,
            self._book,
            places.remember,
            named,
            self._crew,
            tasks,
            machine.wall,
        )
        self.end = Witness(end, self._ended)
        tasks.spawn(self._look_after())

    def _protocol(self, target: Target) -> str:
        return "http" if self._partner_of(target) is None else "as2"

    def _partner(self, target: Target) -> Partner | None:
        return self.parties.partners.get(self._partner_of(target) or "")

    def _ended(self, ref: int, told: str) -> None:
        self.evidence.ended(ref, told, self._wall())

    async def _look_after(self) -> None:
        named = 0.0
        while True:
            if (now := self._wall()) - named > NAMED_EVERY:
                named = now
                for line in expiry(self.parties, now):
                    log.warning("certificates: %s", line)
            try:
                self.evidence.expire(now)
            except OSError as error:
                log.error("the ledger cannot be written: %s", error)
            await asyncio.sleep(EXPIRE_EVERY)

    def status(self) -> dict[str, Any]:
        """For operators."""
        return {
            "name": self.parties.own.name,
            "messages": sum(1 for _ in self.evidence.records()),
            "disputes": len(self.evidence.disputes()),
            "receipts_owed": self.front.owed,
            "renew": expiry(self.parties, self._wall()),
        }

    def close(self) -> None:
        """After the engine has stopped."""
        self._crew.close()
        self._book.close()
        self.evidence.close()


def _server(address: Address, most: int, tasks: Tasks, machine: Machine, submit: Any, **more: Any) -> Server:
    return Server(address, submit, most, tasks, machine=machine, **more)
