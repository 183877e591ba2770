"""The tables of the standalone gateway's configuration file, with their defaults."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field, PrivateAttr, StrictInt, model_validator

from emberlatch.config.as2 import As2
from emberlatch.config.fleet import Fleet
from emberlatch.config.section import HostPort, Name, Section
from emberlatch.config.units import Duration, Size
from emberlatch.engine import Address
from emberlatch.net.http_connection import parse_address

Count = Annotated[StrictInt, Field(ge=1, le=10_000_000)]
Number = Annotated[float, Field(ge=0, allow_inf_nan=False)]


def _validate_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname or parts.query or parts.fragment:
        raise ValueError("must be a plain URL, like http://127.0.0.1:9000/reports")
    return text


class InventoryFiles(Section):
    """The inventory's files and folders. A file written in place is read after a quiet period."""

    paths: Annotated[list[Annotated[str, Field(min_length=1)]], Field(min_length=1)]
    poll: Annotated[Duration, Field(ge=0.05, le=3600)] = 1.0
    quiet_period_s: Annotated[Duration, Field(alias="settle", ge=0.1, le=3600)] = 2.0


class Limits(Section):
    """Limits on calls, messages, connections and files of the process."""

    calls: Count = 64
    messages: Count = 5000
    attempts: Count = 6
    sockets: Annotated[StrictInt, Field(ge=64, le=1_000_000)] = 1024
    journal: Annotated[Size, Field(ge=1_000_000)] = 64 * 2**20
    ends: Count = 10_000
    ends_log: Annotated[Size, Field(ge=64 * 2**10)] = 16 * 2**20


class Wing(Section):
    """A network zone; `fee` is the cost of an attempt in the zone, in the unit of a message's `worth`."""

    fee: Number = 0.0


class Kind(Section):
    """A kind of partner; `batch` is the maximum number of messages per call.

    With separate `routes`, each endpoint has its own limit and fails alone.
    """

    batch: Annotated[StrictInt, Field(ge=1, le=1000)] = 1
    routes: Literal["separate", "shared"] = "separate"


class MessageClass(Section):
    """A class of messages.

    Partners drop duplicates of a message within `window` seconds, at the endpoints that `scope` covers.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    aim: Duration = 4.0
    deadline: Duration = 24.0
    worth: Number = 1.0
    late_share: Annotated[float, Field(ge=0, le=1)] = 0.4
    window: Duration = 0.0
    scope: Literal["all", "wing", "endpoint"] = "wing"
    durable: Literal["process", "machine", "fleet"] = "process"
    """The failure that an accepted message (202) survives."""
    cut_off: Literal["own", "least", "refuse"] = "least"
    """The policy while no other member of the fleet is reachable."""

    @model_validator(mode="after")
    def _coherent(self) -> MessageClass:
        if not 0 < self.aim <= self.deadline:
            raise ValueError("aim must be over 0s and at most the deadline")
        if (self.effect == "keyed") != (self.window > 0):
            raise ValueError("a keyed class needs a window over 0s, and no other class has one")
        if self.durable == "fleet":
            raise ValueError("durable: 'fleet' comes with replication; until then process or machine")
        return self


class Tenant(Section):
    """A tenant and its quota share, in messages per second."""

    rate: Number


class Rules(Section):
    """Parameters of the decision module's rules; parsed durations are in seconds."""

    drain_grace: Duration = 0.5
    fall_multiple: Annotated[float, Field(gt=0)] = 1.5
    fall_after: Annotated[Duration, Field(gt=0)] = 3.0
    cold: Duration = 13.0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.27
    retry_after: Annotated[Duration, Field(le=3600)] = 2.0
    connect: Annotated[Duration, Field(gt=0, le=60)] = 1.0
    idle: Annotated[Duration, Field(ge=3, le=3600)] = 15.0


def _default_wings() -> dict[str, Wing]:
    return {"east-wing": Wing(), "west-wing": Wing(fee=0.03)}


def _default_kinds() -> dict[str, Kind]:
    return {"wallet-operator": Kind(batch=10), "rural-bank": Kind()}


def _default_classes() -> dict[str, MessageClass]:
    classes = {
        "payout": {"effect": "keyed", "aim": "4s", "window": "25s"},
        "status-update": {"effect": "safe", "aim": "3s", "worth": 3.0, "late_share": 0.5},
    }
    return {name: MessageClass.model_validate(values) for name, values in classes.items()}


class Gateway(Section):
    """The complete configuration file."""

    inventory: InventoryFiles
    listen: HostPort = "127.0.0.1:8080"
    state: Annotated[str, Field(min_length=1)] = "state"
    reports: Annotated[str, AfterValidator(_validate_url)] | None = None
    log: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["text", "json"] = "text"
    limits: Limits = Limits()
    wings: Annotated[dict[Name, Wing], Field(min_length=1, default_factory=_default_wings)]
    kinds: Annotated[dict[Name, Kind], Field(min_length=1, default_factory=_default_kinds)]
    classes: Annotated[dict[Name, MessageClass], Field(min_length=1, default_factory=_default_classes)]
    tenants: dict[Name, Tenant] = Field(default_factory=dict)
    rules: Rules = Rules()
    as2: As2 | None = None
    fleet: Fleet | None = None
    _folder: Path = PrivateAttr(Path("."))
    _file: Path | None = PrivateAttr(None)

    @property
    def listen_address(self) -> Address:
        """The address that clients connect to."""
        return parse_address(self.listen)

    def at(self, file: Path) -> Gateway:
        """Set the file that the configuration was read from, and return the configuration.

        Relative paths start at the file's folder.
        """
        self._file = file.resolve()
        self._folder = self._file.parent
        return self

    @property
    def file(self) -> Path | None:
        """The file that the configuration was read from; None if it was parsed from bytes."""
        return self._file

    def path(self, text: str) -> Path:
        """Resolve a path from the configuration, relative to the file's folder."""
        return self._folder / text
