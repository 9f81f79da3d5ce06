"""Structured logs: one JSON line an event, or aligned text for a person."""

from __future__ import annotations

import atexit
import logging
import sys

import structlog

from gradehoist.store.log_writer import LogWriter


def set_up(form: str) -> None:
    """`form`: json, plain, or auto (plain on a terminal)."""
    person = form == "plain" or (form == "auto" and sys.stderr.isatty())
    last = structlog.dev.ConsoleRenderer() if person else structlog.processors.JSONRenderer()
    sink = LogWriter(sys.stderr.fileno())
    atexit.register(sink.close)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sink),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
