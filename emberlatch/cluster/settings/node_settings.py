"""The settings file of a process, in TOML. The users' page DEPLOY lists its fields.

Other fields in the file are ignored.
"""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")
Address = tuple[str, int]
MAX_NUMBER = 1e12  # exclusive upper bound of every number in the settings


class SettingsError(ValueError):
    """The settings file is invalid; the text is `file:line: reason`, with line 0 if the line is unknown."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits to which the rules for the cluster's behaviour refer.

    Limits ending in `_s` are in seconds, those ending in `_ms` in milliseconds. `origin_excess` is a factor.
    """

    seed_lag_s: float = 3.0
    quarantine_s: float = 2.0
    contact_ms: float = 4000.0
    ack_ms: float = 5000.0
    sync_s: float = 4.5
    drain_ms: float = 3000.0
    grace_s: float = 6.0
    apply_ms: float = 3000.0
    status_keep_s: float = 120.0
    early_ms: float = 100.0
    origin_window_s: float = 5.0
    origin_excess: float = 1.1


@dataclass(frozen=True, slots=True)
class Resilience:
    """The numbers of machines, zones and regions whose simultaneous failure must not break a rule."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of one process. Addresses are (host, port); the suffix of a name states the unit."""

    node: str
    role: str
    node_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    inner_port: int
    seeds: tuple[Address, ...]
    initial_start: bool
    counted: bool
    data_dir: Path | None
    listen: dict[str, Address]
    memory_mb: float
    max_fds: int
    disk_mb: float
    heartbeat_ms: float
    bounds: Bounds = field(default_factory=Bounds)
    resilience: Resilience = field(default_factory=Resilience)

    @property
    def is_store(self) -> bool:
        """Whether this process is a store: it stores messages and may be a voter for the control state."""
        return "store" in self.serves and self.data_dir is not None


def read_settings(path: Path) -> NodeSettings:
    """Read and validate the file; raises SettingsError for the first invalid field, with its line."""
    try:
        text = path.read_text()
        raw = tomllib.loads(text)
    except OSError as error:
        raise SettingsError(f"{path}:0: can't be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        where = re.search(r"line (\d+)", str(error))
        raise SettingsError(f"{path}:{where[1] if where else 0}: not TOML: {error}") from None
    return _Reader(path, text, raw).settings()


class _Reader:
    """Extracts fields from a parsed file; raises SettingsError with the line of an invalid field."""

    def __init__(self, path: Path, text: str, raw: dict[str, object]) -> None:
        self._path, self._lines, self._raw = path, text.splitlines(), raw

    def _fail(self, name: str, reason: str) -> SettingsError:
        key = re.compile(rf"\s*{re.escape(name.rpartition('.')[2])}\s*=")
        line = next((n for n, text in enumerate(self._lines, 1) if key.match(text)), 0)
        return SettingsError(f"{self._path}:{line}: {name}: {reason}")

    def _lookup(self, name: str) -> object:
        """The value of a field by its dotted name; None if it is missing."""
        value: object = self._raw
        for key in name.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        return value

    def _get(self, name: str, kind: type[T], default: T | None = None) -> T:
        value = self._lookup(name)
        if value is None:
            if default is None:
                raise self._fail(name, "missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise self._fail(name, f"wrong type {type(value).__name__}, expected {kind.__name__}")
        return value

    def _number(self, name: str, default: float | None = None, least: float = 0.0) -> float:
        value = self._lookup(name)
        if value is None:
            if default is None:
                raise self._fail(name, "missing")
            value = default
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self._fail(name, f"wrong type {type(value).__name__}, expected a number")
        number = float(value)
        if not least <= number < MAX_NUMBER:
            raise self._fail(
                name, f"{number:g} is out of range, expected at least {least:g} and less than {MAX_NUMBER:g}"
            )
        return number

    def _address(self, name: str, text: object) -> Address:
        host, _, port = str(text).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise self._fail(name, f"not an address: {text!r}, expected host:port")
        return host, int(port)

    def _bounds(self) -> Bounds:
        defaults = Bounds()
        return Bounds(
            **{n: self._number(f"bounds.{n}", getattr(defaults, n)) for n in Bounds.__dataclass_fields__}
        )

    def settings(self) -> NodeSettings:
        """Return the validated settings. Raises SettingsError for the first invalid field."""
        ports = self._get("port_range", list)
        if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports):
            raise self._fail("port_range", f"expected two port numbers from 1 to 65535, found {ports!r}")
        serves = tuple(map(str, self._get("serves", list)))
        data = self._get("data_dir", str, "")
        if "store" in serves and not data:
            raise self._fail("data_dir", "missing; required where `serves` contains store")
        listen = self._get("listen", dict, {})
        for name in (*(s for s in serves if s != "store"), *(["ready"] if "front" in serves else [])):
            if name not in listen:
                raise self._fail(f"listen.{name}", "missing")
        resilience = {n: int(self._number(f"resilience.{n}", 0)) for n in Resilience.__dataclass_fields__}
        return NodeSettings(
            node=self._get("node", str),
            role=self._get("role", str, "node"),
            node_class=self._get("node_class", str, ""),
            serves=serves,
            ip=self._get("ip", str),
            zone=self._get("zone", str),
            region=self._get("region", str, "-"),
            inner_port=ports[0],
            seeds=tuple(self._address("seeds", s) for s in self._get("seeds", list)),
            initial_start=self._get("initial_start", bool, False),
            counted=self._get("counted", bool, False),
            data_dir=Path(data) if data else None,
            listen={name: self._address(f"listen.{name}", at) for name, at in listen.items()},
            memory_mb=self._number("limits.memory_mb", 300, 16),
            max_fds=int(self._number("limits.max_fds", 1024, 64)),
            disk_mb=self._number("limits.disk_mb", 0),
            heartbeat_ms=self._number("heartbeat_ms", 1200, 1),
            bounds=self._bounds(),
            resilience=Resilience(**resilience),
        )
