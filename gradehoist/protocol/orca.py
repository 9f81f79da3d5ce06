"""Load reports in answers: the `endpoint-load-metrics` header of the Open Request Cost Aggregation (ORCA)
proposal, text and JSON forms. Unknown metrics are let pass; a bad figure spoils the whole report."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

HEADER_NAME = "endpoint-load-metrics"


class OrcaReport(msgspec.Struct, frozen=True):
    """`busy`: share of the cores, 0 and up; `in_flight`: transactions held; `service_ms`: milliseconds."""

    busy_share: float | None = None
    in_flight: float | None = None
    service_ms: float | None = None


_NAMES = {
    "cpu_utilization": "busy_share",
    "named_metrics.in_flight": "in_flight",
    "named_metrics.service_ms": "service_ms",
}


def format_report(report: OrcaReport) -> str:
    rows = [(metric, getattr(report, field)) for metric, field in _NAMES.items()]
    return "TEXT " + ", ".join(f"{metric}={value:.6g}" for metric, value in rows if value is not None)


def parse_report(text: str, field_by_metric: Mapping[str, str] = _NAMES) -> OrcaReport | None:
    """None where the header holds no figure of ours; `names` gives ours for those on the wire. Raises
    ValueError for what is no report."""
    form, _, rest = text.strip().partition(" ")
    if form == "TEXT":
        pairs = [part.partition("=") for part in rest.split(",") if part.strip()]
        figures = {name.strip(): value for name, _, value in pairs}
    elif form == "JSON":
        try:
            document: dict[str, msgspec.Raw] = msgspec.json.decode(rest.encode(), type=dict[str, msgspec.Raw])
            inner = document.get("named_metrics", b"{}")
            named: dict[str, float] = msgspec.json.decode(inner, type=dict[str, float])
        except msgspec.DecodeError as fault:
            raise ValueError(f"a load report that is no JSON object: {fault}") from None
        figures = {name: bytes(value).decode() for name, value in document.items()}
        figures |= {f"named_metrics.{name}": repr(value) for name, value in named.items()}
    else:
        raise ValueError(f"a load report in the unknown form {form[:20]!r}")
    found: dict[str, float] = {}
    for metric, field in field_by_metric.items():
        if metric in figures:
            value = float(figures[metric])
            if not (math.isfinite(value) and 0 <= value <= 1e9):
                raise ValueError(f"{metric} out of range: {figures[metric][:30]!r}")
            found[field] = value
    return OrcaReport(**found) if found else None
