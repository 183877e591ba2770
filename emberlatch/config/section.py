"""The base class and the common field types of the configuration file's tables."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from emberlatch.net.http_connection import parse_address

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
"""A name that the operator chooses, such as the name of a wing."""


def _validate_host_port(text: str) -> str:
    try:
        parse_address(text)
    except ValueError:
        raise ValueError("must be host:port, like 127.0.0.1:8080") from None
    return text


HostPort = Annotated[str, AfterValidator(_validate_host_port)]
"""An address as `host:port`."""


class Section(BaseModel):
    """A table of the configuration file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)
