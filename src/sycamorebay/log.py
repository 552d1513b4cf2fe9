"""Structured logging: each line starts with the name of the part that logs it."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import structlog
from structlog.typing import EventDict

if TYPE_CHECKING:
    from sycamorebay.settings import LogSettings


def _add_prefix(_logger: Any, _method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "")
    event["event"] = f"{part}: {event['event']}" if part else event["event"]
    return event


def configure(settings: LogSettings) -> None:
    """Write the log lines of this process to standard error, as the settings say."""
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def configure_writer(writer: Any) -> None:
    """Write the log lines of this process, from level info, as JSON to a writer.

    Parameters
    ----------
    writer : LogWriter or similar
        Logger that structlog calls with each rendered line.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> Any:
    """Return a logger that prefixes its lines with the name of a part."""
    return structlog.get_logger(part=name)
