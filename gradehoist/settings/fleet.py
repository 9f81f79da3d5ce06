"""What a governor must know of its fleet and of itself: the `fleet` and `governor` nodes."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from gradehoist import interface as i
from gradehoist.cells.rate_limits import Limits
from gradehoist.cells.routes import home
from gradehoist.identifiers import Names
from gradehoist.settings import reader as r
from gradehoist.zones.evacuation import Rules

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Class:
    """A class of transactions as the settings name it; times in µs."""

    name: str
    goal: int
    cutoff: int
    gain: float
    late_gain: float
    repeat: i.Repeat
    only_zones: tuple[str, ...] | None
    only_kinds: tuple[str, ...] | None
    stays_local: bool


class Placed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A placement file, as `gradehoist cells place` writes it: cells, workers and tenants by cell. `ranges`:
    who has each even range of the hash, where that differs from `cells`, as a split leaves ranges as they
    were. The lease of workers, the time in which a write and its repeats are settled (µs) and the limits at
    each relay come from the settings."""

    cells: tuple[str, ...]
    workers: dict[str, str]
    named: dict[str, str] = {}
    ranges: tuple[str, ...] = ()
    lease: int = 3_000_000
    settle: int = 10_000_000
    limits: Limits | None = None

    def home(self, tenant: str) -> str:
        """Where a tenant lives before any move."""
        return home(tenant, self.ranges or self.cells, self.named)

    def of(self, cell: str) -> frozenset[str]:
        return frozenset(w for w, c in self.workers.items() if c == cell)


@dataclass(frozen=True, slots=True)
class Coordination:
    """Where the processes of the fleet share a register: a folder of this machine, or an engine; times in µs.
    `zones`: they leave zones and take them back together.
    `session`: how long others wait for one that stands still; `lost`: missed so long, a member is lost;
    `contact`: between contacts; `hold`: how long what was agreed stands without the register; `fall`: how
    long leaving it takes."""

    folder: Path | None
    engine: Address | None
    prefix: str
    session: int
    lost: int
    contact: int
    hold: int
    fall: int
    zones: Rules | None = None


@dataclass(frozen=True, slots=True)
class Fleet:
    """`relays`: how many there are over all governors; `intake`: report lines a second to the module."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[Class, ...]
    relays: int
    admission: bool
    rules: i.Rules
    channel: i.Channel
    reports: i.Reports
    intake: float
    roster: Address
    hold: int
    silence: int
    probe_deadline: int
    probes_at_once: int
    cells: Placed | None = None
    coordination: Coordination | None = None


@dataclass(frozen=True, slots=True)
class Governor:
    name: str
    zone: str
    listen: Address
    state: Path
    seed: int


@dataclass(frozen=True, slots=True)
class Settings:
    fleet: Fleet
    governors: tuple[Governor, ...]

    def governor(self, name: str) -> Governor:
        """Raises KeyError for one that the settings do not name."""
        for governor in self.governors:
            if governor.name == name:
                return governor
        known = ", ".join(g.name for g in self.governors)
        raise KeyError(f"no governor {name!r}; the settings name {known}")


def read(path: str | Path) -> Settings:
    """Raises SettingsError with every error found."""
    reader, root = r.load(path)
    settings = parse(root, Path(path).parent)
    root.done()
    reader.finish()
    return settings


def parse(root: r.Node, folder: Path, listens: bool = True) -> Settings:
    """The nodes that are this module's own; the caller reports what is left over. Without `listens` the
    addresses may be left out: a scene's are given out when it is played."""
    node = root.need("fleet")
    zones, kinds = node.need("zones"), node.child("kinds")
    zone_names = zones.words("zone names")
    kind_names = kinds.words("kind names") if kinds else ()
    classes = tuple(_class(n, zone_names, kind_names) for n in node.all("class"))
    if not classes:
        node.fault("no class", 'add a node such as class "read" goal="1s" cutoff="2s"', "class")
    names = [c.name for c in classes]
    for n in node.all("class"):
        if n.args and names.count(n.args[0]) > 1:
            n.fault("a class named twice", "name each class once")
    rules, channel, reports = node.need("rules"), node.need("channel"), node.need("reports")
    probes, feed = node.child("probes"), node.child("feed")
    fleet = Fleet(
        zone_names,
        kind_names,
        classes,
        node.get("relays", r.whole(1, 1_000_000)),
        node.get("admission", r.one_of(("share", "off")), "share") == "share",
        i.Rules(
            rules.get("grace", r.span("1ms")),
            rules.get("cold-time", r.time),
            rules.get("cold-share", r.number(0, 1)),
            rules.get("fall-multiple", r.number(1, 1000)),
            rules.get("fall-span", r.span("1ms")),
            rules.get("bare-limit", r.time),
            rules.get("gone-is-advice", r.flag, False),
        ),
        i.Channel(
            channel.get("queue-limit", r.number(1, 1e9)),
            channel.get("line-rate", r.number(1, 1e9)),
            channel.get("message-head", r.number(0, 1e6), 4.0),
            channel.get("message-limit", r.whole(0, 10**6), 0),
            channel.get("message-window", r.span("10ms"), 10_000_000),
        ),
        i.Reports(
            reports.get("period", r.span("10ms")),
            reports.get("busy", r.flag, True),
            reports.get("in-flight", r.flag, True),
            probes is not None,
            reports.get("must-ask", r.flag, False),
        ),
        reports.get("intake", r.number(1, 1e9), 1000.0),
        node.get("roster", r.address) if listens or "roster" in node.props else ("127.0.0.1", 0),
        feed.get("hold", r.span("10ms"), 2_000_000) if feed else 2_000_000,
        feed.get("silence", r.time, 3_000_000) if feed else 3_000_000,
        probes.get("deadline", r.span("1ms"), 500_000) if probes else 500_000,
        probes.get("at-once", r.whole(1, 10_000), 8) if probes else 8,
        _placed(node, folder),
        _coordination(node, folder),
    )
    if feed and fleet.hold >= 60_000_000:
        feed.fault("expected a time under a minute", "correct it", "hold")
    # With all relays on one governor a withdrawal is a message of head, line and mark to each of them and
    # must fit beside what waits already: with a queue of half that, no drain was ever sent.
    least = 2 * (fleet.relays or 0) * ((fleet.channel.message_head or 0) + 2)
    if fleet.channel.queue_limit and fleet.channel.queue_limit < least:
        channel.fault(
            f"{fleet.relays} relays need {least:g} lines for a drain beside other messages",
            f"set queue-limit={least:g} or more, or have fewer relays",
            "queue-limit",
        )
    for part in (rules, channel, reports, probes, feed):
        if part:
            part.done()
    zones.done(args=len(zones.args))
    if kinds:
        kinds.done(args=len(kinds.args))
    node.done()
    governors = tuple(_governor(n, zone_names, folder, listens) for n in root.all("governor"))
    if not governors:
        root.fault("no governor", 'add a node such as governor "a" listen="127.0.0.1:7101"', "governor")
    for n in root.all("governor"):
        if [g.name for g in governors].count(n.args[0] if n.args else "") > 1:
            n.fault("a governor named twice", "name each governor once")
    return Settings(fleet, governors)


def _class(n: r.Node, zones: tuple[str, ...], kinds: tuple[str, ...]) -> Class:
    goal, cutoff = n.get("goal", r.span("1ms")), n.get("cutoff", r.span("1ms"))
    if goal and cutoff and goal > cutoff:
        n.fault("the latency goal lies beyond the cut-off", "set goal to cutoff at most", "goal")
    some_zones = n.get("only-zones", r.names(zones)) if "only-zones" in n.props else None
    some_kinds = n.get("only-kinds", r.names(kinds)) if "only-kinds" in n.props else None
    out = Class(
        n.word("a class name"),
        goal,
        cutoff,
        n.get("gain", r.number(0, 1e9), 1.0),
        n.get("late-gain", r.number(0, 1), 0.0),
        i.Repeat(n.get("repeat", r.one_of(x.value for x in i.Repeat), "single")),
        some_zones,
        some_kinds,
        n.get("stays-local", r.flag, False),
    )
    n.taken |= {"only-zones", "only-kinds"}
    n.done(args=1)
    return out


def _coordination(node: r.Node, folder: Path) -> Coordination | None:
    found = node.child("coordination")
    if found is None:
        return None
    if ("folder" in found.props) == ("engine" in found.props):
        found.fault(
            "expected where the register is",
            'give folder="var/register" for one machine, or '
            'engine="127.0.0.1:2379" for many; one of the two',
        )
    out = Coordination(
        folder / found.get("folder", r.text) if "folder" in found.props else None,
        found.get("engine", r.address) if "engine" in found.props else None,
        found.get("prefix", r.text, "gradehoist/"),
        found.get("session", r.span("1s"), 10_000_000),
        found.get("lost", r.span("100ms"), 5_000_000),
        found.get("contact", r.span("10ms"), 1_000_000),
        found.get("hold", r.time, 60_000_000),
        found.get("fall", r.span("1s"), 30_000_000),
    )
    found.taken |= {"folder", "engine"}
    if (zones := found.child("zones")) is not None:
        out = replace(
            out,
            zones=Rules(
                zones.get("settle", r.span("1s"), 5_000_000),
                zones.get("well", r.span("1s"), 20_000_000),
                zones.get("longest", r.span("1s"), 600_000_000),
            ),
        )
        zones.done()
    found.done()
    return out


def _placed(node: r.Node, folder: Path) -> Placed | None:
    cells = node.child("cells")
    if cells is None:
        return None
    path = folder / cells.get("placement", r.text)
    lease, settle = cells.get("lease", r.span("10ms"), 3_000_000), cells.get("settle", r.time, 10_000_000)
    door = cells.child("limits")
    limits = (
        Limits(
            door.get("cell", r.number(0.001, 1e9)),
            door.get("tenant", r.number(0.001, 1e9)),
            door.get("burst", r.number(0.1, 3600), 2.0),
            door.get("held", r.whole(0, 10**6), 0),
            door.get("cell-held", r.whole(0, 10**6), 0),
        )
        if door
        else None
    )
    if door:
        door.done()
    cells.done()
    try:
        placed: Placed = msgspec.json.decode(path.read_bytes(), type=Placed)
    except (OSError, msgspec.MsgspecError) as fault:
        reason = getattr(fault, "strerror", None) or str(fault)
        cells.fault(f"{path} is no placement: {reason}", "make one with gradehoist cells place", "placement")
        return None
    used = (*placed.workers.values(), *placed.named.values(), *placed.ranges)
    strange = {c for c in used if c not in placed.cells}
    empty = [c for c in placed.cells if c not in placed.workers.values()]
    if not placed.cells or strange or empty or len(set(placed.cells)) < len(placed.cells):
        what = (
            f"names cells it does not list: {', '.join(sorted(strange))}"
            if strange
            else (
                f"has cells without workers: {', '.join(empty)}" if empty else "lists no cell, or one twice"
            )
        )
        cells.fault(f"{path} {what}", "make it anew with gradehoist cells place", "placement")
        return None
    return msgspec.structs.replace(placed, lease=lease, settle=settle, limits=limits)


def _governor(n: r.Node, zones: tuple[str, ...], folder: Path, listens: bool) -> Governor:
    name = n.word("a name")
    listen = n.get("listen", r.address) if listens or "listen" in n.props else ("127.0.0.1", 0)
    open_to_all = n.get("beyond-loopback", r.flag, False)
    if listen and not open_to_all and not ipaddress.IPv4Address(listen[0]).is_loopback:
        n.fault("an address beyond loopback", "listen on 127.0.0.1, or say beyond-loopback=true", "listen")
    state = n.get("state", r.text, f"var/{name}")
    out = Governor(
        name, n.get("zone", r.one_of(zones)), listen, folder / state, n.get("seed", r.whole(0, 2**62), 1)
    )
    n.done(args=1)
    return out


def start(fleet: Fleet, names: Names, seed: int, channel: i.Channel) -> i.Start:
    """A module's first word: names become indices."""
    classes = tuple(
        i.TransactionClass(
            c.goal,
            c.cutoff,
            c.gain,
            c.late_gain,
            c.repeat,
            None if c.only_zones is None else tuple(names.zones.number(z) for z in c.only_zones),
            None if c.only_kinds is None else tuple(names.kinds.number(k) for k in c.only_kinds),
            c.stays_local,
        )
        for c in fleet.classes
    )
    return i.Start(
        seed, len(fleet.zones), fleet.relays, 0, fleet.admission, classes, fleet.rules, channel, fleet.reports
    )
