"""Reads sections of the settings directly into the records of other packages."""

from __future__ import annotations

from gradehoist.cells.rate_limits import RateLimits
from gradehoist.interface import ChannelLimits, LoadReporting, SafetyLimits
from gradehoist.settings.reader import (
    Node,
    duration_parser,
    integer_parser,
    number_parser,
    parse_boolean,
    parse_duration_us,
)
from gradehoist.zones.evacuation import EvacuationTiming

_US_PER_S = 1_000_000


def parse_safety_limits(node: Node) -> SafetyLimits:
    """Reads the node `rules`."""
    return SafetyLimits(
        drain_grace_us=node.get("grace", duration_parser("1ms")),
        warmup_us=node.get("cold-time", parse_duration_us),
        warmup_start_capacity=node.get("cold-share", number_parser(0, 1)),
        overload_multiple=node.get("fall-multiple", number_parser(1, 1000)),
        overload_window_us=node.get("fall-span", duration_parser("1ms")),
        unroutable_limit_us=node.get("bare-limit", parse_duration_us),
        gone_is_advisory=node.get("gone-is-advice", parse_boolean, False),
    )


def parse_channel_limits(node: Node) -> ChannelLimits:
    """Reads the node `channel`."""
    return ChannelLimits(
        queue_limit_lines=node.get("queue-limit", number_parser(1, 1e9)),
        lines_per_s=node.get("line-rate", number_parser(1, 1e9)),
        message_overhead_lines=node.get("message-head", number_parser(0, 1e6), 4.0),
        messages_per_window=node.get("message-limit", integer_parser(0, 10**6), 0),
        message_window_us=node.get("message-window", duration_parser("10ms"), 10 * _US_PER_S),
        worst_transit_us=node.get("worst-transit", parse_duration_us, _US_PER_S // 2),
    )


def parse_load_reporting(node: Node, health_checks_allowed: bool) -> LoadReporting:
    """Reads the node `reports`, except for `intake`, the rate at which the governor takes reports."""
    return LoadReporting(
        period_us=node.get("period", duration_parser("10ms")),
        has_busy_share=node.get("busy", parse_boolean, True),
        has_in_flight=node.get("in-flight", parse_boolean, True),
        health_checks_allowed=health_checks_allowed,
        must_subscribe=node.get("must-ask", parse_boolean, False),
    )


def parse_evacuation_timing(node: Node) -> EvacuationTiming:
    """Reads the node `zones` of the node `coordination`."""
    return EvacuationTiming(
        settle_us=node.get("settle", duration_parser("1s"), 5 * _US_PER_S),
        min_healthy_us=node.get("well", duration_parser("1s"), 20 * _US_PER_S),
        max_healthy_us=node.get("longest", duration_parser("1s"), 600 * _US_PER_S),
    )


def parse_rate_limits(node: Node) -> RateLimits:
    """Reads the node `limits` of the node `cells`."""
    return RateLimits(
        cell_rate_per_s=node.get("cell", number_parser(0.001, 1e9)),
        tenant_rate_per_s=node.get("tenant", number_parser(0.001, 1e9)),
        burst_s=node.get("burst", number_parser(0.1, 3600), 2.0),
        tenant_in_flight_limit=node.get("held", integer_parser(0, 10**6), 0),
        cell_in_flight_limit=node.get("cell-held", integer_parser(0, 10**6), 0),
    )
