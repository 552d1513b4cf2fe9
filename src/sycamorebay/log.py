"""Logs: short sentences, each with the prefix of its part."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import structlog
from structlog.typing import EventDict

if TYPE_CHECKING:
    from sycamorebay.settings import LogSettings


def _prefix(_logger: Any, _method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "")
    event["event"] = f"{part}: {event['event']}" if part else event["event"]
    return event


def configure(settings: LogSettings) -> None:
    """Set the format and the level of every log line of this process."""
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def configure_writer(writer: Any) -> None:
    """Write each log line as JSON to a writer of lines, such as `LogWriter`."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> Any:
    """Return the logger of one part."""
    return structlog.get_logger(part=name)
