"""The standalone gateway on real sockets, with inventory changes while messages are in flight."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from emberlatch.config import load
from emberlatch.inventory import RefusedError
from emberlatch.standalone import StandaloneGateway, StartError
from emberlatch.standalone.answers import StatusAnswer, decode
from tests.peers import Exchange, Peer, accept, never_respond, request
from tests.standalone.running_gateway import (
    final_state,
    gateway_process,
    inventory_row,
    logged_outcomes,
    message_state,
    run_async_test,
    running_gateway,
    save_inventory,
    submit,
    write_configuration,
)


async def wait_for_endpoints(running: StandaloneGateway, rows: int) -> None:
    """Wait until the inventory in force has `rows` endpoints."""
    while len(running.membership.inventory) != rows:
        await asyncio.sleep(0.01)


async def refuse(exchange: Exchange) -> None:
    await exchange.answer(503)


def test_a_message_is_delivered_by_partner_name_and_its_outcome_can_be_queried(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as peer, running_gateway(tmp_path, inventory_row("m1", peer)) as (_, port):
            assert await submit(port, "p1") == 202
            assert (await peer.next()).headers["idempotency-key"] == "p1"
            assert await final_state(port, "p1") == "delivered"
            assert await message_state(port, "p2") is None
            assert await submit(port, "p3", "nobody") == 400
            assert [(e["id"], e["state"]) for e in logged_outcomes(tmp_path)] == [("p1", "delivered")]

    run_async_test(test)


def test_a_message_without_an_outcome_is_shown_as_in_flight(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            Peer(never_respond) as peer,
            running_gateway(tmp_path, inventory_row("m1", peer)) as (_, port),
        ):
            assert await submit(port, "p1", X_Timeout_Ms="600") == 202
            assert await message_state(port, "p1") == {"id": "p1", "state": "held"}
            assert await final_state(port, "p1") == "failed"  # the partner may have executed the message
            assert [(e["id"], e["state"]) for e in logged_outcomes(tmp_path)] == [("p1", "failed")]

    run_async_test(test)


def test_outcomes_are_sent_to_the_reports_url_if_one_is_configured(tmp_path: Path) -> None:
    async def test() -> None:
        reports: asyncio.Queue[bytes] = asyncio.Queue()

        async def report(exchange: Exchange) -> None:
            reports.put_nowait(exchange.body)
            await exchange.answer(204)

        async with Peer(accept) as peer, Peer(report) as receiver:
            url = f'"http://{receiver.address}/ends"'
            async with running_gateway(tmp_path, inventory_row("m1", peer), reports=url) as (_, port):
                assert await submit(port, "p1") == 202
                assert await reports.get() == b'{"ref":"p1","result":"delivered"}\n'
                assert (await receiver.next()).path == "/ends"
                assert (await request(port, "GET", "/messages/p1"))[0] == 404
        assert not (tmp_path / "state" / "ends.jsonl").exists()

    run_async_test(test)


def test_messages_to_a_removed_endpoint_have_one_outcome_each(tmp_path: Path) -> None:
    """When their endpoint is removed, one message is in flight and one is queued.

    A third message is submitted after the removal.
    """

    async def test() -> None:
        may_respond = asyncio.Event()

        async def respond_late(exchange: Exchange) -> None:
            await may_respond.wait()
            await exchange.answer(200)

        async with Peer(respond_late) as peer, Peer(accept) as other:
            rows = inventory_row("m1", peer), inventory_row("o1", other, "other")
            async with running_gateway(tmp_path, *rows) as (running, port):
                assert await submit(port, "out") == 202
                await peer.next()
                assert await submit(port, "waits", X_Timeout_Ms="1500") == 202
                save_inventory(tmp_path, rows[1])
                await wait_for_endpoints(running, 1)
                assert await submit(port, "late", X_Timeout_Ms="700") in (202, 400, 429)
                may_respond.set()
                assert await final_state(port, "out") == "delivered"
                assert await final_state(port, "waits") in ("refused", "delivered")
                assert await submit(port, "o", "other") == 202
                assert await final_state(port, "o") == "delivered"
            logged = [e["id"] for e in logged_outcomes(tmp_path)]
            assert len(logged) == len(set(logged)) and {"out", "waits", "o"} <= set(logged)

    run_async_test(test)


def test_a_retry_after_time_survives_the_removal_and_return_of_an_endpoint(tmp_path: Path) -> None:
    times: list[float] = []

    async def handle(exchange: Exchange) -> None:
        times.append(asyncio.get_running_loop().time())
        if len(times) == 1:
            return await exchange.answer(429, Retry_After="1.2")
        await exchange.answer(200)
        return None

    async def test() -> None:
        async with Peer(handle) as peer, Peer(accept) as other:
            rows = inventory_row("m1", peer), inventory_row("o1", other, "other")
            async with running_gateway(tmp_path, *rows) as (running, port):
                assert await submit(port, "p1") == 202
                await peer.next()
                save_inventory(tmp_path, rows[1])
                await wait_for_endpoints(running, 1)
                save_inventory(tmp_path, *rows)
                await wait_for_endpoints(running, 2)
                assert await submit(port, "p2") == 202
                await peer.next()
                assert times[1] - times[0] >= 1.2
                assert await final_state(port, "p2") in ("delivered", "refused")

    run_async_test(test)


def test_a_drain_that_arrives_before_a_retry_prevents_it(tmp_path: Path) -> None:
    """The partner did not execute the first attempt, so a retry is due at once.

    The endpoint is draining by then.
    """

    async def test() -> None:
        gateways: list[StandaloneGateway] = []

        async def handle(exchange: Exchange) -> None:
            save_inventory(
                tmp_path, inventory_row("m1", peer, phase="draining"), inventory_row("o1", other, "other")
            )
            await gateways[0].membership.reload()
            await exchange.answer(503)

        async with Peer(handle) as peer, Peer(accept) as other:
            rows = inventory_row("m1", peer), inventory_row("o1", other, "other")
            async with running_gateway(tmp_path, *rows) as (running, port):
                gateways.append(running)
                assert await submit(port, "p1", X_Timeout_Ms="2000") == 202
                assert await final_state(port, "p1") == "refused"
                assert peer.exchanges.qsize() == 1  # no other call arrived

    run_async_test(test)


def test_traffic_of_a_drained_endpoint_goes_to_the_partners_other_endpoint(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as east, Peer(accept) as west:
            rows = inventory_row("m1", east), inventory_row("m2", west, wing="west-wing")
            async with running_gateway(tmp_path, *rows) as (running, port):
                assert await submit(port, "p1") == 202
                await east.next()  # the wing without a fee is preferred
                save_inventory(tmp_path, inventory_row("m1", east, phase="draining"), rows[1])
                while not running.membership.inventory.endpoints[
                    b"m1@east-wing/" + partner_number(running)
                ].draining:
                    await asyncio.sleep(0.01)
                for n in range(5):
                    assert await submit(port, f"q{n}") == 202
                    assert (await west.next()).headers["x-request-id"] == f"q{n}"
                assert east.exchanges.empty()

    run_async_test(test)


def partner_number(running: StandaloneGateway) -> bytes:
    return str(running.membership.named("momo")).encode()


def test_an_endpoint_that_moves_to_another_wing_gets_no_retry_from_the_earlier_wing(tmp_path: Path) -> None:
    """A payout that may have been executed in the east wing is not sent again in the west wing."""

    async def test() -> None:
        async with (
            Peer(never_respond) as peer,
            running_gateway(tmp_path, inventory_row("m1", peer)) as (running, port),
        ):
            assert await submit(port, "p1", X_Timeout_Ms="3000") == 202
            await peer.next()
            save_inventory(tmp_path, inventory_row("m1", peer, wing="west-wing"))
            while running.membership.inventory.endpoints.keys() != {
                b"m1@west-wing/" + partner_number(running)
            }:
                await asyncio.sleep(0.01)
            assert await submit(port, "p2", X_Timeout_Ms="3000") == 202
            while (await peer.next()).headers["x-request-id"] != "p2":
                raise AssertionError("the payout was repeated in the other wing")
            assert await final_state(port, "p1") == "failed"
            assert peer.exchanges.empty()

    run_async_test(test)


def test_an_added_endpoint_starts_cold_with_little_traffic(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as old, Peer(accept) as new:
            rows = inventory_row("m1", old, "other"), inventory_row("n1", new)
            async with running_gateway(tmp_path, rows[0]) as (running, port):
                save_inventory(tmp_path, *rows)
                await wait_for_endpoints(running, 2)
                for n in range(30):
                    assert await submit(port, f"o{n}", "other") == 202
                    await submit(port, f"p{n}")
                while old.exchanges.qsize() < 30:
                    await asyncio.sleep(0.02)
                status = decode(await running.commands.status(), StatusAnswer)
                pools = {pool.partner: pool for pool in status.pools}
                assert pools["other"].routes[0].state == "open"
                assert pools["momo"].routes[0].state == "returning"
                assert new.exchanges.qsize() < 15

    run_async_test(test)


def test_an_invalid_inventory_edit_is_reported_and_the_inventory_in_force_stays(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            Peer(accept) as peer,
            running_gateway(tmp_path, inventory_row("m1", peer)) as (running, port),
        ):
            digest = running.membership.inventory.digest
            save_inventory(tmp_path, inventory_row("m1", peer, wing="north"))
            answer = await running.commands.reload()
            assert answer.digest == digest and not answer.changed
            assert answer.problems == [
                f"{tmp_path}/inventory/a.csv:2: wing: 'north' is not known; one of east-wing, west-wing"
            ]
            assert await submit(port, "p1") == 202
            assert await final_state(port, "p1") == "delivered"
            save_inventory(tmp_path, inventory_row("m2", peer))
            answer = await running.commands.reload()
            assert answer.changed and not answer.problems

    run_async_test(test)


def test_after_an_invalid_edit_and_a_kill_the_restart_uses_the_last_good_inventory(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            Peer(accept) as peer,
            Peer(accept) as later,
            gateway_process(tmp_path, inventory_row("m1", peer)) as running,
        ):
            save_inventory(tmp_path, inventory_row("m1", later))
            while "1 changes, 1 endpoints" not in running.log():
                await asyncio.sleep(0.02)
            digest = running.log().split("inventory set ")[-1].split()[0]
            while not (tmp_path / "state" / "inventory.jsonl").read_bytes().count(digest.encode()):
                await asyncio.sleep(0.02)
            save_inventory(tmp_path, inventory_row("m1", later), inventory_row("m1", peer, wing="west-wing"))
            while "conflicts with east-wing" not in running.log():
                await asyncio.sleep(0.02)
            await running.kill()
            await running.start()
            assert f"going on with the last good inventory: set {digest} of " in running.log()
            assert await submit(running.port, "p1") == 202
            await later.next()
            assert peer.exchanges.empty()

    run_async_test(test)


def test_after_a_kill_during_a_call_the_message_is_repeated_with_its_key(tmp_path: Path) -> None:
    """The journal and the outcome log survive kills, and no outcome is logged twice."""

    async def test() -> None:
        async with (
            Peer(never_respond) as peer,
            gateway_process(tmp_path, inventory_row("m1", peer)) as running,
        ):
            assert await submit(running.port, "p1") == 202
            await peer.next()
            await running.kill()
            peer.handler = accept
            await running.start()
            again = await peer.next()
            assert again.headers["idempotency-key"] == "p1"  # the key, wing and window allow a repeat
            assert await final_state(running.port, "p1") == "delivered"
            await running.kill()
            await running.start()
            assert await message_state(running.port, "p1") is not None
            assert [e["id"] for e in logged_outcomes(tmp_path)] == ["p1"]

    run_async_test(test)


def test_sighup_reloads_the_inventory_and_sigterm_stops_the_gateway(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as peer, gateway_process(tmp_path, inventory_row("m1", peer)) as running:
            (tmp_path / "inventory" / "b.csv").write_text("id\n")  # invalid, and written in place
            running.process.send_signal(signal.SIGHUP)
            while "b.csv:1" not in running.log() and "b.csv" not in running.log():
                await asyncio.sleep(0.02)
            assert await running.kill(signal.SIGTERM) == 0
            assert not (tmp_path / "state" / "control.sock").exists()

    run_async_test(test)


def test_a_second_gateway_on_a_state_folder_does_not_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as peer, running_gateway(tmp_path, inventory_row("m1", peer)):
            with pytest.raises(StartError, match="in use by another gateway"):
                StandaloneGateway(load(tmp_path / "gateway.toml"))

    run_async_test(test)


def test_a_gateway_without_an_inventory_does_not_start(tmp_path: Path) -> None:
    async def test() -> None:
        path, _ = await write_configuration(tmp_path)
        with pytest.raises(RefusedError, match="is not there"):
            StandaloneGateway(load(path))
        (tmp_path / "inventory").mkdir()
        with pytest.raises(RefusedError, match="lists no endpoint"):
            StandaloneGateway(load(path))

    run_async_test(test)


def test_a_descriptor_limit_above_that_of_the_process_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with Peer(accept) as peer:
            save_inventory(tmp_path, inventory_row("m1", peer))
            path, _ = await write_configuration(tmp_path)
            path.write_text(path.read_text() + "sockets = 1000000\n")
            with pytest.raises(StartError, match=r"limits\.sockets: 1000000, but this process may open"):
                StandaloneGateway(load(path))

    run_async_test(test)
