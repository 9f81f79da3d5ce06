"""What a governor must know of its fleet and of itself: the `fleet` and `governor` nodes."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from gradehoist import interface as i
from gradehoist.cells.rate_limits import RateLimits
from gradehoist.cells.routes import home_cell
from gradehoist.identifiers import Identifiers
from gradehoist.settings.reader import (
    Node,
    choice_parser,
    duration_parser,
    integer_parser,
    load_document,
    names_parser,
    number_parser,
    parse_address,
    parse_boolean,
    parse_duration_us,
    parse_text,
)
from gradehoist.zones.evacuation import EvacuationTiming

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """A class of transactions as the settings name it; times in µs."""

    name: str
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_factor: float
    idempotency: i.Idempotency
    allowed_zones: tuple[str, ...] | None
    allowed_kinds: tuple[str, ...] | None
    zone_local: bool


class CellPlacement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A placement file, as `gradehoist cells place` writes it: cells, workers and tenants by cell. `ranges`:
    who has each even range of the hash, where that differs from `cells`, as a split leaves ranges as they
    were. The lease of workers, the time in which a write and its repeats are settled (µs) and the limits at
    each relay come from the settings."""

    cells: tuple[str, ...]
    cell_by_replica: dict[str, str] = msgspec.field(name="workers")
    cell_by_tenant: dict[str, str] = msgspec.field(default_factory=dict, name="named")
    cell_by_range: tuple[str, ...] = msgspec.field(default=(), name="ranges")
    lease_us: int = msgspec.field(default=3000000, name="lease")
    settle_us: int = msgspec.field(default=10000000, name="settle")
    limits: RateLimits | None = None

    def home_cell(self, tenant: str) -> str:
        """Where a tenant lives before any move."""
        return home_cell(tenant, self.cell_by_range or self.cells, self.cell_by_tenant)

    def replicas_of(self, cell: str) -> frozenset[str]:
        return frozenset(w for w, c in self.cell_by_replica.items() if c == cell)


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """Where the processes of the fleet share a register: a folder of this machine, or an engine; times in µs.
    `zones`: they leave zones and take them back together.
    `session`: how long others wait for one that stands still; `lost`: missed so long, a member is lost;
    `contact`: between contacts; `hold`: how long what was agreed stands without the register; `fall`: how
    long leaving it takes."""

    folder: Path | None
    etcd_address: Address | None
    key_prefix: str
    session_ttl_us: int
    lost_after_us: int
    contact_interval_us: int
    fallback_hold_us: int
    fallback_ramp_us: int
    zones: EvacuationTiming | None = None


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """`relays`: how many there are over all governors; `intake`: report lines a second to the module."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[RequestClassSettings, ...]
    proxy_count: int
    admission_enabled: bool
    safety: i.SafetyLimits
    channel: i.ChannelLimits
    load_reporting: i.LoadReporting
    report_lines_per_s: float
    endpoint_list_address: Address
    poll_hold_us: int
    silence_limit_us: int
    health_check_timeout_us: int
    max_health_checks: int
    placement: CellPlacement | None = None
    coordination: CoordinationSettings | None = None


@dataclass(frozen=True, slots=True)
class GovernorSettings:
    name: str
    zone: str
    listen_address: Address
    state_folder: Path
    seed: int


@dataclass(frozen=True, slots=True)
class Settings:
    fleet: FleetSettings
    governors: tuple[GovernorSettings, ...]

    def governor(self, name: str) -> GovernorSettings:
        """Raises KeyError for one that the settings do not name."""
        for governor in self.governors:
            if governor.name == name:
                return governor
        known = ", ".join(g.name for g in self.governors)
        raise KeyError(f"no governor {name!r}; the settings name {known}")


def read_settings(path: str | Path) -> Settings:
    """Raises SettingsError with every error found."""
    reader, root = load_document(path)
    settings = parse_settings(root, Path(path).parent)
    root.reject_unread()
    reader.raise_errors()
    return settings


def parse_settings(root: Node, folder: Path, addresses_required: bool = True) -> Settings:
    """The nodes that are this module's own; the caller reports what is left over. Without `listens` the
    addresses may be left out: a scene's are given out when it is played."""
    node = root.require_child("fleet")
    zones, kinds = node.require_child("zones"), node.child("kinds")
    zone_names = zones.get_names("zone names")
    kind_names = kinds.get_names("kind names") if kinds else ()
    classes = tuple(_class(n, zone_names, kind_names) for n in node.children_named("class"))
    if not classes:
        node.add_error("no class", 'add a node such as class "read" goal="1s" cutoff="2s"', "class")
    names = [c.name for c in classes]
    for n in node.children_named("class"):
        if n.args and names.count(n.args[0]) > 1:
            n.add_error("a class named twice", "name each class once")
    rules, channel, reports = (
        node.require_child("rules"),
        node.require_child("channel"),
        node.require_child("reports"),
    )
    probes, feed = node.child("probes"), node.child("feed")
    fleet = FleetSettings(
        zone_names,
        kind_names,
        classes,
        node.get("relays", integer_parser(1, 1_000_000)),
        node.get("admission", choice_parser(("share", "off")), "share") == "share",
        i.SafetyLimits(
            rules.get("grace", duration_parser("1ms")),
            rules.get("cold-time", parse_duration_us),
            rules.get("cold-share", number_parser(0, 1)),
            rules.get("fall-multiple", number_parser(1, 1000)),
            rules.get("fall-span", duration_parser("1ms")),
            rules.get("bare-limit", parse_duration_us),
            rules.get("gone-is-advice", parse_boolean, False),
        ),
        i.ChannelLimits(
            channel.get("queue-limit", number_parser(1, 1e9)),
            channel.get("line-rate", number_parser(1, 1e9)),
            channel.get("message-head", number_parser(0, 1e6), 4.0),
            channel.get("message-limit", integer_parser(0, 10**6), 0),
            channel.get("message-window", duration_parser("10ms"), 10_000_000),
        ),
        i.LoadReporting(
            reports.get("period", duration_parser("10ms")),
            reports.get("busy", parse_boolean, True),
            reports.get("in-flight", parse_boolean, True),
            probes is not None,
            reports.get("must-ask", parse_boolean, False),
        ),
        reports.get("intake", number_parser(1, 1e9), 1000.0),
        node.get("roster", parse_address)
        if addresses_required or "roster" in node.props
        else ("127.0.0.1", 0),
        feed.get("hold", duration_parser("10ms"), 2_000_000) if feed else 2_000_000,
        feed.get("silence", parse_duration_us, 3_000_000) if feed else 3_000_000,
        probes.get("deadline", duration_parser("1ms"), 500_000) if probes else 500_000,
        probes.get("at-once", integer_parser(1, 10_000), 8) if probes else 8,
        _placed(node, folder),
        _coordination(node, folder),
    )
    if feed and fleet.poll_hold_us >= 60_000_000:
        feed.add_error("expected a time under a minute", "correct it", "hold")
    # With all relays on one governor a withdrawal is a message of head, line and mark to each of them and
    # must fit beside what waits already: with a queue of half that, no drain was ever sent.
    least = 2 * (fleet.proxy_count or 0) * ((fleet.channel.message_overhead_lines or 0) + 2)
    if fleet.channel.queue_limit_lines and fleet.channel.queue_limit_lines < least:
        channel.add_error(
            f"{fleet.proxy_count} relays need {least:g} lines for a drain beside other messages",
            f"set queue-limit={least:g} or more, or have fewer relays",
            "queue-limit",
        )
    for part in (rules, channel, reports, probes, feed):
        if part:
            part.reject_unread()
    zones.reject_unread(expected_args=len(zones.args))
    if kinds:
        kinds.reject_unread(expected_args=len(kinds.args))
    node.reject_unread()
    governors = tuple(
        _governor(n, zone_names, folder, addresses_required) for n in root.children_named("governor")
    )
    if not governors:
        root.add_error("no governor", 'add a node such as governor "a" listen="127.0.0.1:7101"', "governor")
    for n in root.children_named("governor"):
        if [g.name for g in governors].count(n.args[0] if n.args else "") > 1:
            n.add_error("a governor named twice", "name each governor once")
    return Settings(fleet, governors)


def _class(n: Node, zones: tuple[str, ...], kinds: tuple[str, ...]) -> RequestClassSettings:
    goal, cutoff = n.get("goal", duration_parser("1ms")), n.get("cutoff", duration_parser("1ms"))
    if goal and cutoff and goal > cutoff:
        n.add_error("the latency goal lies beyond the cut-off", "set goal to cutoff at most", "goal")
    some_zones = n.get("only-zones", names_parser(zones)) if "only-zones" in n.props else None
    some_kinds = n.get("only-kinds", names_parser(kinds)) if "only-kinds" in n.props else None
    out = RequestClassSettings(
        n.get_name("a class name"),
        goal,
        cutoff,
        n.get("gain", number_parser(0, 1e9), 1.0),
        n.get("late-gain", number_parser(0, 1), 0.0),
        i.Idempotency(n.get("repeat", choice_parser(x.value for x in i.Idempotency), "single")),
        some_zones,
        some_kinds,
        n.get("stays-local", parse_boolean, False),
    )
    n.read_keys |= {"only-zones", "only-kinds"}
    n.reject_unread(expected_args=1)
    return out


def _coordination(node: Node, folder: Path) -> CoordinationSettings | None:
    found = node.child("coordination")
    if found is None:
        return None
    if ("folder" in found.props) == ("engine" in found.props):
        found.add_error(
            "expected where the register is",
            'give folder="var/register" for one machine, or '
            'engine="127.0.0.1:2379" for many; one of the two',
        )
    out = CoordinationSettings(
        folder / found.get("folder", parse_text) if "folder" in found.props else None,
        found.get("engine", parse_address) if "engine" in found.props else None,
        found.get("prefix", parse_text, "gradehoist/"),
        found.get("session", duration_parser("1s"), 10_000_000),
        found.get("lost", duration_parser("100ms"), 5_000_000),
        found.get("contact", duration_parser("10ms"), 1_000_000),
        found.get("hold", parse_duration_us, 60_000_000),
        found.get("fall", duration_parser("1s"), 30_000_000),
    )
    found.read_keys |= {"folder", "engine"}
    if (zones := found.child("zones")) is not None:
        out = replace(
            out,
            zones=EvacuationTiming(
                zones.get("settle", duration_parser("1s"), 5_000_000),
                zones.get("well", duration_parser("1s"), 20_000_000),
                zones.get("longest", duration_parser("1s"), 600_000_000),
            ),
        )
        zones.reject_unread()
    found.reject_unread()
    return out


def _placed(node: Node, folder: Path) -> CellPlacement | None:
    cells = node.child("cells")
    if cells is None:
        return None
    path = folder / cells.get("placement", parse_text)
    lease, settle = (
        cells.get("lease", duration_parser("10ms"), 3_000_000),
        cells.get("settle", parse_duration_us, 10_000_000),
    )
    door = cells.child("limits")
    limits = (
        RateLimits(
            door.get("cell", number_parser(0.001, 1e9)),
            door.get("tenant", number_parser(0.001, 1e9)),
            door.get("burst", number_parser(0.1, 3600), 2.0),
            door.get("held", integer_parser(0, 10**6), 0),
            door.get("cell-held", integer_parser(0, 10**6), 0),
        )
        if door
        else None
    )
    if door:
        door.reject_unread()
    cells.reject_unread()
    try:
        placed: CellPlacement = msgspec.json.decode(path.read_bytes(), type=CellPlacement)
    except (OSError, msgspec.MsgspecError) as fault:
        reason = getattr(fault, "strerror", None) or str(fault)
        cells.add_error(
            f"{path} is no placement: {reason}", "make one with gradehoist cells place", "placement"
        )
        return None
    used = (*placed.cell_by_replica.values(), *placed.cell_by_tenant.values(), *placed.cell_by_range)
    strange = {c for c in used if c not in placed.cells}
    empty = [c for c in placed.cells if c not in placed.cell_by_replica.values()]
    if not placed.cells or strange or empty or len(set(placed.cells)) < len(placed.cells):
        what = (
            f"names cells it does not list: {', '.join(sorted(strange))}"
            if strange
            else (
                f"has cells without workers: {', '.join(empty)}" if empty else "lists no cell, or one twice"
            )
        )
        cells.add_error(f"{path} {what}", "make it anew with gradehoist cells place", "placement")
        return None
    return msgspec.structs.replace(placed, lease_us=lease, settle_us=settle, limits=limits)


def _governor(n: Node, zones: tuple[str, ...], folder: Path, listens: bool) -> GovernorSettings:
    name = n.get_name("a name")
    listen = n.get("listen", parse_address) if listens or "listen" in n.props else ("127.0.0.1", 0)
    open_to_all = n.get("beyond-loopback", parse_boolean, False)
    if listen and not open_to_all and not ipaddress.IPv4Address(listen[0]).is_loopback:
        n.add_error(
            "an address beyond loopback", "listen on 127.0.0.1, or say beyond-loopback=true", "listen"
        )
    state = n.get("state", parse_text, f"var/{name}")
    out = GovernorSettings(
        name,
        n.get("zone", choice_parser(zones)),
        listen,
        folder / state,
        n.get("seed", integer_parser(0, 2**62), 1),
    )
    n.reject_unread(expected_args=1)
    return out


def policy_config(
    fleet: FleetSettings, names: Identifiers, seed: int, channel: i.ChannelLimits
) -> i.PolicyConfig:
    """A module's first word: names become indices."""
    classes = tuple(
        i.RequestClass(
            c.latency_objective_us,
            c.deadline_us,
            c.priority_weight,
            c.late_priority_factor,
            c.idempotency,
            None if c.allowed_zones is None else tuple(names.zones.intern(z) for z in c.allowed_zones),
            None if c.allowed_kinds is None else tuple(names.kinds.intern(k) for k in c.allowed_kinds),
            c.zone_local,
        )
        for c in fleet.classes
    )
    return i.PolicyConfig(
        seed,
        len(fleet.zones),
        fleet.proxy_count,
        0,
        fleet.admission_enabled,
        classes,
        fleet.safety,
        channel,
        fleet.load_reporting,
    )
