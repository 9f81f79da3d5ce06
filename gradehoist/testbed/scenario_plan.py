"""The plan of one scenario run, which holds everything that its processes need.

The plan is derived from the scenario and the seed, stored as `plan.json` in the folder of the run, and read
again by the checkers. A field whose name differs from the stored one states the stored name. Times are in
microseconds unless the name of a field says otherwise.
"""

from __future__ import annotations

import msgspec

Address = tuple[str, int]


class ReplicaPlan(msgspec.Struct, frozen=True):
    """A replica of the fleet; work is measured in milliseconds on a core of speed 1.

    Attributes:
        name: The name of the replica.
        zone: Its zone.
        kind: Its kind, by which request classes may be restricted.
        cell: The cell number that the endpoint list states.
        port: The port that it listens on.
        cores: The number of its cores.
        speed: The work that a core completes per millisecond.
        slots: The number of jobs that may run at a time; further ones wait.
        queue_limit: The number of waiting jobs from which on requests are rejected.
        size: The size that the endpoint list states.
        start_capacity: The share of its speed with which a replica starts to warm up.
        warmup_us: The duration of the warm-up.
        is_listed: Whether it runs and is listed at the start; otherwise it replaces another one later.
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
    """A proxy.

    Attributes:
        name: The name of the proxy.
        zone: Its zone.
        port: The port that it listens on.
        traffic_share: Its share of the requests.
        governors: Names and addresses of its governors, in the order in which it connects to them. The
            addresses are those of links that only this proxy uses.
    """

    name: str
    zone: str
    port: int
    traffic_share: float = msgspec.field(name="share")
    governors: tuple[tuple[str, Address], ...]


class LinkPlan(msgspec.Struct, frozen=True):
    """A port that forwards bytes from clients in one zone to a target.

    Attributes:
        port: The port that the link listens on.
        zone: The zone of the clients.
        target: The name of the target.
        target_zone: The zone of the target.
        address: The address of the target.
        proxy: The only proxy that uses the link; empty if all of the zone do.
    """

    port: int
    zone: str
    target: str
    target_zone: str
    address: Address = msgspec.field(name="to")
    proxy: str = msgspec.field(default="", name="relay")


class RequestClassPlan(msgspec.Struct, frozen=True):
    """A request class.

    Attributes:
        name: The name of the class.
        traffic_share: Its share of the requests.
        work_ms: The mean work of a request, in milliseconds on a core of speed 1.
        work_variation: The coefficient of variation of the work.
        latency_objective_us: The time within which a request is to be completed.
        deadline_us: The time after which the client gives up.
        priority_weight: The weight of a request that is completed within the objective.
        late_priority_factor: The factor on that weight if it is completed later.
        idempotency: Whether a request may be executed twice: `free` if that is harmless, `guarded` if
            replicas drop a duplicate by its key, `single` if it must not happen.
        allowed_zones: The zones that may serve the class; None if all may.
        allowed_kinds: The kinds of replicas that may serve the class; None if all may.
        zone_local: Whether only replicas of the proxy's zone may serve the class.
    """

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
    """A command that the runner sends to a role at a time of the run; the role `day` is the runner itself."""

    at_us: int = msgspec.field(name="at")
    role: str
    command: dict[str, object] = msgspec.field(name="do")


class SafetyRules(msgspec.Struct, frozen=True):
    """The limits that the checkers apply to a run.

    Attributes:
        drain_grace_us: The time after a governor learns of a drain within which its proxies must stop sending
            to the replica.
        warmup_us: The duration of a replica's warm-up.
        overload_multiple: The multiple of its capacity that may arrive at a warming replica within a window;
            more work crashes it.
        overload_window_us: The length of that window.
        unroutable_limit_us: The longest time for which a proxy's table for a class may be empty although a
            replica is available.
        gone_is_advisory: Whether proxies may still send to replicas that are gone from the endpoint list.
        queue_limit_lines: The number of lines that may wait in the channel.
        lines_per_s: The stated rate of the channel.
        message_overhead_lines: The cost of a message in addition to its lines.
        messages_per_window: The number of messages that a stream may carry within a window; 0 for no limit.
        message_window_us: The length of that window.
    """

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
    """The rate limits at one proxy, which governors take from their settings and send to the proxies.

    Attributes:
        cell_requests_per_s: The request rate of one cell.
        tenant_requests_per_s: The request rate of one tenant.
        burst_s: The burst, as the seconds of the rate that may arrive at once.
        tenant_in_flight: The number of requests of one tenant that may be in flight.
    """

    cell_requests_per_s: float = msgspec.field(name="cell")
    tenant_requests_per_s: float = msgspec.field(name="tenant")
    burst_s: float = msgspec.field(name="burst")
    tenant_in_flight: int = msgspec.field(name="held")


class Plan(msgspec.Struct, frozen=True):
    """The whole run: fleet, network, traffic, behaviour of clients and proxies, and the steps.

    Attributes:
        governors: Name, zone and address of each governor.
        control_ports: The control port of each role.
        rate_factors: Times and factors on the request rate, with linear interpolation between them.
        retries: The number of retries of a client.
        attempt_share: The share of the deadline that one attempt of a client may take.
        backoff_us: The time that a client waits before a retry.
        failures_to_avoid: The consecutive failures after which a proxy avoids a replica; 0 for never.
        avoid_us: The time for which a proxy avoids a failing replica.
        retry_policy: The retry policy of proxies while the governor sets none.
        attempt_factor: The multiple of the latency objective that one attempt of a proxy may take.
        default_table_size: The number of replicas in a default table.
        reconnect_range_us: The shortest and the longest delay before a proxy connects to the next governor.
        report_delay_range_us: The shortest and the longest delay with which a proxy sends a load report.
        poll_hold_us: The time for which a governor holds a poll.
        handshake_work_ms: The work of a replica for each new connection.
        drops_abandoned_requests: Whether replicas drop waiting requests whose proxy disconnected.
        rejection_proves_no_effect: Whether a replica whose queue is full states that the rejected request
            had no effect.
        follow_governors: False if the proxies keep their default tables.
        tenant_shares: The names of the tenants and their shares of the traffic.
        cell_by_tenant: The cells of the tenants that are assigned by name.
        even_weights: Whether the default tables hold every replica, weighted by its size.
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
    """Reads the plan of a run from its file.

    Raises:
        OSError: the file can't be read.
        msgspec.MsgspecError: the file does not contain a valid plan.
    """
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=Plan)
