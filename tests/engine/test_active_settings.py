"""Validation of submissions against the settings in force, and the terms of messages."""

from __future__ import annotations

from dataclasses import replace

import pytest

from emberlatch.core import interface as api
from emberlatch.engine import BadMessageError, Submission
from emberlatch.engine.active_settings import DEADLINE_MARGIN_S, MAX_NAME_LENGTH, ActiveSettings
from emberlatch.store import Entry
from tests.core.harness import CATEGORIES, make_settings

CATEGORY = CATEGORIES[0]
VALID = Submission("m1", "k1", CATEGORY.name, "", 7, 4.0, b"x")


def make_active() -> ActiveSettings:
    return ActiveSettings(make_settings())


def entry(terms: str, category: str = CATEGORY.name) -> Entry:
    return Entry(1, "m1", "", category, "", 7, 100.0, terms=terms)


def test_validate_returns_the_class_number_of_a_valid_submission() -> None:
    active = make_active()
    for number, category in enumerate(active.current.categories):
        assert active.validate(replace(VALID, category=category.name)) == number


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"remaining": 0.0}, "no time is left"),
        ({"id": ""}, "no id"),
        ({"id": "a b"}, "cannot be passed on"),
        ({"key": "a\n"}, "cannot be passed on"),
        ({"id": "x" * (MAX_NAME_LENGTH + 1)}, "cannot be passed on"),
        ({"category": "no-such-class"}, "unknown class"),
    ],
)
def test_an_invalid_submission_is_rejected_with_its_reason(changes: dict[str, object], reason: str) -> None:
    with pytest.raises(BadMessageError, match=reason):
        make_active().validate(replace(VALID, **changes))  # type: ignore[arg-type]


def test_an_unknown_tenant_is_rejected_where_tenants_are_configured() -> None:
    active = ActiveSettings(replace(make_settings(), tenants=(api.Tenant("acme", 10.0),)))
    assert active.validate(replace(VALID, tenant="acme")) == 0 and active.tenant_number("acme") == 0
    with pytest.raises(BadMessageError, match="unknown tenant"):
        active.validate(VALID)


def test_settings_for_the_decision_module_have_the_deadline_margin_and_no_probes() -> None:
    active = ActiveSettings(make_settings(probes=True))
    assert not active.current.probes and active.current.end_margin == DEADLINE_MARGIN_S


def test_a_message_keeps_its_terms_when_its_class_changes() -> None:
    active = make_active()
    accepted = entry(active.encoded_terms(0))
    changed = replace(CATEGORY, deadline=CATEGORY.deadline + 5.0)
    active.apply(replace(make_settings(), categories=(changed,)))
    terms, current = active.terms_of(accepted), active.terms_of(entry(""))
    assert terms is not None and terms.category == CATEGORY
    assert current is not None and current.category == changed
    assert active.terms_of(entry("", "removed-class")) is None


def test_terms_that_cannot_be_decoded_are_logged_and_replaced_by_the_current_ones(
    caplog: pytest.LogCaptureFixture,
) -> None:
    active = make_active()
    terms = active.terms_of(entry('{"no": "terms"}'))
    assert terms is not None and terms.category == CATEGORY and "cannot be read" in caplog.text


def test_the_latency_deadline_is_computed_from_the_terms() -> None:
    expected = 100.0 - CATEGORY.deadline + CATEGORY.latency_target
    assert make_active().latency_deadline(entry("")) == pytest.approx(expected)
