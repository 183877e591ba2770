"""Queries to the stores of a running cluster, through the ports that stores open for other processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from emberlatch.cluster.membership import Heartbeat, Member, MembershipUpdate
from emberlatch.cluster.message_store import MessageState
from emberlatch.cluster.rpc import (
    ANY_NODE,
    CallFailedError,
    Incarnation,
    LocalEndpoint,
    MessageDecodeError,
    RpcConnection,
    RpcMethod,
    TrafficCounters,
)
from emberlatch.engine import Tasks

CALLER_NODE = "emberlatch-cluster"  # the node name that a command sends when it connects
QUERY_TIMEOUT_S = 1.5  # time limit for connecting to a store and receiving all its answers

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MessageReplica:
    """A store's record of one message.

    Times are in seconds relative to the query; times in the past are negative.

    Attributes:
        ended_s: time of the final state; None while the message is queued.
        seal: the target's proof that it executed the message; empty if there is none.
        payload: record as received, without the message's body.
    """

    state: MessageState
    owner: str
    epoch: int
    replicas: tuple[str, ...]
    revision: int
    failed_attempts: int
    sent_s: float
    due_s: float
    ended_s: float | None
    seal: str
    payload: Mapping[str, object]

    @classmethod
    def from_wire(cls, payload: object) -> Self:
        """Decode a record. Raises MessageDecodeError."""
        if not isinstance(payload, dict):
            raise MessageDecodeError("record", f"not a map: {payload!r:.100}")
        try:
            return cls(
                state=MessageState(payload["state"]),
                owner=str(payload["holder"]),
                epoch=int(payload["epoch"]),
                replicas=tuple(map(str, payload["keepers"])),
                revision=int(payload["version"]),
                failed_attempts=int(payload["attempts"]),
                sent_s=float(payload["sent"]),
                due_s=float(payload["due"]),
                ended_s=None if payload["ended"] is None else float(payload["ended"]),
                seal=str(payload["seal"]),
                payload={key: value for key, value in payload.items() if key != "body"},
            )
        except (KeyError, TypeError, ValueError) as error:
            raise MessageDecodeError("record", repr(error)) from None

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: COMPLETED ranks highest, then DEAD_LETTERED, then QUEUED and CANCELLED alike.

        At equal rank of the state, a later epoch ranks higher.
        """
        return max(0, self.state - MessageState.CANCELLED), self.epoch


@dataclass(frozen=True, slots=True)
class StoreReport:
    """The answer of one store.

    Attributes:
        error: reason for a missing or malformed answer; empty if there is none.
        heartbeat: decoded heartbeat; None if there is an error.
        payload: heartbeat as received.
        replica: the store's record of the requested message; None if the store has no such record.
    """

    member: Member
    error: str = ""
    heartbeat: Heartbeat | None = None
    payload: object = None
    replica: MessageReplica | None = None


@dataclass(frozen=True, slots=True)
class Query:
    """A request to a store."""

    method: RpcMethod
    payload: object = None


def _reject_request(connection: RpcConnection, method: str, payload: object) -> object:
    raise ValueError(f"{method} from {connection.name}: a command serves no requests ({payload!r:.40})")


async def query_process(address: Address, *queries: Query) -> list[object]:
    """Send queries to the process at this address, and return the responses in order.

    Raises:
        CallFailedError: a step failed, or all steps together took longer than QUERY_TIMEOUT_S. The `step`
            of the error is "connect" or the method that was not answered.
    """
    loop, peer = asyncio.get_running_loop(), f"{address[0]}:{address[1]}"
    endpoint = LocalEndpoint(Incarnation(CALLER_NODE, time.time_ns()))
    step, connection = "connect", None

    def create() -> RpcConnection:
        return RpcConnection(endpoint, _reject_request, Tasks(), TrafficCounters(), peer, ANY_NODE)

    try:
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            _, connection = await loop.create_connection(create, *address)
            await connection.established()
            responses = []
            for query in queries:
                step = str(query.method)
                responses.append(await connection.call(query.method, query.payload).response)
            return responses
    except (OSError, TimeoutError) as error:
        raise CallFailedError(
            step, peer, str(error) or f"no answer within {QUERY_TIMEOUT_S} s", step != "connect"
        ) from None
    finally:
        if connection is not None:
            connection.close()


async def _query_store(member: Member, message_id: str) -> StoreReport:
    queries = [Query(RpcMethod.HEARTBEAT)]
    if message_id:
        queries.append(Query(RpcMethod.RECORDS, [message_id]))
    try:
        payload, *records = await query_process((member.ip, member.port), *queries)
        heartbeat = Heartbeat.from_wire(payload)
        found = records[0] if records else None
        replica = MessageReplica.from_wire(found[0]) if isinstance(found, list) and found else None
    except (CallFailedError, MessageDecodeError) as error:
        return StoreReport(member, error=str(error))
    return StoreReport(member, heartbeat=heartbeat, payload=payload, replica=replica)


async def collect_reports(address: Address, message_id: str = "") -> list[StoreReport]:
    """Query all stores in the roster of the store at this address.

    With a message id, the reports include the stores' records of that message.

    Raises:
        CallFailedError: the store at this address does not answer.
        MessageDecodeError: its roster is malformed.
    """
    (roster,) = await query_process(address, Query(RpcMethod.ROSTER))
    members = MembershipUpdate.from_wire(roster).roster
    return list(await asyncio.gather(*(_query_store(member, message_id) for member in members)))
