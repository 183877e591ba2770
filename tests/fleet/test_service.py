"""Fleets on loopback sockets in one process: members, and connections of other processes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from emberlatch.core.interface import Phase
from emberlatch.engine import REAL_MACHINE, Tasks
from emberlatch.fleet import (
    FleetService,
    FleetSettings,
    IsolationPolicy,
    ProcessEnvironment,
    ProtocolParameters,
    QuotaShare,
)
from emberlatch.fleet.frames import (
    EndpointHold,
    EndpointUpdates,
    FrameDecoder,
    Handshake,
    MembershipTable,
    encode,
)
from emberlatch.fleet.link import HANDSHAKE_TIMEOUT_S, MAX_UNSENT_BYTES
from emberlatch.fleet.link_manager import MAX_UNIDENTIFIED_LINKS
from emberlatch.standins import reserve_port
from emberlatch.store import Folder

PARAMETERS = ProtocolParameters(probe_interval_s=0.1, probe_timeout_s=0.05, join_window_s=0.2)
TEST_TIMEOUT_S = 30


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))


class RecordingObserver:
    """Records what a service reports and logs. A test can wait for a condition on the records."""

    def __init__(self) -> None:
        self.shares: list[QuotaShare] = []
        self.holds: list[tuple[str, float]] = []
        self.reports: list[tuple[str, Phase]] = []
        self.halt_reason = ""
        self.events: list[tuple[str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def on_quota_share(self, share: QuotaShare) -> None:
        self.shares.append(share)
        self._changed.set()

    def on_endpoint_hold(self, target: str, seconds: float) -> None:
        self.holds.append((target, seconds))
        self._changed.set()

    def on_endpoint_report(self, target: str, phase: Phase) -> None:
        self.reports.append((target, phase))
        self._changed.set()

    def on_halt(self, reason: str) -> None:
        self.halt_reason = reason
        self._changed.set()

    def log_event(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))
        self._changed.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self._changed.clear()
            await self._changed.wait()

    def has_logged(self, event: str, **fields: object) -> bool:
        return any(found == event and fields.items() <= had.items() for found, had in self.events)

    def has_joined(self, *names: str) -> bool:
        alive = all(self.has_logged("member", member=name, state="alive") for name in names)
        return alive and self.has_logged("majority")


class LocalFleet:
    """Starts members for a test, on ports that stay reserved until the test ends."""

    def __init__(self, folder: Path, *names: str) -> None:
        self.folder, self.reservations = folder, {name: reserve_port() for name in names}
        self.ports = {name: int(port.getsockname()[1]) for name, port in self.reservations.items()}
        self.services: list[FleetService] = []

    def start(
        self, name: str, folder: str = "", port: int = 0, fleet: str = "f"
    ) -> tuple[FleetService, RecordingObserver]:
        state = self.folder / (folder or name)
        state.mkdir(exist_ok=True)
        observer = RecordingObserver()
        peers = {other: ("127.0.0.1", at) for other, at in self.ports.items() if other != name}
        listen_address = ("127.0.0.1", port or self.ports[name])
        policies = {"x": IsolationPolicy.REFUSE}
        settings = FleetSettings(fleet, name, listen_address, peers, policies, PARAMETERS)

        def listen(address: tuple[str, int]) -> Any:
            listener = socket.create_server(address, reuse_port=True)
            listener.setblocking(False)
            return listener

        machine = replace(REAL_MACHINE, listen=listen)
        environment = ProcessEnvironment(Tasks(), machine, log_event=observer.log_event)
        service = FleetService(settings, Folder(state), observer, environment)
        service.start()
        self.services.append(service)
        return service, observer


@contextlib.asynccontextmanager
async def local_fleet(folder: Path, *names: str) -> AsyncIterator[LocalFleet]:
    fleet = LocalFleet(folder, *names)
    try:
        yield fleet
    finally:
        for service in fleet.services:
            service.close()
        for reservation in fleet.reservations.values():
            reservation.close()


def test_members_see_a_peer_join_fail_and_restart_in_its_next_generation(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b", "c") as fleet:
            (_, a), (_, b), (c, first) = (fleet.start(name) for name in "abc")
            await a.wait_until(lambda: a.has_joined("b", "c"))
            await a.wait_until(lambda: a.shares[-1] == QuotaShare(3, 1 / 3, frozenset()))
            assert a.shares[0].closed_classes == {"x"} and a.shares[0].fraction < 0.1
            c.close()
            await b.wait_until(lambda: b.has_logged("member", member="c", state="unreachable"))
            _, second = fleet.start("c")
            await b.wait_until(lambda: b.has_logged("member", member="c", state="alive", life=2))
            assert second.has_logged("life", life=2, fresh=False)
            assert first.has_logged("life", life=1, fresh=True)

    run(test)


def test_a_leaving_member_is_seen_as_left_and_not_as_failed(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b", "c") as fleet:
            (_, a), (_, b), (c, _) = (fleet.start(name) for name in "abc")
            await a.wait_until(lambda: a.has_joined("b", "c"))
            await b.wait_until(lambda: b.has_joined("a", "c"))
            await c.leave()
            await a.wait_until(lambda: a.has_logged("member", member="c", state="left", was="alive"))
            assert not a.has_logged("cut", why="no majority")

    run(test)


def test_a_hold_reaches_all_members_including_one_that_joins_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b", "c") as fleet:
            (service, a), (_, b) = fleet.start("a"), fleet.start("b")
            await a.wait_until(lambda: a.has_joined("b"))
            service.share_endpoint_hold("p-1", 5.0)
            service.share_endpoint_hold("p-1", 3.0)  # this hold is shorter than the known one
            await b.wait_until(lambda: bool(b.holds))
            assert [target for target, _ in b.holds] == ["p-1"] and 4.0 < b.holds[0][1] <= 5.0
            _, c = fleet.start("c")
            await c.wait_until(lambda: bool(c.holds))
            assert c.holds[0][0] == "p-1" and c.holds[0][1] <= 5.0 and a.holds == []

    run(test)


def test_changed_phases_reach_all_members_including_one_that_joins_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b", "c") as fleet:
            (service_a, a), (service_b, b) = fleet.start("a"), fleet.start("b")
            await a.wait_until(lambda: a.has_joined("b"))
            service_a.share_endpoint_phases({"p-1": Phase.DRAINING, "p-2": Phase.REMOVED})
            await b.wait_until(lambda: len(b.reports) == 2)
            service_a.share_endpoint_phases({"p-1": Phase.DRAINING})  # the phase does not change
            service_b.share_endpoint_phases({"p-1": Phase.REMOVED})  # this phase is more severe than draining
            await a.wait_until(lambda: bool(a.reports))
            assert a.reports == [("p-1", Phase.REMOVED)] and b.reports == [
                ("p-1", Phase.DRAINING),
                ("p-2", Phase.REMOVED),
            ]
            _, c = fleet.start("c")
            await c.wait_until(lambda: len(c.reports) == 2)
            assert sorted(c.reports) == [("p-1", Phase.REMOVED), ("p-2", Phase.REMOVED)]

    run(test)


def test_of_two_processes_with_one_name_the_earlier_halts(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b", "c") as fleet:
            (_, a), (_, b), _ = (fleet.start(name) for name in "abc")
            await a.wait_until(lambda: a.has_joined("b", "c"))
            await asyncio.sleep(PARAMETERS.join_window_s)
            with reserve_port() as other:
                twin, observer = fleet.start("a", folder="twin", port=other.getsockname()[1])
                await a.wait_until(lambda: bool(a.halt_reason))
                await b.wait_until(lambda: b.has_logged("member", member="a", life=2))
                assert observer.has_logged("new_life", before=1, life=2) and not observer.halt_reason
                assert "another process is a in generation 2" in a.halt_reason
                twin.close()

    run(test)


async def receive_until_closed(port: int, data: bytes) -> bytes:
    """Send data on a new connection; return the data received until the connection is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        return await asyncio.wait_for(reader.read(), 5 * HANDSHAKE_TIMEOUT_S)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def test_a_connection_without_a_valid_handshake_is_closed_and_affects_nothing_else(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b") as fleet:
            (_, a), (_, b) = fleet.start("a"), fleet.start("b")
            await a.wait_until(lambda: a.has_joined("b"))
            port = fleet.ports["b"]
            for data in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\xff\xff\xff\xff",
                encode(EndpointUpdates((EndpointHold("p", 1.0),))),
                encode(Handshake("other", "a", 9 << 20, "x")),
                encode(Handshake("f", "nobody", 9 << 20, "x")),
                encode(Handshake("f", "a", 9 << 20, "x", version=0)),
                b"",  # no data at all
                b"\0\0\0\x09ab",  # an incomplete frame
            ):
                assert await receive_until_closed(port, data) == b""
            connections = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(2 * MAX_UNIDENTIFIED_LINKS)
            ]
            for _, writer in connections:
                writer.close()
            assert not a.has_logged("member", member="b", state="suspect") and b.holds == []
            reasons = [fields["why"] for event, fields in b.events if event == "link_refused"]
            for expected in (
                "expected a handshake as the first frame, got EndpointUpdates",
                "expected fleet 'f', got 'other'",
                "'nobody' is not a configured member",
                "got version 0",
                "no handshake within 1.0 s",
            ):
                assert any(expected in reason for reason in reasons), expected

    run(test)


def test_a_process_of_an_earlier_generation_receives_the_table_with_the_later_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b") as fleet:
            (service, a), (_, b) = fleet.start("a"), fleet.start("b")
            await a.wait_until(lambda: a.has_joined("b"))
            reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports["b"])
            writer.write(encode(Handshake("f", "a", 0, "old")))
            decoder = FrameDecoder()
            tables: list[MembershipTable] = []
            while not tables:
                received = decoder.feed(await reader.read(4096))
                tables = [frame for frame in received if isinstance(frame, MembershipTable)]
            known = next(update for update in tables[0].updates if update.name == "a")
            assert known.run_id == service.membership.identity.run_id
            assert not b.has_logged("member", member="a", state="suspect")
            writer.close()

    run(test)


def test_the_generation_is_read_from_a_file_with_an_incomplete_last_line(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "a").mkdir()
        (tmp_path / "a" / "lives").write_bytes(b"4\n5\n6x")
        async with local_fleet(tmp_path, "a") as fleet:
            _, a = fleet.start("a")
            assert a.has_logged("life", life=6, fresh=False)
            assert a.has_logged("majority")  # one member is the majority of a fleet of one

    run(test)


def test_a_large_generation_file_is_replaced(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "a").mkdir()
        (tmp_path / "a" / "lives").write_bytes(b"".join(b"%d\n" % n for n in range(1000, 2000)))
        async with local_fleet(tmp_path, "a") as fleet:
            _, a = fleet.start("a")
            assert a.has_logged("life", life=2000, fresh=False)
            assert (tmp_path / "a" / "lives").read_bytes() == b"2000\n"

    run(test)


def test_after_dropped_frames_the_state_is_sent_again_once_the_link_drains(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b") as fleet:
            (service, a), (_, b) = fleet.start("a"), fleet.start("b")
            await a.wait_until(lambda: a.has_joined("b"))
            link = service._links._links["b"]
            unsent_bytes = link._transport.get_write_buffer_size
            link._transport.get_write_buffer_size = lambda: MAX_UNSENT_BYTES + 1  # type: ignore[method-assign]
            service.share_endpoint_hold("p-1", 9.0)
            service.share_endpoint_phases({"p-2": Phase.DRAINING})
            assert service._links.dropped_frames >= 2
            link._transport.get_write_buffer_size = unsent_bytes  # type: ignore[method-assign]
            link.resume_writing()
            await b.wait_until(lambda: bool(b.holds) and bool(b.reports))
            assert b.holds[0][0] == "p-1" and b.reports == [("p-2", Phase.DRAINING)]

    run(test)


def test_the_status_has_the_keys_that_scripts_read(tmp_path: Path) -> None:
    async def test() -> None:
        async with local_fleet(tmp_path, "a", "b") as fleet:
            (service, a), _ = fleet.start("a"), fleet.start("b")
            await a.wait_until(lambda: a.has_joined("b") and a.shares[-1].fraction == 0.5)
            status = service.status().to_json()
            peers = status.pop("members")
            assert list(status) == [
                "fleet",
                "me",
                "life",
                "size",
                "here",
                "cut",
                "since",
                "part",
                "closed",
                "links",
                "dropped",
            ]
            assert (status["fleet"], status["me"], status["life"]) == ("f", "a", 1)
            assert (status["size"], status["here"], status["cut"], status["part"]) == (2, 2, "", 0.5)
            assert (status["closed"], status["links"]) == ([], ["b"])
            assert isinstance(peers, dict) and list(peers) == ["b"]
            assert " ".join(peers["b"]) == "state life since heard direct"
            assert (peers["b"]["state"], peers["b"]["life"], peers["b"]["direct"]) == ("alive", 1, True)

    run(test)
