"""The operators' settings object, as the bench's wire and the platform's configuration both carry it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from gradehoist import interface as i
from gradehoist.identifiers import Identifiers

# What load reports call our figures: the settings' words, and those of the operators' pages.
FIELD_BY_METRIC = {
    "utilization": "busy_share",
    "outstanding": "in_flight",
    "recent_ms": "service_ms",
    "util": "busy_share",
    "inflight": "in_flight",
    "latency_ms": "service_ms",
}
IDEMPOTENCY_BY_NAME = {
    "free": i.Idempotency.IDEMPOTENT,
    "guarded": i.Idempotency.IDEMPOTENCY_KEY,
    "single_shot": i.Idempotency.NOT_IDEMPOTENT,
}


def seconds_to_us(seconds: Any) -> int:
    return round(float(seconds) * 1_000_000)


def report_columns(o: Mapping[str, Any]) -> list[str]:
    """The figures that load reports in answers carry, in their order."""
    listed = o.get("report", {})
    return list(listed.get("fields", [])) if listed.get("how", "inline") != "off" else []


def parse_load_report(figures: Iterable[tuple[str, float | None]]) -> i.LoadReport:
    """One load report; what no figure of ours is named like is let pass."""
    return i.LoadReport(
        **{FIELD_BY_METRIC[name]: value for name, value in figures if name in FIELD_BY_METRIC}
    )


def parse_identifiers(o: Mapping[str, Any]) -> Identifiers:
    return Identifiers(o.get("azs", []), o.get("kinds", []), [c["name"] for c in o["classes"]])


def parse_config(o: Mapping[str, Any], known: Identifiers, seed: int) -> i.PolicyConfig:
    """Raises ValueError, KeyError, TypeError or AttributeError where the object is not as stated."""
    s, g, limits = o.get("specifics", {}), o.get("guarantees", {}), o.get("limits", {})
    fields = report_columns(o)
    local = s.get("stays-local", [])
    classes = tuple(
        i.RequestClass(
            seconds_to_us(c["aim"]),
            seconds_to_us(c["deadline"]),
            float(c.get("worth", 1.0)),
            float(c.get("late-worth", 0.0)),
            IDEMPOTENCY_BY_NAME.get(c.get("idempotency", ""), i.Idempotency.NOT_IDEMPOTENT),
            tuple(known.zones.intern(z) for z in c["only-zones"]) if c.get("only-zones") else None,
            tuple(known.kinds.intern(k) for k in c["only-kinds"]) if c.get("only-kinds") else None,
            bool(local[n]) if n < len(local) else False,
        )
        for n, c in enumerate(o["classes"])
    )
    inline = o.get("report", {}).get("how", "off") == "inline"
    return i.PolicyConfig(
        seed,
        len(known.zones),
        int(s.get("proxies", 1)),
        int(s.get("shards", 0)),
        s.get("admission", "off") == "share",
        classes,
        i.SafetyLimits(
            seconds_to_us(g.get("drain-grace", 1.0)),
            seconds_to_us(g.get("cold", 0.0)),
            float(g.get("cold-share", 1.0)),
            float(g.get("fall-multiple", 1.0)),
            seconds_to_us(g.get("tip-after", 1.0)),
            seconds_to_us(s.get("blackhole", 5.0)),
            bool(g.get("gone-is-advice", False)),
        ),
        i.ChannelLimits(
            float(s.get("pending-max", 1000.0)),
            float(s.get("push-rate", 1000.0)),
            float(s.get("fixed-cost", 0.0)),
            int(s.get("pushes-allowed", 0)),
            seconds_to_us(s.get("update-window", 10.0)),
        ),
        i.LoadReporting(
            seconds_to_us(s.get("period", 1.0)),
            inline and "utilization" in fields,
            inline and "outstanding" in fields,
            bool(limits.get("probes", False)),
            o.get("discovery", "push") == "ask",
        ),
    )
