"""`emberlatch as2`: partners, test messages, captured messages, certificates, disputes."""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from emberlatch.cli.common import (
    AS2_LIBRARIES_MISSING,
    FILE,
    PATH,
    fail,
    has_as2,
    inventory_of,
    load_configuration,
    load_parties,
)
from emberlatch.config import Gateway

if TYPE_CHECKING:  # AS2 needs libraries of an optional extra
    from emberlatch.as2.evidence import Dispute, Evidence
    from emberlatch.as2.profile import Parties, Partner
    from emberlatch.config.as2 import As2
    from emberlatch.engine import Address

MAX_CAPTURED_BYTES = 1 << 20
PRIVATE_KEY_MODE = 0o600


@click.group(name="as2")
def as2() -> None:
    """AS2 partners: check a profile, send a test message, explain a captured one, list disputes."""
    if not has_as2():
        fail([AS2_LIBRARIES_MISSING])


@as2.group()
def partner() -> None:
    """Partners of a configuration."""


def _as2_configuration(path: Path) -> tuple[Gateway, As2]:
    config = load_configuration(path)
    if config.as2 is None:
        fail([f"{path}: has no table [as2]"])
    return config, config.as2


def _parties(path: Path) -> tuple[Gateway, Parties]:
    config, as2_config = _as2_configuration(path)
    return config, load_parties(path, config, as2_config)


def _named_partner(parties: Parties, name: str) -> Partner:
    if name not in parties.partners:
        fail([f"no partner {name!r}; known are {', '.join(parties.partners)}"])
    return parties.partners[name]


def _named_partners(parties: Parties, name: str | None) -> list[Partner]:
    """Return the partner with the name, or all partners if `name` is None."""
    return [_named_partner(parties, name)] if name else list(parties.partners.values())


@partner.command(name="check")
@click.argument("config_path", metavar="CONFIG", type=PATH)
@click.argument("name", required=False)
def check_partner(config_path: Path, name: str | None) -> None:
    """Show the profiles in CONFIG, send a test message to a stand-in of each, list certificates to renew."""
    from emberlatch.as2.build import describe_expiring_certificates
    from emberlatch.as2.certificates import describe
    from emberlatch.cli.as2_exchange import exchange_with_stand_in

    _, parties = _parties(config_path)
    for certificate, _ in parties.own.identity.key_pairs:
        click.echo(f"we are {parties.own.name!r}: {describe(certificate)}")
    for profile in _named_partners(parties, name):
        click.echo(_profile_line(profile))
        for certificate in profile.trust.pinned:
            click.echo(f"  {describe(certificate)}")
        click.echo(f"  a stand-in of it: {asyncio.run(exchange_with_stand_in(parties, profile))}")
    expiring = describe_expiring_certificates(parties, time.time())
    for line in expiring:
        click.echo(f"renew: {line}", err=True)
    raise SystemExit(1 if expiring else 0)


def _profile_line(profile: Partner) -> str:
    layers, receipts = profile.layers, "later" if profile.asynchronous_receipts else "in the answer"
    sign, encrypt = layers.sign or "not signed", layers.encrypt or "not encrypted"
    return f"{profile.inventory_name} is {profile.as2_name!r}: {sign}, {encrypt}, receipts {receipts}"


@as2.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
@click.argument("name")
@click.argument("file", type=FILE)
@click.option("--to", help="host:port; the default is the partner's first endpoint in the inventory.")
def send(config_path: Path, name: str, file: Path, to: str | None) -> None:
    """Send FILE to the partner NAME once, without the gateway, and show what its receipt proves.

    The message is not journalled and not repeated, and the running gateway does not know it.
    """
    from emberlatch.cli.as2_exchange import exchange

    config, parties = _parties(config_path)
    profile = _named_partner(parties, name)
    address = _first_endpoint(config, name) if to is None else _address(to)
    result = asyncio.run(exchange(parties, profile, address, file.read_bytes()))
    click.echo(result)
    raise SystemExit(0 if result.startswith("processed") else 1)


def _first_endpoint(config: Gateway, partner_name: str) -> Address:
    endpoints = inventory_of(config).endpoints.values()
    addresses = [e.address for e in endpoints if e.partner == partner_name and e.protocol == "as2"]
    if addresses:
        return addresses[0]
    return fail([f"{partner_name!r} has no AS2 endpoint in the inventory; give one with --to"])


def _address(text: str) -> Address:
    from emberlatch.net.http_connection import parse_address

    try:
        return parse_address(text)
    except ValueError as error:
        fail([f"--to: {error}"])


@as2.command()
@click.argument("file", type=FILE)
@click.option(
    "--config",
    "config_path",
    type=PATH,
    help="The configuration whose keys and partners are used to open it.",
)
@click.option("--partner", "name", help="The partner that sent it.")
def verify(file: Path, config_path: Path | None, name: str | None) -> None:
    """Explain a captured message or receipt: headers, a blank line, and the body as received."""
    from emberlatch.as2 import explain, mime
    from emberlatch.as2.errors import As2Error

    data = file.read_bytes()
    if len(data) > MAX_CAPTURED_BYTES:
        fail([f"{file}: over {MAX_CAPTURED_BYTES} bytes"])
    try:
        message = mime.parse_entity(data)
        for line in explain.describe_visible_layers(message):
            click.echo(line)
    except (As2Error, ValueError, TypeError, KeyError) as error:
        fail([f"{file}: cannot be read: {error}"])
    if config_path is None:
        return
    _, parties = _parties(config_path)
    identity = parties.own.identity
    for profile in _named_partners(parties, name):
        click.echo(f"as {profile.inventory_name}'s:")
        for line in explain.describe_opened(
            message, identity, profile.trust, time.time(), profile.policy.sha1
        ):
            click.echo(f"  {line}")


@as2.group()
def cert() -> None:
    """Certificates for trials."""


@cert.command()
@click.argument("name")
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="OUT.pem with the key, OUT.crt without."
)
@click.option("--days", type=click.IntRange(1, 3650), default=365, show_default=True)
def new(name: str, out: Path, days: int) -> None:
    """Create a key and a self-signed certificate, for trials."""
    from emberlatch.as2.lab import new_certificate, to_pem

    certificate_path, key_path = out.with_suffix(".crt"), out.with_suffix(".pem")
    try:
        certificate, certificate_and_key = to_pem(*new_certificate(name, days))
        certificate_path.write_bytes(certificate)
        key_path.unlink(missing_ok=True)  # an existing file might be readable by others
        descriptor = os.open(key_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_KEY_MODE)
        with open(descriptor, "wb") as file:
            file.write(certificate_and_key)
    except (OSError, ValueError) as error:
        fail([str(error)])
    click.echo(f"{key_path} for us, {certificate_path} for the partner")


@as2.command()
@click.argument("config_path", metavar="CONFIG", type=PATH)
@click.option("--json", "as_json", is_flag=True, help="A JSON list, for scripts.")
@click.option("--export", "export_folder", type=click.Path(path_type=Path), help="A folder for the receipts.")
def disputes(config_path: Path, as_json: bool, export_folder: Path | None) -> None:
    """List messages whose outcome and receipt disagree; works while the gateway runs."""
    from emberlatch.as2.evidence import Evidence
    from emberlatch.as2.side import LEDGER
    from emberlatch.store import Folder

    config, as2_config = _as2_configuration(config_path)
    ledger = config.path(config.state) / LEDGER
    evidence = Evidence(Folder(ledger), as2_config.ledger, as2_config.remember)
    try:
        evidence.load_read_only()
        found = evidence.disputes()
        if export_folder is not None:
            _export(evidence, found, export_folder)
    except OSError as error:
        fail([f"{ledger}: {error.strerror or error}"])
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    for dispute in found:
        click.echo(_dispute_lines(dispute))
    click.echo(f"{len(found)} disputes")


def _dispute_lines(dispute: Dispute) -> str:
    message, state = dispute.get("message", "?"), dispute.get("end") or "no end yet"
    head = f"{dispute['partner']}  {message}  {state}  <{dispute['original']}>"
    return "\n  ".join([head, *dispute["disputes"]])


def _export(evidence: Evidence, found: list[Dispute], folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for dispute in found:
        for name in dispute["receipts"]:
            try:
                (folder / name).write_bytes(evidence.receipt(name))
            except FileNotFoundError:
                click.echo(f"{name}: was removed for lack of space", err=True)
    (folder / "disputes.json").write_text(json.dumps(found, indent=1) + "\n")
