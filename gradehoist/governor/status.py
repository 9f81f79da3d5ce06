"""The answer to `GET /v1/status`. Its keys are part of the HTTP API."""

from __future__ import annotations

from typing import Any

from gradehoist.governor.channel import Channel
from gradehoist.governor.core import GovernorCore


def core_status(core: GovernorCore) -> dict[str, Any]:
    """Returns the status of the core."""
    endpoint_list = core.endpoint_list
    replicas = core.identifiers.replicas.names
    return {
        "epoch": core.epoch,
        "relays": len(core.streams),
        "replicas": len(endpoint_list.endpoints),
        "roster_old": endpoint_list.is_stale,
        "channel": _channel_status(core.publisher.channel),
        "intake_waiting": core.load_reports.waiting_count,
        "withdrawn": [replicas[replica] for replica in core.publisher.tables.withdrawn],
        "cells": core.cell_stats.status(endpoint_list.endpoints) if core.cell_stats else {},
    }


def _channel_status(channel: Channel) -> dict[str, Any]:
    return {
        "waiting": channel.waiting_lines,
        "most": channel.peak_lines,
        "limit": channel.queue_limit_lines,
        "sent": channel.sent_lines,
        "pace": round(channel.measured_lines_per_s),
    }
