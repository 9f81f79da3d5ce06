"""Load reports in responses: the `endpoint-load-metrics` header of Open Request Cost Aggregation (ORCA).

The text and the JSON form of the proposal are read. Unknown metrics are ignored; an invalid value of a known
one makes the whole report invalid.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

HEADER_NAME = "endpoint-load-metrics"
_MAX_VALUE = 1e9
_MAX_QUOTED_CHARACTERS = 30  # of the peer's text in an error
_NAMED_METRICS = "named_metrics"


class OrcaReport(msgspec.Struct, frozen=True):
    """One load report of a replica; a value that it does not carry is None.

    `busy_share` is the share of the cores, `in_flight` the requests in flight, `service_ms` the time that a
    request takes there, in milliseconds.
    """

    busy_share: float | None = None
    in_flight: float | None = None
    service_ms: float | None = None


FIELD_BY_METRIC = {
    "cpu_utilization": "busy_share",
    "named_metrics.in_flight": "in_flight",
    "named_metrics.service_ms": "service_ms",
}


def format_report(report: OrcaReport) -> str:
    """Returns the header's value in the text form."""
    values = msgspec.structs.asdict(report)
    rows = [(metric, values[field]) for metric, field in FIELD_BY_METRIC.items()]
    return "TEXT " + ", ".join(f"{metric}={value:.6g}" for metric, value in rows if value is not None)


def parse_report(text: str, field_by_metric: Mapping[str, str] = FIELD_BY_METRIC) -> OrcaReport | None:
    """Returns the report of a header's value, or None if it has no known metric.

    Args:
        text: The value of the header.
        field_by_metric: The fields of `OrcaReport` by the names of metrics on the wire.

    Raises:
        ValueError: The text is not a load report, or a known metric is out of range.
    """
    figures = _parse_figures(text)
    values: dict[str, float] = {}
    for metric, field in field_by_metric.items():
        if metric in figures:
            values[field] = _parse_value(metric, figures[metric])
    return OrcaReport(**values) if values else None


def _parse_figures(text: str) -> dict[str, str]:
    """Returns the values by their metrics, still as text."""
    form, _, rest = text.strip().partition(" ")
    if form == "TEXT":
        pairs = [part.partition("=") for part in rest.split(",") if part.strip()]
        return {name.strip(): value for name, _, value in pairs}
    if form == "JSON":
        return _parse_json_figures(rest)
    raise ValueError(f"a load report in the unknown form {form[:20]!r}")


def _parse_json_figures(text: str) -> dict[str, str]:
    try:
        document: dict[str, msgspec.Raw] = msgspec.json.decode(text.encode(), type=dict[str, msgspec.Raw])
        named_metrics = document.get(_NAMED_METRICS, b"{}")
        named: dict[str, float] = msgspec.json.decode(named_metrics, type=dict[str, float])
    except msgspec.DecodeError as error:
        raise ValueError(f"a load report that is no JSON object: {error}") from None
    figures = {name: bytes(value).decode() for name, value in document.items()}
    figures |= {f"{_NAMED_METRICS}.{name}": repr(value) for name, value in named.items()}
    return figures


def _parse_value(metric: str, text: str) -> float:
    value = float(text)
    if not (math.isfinite(value) and 0 <= value <= _MAX_VALUE):
        raise ValueError(f"{metric} out of range: {text[:_MAX_QUOTED_CHARACTERS]!r}")
    return value
