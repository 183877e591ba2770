"""Renders a run as an SVG timeline with a lane for each endpoint and forwarder; time runs to the right."""

from __future__ import annotations

from html import escape

from emberlatch.faults.plan import ENDPOINT_FAULTS, ENDPOINTS, Fault, replacement_of
from emberlatch.faults.run import Report
from emberlatch.faults.trace import TraceEntry, TraceEvent

WIDTH_PX, LANE_PX, LABELS_PX, MARGIN_PX = 1400, 34, 110, 10
LANES = (*ENDPOINTS, *map(replacement_of, ENDPOINTS), "f0", "f1")
HEIGHT_PX = (len(LANES) + 2) * LANE_PX
EVENT_WIDTH_S = 0.1  # width of events without a duration
MIN_BAR_PX = 1.5
DELIVERED, REJECTED, FAILED, UNANSWERED = "#2a7", "#c90", "#c33", "#888"
STATUS_COLOURS = {200: DELIVERED, 429: REJECTED, 503: REJECTED, 500: FAILED, -1: FAILED, 0: FAILED}
NO_STATUS = 0


def render_svg(report: Report) -> str:
    """Render a report as SVG.

    Calls are bars from the arrival of their last byte to their answer, coloured by its status. Faults are
    rectangles behind the calls, breaches are red lines.
    """
    end = max([entry.at for entry in report.trace], default=1.0)
    timeline = _Timeline((WIDTH_PX - LABELS_PX - MARGIN_PX) / end)
    timeline.add_lanes()
    for fault in report.plan.faults:
        timeline.add_fault(fault)
    timeline.add_trace(report.trace, end)
    for breach in report.breaches:
        timeline.add_breach(breach.at, breach.rule, str(breach))
    return "\n".join([*timeline.parts, "</svg>\n"])


class _Timeline:
    """Collects the elements of the SVG; `scale` is in pixels per second."""

    def __init__(self, scale: float) -> None:
        self._scale = scale
        self._lanes = {name: number for number, name in enumerate(LANES)}
        self.parts = [
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{HEIGHT_PX}" '
            f'font-family="sans-serif" font-size="11">'
            f'<rect width="{WIDTH_PX}" height="{HEIGHT_PX}" fill="white"/>'
        ]

    def _x(self, at: float) -> float:
        return LABELS_PX + at * self._scale

    def add_lanes(self) -> None:
        for name, lane in self._lanes.items():
            y = (lane + 1) * LANE_PX
            self.parts.append(f'<text x="4" y="{lane * LANE_PX + 20}">{name}</text>')
            self.parts.append(f'<line x1="{LABELS_PX}" x2="{WIDTH_PX}" y1="{y}" y2="{y}" stroke="#ddd"/>')

    def add_fault(self, fault: Fault) -> None:
        until = fault.until if fault.until is not None else fault.since + EVENT_WIDTH_S
        colour = "#fde" if fault.kind in ENDPOINT_FAULTS else "#def"
        x, width = self._x(fault.since), (until - fault.since) * self._scale
        for name, lane in self._lanes.items():
            if not fault.has_target(name):
                continue
            self.parts.append(
                f'<rect x="{x:.1f}" y="{lane * LANE_PX + 1}" width="{width:.1f}" '
                f'height="{LANE_PX - 2}" fill="{colour}"><title>{escape(str(fault))}</title></rect>'
            )
            self.parts.append(
                f'<text x="{x + 2:.1f}" y="{lane * LANE_PX + 10}" fill="#a68">{escape(fault.kind)}</text>'
            )

    def add_trace(self, trace: tuple[TraceEntry, ...], end: float) -> None:
        """Add the calls, and the starts and deaths of processes."""
        calls_in_flight: dict[tuple[object, object], tuple[float, str]] = {}
        for at, event, details in trace:
            match event, details:
                case TraceEvent.CALL, (endpoint, number, forwarder, *message_ids):
                    text = f"{forwarder}: {' '.join(map(str, message_ids))}"
                    calls_in_flight[endpoint, number] = at, text
                case TraceEvent.ANSWER, (endpoint, number, int(status), _):
                    if (endpoint, number) in calls_in_flight:
                        self._add_call(endpoint, at, status, *calls_in_flight.pop((endpoint, number)))
                case TraceEvent.DISCONNECTED, (endpoint, number):
                    if (endpoint, number) in calls_in_flight:
                        self._add_call(endpoint, at, NO_STATUS, *calls_in_flight.pop((endpoint, number)))
                case TraceEvent.READY | TraceEvent.DOWN, (forwarder,):
                    colour = DELIVERED if event is TraceEvent.READY else FAILED
                    self._add_bar(forwarder, at, at + EVENT_WIDTH_S, colour, f"{at:.3f} {event}")
        for (endpoint, _), (since, text) in calls_in_flight.items():
            self._add_bar(endpoint, since, end, UNANSWERED, f"{since:.3f} {text} -> nothing")

    def _add_call(self, endpoint: object, until: float, status: int, since: float, text: str) -> None:
        title = f"{since:.3f}-{until:.3f} {text} -> {status}"
        self._add_bar(endpoint, since, until, STATUS_COLOURS.get(status, UNANSWERED), title)

    def _add_bar(self, lane_name: object, since: float, until: float, colour: str, title: str) -> None:
        y = self._lanes[str(lane_name)] * LANE_PX + 14
        x, width = self._x(since), max((until - since) * self._scale, MIN_BAR_PX)
        self.parts.append(
            f'<rect x="{x:.1f}" y="{y}" width="{width:.1f}" height="12" fill="{colour}" fill-opacity="0.6">'
            f"<title>{escape(title)}</title></rect>"
        )

    def add_breach(self, at: float, rule: str, title: str) -> None:
        x = self._x(at)
        self.parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{HEIGHT_PX}" stroke="red">'
            f"<title>{escape(title)}</title></line>"
            f'<text x="{x + 3:.1f}" y="{HEIGHT_PX - 8}" fill="red">{escape(rule)}</text>'
        )
