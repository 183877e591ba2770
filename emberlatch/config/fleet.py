"""The `[fleet]` table: the forwarders that act as one sender."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, Field, model_validator

from emberlatch.config.section import Name, Section, address
from emberlatch.engine import Address
from emberlatch.net.http import parse_address

Place = Annotated[str, AfterValidator(address)]


class Fleet(Section):
    """Who we are among the configured members, and where each is reached."""

    name: Name
    me: Name
    members: Annotated[dict[Name, Place], Field(min_length=1, max_length=1000)]
    listen: Annotated[str, AfterValidator(address)] | None = None

    @model_validator(mode="after")
    def _coherent(self) -> Fleet:
        if self.me not in self.members:
            raise ValueError(f"me: {self.me!r} is not among the members")
        return self

    @property
    def places(self) -> dict[str, Address]:
        """Where each member is reached."""
        return {name: parse_address(text) for name, text in self.members.items()}

    @property
    def listen_address(self) -> Address:
        """Where we listen: that address alone."""
        return parse_address(self.listen or self.members[self.me])
