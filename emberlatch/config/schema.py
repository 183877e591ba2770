"""What the standalone gateway can be told, with its defaults, and what the decision module is told of it."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Any, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field, PrivateAttr, StrictInt, model_validator

from emberlatch.config.as2 import As2
from emberlatch.config.fleet import Fleet
from emberlatch.config.section import Name, Section, address
from emberlatch.config.units import Duration, Size
from emberlatch.core import interface as api
from emberlatch.engine import Address
from emberlatch.inventory.model import Vocabulary
from emberlatch.net.http import parse_address

Count = Annotated[StrictInt, Field(ge=1, le=10_000_000)]
Number = Annotated[float, Field(ge=0, allow_inf_nan=False)]


def _url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.hostname or parts.query or parts.fragment:
        raise ValueError("must be a plain URL, like http://127.0.0.1:9000/reports")
    return text


class Inventory(Section):
    """Where the endpoints are listed. A file changed in place is taken once it stood still for `settle`."""

    paths: Annotated[list[Annotated[str, Field(min_length=1)]], Field(min_length=1)]
    poll: Annotated[Duration, Field(ge=0.05, le=3600)] = 1.0
    settle: Annotated[Duration, Field(ge=0.1, le=3600)] = 2.0


class Limits(Section):
    """What the process may hold at once."""

    calls: Count = 64
    messages: Count = 5000
    attempts: Count = 6
    sockets: Annotated[StrictInt, Field(ge=64, le=1_000_000)] = 1024
    journal: Annotated[Size, Field(ge=1_000_000)] = 64 * 2**20
    ends: Count = 10_000
    ends_log: Annotated[Size, Field(ge=64 * 2**10)] = 16 * 2**20


class Wing(Section):
    """A part of the network; `fee` is what an attempt there costs, in worth of a message."""

    fee: Number = 0.0


class Kind(Section):
    """A kind of partner: messages in one call, and whether each endpoint has a limit and fate of its own."""

    batch: Annotated[StrictInt, Field(ge=1, le=1000)] = 1
    routes: Literal["separate", "shared"] = "separate"


class Class(Section):
    """A class of message; `window` and `scope` say where and for how long a repeat is dropped."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim: Duration = 4.0
    deadline: Duration = 24.0
    worth: Number = 1.0
    late_share: Annotated[float, Field(ge=0, le=1)] = 0.4
    window: Duration = 0.0
    scope: Literal["all", "wing", "endpoint"] = "wing"
    durable: Literal["process", "machine", "fleet"] = "process"  # what a message outlasts once it has its 202
    cut_off: Literal["own", "least", "refuse"] = "least"  # while the fleet is out of sight

    @model_validator(mode="after")
    def _coherent(self) -> Class:
        if not 0 < self.aim <= self.deadline:
            raise ValueError("aim must be over 0s and at most the deadline")
        if (self.effect == "keyed") != (self.window > 0):
            raise ValueError("a keyed class needs a window over 0s, and no other class has one")
        if self.durable == "fleet":
            raise ValueError("durable: 'fleet' comes with replication; until then process or machine")
        return self


class Tenant(Section):
    """A customer group and the messages a second that are within its share."""

    rate: Number


class Rules(Section):
    """The figures of the rules."""

    drain_grace: Duration = 0.5
    fall_multiple: Annotated[float, Field(gt=0)] = 1.5
    fall_after: Annotated[Duration, Field(gt=0)] = 3.0
    cold: Duration = 13.0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.27
    retry_after: Annotated[Duration, Field(le=3600)] = 2.0
    connect: Annotated[Duration, Field(gt=0, le=60)] = 1.0
    idle: Annotated[Duration, Field(ge=3, le=3600)] = 15.0


def _classes() -> dict[str, Class]:
    return {
        "payout": Class(effect="keyed", aim="4s", window="25s"),  # type: ignore[arg-type]
        "status-update": Class(effect="safe", aim="3s", worth=3.0, late_share=0.5),  # type: ignore[arg-type]
    }


class Gateway(Section):
    """The whole file."""

    inventory: Inventory
    listen: Annotated[str, AfterValidator(address)] = "127.0.0.1:8080"
    state: Annotated[str, Field(min_length=1)] = "state"
    reports: Annotated[str, AfterValidator(_url)] | None = None
    log: Literal["debug", "info", "warning", "error"] = "info"
    log_format: Literal["text", "json"] = "text"
    limits: Limits = Limits()
    wings: Annotated[dict[Name, Wing], Field(min_length=1)] = {
        "east-wing": Wing(),
        "west-wing": Wing(fee=0.03),
    }
    kinds: Annotated[dict[Name, Kind], Field(min_length=1)] = {
        "wallet-operator": Kind(batch=10),
        "rural-bank": Kind(),
    }
    classes: Annotated[dict[Name, Class], Field(min_length=1)] = Field(default_factory=_classes)
    tenants: dict[Name, Tenant] = {}
    rules: Rules = Rules()
    as2: As2 | None = None
    fleet: Fleet | None = None
    _folder: Path = PrivateAttr(Path("."))
    _file: Path | None = PrivateAttr(None)

    @property
    def listen_address(self) -> Address:
        """Where clients connect."""
        return parse_address(self.listen)

    def at(self, file: Path) -> Gateway:
        """The same, read from that file: its relative paths start from the file's folder."""
        self._file = file.resolve()
        self._folder = self._file.parent
        return self

    @property
    def file(self) -> Path | None:
        """The file that it was read from."""
        return self._file

    def path(self, text: str) -> Path:
        """A path of the file; one that is not absolute starts from the file's folder."""
        return self._folder / text


EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
SCOPES = {"all": api.Scope.ALL, "wing": api.Scope.ZONE, "endpoint": api.Scope.CELL}


def settings(config: Gateway) -> api.Settings:
    """The decision module's settings: one sender, a listed limit is taken at its word, nobody is asked."""
    rules = config.rules
    return api.Settings(
        categories=tuple(_category(name, item) for name, item in config.classes.items()),
        slots=config.limits.calls,
        open_cap=config.limits.messages,
        rules=api.Rules(
            drain_grace=rules.drain_grace,
            fall_multiple=rules.fall_multiple,
            tip_after=rules.fall_after,
            cold=rules.cold,
            cold_from=rules.cold_share,
            ask_every=math.inf,
        ),
        max_attempts=config.limits.attempts,
        round=0.005,
        tenants=tuple(api.Tenant(name, item.rate) for name, item in config.tenants.items()),
        over_share_worth=0.1 if config.tenants else 1.0,
        separate_routes=tuple(kind.routes == "separate" for kind in config.kinds.values()),
        per_call=tuple(kind.batch for kind in config.kinds.values()),
        zone_fees=tuple(wing.fee for wing in config.wings.values()),
        report_fields=("x0", "x1"),
        weights=api.Weights.NOMINAL,
        cancel=True,
        retry_after=True,
        max_retry_after=rules.retry_after,
        connect_timeout=rules.connect,
        connection_idle=rules.idle,
    )


def words(config: Gateway) -> Vocabulary:
    """The words that an installation's inventory may use."""
    return Vocabulary(
        tuple(config.wings),
        tuple(config.kinds),
        ("http", "as2") if config.as2 is not None else ("http",),
        tuple(config.as2.partners) if config.as2 is not None else (),
        tuple(name for name, kind in config.kinds.items() if kind.batch > 1),
    )


def _category(name: str, item: Class) -> api.Category:
    values: dict[str, Any] = item.model_dump(exclude={"effect", "scope", "cut_off", "durable"})
    return api.Category(name=name, effect=EFFECTS[item.effect], scope=SCOPES[item.scope], **values)
