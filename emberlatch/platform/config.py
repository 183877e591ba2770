"""The configuration of a forwarder on the platform: its file and its environment variables (EDGE_*)."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from emberlatch.core import interface as api
from emberlatch.engine import Address
from emberlatch.gateway_core import ConnectionLimits
from emberlatch.net.descriptor_limits import split_descriptors
from emberlatch.net.http_connection import parse_address
from emberlatch.operations import MAX_CONNECTIONS
from emberlatch.simlink.errors import SettingsError
from emberlatch.simlink.settings import decode_settings

BYTES_PER_MB = 1_000_000
OPERATOR_DESCRIPTORS = 1 + MAX_CONNECTIONS
"""Descriptors reserved for the operators' interface: its listener and its connections."""


class ConfigError(Exception):
    """A setting is missing or invalid; the text of the exception contains the name of the setting."""


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The configuration with which a forwarder starts."""

    name: str
    listen: Address
    discovery: Address
    operators: Address | None
    """The address of the operators' interface; None if there is no such interface."""
    state: Path
    """The folder of the journal."""
    seed: int
    connection_limits: ConnectionLimits
    journal_bytes: int
    """Maximum size of all files of the journal together."""
    initial_list: Mapping[str, object]
    """The initial list of targets, in the format that the discovery service uses."""
    raw_settings: Mapping[str, object]
    settings: api.Settings
    document: Mapping[str, object] = field(default_factory=dict)
    """The complete content of the file; a reload compares it with the new content."""


def read_config(environment: Mapping[str, str]) -> PlatformConfig:
    """Read the configuration file and check the state folder; environment variables name both.

    Raises ConfigError.
    """
    path, state = (str(_required(environment, name)) for name in ("EDGE_CONFIG", "EDGE_STATE"))
    if not os.access(state, os.W_OK | os.X_OK) or not Path(state).is_dir():
        raise ConfigError(f"EDGE_STATE: {state!r} is not a writable folder")
    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"EDGE_CONFIG: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"EDGE_CONFIG: must contain a JSON object, got {type(document).__name__}")
    limits, settings = _object(document, "limits"), _object(document, "settings")
    operators = _operators_address(document, environment)
    connection_limits = _connection_limits(limits, operators)
    return PlatformConfig(
        name=str(document.get("name", "")),
        seed=_seed(document),
        settings=_decode_settings(settings),
        listen=_address(document, "listen"),
        discovery=_address(document, "discovery"),
        operators=operators,
        state=Path(state),
        connection_limits=connection_limits,
        journal_bytes=int(_positive(limits, "disk_mb") * BYTES_PER_MB),
        initial_list=_object(document, "known"),
        raw_settings=settings,
        document=document,
    )


def _required(section: Mapping[str, object], name: str, path: str = "") -> object:
    if section.get(name) is None:
        raise ConfigError(f"{path}{name}: is missing")
    return section[name]


def _object(section: Mapping[str, object], name: str) -> Mapping[str, object]:
    value = _required(section, name)
    if not isinstance(value, Mapping):
        raise ConfigError(f"{name}: must be an object, got {value!r:.40}")
    return value


def _address(section: Mapping[str, object], name: str) -> Address:
    try:
        return parse_address(str(_required(section, name)))
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from error


def _positive(limits: Mapping[str, object], name: str) -> float:
    value = _required(limits, name, "limits.")
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ConfigError(f"limits.{name}: must be a number greater than 0, got {value!r:.40}")
    return float(value)


def _seed(document: Mapping[str, object]) -> int:
    try:
        return int(str(_required(document, "seed")), 16)
    except ValueError as error:
        raise ConfigError(f"seed: {error}") from error


def _decode_settings(settings: Mapping[str, object]) -> api.Settings:
    try:
        return decode_settings(json.dumps(settings).encode())
    except SettingsError as error:
        raise ConfigError(str(error)) from error


def _operators_address(document: Mapping[str, object], environment: Mapping[str, str]) -> Address | None:
    """Return the operators' address.

    EDGE_OPS overrides the file, because two processes that share a file need different addresses.
    """
    if text := environment.get("EDGE_OPS"):
        try:
            return parse_address(text)
        except ValueError as error:
            raise ConfigError(f"EDGE_OPS: {error}") from error
    return _address(document, "ops") if "ops" in document else None


def _connection_limits(limits: Mapping[str, object], operators: Address | None) -> ConnectionLimits:
    reserved = 0 if operators is None else OPERATOR_DESCRIPTORS
    try:
        return ConnectionLimits(*split_descriptors(int(_positive(limits, "sockets")), reserved))
    except ValueError as error:
        raise ConfigError(f"limits.sockets: {error}") from error
