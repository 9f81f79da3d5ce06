"""Connects one governor with the zone coordination of the fleet.

This module writes the governor's health report and, while the governor is the leader, plans and allocations.
It passes the quotas that the fleet agreed on to the policies. All work happens on the ticks of the
membership. This module does no I/O of its own.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, Generic, TypeVar

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.notifications import CommitOutcome
from gradehoist.coordination.store import Change
from gradehoist.governor.core import GovernorCore
from gradehoist.governor.shell_state import ShellState
from gradehoist.governor.zone_stats import ZoneStats
from gradehoist.membership.service import Membership
from gradehoist.protocol.feed import ProxyLoadReport
from gradehoist.settings.fleet import CoordinationSettings, FleetSettings
from gradehoist.zones.coordinator import (
    ALLOCATION_KEY,
    PLAN_KEY,
    REPORTS_PREFIX,
    CoordinatorConfig,
    ZoneCoordinator,
    ZoneQuotas,
)
from gradehoist.zones.evacuation import ClassConstraints, EvacuationPlan, EvacuationTiming
from gradehoist.zones.health import NO_PLAN, HealthReport
from gradehoist.zones.warmup_quota import QuotaAllocation

Version = TypeVar("Version")

ELECTION = "zones"
# An endpoint list counts as lost if it is not confirmed for this long; requests for it are held for 5 s.
LIST_TIMEOUT_US = 15_000_000
TICK_INTERVAL_US = 500_000  # short enough, as a step of an evacuation takes seconds to have an effect
REPORT_INTERVAL_US = 3_000_000  # maximum time between two reports
REPORT_TTL_US = 3 * REPORT_INTERVAL_US  # older reports are ignored
PLANNING_PERIODS = 2  # load report periods within which a policy plans once for each group of proxies


class _RecordKind(Enum):
    """The kinds of records that this governor writes, each with at most one write in progress."""

    REPORT = "report"
    PLAN = "plan"
    ALLOCATION = "allocation"


class _VersionTracker(Generic[Version]):
    """Tracks when a version of the plan or the allocation is applied in the tables of all proxies.

    Attributes:
        applied: the version that the tables of all proxies contain.
    """

    def __init__(self, version: Version) -> None:
        """Starts with a version that all tables contain."""
        self.applied = version
        self._latest = version
        self._ordered_us = 0  # when the policies will have ordered the changes of the latest version

    def begin(self, version: Version, ordered_us: int) -> None:
        """Sets the current version; the policies will have ordered its changes at `ordered_us`."""
        if version != self._latest:
            self._latest = version
            self._ordered_us = ordered_us

    def advance(self, now_us: int, core: GovernorCore) -> None:
        """Marks the version as applied once all proxies have acknowledged it."""
        if self.applied == self._latest or now_us < self._ordered_us:
            return
        if core.is_acknowledged(self._ordered_us):
            self.applied = self._latest


class ZoneCoordination:
    """Connects the zone coordinator with the membership and the core. The service owns it.

    Attributes:
        stats: observations of each zone by this governor.
    """

    def __init__(
        self, shell: ShellState, timing: EvacuationTiming, membership: Membership, now_us: int
    ) -> None:
        """Creates the coordination and registers its listeners with the membership."""
        fleet = shell.core.fleet
        self.stats = ZoneStats(fleet, now_us)
        self._core = shell.core
        self._own_zone = shell.settings.zone
        self._events_pending = shell.signals.events_pending
        self._log = shell.log
        self._membership = membership
        self._coordinator = _make_coordinator(fleet, timing, membership)
        self._election = membership.join_election(ELECTION, membership.settings.lost_after_us)
        self._planning_us = PLANNING_PERIODS * fleet.load_reporting.period_us
        self._ticked_us = now_us  # the membership's last tick, including ticks on which nothing was due
        self._next_tick_us = 0
        self._list_confirmed_us = now_us
        self._quotas = ZoneQuotas({}, 1.0, {})
        self._warming_up: tuple[str, ...] = ()
        self._plan = _VersionTracker(NO_PLAN)
        self._allocation = _VersionTracker(-1)
        self._reported = (self._plan.applied, self._allocation.applied)
        self._reported_us = -REPORT_INTERVAL_US
        self._pending_writes = dict[_RecordKind, str]()  # the token of the proposal, by kind of record
        membership.key_listeners.append(self._handle_change)
        membership.proposal_listeners.append(self._handle_outcome)
        membership.tick_listeners.append(self.tick)
        membership.failure_listeners.append(self.release_quotas)

    def status(self) -> dict[str, Any]:
        """Returns the `zones` object of the HTTP status."""
        health = self._coordinator.health
        plan = self._coordinator.plan
        allocation = self._coordinator.allocation
        return {
            "plan": [plan.generation, plan.step],
            "zones": {zone: step.traffic_share for zone, step in plan.zones.items()},
            "levels": plan.admission_limits,
            "in_force": dict(self._quotas.zone_quotas),
            "cold": self._quotas.warmup_quota,
            "seen": {zone: state.value for zone, state in health.zones.items()} if health else {},
            "trouble": health.fault.value if health else "",
            "part": allocation.quotas.get(self._coordinator.incarnation, 0.0),
        }

    def confirm_endpoint_list(self, now_us: int) -> None:
        """Records that the list service has confirmed the endpoint list."""
        self._list_confirmed_us = now_us

    def add_load_report(self, now_us: int, report: ProxyLoadReport) -> None:
        """Counts a load report that the core has accepted."""
        identifiers = self._core.identifiers
        stream = self._core.streams[identifiers.proxies[report.proxy]]
        zone = identifiers.zones.names[stream.zone]
        self.stats.add_load_report(now_us, zone, report, self._core.endpoint_list.endpoints)

    def tick(self, now_us: int) -> None:
        """Does the periodic work that is due; called on each tick of the membership."""
        self._ticked_us = now_us
        if now_us < self._next_tick_us:
            return
        self._next_tick_us = now_us + TICK_INTERVAL_US
        is_joined = self._membership.participant.is_joined
        if is_joined:
            self._coordinator.on_store_recovered(now_us)
        else:
            self._coordinator.on_store_lost(now_us)
        self._apply_quotas(now_us)
        self._advance_trackers(now_us)
        if not is_joined:
            return
        self._write_report(now_us)
        # Every governor assesses the zones, because the next leader has to know their capacity.
        self._coordinator.assess_health(now_us)
        if self._election.fencing_token is not None:
            self._write_decisions(now_us, self._election.fencing_token)

    def release_quotas(self) -> None:
        """Ends all quotas, as they would never change again once the membership has failed."""
        self._core.set_quotas({}, {}, {})
        self._events_pending.set()

    def _handle_change(self, key: str) -> None:
        """Passes a changed record of the coordination store to the coordinator."""
        participant = self._membership.participant
        if key == PLAN_KEY:
            self._handle_plan(participant.decode_record(PLAN_KEY, EvacuationPlan))
        elif key == ALLOCATION_KEY:
            self._coordinator.on_allocation(participant.decode_record(ALLOCATION_KEY, QuotaAllocation))
        elif key.startswith(REPORTS_PREFIX):
            observer = key.removeprefix(REPORTS_PREFIX)
            report = participant.decode_record(key, HealthReport)
            self._coordinator.on_report(self._ticked_us, observer, report)

    def _handle_plan(self, plan: EvacuationPlan | None) -> None:
        before = self._coordinator.plan
        if not self._coordinator.on_plan(self._ticked_us, plan):
            self._log.warning("zone_plan_rejected", key=PLAN_KEY)
            return
        current = self._coordinator.plan
        if current.zones == before.zones and current.admission_limits == before.admission_limits:
            return
        self._log.info(
            "zone_plan_changed",
            generation=current.generation,
            step=current.step,
            traffic_shares={zone: step.traffic_share for zone, step in current.zones.items()},
            reasons={zone: step.reason for zone, step in current.zones.items()},
            admission_limits=current.admission_limits,
        )

    def _handle_outcome(self, token: str, outcome: CommitOutcome) -> None:
        """Removes a finished proposal from the pending writes, whatever its outcome."""
        self._pending_writes = {
            kind: pending for kind, pending in self._pending_writes.items() if pending != token
        }

    def _apply_quotas(self, now_us: int) -> None:
        """Gives the policies the current quotas if they have changed."""
        quotas = self._coordinator.current_quotas(now_us, self.stats.request_rate)
        warming_up = self._core.warming_up_replicas(now_us) if quotas.warmup_quota < 1.0 else ()
        if quotas == self._quotas and warming_up == self._warming_up:
            return
        self._quotas = quotas
        self._warming_up = warming_up
        self._core.set_quotas(
            quotas.zone_quotas,
            dict.fromkeys(warming_up, quotas.warmup_quota),
            quotas.admission_limits,
        )
        self._events_pending.set()

    def _advance_trackers(self, now_us: int) -> None:
        plan = self._coordinator.plan
        ordered_us = now_us + self._planning_us
        self._plan.begin(plan.version, ordered_us)
        self._allocation.begin(self._coordinator.allocation.generation, ordered_us)
        self._plan.advance(now_us, self._core)
        self._allocation.advance(now_us, self._core)

    def _write_report(self, now_us: int) -> None:
        """Writes the health report if the applied versions have changed or the last report is outdated."""
        applied = (self._plan.applied, self._allocation.applied)
        is_recent = now_us - self._reported_us < REPORT_INTERVAL_US
        if _RecordKind.REPORT in self._pending_writes or (applied == self._reported and is_recent):
            return
        self._reported = applied
        self._reported_us = now_us
        participant = self._membership.participant
        report = self._make_report(now_us)
        change = participant.build_put(
            REPORTS_PREFIX + participant.identity.name, report, owned_by_session=True
        )
        self._propose(_RecordKind.REPORT, change)

    def _make_report(self, now_us: int) -> HealthReport:
        stats = self.stats.snapshot(now_us, self._core.endpoint_list)
        return HealthReport(
            zone=self._own_zone,
            requests_per_s=stats.requests_per_s,
            list_age_us=now_us - self._list_confirmed_us,
            observations=stats.observations,
            window_us=stats.window_us,
            offered_by_zone=stats.offered_by_zone,
            incarnation=self._coordinator.incarnation,
            applied_plan=self._plan.applied,
            applied_allocation=self._allocation.applied,
        )

    def _write_decisions(self, now_us: int, token: FencingToken) -> None:
        """Writes the next plan and the next allocation if they are due; only the leader calls it."""
        participant = self._membership.participant
        if _RecordKind.PLAN not in self._pending_writes:
            plan = self._coordinator.next_plan(now_us, token)
            if plan is not None:
                self._propose(_RecordKind.PLAN, participant.build_put(PLAN_KEY, plan))
        if _RecordKind.ALLOCATION not in self._pending_writes:
            allocation = self._coordinator.next_allocation(now_us, token)
            if allocation is not None:
                self._propose(_RecordKind.ALLOCATION, participant.build_put(ALLOCATION_KEY, allocation))

    def _propose(self, kind: _RecordKind, change: Change) -> None:
        if token := self._membership.propose(change):
            self._pending_writes[kind] = token


def _make_coordinator(
    fleet: FleetSettings, timing: EvacuationTiming, membership: Membership
) -> ZoneCoordinator:
    settings: CoordinationSettings = membership.settings
    constraints = {
        request_class.name: ClassConstraints(
            request_class.priority_weight,
            None if request_class.allowed_zones is None else frozenset(request_class.allowed_zones),
            request_class.zone_local,
        )
        for request_class in fleet.classes
    }
    # Proxies may use the tables of a stopped governor until they have joined another governor.
    drain_timeout_us = fleet.poll_hold_us + fleet.silence_limit_us + fleet.safety.drain_grace_us
    config = CoordinatorConfig(
        classes=constraints,
        timing=timing,
        drain_timeout_us=drain_timeout_us,
        report_ttl_us=REPORT_TTL_US,
        list_ttl_us=LIST_TIMEOUT_US,
        fallback_hold_us=settings.fallback_hold_us,
        fallback_ramp_us=settings.fallback_ramp_us,
    )
    return ZoneCoordinator(membership.participant.identity.incarnation, config)
