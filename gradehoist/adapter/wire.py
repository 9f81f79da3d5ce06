"""Wire 'saffron-54c5': lines to events, orders to lines, names to small indices."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable

from gradehoist import interface as i
from gradehoist.identifiers import Identifiers
from gradehoist.settings import platform
from gradehoist.settings.platform import seconds_to_us

Fields = dict[str, str]
ALL_TABLES = 65535

EVENTS = {
    "BOOT",
    "DESTROY",
    "VIEW",
    "REMINDER",
    "CHECK_RESULT",
    "WHISPER",
    "JOINED",
    "UNSUBSCRIBED",
    "DIGEST",
    "OFFERED_LOAD",
    "ACTIVITY",
    "CUSTODY",
    "ON_RECORD",
    "TOOK_EFFECT",
}
LIST_KINDS = {
    "SAVED": i.EndpointListKind.CACHED,
    "FULL": i.EndpointListKind.SNAPSHOT,
    "INCREMENTAL": i.EndpointListKind.DELTA,
    "FAILED": i.EndpointListKind.FAILED,
}
PHASES = {"Ready": i.Phase.READY, "Terminating": i.Phase.DRAINING, "Gone": i.Phase.GONE}
OUTCOMES = {
    "S": i.HealthCheckOutcome.HEALTHY,
    "E": i.HealthCheckOutcome.ERROR,
    "F": i.HealthCheckOutcome.REJECTED,
    "T": i.HealthCheckOutcome.TIMED_OUT,
    "C": i.HealthCheckOutcome.UNREACHABLE,
    "R": i.HealthCheckOutcome.CONNECTION_RESET,
}


class WireIdentifiers(Identifiers):
    """One instance's names, and the columns of its load reports."""

    def __init__(self, names: Identifiers, report: list[str]) -> None:
        super().__init__(names.zones, names.kinds, names.classes)
        self.report = report

    def load(self, fields: Fields) -> i.LoadReport | None:
        text = fields.get("report", "")
        if not text:
            return None
        figures = (float(x) if x else None for x in text.split(","))
        return platform.parse_load_report(zip(self.report, figures, strict=False))


def parse_line(line: str) -> tuple[str, Fields]:
    """A text field runs to the end of its line; `options` is the only one that comes in."""
    name, _, rest = line.strip(" ").partition(" ")
    fields: Fields = {}
    head, mark, tail = rest.partition("options=")
    if mark and (head == "" or head.endswith(" ")):
        fields["options"] = tail
        rest = head
    for part in rest.split():
        key, equals, value = part.partition("=")
        if not equals:
            raise ValueError(f"no value in {part!r}")
        fields[key] = value
    return name, fields


def check_endpoint(fields: Fields) -> None:
    """An entry that cannot be read is refused where it stands, so that its list stays usable."""
    for key in ("replica", "hall", "phase"):
        if key not in fields:
            raise ValueError(f"an entry without {key}")
    if fields["phase"] not in PHASES:
        raise ValueError("an unknown phase")
    float(fields.get("size", "1"))
    float(fields.get("online-since", "0"))
    int(fields.get("unit-group", "0"))


def parse_endpoint(names: WireIdentifiers, f: Fields) -> i.Endpoint:
    return i.Endpoint(
        names.replicas.intern(f["replica"]),
        names.zones.intern(f["hall"]),
        names.kinds.intern(f.get("shape", "")),
        int(f.get("unit-group", "0")),
        PHASES[f["phase"]],
        float(f.get("size", "1")),
        seconds_to_us(f.get("online-since", "0")),
    )


def parse_config(f: Fields) -> tuple[WireIdentifiers, i.PolicyConfig]:
    o = json.loads(f["options"])
    names = WireIdentifiers(platform.parse_identifiers(o), platform.report_columns(o))
    return names, platform.parse_config(o, names, int(f["rng-seed"]))


def parse_event(names: WireIdentifiers, name: str, f: Fields) -> i.Event:
    make: dict[str, Callable[[], i.Event]] = {
        "REMINDER": lambda: i.TimerFired(int(f["ref"])),
        "CHECK_RESULT": lambda: i.HealthChecked(
            names.replicas.intern(f["replica"]),
            OUTCOMES.get(f["reason"], i.HealthCheckOutcome.OTHER),
            seconds_to_us(f.get("elapsed", "0")),
            names.load(f),
        ),
        "WHISPER": lambda: i.PeerMessageReceived(
            int(f["origin-peer"]), b"" if f["octets"] == "-" else base64.b64decode(f["octets"], validate=True)
        ),
        "JOINED": lambda: i.ProxyJoined(
            int(f["agent"]), names.zones.intern(f["hall"]), float(f.get("size", "1"))
        ),
        "UNSUBSCRIBED": lambda: i.ProxyLeft(int(f["agent"])),
        "DIGEST": lambda: i.AttemptsReported(
            names.zones.intern(f["hall"]),
            names.replicas.intern(f["replica"]),
            int(f["number"]),
            int(f.get("bad", "0")),
            seconds_to_us(f.get("elapsed", "0")),
            seconds_to_us(f.get("window", "0")),
            names.load(f),
        ),
        "OFFERED_LOAD": lambda: i.RequestsOffered(
            int(f["agent"]),
            names.classes[f["cls"]],
            int(f["number"]),
            int(f.get("bad", "0")),
            seconds_to_us(f.get("window", "0")),
        ),
        "ACTIVITY": lambda: i.KeyRangeOffered(
            int(f["map-id"]),
            names.classes[f["cls"]],
            int(f["number"]),
            int(f.get("bad", "0")),
            seconds_to_us(f.get("window", "0")),
        ),
        "CUSTODY": lambda: i.KeyRangeAssigned(int(f["map-id"]), f.get("flag", "0") == "1"),
        "ON_RECORD": lambda: i.KeyRangeLine(
            int(f["map-id"]), names.replicas.intern(f["replica"]), float(f.get("size", "1"))
        ),
        "TOOK_EFFECT": lambda: i.UpdateAcknowledged(
            int(f["agent"]), int(f["rev"]), seconds_to_us(f.get("elapsed", "0"))
        ),
    }
    return make[name]()


def format_number(value: float) -> str:
    return format(value, ".6g")


def class_mask(classes: tuple[int, ...]) -> int:
    return sum(1 << k for k in classes)


def format_crash(text: str) -> str:
    return "CRASH reason-text=" + (" ".join(text.split()) or "failed")


def format_order(names: WireIdentifiers, o: i.Order) -> str:
    replicas = names.replicas.names
    match o:
        case i.SetWeight():
            return f"UPSERT replica={replicas[o.replica]} map-id={o.table} size={format_number(o.weight)}"
        case i.ClearTable():
            return f"DROP_LINES map-id={o.table}"
        case i.BindProxy():
            return f"ATTACH_TABLE agent={o.proxy} map-id={o.table} only={class_mask(o.classes)}"
        case i.WithdrawReplica():
            return f"WITHDRAW flag={int(o.withdrawn)} replica={replicas[o.replica]}"
        case i.SetAdmission():
            table = ALL_TABLES if o.table is None else o.table
            mask = class_mask(o.classes)
            share = format_number(o.admitted_share)
            return f"ADMIT quota={share} on-failure={o.retry_policy} only={mask} map-id={table}"
        case i.RequestAcknowledgement():
            return f"MARK rev={o.revision} flag={int(o.to_all)}"
        case i.CheckHealth():
            return f"ASK_LOAD replica={replicas[o.replica]}"
        case i.SetTimer():
            return f"WAKE_ME ref={o.token} from-now={o.delay_us // 1_000_000}.{o.delay_us % 1_000_000:06d}"
        case i.SubscribeEndpoints():
            return f"FOLLOW flag={int(o.subscribed)}"
        case i.RequestEndpoints():
            return "SNAPSHOT"
        case i.LogRemark():
            return "REMARK reason-text=" + " ".join(o.text.split())
