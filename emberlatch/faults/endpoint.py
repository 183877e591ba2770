"""A simulated endpoint of a partner, which reports its calls to the checks and the trace."""

from __future__ import annotations

from collections import deque

from emberlatch.faults.capacity_bound import CapacityBound
from emberlatch.faults.checks import RuleChecks
from emberlatch.faults.plan import FaultKind, partner_of
from emberlatch.faults.settings import BEHAVIOURS
from emberlatch.faults.trace import Trace, TraceEvent
from emberlatch.standins import CallOutcome, Condition, EndpointModel, Message, PartnerServer
from emberlatch.standins.endpoint_model import OUTAGES, IdempotencyKeys

LONG_HANG_S = 6.0  # after a hang of this duration, the checks expect that forwarders have detected the hang
ONLY_FORWARDER = "f0"
"""The name that is used for the caller on real sockets. They don't show the calling process, and runs on real
sockets have only one forwarder."""


class SimulatedEndpoint:
    """One endpoint; `keys` has the idempotency keys that the endpoints of its partner and zone share."""

    def __init__(
        self,
        name: str,
        keys: IdempotencyKeys,
        seed: int,
        checks: RuleChecks,
        capacity_bound: CapacityBound,
        trace: Trace,
    ) -> None:
        self.name = name
        self.active_faults: list[FaultKind] = []
        self._model = EndpointModel(BEHAVIOURS[partner_of(name)], keys, seed=seed)
        self.server = PartnerServer(self._model, self)
        self._checks, self._capacity_bound, self._trace = checks, capacity_bound, trace
        self._condition_since = 0.0
        self._recent_calls: deque[tuple[float, str]] = deque()  # each call's time and forwarder
        self._callers: dict[int, str] = {}  # the forwarder of each call in flight, by the number of the call

    @property
    def is_isolated(self) -> bool:
        """Whether the endpoint's host is unreachable."""
        return FaultKind.ISOLATED in self.active_faults

    @property
    def has_hung_long(self) -> bool:
        """Whether the endpoint has been hanging for more than `LONG_HANG_S`."""
        is_hanging = self._model.condition is Condition.HANG
        return is_hanging and self._trace.now - self._condition_since > LONG_HANG_S

    async def apply_condition(self) -> None:
        """Change to the condition of the latest active fault, or to healthy if there is none."""
        faults = [fault for fault in self.active_faults if fault is not FaultKind.ISOLATED]
        condition = Condition(faults[-1]) if faults else Condition.HEALTHY
        if condition is not self._model.condition:
            self._condition_since = self._trace.now
        if condition in OUTAGES:
            self._checks.on_outage(self.name)
        await self.server.set_condition(condition)
        self._capacity_bound.on_condition(self._trace.now, self.name, condition)

    def on_call(self, number: int, process: str, messages: list[Message]) -> None:
        """Report that the last byte of a call arrived."""
        now, forwarder = self._trace.now, process or ONLY_FORWARDER
        message_ids = [message.id for message in messages]
        self._trace.record(TraceEvent.CALL, self.name, number, forwarder, *message_ids)
        self._recent_calls.append((now, forwarder))
        self._callers[number] = forwarder
        while self._recent_calls[0][0] < now - self._model.behaviour.overload_tolerance_s:
            self._recent_calls.popleft()
        self._checks.on_call(now, forwarder, self.name, number, message_ids)

    def on_answer(self, number: int, outcome: CallOutcome) -> None:
        """Report that the answer to a call was written."""
        now, status, retry_after_s = self._trace.now, outcome.status, outcome.retry_after
        self._trace.record(TraceEvent.ANSWER, self.name, number, status, retry_after_s)
        is_received, caller = not self.is_isolated, self._callers.pop(number)
        if is_received and retry_after_s:
            self._capacity_bound.on_retry_after(now, self.name, caller, retry_after_s)
        self._checks.on_call_answered(
            now, self.name, number, status, outcome.complete, retry_after_s, is_received
        )

    def on_disconnect(self, number: int) -> None:
        """Report that the connection of a call ended without an answer."""
        self._callers.pop(number, None)
        self._trace.record(TraceEvent.DISCONNECTED, self.name, number)
        self._checks.on_call_broken(self._trace.now, self.name, number)

    def report_overload(self) -> None:
        """If the endpoint was overloaded, report its recent callers once, and let it serve again."""
        if self._model.overloaded:
            callers = [forwarder for _, forwarder in self._recent_calls]
            self._checks.on_overload(self._trace.now, self.name, callers)
            self._model.overloaded = False
