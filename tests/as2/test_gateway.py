"""A gateway with AS2 over real sockets: sent messages, their receipts, and received orders."""

from __future__ import annotations

import asyncio
import base64
import gc
import ipaddress
import ssl
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization

from emberlatch.as2 import mdn, mime
from emberlatch.as2.message import NO_LAYERS, Layers, seal
from emberlatch.config import load
from emberlatch.standalone import StandaloneGateway, StartError
from emberlatch.standalone.answers import StatusAnswer, decode
from emberlatch.standins.as2_partner import As2Partner
from emberlatch.standins.as2_script import ReceiptBehaviour, Script
from tests.as2.parties import NOW, certificate, identity, key, trust
from tests.as2.world import PEM, configuration, order, post, receipt, running, until
from tests.peers import free_port
from tests.standalone.running_gateway import final_state, message_state, run_async_test, submit

LATE: dict[str, Any] = {"late_receipts": "true", "as2_receipts_at": '"http://127.0.0.1:{as2}/as2"'}
ORDERS: dict[str, Any] = {"orders": '{class = "payout", destination = "river"}'}


def scripted(*behaviours: ReceiptBehaviour) -> Iterator[Script]:
    yield from (Script(behaviour) for behaviour in behaviours)
    while True:
        yield Script()


def test_signed_and_encrypted_payout_is_delivered_by_its_receipt(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as (gateway, bank, port, _):
            assert await submit(port, "m1", "river") == 202
            assert await final_state(port, "m1") == "delivered"
            (received,) = bank.received
            assert received.opened is not None and received.opened.content.body == b"x"
            assert received.opened.layers == ("encrypted aes256_cbc", "signed sha256")
            assert received.opened.content.get("idempotency-key") == "m1"
            status = decode(await gateway.commands.status(), StatusAnswer)
            assert status.as2 is not None and status.as2.disputes == 0

    run_async_test(test)


def test_asynchronous_receipt_delivers_message(tmp_path: Path) -> None:
    async def test() -> None:
        script = Script(delay_s=0.2)
        async with running(tmp_path, lambda: script, **LATE) as (gateway, bank, port, _):
            assert await submit(port, "m1", "river") == 202
            assert await final_state(port, "m1") == "delivered"
            assert [receipt.behaviour for receipt in bank.delivered_receipts] in (
                [],
                [ReceiptBehaviour.RECEIPT],
            )
            status = decode(await gateway.commands.status(), StatusAnswer)
            assert status.as2 is not None and status.as2.disputes == 0

    run_async_test(test)


def test_request_with_malformed_or_duplicate_header_gets_400(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (_, _, _, as2):
            for bad in (b"A: b\x00c", b"A: b\x0bX: y", b"A: b\rX: y", b"A : b", b"Message-ID: <a@b>"):
                reader, writer = await asyncio.open_connection("127.0.0.1", as2)
                head = b"POST /as2 HTTP/1.1\r\nHost: x\r\nMessage-ID: <a@b>\r\n"
                writer.write(head + bad + b"\r\nContent-Length: 0\r\n\r\n")
                assert b" 400 " in await reader.readline()
                writer.close()

    run_async_test(test)


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (ReceiptBehaviour.CORRUPT, "receipt that does not hold"),
        (ReceiptBehaviour.MISSIGNED, "receipt that does not hold"),
        (ReceiptBehaviour.UNSIGNED, "receipt without a signature"),
        (ReceiptBehaviour.WRONG_MIC, "MIC of another content"),
        (ReceiptBehaviour.OTHER_ENDS, "MIC of another content"),
        (ReceiptBehaviour.FOR_ANOTHER, "another message"),
        (ReceiptBehaviour.UNEXPECTED, "unexpected-processing-error"),
    ],
)
def test_bad_receipt_causes_dispute_and_message_is_sent_again(
    tmp_path: Path, behaviour: ReceiptBehaviour, expected: str, late: bool
) -> None:
    """The payout has an idempotency key, so the same message is sent again. It then gets a valid receipt."""

    async def test() -> None:
        behaviours = scripted(behaviour)
        options: dict[str, Any] = LATE if late else {}
        async with running(tmp_path, lambda: next(behaviours), **options) as (gateway, bank, port, _):
            assert await submit(port, "m1", "river", X_Timeout_Ms="6000") == 202
            if behaviour is ReceiptBehaviour.FOR_ANOTHER and late:
                await until(
                    lambda: bool(bank.delivered_receipts)
                )  # The receipt is recorded although its message is unknown.
                assert gateway.as2 is not None
                (unknown,) = gateway.as2.evidence.disputes()
                assert "receipt for a message that is not known" in unknown["disputes"][0]
                return
            assert await final_state(port, "m1") == "delivered"
            assert len({received.original for received in bank.received}) == 1 < len(bank.received)
            assert [received.processed for received in bank.received] == [True] + [False] * (
                len(bank.received) - 1
            )
            assert gateway.as2 is not None
            (dispute,) = gateway.as2.evidence.disputes()
            assert dispute["message"] == "m1" and expected in dispute["disputes"][0]
            kept = gateway.as2.evidence.receipt(dispute["receipts"][0])
            assert b"disposition-notification" in kept

    run_async_test(test)


def test_repeated_attempts_send_identical_bytes(tmp_path: Path) -> None:
    async def test() -> None:
        behaviours, bodies = scripted(ReceiptBehaviour.EMPTY, ReceiptBehaviour.STATUS), []
        async with running(tmp_path, lambda: next(behaviours)) as (_, bank, port, _):
            real = As2Partner.on_message

            def on_message(
                self: As2Partner, connection: object, headers: dict[str, str], body: bytes
            ) -> None:
                bodies.append(body)
                real(self, connection, headers, body)  # type: ignore[arg-type]

            bank.on_message = on_message.__get__(bank)  # type: ignore[method-assign]
            assert await submit(port, "m1", "river") == 202
            assert await final_state(port, "m1") == "delivered"
            assert len(bodies) == 3 and len(set(bodies)) == 1

    run_async_test(test)


def test_receipt_after_failure_keeps_final_state_and_causes_dispute(tmp_path: Path) -> None:
    async def test() -> None:
        script = Script(ReceiptBehaviour.LATE, late_delay_s=1.5)
        async with running(tmp_path, lambda: script, **LATE) as (gateway, bank, port, _):
            assert await submit(port, "m1", "river", X_Timeout_Ms="900") == 202
            assert await final_state(port, "m1") == "failed"
            await until(lambda: bool(bank.delivered_receipts))
            assert (await message_state(port, "m1") or {})["state"] == "failed"
            assert gateway.as2 is not None
            (dispute,) = gateway.as2.evidence.disputes()
            assert dispute["disputes"] == ["ended failed, yet the partner processed it"]
            assert dispute["receipts"] and dispute["end"] == "failed"

    run_async_test(test)


def test_receipt_between_attempts_delivers_message(tmp_path: Path) -> None:
    """The first attempt is cancelled and the message is pending when the receipt proves its delivery."""

    async def test() -> None:
        async with running(tmp_path, lambda: Script(ReceiptBehaviour.DROPPED), **LATE) as (
            gateway,
            bank,
            port,
            as2,
        ):
            assert await submit(port, "m1", "river", X_Timeout_Ms="8000") == 202
            await until(lambda: bool(bank.received))
            await bank.stop()  # No other attempt can be sent.
            received = bank.received[0]
            assert gateway.as2 is not None and received.opened is not None
            record = gateway.as2.evidence.find(received.original)
            assert record is not None
            while next(iter(gateway.as2._as2._exchanges), None) is not None:
                gateway.as2._as2.cancel(record.ref, 0)
                await asyncio.sleep(0.01)
            answer = mdn.Mdn(received.original, mdn.PROCESSED, *received.opened.mic(), recipient="RIVER BANK")
            sealed = seal(mdn.build(answer), Layers("sha256", ""), identity("river"), trust("us"), NOW)
            head = [("AS2-From", '"RIVER BANK"'), ("AS2-To", '"National Office"'), ("Message-ID", "<r@x>")]
            assert (await post(as2, ([*head, *sealed.headers], sealed.body)))[0] == 200
            assert await final_state(port, "m1") == "delivered"

    run_async_test(test)


def test_unresponsive_partner_uses_no_more_than_its_leases(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, lambda: Script(ReceiptBehaviour.DROPPED)) as (_, bank, port, _):
            for number in range(24):
                await submit(port, f"m{number}", "river", X_Timeout_Ms="1500")
            await until(lambda: bool(bank.received))
            assert bank.open_connections <= 6  # one partner may use three quarters of the 8 calls

    run_async_test(test)


def tls_context(folder: Path) -> ssl.SSLContext:
    """Create a server's TLS context; write its self-signed certificate to `tls.crt`."""
    address = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))])
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "server")])
    pattern = certificate("river")
    builder = x509.CertificateBuilder(subject_name=name, issuer_name=name, public_key=key("tls").public_key())
    builder = builder.not_valid_before(pattern.not_valid_before_utc)
    builder = builder.not_valid_after(pattern.not_valid_after_utc).serial_number(7)
    builder = builder.add_extension(address, False).add_extension(x509.BasicConstraints(True, None), True)
    made = builder.sign(key("tls"), hashes.SHA256())
    secret = key("tls").private_bytes(PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    (folder / "tls.pem").write_bytes(made.public_bytes(PEM) + secret)
    (folder / "tls.crt").write_bytes(made.public_bytes(PEM))
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(folder / "tls.pem")
    return context


def test_tls_certificate_of_partner_is_verified_with_its_authorities(tmp_path: Path) -> None:
    async def test() -> None:
        context = tls_context(tmp_path)
        async with running(tmp_path, context=context, tls='"tls.crt"') as (_, bank, port, _):
            assert await submit(port, "m1", "river") == 202
            assert await final_state(port, "m1") == "delivered"
        bank.received.clear()
        async with running(tmp_path, context=context, tls='"river.crt"') as (_, bank, port, _):
            assert await submit(port, "m2", "river", X_Timeout_Ms="900") == 202
            assert await final_state(port, "m2") == "refused"  # No message was sent.
            assert not bank.received

    run_async_test(test)


def test_slow_tls_handshake_succeeds_and_endless_one_sends_no_message(tmp_path: Path) -> None:
    async def test() -> None:
        context, pause = tls_context(tmp_path), [0.4]
        async with running(tmp_path, context=context, tls='"tls.crt"') as (gateway, bank, port, _):
            there = bank.address.split(":")

            async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(pause[0])
                onward = await asyncio.open_connection(*there)

                async def copy(one: asyncio.StreamReader, other: asyncio.StreamWriter) -> None:
                    while data := await one.read(65536):
                        other.write(data)
                    other.close()

                await asyncio.gather(copy(reader, onward[1]), copy(onward[0], writer), return_exceptions=True)

            slow = await asyncio.start_server(relay, "127.0.0.1", 0)
            address = f"127.0.0.1:{slow.sockets[0].getsockname()[1]}"
            row = f"id,address,partner,kind,wing,protocol\nslow,{address},river,rural-bank,east-wing,as2\n"
            (tmp_path / "inventory" / "a.csv").write_text(row)
            await gateway.commands.reload()
            await until(lambda: any(b"slow" in target for target in gateway.membership.inventory.endpoints))
            assert await submit(port, "m1", "river") == 202
            assert await final_state(port, "m1") == "delivered"
            pause[0] = 60.0
            gateway.as2._as2.close_idle(next(iter(gateway.membership.inventory.endpoints)))  # type: ignore[union-attr]
            assert await submit(port, "m2", "river", X_Timeout_Ms="1500") == 202
            assert await final_state(port, "m2") == "refused"
            assert len(bank.received) == 1
            slow.close()

    run_async_test(test)


# Received orders.


def test_order_is_accepted_once_and_its_repetition_gets_the_same_receipt(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (gateway, bank, _, as2):
            status, headers, body = await post(as2, order())
            confirmation = receipt(headers, body)
            assert (status, confirmation.disposition) == (200, mdn.PROCESSED)
            assert confirmation.message_id == "o-1@river"
            assert headers["as2-from"] == '"National Office"' and headers["as2-to"] == '"RIVER BANK"'
            await until(lambda: bool(bank.received))  # The gateway sends the order on over AS2.
            again = await post(as2, order())
            assert again[2] == body and again[1]["message-id"] == headers["message-id"]
            assert len({received.original for received in bank.received}) == 1
            other = mime.compose((("Content-Type", "text/plain"),), b"another order")
            status, headers, body = await post(as2, order(content=other))
            assert receipt(headers, body).disposition.text == "unexpected-processing-error"
            assert gateway.engine.counters.totals()["accepted"] == 1

    run_async_test(test)


def test_asynchronous_receipt_is_posted_until_it_is_accepted(tmp_path: Path) -> None:
    async def test() -> None:
        posted: list[tuple[dict[str, str], bytes]] = []
        answers = iter([500, 200])

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[1:-2]
            headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head)}
            posted.append((headers, await reader.readexactly(int(headers["content-length"]))))
            writer.write(f"HTTP/1.1 {next(answers)} X\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/receipts"
        async with running(tmp_path, receipts_to=f'"{url}"', **ORDERS) as (gateway, _, _, as2):
            status, _, body = await post(as2, order(Receipt_Delivery_Option=url))
            assert (status, body) == (200, b"")
            await until(lambda: len(posted) == 2)
            assert receipt(*posted[1]).disposition == mdn.PROCESSED
            await until(lambda: gateway.as2 is not None and gateway.as2.front.pending_receipts == 0)
            status, *_ = await post(as2, order("o-2@river", Receipt_Delivery_Option="http://127.0.0.1:1/x"))
            assert status == 400  # Receipts are posted only to the URL in the profile.
        server.close()

    run_async_test(test)


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        ({"signer": "stranger"}, "authentication-failed"),
        ({"wanted": NO_LAYERS}, "insufficient-message-security"),
        ({"content": mime.compose((("Envelope", "dest=nowhere"),), b"x")}, "unexpected-processing-error"),
        ({"content": mime.compose((("X-Priority-Class", "none"),), b"x")}, "unexpected-processing-error"),
        ({"content": mime.compose((("X-Timeout-Ms", "-5"),), b"x")}, "unexpected-processing-error"),
    ],
)
def test_unacceptable_order_gets_signed_error_receipt(
    tmp_path: Path, options: dict[str, object], expected: str
) -> None:
    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (gateway, _, _, as2):
            status, headers, body = await post(as2, order(**options))  # type: ignore[arg-type]
            assert status == 200 and receipt(headers, body).disposition.text == expected
            assert not gateway.engine.messages.open_messages and not list(gateway.as2._orders.states)  # type: ignore[union-attr]

    run_async_test(test)


def test_message_between_unknown_parties_gets_no_receipt(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (_, _, _, as2):
            assert (await post(as2, order(AS2_From="nobody")))[0] == 403
            assert (await post(as2, order(AS2_To="nobody")))[0] == 403
            assert (await post(as2, order(AS2_From='"a')))[0] == 400
            assert (await post(as2, order(Message_ID="")))[0] == 400

    run_async_test(test)


def test_unusual_encodings_of_orders_are_accepted(tmp_path: Path) -> None:
    """One order has folded headers and base64.

    The other one has chunked transfer encoding, and a multipart body with a preamble and an epilogue.
    """

    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (gateway, _, _, as2):
            headers, body = order("o-1@river", wanted=Layers("sha256", "aes128_cbc"))
            headers = [(k, v) for k, v in headers if not k.startswith("Content-T")]
            coded = base64.encodebytes(body)
            kind = 'application/pkcs7-mime;\r\n smime-type=enveloped-data;\r\n\tname="a b"'
            headers += [("Content-Type", kind), ("Content-Transfer-Encoding", "base64")]
            status, *_ = await post(as2, (headers, coded))
            assert status == 200
            headers, body = order("o-2@river", wanted=Layers("sha256", ""))
            lines = "".join(f"{k}: {v}\r\n" for k, v in headers)
            reader, writer = await asyncio.open_connection("127.0.0.1", as2)
            writer.write(
                f"POST /as2 HTTP/1.1\r\nHost: x\r\n{lines}Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            body = b"a preamble\r\n" + body + b"an epilogue"
            for at in range(0, len(body), 777):
                piece = body[at : at + 777]
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            writer.write(b"0\r\n\r\n")
            assert b" 200 " in await reader.readline()
            writer.close()
            assert gateway.engine.counters.totals()["accepted"] == 2

    run_async_test(test)


def test_repeated_order_is_recognized_after_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (_, bank, _, as2):
            _, _, first = await post(as2, order())
            await until(lambda: bool(bank.received))
        async with running(tmp_path, **ORDERS) as (gateway, bank, _, as2):
            status, _, body = await post(as2, order())
            assert (status, body) == (200, first) and not gateway.engine.messages.open_messages
            assert not bank.received

    run_async_test(test)


def test_order_is_deleted_after_retention(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, **ORDERS) as (gateway, bank, _, as2):
            assert (await post(as2, order()))[0] == 200
            await until(lambda: bool(bank.received))
            assert gateway.as2 is not None and gateway.as2._orders.states
            gateway.as2.front._now = lambda: time.time() + 73 * 3600
            await until(lambda: gateway.as2 is not None and not gateway.as2._orders.states)

    run_async_test(test)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"certificates": '["none.crt"]'}, "as2.partners.river: "),
        ({"certificates": '["gateway.toml"]'}, "no PEM certificate"),
        ({"as2_certificates": '["us.crt"]'}, "as2.certificates: "),
        ({"tls": '"river.pem.none"'}, "as2.partners.river"),
        ({"as2_sockets": "1000"}, "limits.sockets: must be greater than 1047, got 1024"),
    ],
)
def test_unusable_profile_fails_start_and_error_names_the_setting(
    tmp_path: Path, change: dict[str, str], expected: str
) -> None:
    async def test() -> None:
        path = configuration(tmp_path, await free_port(), await free_port(), "127.0.0.1:9", **change)
        with pytest.raises(StartError, match=expected):
            StandaloneGateway(load(path))
        gc.collect()

    run_async_test(test)


def test_content_without_layers_is_sent_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, receipts='"unsigned"', sign='"none"', encrypt='"none"') as got:
            _, bank, port, _ = got
            assert await submit(port, "m1", "river") == 202
            assert await final_state(port, "m1") == "delivered"
            received = replace(bank.received[0]).opened
            assert received is not None and received.layers == () and received.content.content() == b"x"

    run_async_test(test)
