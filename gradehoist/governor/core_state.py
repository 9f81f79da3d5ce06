"""The state that the parts of a governor's core share, and its construction from the settings.

This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from gradehoist.cells.channel_shares import ChannelShares, publishing_slot_us
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

NO_CELLS = ("",)  # a fleet without cells is treated as one unnamed cell with all replicas
# Each policy's share of the queue has to fit a message to every proxy.
MIN_QUEUE_LINES_PER_PROXY = 4


@dataclass(frozen=True, slots=True)
class CoreState:
    """The state that the parts of one core share.

    Attributes:
        fleet: settings of the fleet.
        epoch: identifier of this run of the governor.
        identifiers: the indices of zones, kinds, classes, replicas and proxies.
        policies: the policies and their pending events.
        publisher: sends the policies' orders to the proxies.
        endpoint_list: the known replicas.
        load_reports: load reports that have not been passed to the policies yet.
        log: events that have not been written yet.
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
    """Returns the state of a governor that has just started."""
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
    """Returns the names of the cells, one for each policy."""
    return fleet.placement.cells if fleet.placement else NO_CELLS


def _make_identifiers(fleet: FleetSettings) -> Identifiers:
    """Returns the identifiers of the zones, kinds and classes; each cell has its own classes."""
    labels = [
        class_label(cell, request_class.name)
        for cell in _cell_names(fleet)
        for request_class in fleet.classes
    ]
    return Identifiers(fleet.zones, fleet.kinds, labels, max_proxies=fleet.proxy_count)


def _make_policies(fleet: FleetSettings) -> PolicySet:
    """Returns one policy for each cell."""
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
    """Returns the configuration of each policy; their seeds are consecutive from `seed`."""
    cell_count = len(_cell_names(fleet))
    channel = _policy_channel(fleet, cell_count)
    return [policy_config(fleet, identifiers, seed + number, channel) for number in range(cell_count)]


def slot_us(fleet: FleetSettings) -> int:
    """Returns the length of a publishing time slot; 0 without cells, where replies are sent at once."""
    return publishing_slot_us(fleet.channel) if fleet.placement else 0


def _make_publisher(
    fleet: FleetSettings, identifiers: Identifiers, policies: PolicySet, log: EventLog
) -> Publisher:
    """Returns the publisher for the fleet, with its channel and tables."""
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
    """Returns the channel limits that one policy observes.

    Each policy counts only its own unacknowledged lines, and several policies share a message's overhead.
    Each gets an equal share of the queue, but at least the lines of a message to every proxy: with less, it
    could notify none of them. The publisher enforces the limits of the whole channel, and with cells it also
    decides when a withdrawal waits for others.
    """
    limits = fleet.channel
    if not fleet.placement:
        return limits
    if policy_count == 1:
        return replace(limits, messages_per_window=0)
    min_lines = MIN_QUEUE_LINES_PER_PROXY * fleet.proxy_count
    return replace(
        limits,
        queue_limit_lines=max(limits.queue_limit_lines / policy_count, min_lines),
        messages_per_window=0,
        message_overhead_lines=0,
    )


def _tenant_routes(placement: CellPlacement) -> TenantRoutes:
    """Returns the tenants' routes; only tenants outside the cell of their hash are listed by name."""
    ranges = placement.cell_by_range or placement.cells
    moved = {
        tenant: cell
        for tenant, cell in placement.cell_by_tenant.items()
        if cell != home_cell(tenant, ranges, {})
    }
    return TenantRoutes(ranges, moved)
