"""The program in a process of its own: kills at each stage of a message, shutdown, invalid settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.peers import (
    ROOT,
    Gate,
    Handler,
    Peer,
    PlatformService,
    Process,
    accept,
    config,
    listed_target,
    member,
    message_bytes,
    message_headers,
    never_respond,
    read_message,
    request,
    run,
)

PAYOUT: dict[str, Any] = {"X_Priority_Class": "payout", "Idempotency_Key": "k1"}


@asynccontextmanager
async def running_process(
    folder: Path, handler: Handler, **limits: float
) -> AsyncIterator[tuple[Process, Peer, PlatformService, Peer]]:
    """Run a forwarder; yield its process, its target, the platform and the platform's server."""
    async with listed_target(handler) as (target, platform, service):
        process = Process(folder, service, platform.document(), **limits)
        await process.start()
        try:
            yield process, target, platform, service
        finally:
            await process.kill()


def has_completed_message(state: Path) -> bool:
    """Return whether the journal has a completed message without a pending notice."""
    return any(b'"over"' in path.read_bytes() for path in state.iterdir())


def test_a_message_is_accepted_and_delivered(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_process(tmp_path, accept) as (process, target, _, _):
            assert await process.submit("m1", b"\x00\xff", **PAYOUT) == 202
            seen = await target.next()
            assert (seen.headers["x-request-id"], seen.headers["idempotency-key"]) == ("m1", "k1")
            assert seen.body == b"\x00\xff"

    run(test)


def test_a_message_queued_at_a_kill_is_sent_after_the_restart(tmp_path: Path) -> None:
    """The message has no attempt before the kill, because its target is listed as draining until then."""

    async def test() -> None:
        async with running_process(tmp_path, accept) as (process, target, platform, _):
            platform.change([member(target.address, phase="DRAINING")])
            process.known = platform.document()
            await process.kill()
            await process.start()
            assert await process.submit("m1") == 202
            await process.kill()
            platform.change([member(target.address)])
            process.known = platform.document()
            await process.start()
            assert (await target.next()).headers["x-request-id"] == "m1"

    run(test)


@pytest.mark.parametrize(
    ("headers", "repeated"),
    [({}, True), (PAYOUT, True), ({"X_Priority_Class": "order"}, False)],
)
def test_a_message_in_flight_at_a_kill_is_retried_only_if_its_class_allows_it(
    tmp_path: Path, headers: dict[str, Any], repeated: bool
) -> None:
    """The message may have been executed. If it is unsafe, it fails and is not reported as rejected."""

    async def test() -> None:
        async with running_process(tmp_path, never_respond) as (process, target, platform, _):
            assert await process.submit("m1", **headers) == 202
            await target.next()
            await process.kill()
            target.handler = accept
            await process.start()
            if repeated:
                assert (await target.next()).headers["x-request-id"] == "m1"
            else:
                assert await platform.notice() == {"ref": "m1", "result": "dead"}
                assert target.exchanges.empty()

    run(test)


def test_a_keyed_message_in_flight_stays_in_its_zone_after_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with (
            running_process(tmp_path, never_respond) as (process, east, platform, _),
            Peer(accept) as west,
        ):
            assert await process.submit("m1", X_Timeout_Ms="3000", **PAYOUT) == 202
            await east.next()
            await process.kill()
            members = [
                member(east.address, phase="DRAINING"),
                member(west.address, "s-2", locality="west-wing"),
            ]
            platform.change(members)
            process.known = platform.document()
            await process.start()
            assert await process.submit("m2", **PAYOUT) == 202
            assert (await west.next()).headers["x-request-id"] == "m2"
            assert await platform.notice() == {"ref": "m1", "result": "dead"}
            assert west.exchanges.empty()

    run(test)


def test_after_a_kill_an_unconfirmed_notice_is_sent_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_process(tmp_path, never_respond) as (process, target, platform, _):
            platform.notice_status = 503
            assert await process.submit("m1", X_Timeout_Ms="300") == 202
            first = await platform.notice()
            await process.kill()
            while not platform.notices.empty():
                platform.notices.get_nowait()
            platform.notice_status = 204
            await process.start()
            assert await platform.notice() == first
            while not has_completed_message(tmp_path / "state"):
                await asyncio.sleep(0.01)  # until the confirmation has been read, the notice is repeated
            await process.kill()
            await process.start()  # a confirmed notice is not sent again
            target.handler = accept
            assert await process.submit("m2") == 202
            while (await target.next()).headers["x-request-id"] != "m2":
                pass
            assert platform.notices.empty()

    run(test)


def test_after_a_kill_a_delivered_message_is_not_sent_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_process(tmp_path, accept) as (process, target, platform, _):
            assert await process.submit("m1") == 202
            await target.next()
            while not has_completed_message(tmp_path / "state"):
                await asyncio.sleep(0.01)
            await process.kill()
            await process.start()
            assert await process.submit("m2") == 202
            assert (await target.next()).headers["x-request-id"] == "m2"
            assert platform.notices.empty()

    run(test)


def test_a_deadline_that_passed_while_the_process_was_down_is_notified_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_process(tmp_path, never_respond) as (process, target, platform, _):
            assert await process.submit("m1", X_Timeout_Ms="400", **PAYOUT) == 202
            await target.next()
            await process.kill()
            await asyncio.sleep(0.5)
            await process.start()
            assert await platform.notice() == {"ref": "m1", "result": "dead"}

    run(test)


def test_an_expired_message_is_notified_while_discovery_is_down_and_targets_do_not_respond(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_process(tmp_path, never_respond) as (process, _, platform, _):
            platform.down = True
            assert await process.submit("m1", X_Timeout_Ms="500", **PAYOUT) == 202
            assert await platform.notice() == {"ref": "m1", "result": "dead"}

    run(test)


def test_sigterm_completes_calls_in_flight_and_leaves_other_messages_in_the_journal(tmp_path: Path) -> None:
    async def test() -> None:
        gate = Gate()
        async with running_process(tmp_path, gate) as (process, target, platform, _):
            idle = await asyncio.open_connection("127.0.0.1", process.port)
            assert await process.submit("m1") == 202
            await target.next()
            process.process.send_signal(signal.SIGTERM)
            assert await idle[0].read() == b""  # an idle connection is closed
            status, headers = await request(process.port, "POST", "/api", message_headers("m2"), b"x")
            assert (status, headers["connection"]) == (202, "close")
            gate.open()
            assert await asyncio.wait_for(process.process.wait(), 10) == 0
            with pytest.raises(OSError):
                await process.submit("m3")
            served = {
                target.exchanges.get_nowait().headers["x-request-id"] for _ in range(target.exchanges.qsize())
            }
            await process.start()
            assert await process.submit("m4") == 202
            while (name := (await target.next()).headers["x-request-id"]) != "m4":
                assert name not in served
                served.add(name)
            assert served <= {"m2"} and platform.notices.empty()

    run(test)


def test_sigterm_answers_a_request_on_a_connection_accepted_just_before(tmp_path: Path) -> None:
    """Guards against a reset: without open messages, the process used to end when it closed its listener."""

    async def test() -> None:
        async with running_process(tmp_path, accept) as (process, _, _, _):
            idle = await asyncio.open_connection("127.0.0.1", process.port)
            process.process.send_signal(signal.SIGTERM)
            assert await idle[0].read() == b""  # the signal has been handled
            reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
            with pytest.raises(OSError):
                while True:  # until the listener is closed
                    (await asyncio.open_connection("127.0.0.1", process.port))[1].close()
                    await asyncio.sleep(0.01)
            writer.write(message_bytes("m1", b"x"))
            line, headers, _ = await read_message(reader)
            assert (line.split()[1], headers["connection"]) == ("202", "close")
            assert await asyncio.wait_for(process.process.wait(), 10) == 0

    run(test)


def test_sigterm_with_a_call_that_never_ends_leaves_an_unknown_outcome(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_process(tmp_path, never_respond) as (process, target, platform, _):
            assert await process.submit("m1", X_Priority_Class="order") == 202
            await target.next()
            process.process.send_signal(signal.SIGTERM)
            # SIGKILL would follow 3.7 s after SIGTERM; exit code 0 shows that it was not needed.
            assert await asyncio.wait_for(process.process.wait(), 10) == 0
            await process.start()
            assert await platform.notice() == {"ref": "m1", "result": "dead"}
            assert target.exchanges.empty()

    run(test)


def test_a_full_journal_rejects_new_messages_but_still_stores_outcomes(tmp_path: Path) -> None:
    async def test() -> None:
        gate = Gate()
        async with running_process(tmp_path, gate, disk_mb=1) as (process, _, _, _):
            statuses = [await process.submit(f"m{n}", bytes(65536)) for n in range(20)]
            assert statuses[0] == 202 and statuses[-1] == 503
            gate.open()
            # Outcomes are written and space becomes free, while the limit is never exceeded.
            n = 0
            while await process.submit(f"n{n}", bytes(65536)) != 202:
                n += 1
                await asyncio.sleep(0.05)
            files = (tmp_path / "state").iterdir()
            assert sum(-(-path.stat().st_size // 512) * 512 for path in files) <= 1_000_000

    run(test)


def test_garbage_in_the_journal_does_not_prevent_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_process(tmp_path, never_respond) as (process, target, _, _):
            assert await process.submit("m1") == 202
            await target.next()
            await process.kill()
            (journal,) = [p for p in (tmp_path / "state").iterdir() if p.stat().st_size]
            data = journal.read_bytes()
            journal.write_bytes(b"noise" + data + data[:40])
            (tmp_path / "state" / "00000000.log").write_bytes(os.urandom(4096))
            target.handler = accept
            await process.start()
            assert (await target.next()).headers["x-request-id"] == "m1"

    run(test)


Change = Callable[[dict[str, Any]], object]


def start_with_changed_config(tmp_path: Path, change: Change) -> subprocess.CompletedProcess[str]:
    document = config("127.0.0.1:9", {"revision": 1, "complete": True, "members": []}, 1)
    change(document)
    (tmp_path / "config.json").write_text(json.dumps(document))
    environment = os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json"), "EDGE_STATE": str(tmp_path)}
    command = [sys.executable, "-m", "emberlatch"]
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=20)


@pytest.mark.parametrize(
    ("name", "change"),
    [
        ("listen", lambda c: c.pop("listen")),
        ("discovery", lambda c: c.update(discovery="nowhere")),
        ("seed", lambda c: c.update(seed="xyz")),
        ("limits.disk_mb", lambda c: c["limits"].update(disk_mb=0)),
        ("limits.disk_mb", lambda c: c["limits"].update(disk_mb=0.1)),
        ("limits.sockets", lambda c: c["limits"].pop("sockets")),
        ("known", lambda c: c.update(known={"revision": 1})),
        ("extra.workers", lambda c: c.update(settings={**c["settings"], "extra": {}})),
    ],
)
def test_an_invalid_setting_is_named_in_one_line(tmp_path: Path, name: str, change: Change) -> None:
    done = start_with_changed_config(tmp_path, change)
    lines = [line for line in done.stderr.splitlines() if " INFO " not in line]
    assert done.returncode == 2
    assert len(lines) == 1 and name in lines[0]


def test_a_missing_variable_is_named() -> None:
    environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    command = [sys.executable, "-m", "emberlatch"]
    done = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=20)
    assert (done.returncode, done.stderr) == (2, "emberlatch: EDGE_CONFIG: is missing\n")


def test_sighup_moves_discovery_and_notices_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    """Guards against SIGHUP ending the process.

    The old address does not confirm the notice, and the old target does not respond. The notice and the
    message m2 must therefore be sent to the new addresses.
    """

    async def test() -> None:
        async with (
            running_process(tmp_path, never_respond) as (process, target, old, _),
            Peer(accept) as other,
        ):
            await asyncio.wait_for(old.watches.get(), 10)
            old.notice_status = 503
            assert await process.submit("m1", X_Timeout_Ms="300") == 202
            await old.notice()
            for text in ("{", json.dumps({"discovery": "127.0.0.1:1"})):
                process.configure(text)
                process.process.send_signal(signal.SIGHUP)
            assert await process.submit("m2") == 202  # m2 stays open: the only target does not respond
            while (await target.next()).headers["x-request-id"] != "m2":
                pass
            for revision in (1, 2):  # two changes; the second service has no higher revision
                new = PlatformService([member(other.address, f"s-{revision + 1}")])
                async with Peer(new.handle) as service:
                    process.configure(process.document(service.address))
                    process.process.send_signal(signal.SIGHUP)
                    first = await asyncio.wait_for(service.exchanges.get(), 10)
                    while first.path == "/reports":
                        first = await service.next()
                    assert first.path == "/v1/servers"  # the complete list, not the changes since a revision
                    if revision == 1:
                        assert (await new.notice())["ref"] == "m1"
                        assert (await other.next()).headers["x-request-id"] == "m2"
                    assert await process.submit(f"n{revision}") == 202
                    assert (await other.next()).headers["x-request-id"] == f"n{revision}"
            assert process.process.returncode is None

    run(test)
