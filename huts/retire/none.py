"""Where no retirement can be taken on."""

from __future__ import annotations

from huts.trailhead.answer import Answer


class NoRetirement:
    """Knows no machine."""

    async def initiate(self, node: str, body: bytes) -> Answer:
        """404: no machine is known to be retired."""
        return Answer.cause(404, f"unknown machine {node}")

    async def retrieve(self, node: str) -> Answer:
        """The same."""
        return Answer.cause(404, f"unknown machine {node}")
