"""Decodes the JSON settings of the decision module; unknown keys are ignored."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar, cast

from emberlatch.core import interface as api
from emberlatch.simlink.errors import SettingsError, WireError

JsonObject = Mapping[str, object]
T = TypeVar("T")


def _integer(value: object) -> int:
    return int(cast(float | str, value))


def _number(value: object) -> float:
    return float(cast(float | str, value))


CATEGORY_FIELDS = {"gain": "value", "late-value": "late_value_share", "window": "dedup_window"}
RULE_FIELDS = {
    "drain-grace": "drain_grace",
    "fall-multiple": "overload_factor",
    "tip-after": "overload_window",
    "cold": "slow_start",
    "cold-from": "slow_start_share",
    "answer-slack": "answer_slack",
    "ask-every": "directory_poll_interval",
    "order-settle": "order_quiet_period",
}
OPTIONAL_FIELDS: tuple[tuple[str, Callable[[object], object], Mapping[str, str]], ...] = (
    ("", _integer, {"balancers": "forwarders", "me": "forwarder_index", "zone": "zone"}),
    ("", _number, {"over-share-worth": "over_quota_value_factor", "round": "decision_interval"}),
    ("extra", _number, {"refusal-cost": "refusal_fee"}),
    ("allowed", _integer, {"max-attempts": "max_attempts"}),
    (
        "allowed",
        bool,
        {
            "probes": "probes",
            "cancel": "cancel",
            "second-copies": "second_copies",
            "retry-after": "retry_after",
        },
    ),
    (
        "allowed",
        _number,
        {
            "max-retry-after": "max_retry_after",
            "connect-timeout": "connect_timeout",
            "conn-idle": "connection_idle",
        },
    ),
    (
        "fees",
        _number,
        {
            "handshake": "handshake_fee",
            "waste": "waste_fee",
            "probe": "probe_fee",
            "late-fail": "late_fee",
        },
    ),
)
"""Optional settings: the section, the conversion of the values, and a map from key to field of `Settings`.

The section is empty for keys at the top level of the document.
A key that is missing or null leaves the field at its default.
"""


def decode_settings(text: bytes) -> api.Settings:
    """Decode the settings of an instance.

    Raises:
        SettingsError: the settings are not valid JSON, or a key is missing or invalid.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(f"must be a JSON object, not {type(document).__name__}")
    try:
        return _decode(document)
    except WireError:
        raise
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(str(error)) from error


def _decode(document: JsonObject) -> api.Settings:
    sections = {"": document}
    for name in ("allowed", "extra", "fees", "rules", "report"):
        sections[name] = _section(document, name)
    allowed, extra = sections["allowed"], sections["extra"]
    if allowed.get("max-attempts") is not None:
        _positive_number(allowed, "max-attempts", "allowed.")
    items = cast(Iterable[JsonObject], _required(document, "categories", ""))
    return api.Settings(
        categories=tuple(_category(item) for item in items),
        slots=_integer(_required(extra, "workers", "extra.")),
        open_cap=_integer(_required(allowed, "open-cap", "allowed.")),
        rules=api.Rules(**_optional(sections["rules"], RULE_FIELDS, _number)),
        tenants=tuple(
            api.Tenant(str(item.get("name", "")), _number(item.get("allowance-per-s", 0.0)))
            for item in cast(Iterable[JsonObject], _items(document.get("tenants")))
        ),
        decay=api.ValueDecay(extra.get("decay", "line")),
        separate_routes=tuple(bool(value) for value in _items(extra.get("separate-routes"))),
        batch_limits=tuple(_integer(value) for value in _items(extra.get("per-call"))),
        zone_fees=tuple(_number(value) for value in _items(extra.get("carriage"))),
        report_fields=tuple(str(name) for name in _items(sections["report"].get("fields"))),
        weights=api.Weights(document.get("weights", "off")),
        must_poll_directory=document.get("discovery") == "ask",
        **{
            name: cast(Any, value)
            for section, convert, fields in OPTIONAL_FIELDS
            for name, value in _optional(sections[section], fields, convert).items()
        },
    )


def _category(item: JsonObject) -> api.Category:
    path = "categories[]."
    return api.Category(
        name=str(item.get("name", "")),
        effect=api.Effect(_required(item, "idempotency", path)),
        latency_target=_positive_number(item, "target", path),
        deadline=_positive_number(item, "deadline", path),
        scope=api.Scope(item.get("dedup-scope") or "all"),
        ordered=bool(item.get("serial-by-key", False)),
        **_optional(item, CATEGORY_FIELDS, _number),
    )


def _section(document: JsonObject, name: str) -> JsonObject:
    value = document.get(name, {})
    if not isinstance(value, Mapping):
        raise SettingsError(f"{name}: must be an object")
    return value


def _required(section: JsonObject, key: str, path: str) -> object:
    if section.get(key) is None:
        raise SettingsError(f"{path}{key}: is missing")
    return section[key]


def _positive_number(section: JsonObject, key: str, path: str) -> float:
    """Return a finite number over 0. Strings and booleans are rejected, although Python can convert them."""
    value = _required(section, key, path)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise SettingsError(f"{path}{key}: must be a number over 0, not {value!r}")
    return float(value)


def _optional(section: JsonObject, fields: Mapping[str, str], convert: Callable[[object], T]) -> dict[str, T]:
    """Return the converted values of the keys that are present, by field name."""
    return {name: convert(section[key]) for key, name in fields.items() if section.get(key) is not None}


def _items(value: object) -> Iterable[object]:
    """Return the value of an optional array, or an empty tuple if the value is null, empty, 0 or false.

    The type is not checked: iterating over a number or `true` raises TypeError.
    """
    return cast(Iterable[object], value or ())
