"""The effects of fleet reports on a gateway: endpoint phases, holds, the quota share and closed classes."""

from __future__ import annotations

from pathlib import Path

from emberlatch.config import load
from emberlatch.core.interface import Phase
from emberlatch.fleet import QuotaShare
from emberlatch.standalone import StandaloneGateway
from tests.peers import free_port
from tests.standalone.running_gateway import HEADER, run_async_test, submit


async def start_single_member_gateway(folder: Path, *rows: str) -> tuple[StandaloneGateway, int]:
    """Start a gateway that is the only member of its fleet; return it and its HTTP port."""
    (folder / "i.csv").write_text("\n".join([HEADER, *rows]) + "\n")
    ports = [await free_port() for _ in range(2)]
    lines = [f'listen = "127.0.0.1:{ports[0]}"', "[inventory]", 'paths = ["i.csv"]', "[fleet]", 'name = "f"']
    lines += ['me = "a"', "[fleet.members]", f'a = "127.0.0.1:{ports[1]}"']
    (folder / "g.toml").write_text("\n".join(lines))
    gateway = StandaloneGateway(load(folder / "g.toml"))
    await gateway.start()
    return gateway, ports[0]


def row(name: str, phase: str = "") -> str:
    return f"{name},127.0.0.1:{name[1:]},{name}-bank,rural-bank,east-wing,{phase}"


def test_a_report_drains_a_ready_endpoint_and_never_overrides_the_own_list(tmp_path: Path) -> None:
    async def test() -> None:
        gateway, _ = await start_single_member_gateway(tmp_path, row("m1"), row("m2", "draining"))
        assert gateway.fleet is not None

        names = {
            target.decode().partition("@")[0]: target.decode() for target in gateway.fleet._own_endpoints
        }
        assert set(names) == {"m1", "m2"}

        def phase(name: str) -> Phase:
            entry = gateway.carrier.entry(names[name].encode())
            assert entry is not None
            return entry.phase

        for reported, name, expected in (
            (Phase.DRAINING, "m1", Phase.DRAINING),
            (Phase.READY, "m1", Phase.READY),
            (Phase.REMOVED, "m1", Phase.DRAINING),
            (Phase.READY, "m2", Phase.DRAINING),
        ):
            gateway.fleet.on_endpoint_report(names[name], int(reported))
            assert phase(name) is expected, (reported, name)
        gateway.fleet.on_endpoint_report("nobody", 0)
        gateway.fleet.on_endpoint_hold(names["m1"], 5.0)
        assert [name for name, _ in gateway.carrier.export_retry_after()] == [names["m1"]]
        await gateway.stop()

    run_async_test(test)


def test_a_message_of_a_closed_class_is_rejected_with_429(tmp_path: Path) -> None:
    async def test() -> None:
        gateway, port = await start_single_member_gateway(tmp_path, row("m1"))
        assert gateway.fleet is not None
        gateway.fleet.service.close()  # a closed service does not replace the shares that are set here
        gateway.fleet.on_quota_share(QuotaShare(3, 1 / 12, frozenset({"payout"})))
        assert await submit(port, "p1", "m1-bank") == 429
        gateway.fleet.on_quota_share(QuotaShare(3, 1 / 3, frozenset()))
        assert await submit(port, "p2", "m1-bank") == 202
        await gateway.stop()

    run_async_test(test)
