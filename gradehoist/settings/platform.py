"""The operators' settings object, as the bench's wire and the platform's configuration both carry it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from gradehoist import interface as i
from gradehoist.identifiers import Names

# What load reports call our figures: the settings' words, and those of the operators' pages.
LOAD = {
    "utilization": "busy",
    "outstanding": "in_flight",
    "recent_ms": "service_ms",
    "util": "busy",
    "inflight": "in_flight",
    "latency_ms": "service_ms",
}
REPEATS = {"free": i.Repeat.FREE, "guarded": i.Repeat.GUARDED, "single_shot": i.Repeat.SINGLE}


def micros(seconds: Any) -> int:
    return round(float(seconds) * 1_000_000)


def columns(o: Mapping[str, Any]) -> list[str]:
    """The figures that load reports in answers carry, in their order."""
    listed = o.get("report", {})
    return list(listed.get("fields", [])) if listed.get("how", "inline") != "off" else []


def load(figures: Iterable[tuple[str, float | None]]) -> i.Load:
    """One load report; what no figure of ours is named like is let pass."""
    return i.Load(**{LOAD[name]: value for name, value in figures if name in LOAD})


def names(o: Mapping[str, Any]) -> Names:
    return Names(o.get("azs", []), o.get("kinds", []), [c["name"] for c in o["classes"]])


def start(o: Mapping[str, Any], known: Names, seed: int) -> i.Start:
    """Raises ValueError, KeyError, TypeError or AttributeError where the object is not as stated."""
    s, g, limits = o.get("specifics", {}), o.get("guarantees", {}), o.get("limits", {})
    fields = columns(o)
    local = s.get("stays-local", [])
    classes = tuple(
        i.TransactionClass(
            micros(c["aim"]),
            micros(c["deadline"]),
            float(c.get("worth", 1.0)),
            float(c.get("late-worth", 0.0)),
            REPEATS.get(c.get("idempotency", ""), i.Repeat.SINGLE),
            tuple(known.zones.number(z) for z in c["only-zones"]) if c.get("only-zones") else None,
            tuple(known.kinds.number(k) for k in c["only-kinds"]) if c.get("only-kinds") else None,
            bool(local[n]) if n < len(local) else False,
        )
        for n, c in enumerate(o["classes"])
    )
    inline = o.get("report", {}).get("how", "off") == "inline"
    return i.Start(
        seed,
        len(known.zones),
        int(s.get("proxies", 1)),
        int(s.get("shards", 0)),
        s.get("admission", "off") == "share",
        classes,
        i.Rules(
            micros(g.get("drain-grace", 1.0)),
            micros(g.get("cold", 0.0)),
            float(g.get("cold-share", 1.0)),
            float(g.get("fall-multiple", 1.0)),
            micros(g.get("tip-after", 1.0)),
            micros(s.get("blackhole", 5.0)),
            bool(g.get("gone-is-advice", False)),
        ),
        i.Channel(
            float(s.get("pending-max", 1000.0)),
            float(s.get("push-rate", 1000.0)),
            float(s.get("fixed-cost", 0.0)),
            int(s.get("pushes-allowed", 0)),
            micros(s.get("update-window", 10.0)),
        ),
        i.Reports(
            micros(s.get("period", 1.0)),
            inline and "utilization" in fields,
            inline and "outstanding" in fields,
            bool(limits.get("probes", False)),
            o.get("discovery", "push") == "ask",
        ),
    )
