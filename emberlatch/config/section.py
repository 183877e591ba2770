"""What the tables of the configuration file share."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from emberlatch.net.http import parse_address

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


def address(text: str) -> str:
    """Checks `host:port`; ValueError says what would be right."""
    try:
        parse_address(text)
    except ValueError:
        raise ValueError("must be host:port, like 127.0.0.1:8080") from None
    return text


class Section(BaseModel):
    """A table of the file: nothing in it is guessed or passed over."""

    model_config = ConfigDict(extra="forbid", frozen=True)
