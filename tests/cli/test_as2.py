"""The output and the exit codes of `emberlatch as2`."""

from __future__ import annotations

import asyncio
import json
from functools import partial
from pathlib import Path
from unittest.mock import patch

import pytest
from click.testing import CliRunner, Result

from emberlatch.as2 import mime
from emberlatch.cli import main
from emberlatch.standins.as2_script import ReceiptBehaviour, Script
from tests.as2.world import configuration, order, running, until, write
from tests.standalone.running_gateway import final_state, run_async_test, submit


def call(*arguments: object) -> Result:
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def configured(folder: Path, **more: str) -> Path:
    return configuration(folder, 9999, 9998, "127.0.0.1:9", **more)


def test_check_shows_the_profile_and_a_stand_in_answers(tmp_path: Path) -> None:
    path = configured(tmp_path)
    done = call("as2", "partner", "check", path)
    assert done.exit_code == 0, done.output
    assert "river is 'RIVER BANK': sha256, aes256_cbc, receipts in the answer" in done.stdout
    assert "a stand-in of it: processed" in done.stdout
    assert call("check", path).exit_code == 0
    assert call("as2", "partner", "check", path, "lake").exit_code == 2


def test_a_certificate_that_expires_soon_is_reported_with_exit_code_1(tmp_path: Path) -> None:
    path = configured(tmp_path)
    made = call("as2", "cert", "new", "river", "--out", tmp_path / "river", "--days", 5)
    assert made.exit_code == 0 and (tmp_path / "river.pem").stat().st_mode & 0o077 == 0
    done = call("as2", "partner", "check", path)
    assert done.exit_code == 1 and "ends in 4 days, and none follows" in done.stderr


@pytest.mark.parametrize(
    ("change", "line", "said"),
    [
        ({"sign": '"md5"'}, "sign", "Input should be"),
        ({"certificates": "[]"}, "", "needs certificates"),
        ({"receipts_to": '"ftp://x:1/y"'}, "receipts_to", "must be a URL"),
        ({"name": f'"{"x" * 129}"'}, "name", "must be 1 to 128"),
        ({"late_receipts": "true"}, "", "need receipts_at"),
        ({"name": '"National Office"'}, "", "has our own AS2 name"),
        ({"signn": '"sha-256"'}, "signn", "did you mean 'sign'?"),
    ],
)
def test_an_invalid_profile_is_reported_by_line_with_exit_code_2(
    tmp_path: Path, change: dict[str, str], line: str, said: str
) -> None:
    path = configured(tmp_path, **change)
    done = call("check", path)
    lines = enumerate(path.read_text().splitlines(), 1)
    number = max((n for n, text in lines if line and text.startswith(line)), default=0)
    assert done.exit_code == 2 and said in done.stderr, done.stderr
    assert not number or f"{path}:{number}: as2.partners.river.{line}" in done.stderr


def test_an_endpoint_without_an_as2_profile_is_reported_by_line(tmp_path: Path) -> None:
    path = configured(tmp_path)
    rows = tmp_path / "inventory" / "a.csv"
    rows.write_text(rows.read_text() + "lake-1,127.0.0.1:8,lake,wallet-operator,east-wing,as2\n")
    done = call("check", path)
    assert done.exit_code == 2
    assert f"{rows}:3: protocol: 'lake' has no AS2 profile" in done.stderr
    assert f"{rows}:3: protocol: as2 for 'wallet-operator'" in done.stderr
    path.write_text(path.read_text().partition("[as2]")[0])
    assert "protocol: 'as2' is not known" in call("check", path).stderr


def test_without_the_as2_libraries_commands_name_the_package_to_install(tmp_path: Path) -> None:
    path = configured(tmp_path)
    with patch("importlib.util.find_spec", lambda name: None):
        for arguments in (("check", path), ("serve", path), ("as2", "disputes", path)):
            done = call(*arguments)
            assert done.exit_code == 2 and "pip install 'emberlatch[as2]'" in done.stderr


def test_a_captured_message_is_explained(tmp_path: Path) -> None:
    write(tmp_path, "us", "river")
    headers, body = order()
    captured = tmp_path / "order.mime"
    captured.write_bytes(mime.compose([h for h in headers if h[0].startswith("Content")], body))
    done = call("as2", "verify", captured)
    assert done.exit_code == 0 and "encrypted with aes256_cbc" in done.stdout
    done = call("as2", "verify", captured, "--config", configured(tmp_path), "--partner", "river")
    assert "layers: encrypted aes256_cbc, signed sha256" in done.stdout and "signer: CN=river" in done.stdout
    captured.write_bytes(b"nothing of the kind")
    assert call("as2", "verify", captured).exit_code == 2


def test_a_message_is_sent_without_the_gateway_and_its_receipt_is_verified(tmp_path: Path) -> None:
    async def test() -> None:
        behaviours = iter([ReceiptBehaviour.RECEIPT, ReceiptBehaviour.WRONG_MIC, ReceiptBehaviour.BUSY])
        async with running(tmp_path, lambda: Script(next(behaviours))) as (_, bank, _, _):
            file = tmp_path / "file"
            file.write_bytes(b"a trial")
            results = [
                await asyncio.to_thread(call, "as2", "send", tmp_path / "gateway.toml", "river", file)
                for _ in range(3)
            ]
            assert [done.exit_code for done in results] == [0, 1, 1]
            assert results[0].stdout.startswith("processed") and "MIC of another content" in results[1].stdout
            assert results[2].stdout == "answered 429: refused\n"
            assert bank.received[0].opened is not None and bank.received[0].opened.content.body == b"a trial"

    run_async_test(test)


def test_disputes_are_listed_and_exported_while_the_gateway_runs(tmp_path: Path) -> None:
    async def test() -> None:
        late = {"late_receipts": "true", "as2_receipts_at": '"http://127.0.0.1:{as2}/as2"'}
        script = partial(Script, ReceiptBehaviour.LATE, late_delay_s=1.2)
        async with running(tmp_path, script, **late) as (_, bank, port, _):  # type: ignore[arg-type]
            assert await submit(port, "m1", "river", X_Timeout_Ms="700") == 202
            assert await final_state(port, "m1") == "failed"
            await until(lambda: bool(bank.delivered_receipts))
            path, folder = tmp_path / "gateway.toml", tmp_path / "evidence"
            done = await asyncio.to_thread(call, "as2", "disputes", path, "--export", folder)
            assert done.exit_code == 0 and "ended failed, yet the partner processed it" in done.stdout
            (dispute,) = json.loads((folder / "disputes.json").read_text())
            kept = folder / dispute["receipts"][0]
            verified = await asyncio.to_thread(call, "as2", "verify", kept, "--config", path)
            assert "disposition: processed" in verified.stdout and "signer: CN=river" in verified.stdout
            status = await asyncio.to_thread(call, "status", path)
            assert "1 disputes" in status.stdout
            listed = await asyncio.to_thread(call, "as2", "disputes", path, "--json")
            assert json.loads(listed.stdout)[0]["message"] == "m1"

    run_async_test(test)
