"""Endpoint reports: the newest one counts. If their order is unknown, the more severe one counts."""

from __future__ import annotations

import itertools

from emberlatch.core.interface import Phase
from emberlatch.fleet.endpoint_reports import MAX_ENDPOINTS, EndpointReports


def test_the_newest_report_counts_in_any_order_of_arrival() -> None:
    phases = [(Phase.DRAINING, 10.0), (Phase.READY, 20.0), (Phase.REMOVED, 30.0), (Phase.READY, 40.0)]
    for order in itertools.permutations(phases):
        reports = EndpointReports()
        for phase, since in order:
            reports.record("t", phase, since)
        assert [(report.phase, report.age_s) for report in reports.all(50.0)] == [(Phase.READY, 10.0)]


def test_the_most_severe_of_simultaneous_reports_counts() -> None:
    for order in itertools.permutations([(Phase.DRAINING, 10.0), (Phase.READY, 10.3), (Phase.REMOVED, 9.8)]):
        reports = EndpointReports()
        for phase, since in order:
            reports.record("t", phase, since)
        assert reports.all(50.0)[0].phase == Phase.REMOVED


def test_a_known_phase_is_no_change_and_too_many_reports_drop_the_oldest() -> None:
    reports = EndpointReports()
    assert reports.record("t", Phase.DRAINING, 1.0) and not reports.record("t", Phase.DRAINING, 9.0)
    assert not reports.record("t", Phase.READY, 0.2)
    for number in range(MAX_ENDPOINTS):
        reports.record(f"t{number}", Phase.REMOVED, 2.0 + number)
    assert len(reports.all(9e3)) == MAX_ENDPOINTS
    assert "t0" not in {report.target for report in reports.all(9e3)}
