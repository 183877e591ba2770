"""A process that hosts endpoints of partners: `python -m emberlatch.standins`.

The process exchanges lines of JSON. The first line on its standard input is a list of endpoints,
`{"id": ..., "behaviour": {...}}` (`endpoint_model.BEHAVIOUR_KEYS`); the process answers with their
addresses. Each later line, like `{"id": ..., "condition": "hang"}`, changes the condition of one endpoint.
The process exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import json
import sys
import zlib

from emberlatch.standins.endpoint_model import Behaviour, Condition, EndpointModel
from emberlatch.standins.partner_server import PartnerServer


async def _host() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    servers: dict[str, PartnerServer] = {}
    for item in json.loads(await reader.readline()):
        behaviour = Behaviour.from_document(item["behaviour"])
        endpoint = EndpointModel(behaviour, seed=zlib.crc32(item["id"].encode()))
        server = servers[item["id"]] = PartnerServer(endpoint)
        await server.start()
    _print_line({name: server.address for name, server in servers.items()})
    while line := await reader.readline():
        change = json.loads(line)
        server = servers[change["id"]]
        await server.set_condition(Condition(change["condition"]))
        _print_line({"id": change["id"], "calls": len(server.endpoint.calls)})


def _print_line(document: dict[str, object]) -> None:
    sys.stdout.write(json.dumps(document) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    asyncio.run(_host())
