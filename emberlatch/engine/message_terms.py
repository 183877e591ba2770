"""Encodes the terms under which a message was accepted as text for the journal, and decodes them."""

from __future__ import annotations

import json
from enum import Enum
from functools import lru_cache

from emberlatch.core import interface as api

CATEGORY_KEYS = {
    "name": "name",
    "effect": "effect",
    "latency_target": "aim",
    "deadline": "deadline",
    "value": "worth",
    "late_value_share": "late_share",
    "scope": "scope",
    "dedup_window": "window",
    "ordered": "ordered",
}
"""The stored key of each field. Journals of earlier versions contain these keys, so they must not change."""
CATEGORY_FIELDS = {key: name for name, key in CATEGORY_KEYS.items()}


def encode_terms(terms: api.Terms) -> str:
    """Return the terms as one line of JSON, which is identical for equal terms."""
    values = {key: getattr(terms.category, name) for name, key in CATEGORY_KEYS.items()}
    plain = {key: value.value if isinstance(value, Enum) else value for key, value in values.items()}
    return json.dumps(plain | {"max_attempts": terms.max_attempts}, separators=(",", ":"), sort_keys=True)


@lru_cache(256)
def decode_terms(text: str) -> api.Terms:
    """Return the terms in a stored text; raises ValueError, KeyError or TypeError if it contains none."""
    values = json.loads(text)
    max_attempts = int(values.pop("max_attempts"))
    values |= {"effect": api.Effect(values["effect"]), "scope": api.Scope(values["scope"])}
    category = api.Category(**{CATEGORY_FIELDS[key]: value for key, value in values.items()})
    return api.Terms(category, max_attempts)
