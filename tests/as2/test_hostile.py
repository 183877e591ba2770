"""A small fixed set of hostile inputs; `python -m benchmarks.as2 fuzz` goes on from there."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from emberlatch.as2 import mdn, mime, names
from emberlatch.as2.errors import As2Error, MimeError
from tests.as2.hostile import drawn, parsers, take


def test_turned_bytes_cost_a_verdict_and_nothing_else() -> None:
    said = {take(raw) for raw in itertools.islice(drawn(1), 1500)}
    assert {"read", "authentication-failed", "unexpected-processing-error"} <= said


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_noise_costs_a_verdict_and_nothing_else(raw: bytes) -> None:
    take(raw)
    parsers(raw)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.text(max_size=300))
def test_noise_in_headers_costs_a_verdict_and_nothing_else(text: str) -> None:
    for parse in (names.unquoted, names.message_id, lambda value: mime.parameter(value, "boundary")):
        try:
            parse(text)
        except MimeError:
            continue
    mdn.wanted(text)
    kind = (("Content-Type", text), ("Content-Transfer-Encoding", text))
    try:
        entity = mime.of(kind, b"--x\r\n\r\n--x--")
        entity.content()
        mime.parts(entity)
    except As2Error:
        pass
