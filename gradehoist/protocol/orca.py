"""Load reports in responses: the `endpoint-load-metrics` header of Open Request Cost Aggregation (ORCA).

The TEXT and JSON formats of the proposal are supported. Unknown metrics are ignored; an invalid value of a
known metric makes the whole report invalid.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

HEADER_NAME = "endpoint-load-metrics"
_MAX_VALUE = 1e9
_MAX_QUOTED_CHARACTERS = 30  # length of input quoted in an error
_NAMED_METRICS = "named_metrics"


class OrcaReport(msgspec.Struct, frozen=True):
    """A load report of a replica; a value that the report lacks is None.

    `busy_share` is the share of its CPU cores in use, `in_flight` the number of requests in flight and
    `service_ms` the time that a request takes at the replica, in milliseconds.
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
    """Returns the header value in the TEXT format."""
    values = msgspec.structs.asdict(report)
    rows = [(metric, values[field]) for metric, field in FIELD_BY_METRIC.items()]
    return "TEXT " + ", ".join(f"{metric}={value:.6g}" for metric, value in rows if value is not None)


def parse_report(text: str, field_by_metric: Mapping[str, str] = FIELD_BY_METRIC) -> OrcaReport | None:
    """Parses a header value; returns None if it contains no known metric.

    Args:
        text: The header value.
        field_by_metric: The fields of `OrcaReport` by the names of the metrics on the wire.

    Raises:
        ValueError: The text is not a load report, or a known metric has an invalid value.
    """
    metrics = _parse_metrics(text)
    values: dict[str, float] = {}
    for metric, field in field_by_metric.items():
        if metric in metrics:
            values[field] = _parse_value(metric, metrics[metric])
    return OrcaReport(**values) if values else None


def _parse_metrics(text: str) -> dict[str, str]:
    """Returns the values by metric name, as text."""
    report_format, _, rest = text.strip().partition(" ")
    if report_format == "TEXT":
        pairs = [part.partition("=") for part in rest.split(",") if part.strip()]
        return {name.strip(): value for name, _, value in pairs}
    if report_format == "JSON":
        return _parse_json_metrics(rest)
    raise ValueError(f"load report in unknown format {report_format[:20]!r}")


def _parse_json_metrics(text: str) -> dict[str, str]:
    try:
        document: dict[str, msgspec.Raw] = msgspec.json.decode(text.encode(), type=dict[str, msgspec.Raw])
        named_metrics = document.get(_NAMED_METRICS, b"{}")
        named: dict[str, float] = msgspec.json.decode(named_metrics, type=dict[str, float])
    except msgspec.DecodeError as error:
        raise ValueError(f"load report is not a JSON object: {error}") from None
    metrics = {name: bytes(value).decode() for name, value in document.items()}
    metrics |= {f"{_NAMED_METRICS}.{name}": repr(value) for name, value in named.items()}
    return metrics


def _parse_value(metric: str, text: str) -> float:
    value = float(text)
    if not (math.isfinite(value) and 0 <= value <= _MAX_VALUE):
        raise ValueError(f"{metric} is out of range: {text[:_MAX_QUOTED_CHARACTERS]!r}")
    return value
