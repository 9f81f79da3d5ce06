"""Scenes in KDL: the fleet as a governor is told it, the stand-ins that play it, and the day's troubles.

`draw` turns a scene and a seed into a plan: every chance of the script is taken here, so that the same seed
plays the same day.
"""

from __future__ import annotations

import random
import socket
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path

import msgspec
from kdl.parsing import Parser
from kdl.types import Node

from gradehoist.cells.placement import Placement, PlacementRequirements, Replica, Tenant, plan_placement
from gradehoist.scenario import faults
from gradehoist.settings import reader as r
from gradehoist.settings.fleet import Settings
from gradehoist.settings.fleet_parser import parse_settings
from gradehoist.testbed import scenario_plan as p
from gradehoist.testbed.process import dice


@dataclass(frozen=True, slots=True)
class Group:
    zone: str
    kind: str
    count: int
    cores: int
    speed: float
    spare: int


@dataclass(frozen=True, slots=True)
class Load:
    share: float
    work: float
    cv: float


@dataclass(frozen=True, slots=True)
class Crowd:
    """Tenants, how unevenly they share the traffic (lognormal), and the cells they live in (0: none)."""

    count: int
    skew: float
    cells: int


@dataclass(frozen=True, slots=True)
class Door:
    """Limits at relays, as multiples of the even share of a cell and of the mean share of a tenant."""

    cell: float
    tenant: float
    burst: float
    held: int


@dataclass(frozen=True, slots=True)
class Scene:
    """`load` is the traffic as a part of what the listed replicas can do; times in µs."""

    name: str
    length: int
    seed: int
    settings: Settings
    fleet_text: str
    groups: tuple[Group, ...]
    relays: tuple[tuple[str, int], ...]
    loads: dict[str, Load]
    load: float
    skew: float
    machine: dict[str, float]
    clients: dict[str, float]
    relay: dict[str, float]
    roster: faults.Notice
    faults: tuple[faults.Trouble, ...]
    crowd: Crowd
    limits: Door | None


def read(path: Path) -> Scene:
    """Raises SettingsError with every error found."""
    reader, root = r.load_document(path)
    if base := root.child("base"):  # what several scenes share: fleet, governors, replicas, relays, traffic
        shared, more = r.load_document(path.parent / base.get_name("a file beside this one"))
        shared.errors = reader.errors
        root.children += [n for n in more.children]
        base.reject_unread(expected_args=1)
    node = root.require_child("scene")
    name = node.get_name("a name")
    length, seed = node.get("length", r.parse_duration_us), node.get("seed", r.integer_parser(0, 2**31), 1)
    node.reject_unread(expected_args=1)
    settings = parse_settings(root, path.parent, addresses_required=False)
    zones, kinds = settings.fleet.zones, settings.fleet.kinds
    groups = []
    for n in root.children_named("replicas"):
        groups.append(
            Group(
                n.get("zone", r.choice_parser(zones)),
                n.get("kind", r.choice_parser(kinds)),
                n.get("count", r.integer_parser(1, 1000)),
                n.get("cores", r.integer_parser(1, 256)),
                n.get("speed", r.number_parser(0.01, 100)),
                n.get("spare", r.integer_parser(0, 1000), 0),
            )
        )
        n.reject_unread()
    if not groups:
        root.add_error("no replicas", 'add a node such as replicas zone="…" kind="…" count=4', "replicas")
    relays = []
    for n in root.children_named("relays"):
        relays.append((n.get("zone", r.choice_parser(zones)), n.get("count", r.integer_parser(1, 5000))))
        n.reject_unread()
    if not relays:
        root.add_error("no relays", 'add a node such as relays zone="…" count=5', "relays")
    traffic = root.require_child("traffic")
    load, skew = (
        traffic.get("load", r.number_parser(0.01, 3)),
        traffic.get("skew", r.number_parser(0, 3), 0.6),
    )
    loads = {}
    for n in traffic.children_named("of"):
        cls = n.get_name("a class name")
        if cls not in [c.name for c in settings.fleet.classes]:
            n.add_error("a class that the fleet does not name", "name one of its classes")
        loads[cls] = Load(
            n.get("share", r.number_parser(0, 1)),
            n.get("work", r.number_parser(0.1, 1e5)),
            n.get("cv", r.number_parser(0.01, 3), 0.6),
        )
        n.reject_unread(expected_args=1)
    for c in settings.fleet.classes:
        if c.name not in loads:
            traffic.add_error(f"no share for class {c.name}", f'add of "{c.name}" share=… work=…', "of")
    traffic.reject_unread()
    tenants = root.child("tenants")
    crowd = (
        Crowd(
            tenants.get("count", r.integer_parser(1, 100_000)),
            tenants.get("skew", r.number_parser(0, 3), 0.8),
            tenants.get("cells", r.integer_parser(0, 1000), 0),
        )
        if tenants
        else Crowd(1, 0.0, 0)
    )
    if tenants:
        tenants.reject_unread()
    doors = root.child("limits")
    limits = (
        Door(
            doors.get("cell", r.number_parser(0.1, 100), 1.5),
            doors.get("tenant", r.number_parser(0.1, 100), 2.0),
            doors.get("burst", r.number_parser(0.1, 60), 2.0),
            doors.get("held", r.integer_parser(0, 10**6), 0),
        )
        if doors
        else None
    )
    if doors:
        doors.reject_unread()
    machine = _figures(
        root,
        "machine",
        {
            "slots-per-core": 3,
            "queue-per-core": 12,
            "cold-from": 0.25,
            "cold": "10s",
            "report": "700ms",
            "handshake": 3,
            "drops-waiting": False,
            "full-is-proof": True,
        },
    )
    clients = _figures(root, "clients", {"retries": 1, "try-share": 0.8, "backoff": "100ms"})
    relay = _figures(
        root,
        "relay",
        {
            "strikes": 8,
            "avoid": "4s",
            "usual-way": 1,
            "try-factor": 0.8,
            "standing": 6,
            "redial-from": "200ms",
            "redial-to": "1500ms",
            "sums-from": "200ms",
            "sums-to": "600ms",
        },
    )
    notice = _figures(root, "roster", {"notice": "1s", "silent-notice": "5s", "add": "500ms"})
    some = tuple(
        faults.parse(n, zones, kinds, tuple(g.name for g in settings.governors), length)
        for n in root.children_named("trouble")
    )
    root.reject_unread()
    reader.raise_errors()
    files = [path, *(path.parent / n.args[0] for n in root.children if n.name == "base")]
    source = next(text for file in files for name, text in _nodes(file) if name == "fleet")
    late = faults.Notice(int(notice["notice"]), int(notice["silent-notice"]), int(notice["add"]))
    return Scene(
        name,
        length,
        seed,
        settings,
        source,
        tuple(groups),
        tuple(relays),
        loads,
        load,
        skew,
        machine,
        clients,
        relay,
        late,
        some,
        crowd,
        limits,
    )


def _figures(root: r.Node, name: str, usual: dict[str, float | str | bool]) -> dict[str, float]:
    node, out = root.child(name), {}
    for key, default in usual.items():
        if isinstance(default, str):
            found: float = (
                node.get(key, r.parse_duration_us, r.parse_duration_us(default))
                if node
                else r.parse_duration_us(default)
            )
        elif isinstance(default, bool):
            found = node.get(key, r.parse_boolean, default) if node else default
        else:
            found = node.get(key, r.number_parser(0, 1e9), float(default)) if node else default
        out[key] = found
    if node:
        node.reject_unread()
    return out


def _nodes(path: Path) -> list[tuple[str, str]]:
    return [(n.name, n.print()) for n in Parser().parse(path.read_text(encoding="utf-8")).nodes]


def ports(number: int) -> list[int]:
    """Free loopback ports, held together while they are found so that none is given twice.

    They lie under the range that systems take for outgoing connections: from there, a port that was free a
    moment ago was another run's connection when its process came to listen."""
    at, out = random.SystemRandom().randrange(10_000, 30_000), list[int]()
    with ExitStack() as stack:
        while len(out) < number:
            at = at + 1 if at < 32_000 else 10_000
            sock = stack.enter_context(socket.socket())
            with suppress(OSError):
                sock.bind(("127.0.0.1", at))
                out.append(at)
    return out


def draw(scene: Scene, seed: int, follow: bool = True, even: bool = False) -> p.Plan:
    """The plan of one run; `follow` and `even` as the plan says, for the days that the governor is beside."""
    chance = dice(seed, "fleet")
    fleet = scene.settings.fleet
    replicas: list[p.Replica] = []
    for g in scene.groups:
        for n in range(g.count + g.spare):
            number = len(replicas)
            speed = g.speed * chance.uniform(0.85, 1.15)
            replicas.append(
                p.Replica(
                    f"w{number + 1}",
                    g.zone,
                    g.kind,
                    number // 4,
                    0,
                    g.cores,
                    round(speed, 4),
                    int(scene.machine["slots-per-core"] * g.cores),
                    int(scene.machine["queue-per-core"] * g.cores),
                    round(g.cores * speed * chance.uniform(0.9, 1.1), 3),
                    scene.machine["cold-from"],
                    int(scene.machine["cold"]),
                    n < g.count,
                )
            )
    relays: list[p.Relay] = []
    for zone, count in scene.relays:
        for _ in range(count):
            relays.append(p.Relay(f"r{len(relays) + 1}", zone, 0, chance.lognormvariate(0, scene.skew), ()))
    total = sum(x.share for x in relays)
    governors = [g for g in scene.settings.governors]
    own = len(replicas) + len(relays) + len(governors) + 1
    roles = (
        ["clients", "links", "roster"]
        + [f"relays-{z}" for z in fleet.zones]
        + [f"replicas-{z}" for z in fleet.zones]
    )
    found = ports(own + len(roles) + len(fleet.zones) * len(replicas) + len(relays) * len(governors))
    take = iter(found)
    replicas = [msgspec.structs.replace(x, port=next(take)) for x in replicas]
    homes = [(g.name, g.zone, ("127.0.0.1", next(take))) for g in governors]
    links = [
        p.Link(next(take), z, x.name, x.zone, ("127.0.0.1", x.port)) for z in fleet.zones for x in replicas
    ]
    ready: list[p.Relay] = []
    for n, x in enumerate(relays):
        # Of its own zone if there is one, else dealt in turn: the rest follow in order.
        order = sorted(homes, key=lambda h: (h[1] != x.zone, (homes.index(h) - n) % len(homes)))
        ways = []
        for name, zone, to in order:
            link = p.Link(next(take), x.zone, name, zone, to, x.name)
            links.append(link)
            ways.append((name, ("127.0.0.1", link.port)))
        share = x.share / total
        ready.append(msgspec.structs.replace(x, port=next(take), share=share, governors=tuple(ways)))
    classes = tuple(
        p.Class(
            c.name,
            scene.loads[c.name].share,
            scene.loads[c.name].work,
            scene.loads[c.name].cv,
            c.latency_objective_us,
            c.deadline_us,
            c.priority_weight,
            c.late_priority_factor,
            c.idempotency.value,
            c.allowed_zones,
            c.allowed_kinds,
            c.zone_local,
        )
        for c in fleet.classes
    )
    mean = sum(c.share * c.work for c in classes) / sum(c.share for c in classes)
    capacity = sum(x.cores * x.speed for x in replicas if x.listed) * 1e3 / mean
    ru, ch = fleet.safety, fleet.channel
    rules = p.Rules(
        ru.drain_grace_us,
        ru.warmup_us,
        ru.overload_multiple,
        ru.overload_window_us,
        ru.unroutable_limit_us,
        ru.gone_is_advisory,
        ch.queue_limit_lines,
        ch.lines_per_s,
        ch.message_overhead_lines,
        ch.messages_per_window,
        ch.message_window_us,
    )
    rate = scene.load * capacity
    shares = [chance.lognormvariate(0, scene.crowd.skew) for _ in range(scene.crowd.count)]
    tenants = tuple((f"inn{n}", x / sum(shares)) for n, x in enumerate(shares))
    cells: tuple[str, ...] = tuple(f"c{n}" for n in range(scene.crowd.cells))
    placed = Placement({}, {})
    if cells:
        placed = plan_placement(
            [Tenant(t, x * scene.load * sum(w.size for w in replicas)) for t, x in tenants],
            [Replica(w.name, w.zone, w.kind, w.size) for w in replicas if w.listed],
            PlacementRequirements(len(cells), 2, min(2, len(fleet.zones)), spare_share=0.0),
        )
    limits = (
        p.Limits(
            rate / max(1, len(cells)) / len(ready) * scene.limits.cell,
            rate / len(tenants) / len(ready) * scene.limits.tenant,
            scene.limits.burst,
            scene.limits.held,
        )
        if scene.limits
        else None
    )
    plan = p.Plan(
        scene.name,
        seed,
        scene.length,
        fleet.zones,
        classes,
        rules,
        tuple(replicas),
        tuple(ready),
        tuple(homes),
        tuple(links),
        ("127.0.0.1", next(take)),
        {role: next(take) for role in roles},
        (),
        rate,
        (),
        int(scene.clients["retries"]),
        scene.clients["try-share"],
        int(scene.clients["backoff"]),
        int(scene.relay["strikes"]),
        int(scene.relay["avoid"]),
        int(scene.relay["usual-way"]),
        scene.relay["try-factor"],
        int(scene.relay["standing"]),
        (int(scene.relay["redial-from"]), int(scene.relay["redial-to"])),
        (int(scene.relay["sums-from"]), int(scene.relay["sums-to"])),
        fleet.load_reporting.period_us,
        fleet.poll_hold_us,
        int(scene.machine["report"]),
        scene.machine["handshake"],
        bool(scene.machine["drops-waiting"]),
        bool(scene.machine["full-is-proof"]),
        follow,
        tenants,
        cells,
        {w: cells[c] for w, c in placed.replicas.items()},
        {t: cells[c] for t, c in placed.tenants.items()},
        limits,
        even,
    )
    return msgspec.structs.replace(plan, steps=faults.script(plan, scene.faults, scene.roster))


def hurried(plan: p.Plan, speed: float) -> p.Plan:
    """The same script `speed` times as fast: its length, steps and the roster's lateness. What the fleet is
    (goals, grace, cold times, limits) stays, so a fast day is a harder one, judged by the same rules."""
    steps = tuple(msgspec.structs.replace(s, at=round(s.at / speed)) for s in plan.steps)
    shape = tuple((round(at / speed), factor) for at, factor in plan.shape)
    return msgspec.structs.replace(plan, length=round(plan.length / speed), steps=steps, shape=shape)


def settings_text(scene: Scene, plan: p.Plan) -> str:
    """The settings file of the run's governors: the scene's fleet with the addresses of this run."""
    document = Parser().parse(scene.fleet_text)
    host, port = plan.roster
    document.nodes[0].props["roster"] = f"{host}:{port}"
    if plan.cells:
        cells = Node("cells", props={"placement": "cells.json"})
        if plan.limits:
            cells.nodes.append(Node("limits", props=msgspec.structs.asdict(plan.limits)))
        document.nodes[0].nodes.append(cells)
    rows = [document.print()]
    for own, (name, zone, (host, port)) in zip(scene.settings.governors, plan.governors, strict=True):
        rows.append(f'governor "{name}" zone="{zone}" listen="{host}:{port}" seed={own.seed + plan.seed}\n')
    return "\n".join(rows)
