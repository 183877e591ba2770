"""Each response is sent on the connection of its request only, in the order of the requests."""

from __future__ import annotations

import asyncio

from ward import test

from emberlatch.cluster.ingress import HttpListener
from emberlatch.engine import Tasks
from emberlatch.net.server import Reply, Request
from tests.cluster.rpc_support import ConnectionEnd, World, run_with_fixture

FRONT = ("front", 1)


class Client(ConnectionEnd):
    """One connection of a client, with the data received on it."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""

    def data_received(self, data: bytes) -> None:
        self.data += data

    def bodies(self) -> list[bytes]:
        """Return the bodies of the responses received."""
        return [part.partition(b"\r\n\r\n")[2] for part in self.data.split(b"HTTP/1.1 ")[1:]]

    def statuses(self) -> list[bytes]:
        """Return the status codes of the responses received."""
        return [part[:3] for part in self.data.split(b"HTTP/1.1 ")[1:]]


class GatedListener:
    """A listener that answers each request with its path as soon as the test releases that path."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.handled: list[bytes] = []
        self.gates: dict[bytes, asyncio.Event] = {}
        self.server = HttpListener(FRONT, self._handle, 100, Tasks(), world.machine)
        self.server.start()

    async def _handle(self, request: Request, reply: Reply) -> None:
        self.handled.append(request.path)
        gate = self.gates.setdefault(request.path, asyncio.Event())
        await gate.wait()
        reply.send(200, body=request.path)

    def release(self, *paths: bytes) -> None:
        for path in paths:
            self.gates.setdefault(path, asyncio.Event()).set()

    async def client(self) -> Client:
        client: Client
        _, client = await self.world.loop.create_connection(Client, *FRONT)
        return client


def request(path: bytes, body: bytes = b"") -> bytes:
    return b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (path, len(body), body)


@test("pipelined requests whose answers become ready out of order are answered in request order")
def _() -> None:
    async def steps(listener: GatedListener) -> None:
        client = await listener.client()
        client.transport.write(request(b"/a") + request(b"/b") + request(b"/c"))
        await asyncio.sleep(0.1)
        listener.release(b"/c", b"/b")
        await asyncio.sleep(0.1)
        assert client.data == b""
        listener.release(b"/a")
        await asyncio.sleep(0.1)
        assert client.bodies() == [b"/a", b"/b", b"/c"]

    run_with_fixture(GatedListener, steps)


@test("clients with concurrent requests each get the answer to their own request, in any order of completion")
def _() -> None:
    async def steps(listener: GatedListener) -> None:
        clients = [await listener.client() for _ in range(6)]
        for n, client in enumerate(clients):
            client.transport.write(request(b"/%d" % n))
        await asyncio.sleep(0.1)
        for n in (3, 0, 5, 1, 4, 2):
            listener.release(b"/%d" % n)
            await asyncio.sleep(0.01)
            assert clients[n].bodies() == [b"/%d" % n]
        assert all(len(client.bodies()) == 1 for client in clients)

    run_with_fixture(GatedListener, steps)


@test("the answer to a client that disconnected is not sent to the client that connects next")
def _() -> None:
    async def steps(listener: GatedListener) -> None:
        for disconnect in ("abort", "close"):
            path = b"/" + disconnect.encode()
            disconnected = await listener.client()
            disconnected.transport.write(request(path))
            await asyncio.sleep(0.1)
            getattr(disconnected.transport, disconnect)()
            await asyncio.sleep(0.1)
            next_client = await listener.client()
            listener.release(path)
            await asyncio.sleep(0.1)
            assert next_client.data == b""
            next_client.transport.write(request(b"/next"))
            listener.release(b"/next")
            await asyncio.sleep(0.1)
            assert next_client.bodies() == [b"/next"]

    run_with_fixture(GatedListener, steps)


@test("a request that is truncated at any byte is not handled; the complete request is")
def _() -> None:
    complete = request(b"/cut", b"0123456789")
    handled_at = set[int]()
    for cut in range(len(complete) + 1):
        for disconnect in ("abort", "write_eof"):

            async def steps(listener: GatedListener, cut: int = cut, disconnect: str = disconnect) -> None:
                client = await listener.client()
                client.transport.write(complete[:cut])
                await asyncio.sleep(0.05)
                getattr(client.transport, disconnect)()
                listener.release(b"/cut")
                await asyncio.sleep(5.0)
                if listener.handled:
                    handled_at.add(cut)
                else:
                    assert b"200" not in client.statuses(), str(cut)

            run_with_fixture(GatedListener, steps)
    assert handled_at == {len(complete)}


@test(
    "a request that stays incomplete is answered 408 after the answers to earlier requests, and is not handled"
)
def _() -> None:
    async def steps(listener: GatedListener) -> None:
        listener.server.request_timeout_s = 1.0
        client = await listener.client()
        client.transport.write(request(b"/a") + request(b"/cut", b"0123456789")[:-1])
        await asyncio.sleep(3.0)
        assert client.data == b""
        listener.release(b"/a", b"/cut")
        await asyncio.sleep(1.0)
        assert client.statuses() == [b"200", b"408"] and client.bodies()[0] == b"/a"
        assert listener.handled == [b"/a"] and client.lost

    run_with_fixture(GatedListener, steps)


@test(
    "a malformed request is answered 400 after the answers to earlier requests, and later ones are not handled"
)
def _() -> None:
    async def steps(listener: GatedListener) -> None:
        client = await listener.client()
        client.transport.write(request(b"/a") + b"garbage\r\n\r\n" + request(b"/b"))
        await asyncio.sleep(0.1)
        listener.release(b"/a", b"/b")
        await asyncio.sleep(1.0)
        assert client.statuses() == [b"200", b"400"] and listener.handled == [b"/a"]

    run_with_fixture(GatedListener, steps)


@test("a request whose handler fails is answered 500, and other requests are answered normally")
def _() -> None:
    async def steps(listener: GatedListener) -> None:
        async def handle(request: Request, reply: Reply) -> None:
            if request.path == b"/bad":
                raise RuntimeError("planted")
            reply.send(200, body=request.path)

        listener.server._handle = handle
        client = await listener.client()
        client.transport.write(request(b"/a") + request(b"/bad") + request(b"/b"))
        await asyncio.sleep(0.1)
        assert client.statuses() == [b"200", b"500", b"200"]
        assert client.bodies()[::2] == [b"/a", b"/b"]

    run_with_fixture(GatedListener, steps)
