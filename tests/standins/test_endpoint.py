"""The stand-in partner, as a model on the test's clock and as a server on sockets."""

from __future__ import annotations

import asyncio
import json
import math
import sys
from collections.abc import Awaitable, Callable

import pytest

from emberlatch.demo import DemoPhase, DemoStatistics
from emberlatch.net.http_connection import Connection, NoResponseError, connect, parse_address
from emberlatch.standins import Behaviour, Condition, EndpointModel, Message, PartnerServer
from emberlatch.standins.endpoint_model import IdempotencyKeys
from tests.peers import ROOT

ONE_MESSAGE = [Message("m1", "k1")]
STEADY = Behaviour(
    service_time_s=0.1, service_time_variation=0.0, workers=2, queue_capacity=2, warm_up_s=10.0
)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        await asyncio.wait_for(test(), 30)

    asyncio.run(limited())


def test_workers_serve_and_a_full_queue_rejects() -> None:
    endpoint = EndpointModel(STEADY)
    outcomes = [endpoint.call(0.0, [Message(f"m{n}")]) for n in range(5)]
    assert [(round(outcome.at, 3), outcome.status) for outcome in outcomes] == [
        (0.1, 200),
        (0.1, 200),
        (0.2, 200),
        (0.2, 200),
        (0.0, 503),
    ]
    assert endpoint.call(0.15, ONE_MESSAGE).at == pytest.approx(0.3)


def test_a_rate_limit_is_enforced_and_reported() -> None:
    endpoint = EndpointModel(Behaviour(rate_limit_per_s=2.0, retry_after_s=0.7))
    outcomes = [endpoint.call(0.0, ONE_MESSAGE) for _ in range(3)]
    assert [outcome.status for outcome in outcomes] == [200, 200, 429]
    assert (outcomes[2].retry_after, outcomes[2].report) == (0.7, (0.0, 2.0))
    assert outcomes[0].report == (1.0, 2.0)
    assert endpoint.call(0.5, ONE_MESSAGE).status == 200


@pytest.mark.parametrize(
    ("condition", "status", "answered"),
    [
        (Condition.HANG, 200, False),
        (Condition.RESET, 0, True),
        (Condition.ERROR, 500, True),
        (Condition.FULL, 429, True),
    ],
)
def test_each_condition_has_its_outcome_and_is_followed_by_a_warm_up(
    condition: Condition, status: int, answered: bool
) -> None:
    endpoint = EndpointModel(STEADY)
    endpoint.set_condition(0.0, condition)
    outcome = endpoint.call(1.0, ONE_MESSAGE)
    assert outcome.status == status and (outcome.at < math.inf) == answered
    endpoint.set_condition(2.0, Condition.HEALTHY)
    assert endpoint.call(3.0, ONE_MESSAGE).at == pytest.approx(3 + 0.1 / (0.27 + 0.73 * 0.1))  # warm-up


def test_an_endpoint_fails_during_its_warm_up_only_under_high_load() -> None:
    for rate, fails in ((3.0, False), (30.0, True)):
        endpoint = EndpointModel(STEADY)
        endpoint.set_condition(0.0, Condition.HANG)
        endpoint.set_condition(5.0, Condition.HEALTHY)
        for n in range(int(9 * rate)):
            endpoint.call(5.0 + n / rate, ONE_MESSAGE)
        assert endpoint.overloaded is fails
        assert endpoint.accepts() is not fails
    assert endpoint.warmth(16.0) == 1.0


def test_a_key_takes_effect_once_within_its_window() -> None:
    keys = IdempotencyKeys(25.0)
    one, two = EndpointModel(STEADY, keys), EndpointModel(STEADY, keys)
    one.call(0.0, ONE_MESSAGE)
    two.call(20.0, ONE_MESSAGE)
    assert keys.effects == {"k1": 1}
    two.call(30.0, ONE_MESSAGE)
    assert keys.effects == {"k1": 2}


def call(name: str = "m1", path: str = "/v1/messages", body: bytes = b"x") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nX-Request-ID: {name}\r\nIdempotency-Key: {name}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def connected(server: PartnerServer) -> Connection:
    return await connect(parse_address(server.address), 5.0)


def test_a_server_answers_resets_refuses_and_listens_again_at_its_address() -> None:
    async def test() -> None:
        server = PartnerServer(EndpointModel(Behaviour(service_time_s=0.01, rate_limit_per_s=50.0)))
        await server.start()
        connection = await connected(server)
        answer = await connection.exchange(call())
        assert answer.status == 200 and answer.headers["x-server-load"] == "x0=1.000,x1=50.000"
        batch = b"a - 1\r\nx\r\nb k 2\r\nxx\r\n"
        answer = await connection.exchange(call(path="/v1/messages:batch", body=batch))
        assert bytes(answer.body) == b"a ok\r\nb ok\r\n"
        assert (await connection.exchange(call(path="/v1/messages:batch", body=b"a - x"))).status == 400
        await server.set_condition(Condition.RESET)
        with pytest.raises(NoResponseError):
            await connection.exchange(call())
        address = server.address
        await server.set_condition(Condition.REFUSING)
        with pytest.raises(ConnectionRefusedError):
            await connected(server)
        await server.set_condition(Condition.HEALTHY)
        assert server.address == address
        assert (await (await connected(server)).exchange(call())).status == 200
        await server.stop()

    run(test)


def test_a_process_hosts_several_endpoints_and_changes_their_conditions() -> None:
    async def test() -> None:
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "emberlatch.standins", cwd=ROOT, stdin=pipe, stdout=pipe
        )
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(b'[{"id": "a", "behaviour": {"work": 0.01}}, {"id": "b", "behaviour": {}}]\n')
        addresses = json.loads(await process.stdout.readline())
        connection = await connect(parse_address(addresses["a"]), 5.0)
        assert (await connection.exchange(call())).status == 200
        process.stdin.write(b'{"id": "a", "condition": "error"}\n')
        assert json.loads(await process.stdout.readline()) == {"id": "a", "calls": 1}
        assert (await connection.exchange(call())).status == 500
        process.stdin.close()
        assert await process.wait() == 0

    run(test)


def test_a_fault_is_contained_only_if_others_are_in_time_and_outcomes_are_unique() -> None:
    statistics = DemoStatistics(["a", "b"], "a", latency_target_s=1.0)
    for n in range(10):
        statistics.record_submission(f"a{n}", "a", DemoPhase.DURING, 0.0)
        statistics.record_submission(f"b{n}", "b", DemoPhase.BEFORE if n < 5 else DemoPhase.DURING, 0.0)
        statistics.record_outcome(f"b{n}", "delivered", 0.5)
    assert not statistics.summary().contained  # messages to the broken partner have no answer
    for n in range(10):
        statistics.record_outcome(f"a{n}", ("delivered", "refused", "failed")[n % 3], 2.0, "no capacity")
    assert statistics.summary().contained
    assert statistics.summary().partners["a"]["during"] == {
        "sent": 10, "service": 0.0, "median": 2.0, "late": 4, "refused": {"no capacity": 3}, "failed": 3,
    }  # fmt: skip
    statistics.record_outcome("a1", "delivered", 3.0)
    assert statistics.summary().answered_twice == 1 and not statistics.summary().contained
    late = DemoStatistics(["a", "b"], "a", latency_target_s=1.0)
    for n in range(100):
        late.record_submission(f"b{n}", "b", DemoPhase.BEFORE if n < 50 else DemoPhase.DURING, 0.0)
        late.record_outcome(f"b{n}", "delivered", 0.5 if n < 97 else 2.0)
    assert not late.summary().contained  # 6% of the messages to other partners were late
