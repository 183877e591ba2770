"""The handlers of the commands that operators send to a running gateway on its control socket."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from emberlatch.engine import Engine
from emberlatch.inventory import InventoryMembership
from emberlatch.standalone.answers import (
    Command,
    InventoryAnswer,
    JsonObject,
    LeaveAnswer,
    ReloadAnswer,
    encode,
)
from emberlatch.standalone.control_socket import CommandHandler
from emberlatch.standalone.fleet_integration import FleetIntegration

if TYPE_CHECKING:  # AS2 needs libraries that are an optional extra
    from emberlatch.as2.side import As2Side


class OutcomeSink(Protocol):
    """The part of the outcome log or the notification sender that is used here."""

    @property
    def pending(self) -> bool:
        """Whether any outcome is not confirmed yet."""


class GatewayCommands:
    """Carries out the commands of operators, and answers them."""

    def __init__(
        self,
        engine: Engine,
        membership: InventoryMembership,
        outcomes: OutcomeSink,
        as2: As2Side | None,
        fleet: FleetIntegration | None,
        request_stop: Callable[[], None],
    ) -> None:
        self._engine, self._membership, self._outcomes = engine, membership, outcomes
        self._as2, self._fleet, self._request_stop = as2, fleet, request_stop

    def handlers(self) -> Mapping[str, CommandHandler]:
        """Return the handlers by command; those of fleet commands are included only if there is a fleet."""
        handlers: dict[str, CommandHandler] = {
            Command.STATUS: self.status,
            Command.RELOAD: self._reload_document,
        }
        if self._fleet is not None:
            handlers |= {Command.FLEET: self._fleet.status, Command.LEAVE: self._leave}
        return handlers

    async def status(self) -> JsonObject:
        """Return a document with the keys of `StatusAnswer` and all other keys of the engine's status."""
        names = {number: name for name, number in self._membership.inventory.names.items()}
        engine_status = self._engine.status()
        pools = [{**pool, "partner": names.get(pool["destination"], "")} for pool in engine_status["pools"]]
        document: JsonObject = {
            "inventory": encode(self._inventory()),
            "ends_pending": self._outcomes.pending,
        }
        if self._as2 is not None:
            document["as2"] = self._as2.status()
        return {**document, **engine_status, "pools": pools}

    async def reload(self) -> ReloadAnswer:
        """Reload the inventory files now."""
        before = self._membership.inventory.digest
        await self._membership.reload()
        inventory = self._inventory()
        return ReloadAnswer(
            digest=inventory.digest,
            taken_at=inventory.taken_at,
            endpoints=inventory.endpoints,
            unstable_files=inventory.unstable_files,
            problems=inventory.problems,
            changed=inventory.digest != before,
        )

    async def _reload_document(self) -> JsonObject:
        return encode(await self.reload())

    async def _leave(self) -> JsonObject:
        """Leave the fleet and stop the process, as on SIGTERM."""
        self._request_stop()
        return encode(LeaveAnswer())

    def _inventory(self) -> InventoryAnswer:
        membership = self._membership
        return InventoryAnswer(
            digest=membership.inventory.digest,
            taken_at=membership.taken_at,
            endpoints=len(membership.inventory),
            unstable_files=dict(membership.waiting),
            problems=[str(problem) for problem in membership.problems],
        )
