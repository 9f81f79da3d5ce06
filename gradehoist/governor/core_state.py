"""The state that the parts of a governor's core share, and how it is made from the settings. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.cells.routes import class_label, home_cell
from gradehoist.governor.cell_publisher import CellPublisher
from gradehoist.governor.channel import Channel
from gradehoist.governor.direct_publisher import DirectPublisher
from gradehoist.governor.endpoint_list import EndpointList
from gradehoist.governor.event_log import EventLog
from gradehoist.governor.load_reports import LoadReportQueue
from gradehoist.governor.policy_instances import PolicyInstance, PolicySet
from gradehoist.governor.publisher import Publisher
from gradehoist.governor.tables import PublishedTables
from gradehoist.identifiers import Identifiers
from gradehoist.interface import ChannelLimits, PolicyConfig
from gradehoist.protocol.feed import RateLimitsDelta, TenantRoutes
from gradehoist.settings.fleet import CellPlacement, FleetSettings, policy_config

NO_CELLS = ("",)  # a fleet without cells is one unnamed cell that has every replica
MIN_SLOT_US = 10_000
DEFAULT_MESSAGES_PER_WINDOW = 20  # sets the slot where the settings do not limit messages
MIN_QUEUE_LINES_PER_PROXY = 4  # of one policy's share: a message to every proxy has to fit


@dataclass(frozen=True, slots=True)
class CoreState:
    """What the parts of one core share.

    Attributes:
        fleet: settings of the fleet.
        epoch: name of this start of the governor.
        identifiers: of zones, kinds, classes, replicas and proxies.
        policies: the policies and their pending events.
        publisher: the way to the proxies.
        endpoint_list: the replicas.
        load_reports: load reports on their way to the policies.
        log: events to be written.
    """

    fleet: FleetSettings
    epoch: str
    identifiers: Identifiers
    policies: PolicySet
    publisher: Publisher
    endpoint_list: EndpointList
    load_reports: LoadReportQueue
    log: EventLog


def make_core_state(fleet: FleetSettings, epoch: str, now_us: int) -> CoreState:
    """The state of a governor that has just started."""
    log = EventLog()
    identifiers = _make_identifiers(fleet)
    policies = _make_policies(fleet)
    reports = LoadReportQueue(identifiers, fleet.report_lines_per_s, fleet.load_reporting.period_us, now_us)
    return CoreState(
        fleet=fleet,
        epoch=epoch,
        identifiers=identifiers,
        policies=policies,
        publisher=_make_publisher(fleet, identifiers, policies, log),
        endpoint_list=EndpointList(identifiers, fleet.safety.warmup_us),
        load_reports=reports,
        log=log,
    )


def _cell_names(fleet: FleetSettings) -> tuple[str, ...]:
    """The cells of the fleet, one for each policy."""
    return fleet.placement.cells if fleet.placement else NO_CELLS


def _make_identifiers(fleet: FleetSettings) -> Identifiers:
    """Identifiers with the zones, kinds and classes of the settings; each cell has classes of its own."""
    labels = [
        class_label(cell, request_class.name)
        for cell in _cell_names(fleet)
        for request_class in fleet.classes
    ]
    return Identifiers(fleet.zones, fleet.kinds, labels)


def _make_policies(fleet: FleetSettings) -> PolicySet:
    """The policies of the governor's cells."""
    placement = fleet.placement
    return PolicySet(
        [
            PolicyInstance(
                number=number,
                cell=cell,
                class_count=len(fleet.classes),
                replicas=placement.replicas_of(cell) if placement else None,
            )
            for number, cell in enumerate(_cell_names(fleet))
        ]
    )


def make_policy_configs(fleet: FleetSettings, identifiers: Identifiers, seed: int) -> list[PolicyConfig]:
    """The configuration of each policy; seeds follow one another from `seed`."""
    cell_count = len(_cell_names(fleet))
    channel = _policy_channel(fleet, cell_count)
    return [policy_config(fleet, identifiers, seed + number, channel) for number in range(cell_count)]


def publishing_slot_us(fleet: FleetSettings) -> int:
    """How long a time slot of publishing is; 0 without cells, where replies are sent at once.

    Cells share their messages: they answer together, as often as a proxy may be sent a message.
    """
    if not fleet.placement:
        return 0
    messages = fleet.channel.messages_per_window or DEFAULT_MESSAGES_PER_WINDOW
    return max(MIN_SLOT_US, fleet.channel.message_window_us // messages)


def _make_publisher(
    fleet: FleetSettings, identifiers: Identifiers, policies: PolicySet, log: EventLog
) -> Publisher:
    """The publisher for the fleet, with its channel and tables."""
    limits = fleet.channel
    placement = fleet.placement
    channel = Channel(
        queue_limit_lines=limits.queue_limit_lines,
        lines_per_s=limits.lines_per_s,
        messages_per_window=limits.messages_per_window,
        window_us=limits.message_window_us,
    )
    if placement is None:
        tables = PublishedTables(identifiers, limits.message_overhead_lines)
        return DirectPublisher(tables, channel, policies, log)
    tables = PublishedTables(
        identifiers,
        limits.message_overhead_lines,
        _tenant_routes(placement),
        RateLimitsDelta(*msgspec.structs.astuple(placement.limits)) if placement.limits else None,
    )
    budget = ChannelShares(len(policies), limits, fleet.safety.drain_grace_us)
    return CellPublisher(tables, channel, policies, log, budget)


def _policy_channel(fleet: FleetSettings, policy_count: int) -> ChannelLimits:
    """One policy's own view of the channel.

    Of several policies each counts for itself alone what proxies have not acknowledged, and they share the
    messages' overhead. Each gets an even part of the queue, but never less than a message to every proxy
    takes, or it could notify none. The publisher keeps the limits of the whole.
    """
    limits = fleet.channel
    if policy_count == 1:
        return limits
    min_lines = MIN_QUEUE_LINES_PER_PROXY * fleet.proxy_count
    return replace(
        limits,
        queue_limit_lines=max(limits.queue_limit_lines / policy_count, min_lines),
        messages_per_window=0,
        message_overhead_lines=0,
    )


def _tenant_routes(placement: CellPlacement) -> TenantRoutes:
    """Where tenants live; only those are named that do not live where their hash says."""
    ranges = placement.cell_by_range or placement.cells
    moved = {
        tenant: cell
        for tenant, cell in placement.cell_by_tenant.items()
        if cell != home_cell(tenant, ranges, {})
    }
    return TenantRoutes(ranges, moved)
