"""Parses lines of the simulator's wire protocol 'saffron-54c5' into events."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import NamedTuple

from gradehoist.adapter.errors import WireError
from gradehoist.identifiers import Identifiers
from gradehoist.interface import (
    AttemptsReported,
    Endpoint,
    EndpointListKind,
    Event,
    HealthChecked,
    HealthCheckOutcome,
    KeyRangeAssigned,
    KeyRangeLine,
    KeyRangeOffered,
    LoadReport,
    PeerMessageReceived,
    Phase,
    PolicyConfig,
    ProxyJoined,
    ProxyLeft,
    RequestsOffered,
    TimerFired,
    UpdateAcknowledged,
)
from gradehoist.settings import platform
from gradehoist.settings.platform import seconds_to_us

Fields = dict[str, str]

EMPTY_PAYLOAD = "-"
ENDPOINT_LIST_KINDS = {
    "SAVED": EndpointListKind.CACHED,
    "FULL": EndpointListKind.SNAPSHOT,
    "INCREMENTAL": EndpointListKind.DELTA,
    "FAILED": EndpointListKind.FAILED,
}
PHASES = {"Ready": Phase.READY, "Terminating": Phase.DRAINING, "Gone": Phase.GONE}
HEALTH_CHECK_OUTCOMES = {
    "S": HealthCheckOutcome.HEALTHY,
    "E": HealthCheckOutcome.ERROR,
    "F": HealthCheckOutcome.REJECTED,
    "T": HealthCheckOutcome.TIMED_OUT,
    "C": HealthCheckOutcome.UNREACHABLE,
    "R": HealthCheckOutcome.CONNECTION_RESET,
}


class WireMessage(NamedTuple):
    """One line of the wire: the name of the message, and its fields as text."""

    name: str
    fields: Fields


class WireIdentifiers(Identifiers):
    """The identifiers of one instance, and the columns of its load reports."""

    def __init__(self, identifiers: Identifiers, report_columns: list[str]) -> None:
        """Create identifiers with the zones, kinds and classes of `identifiers`."""
        super().__init__(identifiers.zones, identifiers.kinds, identifiers.classes)
        self.report_columns = report_columns

    def parse_load(self, fields: Fields) -> LoadReport | None:
        """Return the load report in a message, or None if it has none.

        Raises:
            ValueError: A value is not a number.
        """
        text = fields.get("report", "")
        if not text:
            return None
        values = (float(value) if value else None for value in text.split(","))
        return platform.parse_load_report(zip(self.report_columns, values, strict=False))


def parse_line(line: str) -> WireMessage:
    """Split a line into the message's name and its fields.

    A text field extends to the end of its line; `options` is the only text field in received messages.

    Raises:
        WireError: A field has no value.
    """
    name, _, rest = line.strip(" ").partition(" ")
    fields: Fields = {}
    head, separator, options = rest.partition("options=")
    if separator and (head == "" or head.endswith(" ")):
        fields["options"] = options
        rest = head
    for field in rest.split():
        key, equals, value = field.partition("=")
        if not equals:
            raise WireError(f"no value in {field!r}")
        fields[key] = value
    return WireMessage(name, fields)


def check_endpoint(fields: Fields) -> None:
    """Check one endpoint as it is received, so that a malformed one does not invalidate its whole list.

    Raises:
        ValueError: A field is missing or malformed.
    """
    for key in ("replica", "hall", "phase"):
        if key not in fields:
            raise WireError(f"endpoint entry without {key}")
    if fields["phase"] not in PHASES:
        raise WireError("unknown phase")
    float(fields.get("size", "1"))
    float(fields.get("online-since", "0"))
    int(fields.get("unit-group", "0"))


def parse_endpoint(identifiers: WireIdentifiers, fields: Fields) -> Endpoint:
    """Parse an endpoint that `check_endpoint` has accepted."""
    return Endpoint(
        replica=identifiers.replicas.intern(fields["replica"]),
        zone=identifiers.zones.intern(fields["hall"]),
        kind=identifiers.kinds.intern(fields.get("shape", "")),
        cell=int(fields.get("unit-group", "0")),
        phase=PHASES[fields["phase"]],
        size=float(fields.get("size", "1")),
        started_us=seconds_to_us(fields.get("online-since", "0")),
    )


def parse_config(fields: Fields) -> tuple[WireIdentifiers, PolicyConfig]:
    """Return the identifiers and the policy's configuration in a BOOT message.

    Raises:
        ValueError, KeyError, TypeError: The settings are malformed.
    """
    settings = json.loads(fields["options"])
    identifiers = WireIdentifiers(platform.parse_identifiers(settings), platform.report_columns(settings))
    return identifiers, platform.parse_config(settings, identifiers, int(fields["rng-seed"]))


def _parse_timer(_: WireIdentifiers, fields: Fields) -> TimerFired:
    return TimerFired(int(fields["ref"]))


def _parse_health_check(identifiers: WireIdentifiers, fields: Fields) -> HealthChecked:
    return HealthChecked(
        replica=identifiers.replicas.intern(fields["replica"]),
        outcome=HEALTH_CHECK_OUTCOMES.get(fields["reason"], HealthCheckOutcome.OTHER),
        elapsed_us=seconds_to_us(fields.get("elapsed", "0")),
        load=identifiers.parse_load(fields),
    )


def _parse_peer_message(_: WireIdentifiers, fields: Fields) -> PeerMessageReceived:
    peer = int(fields["origin-peer"])
    payload = fields["octets"]
    if payload == EMPTY_PAYLOAD:
        return PeerMessageReceived(peer, b"")
    return PeerMessageReceived(peer, base64.b64decode(payload, validate=True))


def _parse_proxy_joined(identifiers: WireIdentifiers, fields: Fields) -> ProxyJoined:
    return ProxyJoined(
        proxy=int(fields["agent"]),
        zone=identifiers.zones.intern(fields["hall"]),
        request_rate=float(fields.get("size", "1")),
    )


def _parse_proxy_left(_: WireIdentifiers, fields: Fields) -> ProxyLeft:
    return ProxyLeft(int(fields["agent"]))


def _parse_attempts(identifiers: WireIdentifiers, fields: Fields) -> AttemptsReported:
    return AttemptsReported(
        zone=identifiers.zones.intern(fields["hall"]),
        replica=identifiers.replicas.intern(fields["replica"]),
        attempts=int(fields["number"]),
        failures=int(fields.get("bad", "0")),
        mean_latency_us=seconds_to_us(fields.get("elapsed", "0")),
        window_us=seconds_to_us(fields.get("window", "0")),
        load=identifiers.parse_load(fields),
    )


def _parse_requests(identifiers: WireIdentifiers, fields: Fields) -> RequestsOffered:
    return RequestsOffered(
        proxy=int(fields["agent"]),
        request_class=identifiers.classes[fields["cls"]],
        requests=int(fields["number"]),
        incomplete=int(fields.get("bad", "0")),
        window_us=seconds_to_us(fields.get("window", "0")),
    )


def _parse_key_range_requests(identifiers: WireIdentifiers, fields: Fields) -> KeyRangeOffered:
    return KeyRangeOffered(
        key_range=int(fields["map-id"]),
        request_class=identifiers.classes[fields["cls"]],
        requests=int(fields["number"]),
        incomplete=int(fields.get("bad", "0")),
        window_us=seconds_to_us(fields.get("window", "0")),
    )


def _parse_key_range_assignment(_: WireIdentifiers, fields: Fields) -> KeyRangeAssigned:
    return KeyRangeAssigned(key_range=int(fields["map-id"]), is_owner=fields.get("flag", "0") == "1")


def _parse_key_range_line(identifiers: WireIdentifiers, fields: Fields) -> KeyRangeLine:
    return KeyRangeLine(
        key_range=int(fields["map-id"]),
        replica=identifiers.replicas.intern(fields["replica"]),
        weight=float(fields.get("size", "1")),
    )


def _parse_acknowledgement(_: WireIdentifiers, fields: Fields) -> UpdateAcknowledged:
    return UpdateAcknowledged(
        proxy=int(fields["agent"]),
        revision=int(fields["rev"]),
        elapsed_us=seconds_to_us(fields.get("elapsed", "0")),
    )


_EVENT_PARSERS: dict[str, Callable[[WireIdentifiers, Fields], Event]] = {
    "REMINDER": _parse_timer,
    "CHECK_RESULT": _parse_health_check,
    "WHISPER": _parse_peer_message,
    "JOINED": _parse_proxy_joined,
    "UNSUBSCRIBED": _parse_proxy_left,
    "DIGEST": _parse_attempts,
    "OFFERED_LOAD": _parse_requests,
    "ACTIVITY": _parse_key_range_requests,
    "CUSTODY": _parse_key_range_assignment,
    "ON_RECORD": _parse_key_range_line,
    "TOOK_EFFECT": _parse_acknowledgement,
}


def is_event(name: str) -> bool:
    """Return whether a message of this name is an event for the policy."""
    return name in _EVENT_PARSERS


def parse_event(identifiers: WireIdentifiers, message: WireMessage) -> Event:
    """Parse an event.

    Raises:
        ValueError, KeyError, OverflowError: A field is missing or malformed.
    """
    return _EVENT_PARSERS[message.name](identifiers, message.fields)
