"""A governor's hands in what all agree on zones: its view out, plan and deal in, ceilings to the module."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.notifications import CommitOutcome
from gradehoist.coordination.store import Change
from gradehoist.governor.core import GovernorCore
from gradehoist.governor.zone_stats import ZoneStats
from gradehoist.membership.service import Membership
from gradehoist.settings.fleet import FleetSettings
from gradehoist.zones.coordinator import ALLOCATION_KEY, PLAN_KEY, REPORTS_PREFIX, ZoneCoordinator, ZoneQuotas
from gradehoist.zones.evacuation import ClassConstraints, EvacuationPlan, EvacuationTiming
from gradehoist.zones.health import HealthReport
from gradehoist.zones.warmup_quota import QuotaAllocation

T = TypeVar("T")
LISTED = 15_000_000  # µs: a list that was not confirmed for so long is lost; roster calls are held for 5 s
TURN = 500_000  # µs between looks: a step takes seconds to show anyway
SAID = 3_000_000  # a view is written so often at least; others take none for twice as long and more as fresh


@dataclass
class Told(Generic[T]):
    """Of plan or deal: the `latest` that the module was told, from when (µs) its orders are out, and the one
    that all relays' tables hold."""

    latest: T
    due: int = 0

    def __post_init__(self) -> None:
        self.holds = self.latest

    def told(self, what: T, due: int) -> None:
        if what != self.latest:
            self.latest, self.due = what, due


class ZoneCoordination:
    """`told` is called after the module has something new to hear. All on the membership's turns."""

    def __init__(
        self,
        fleet: FleetSettings,
        rules: EvacuationTiming,
        own_zone: str,
        core: GovernorCore,
        member: Membership,
        told: Callable[[], None],
        log: Callable[..., None],
        now: int,
    ) -> None:
        self.core, self.membership, self.stats = core, member, ZoneStats(fleet, now)
        self._own_zone, self._told, self._log = own_zone, told, log
        self._turns = (
            2 * fleet.load_reporting.period_us
        )  # in which the module gives each group of relays its turn
        settings = member.settings
        classes = {
            c.name: ClassConstraints(
                c.priority_weight,
                None if c.allowed_zones is None else frozenset(c.allowed_zones),
                c.zone_local,
            )
            for c in fleet.classes
        }
        # Tables of one that has gone may be sent by until its relays have joined others.
        linger = fleet.poll_hold_us + fleet.silence_limit_us + fleet.safety.drain_grace_us
        self.coordinator = ZoneCoordinator(
            member.agent.identity.incarnation,
            classes,
            rules,
            linger,
            3 * SAID,
            LISTED,
            settings.fallback_hold_us,
            settings.fallback_ramp_us,
        )
        self.claim = member.join_election("zones", settings.lost_after_us)
        member.key_listeners.append(self._changed)
        member.proposal_listeners.append(self._settled)
        member.tick_listeners.append(self.tick)
        member.failure_listeners.append(self.release_quotas)
        self.list_confirmed_us = now  # when the list was last confirmed
        self._next, self._said_at, self._said = 0, -SAID, ((0, 0), -1)
        self._writing = dict[str, str]()  # token by what is being written
        self._now, self._cold = ZoneQuotas({}, 1.0, {}), tuple[str, ...]()
        self._plan, self._deal = Told((0, 0)), Told(-1)
        self._since = now

    def status(self) -> dict[str, Any]:
        verdict = self.coordinator.health
        plan = self.coordinator.plan
        return {
            "plan": [plan.generation, plan.step],
            "zones": {z: s.traffic_share for z, s in plan.zones.items()},
            "levels": plan.admission_limits,
            "in_force": dict(self._now.zone_quotas),
            "cold": self._now.warmup_quota,
            "seen": {z: s.value for z, s in verdict.zones.items()} if verdict else {},
            "trouble": verdict.fault.value if verdict else "",
            "part": self.coordinator.allocation.quotas.get(self.coordinator.incarnation, 0.0),
        }

    def _changed(self, key: str) -> None:
        agent, at = self.membership.agent, self._since
        if key == PLAN_KEY:
            before = self.coordinator.plan
            if not self.coordinator.on_plan(at, agent.decode_record(PLAN_KEY, EvacuationPlan)):
                self._log("zones_older_plan", True, key=key)
            elif (
                self.coordinator.plan.zones != before.zones
                or self.coordinator.plan.admission_limits != before.admission_limits
            ):
                self._log(
                    "zones_plan",
                    False,
                    gen=self.coordinator.plan.generation,
                    step=self.coordinator.plan.step,
                    zones={z: s.traffic_share for z, s in self.coordinator.plan.zones.items()},
                    why={z: s.reason for z, s in self.coordinator.plan.zones.items()},
                    levels=self.coordinator.plan.admission_limits,
                )
        elif key == ALLOCATION_KEY:
            self.coordinator.on_allocation(agent.decode_record(ALLOCATION_KEY, QuotaAllocation))
        elif key.startswith(REPORTS_PREFIX):
            self.coordinator.on_report(
                at, key.removeprefix(REPORTS_PREFIX), agent.decode_record(key, HealthReport)
            )

    def _settled(self, token: str, outcome: CommitOutcome) -> None:
        self._writing = {what: t for what, t in self._writing.items() if t != token}

    def tick(self, now: int) -> None:
        self._since = now
        if now < self._next:
            return
        self._next = now + TURN
        (
            self.coordinator.on_store_recovered
            if self.membership.agent.is_joined
            else self.coordinator.on_store_lost
        )(now)
        self._tell(now)
        if self.membership.agent.is_joined:
            self._say(now)
            self.coordinator.assess_health(now)  # all do: the next one to lead has to know what zones can do
            if self.claim.fencing_token is not None:
                self._decide(now, self.claim.fencing_token)

    def _tell(self, now: int) -> None:
        """The ceilings in force to the module, where they changed; then what its tables hold."""
        stands = self.coordinator.current_quotas(now, self.stats.request_rate)
        cold = self.core.warming_up_replicas(now) if stands.warmup_quota < 1.0 else ()
        if (stands, cold) != (self._now, self._cold):
            self._now, self._cold = stands, cold
            self.core.set_quotas(
                stands.zone_quotas, dict.fromkeys(cold, stands.warmup_quota), stands.admission_limits
            )
            self._told()
        plan = self.coordinator.plan
        self._plan.told((plan.generation, plan.step), now + self._turns)
        self._deal.told(self.coordinator.allocation.generation, now + self._turns)
        for one in (self._plan, self._deal):
            if one.holds != one.latest and now >= one.due and self.core.is_acknowledged(one.due):
                one.holds = one.latest

    def _say(self, now: int) -> None:
        """The view, where what it confirms has changed or the last one grows old."""
        holds = self._plan.holds, self._deal.holds
        if "view" in self._writing or (holds == self._said and now - self._said_at < SAID):
            return
        self._said, self._said_at = holds, now
        roster = self.core.endpoint_list
        view = self.stats.health_report(
            now,
            self._own_zone,
            self.coordinator.incarnation,
            now - self.list_confirmed_us,
            roster.endpoints,
            roster.start_times_us(),
            *holds,
        )
        self._write(
            "view",
            self.membership.agent.build_put(
                REPORTS_PREFIX + self.membership.agent.identity.name, view, owned_by_session=True
            ),
        )

    def _decide(self, now: int, right: FencingToken) -> None:
        if "plan" not in self._writing and (plan := self.coordinator.next_plan(now, right)) is not None:
            self._write("plan", self.membership.agent.build_put(PLAN_KEY, plan))
        if "deal" not in self._writing and (deal := self.coordinator.next_allocation(now, right)) is not None:
            self._write("deal", self.membership.agent.build_put(ALLOCATION_KEY, deal))

    def _write(self, what: str, change: Change) -> None:
        if token := self.membership.propose(change):
            self._writing[what] = token

    def release_quotas(self) -> None:
        """No more turns come: a bug in what they share. Held for good, the last ceilings would outlive it."""
        self.core.set_quotas({}, {}, {})
        self._told()
