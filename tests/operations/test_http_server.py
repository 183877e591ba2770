"""The operators' interface of a forwarder in this process: readiness, metrics, draining, invalid requests."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from emberlatch.operations import MAX_CONNECTIONS
from emberlatch.platform import ConfigError, read_config
from tests.forwarders import forwarder_with_operators
from tests.operators import call, read_metrics, until
from tests.peers import (
    config,
    message_headers,
    never_respond,
    read_message,
    read_status,
    request,
    run,
    submit,
)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/ops/readiness", 200),
        ("GET", "/ops/stats", 200),
        ("POST", "/ops/stats", 405),
        ("GET", "/ops/drain/start", 405),
        ("GET", "/healthz", 404),
        ("GET", "/", 404),
        ("GET", "/" + "x" * 9000, 431),
    ],
)
def test_each_request_gets_its_status(tmp_path: Path, method: str, path: str, status: int) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (_, operators, _, _):
            assert (await call(operators, method, path))[0] == status

    run(test)


def test_an_invalid_request_gets_400_and_does_not_affect_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (_, operators, _, _):
            reader, writer = await asyncio.open_connection("127.0.0.1", operators)
            writer.write(b"\x00nonsense\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"400"
            writer.close()
            assert (await call(operators, "GET", "/ops/readiness"))[0] == 200

    run(test)


def test_every_class_is_reported_before_it_has_messages(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (_, operators, _, _):
            metrics = await read_metrics(operators)
            assert {
                f"{outcome}.{c}" for outcome in ("success", "overload", "error") for c in ("payout", "order")
            } < set(metrics)
            assert {metrics.pop("targets")} | set(metrics.values()) == {0, 1}

    run(test)


def test_each_message_is_counted_once_by_its_outcome(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, operators, target, _):
            for number in range(3):
                assert await submit(port, f"m{number}") == 202
            metrics = await until(operators, {"success.status-update": 3})
            assert metrics["dispatches"] == 3 and metrics["concurrent"] == 0
            assert not any(value for name, value in metrics.items() if name.startswith(("overload", "error")))
            target.handler = never_respond
            assert await submit(port, "late", X_Timeout_Ms="3000", X_Priority_Class="order") == 202
            await until(operators, {"concurrent": 1, "dispatches": 4})
            metrics = await until(operators, {"concurrent": 0, "error.order": 1})
            assert metrics["success.status-update"] == 3

    run(test)


def test_bounced_and_rejected_messages_count_as_overload(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, operators, _, under_test):
            under_test.carrier.update([], {}, is_complete=True)
            target = next(iter(under_test.engine._forwarder.endpoints.values()))
            # Nothing can be sent: the message waits, and is bounced before its deadline.
            target.in_service = False
            assert await submit(port, "m1", X_Timeout_Ms="300") == 202
            metrics = await until(operators, {"overload.status-update": 1})
            assert metrics["concurrent"] == 0 and metrics["targets_disabled"] == 1

    run(test)


def test_a_drain_can_be_started_and_stopped(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, operators, target, _):
            idle_reader, idle = await asyncio.open_connection("127.0.0.1", port)
            idle.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert await read_status(idle_reader) == 200
            assert (await call(operators, "POST", "/ops/drain/start"))[0] == 200
            assert await idle_reader.read() == b""  # an idle connection is closed
            idle.close()
            status, headers = await request(port, "GET", "/healthz")
            assert status == 503 and headers["connection"] == "close"
            status, headers = await request(port, "POST", "/api", message_headers("m1"), b"x")
            assert status == 202 and headers["connection"] == "close"  # new requests are still served
            assert (await target.next()).headers["x-request-id"] == "m1"
            assert (await call(operators, "GET", "/ops/readiness"))[0] == 503
            assert (await call(operators, "POST", "/ops/drain/start"))[0] == 200  # idempotent
            assert (await call(operators, "POST", "/ops/drain/stop"))[0] == 200
            status, headers = await request(port, "GET", "/healthz")
            assert status == 200 and "connection" not in headers
            assert (await call(operators, "GET", "/ops/readiness"))[0] == 200
            # A stop without a started drain succeeds too.
            assert (await call(operators, "POST", "/ops/drain/stop"))[0] == 200

    run(test)


def test_a_request_that_arrived_before_a_drain_is_answered(tmp_path: Path) -> None:
    """The connection looks idle until the request is read; closing it then would lose the request."""

    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, _, _, under_test):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            await read_message(reader)
            writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            under_test.server.drain(True)  # before the loop has read the request
            line, headers, _ = await read_message(reader)
            assert line.split()[1] == "503" and headers["connection"] == "close"
            writer.close()

    run(test)


def test_shutdown_is_not_cancelled_by_the_end_of_a_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, operators, _, under_test):
            assert (await call(operators, "POST", "/ops/drain/start"))[0] == 200
            under_test.server.stop()
            assert (await call(operators, "POST", "/ops/drain/stop"))[0] == 409
            assert (await request(port, "GET", "/healthz"))[0] == 503

    run(test)


def test_idle_connections_do_not_block_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with forwarder_with_operators(tmp_path) as (port, operators, _, _):
            idle_connections = [await asyncio.open_connection("127.0.0.1", operators) for _ in range(200)]
            incomplete = [
                await asyncio.open_connection("127.0.0.1", operators) for _ in range(MAX_CONNECTIONS)
            ]
            for _, writer in incomplete:
                writer.write(b"GET /ops/sta")
            for number in range(5):
                assert (await call(operators, "GET", "/ops/readiness"))[0] == 200
                assert await submit(port, f"m{number}") == 202
            for reader, _ in idle_connections:
                assert await reader.read() == b""  # closed by its time-out or the connection limit
            responses = [await reader.read() for reader, _ in incomplete]
            assert any(response.startswith(b"HTTP/1.1 408") for response in responses)
            for _, writer in idle_connections + incomplete:
                writer.close()

    run(test)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:99999", ":1"])
def test_an_invalid_address_is_reported(tmp_path: Path, address: str) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config("127.0.0.1:1", {}, 1) | {"ops": address}))
    environment = {"EDGE_CONFIG": str(tmp_path / "config.json"), "EDGE_STATE": str(tmp_path)}
    with pytest.raises(ConfigError, match=r"^ops: "):
        read_config(environment)
    with pytest.raises(ConfigError, match=r"^EDGE_OPS: "):
        read_config(environment | {"EDGE_OPS": address})


def test_the_address_in_the_environment_overrides_the_one_in_the_file(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config("127.0.0.1:1", {}, 1) | {"ops": "127.0.0.1:2"}))
    environment = {"EDGE_CONFIG": str(tmp_path / "config.json"), "EDGE_STATE": str(tmp_path)}
    assert read_config(environment).operators == ("127.0.0.1", 2)
    assert read_config(environment | {"EDGE_OPS": "127.0.0.1:3"}).operators == ("127.0.0.1", 3)
