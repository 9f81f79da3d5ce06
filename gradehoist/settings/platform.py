"""Reads the platform's settings object, which the simulator and the platform's configuration share."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from gradehoist.identifiers import Identifiers
from gradehoist.interface import (
    ChannelLimits,
    Idempotency,
    LoadReport,
    LoadReporting,
    PolicyConfig,
    RequestClass,
    SafetyLimits,
)

# The fields of load reports by their names in the settings and by those in the platform's documentation.
FIELD_BY_METRIC = {
    "utilization": "busy_share",
    "outstanding": "in_flight",
    "recent_ms": "service_ms",
    "util": "busy_share",
    "inflight": "in_flight",
    "latency_ms": "service_ms",
}
IDEMPOTENCY_BY_NAME = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}


def seconds_to_us(seconds: Any) -> int:
    """Converts to whole microseconds. Raises ValueError or TypeError if `seconds` is not a number."""
    return round(float(seconds) * 1_000_000)


def report_columns(settings: Mapping[str, Any]) -> list[str]:
    """Returns the names of the values in the load reports of responses, in their order."""
    listed = settings.get("report", {})
    return list(listed.get("fields", [])) if listed.get("how", "inline") != "off" else []


def parse_load_report(figures: Iterable[tuple[str, float | None]]) -> LoadReport:
    """Returns a load report of the named figures; unknown names are ignored."""
    return LoadReport(**{FIELD_BY_METRIC[name]: value for name, value in figures if name in FIELD_BY_METRIC})


def parse_identifiers(settings: Mapping[str, Any]) -> Identifiers:
    """Returns the identifiers of zones, kinds and classes. Raises KeyError if there are no classes."""
    return Identifiers(
        settings.get("azs", []), settings.get("kinds", []), [c["name"] for c in settings["classes"]]
    )


def parse_config(settings: Mapping[str, Any], identifiers: Identifiers, seed: int) -> PolicyConfig:
    """Returns the policy's configuration.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: The object does not have the documented form.
    """
    specifics = settings.get("specifics", {})
    # The classes are parsed first because this may intern zones, which are counted below.
    classes = _parse_classes(settings, identifiers)
    return PolicyConfig(
        seed=seed,
        zone_count=len(identifiers.zones),
        proxy_count=int(specifics.get("proxies", 1)),
        key_range_count=int(specifics.get("shards", 0)),
        admission_enabled=specifics.get("admission", "off") == "share",
        classes=classes,
        safety=_parse_safety_limits(settings.get("guarantees", {}), specifics),
        channel=_parse_channel_limits(specifics),
        load_reporting=_parse_load_reporting(settings),
    )


def _parse_classes(settings: Mapping[str, Any], identifiers: Identifiers) -> tuple[RequestClass, ...]:
    zone_local = settings.get("specifics", {}).get("stays-local", [])
    return tuple(
        _parse_class(
            row, identifiers, zone_local=bool(zone_local[index]) if index < len(zone_local) else False
        )
        for index, row in enumerate(settings["classes"])
    )


def _parse_class(row: Mapping[str, Any], identifiers: Identifiers, zone_local: bool) -> RequestClass:
    zones, kinds = row.get("only-zones"), row.get("only-kinds")
    return RequestClass(
        latency_objective_us=seconds_to_us(row["aim"]),
        deadline_us=seconds_to_us(row["deadline"]),
        priority_weight=float(row.get("worth", 1.0)),
        late_priority_factor=float(row.get("late-worth", 0.0)),
        idempotency=IDEMPOTENCY_BY_NAME.get(row.get("idempotency", ""), Idempotency.NOT_IDEMPOTENT),
        allowed_zones=tuple(identifiers.zones.intern(zone) for zone in zones) if zones else None,
        allowed_kinds=tuple(identifiers.kinds.intern(kind) for kind in kinds) if kinds else None,
        zone_local=zone_local,
    )


def _parse_safety_limits(guarantees: Mapping[str, Any], specifics: Mapping[str, Any]) -> SafetyLimits:
    return SafetyLimits(
        drain_grace_us=seconds_to_us(guarantees.get("drain-grace", 1.0)),
        warmup_us=seconds_to_us(guarantees.get("cold", 0.0)),
        warmup_start_capacity=float(guarantees.get("cold-share", 1.0)),
        overload_multiple=float(guarantees.get("fall-multiple", 1.0)),
        overload_window_us=seconds_to_us(guarantees.get("tip-after", 1.0)),
        unroutable_limit_us=seconds_to_us(specifics.get("blackhole", 5.0)),
        gone_is_advisory=bool(guarantees.get("gone-is-advice", False)),
    )


def _parse_channel_limits(specifics: Mapping[str, Any]) -> ChannelLimits:
    return ChannelLimits(
        queue_limit_lines=float(specifics.get("pending-max", 1000.0)),
        lines_per_s=float(specifics.get("push-rate", 1000.0)),
        message_overhead_lines=float(specifics.get("fixed-cost", 0.0)),
        messages_per_window=int(specifics.get("pushes-allowed", 0)),
        message_window_us=seconds_to_us(specifics.get("update-window", 10.0)),
        worst_transit_us=seconds_to_us(specifics.get("worst-transit", 0.5)),
    )


def _parse_load_reporting(settings: Mapping[str, Any]) -> LoadReporting:
    specifics, limits = settings.get("specifics", {}), settings.get("limits", {})
    columns = report_columns(settings)
    is_inline = settings.get("report", {}).get("how", "off") == "inline"
    return LoadReporting(
        period_us=seconds_to_us(specifics.get("period", 1.0)),
        has_busy_share=is_inline and "utilization" in columns,
        has_in_flight=is_inline and "outstanding" in columns,
        health_checks_allowed=bool(limits.get("probes", False)),
        must_subscribe=settings.get("discovery", "push") == "ask",
    )
