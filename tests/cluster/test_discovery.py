"""Compatibility of messages about targets: recorded payloads are decoded and re-encoded byte for byte."""

from __future__ import annotations

import cbor2
from ward import test

from emberlatch.cluster.discovery import TargetReport, TargetReports
from emberlatch.cluster.rpc import MessageDecodeError, RpcMethod
from tests.cluster.recorded_frames import payloads


@test("recorded target reports are encoded to the same bytes after decoding")
def _() -> None:
    reports = payloads(RpcMethod.TARGET, "request") + payloads(RpcMethod.TARGET, "notice")
    batches = payloads(RpcMethod.TARGETS, "notice")
    assert reports and batches
    for payload in reports:
        assert cbor2.dumps(TargetReport.from_wire(payload).to_wire()) == cbor2.dumps(payload)
    for payload in batches:
        assert cbor2.dumps(TargetReports.from_wire(payload).to_wire()) == cbor2.dumps(payload)


@test("decoding a batch that is not a list, or contains an invalid report, raises MessageDecodeError")
def _() -> None:
    malformed: tuple[object, ...] = (None, {}, "x", [None], [[1, 2]])
    for payload in malformed:
        try:
            TargetReports.from_wire(payload)
        except MessageDecodeError:
            continue
        raise AssertionError(payload)
