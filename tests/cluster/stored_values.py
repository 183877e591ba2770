"""The content of the stored files in `tests/fixtures/stored/cluster`, in wire form."""

from __future__ import annotations

from typing import Any

WALL_S = 1_700_000_000.0
"""Unix time in seconds at which the records were written."""


def record(id: str, state: int, **changed: Any) -> dict[str, Any]:
    """Return the wire form of a record; times are in seconds relative to when it was written."""
    return {
        "id": id, "host": "a.example", "method": "POST", "path": "/l/x?y=1", "content": "text/plain",
        "body": b"body of " + id.encode(), "state": state, "seal": "", "holder": "s0", "epoch": 1,
        "keepers": ["s0", "s1"], "attempts": 0, "version": 3, "sent": -0.5, "due": 0.25, "end": 60.5,
        "ended": None,
    } | changed  # fmt: skip


RECORDS = [
    record("queued", 0),
    record("void", 0, epoch=2, holder="s2"),
    record("dead", 0, method="PUT", content="", body=b"\x00\xff"),
    record("delivered", 0, keepers=["s0", "s1", "s2"]),
    record("dropped", 0),
]
"""The records as first written: all of them are queued."""

CHANGED = [
    record("void", 1, epoch=2, holder="s2"),
    record("dead", 2, attempts=4, seal="5b1c", ended=1.5),
    record("delivered", 3, attempts=1, epoch=3, holder="s1", seal="09ab", ended=2.25),
]
"""The records that a later run of the process changed."""

STORES = [
    {"node": "s0", "ip": "10.0.1.0", "port": 7300, "zone": "z0", "region": "r", "store": True, "counted": True,
     "control": "10.0.1.0:8002", "life": 2},
    {"node": "s1", "ip": "10.1.1.1", "port": 7300, "zone": "z1", "region": "r", "store": True, "counted": False,
     "control": "", "life": 1},
]  # fmt: skip
"""The list of stores that is stored as a note."""

TEXT = b'{"revision": 12}'
VOTERS = [["s0", "0f" * 8], ["s1", "1e" * 8], ["s2", "2d" * 8]]
CONTROL_STATE: list[Any] = [
    9, 4, VOTERS, 12, TEXT, [[3, "a" * 16], [7, "b" * 16], [12, "c" * 16]], [["s3", 1], ["s4", 2]], ["s5"],
    "d00dfeed",
]  # fmt: skip
"""Version, epoch, voters, revision, text, history, decommissions, removed members, cluster."""

COMMANDS = [
    ["configure", 13, b"{}"], ["decommission", "s4", 2], ["give up", "s5"], ["readmit", "s6"],
    ["voters", 4, VOTERS[:2]],
]  # fmt: skip

ACCEPTORS: dict[str, list[Any]] = {
    "open-vote": [VOTERS[1], ["10.1.1.1:8002", ""], CONTROL_STATE, [6, "s0-3-77"], [[5, "s2-1-08"], COMMANDS]],
    "promise": [VOTERS[2], None, CONTROL_STATE, [6, "s0-3-77"], None],
    "unfounded": [
        ["s0", "3c" * 8], ["10.0.1.0:8002", ""],
        [0, 0, [["10.0.1.0:8002", ""], ["10.1.1.1:8002", ""]], -1, b"", [], [], [], ""],
        [1, "s0-1-00"], [[1, "s0-1-00"], [["found", VOTERS, "d00dfeed"]]],
    ],
}  # fmt: skip
"""Records of voters: voter, founding voter, control state, promised ballot, accepted proposal."""
