"""The operator's configuration: routes, services and limits, validated as one unit."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field, fields
from functools import cached_property

import dacite

MAX_CONFIGURATION_BYTES = 1024 * 1024
MAX_ERROR_TEXT = 200  # characters
DEFERRED = "deferred"
_DACITE_CONFIG = dacite.Config(strict=False)


class ConfigurationError(ValueError):
    """The operator's configuration is invalid; the text is the reason."""


@dataclass(frozen=True, slots=True)
class Route:
    """Selects the service for messages by their host and the prefix of their path.

    Times are in the unit that their names end with: `_ms` milliseconds, `_s` seconds.
    """

    name: str
    host_name: str
    path_prefix: str
    service: str
    guard_timer_ms: int | float
    route_type: str = DEFERRED
    nominal_ms: int | float = 100
    priority: int = 0
    max_attempts: int = 1
    in_order: bool = False
    retention_s: int | float = 90.0
    notify_uri: bool = False
    nominal_start_ms: int | float = 1000


@dataclass(frozen=True, slots=True)
class Service:
    """A service, to whose targets messages are delivered."""

    name: str
    health_path: str = "/health"
    max_connections: int = 64
    protocol: str = "h1"
    tls: bool = False
    rate_per_s: int | float = 0.0
    self_dedup: bool = False
    pull_mode: bool = False
    fixed_endpoint: str | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for the requests of clients; sizes in bytes, times in milliseconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timer_ms: int | float = 3000
    idle_timer_ms: int | float = 15000


@dataclass(frozen=True)
class Configuration:
    """One revision of the configuration; `raw` has the unchanged bytes that the operator sent."""

    revision: int
    route_entries: list[Route]
    services: list[Service]
    limits: Limits = field(default_factory=Limits)
    raw: bytes = b""

    @cached_property
    def by_host(self) -> dict[str, list[Route]]:
        """The routes by host name in lower case. The routes of a host begin with the longest prefix."""
        routes: dict[str, list[Route]] = {}
        for route in sorted(self.route_entries, key=lambda r: -len(r.path_prefix)):
            routes.setdefault(route.host_name.lower(), []).append(route)
        return routes

    @cached_property
    def by_service(self) -> dict[str, Service]:
        """The services by name."""
        return {service.name: service for service in self.services}

    def route(self, host: str, path: str) -> Route | None:
        """Find the route of a request by its host, without the port, and the longest prefix of its path."""
        host_name = host.rpartition(":")[0] if ":" in host else host
        for route in self.by_host.get(host_name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def read_configuration(raw: bytes) -> Configuration:
    """Decode and validate a configuration; raises ConfigurationError with the reason if it is invalid."""
    if len(raw) > MAX_CONFIGURATION_BYTES:
        raise ConfigurationError(f"over {MAX_CONFIGURATION_BYTES} bytes")
    try:
        config = dacite.from_dict(Configuration, _document(raw), _DACITE_CONFIG)
    except ConfigurationError:
        raise
    except (dacite.DaciteError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigurationError(str(error)[:MAX_ERROR_TEXT] or type(error).__name__) from None
    reason = _validation_error(config)
    if reason:
        raise ConfigurationError(reason)
    object.__setattr__(config, "raw", raw)
    return config


def _document(raw: bytes) -> dict[str, object]:
    """Decode the JSON object of a configuration; return only the entries with known keys."""
    document = json.loads(raw)
    if not isinstance(document, dict):
        raise ConfigurationError("not an object")
    for name in ("route_entries", "services"):
        if not isinstance(document.get(name), list):
            raise ConfigurationError(f"{name}: not a list")
    return {key: value for key, value in document.items() if key in _DOCUMENT_KEYS}


_DOCUMENT_KEYS = frozenset(f.name for f in fields(Configuration)) - {"raw"}


def _positive(value: float) -> bool:
    return not isinstance(value, bool) and math.isfinite(value) and value > 0


def _validation_error(config: Configuration) -> str:
    """Return the first reason why a configuration is invalid; empty if it is valid."""
    if isinstance(config.revision, bool) or not 0 <= config.revision < 1 << 63:
        return "revision: not a version"
    service_names = {service.name for service in config.services}
    if len(service_names) < len(config.services):
        return "services: a name twice"
    prefixes: set[tuple[str, str]] = set()
    for route in config.route_entries:
        if reason := _route_error(route, service_names, prefixes):
            return f"route {route.name}: {reason}"
        prefixes.add((route.host_name.lower(), route.path_prefix))
    for service in config.services:
        if reason := _service_error(service):
            return f"service {service.name}: {reason}"
    limits = config.limits
    sizes = (limits.max_header_bytes, limits.max_body_bytes, limits.header_timer_ms, limits.idle_timer_ms)
    return "" if all(map(_positive, sizes)) else "limits: all must be over 0"


def _route_error(route: Route, service_names: set[str], prefixes: set[tuple[str, str]]) -> str:
    """Return why a route is invalid; empty if it is valid.

    `prefixes` contains the pairs of host and path prefix of the earlier routes.
    """
    if route.service not in service_names:
        return f"unknown service {route.service}"
    if (route.host_name.lower(), route.path_prefix) in prefixes:
        return "host and prefix are another's"
    if not _positive(route.guard_timer_ms):
        return f"guard_timer_ms {route.guard_timer_ms}"
    if not (_positive(route.nominal_ms) and _positive(route.nominal_start_ms)):
        return "nominal times must be over 0"
    if not (_positive(route.retention_s) and route.max_attempts >= 1):
        return "retention_s and max_attempts must be over 0"
    if not route.path_prefix.startswith("/"):
        return f"path_prefix {route.path_prefix!r}"
    return ""


def _service_error(service: Service) -> str:
    """Return why a service is invalid; empty if it is valid."""
    if not 0 <= service.rate_per_s < math.inf or service.max_connections < 1:
        return "rate_per_s or max_connections"
    if service.fixed_endpoint is not None:
        host, _, port = service.fixed_endpoint.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            return f"fixed_endpoint {service.fixed_endpoint!r}"
    return ""
