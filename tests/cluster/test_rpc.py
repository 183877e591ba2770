"""Tests that a response reaches only the call that it belongs to, and that a call is sent once."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import cbor2
from ward import each, raises, test

from emberlatch.cluster.rpc import (
    ANY_NODE,
    CallFailedError,
    ForeignPeerError,
    FrameError,
    Incarnation,
    LocalEndpoint,
    PeerState,
    RpcConnection,
    TrafficCounters,
    UnexpectedMessage,
)
from emberlatch.cluster.rpc.dedupe import (
    MAX_CALLS,
    MAX_RESPONSE_BYTES,
    MAX_RETAINED_BYTES,
    RETENTION_S,
    CallKey,
    CompletedCalls,
    DuplicateCall,
)
from emberlatch.cluster.rpc.frames import (
    MAX_FRAME_BYTES,
    VERSION,
    ErrorResponse,
    Frame,
    FrameReader,
    Identify,
    Notification,
    Request,
    Response,
    encode,
)
from emberlatch.cluster.rpc.peer import EARLIER_INCARNATION_DIALS
from tests.cluster.rpc_support import (
    CALLER_INCARNATION,
    RECEIVER,
    RECEIVER_INCARNATION,
    RELAY,
    Receiver,
    Relay,
    ScriptedReceiver,
    World,
    linked_peer,
    run_in_world,
    wait_until_up,
)

INCARNATIONS = CALLER_INCARNATION, RECEIVER_INCARNATION

FRAMES: list[Frame] = [
    Identify(VERSION, "a", 1, "", 0),
    Request(1, 2, 3, "take", {"body": b"x" * 300}),
    Response(1, 2, 3, [True, None]),
    ErrorResponse(1, 2, 3, "why"),
    Notification("beat", None),
]


async def outcome(response: asyncio.Future[Any]) -> Any:
    """The payload of the response, or the CallFailedError that was raised instead."""
    try:
        return await response
    except CallFailedError as error:
        return error


@test("a stream of frames is decoded to the same frames, in pieces of any size")
def _() -> None:
    data = b"".join(map(encode, FRAMES))
    for size in (1, 2, 3, 7, 64, len(data)):
        reader, decoded = FrameReader(), list[Frame]()
        for offset in range(0, len(data), size):
            decoded += reader.feed(data[offset : offset + size])
        assert decoded == FRAMES


def malformed_frames() -> list[bytes]:
    """Byte strings that are not valid frames."""
    bodies = [
        b"", b"\xff", b"\x9f", cbor2.dumps(7), cbor2.dumps([]), cbor2.dumps({}), cbor2.dumps([9, 1]),
        cbor2.dumps(["1", 1, 2, 3, "x", None]), cbor2.dumps([True, 1, 2, 3, "x", None]),
        cbor2.dumps([1, 1, 2, 3, "x"]), cbor2.dumps([1, -1, 2, 3, "x", None]),
        cbor2.dumps([1, 1, 2, 3, b"x", None]), cbor2.dumps([2, "1", 2, 3, None]),
        cbor2.dumps([2, 1, 2.5, 3, None]), cbor2.dumps([3, 1, 2, 3, None]), cbor2.dumps([4, "x"]),
        cbor2.dumps([0, VERSION, "a", 1, "", None]), cbor2.dumps([[1], 1, 2, 3, "x", None]),
    ]  # fmt: skip
    framed = [len(body).to_bytes(4, "big") + body for body in bodies]
    return [*framed, (MAX_FRAME_BYTES + 1).to_bytes(4, "big")]


@test("malformed bytes raise FrameError")
def _() -> None:
    for data in malformed_frames():
        with raises(FrameError):
            list(FrameReader().feed(data))


@test("random bytes are decoded or raise FrameError, and raise no other error")
def _() -> None:
    generator = random.Random(5)
    for _ in range(3000):
        body = generator.randbytes(generator.randrange(24))
        try:
            list(FrameReader().feed(len(body).to_bytes(4, "big") + body))
        except FrameError:
            continue


@test("a malformed or unexpected frame closes its connection and does not affect another caller")
def _() -> None:
    async def steps(world: World) -> None:
        receiver = Receiver(world)
        receiver.delay_s = 1.0
        healthy = await world.connect(world.caller_endpoint(), TrafficCounters())
        call = healthy.call("echo", "mine")
        before_identify = [
            encode(Request(1, 1, RECEIVER_INCARNATION, "echo", 1)),
            encode(Response(1, 1, 1, 1)),
        ]
        two_identifies = encode(Identify(VERSION, "x", 1, "", 0)) * 2
        other_version = encode(Identify(VERSION + 1, "x", 1, "", 0))
        for data in [*malformed_frames(), *before_identify, two_identifies, other_version]:
            _, faulty = await world.loop.create_connection(ScriptedReceiver, *RECEIVER)
            faulty.transport.write(data)
            await asyncio.sleep(0.01)
            assert faulty.lost, repr(data)
        assert await call.response == "mine" and receiver.executed == ["mine"]

    run_in_world(steps)


@test("a dialling side that reaches another node or an earlier incarnation closes before it sends a request")
def _() -> None:
    async def steps(world: World) -> None:
        receiver = ScriptedReceiver()
        world.network.serve(lambda: receiver, RECEIVER)
        for expected in (Incarnation("other", 0), Incarnation("receiver", RECEIVER_INCARNATION + 1)):
            receiver.__init__()  # type: ignore[misc]
            counters = TrafficCounters()
            with raises(ForeignPeerError) as error:
                await world.connect(world.caller_endpoint(), counters, expected=expected)
            assert error.raised.found == Incarnation("receiver", RECEIVER_INCARNATION)
            await asyncio.sleep(0.1)
            (identify,) = receiver.frames
            assert isinstance(identify, Identify) and receiver.lost
            assert counters.count_unexpected(UnexpectedMessage.FOREIGN_PEER) == 1
        for expected in (ANY_NODE, Incarnation("receiver", RECEIVER_INCARNATION), Incarnation("receiver", 1)):
            receiver.__init__()  # type: ignore[misc]
            connection = await world.connect(world.caller_endpoint(), TrafficCounters(), expected=expected)
            assert connection.remote == Incarnation("receiver", RECEIVER_INCARNATION)

    run_in_world(steps)


@test("a process that is not the expected peer identifies itself and closes the connection")
def _() -> None:
    async def steps(world: World) -> None:
        receiver = Receiver(world)
        _, caller = await world.loop.create_connection(ScriptedReceiver, *RECEIVER)
        greeting = Identify(VERSION, "caller", CALLER_INCARNATION, "other", 0)
        caller.send(greeting, Request(1, *INCARNATIONS, "echo", "x"))
        await asyncio.sleep(0.1)
        (identify,) = caller.frames
        assert isinstance(identify, Identify)
        assert (identify.node, identify.incarnation) == ("receiver", RECEIVER_INCARNATION)
        assert caller.lost and not receiver.executed
        assert receiver.counters.count_unexpected(UnexpectedMessage.FOREIGN_PEER) == 1

    run_in_world(steps)


@test("request numbers are never reused, on the same connection or on another one")
def _() -> None:
    async def steps(world: World) -> None:
        Receiver(world)
        endpoint, numbers = world.caller_endpoint(), list[int]()
        for _ in range(3):
            connection = await world.connect(endpoint, TrafficCounters())
            calls = [connection.call("echo", n) for n in range(5)]
            assert [await call.response for call in calls] == list(range(5))
            numbers += [call.number for call in calls]
            connection.abort()
        assert len(set(numbers)) == 15 and numbers == sorted(numbers)

    run_in_world(steps)


@test("after a reset at any byte of a request, the call fails and has run only if the request arrived whole")
def _() -> None:
    frame_length = len(encode(Request(1, *INCARNATIONS, "take", "payload")))
    executed_at = set[int]()
    for reset_at in range(frame_length + 1):

        async def steps(world: World, reset_at: int = reset_at) -> None:
            receiver = Receiver(world)
            receiver.delay_s = 1.0
            Relay(world, reset_at, None)
            endpoint = world.caller_endpoint()
            other = await world.connect(endpoint, TrafficCounters())
            unaffected = other.call("take", "beside")
            connection = await world.connect(endpoint, TrafficCounters(), RELAY)
            error = await outcome(connection.call("take", "payload").response)
            assert isinstance(error, CallFailedError) and error.may_have_arrived, str(reset_at)
            assert await unaffected.response == "beside"
            await asyncio.sleep(5.0)
            assert receiver.executed.count("payload") <= 1 and receiver.executed.count("beside") == 1
            if "payload" in receiver.executed:
                executed_at.add(reset_at)

        run_in_world(steps)
    assert executed_at == {frame_length}


@test("after a reset at any byte of a response, the call fails unless the response is whole, and ran once")
def _() -> None:
    frame_length = len(encode(Response(1, *INCARNATIONS, "payload")))
    answered_at = set[int]()
    for reset_at in range(frame_length + 1):

        async def steps(world: World, reset_at: int = reset_at) -> None:
            receiver = Receiver(world)
            receiver.delay_s = 0.5
            Relay(world, None, reset_at)
            endpoint = world.caller_endpoint()
            other = await world.connect(endpoint, TrafficCounters())
            connection = await world.connect(endpoint, TrafficCounters(), RELAY)
            call, unaffected = connection.call("take", "payload"), other.call("take", "beside")
            result = await outcome(call.response)
            if result == "payload":
                answered_at.add(reset_at)
            else:
                assert isinstance(result, CallFailedError) and result.may_have_arrived, str(reset_at)
            assert await unaffected.response == "beside"
            await asyncio.sleep(5.0)
            assert sorted(receiver.executed) == ["beside", "payload"]

        run_in_world(steps)
    assert answered_at == {frame_length}


@test(
    "a request queued for a receiver that does not read counts as not sent when it is abandoned or at a reset"
)
def _() -> None:
    async def steps(world: World) -> None:
        receiver, connection, _ = await world.scripted_receiver()
        receiver.transport.pause_reading()
        long = connection.call("take", b"x" * 1_000_000)
        await asyncio.sleep(0.1)
        abandoned, waiting = connection.call("take", "given up"), connection.call("take", "waiting")
        assert not connection.abandon(abandoned)
        assert connection.abandon(long)
        receiver.transport.resume_reading()
        await asyncio.sleep(1.0)
        assert [request.number for request in receiver.requests()] == [long.number, waiting.number]
        receiver.transport.pause_reading()
        long = connection.call("take", b"x" * 1_000_000)
        await asyncio.sleep(0.1)
        queued = connection.call("take", "behind")
        receiver.transport.abort()
        sent = [(await outcome(call.response)).may_have_arrived for call in (waiting, long, queued)]
        assert sent == [True, True, False]
        assert not (await outcome(connection.call("take", "after").response)).may_have_arrived

    run_in_world(steps)


class BytesReceiver(Receiver):
    """A receiver that returns as many bytes as it is asked for."""

    def _serve(self, connection: RpcConnection, method: str, payload: Any) -> Any:
        return bytes(payload) if isinstance(payload, int) else len(payload)


# Guards against: a frame over the limit is sent, the receiver closes the connection, and all other calls fail.
@test("a frame that is too large is not sent: its call fails, and other calls on the connection succeed")
def _() -> None:
    async def steps(world: World) -> None:
        BytesReceiver(world)
        connection = await world.connect(world.caller_endpoint(), TrafficCounters())
        other = connection.call("take", 3)
        request = connection.call("take", bytes(MAX_FRAME_BYTES))
        response = connection.call("take", MAX_FRAME_BYTES)
        connection.notify("take", bytes(MAX_FRAME_BYTES))
        refused, unanswered = await outcome(request.response), await outcome(response.response)
        assert isinstance(refused, CallFailedError) and not refused.may_have_arrived
        assert isinstance(unanswered, CallFailedError) and unanswered.may_have_arrived
        assert await other.response == bytes(3) and not connection.closed
        assert connection.oldest_unanswered_s() == 0.0

    run_in_world(steps)


@test("responses in another order than the requests reach the right calls")
def _() -> None:
    async def steps(world: World) -> None:
        receiver, connection, counters = await world.scripted_receiver()
        calls = [connection.call("take", n) for n in range(20)]
        await asyncio.sleep(0.1)
        requests = receiver.requests()
        random.Random(3).shuffle(requests)
        receiver.send(*(Response(r.number, *INCARNATIONS, r.payload) for r in requests))
        assert [await call.response for call in calls] == list(range(20))
        assert not counters.unexpected and not connection.closed

    run_in_world(steps)


@test("a late response is dropped and counted, and the next call gets its own response")
def _() -> None:
    async def steps(world: World) -> None:
        receiver, connection, counters = await world.scripted_receiver()
        early = connection.call("take", "early")
        await asyncio.sleep(0.1)
        assert connection.abandon(early) and connection.oldest_unanswered_s() > 0
        later = connection.call("take", "later")
        await asyncio.sleep(0.1)
        receiver.send(Response(early.number, *INCARNATIONS, "early"))
        await asyncio.sleep(0.1)
        assert counters.count_unexpected(UnexpectedMessage.LATE_RESPONSE) == 1 and not later.response.done()
        receiver.send(Response(later.number, *INCARNATIONS, "later"))
        assert await later.response == "later" and not connection.closed

    run_in_world(steps)


# The kind of unexpected message that each stray response is counted as.
STRAY_RESPONSES = {
    "doubled": UnexpectedMessage.DUPLICATE_RESPONSE,
    "never asked": UnexpectedMessage.UNKNOWN_RESPONSE,
    "another caller's": UnexpectedMessage.UNKNOWN_RESPONSE,
    "another receiver's": UnexpectedMessage.UNKNOWN_RESPONSE,
}


@test("a response that matches no awaited call closes the connection: {name}")
def _(name: str = each(*STRAY_RESPONSES)) -> None:
    async def steps(world: World) -> None:
        receiver, connection, counters = await world.scripted_receiver()
        first, second = connection.call("take", "first"), connection.call("take", "second")
        await asyncio.sleep(0.1)
        receiver.send(Response(first.number, *INCARNATIONS, "first"))
        assert await first.response == "first"
        frames: dict[str, Frame] = {
            "doubled": Response(first.number, *INCARNATIONS, "first"),
            "never asked": Response(second.number + 1, *INCARNATIONS, "x"),
            "another caller's": Response(second.number, CALLER_INCARNATION - 1, RECEIVER_INCARNATION, "x"),
            "another receiver's": ErrorResponse(
                second.number, CALLER_INCARNATION, RECEIVER_INCARNATION - 1, "x"
            ),
        }
        receiver.send(frames[name], Response(second.number, *INCARNATIONS, "second"))
        error = await outcome(second.response)
        assert isinstance(error, CallFailedError) and error.may_have_arrived, name
        await asyncio.sleep(0.1)
        assert connection.closed and receiver.lost
        assert counters.unexpected == {("receiver", STRAY_RESPONSES[name]): 1}

    run_in_world(steps)


@test("a duplicate request of an at-most-once method does not run, on the same connection or on another")
def _() -> None:
    async def steps(world: World) -> None:
        receiver = Receiver(world)
        callers = [await world.scripted_caller() for _ in range(2)]
        request = Request(7, *INCARNATIONS, "take", "x")
        callers[0].send(request, request)
        await asyncio.sleep(0.1)
        callers[1].send(request)
        await asyncio.sleep(0.1)
        assert receiver.executed == ["x"]
        assert receiver.counters.count_unexpected(UnexpectedMessage.DUPLICATE_REQUEST) == 2
        answers = [f for caller in callers for f in caller.frames if isinstance(f, Response)]
        assert answers == [Response(7, *INCARNATIONS, "x")] * 3
        callers[0].send(Request(8, *INCARNATIONS, "take", "y"), Request(9, *INCARNATIONS, "state", "z"))
        callers[0].send(Request(9, *INCARNATIONS, "state", "z"))
        await asyncio.sleep(0.1)
        assert receiver.executed == ["x", "y", "z", "z"]

    run_in_world(steps)


@test("duplicates of a call that is still running do not run and get no response of their own")
def _() -> None:
    async def steps(world: World) -> None:
        receiver = Receiver(world)
        receiver.delay_s = 1.0
        caller = await world.scripted_caller()
        caller.send(*[Request(7, *INCARNATIONS, "take", "x")] * 3)
        await asyncio.sleep(2.0)
        assert receiver.executed == ["x"]
        assert [f for f in caller.frames if isinstance(f, Response)] == [Response(7, *INCARNATIONS, "x")]

    run_in_world(steps)


@test("a request to or from another incarnation does not run and closes the connection")
def _() -> None:
    async def steps(world: World) -> None:
        receiver = Receiver(world)
        for incarnations in (
            (CALLER_INCARNATION, RECEIVER_INCARNATION - 1),
            (CALLER_INCARNATION - 1, RECEIVER_INCARNATION),
        ):
            caller = await world.scripted_caller()
            caller.send(Request(7, *incarnations, "state", "x"))
            await asyncio.sleep(0.1)
            assert caller.lost
        assert (
            not receiver.executed
            and receiver.counters.count_unexpected(UnexpectedMessage.FOREIGN_REQUEST) == 2
        )

    run_in_world(steps)


@test("calls are retained within limits of number, bytes and time")
def _() -> None:
    calls = CompletedCalls()
    for number in range(MAX_CALLS + 10):
        assert calls.begin(CallKey("a", 1, number), 0.0) is None
    assert len(calls) == MAX_CALLS
    assert calls.begin(CallKey("a", 1, 10), 1.0) == DuplicateCall(None)
    calls.finish(CallKey("a", 1, 10), b"answer")
    calls.finish(CallKey("a", 1, 10), b"another")
    calls.finish(CallKey("a", 1, 11), b"x" * (MAX_RESPONSE_BYTES + 1))
    assert calls.begin(CallKey("a", 1, 10), 1.0) == DuplicateCall(b"answer")
    assert calls.begin(CallKey("a", 1, 11), 1.0) == DuplicateCall(None)
    assert calls.begin(CallKey("a", 2, 10), RETENTION_S + 0.1) is None and len(calls) == 1
    for number in range(MAX_RETAINED_BYTES // MAX_RESPONSE_BYTES + 20):
        calls.begin(CallKey("b", 1, number), RETENTION_S + 0.2)
        calls.finish(CallKey("b", 1, number), b"x" * MAX_RESPONSE_BYTES)
    assert len(calls) * MAX_RESPONSE_BYTES <= MAX_RETAINED_BYTES


@test("calls to a receiver that is suspended for longer than all time-outs fail, and run at most once")
def _() -> None:
    async def steps(world: World) -> None:
        async with linked_peer(world) as (receiver, peer, _):
            receiver.delay_s = 0.2
            before = asyncio.create_task(peer.call("take", "before", 0.5))
            await asyncio.sleep(0.1)  # the request has arrived and is being served
            receiver.process.suspend()
            during = asyncio.create_task(peer.call("take", "during", 0.5))
            for task in (before, during):
                with raises(CallFailedError) as error:
                    await task
                assert error.raised.may_have_arrived
            await asyncio.sleep(60.0)
            assert not peer.up
            with raises(CallFailedError) as not_sent:
                await peer.call("take", "cut off", 0.5)
            assert not not_sent.raised.may_have_arrived
            receiver.process.resume(world.loop)
            await wait_until_up(peer)
            answers = [await peer.call("take", n, 2.0) for n in range(3)]
            assert answers == [0, 1, 2]
            await asyncio.sleep(10.0)
            assert receiver.executed.count("before") == 1 and receiver.executed.count("during") <= 1
            assert "cut off" not in receiver.executed

    run_in_world(steps)


@test("after a short suspension, the late response is dropped, the link is up and a later call succeeds")
def _() -> None:
    async def steps(world: World) -> None:
        async with linked_peer(world) as (receiver, peer, counters):
            receiver.process.suspend()
            with raises(CallFailedError) as error:
                await peer.call("take", "late", 0.3)
            assert error.raised.may_have_arrived
            later = asyncio.create_task(peer.call("take", "later", 2.0))
            await asyncio.sleep(0.1)
            receiver.process.resume(world.loop)
            assert await later == "later" and receiver.executed == ["late", "later"]
            assert counters.count_unexpected(UnexpectedMessage.LATE_RESPONSE) == 1 and peer.up

    run_in_world(steps)


@test("a peer whose address another node now uses stays down until its own node's next incarnation")
def _() -> None:
    async def steps(world: World) -> None:
        async with linked_peer(world) as (first, peer, counters):
            first.process.kill()
            other = Receiver(world, "other", 99)
            await asyncio.sleep(5.0)
            assert peer.state is PeerState.UNREACHABLE and not other.executed
            assert counters.count_unexpected(UnexpectedMessage.FOREIGN_PEER) > 5
            other.process.kill()
            Receiver(world, "receiver", RECEIVER_INCARNATION + 1)
            await wait_until_up(peer)

    run_in_world(steps)


@test("an earlier incarnation is accepted only after several dials: a clock may have been set back")
def _() -> None:
    async def steps(world: World) -> None:
        async with linked_peer(world) as (first, peer, counters):
            first.process.kill()
            Receiver(world, "receiver", RECEIVER_INCARNATION - 1)
            await asyncio.sleep(1.0)
            assert not peer.up
            await wait_until_up(peer, 5.0)
            assert counters.count_unexpected(UnexpectedMessage.FOREIGN_PEER) == EARLIER_INCARNATION_DIALS

    run_in_world(steps)


@test("a seed may be any node; any other peer must be the expected node, in no earlier incarnation")
def _() -> None:
    assert Incarnation("a", 3).satisfies(ANY_NODE)
    assert not Incarnation("a", 3).satisfies(Incarnation("a", 4))
    assert not Incarnation("b", 9).satisfies(Incarnation("a", 4))

    async def steps(world: World) -> None:
        async with linked_peer(world, "seed receiver") as (_, peer, _):
            assert peer.up

    run_in_world(steps)


@test("a new endpoint issues request numbers from 1 upwards")
def _() -> None:
    endpoint = LocalEndpoint(Incarnation("a", 1))
    assert [endpoint.next_request_number() for _ in range(3)] == [1, 2, 3]
