"""Wire 'saffron-54c5': lines to events, orders to lines, names to small indices."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable

from gradehoist import interface as i
from gradehoist.identifiers import Names
from gradehoist.settings import platform
from gradehoist.settings.platform import micros

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
    "SAVED": i.ListKind.SAVED,
    "FULL": i.ListKind.COMPLETE,
    "INCREMENTAL": i.ListKind.CHANGES,
    "FAILED": i.ListKind.FAILED,
}
PHASES = {"Ready": i.Phase.READY, "Terminating": i.Phase.DRAINING, "Gone": i.Phase.GONE}
OUTCOMES = {
    "S": i.Outcome.ANSWERED,
    "E": i.Outcome.ERROR,
    "F": i.Outcome.TURNED_AWAY,
    "T": i.Outcome.TIMED_OUT,
    "C": i.Outcome.UNREACHABLE,
    "R": i.Outcome.BROKEN,
}


class WireNames(Names):
    """One instance's names, and the columns of its load reports."""

    def __init__(self, names: Names, report: list[str]) -> None:
        super().__init__(names.zones, names.kinds, names.classes)
        self.report = report

    def load(self, fields: Fields) -> i.Load | None:
        text = fields.get("report", "")
        if not text:
            return None
        figures = (float(x) if x else None for x in text.split(","))
        return platform.load(zip(self.report, figures, strict=False))


def split(line: str) -> tuple[str, Fields]:
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


def check_entry(fields: Fields) -> None:
    """An entry that cannot be read is refused where it stands, so that its list stays usable."""
    for key in ("replica", "hall", "phase"):
        if key not in fields:
            raise ValueError(f"an entry without {key}")
    if fields["phase"] not in PHASES:
        raise ValueError("an unknown phase")
    float(fields.get("size", "1"))
    float(fields.get("online-since", "0"))
    int(fields.get("unit-group", "0"))


def entry(names: WireNames, f: Fields) -> i.Entry:
    return i.Entry(
        names.replicas.number(f["replica"]),
        names.zones.number(f["hall"]),
        names.kinds.number(f.get("shape", "")),
        int(f.get("unit-group", "0")),
        PHASES[f["phase"]],
        float(f.get("size", "1")),
        micros(f.get("online-since", "0")),
    )


def start(f: Fields) -> tuple[WireNames, i.Start]:
    o = json.loads(f["options"])
    names = WireNames(platform.names(o), platform.columns(o))
    return names, platform.start(o, names, int(f["rng-seed"]))


def event(names: WireNames, name: str, f: Fields) -> i.Event:
    make: dict[str, Callable[[], i.Event]] = {
        "REMINDER": lambda: i.Due(int(f["ref"])),
        "CHECK_RESULT": lambda: i.Probed(
            names.replicas.number(f["replica"]),
            OUTCOMES.get(f["reason"], i.Outcome.OTHER),
            micros(f.get("elapsed", "0")),
            names.load(f),
        ),
        "WHISPER": lambda: i.PeerNote(
            int(f["origin-peer"]), b"" if f["octets"] == "-" else base64.b64decode(f["octets"], validate=True)
        ),
        "JOINED": lambda: i.Joined(int(f["agent"]), names.zones.number(f["hall"]), float(f.get("size", "1"))),
        "UNSUBSCRIBED": lambda: i.Left(int(f["agent"])),
        "DIGEST": lambda: i.Heard(
            names.zones.number(f["hall"]),
            names.replicas.number(f["replica"]),
            int(f["number"]),
            int(f.get("bad", "0")),
            micros(f.get("elapsed", "0")),
            micros(f.get("window", "0")),
            names.load(f),
        ),
        "OFFERED_LOAD": lambda: i.Offered(
            int(f["agent"]),
            names.classes[f["cls"]],
            int(f["number"]),
            int(f.get("bad", "0")),
            micros(f.get("window", "0")),
        ),
        "ACTIVITY": lambda: i.SliceOffered(
            int(f["map-id"]),
            names.classes[f["cls"]],
            int(f["number"]),
            int(f.get("bad", "0")),
            micros(f.get("window", "0")),
        ),
        "CUSTODY": lambda: i.SliceGiven(int(f["map-id"]), f.get("flag", "0") == "1"),
        "ON_RECORD": lambda: i.SliceLine(
            int(f["map-id"]), names.replicas.number(f["replica"]), float(f.get("size", "1"))
        ),
        "TOOK_EFFECT": lambda: i.Applied(int(f["agent"]), int(f["rev"]), micros(f.get("elapsed", "0"))),
    }
    return make[name]()


def number(value: float) -> str:
    return format(value, ".6g")


def only(classes: tuple[int, ...]) -> int:
    return sum(1 << k for k in classes)


def crash(text: str) -> str:
    return "CRASH reason-text=" + (" ".join(text.split()) or "failed")


def order(names: WireNames, o: i.Order) -> str:
    replicas = names.replicas.names
    match o:
        case i.SetLine():
            return f"UPSERT replica={replicas[o.replica]} map-id={o.table} size={number(o.weight)}"
        case i.ClearTable():
            return f"DROP_LINES map-id={o.table}"
        case i.Bind():
            return f"ATTACH_TABLE agent={o.proxy} map-id={o.table} only={only(o.classes)}"
        case i.Withdraw():
            return f"WITHDRAW flag={int(o.out)} replica={replicas[o.replica]}"
        case i.Admit():
            table = ALL_TABLES if o.table is None else o.table
            mask = only(o.classes)
            return f"ADMIT quota={number(o.share)} on-failure={o.tries} only={mask} map-id={table}"
        case i.Mark():
            return f"MARK rev={o.number} flag={int(o.to_all)}"
        case i.Probe():
            return f"ASK_LOAD replica={replicas[o.replica]}"
        case i.Wake():
            return f"WAKE_ME ref={o.token} from-now={o.delay // 1_000_000}.{o.delay % 1_000_000:06d}"
        case i.Follow():
            return f"FOLLOW flag={int(o.on)}"
        case i.AskList():
            return "SNAPSHOT"
        case i.Say():
            return "REMARK reason-text=" + " ".join(o.text.split())
