"""The configuration files and the inventories of a storm's members."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from emberlatch.storm.client_load import DEADLINE_S, IDEMPOTENCY_WINDOW_S, LATENCY_TARGET_S
from emberlatch.storm.partners import BEHAVIOURS
from emberlatch.storm.plan import ENDPOINTS

PARTNER_KINDS = {"p1": "wallet-operator", "p2": "rural-bank"}
INVENTORY_HEAD = "id,address,partner,kind,wing,limit"
GATEWAY_TEMPLATE = """\
listen = "127.0.0.1:{port}"
state = "{state}"
log_format = "json"

[inventory]
paths = ["inventory.csv"]

[limits]
calls = 16
messages = 400
sockets = 256
journal = "2MB"

[classes.note]
effect = "safe"
aim = "{aim}s"
deadline = "{deadline}s"

[classes.payout]
effect = "keyed"
aim = "{aim}s"
deadline = "{deadline}s"
window = "{window}s"

[classes.order]
effect = "unsafe"
aim = "{aim}s"
deadline = "{deadline}s"

[rules]
cold = "3s"
"""
FLEET_TEMPLATE = """
[fleet]
name = "storm"
me = "{me}"
listen = "127.0.0.1:{port}"

[fleet.members]
{members}
"""


def render_config(port: int, state: Path, fleet: str = "") -> str:
    """Return the configuration of a member that listens on `port` on loopback.

    `fleet` is the text of the fleet section, empty for a member that runs alone.
    """
    gateway = GATEWAY_TEMPLATE.format(
        port=port,
        state=state,
        aim=LATENCY_TARGET_S,
        deadline=DEADLINE_S,
        window=IDEMPOTENCY_WINDOW_S,
    )
    return gateway + fleet


def render_fleet_section(me: str, fleet_port: int, ports: Mapping[str, int]) -> str:
    """Return the fleet section of the member `me`, which listens on `fleet_port`.

    `ports` are the ports on loopback by which it reaches each member, and contain its own.
    """
    members = "\n".join(f'{name} = "127.0.0.1:{port}"' for name, port in sorted(ports.items()))
    return FLEET_TEMPLATE.format(me=me, port=fleet_port, members=members)


def render_inventory(ports: Mapping[str, int]) -> str:
    """Return the inventory of a member; `ports` are the ports by which it reaches each endpoint."""
    rows = [INVENTORY_HEAD]
    for name in ENDPOINTS:
        partner, wing = name.split("-")
        limit = BEHAVIOURS[partner].rate_limit_per_s
        limit_text = f"{limit:.0f}" if limit else ""
        address = f"127.0.0.1:{ports[name]}"
        rows.append(f"{name},{address},{partner},{PARTNER_KINDS[partner]},{wing}-wing,{limit_text}")
    return "\n".join(rows) + "\n"
