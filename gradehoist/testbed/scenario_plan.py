"""A run's plan: everything the stand-ins need, drawn once from scene and seed. Times in µs."""

from __future__ import annotations

import msgspec

Address = tuple[str, int]


class Replica(msgspec.Struct, frozen=True):
    """`work` units are milliseconds on a core of speed 1; `listed` is False for a later replacement."""

    name: str
    zone: str
    kind: str
    cell: int
    port: int
    cores: int
    speed: float
    slots: int
    queue: int
    size: float
    cold_from: float
    cold: int
    listed: bool = True


class Relay(msgspec.Struct, frozen=True):
    """`governors` in the order of dialling, as addresses through this relay's own links."""

    name: str
    zone: str
    port: int
    share: float
    governors: tuple[tuple[str, Address], ...]


class Link(msgspec.Struct, frozen=True):
    """A port that carries bytes from `zone` to `target`; `relay` where it is one relay's own."""

    port: int
    zone: str
    target: str
    target_zone: str
    to: Address
    relay: str = ""


class Class(msgspec.Struct, frozen=True):
    name: str
    share: float
    work: float
    cv: float
    goal: int
    cutoff: int
    gain: float
    late_gain: float
    repeat: str
    only_zones: tuple[str, ...] | None
    only_kinds: tuple[str, ...] | None
    stays_local: bool


class Step(msgspec.Struct, frozen=True):
    """At `at` the process of role `role` is told `do`; role `day` is the runner itself."""

    at: int
    role: str
    do: dict[str, object]


class Rules(msgspec.Struct, frozen=True):
    grace: int
    cold_time: int
    fall_multiple: float
    fall_span: int
    bare_limit: int
    gone_is_advice: bool
    queue_limit: float
    line_rate: float
    message_head: float
    message_limit: int
    message_window: int


class Limits(msgspec.Struct, frozen=True):
    """At one relay, transactions a second; the governors' settings say them to the relays."""

    cell: float
    tenant: float
    burst: float
    held: int


class Plan(msgspec.Struct, frozen=True):
    name: str
    seed: int
    length: int
    zones: tuple[str, ...]
    classes: tuple[Class, ...]
    rules: Rules
    replicas: tuple[Replica, ...]
    relays: tuple[Relay, ...]
    governors: tuple[tuple[str, str, Address], ...]  # name, zone, address
    links: tuple[Link, ...]
    roster: Address
    controls: dict[str, int]  # port by role
    steps: tuple[Step, ...]
    rate: float  # transactions a second
    shape: tuple[tuple[int, float], ...]  # times and factors on the rate, straight lines between
    retries: int
    try_share: float
    backoff: int
    strikes: int
    avoid: int
    usual_way: int
    try_factor: float
    standing: int
    redial: tuple[int, int]
    sums_late: tuple[int, int]
    period: int
    hold: int
    report_period: int
    handshake: float  # work for each new connection
    drops_waiting: bool
    full_is_proof: bool
    follow_governors: bool = True  # False: relays stay on their standing tables
    tenants: tuple[tuple[str, float], ...] = (("", 1.0),)  # names and shares of the traffic
    cells: tuple[str, ...] = ()
    workers: dict[str, str] = {}  # cell by replica
    named: dict[str, str] = {}  # cell by tenant
    limits: Limits | None = None
    even: bool = False  # True: standing tables hold every replica at the same weight


def load(path: str) -> Plan:
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=Plan)
