"""Configures logging: lines of text for people, or one JSON object per line for programs."""

from __future__ import annotations

import logging
import sys
from typing import Literal

import structlog

LogFormat = Literal["text", "json"]


def configure(level: str, log_format: LogFormat) -> None:
    """Log to standard error from now on, at this level and in this format."""
    shared: list[structlog.typing.Processor] = [
        structlog.stdlib.add_logger_name,
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(
            fmt="iso" if log_format == "json" else "%Y-%m-%d %H:%M:%S", utc=log_format == "json"
        ),
        structlog.processors.StackInfoRenderer(),
    ]
    if log_format == "json":
        shared.append(structlog.processors.format_exc_info)
        render: structlog.typing.Processor = structlog.processors.JSONRenderer()
    else:
        render = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, render],
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler])
