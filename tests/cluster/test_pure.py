"""Unit tests of components that need neither a cluster nor its simulated clock, disk and network."""

import asyncio
import itertools
import json
import math
import random
import tempfile
from pathlib import Path

import uvloop
from ward import raises, test

from emberlatch.cluster.discovery import InvalidHeartbeatError, TargetDirectory, TargetReport, TargetState
from emberlatch.cluster.dispatch import DeliveryResult, Dispatcher, DispatchSettings
from emberlatch.cluster.dispatch.delivery_result import classify_response
from emberlatch.cluster.message_store import MessageState, Record, RecordIndex
from emberlatch.cluster.rate_limits import RateShare
from emberlatch.cluster.rpc import MessageDecodeError
from emberlatch.cluster.settings import (
    ConfigurationError,
    SettingsError,
    read_configuration,
    read_settings,
)
from emberlatch.engine import Tasks
from tests.cluster.dispatch_support import RecordingOwner
from tests.cluster.support import record

REPORTS = [
    (MessageState.QUEUED, "", 1, "a", 0),
    (MessageState.QUEUED, "", 2, "b", 1),
    (MessageState.CANCELLED, "", 1, "a", 0),
    (MessageState.COMPLETED, "seal", 1, "a", 2),
    (MessageState.DEAD_LETTERED, "", 2, "b", 3),
]


def merged(reports: tuple[tuple[MessageState, str, int, str, int], ...]) -> tuple[object, ...]:
    """Merge reports into a record in this order, and return the resulting fields."""
    target = record()
    for report in reports:
        target.merge(*report)
    return target.state, target.seal, target.epoch, target.owner, target.attempts


@test("merging reports of a record in any order and any number of times gives the same result")
def _() -> None:
    for count in (2, 3):
        for reports in itertools.product(REPORTS, repeat=count):
            results = {merged(order) for order in itertools.permutations(reports)} | {
                merged(reports + reports)
            }
            assert len(results) == 1, str(reports)


@test("completion overrides all reports; a cancellation overrides a copy of its epoch but not of a later one")
def _() -> None:
    assert merged(tuple(REPORTS))[0] is MessageState.COMPLETED
    assert merged((REPORTS[2], REPORTS[0]))[0] is MessageState.CANCELLED
    assert merged((REPORTS[2], REPORTS[1]))[0] is MessageState.QUEUED


@test("digests of two indexes differ exactly for the records that differ, and match after an exchange")
def _() -> None:
    random_source = random.Random(3)
    ours, theirs = RecordIndex("a"), RecordIndex("b")
    for n in range(500):
        for index in (ours, theirs):
            if random_source.random() < 0.97:
                index.put(record(f"m{n}"))
    for index in (ours, theirs):
        for stored in list(index.records.values()):
            if random_source.random() < 0.05:
                stored.merge(MessageState.COMPLETED, "s", 1, "a", 0)
                index.update_record_digests(stored)
            elif random_source.random() < 0.02:
                index.remove(stored)
    ranges = ours.differing_ranges("b", theirs.digests("a"))
    requested, offered = ours.compare("b", ranges, theirs.summary("a", ranges))
    ids = {*ours.records, *theirs.records}
    different = {
        i
        for i in ids
        if (a := ours.records.get(i)) is None or (b := theirs.records.get(i)) is None or a.state != b.state
    }
    assert different and {*requested, *(r.id for r in offered)} == different
    for id in requested:
        ours.remove(ours.records[id]) if id in ours.records else None
        copy = record(id)
        copy.merge(theirs.records[id].state, "s", 1, "a", 0)
        ours.put(copy)
    for original in offered:
        theirs.remove(theirs.records[original.id]) if original.id in theirs.records else None
        copy = record(original.id)
        copy.merge(original.state, "s", 1, "a", 0)
        theirs.put(copy)
    assert ours.differing_ranges("b", theirs.digests("a")) == []


def heartbeat_fields(**overrides: object) -> dict[str, object]:
    """Return the fields of a target's valid heartbeat, with some of them replaced."""
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "capacity": 2,
        "state": "in_service",
        "sequence": 1,
    }
    return fields | {"warmup_left_ms": 0} | overrides


@test("a late heartbeat does not return a draining target to service, nor any heartbeat a deregistered one")
def _() -> None:
    targets = TargetDirectory(1.0)
    targets.apply_heartbeat("i-1", heartbeat_fields(sequence=5, state="draining"), 0.0)
    targets.apply_heartbeat("i-1", heartbeat_fields(sequence=4), 0.1)
    states = [targets.targets_by_id["i-1"].state]
    targets.deregister("i-1", 0.2)
    targets.apply_heartbeat("i-1", heartbeat_fields(sequence=9), 0.3)
    states.append(targets.targets_by_id["i-1"].state)
    assert states == [TargetState.DRAINING, TargetState.DEREGISTERED]


@test("a target is deregistered when another incarnation reports its address")
def _() -> None:
    targets = TargetDirectory(1.0)
    targets.apply_heartbeat("i-1", heartbeat_fields(), 0.0)
    targets.apply_heartbeat("i-2", heartbeat_fields(service="other"), 1.0)
    assert (
        targets.targets_by_id["i-1"].state is TargetState.DEREGISTERED
        and targets.targets_by_id["i-2"].state is TargetState.IN_SERVICE
    )


@test("an expired lease is not reported to others; an old report does not renew it, the next heartbeat does")
def _() -> None:
    targets = TargetDirectory(1.0)
    target = targets.apply_heartbeat("i-1", heartbeat_fields(), 0.0).target
    old_report = target.report(5.0)
    targets.expire(5.0)
    known = targets.targets_by_id["i-1"]
    assert known.lease_expired and not known.available and known.report(5.0).state is TargetState.IN_SERVICE
    targets.apply_report(old_report, 5.1)
    assert known.lease_expired
    targets.apply_heartbeat("i-1", heartbeat_fields(sequence=2), 6.0)
    assert known.available


@test("a target report decodes and encodes to the same list; a malformed one raises MessageDecodeError")
def _() -> None:
    fields = ["i-1", "service", ["10.0.0.1", 80], "z", 2, 1, 7, 0.5, -1.25]
    report = TargetReport.from_wire(fields)
    assert report.address == ("10.0.0.1", 80) and report.state is TargetState.DRAINING
    assert report.to_wire() == fields
    malformed: tuple[object, ...] = (None, {}, fields[:-1], [*fields[:5], 3, *fields[6:]], [7, *fields[1:]])
    for payload in malformed:
        try:
            TargetReport.from_wire(payload)
            raise AssertionError(payload)
        except MessageDecodeError:
            pass


@test("an invalid heartbeat raises InvalidHeartbeatError and changes no target")
def _() -> None:
    targets = TargetDirectory(1.0)
    invalid = (
        {"sequence": "7"},
        {"capacity": True},
        {"address": "nowhere"},
        {"state": "asleep"},
        {"service": ""},
        {"capacity": -1},
    )
    for fields in invalid:
        try:
            targets.apply_heartbeat("i-1", heartbeat_fields(**fields), 0.0)
            raise AssertionError(fields)
        except InvalidHeartbeatError:
            pass
    assert not targets.targets_by_id


def configuration(**overrides: object) -> dict[str, object]:
    """Return a valid configuration document, with some of its entries replaced."""
    route = {"name": "r", "host_name": "h", "path_prefix": "/a/", "service": "s", "guard_timer_ms": 500}
    return {"revision": 1, "route_entries": [route], "services": [{"name": "s"}], "limits": {}} | overrides


@test("a valid configuration is decoded; an invalid one raises ConfigurationError with a reason")
def _() -> None:
    assert read_configuration(json.dumps(configuration()).encode()).revision == configuration()["revision"]
    route = {"name": "r", "host_name": "h", "path_prefix": "/a/", "service": "s", "guard_timer_ms": 500}
    invalid = [
        json.dumps(configuration()).encode()[:-20],
        b"[]",
        b"\xff\xfe",
        json.dumps(configuration(revision="1")).encode(),
        json.dumps(configuration(revision=True)).encode(),
        json.dumps(configuration(route_entries=[route | {"service": "t"}])).encode(),
        json.dumps(configuration(route_entries=[route, route | {"name": "q"}])).encode(),
        json.dumps(configuration(route_entries=[route | {"guard_timer_ms": 0}])).encode(),
        json.dumps(configuration(route_entries=[route | {"guard_timer_ms": "500"}])).encode(),
        json.dumps(configuration(services=[{"name": "s", "rate_per_s": -1}])).encode(),
        json.dumps({"revision": 1}).encode(),
        b'{"a":' * 100_000,
    ]
    for raw in invalid:
        with raises(ConfigurationError) as error:
            read_configuration(raw)
        assert str(error.raised), raw[:80]


@test("a request gets its host's route with the longest matching prefix, whatever the host's case and port")
def _() -> None:
    routes = [
        {"name": n, "host_name": "H", "path_prefix": p, "service": "s", "guard_timer_ms": 5}
        for n, p in (("short", "/a/"), ("long", "/a/b/"))
    ]
    config = read_configuration(json.dumps(configuration(route_entries=routes)).encode())
    names = [r.name if (r := config.route("h:80", path)) else None for path in ("/a/b/c", "/a/c", "/b")]
    assert names == ["long", "short", None]


@test("an invalid setting raises SettingsError with file, line and field; an unknown one is ignored")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        valid = (
            'node = "a"\nip = "10.0.0.1"\nzone = "z"\nserves = ["front"]\nport_range = [1,2]\nseeds = []\n'
        )
        listen = '[listen]\nfront = "10.0.0.1:80"\nready = "10.0.0.1:81"\n'
        path.write_text(valid + "unheard_of = 3\n" + listen)
        assert read_settings(path).inner_port == 1
        for text, line, expected in (
            (valid.replace("[1,2]", '"x"') + listen, 5, "port_range"),
            (valid.replace('"z"', "7") + listen, 3, "zone"),
            (valid + '[listen]\nfront = "nowhere"\nready = "10.0.0.1:81"\n', 8, "front"),
            (valid + listen + "[limits]\nmemory_mb = -1\n", 11, "memory_mb"),
            ("node = \n", 1, "TOML"),
        ):
            path.write_text(text)
            with raises(SettingsError) as error:
                read_settings(path)
            assert f"{path}:{line}:" in str(error.raised) and expected in str(error.raised), (
                text,
                error.raised,
            )


@test("three shares of a rate limit stay within it in every sliding window, even if one restarts")
def _() -> None:
    random_source = random.Random(1)
    for rate in (2.0, 6.0, 19.5, 200.0):
        sent, now = list[float](), 0.0
        for share in range(3):
            now, rate_share = 0.0, RateShare(5.0, 1.1, 0.0)
            for _ in range(int(rate * 40)):
                now += random_source.expovariate(rate)
                if random_source.random() < 0.01:
                    rate_share = RateShare(5.0, 1.1, now) if share == 1 else rate_share
                if rate_share.next_token_at(now, rate, 3) <= now:
                    rate_share.take_token()
                    sent.append(now)
        sent.sort()
        max_in_window = max(sum(a <= b < a + 5.0 for b in sent[n : n + 1200]) for n, a in enumerate(sent))
        assert max_in_window <= rate * 5.0 * 1.1 + 5
        assert len(sent) > 0.7 * rate * now


@test("a response is classified by its status, its seal and whether the message was not executed")
def _() -> None:
    delivery_results = {
        (200, "seal", False): DeliveryResult.COMPLETED, (200, "", False): DeliveryResult.UNKNOWN, (500, "", False): DeliveryResult.ATTEMPT_FAILED,
        (422, "", False): DeliveryResult.REJECTED_PERMANENTLY, (421, "", True): DeliveryResult.WRONG_INSTANCE, (409, "", True): DeliveryResult.STILL_RUNNING,
        (503, "", True): DeliveryResult.OVERLOADED, (429, "", True): DeliveryResult.OVERLOADED, (504, "", False): DeliveryResult.UNKNOWN,
    }  # fmt: skip
    for (status, seal, not_executed), delivery_result in delivery_results.items():
        assert classify_response(status, seal, not_executed) is delivery_result, status


@test("a record decoded by a store with another clock has the same fingerprint and the same remaining times")
def _() -> None:
    original = record()
    original.sent_at, original.due_at, original.expires_at, original.config_revision = 100.0, 104.0, 190.0, 7
    copy = Record.from_wire(original.to_wire(101.0, original.body), 5001.0)
    assert (copy.due_at - 5001.0, copy.expires_at - 5001.0, copy.config_revision, copy.ended_at) == (
        3.0,
        89.0,
        7,
        0.0,
    )
    assert copy.fingerprint() == original.fingerprint()


@test("a wake-up that is due already fires and leaves no timer pending, on asyncio's loop and on uvloop")
def _() -> None:
    async def wake() -> None:
        dispatcher = Dispatcher(DispatchSettings("z", 1, 5.0, 1.1, 8), Tasks(), RecordingOwner())
        now = asyncio.get_running_loop().time()
        for at in (now - 1, now - 2, now + 5, now):
            dispatcher._delayed.wake_at(at)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert dispatcher._delayed._wakes_at == math.inf

    for new_event_loop in (asyncio.new_event_loop, uvloop.new_event_loop):
        loop = new_event_loop()
        loop.run_until_complete(wake())
        loop.close()
