"""The plan of one scenario run: everything its processes need, drawn from the scenario and the seed.

The plan is stored as `plan.json` in the folder of the run and read back by the checkers. Each field that is
renamed in the code keeps its stored name. Times are in microseconds.
"""

from __future__ import annotations

import msgspec

Address = tuple[str, int]


class ReplicaPlan(msgspec.Struct, frozen=True):
    """A replica of the fleet.

    Work is measured in milliseconds on a core of speed 1. A replica that is not listed at the start replaces
    another one later. `start_capacity` is the share of its speed with which a replica starts warming up.
    """

    name: str
    zone: str
    kind: str
    cell: int
    port: int
    cores: int
    speed: float
    slots: int
    queue_limit: int = msgspec.field(name="queue")
    size: float
    start_capacity: float = msgspec.field(name="cold_from")
    warmup_us: int = msgspec.field(name="cold")
    is_listed: bool = msgspec.field(default=True, name="listed")


class ProxyPlan(msgspec.Struct, frozen=True):
    """A proxy, and its governors in the order of connecting, by addresses through links of its own."""

    name: str
    zone: str
    port: int
    traffic_share: float = msgspec.field(name="share")
    governors: tuple[tuple[str, Address], ...]


class LinkPlan(msgspec.Struct, frozen=True):
    """A port that carries bytes from `zone` to `target`; `proxy` is set where one proxy owns the link."""

    port: int
    zone: str
    target: str
    target_zone: str
    address: Address = msgspec.field(name="to")
    proxy: str = msgspec.field(default="", name="relay")


class RequestClassPlan(msgspec.Struct, frozen=True):
    """A request class: its traffic, its latency objective and deadline, and where it may run."""

    name: str
    traffic_share: float = msgspec.field(name="share")
    work_ms: float = msgspec.field(name="work")
    work_variation: float = msgspec.field(name="cv")
    latency_objective_us: int = msgspec.field(name="goal")
    deadline_us: int = msgspec.field(name="cutoff")
    priority_weight: float = msgspec.field(name="gain")
    late_priority_factor: float = msgspec.field(name="late_gain")
    idempotency: str = msgspec.field(name="repeat")
    allowed_zones: tuple[str, ...] | None = msgspec.field(name="only_zones")
    allowed_kinds: tuple[str, ...] | None = msgspec.field(name="only_kinds")
    zone_local: bool = msgspec.field(name="stays_local")


class Step(msgspec.Struct, frozen=True):
    """A command for the process of a role, sent at a time of the run; role `day` is the runner itself."""

    at_us: int = msgspec.field(name="at")
    role: str
    command: dict[str, object] = msgspec.field(name="do")


class SafetyRules(msgspec.Struct, frozen=True):
    """The limits that the checkers hold a run against."""

    drain_grace_us: int = msgspec.field(name="grace")
    warmup_us: int = msgspec.field(name="cold_time")
    overload_multiple: float = msgspec.field(name="fall_multiple")
    overload_window_us: int = msgspec.field(name="fall_span")
    unroutable_limit_us: int = msgspec.field(name="bare_limit")
    gone_is_advisory: bool = msgspec.field(name="gone_is_advice")
    queue_limit_lines: float = msgspec.field(name="queue_limit")
    lines_per_s: float = msgspec.field(name="line_rate")
    message_overhead_lines: float = msgspec.field(name="message_head")
    messages_per_window: int = msgspec.field(name="message_limit")
    message_window_us: int = msgspec.field(name="message_window")


class RateLimitPlan(msgspec.Struct, frozen=True):
    """The rate limits at one proxy, which the governors' settings state to the proxies."""

    cell_requests_per_s: float = msgspec.field(name="cell")
    tenant_requests_per_s: float = msgspec.field(name="tenant")
    burst_s: float = msgspec.field(name="burst")
    tenant_in_flight: int = msgspec.field(name="held")


class Plan(msgspec.Struct, frozen=True):
    """The whole run: fleet, network, traffic, behaviour of clients and proxies, and the steps.

    Attributes:
        governors: name, zone and address of each.
        control_ports: port of the control interface by role.
        rate_factors: times and factors on the request rate; it is linear between them.
        attempt_share: share of the deadline that a client's attempt may take.
        attempt_factor: multiple of the latency objective that a proxy's attempt may take.
        handshake_work_ms: work of a replica for each new connection.
        follow_governors: False if the proxies keep their default tables.
        tenant_shares: names of tenants and their shares of the traffic.
        even_weights: whether the default tables hold every replica, weighted by its size.
    """

    name: str
    seed: int
    length_us: int = msgspec.field(name="length")
    zones: tuple[str, ...]
    classes: tuple[RequestClassPlan, ...]
    rules: SafetyRules
    replicas: tuple[ReplicaPlan, ...]
    proxies: tuple[ProxyPlan, ...] = msgspec.field(name="relays")
    governors: tuple[tuple[str, str, Address], ...]
    links: tuple[LinkPlan, ...]
    endpoint_list: Address = msgspec.field(name="roster")
    control_ports: dict[str, int] = msgspec.field(name="controls")
    steps: tuple[Step, ...]
    requests_per_s: float = msgspec.field(name="rate")
    rate_factors: tuple[tuple[int, float], ...] = msgspec.field(name="shape")
    retries: int
    attempt_share: float = msgspec.field(name="try_share")
    backoff_us: int = msgspec.field(name="backoff")
    failures_to_avoid: int = msgspec.field(name="strikes")
    avoid_us: int = msgspec.field(name="avoid")
    retry_policy: int = msgspec.field(name="usual_way")
    attempt_factor: float = msgspec.field(name="try_factor")
    default_table_size: int = msgspec.field(name="standing")
    reconnect_range_us: tuple[int, int] = msgspec.field(name="redial")
    report_delay_range_us: tuple[int, int] = msgspec.field(name="sums_late")
    load_report_period_us: int = msgspec.field(name="period")
    poll_hold_us: int = msgspec.field(name="hold")
    replica_report_period_us: int = msgspec.field(name="report_period")
    handshake_work_ms: float = msgspec.field(name="handshake")
    drops_abandoned_requests: bool = msgspec.field(name="drops_waiting")
    rejection_proves_no_effect: bool = msgspec.field(name="full_is_proof")
    follow_governors: bool = True
    tenant_shares: tuple[tuple[str, float], ...] = msgspec.field(default=(("", 1.0),), name="tenants")
    cells: tuple[str, ...] = ()
    cell_by_replica: dict[str, str] = msgspec.field(default_factory=dict, name="workers")
    cell_by_tenant: dict[str, str] = msgspec.field(default_factory=dict, name="named")
    limits: RateLimitPlan | None = None
    even_weights: bool = msgspec.field(default=False, name="even")


def load_plan(path: str) -> Plan:
    """Reads a stored plan.

    Raises:
        OSError: the file can't be read.
        msgspec.MsgspecError: it is not a plan.
    """
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=Plan)
