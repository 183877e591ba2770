"""The machines that know no clock, no disk and no link."""

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
from emberlatch.cluster.dispatch import Dispatcher, DispatchSettings, Verdict
from emberlatch.cluster.dispatch.verdict import classify_response
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


def merged(words: tuple[tuple[MessageState, str, int, str, int], ...]) -> tuple[object, ...]:
    made = record()
    for word in words:
        made.merge(*word)
    return made.state, made.seal, made.epoch, made.owner, made.attempts


@test("merging copies in any order, any number of times, gives the same")
def _() -> None:
    for count in (2, 3):
        for words in itertools.product(REPORTS, repeat=count):
            results = {merged(order) for order in itertools.permutations(words)} | {merged(words + words)}
            assert len(results) == 1, str(words)


@test("a success beats everything; a void beats a copy of its own writing, and not one that was taken later")
def _() -> None:
    assert merged(tuple(REPORTS))[0] is MessageState.COMPLETED
    assert merged((REPORTS[2], REPORTS[0]))[0] is MessageState.CANCELLED
    assert merged((REPORTS[2], REPORTS[1]))[0] is MessageState.QUEUED


@test("digests of two indexes are alike if and only if what they share is")
def _() -> None:
    chance = random.Random(3)
    ours, theirs = RecordIndex("a"), RecordIndex("b")
    for n in range(500):
        for index in (ours, theirs):
            if chance.random() < 0.97:
                index.put(record(f"m{n}"))
    for index in (ours, theirs):
        for one in list(index.records.values()):
            if chance.random() < 0.05:
                one.merge(MessageState.COMPLETED, "s", 1, "a", 0)
                index.changed(one)
            elif chance.random() < 0.02:
                index.drop(one)
    ranges = ours.differing_ranges("b", theirs.digests("a"))
    want, give = ours.compare("b", ranges, theirs.summary("a", ranges))
    ids = {*ours.records, *theirs.records}
    unlike = {
        i
        for i in ids
        if (a := ours.records.get(i)) is None or (b := theirs.records.get(i)) is None or a.state != b.state
    }
    assert unlike and {*want, *(r.id for r in give)} == unlike
    for id in want:
        ours.drop(ours.records[id]) if id in ours.records else None
        copy = record(id)
        copy.merge(theirs.records[id].state, "s", 1, "a", 0)
        ours.put(copy)
    for one in give:
        theirs.drop(theirs.records[one.id]) if one.id in theirs.records else None
        copy = record(one.id)
        copy.merge(one.state, "s", 1, "a", 0)
        theirs.put(copy)
    assert ours.differing_ranges("b", theirs.digests("a")) == []


def beat(**more: object) -> dict[str, object]:
    told = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "capacity": 2,
        "state": "in_service",
        "sequence": 1,
    }
    return told | {"warmup_left_ms": 0} | more


@test("a beat out of sequence does not bring a draining target back, nor one that is gone")
def _() -> None:
    targets = TargetDirectory(1.0)
    targets.apply_heartbeat("i-1", beat(sequence=5, state="draining"), 0.0)
    targets.apply_heartbeat("i-1", beat(sequence=4), 0.1)
    states = [targets.known["i-1"].state]
    targets.deregister("i-1", 0.2)
    targets.apply_heartbeat("i-1", beat(sequence=9), 0.3)
    states.append(targets.known["i-1"].state)
    assert states == [TargetState.DRAINING, TargetState.DEREGISTERED]


@test("an address that another life has announced is the first life's no more")
def _() -> None:
    targets = TargetDirectory(1.0)
    targets.apply_heartbeat("i-1", beat(), 0.0)
    targets.apply_heartbeat("i-2", beat(service="other"), 1.0)
    assert (
        targets.known["i-1"].state is TargetState.DEREGISTERED
        and targets.known["i-2"].state is TargetState.IN_SERVICE
    )


@test("that a target is silent is an opinion: old news do not end it, its next beat does, and nobody is told")
def _() -> None:
    targets = TargetDirectory(1.0)
    target = targets.apply_heartbeat("i-1", beat(), 0.0).target
    old = target.report(5.0)
    targets.expire(5.0)
    known = targets.known["i-1"]
    assert known.lease_expired and not known.available and known.report(5.0).state is TargetState.IN_SERVICE
    targets.apply_report(old, 5.1)
    assert known.lease_expired
    targets.apply_heartbeat("i-1", beat(sequence=2), 6.0)
    assert known.available


@test("a report of a target goes through the wire unchanged, as a list in the agreed order")
def _() -> None:
    fields = ["i-1", "service", ["10.0.0.1", 80], "z", 2, 1, 7, 0.5, -1.25]
    report = TargetReport.from_wire(fields)
    assert report.address == ("10.0.0.1", 80) and report.state is TargetState.DRAINING
    assert report.to_wire() == fields
    bad: tuple[object, ...] = (None, {}, fields[:-1], [*fields[:5], 3, *fields[6:]], [7, *fields[1:]])
    for wrong in bad:
        try:
            TargetReport.from_wire(wrong)
            raise AssertionError(wrong)
        except MessageDecodeError:
            pass


@test("a beat that can't be read is refused by its reason and changes nothing")
def _() -> None:
    targets = TargetDirectory(1.0)
    bad = (
        {"sequence": "7"},
        {"capacity": True},
        {"address": "nowhere"},
        {"state": "asleep"},
        {"service": ""},
        {"capacity": -1},
    )
    for wrong in bad:
        try:
            targets.apply_heartbeat("i-1", beat(**wrong), 0.0)
            raise AssertionError(wrong)
        except InvalidHeartbeatError:
            pass
    assert not targets.known


def configuration(**more: object) -> dict[str, object]:
    route = {"name": "r", "host_name": "h", "path_prefix": "/a/", "service": "s", "guard_timer_ms": 500}
    return {"revision": 1, "route_entries": [route], "services": [{"name": "s"}], "limits": {}} | more


@test("a configuration is taken whole or refused with its reason")
def _() -> None:
    assert read_configuration(json.dumps(configuration()).encode()).revision == configuration()["revision"]
    route = {"name": "r", "host_name": "h", "path_prefix": "/a/", "service": "s", "guard_timer_ms": 500}
    wrong = [
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
    for raw in wrong:
        with raises(ConfigurationError) as error:
            read_configuration(raw)
        assert str(error.raised), raw[:80]


@test("the longest prefix of the host decides, whatever case and port the host has")
def _() -> None:
    routes = [
        {"name": n, "host_name": "H", "path_prefix": p, "service": "s", "guard_timer_ms": 5}
        for n, p in (("short", "/a/"), ("long", "/a/b/"))
    ]
    config = read_configuration(json.dumps(configuration(route_entries=routes)).encode())
    names = [r.name if (r := config.route("h:80", path)) else None for path in ("/a/b/c", "/a/c", "/b")]
    assert names == ["long", "short", None]


@test("a bad setting is one line with file, line and reason")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        good = 'node = "a"\nip = "10.0.0.1"\nzone = "z"\nserves = ["front"]\nport_range = [1,2]\nseeds = []\n'
        listen = '[listen]\nfront = "10.0.0.1:80"\nready = "10.0.0.1:81"\n'
        path.write_text(good + "unheard_of = 3\n" + listen)
        assert read_settings(path).inner_port == 1
        for text, line, word in (
            (good.replace("[1,2]", '"x"') + listen, 5, "port_range"),
            (good.replace('"z"', "7") + listen, 3, "zone"),
            (good + '[listen]\nfront = "nowhere"\nready = "10.0.0.1:81"\n', 8, "front"),
            (good + listen + "[limits]\nmemory_mb = -1\n", 11, "memory_mb"),
            ("node = \n", 1, "TOML"),
        ):
            path.write_text(text)
            with raises(SettingsError) as error:
                read_settings(path)
            assert f"{path}:{line}:" in str(error.raised) and word in str(error.raised), (text, error.raised)


@test("three shares of a rate keep it in every sliding window, also when one starts anew within it")
def _() -> None:
    chance = random.Random(1)
    for rate in (2.0, 6.0, 19.5, 200.0):
        sent, now = list[float](), 0.0
        for share in range(3):
            now, rate_share = 0.0, RateShare(5.0, 1.1, 0.0)
            for _ in range(int(rate * 40)):
                now += chance.expovariate(rate)
                if chance.random() < 0.01:
                    rate_share = RateShare(5.0, 1.1, now) if share == 1 else rate_share
                if rate_share.next_token_at(now, rate, 3) <= now:
                    rate_share.take_token()
                    sent.append(now)
        sent.sort()
        max_in_window = max(sum(a <= b < a + 5.0 for b in sent[n : n + 1200]) for n, a in enumerate(sent))
        assert max_in_window <= rate * 5.0 * 1.1 + 5
        assert len(sent) > 0.7 * rate * now


@test("what a response says of its message")
def _() -> None:
    verdicts = {
        (200, "seal", False): Verdict.COMPLETED, (200, "", False): Verdict.UNKNOWN, (500, "", False): Verdict.ATTEMPT_FAILED,
        (422, "", False): Verdict.REJECTED_PERMANENTLY, (421, "", True): Verdict.WRONG_INSTANCE, (409, "", True): Verdict.STILL_RUNNING,
        (503, "", True): Verdict.OVERLOADED, (429, "", True): Verdict.OVERLOADED, (504, "", False): Verdict.UNKNOWN,
    }  # fmt: skip
    for (status, seal, not_executed), verdict in verdicts.items():
        assert classify_response(status, seal, not_executed) is verdict, status


@test("what is told of a record and read again is the same, whatever the other's clock says")
def _() -> None:
    made = record()
    made.sent_at, made.due_at, made.expires_at, made.version = 100.0, 104.0, 190.0, 7
    copy = Record.from_wire(made.to_wire(101.0, made.body), 5001.0)
    assert (copy.due_at - 5001.0, copy.expires_at - 5001.0, copy.version, copy.ended_at) == (
        3.0,
        89.0,
        7,
        0.0,
    )
    assert copy.fingerprint() == made.fingerprint()


@test("a wake-up that is due already is one on every loop")
def _() -> None:
    async def wake() -> None:
        dispatcher = Dispatcher(DispatchSettings("z", 1, 5.0, 1.1, 8), Tasks(), RecordingOwner())
        now = asyncio.get_running_loop().time()
        for at in (now - 1, now - 2, now + 5, now):
            dispatcher._delayed.wake_at(at)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert dispatcher._delayed._wakes_at == math.inf

    for make in (asyncio.new_event_loop, uvloop.new_event_loop):
        loop = make()
        loop.run_until_complete(wake())
        loop.close()
