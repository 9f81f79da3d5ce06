"""Structured logs: one JSON line an event, or aligned text for a person."""

from __future__ import annotations

import logging
import sys

import structlog


def set_up(form: str) -> None:
    """`form`: json, plain, or auto (plain on a terminal)."""
    person = form == "plain" or (form == "auto" and sys.stderr.isatty())
    last = structlog.dev.ConsoleRenderer() if person else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
