"""The number of requests completed in time, compared with the number that was attainable."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from emberlatch.faults.capacity_bound import CapacityBound
from emberlatch.faults.checks import CheckedMessage
from emberlatch.faults.clients import SimulatedClients
from emberlatch.faults.plan import Plan
from emberlatch.faults.settings import MAX_LATENCY_TARGET_S

RECOVERY_S = 10.0  # time after the last fault in which endpoints warm up; then service must be normal
MIN_SERVED_SHARE = 0.7  # required share of the attainable requests after the recovery
# Share of the requests that each single forwarder must complete in time. Without this limit, the other
# forwarders could hide one that is stuck.
MIN_SERVED_SHARE_OF_EACH = 0.3
MIN_REQUESTS = 16  # least number of requests for a check; half of it for a single forwarder


class ServiceLevel(NamedTuple):
    """The number of requests completed in time, and the upper bound of that number (`capacity_bound`)."""

    served: int
    attainable: int


class ServiceMeasurement:
    """Measures the service level of a finished run."""

    def __init__(
        self,
        plan: Plan,
        clients: Sequence[SimulatedClients],
        messages: Mapping[str, CheckedMessage],
        capacity_bound: CapacityBound,
    ) -> None:
        self._plan, self._clients, self._messages = plan, clients, messages
        self._capacity_bound = capacity_bound
        # Later requests may be due after the end of the run, so they are not counted:
        self._until = plan.duration_s - MAX_LATENCY_TARGET_S

    def since(self, since: float) -> ServiceLevel:
        """The service level for requests from the time `since` on, in seconds from the start of the run."""
        demand = [message for clients in self._clients for message in clients.demanded()]
        served = sum(sum(self._in_time(clients, since)) for clients in self._clients)
        return ServiceLevel(served, self._capacity_bound.count_servable(demand, since, self._until))

    def after_recovery(self) -> ServiceLevel:
        """The service level for requests from `RECOVERY_S` after the last fault on."""
        return self.since(self._recovered_at)

    @property
    def _recovered_at(self) -> float:
        return self._plan.last_fault_end_s + RECOVERY_S

    def _in_time(self, clients: SimulatedClients, since: float) -> list[bool]:
        return [in_time for _, in_time in clients.served_in_time(since, self._until, self._messages)]

    def shortfalls(self) -> Iterator[str]:
        """Yield a text for each way in which service after the recovery is worse than required."""
        served, attainable = self.after_recovery()
        if attainable >= MIN_REQUESTS and served < MIN_SERVED_SHARE * attainable:
            yield (
                f"{served} of {attainable} attainable requests in time after the recovery, "
                f"required {MIN_SERVED_SHARE:.0%}"
            )
        for clients in self._clients:
            in_time = self._in_time(clients, self._recovered_at)
            if len(in_time) < MIN_REQUESTS // 2:
                continue
            if sum(in_time) < MIN_SERVED_SHARE_OF_EACH * len(in_time):
                yield (
                    f"{clients.name} served {sum(in_time)} of {len(in_time)} in time after the recovery, "
                    f"required {MIN_SERVED_SHARE_OF_EACH:.0%}"
                )
