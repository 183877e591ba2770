"""The `[fleet]` table: the forwarders that act as one sender."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from emberlatch.config.section import HostPort, Name, Section
from emberlatch.engine import Address
from emberlatch.net.http_connection import parse_address


class Fleet(Section):
    """The fleet's members and their addresses; `me` is this process."""

    name: Name
    me: Name
    members: Annotated[dict[Name, HostPort], Field(min_length=1, max_length=1000)]
    listen: HostPort | None = None

    @model_validator(mode="after")
    def _coherent(self) -> Fleet:
        if self.me not in self.members:
            raise ValueError(f"me: {self.me!r} is not among the members")
        return self

    @property
    def member_addresses(self) -> dict[str, Address]:
        """The address of each member by its name."""
        return {name: parse_address(text) for name, text in self.members.items()}

    @property
    def listen_address(self) -> Address:
        """The address that this process listens on: `listen`, else its own address among the members."""
        return parse_address(self.listen or self.members[self.me])
