"""The control socket: a Unix socket in the state folder that only its owner may open.

A request is one line with a JSON object, such as `{"do": "status"}`. The answer is also one line with a JSON
object; see `answers`.
"""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import os
import socket
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from emberlatch.standalone.answers import ERROR, JsonObject

log = logging.getLogger(__name__)

SOCKET_NAME = "control.sock"
MAX_PATH_BYTES = 107
"""The longest path of a Unix socket: the size of `sun_path` without its final zero byte."""
MAX_REQUEST_BYTES = 4096
REQUEST_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 30.0
MAX_PENDING_CONNECTIONS = 8
OWNER_ONLY_UMASK = 0o177

CommandHandler = Callable[[], Awaitable[JsonObject]]


class ControlServer:
    """Listens on the socket, and calls the handler of the command in each request."""

    def __init__(self, folder: Path, handlers: Mapping[str, CommandHandler]) -> None:
        self._path, self._handlers = folder / SOCKET_NAME, handlers
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises OSError if the socket cannot be created."""
        if len(os.fsencode(self._path)) > MAX_PATH_BYTES:
            raise OSError(
                errno.ENAMETOOLONG,
                f"path is too long for a Unix socket, at most {MAX_PATH_BYTES} bytes are possible",
                str(self._path),
            )
        # A killed process may have left the file. No other process uses it: this one has the folder's lock.
        self._path.unlink(missing_ok=True)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        previous_umask = os.umask(OWNER_ONLY_UMASK)  # with a chmod after bind, others could connect before it
        try:
            listener.bind(str(self._path))
        finally:
            os.umask(previous_umask)
        listener.setblocking(False)
        self._server = await asyncio.start_unix_server(
            self._serve, sock=listener, limit=MAX_REQUEST_BYTES, backlog=MAX_PENDING_CONNECTIONS
        )

    def stop(self) -> None:
        """Stop listening, and remove the socket file."""
        if self._server is not None:
            self._server.close()
            self._path.unlink(missing_ok=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = await reader.readline()
            answer = await self._answer(request)
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        except (OSError, ValueError) as error:  # OSError includes TimeoutError; ValueError is a too long line
            log.info("control socket: request failed: %r", error)
        finally:
            writer.close()

    async def _answer(self, request: bytes) -> JsonObject:
        try:
            command = json.loads(request)["do"]
            handler = self._handlers[command]
        except (ValueError, TypeError, KeyError):
            return {ERROR: f'a line like {{"do": "status"}}; known are {", ".join(self._handlers)}'}
        try:
            return await handler()
        except Exception as error:  # a failed command must not affect the gateway
            log.exception("control socket: command %s failed", command)
            return {ERROR: repr(error)}


def send_command(folder: Path, command: str, timeout_s: float = ANSWER_TIMEOUT_S) -> JsonObject:
    """Send a command to the gateway that runs on a state folder; return its answer.

    Raises OSError if no gateway answers within the time-out, and ValueError if the answer is not JSON.
    """
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(timeout_s)
        connection.connect(str(folder / SOCKET_NAME))
        connection.sendall(json.dumps({"do": command}).encode() + b"\n")
        with connection.makefile("rb") as file:
            answer = json.loads(file.readline() or b"null")
    if not isinstance(answer, dict):
        raise ConnectionResetError("the gateway closed the control socket without an answer")
    return answer
