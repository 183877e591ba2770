"""Handles client requests: submits messages for delivery, and answers queries about their state and body.

The response 202 to a submitted message means that the message is durable on a quorum of disks. 429 and 503
guarantee that the message was not executed and never will be. The response is 504 if a store may have the
message.
"""

from __future__ import annotations

import json
import math
import re

from emberlatch.cluster.configuration import ActiveConfiguration
from emberlatch.cluster.ingress.message_queries import (
    COMPLETED,
    MessageQueries,
    NoSuchMessageError,
    StoresUnreachableError,
)
from emberlatch.cluster.ingress.stores import Stores
from emberlatch.cluster.ingress.submitter import MessageSubmitter, SubmitOutcome
from emberlatch.cluster.message_store import SubmittedMessage
from emberlatch.cluster.settings import Configuration
from emberlatch.net.server import Reply, Request

STATE_PATH, BODY_PATH = "/api/message/", "/api/message-body/"  # prefixes; the id of a message follows
RETRY_AFTER_S = 0.12  # seconds after which a client may retry
MESSAGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
MAX_DELAY_S = 7 * 86400.0
BAD_HEADERS = b'{"cause":"Emberlatch-Attempt-Id or Emberlatch-Delay-Ms"}'
OCTET_STREAM = {"Content-Type": "application/octet-stream"}


class Front:
    """Answers client requests. The configuration determines the service of a submitted message."""

    def __init__(self, active_configuration: ActiveConfiguration, stores: Stores) -> None:
        self._active_configuration = active_configuration
        self._submitter, self._queries = MessageSubmitter(stores), MessageQueries(stores)

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request."""
        target = request.path.decode("latin-1")
        path = target.partition("?")[0]
        if request.method == b"GET" and path.startswith(STATE_PATH):
            return await self._state(path.removeprefix(STATE_PATH), reply)
        if request.method == b"GET" and path.startswith(BODY_PATH):
            return await self._body(path.removeprefix(BODY_PATH), reply)
        config = self._active_configuration.current
        if config is None:
            return reply.send(503, RETRY_AFTER_S)
        await self._submit(request, target, config, reply)
        return None

    async def _submit(self, request: Request, target: str, config: Configuration, reply: Reply) -> None:
        headers = request.headers
        host = headers.get("host", "")
        route = config.route(host, target.partition("?")[0])
        if route is None:
            return reply.send(404)
        message_id = headers.get("emberlatch-attempt-id", "")
        delay_s = _delay_s(headers.get("emberlatch-delay-ms", "0"))
        if MESSAGE_ID.fullmatch(message_id) is None or delay_s is None or not host or "\n" in target:
            return reply.send(400, body=BAD_HEADERS)
        message = SubmittedMessage(
            id=message_id,
            host=host,
            method=request.method.decode("latin-1"),
            path=target,
            content_type=headers.get("content-type", ""),
            body=bytes(request.body),
            delay_s=delay_s,
            retention_s=float(route.retention_s),
            config_revision=config.revision,
        )
        match await self._submitter.submit(message, route.service):
            case SubmitOutcome.ACCEPTED:
                reply.send(202)
            case SubmitOutcome.REJECTED:
                reply.send(503, RETRY_AFTER_S)
            case SubmitOutcome.UNKNOWN:
                reply.send(504)
        return None

    async def _state(self, message_id: str, reply: Reply) -> None:
        if MESSAGE_ID.fullmatch(message_id) is None:
            return reply.send(400)
        try:
            status = await self._queries.status(message_id)
        except NoSuchMessageError:
            return reply.send(404)
        except StoresUnreachableError:
            return reply.send(503)
        answer = {"state": status.name}
        if status.name == COMPLETED:
            answer["seal"] = status.seal
        reply.send(200, body=json.dumps(answer, separators=(",", ":")).encode())
        return None

    async def _body(self, message_id: str, reply: Reply) -> None:
        if MESSAGE_ID.fullmatch(message_id) is None:
            return reply.send(400)
        try:
            body = await self._queries.body(message_id)
        except NoSuchMessageError:
            return reply.send(404)
        except StoresUnreachableError:
            return reply.send(503)
        reply.send(200, body=body, headers=OCTET_STREAM)
        return None


def _delay_s(milliseconds: str) -> float | None:
    """Convert the delay in a header to seconds; None if it is not a number, or not from 0 to MAX_DELAY_S."""
    try:
        delay_s = float(milliseconds) / 1000
    except ValueError:
        return None
    return delay_s if math.isfinite(delay_s) and 0 <= delay_s <= MAX_DELAY_S else None
