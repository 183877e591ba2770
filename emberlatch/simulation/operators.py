"""A simulated operator, written from the user documentation: it sends configurations and reads them back."""

from __future__ import annotations

import asyncio
import json

from emberlatch.net.http_connection import NoResponseError
from emberlatch.simulation.environment import Environment
from emberlatch.simulation.http_client import send_request

REPLACE_PATH = "/api/configuration/replace"
RETRIEVE_PATH = "/api/configuration/retrieve"
CONTROL_HEADERS = {"Host": "c"}
TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
READ_RETRY_DELAY_S = 0.2
READ_ATTEMPTS = 8  # attempts at each control address
RAW_ATTEMPTS = 3  # attempts at each control address


class SimulatedOperator:
    """Sends configurations, each until it is acknowledged, and reads back the active one."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment

    async def send(self, revision: int, attempts: int = 20) -> bool:
        """Send one revision, at most `attempts` times to each control address; True once acknowledged."""
        body = json.dumps(self._environment.configuration(revision)).encode()
        for control in self._environment.control_addresses() * attempts:
            status = await self._replace(control, body)
            if status == 200:
                self._environment.history.acknowledged.append(revision)
                return True
            if status == 400:
                return False
            await asyncio.sleep(RETRY_DELAY_S)
        return False

    async def send_raw(self, body: bytes, controls: list[tuple[str, int]] | None = None) -> int:
        """Send any bytes as a configuration; return the status of the first answer, 0 if there was none."""
        for control in (controls or self._environment.control_addresses()) * RAW_ATTEMPTS:
            status = await self._replace(control, body)
            if status is not None:
                return status
        return 0

    async def _replace(self, control: tuple[str, int], body: bytes) -> int | None:
        """Send a configuration to one address; return the status of the answer, None if there was none."""
        try:
            answer = await send_request(control, "POST", REPLACE_PATH, body, CONTROL_HEADERS, TIMEOUT_S)
        except (OSError, NoResponseError, TimeoutError):
            return None
        return answer.status

    async def read_back(self) -> int:
        """Read the active revision; -1 if no control address returns one in `READ_ATTEMPTS` attempts."""
        for control in self._environment.control_addresses() * READ_ATTEMPTS:
            try:
                answer = await send_request(control, "GET", RETRIEVE_PATH, b"", CONTROL_HEADERS, TIMEOUT_S)
                if answer.status == 200:
                    return int(json.loads(bytes(answer.body))["revision"])
            except (OSError, NoResponseError, TimeoutError):
                pass
            await asyncio.sleep(READ_RETRY_DELAY_S)
        return -1
