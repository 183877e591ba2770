"""Unit tests of the dispatcher's parts."""

from __future__ import annotations

from ward import test

from emberlatch.cluster.discovery import Target, TargetState
from emberlatch.cluster.dispatch.delivery import Delivery, DeliveryStage, DeliveryTable, Locality
from emberlatch.cluster.dispatch.delivery_result import MODULE_RESULTS, DeliveryResult
from emberlatch.cluster.dispatch.destinations import Destinations
from emberlatch.cluster.dispatch.module_settings import LeaseWaitCategories
from emberlatch.cluster.dispatch.outcomes import RETRY_BACKOFF_S
from emberlatch.cluster.dispatch.ports import DispatchSettings
from emberlatch.cluster.dispatch.quota import ServiceQuotas
from emberlatch.cluster.dispatch.ready_queue import ReadyQueue
from emberlatch.cluster.settings import Route, Service
from emberlatch.core import interface as api
from tests.cluster.dispatch_support import RecordingOwner
from tests.cluster.support import record

ROUTE = Route(
    name="r",
    host_name="a.example",
    path_prefix="/l/",
    route_type="deferred",
    guard_timer_ms=1000,
    nominal_ms=80,
    priority=1,
    service="ledger",
    max_attempts=4,
    in_order=False,
    retention_s=60.0,
    notify_uri=False,
    nominal_start_ms=800,
)


def delivery(id: str, due: float = 0.0) -> Delivery:
    made = Delivery(record(id))
    made.record.due_at, made.route, made.stage = due, ROUTE, DeliveryStage.READY
    return made


def target(
    id: str, zone: str = "z", state: TargetState = TargetState.IN_SERVICE, capacity: int = 5
) -> Target:
    return Target(id, "ledger", ("10.0.0.1", 80), zone, capacity, state, 1, 0.0)


@test(
    "a ready queue returns deliveries that can start in time before late ones, and skips those no longer READY"
)
def _() -> None:
    queue = ReadyQueue()
    for made in (
        late := delivery("late", 1.0),
        rescheduled := delivery("rescheduled", 5.0),
        timely := delivery("timely", 5.0),
    ):
        queue.push(made)
    rescheduled.stage = DeliveryStage.DELAYED
    assert queue and queue.pop(5.0) is timely
    assert queue.pop(5.0) is late
    assert queue.pop(5.0) is None and not queue


@test("a delivery is counted in its pool, and found by its ref, from its offer until it leaves the pool")
def _() -> None:
    table, queue, made = DeliveryTable(), ReadyQueue(), delivery("m")
    made.pool_sizes, made.locality = queue.pool_sizes, Locality.REMOTE
    table.assign_ref(made)
    for stage, count in (
        (DeliveryStage.QUEUED_IN_POOL, 1),
        (DeliveryStage.IN_FLIGHT, 1),
        (DeliveryStage.QUEUED_IN_POOL, 1),
        (DeliveryStage.DELAYED, 0),
        (DeliveryStage.READY, 0),
    ):
        table.change_stage(made, stage)
        assert queue.pool_sizes == [0, count] and (made.ref in table.by_ref) == (count > 0), stage


@test(
    "a remote target is announced with half its capacity; a locality without a target in service is unavailable"
)
def _() -> None:
    destinations = Destinations("z")
    for made, capacity in ((target("i-1"), 5), (target("i-2", "y"), 2), (target("i-3", "y", capacity=1), 1)):
        update = destinations.update_target(made)
        assert update is not None and update.entries[0].max_concurrency == capacity
    assert destinations.available("ledger") == [Locality.LOCAL, Locality.REMOTE]
    destinations.update_target(target("i-1", state=TargetState.DRAINING))
    assert destinations.available("ledger") == [Locality.REMOTE]
    assert destinations.expected_instance(b"i-1") == "i-1"
    assert destinations.update_target(target("i-4", state=TargetState.DEREGISTERED)) is None


@test("a fixed endpoint is announced once, expects no instance, and is removed with its configuration")
def _() -> None:
    destinations = Destinations("z")
    service = Service(name="ledger", max_connections=1, fixed_endpoint="10.0.0.9:81")
    (update,) = destinations.configure([service])
    (entry,) = update.entries
    assert update.addresses == {entry.target: ("10.0.0.9", 81)}
    assert destinations.expected_instance(entry.target) == ""
    assert not list(destinations.configure([service]))
    (update,) = destinations.configure([])
    assert [removed.phase for removed in update.entries] == [api.Phase.REMOVED]


@test("a new category of lease waits returns a settings event, a known category returns none")
def _() -> None:
    categories = LeaseWaitCategories()
    number, event = categories.add(0.28, 30.28)
    assert number == 0 and event is not None and event.settings.categories[0].name == "0.28/30.28"
    assert categories.add(0.28, 30.28) == (0, None)
    assert categories.add(0.14, 30.14)[0] == 1


@test("a call counts against its service's quota share; a service without a rate limit is never limited")
def _() -> None:
    quotas = ServiceQuotas(DispatchSettings("z", 1, 5.0, 1.1, 8), RecordingOwner())
    limited = Service(name="ledger", max_connections=1, rate_per_s=2.0)
    assert quotas.next_call_at(limited, 0.0) == 0.0
    assert quotas.try_spend(limited, 0.0) and not quotas.try_spend(limited, 0.0)
    assert 0.4 < quotas.next_call_at(limited, 0.0) < 0.6
    assert all(quotas.try_spend(Service(name="free", max_connections=1), 0.0) for _ in range(9))
    assert quotas.try_spend(None, 0.0) and quotas.max_in_pool(limited) == 2


@test("every delivery result has a result for the decision module, and the retry backoff never decreases")
def _() -> None:
    assert MODULE_RESULTS.keys() == set(DeliveryResult)
    assert list(RETRY_BACKOFF_S) == sorted(RETRY_BACKOFF_S)
