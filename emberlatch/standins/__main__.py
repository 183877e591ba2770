"""A process that hosts endpoints of partners: `python -m emberlatch.standins`.

The process reads lines of JSON from standard input, and answers each with a line of JSON on standard output.
The first line is a list of endpoints, each as `{"id": ..., "behaviour": {...}}`. The keys of a behaviour are
those of `endpoint_model.BEHAVIOUR_KEYS`. The answer maps the ids to addresses.
Each later line, such as `{"id": ..., "condition": "hang"}`, changes the condition of one endpoint. The answer
has the endpoint's id and its number of calls.
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
