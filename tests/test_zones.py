"""Tests of the health assessment of zones, the quota allocation among governors, and the zone coordinator."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

import msgspec
import pytest

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.store import Put, check_sizes
from gradehoist.zones.coordinator import CoordinatorConfig, ZoneCoordinator
from gradehoist.zones.evacuation import EvacuationPlan, EvacuationTiming, ZoneEvacuation
from gradehoist.zones.health import FleetFault, HealthAssessor, HealthReport, ZoneObservation, ZoneState
from gradehoist.zones.warmup_quota import QuotaAllocation, next_allocation

SECOND = 1_000_000
HEALTHY = ZoneObservation(attempts=100, failures=2, late_responses=3, ready_replicas=10)
FAILING = ZoneObservation(attempts=100, failures=90, late_responses=3, ready_replicas=10, silent_replicas=2)
SLOW = ZoneObservation(attempts=100, failures=5, late_responses=80, ready_replicas=10)
ZONES = ("x", "y", "z")

Observations = dict[str, ZoneObservation]


def make_report(
    zone: str, unhealthy: Observations, requests_per_s: float = 100.0, list_age_us: int = 0
) -> HealthReport:
    """Returns a report with the observations `unhealthy`, in which all other zones are healthy."""
    return HealthReport(
        zone=zone,
        requests_per_s=requests_per_s,
        list_age_us=list_age_us,
        observations={z: unhealthy.get(z, HEALTHY) for z in ZONES},
    )


def make_assessor(*observers: tuple[str, Observations], list_age_us: int = 0) -> HealthAssessor:
    """Returns an assessor with reports of observers, given by zone and unhealthy observations."""
    assessor = HealthAssessor(report_ttl_us=10 * SECOND, list_ttl_us=20 * SECOND)
    for number, (zone, unhealthy) in enumerate(observers):
        assessor.record_report(0, f"g{number}", make_report(zone, unhealthy, list_age_us=list_age_us))
    return assessor


def observed_by_all(zone: str, observation: ZoneObservation) -> list[tuple[str, Observations]]:
    """Returns two observers in each zone, all of which have the same observation of one zone."""
    return [(z, {zone: observation}) for z in ZONES for _ in range(2)]


@dataclass(frozen=True)
class FaultCase:
    """The input and the expected result of an assessment.

    Attributes:
        observers: The zone of each observer, and its observations that are not healthy.
        states: The expected states of zones that are not healthy.
        fault: The expected fault of the fleet.
        excluded_count: The expected number of excluded observers.
    """

    observers: list[tuple[str, Observations]]
    states: dict[str, ZoneState]
    fault: FleetFault = FleetFault.NONE
    excluded_count: int = 0


FAULT_CASES = {
    "no fault": FaultCase([(z, {}) for z in ZONES], {}),
    "a zone is failing": FaultCase(observed_by_all("x", FAILING), {"x": ZoneState.FAILING}),
    "only a zone's own observers can reach it": FaultCase(
        [("x", {}), ("x", {}), ("y", {"x": FAILING}), ("z", {"x": FAILING})], {"x": ZoneState.PARTITIONED}
    ),
    "observers in a partitioned zone observe failures in all other zones": FaultCase(
        [
            ("x", {"y": FAILING, "z": FAILING}),
            ("x", {"y": FAILING, "z": FAILING}),
            ("y", {"x": FAILING}),
            ("z", {"x": FAILING}),
        ],
        {"x": ZoneState.PARTITIONED},
        excluded_count=2,
    ),
    "an observer is isolated from all zones, including its own": FaultCase(
        [("x", {"x": FAILING, "y": FAILING, "z": FAILING}), ("x", {}), ("y", {}), ("z", {})],
        {},
        excluded_count=1,
    ),
    "a zone is slow": FaultCase(observed_by_all("x", SLOW), {"x": ZoneState.SLOW}),
    "a bad release fails in every zone": FaultCase(
        [(z, {"x": FAILING, "y": FAILING, "z": FAILING}) for z in ZONES],
        {"x": ZoneState.FAILING, "y": ZoneState.FAILING, "z": ZoneState.FAILING},
        fault=FleetFault.MOST_ZONES_FAILING,
    ),
    "one zone is failing while another is slow": FaultCase(
        [(z, {"x": FAILING, "y": SLOW}) for z in ZONES],
        {"x": ZoneState.FAILING, "y": ZoneState.SLOW},
    ),
    "one zone is failing while an observer falsely reports another one as failing": FaultCase(
        [*observed_by_all("x", FAILING), ("z", {"x": FAILING, "y": FAILING})], {"x": ZoneState.FAILING}
    ),
}


@pytest.mark.parametrize("case", FAULT_CASES.values(), ids=FAULT_CASES.keys())
def test_faults_are_distinguished_from_each_other(case: FaultCase) -> None:
    health = make_assessor(*case.observers).assess(SECOND)

    assert health.zones == {z: case.states.get(z, ZoneState.HEALTHY) for z in ZONES}
    assert health.fault is case.fault
    assert len(health.excluded_observers) == case.excluded_count


def test_a_lost_endpoint_list_makes_no_zone_unhealthy() -> None:
    health = make_assessor(*((z, {}) for z in ZONES), list_age_us=30 * SECOND).assess(SECOND)

    assert health.fault is FleetFault.DISCOVERY_LOST
    assert set(health.zones.values()) == {ZoneState.HEALTHY}


def test_a_single_false_report_changes_nothing_regardless_of_the_traffic_it_claims() -> None:
    fleet = make_assessor(("x", {}), ("y", {}), ("z", {}))
    fleet.record_report(0, "false", make_report("y", {"x": FAILING}, requests_per_s=1e9))

    assert fleet.assess(SECOND).zones["x"] is ZoneState.HEALTHY


def test_reports_that_are_not_renewed_are_ignored() -> None:
    fleet = make_assessor(*observed_by_all("x", FAILING))
    fleet.record_report(9 * SECOND, "new", make_report("x", {}, requests_per_s=1.0))

    assert fleet.assess(9 * SECOND).zones["x"] is ZoneState.FAILING
    assert fleet.assess(12 * SECOND).zones["x"] is ZoneState.HEALTHY


@pytest.mark.parametrize(
    ("observation", "state"),
    [
        (ZoneObservation(attempts=10, failures=9), ZoneState.UNOBSERVED),
        (ZoneObservation(ready_replicas=10, health_checks=4, failed_health_checks=4), ZoneState.FAILING),
        (ZoneObservation(ready_replicas=10, silent_replicas=10, health_checks=4), ZoneState.HEALTHY),
    ],
    ids=["too few attempts", "failed health checks", "successful health checks"],
)
def test_health_checks_decide_if_a_zone_gets_no_traffic(
    observation: ZoneObservation, state: ZoneState
) -> None:
    health = make_assessor(*((z, {"x": observation}) for z in ZONES)).assess(SECOND)

    assert health.zones["x"] is state


Allocator = Callable[
    [QuotaAllocation, str, Mapping[str, float], Mapping[str, int], Collection[str]], QuotaAllocation | None
]


@dataclass(frozen=True)
class QuotaUse:
    """The result of a simulation.

    Attributes:
        peak: The largest total use at any time.
        final: The total use after the rounds without faults at the end.
        member_count: The number of members that run at the end.
    """

    peak: float
    final: float
    member_count: int


class QuotaSimulation:
    """Members that start, die, hang and change their traffic while quotas are allocated to them.

    Attributes:
        random: The generator of all random choices.
        allocate: The function that makes the next allocation.
        allocation: The allocation in force.
        traffic: Requests per second of each member that runs.
        started: Number of members that were started.
        in_use: The quota that each member's tables use, also after its death.
        confirmed: Generation of the allocation that each member has confirmed.
        departed: Members whose tables are no longer used.
    """

    def __init__(self, seed: int, allocate: Allocator) -> None:
        self.random = random.Random(seed)
        self.allocate = allocate
        self.allocation = QuotaAllocation(0, "first")
        self.traffic = dict[str, float]()
        self.started = 0
        self.in_use = dict[str, float]()
        self.confirmed = dict[str, int]()
        self.departed = set[str]()

    def run(self) -> QuotaUse:
        peak = 0.0
        for _ in range(300):
            self.step()
            peak = max(peak, sum(self.in_use.values()))
        for _ in range(6):
            self.quiet_round()
        return QuotaUse(peak=peak, final=sum(self.in_use.values()), member_count=len(self.traffic))

    def step(self) -> None:
        match self.random.randrange(9):
            case 0 | 1:
                self.started += 1
                self.traffic[f"m{self.started}"] = self.random.random() * 100
                self.in_use[f"m{self.started}"] = 0.0
            case 2 if self.traffic:
                # A member dies. Its tables are used until its drain timeout has passed.
                self.traffic.pop(self.random.choice(sorted(self.traffic)))
            case 3 if dead := sorted(self.in_use.keys() - self.traffic.keys()):
                self.end_drain(self.random.choice(dead))
            case 4 | 5 if self.traffic:
                # A member that does not hang applies the allocation.
                member = self.random.choice(sorted(self.traffic))
                if member in self.allocation.quotas:
                    self.follow(member)
            case 6 if self.traffic:
                self.traffic[self.random.choice(sorted(self.traffic))] = self.random.random() * 100
            case _ if self.traffic:
                self.allocate_next(f"d{self.random.randrange(3)}")

    def quiet_round(self) -> None:
        """Runs a round in which all dead members have drained and all others confirm the allocation."""
        for member in sorted(self.in_use.keys() - self.traffic.keys()):
            self.end_drain(member)
        self.allocate_next("d")
        for member in self.traffic:
            self.follow(member)

    def end_drain(self, member: str) -> None:
        self.departed.add(member)
        del self.in_use[member]

    def follow(self, member: str) -> None:
        self.in_use[member] = self.allocation.quotas[member]
        self.confirmed[member] = self.allocation.generation

    def allocate_next(self, leader: str) -> None:
        allocation = self.allocate(self.allocation, leader, self.traffic, self.confirmed, self.departed)
        self.allocation = allocation or self.allocation


@pytest.mark.parametrize("seed", range(60))
def test_the_quotas_in_use_never_exceed_the_whole_when_members_start_die_or_hang(seed: int) -> None:
    use = QuotaSimulation(seed, next_allocation).run()

    assert use.peak <= 1 + 1e-9
    assert not use.member_count or 0.85 <= use.final <= 1 + 1e-9


def test_the_simulation_detects_an_allocation_that_ignores_quotas_in_use() -> None:
    def allocate_by_traffic(
        current: QuotaAllocation,
        leader: str,
        requests_per_s: Mapping[str, float],
        confirmed: Mapping[str, int],
        departed: Collection[str],
    ) -> QuotaAllocation:
        total = sum(requests_per_s.values())
        quotas = {member: traffic / total for member, traffic in requests_per_s.items()}
        return QuotaAllocation(
            generation=current.generation + 1, leader=leader, quotas=quotas, upper_bounds=quotas
        )

    peaks = [QuotaSimulation(seed, allocate_by_traffic).run().peak for seed in range(10)]

    assert sum(peak > 1.01 for peak in peaks) >= 5


def test_an_allocation_of_1024_members_fits_a_record_and_is_kept_if_traffic_varies_little() -> None:
    traffic = {f"governor-in-some-zone-{n:04d}-1a2b3c4d": 10.0 + n % 7 for n in range(1_024)}
    first = next_allocation(QuotaAllocation(0, ""), "g", traffic, {}, ())
    assert first is not None
    check_sizes((Put("zones/deal", msgspec.json.encode(first), 0),))
    confirmed = dict.fromkeys(traffic, first.generation)
    varied = {member: x * (0.97 + n % 3 * 0.03) for n, (member, x) in enumerate(traffic.items())}

    assert next_allocation(first, "g", varied, confirmed, ()) is None


@pytest.fixture
def coordinator() -> ZoneCoordinator:
    """Returns a coordinator that has adopted step 4 of generation 3, whose leader is b."""
    config = CoordinatorConfig(
        classes={},
        timing=EvacuationTiming(settle_us=0, min_healthy_us=0, max_healthy_us=0),
        drain_timeout_us=0,
        report_ttl_us=SECOND,
        list_ttl_us=SECOND,
        fallback_hold_us=SECOND,
        fallback_ramp_us=SECOND,
    )
    zone_coordinator = ZoneCoordinator("run", config)
    plan = EvacuationPlan(generation=3, leader="b", step=4, zones={"x": ZoneEvacuation(0.5)})
    assert zone_coordinator.on_plan(0, plan)
    return zone_coordinator


@pytest.mark.parametrize("token", [FencingToken(2, "a"), FencingToken(3, "a")])
def test_a_leader_that_was_replaced_takes_no_step(coordinator: ZoneCoordinator, token: FencingToken) -> None:
    assert coordinator.next_plan(0, token) is None


def test_a_new_leader_first_writes_the_plan_under_its_own_generation(coordinator: ZoneCoordinator) -> None:
    expected = EvacuationPlan(generation=4, leader="a", step=0, zones={"x": ZoneEvacuation(0.5)})

    assert coordinator.next_plan(0, FencingToken(4, "a")) == expected


def test_neither_an_older_plan_nor_a_lost_one_changes_the_agreed_limits(coordinator: ZoneCoordinator) -> None:
    assert not coordinator.on_plan(0, EvacuationPlan(generation=2, leader="a", step=9))
    assert coordinator.on_plan(0, None)
    assert coordinator.current_quotas(0, 1.0).zone_quotas == {"x": 0.5}
