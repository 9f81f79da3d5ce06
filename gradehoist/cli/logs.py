"""Structured logs on standard error: one JSON line per event, or aligned text for a reader."""

from __future__ import annotations

import atexit
import logging
import sys

import structlog

from gradehoist.store.log_writer import LogWriter


def configure_logging(log_format: str) -> None:
    """Configures the logs of this process.

    Args:
        log_format: `json`, `plain`, or `auto`, which is plain on a terminal and JSON elsewhere.
    """
    is_plain = log_format == "plain" or (log_format == "auto" and sys.stderr.isatty())
    renderer = structlog.dev.ConsoleRenderer() if is_plain else structlog.processors.JSONRenderer()
    writer = LogWriter(sys.stderr.fileno())
    atexit.register(writer.close)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(writer),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
