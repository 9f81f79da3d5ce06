"""Health of zones as governors observe and assess it, and the allocation of a quota among them."""

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


def report(
    zone: str, other: Observations, requests_per_s: float = 100.0, list_age_us: int = 0
) -> HealthReport:
    """A report that sees every zone healthy but those in `other`."""
    return HealthReport(
        zone=zone,
        requests_per_s=requests_per_s,
        list_age_us=list_age_us,
        observations={z: other.get(z, HEALTHY) for z in ZONES},
    )


def assessor(*observers: tuple[str, Observations], list_age_us: int = 0) -> HealthAssessor:
    """An assessor with one report of each observer, given by its zone and what it sees not healthy."""
    found = HealthAssessor(report_ttl_us=10 * SECOND, list_ttl_us=20 * SECOND)
    for number, (zone, other) in enumerate(observers):
        found.record_report(0, f"g{number}", report(zone, other, list_age_us=list_age_us))
    return found


def all_see(zone: str, observation: ZoneObservation) -> list[tuple[str, Observations]]:
    """Two observers in each zone that see one zone the same."""
    return [(z, {zone: observation}) for z in ZONES for _ in range(2)]


@dataclass(frozen=True)
class FaultCase:
    """What observers see, and what the assessment has to find: states of zones that are not healthy."""

    observers: list[tuple[str, Observations]]
    states: dict[str, ZoneState]
    fault: FleetFault = FleetFault.NONE
    excluded_count: int = 0


FAULT_CASES = {
    "no fault": FaultCase([(z, {}) for z in ZONES], {}),
    "a zone fails": FaultCase(all_see("x", FAILING), {"x": ZoneState.FAILING}),
    "a zone that only its own observers reach": FaultCase(
        [("x", {}), ("x", {}), ("y", {"x": FAILING}), ("z", {"x": FAILING})], {"x": ZoneState.PARTITIONED}
    ),
    "observers of a partitioned zone see all others fail": FaultCase(
        [
            ("x", {"y": FAILING, "z": FAILING}),
            ("x", {"y": FAILING, "z": FAILING}),
            ("y", {"x": FAILING}),
            ("z", {"x": FAILING}),
        ],
        {"x": ZoneState.PARTITIONED},
        excluded_count=2,
    ),
    "one observer's machine is isolated, from its own zone too": FaultCase(
        [("x", {"x": FAILING, "y": FAILING, "z": FAILING}), ("x", {}), ("y", {}), ("z", {})],
        {},
        excluded_count=1,
    ),
    "a zone is slow": FaultCase(all_see("x", SLOW), {"x": ZoneState.SLOW}),
    "a bad version fails in every zone": FaultCase(
        [(z, {"x": FAILING, "y": FAILING, "z": FAILING}) for z in ZONES],
        {"x": ZoneState.FAILING, "y": ZoneState.FAILING, "z": ZoneState.FAILING},
        fault=FleetFault.MOST_ZONES_FAILING,
    ),
    "one zone fails while another is slow": FaultCase(
        [(z, {"x": FAILING, "y": SLOW}) for z in ZONES],
        {"x": ZoneState.FAILING, "y": ZoneState.SLOW},
    ),
    "one zone fails while an observer reports another falsely": FaultCase(
        [*all_see("x", FAILING), ("z", {"x": FAILING, "y": FAILING})], {"x": ZoneState.FAILING}
    ),
}


@pytest.mark.parametrize("case", FAULT_CASES.values(), ids=FAULT_CASES.keys())
def test_each_fault_is_told_from_the_others(case: FaultCase) -> None:
    found = assessor(*case.observers).assess(SECOND)

    assert found.zones == {z: case.states.get(z, ZoneState.HEALTHY) for z in ZONES}
    assert found.fault is case.fault
    assert len(found.excluded_observers) == case.excluded_count


def test_a_lost_endpoint_list_makes_no_zone_unhealthy() -> None:
    found = assessor(*((z, {}) for z in ZONES), list_age_us=30 * SECOND).assess(SECOND)

    assert found.fault is FleetFault.DISCOVERY_LOST
    assert set(found.zones.values()) == {ZoneState.HEALTHY}


def test_a_false_report_changes_nothing_whatever_traffic_it_claims() -> None:
    fleet = assessor(("x", {}), ("y", {}), ("z", {}))
    fleet.record_report(0, "false", report("y", {"x": FAILING}, requests_per_s=1e9))

    assert fleet.assess(SECOND).zones["x"] is ZoneState.HEALTHY


def test_reports_that_are_not_renewed_stop_counting() -> None:
    fleet = assessor(*all_see("x", FAILING))
    fleet.record_report(9 * SECOND, "new", report("x", {}, requests_per_s=1.0))

    assert fleet.assess(9 * SECOND).zones["x"] is ZoneState.FAILING
    assert fleet.assess(12 * SECOND).zones["x"] is ZoneState.HEALTHY


@pytest.mark.parametrize(
    ("observation", "state"),
    [
        (ZoneObservation(attempts=10, failures=9), ZoneState.UNOBSERVED),
        (ZoneObservation(ready_replicas=10, health_checks=4, failed_health_checks=4), ZoneState.FAILING),
        (ZoneObservation(ready_replicas=10, silent_replicas=10, health_checks=4), ZoneState.HEALTHY),
    ],
    ids=["too few attempts", "failed health checks", "answered health checks"],
)
def test_health_checks_decide_where_no_traffic_is_sent(
    observation: ZoneObservation, state: ZoneState
) -> None:
    found = assessor(*((z, {"x": observation}) for z in ZONES)).assess(SECOND)

    assert found.zones["x"] is state


Allocator = Callable[
    [QuotaAllocation, str, Mapping[str, float], Mapping[str, int], Collection[str]], QuotaAllocation | None
]


@dataclass(frozen=True)
class QuotaUse:
    """Of one simulation: the most in use at once, what is in use after a quiet end, and by how many."""

    peak: float
    final: float
    member_count: int


class QuotaSimulation:
    """Members that start, die, stand still and change their traffic while quotas are allocated to them."""

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
            case 2 if self.traffic:  # its tables are used until the drain timeout is over
                self.traffic.pop(self.random.choice(sorted(self.traffic)))
            case 3 if dead := sorted(self.in_use.keys() - self.traffic.keys()):
                self.end_drain(self.random.choice(dead))
            case 4 | 5 if self.traffic:  # one that does not stand still follows the allocation
                member = self.random.choice(sorted(self.traffic))
                if member in self.allocation.quotas:
                    self.follow(member)
            case 6 if self.traffic:
                self.traffic[self.random.choice(sorted(self.traffic))] = self.random.random() * 100
            case _ if self.traffic:
                self.allocate_next(f"d{self.random.randrange(3)}")

    def quiet_round(self) -> None:
        """All that died have drained, and all others confirm."""
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
        found = self.allocate(self.allocation, leader, self.traffic, self.confirmed, self.departed)
        self.allocation = found or self.allocation


@pytest.mark.parametrize("seed", range(60))
def test_the_quotas_in_use_never_exceed_the_whole_whoever_dies_starts_or_stands_still(seed: int) -> None:
    use = QuotaSimulation(seed, next_allocation).run()

    assert use.peak <= 1 + 1e-9
    assert not use.member_count or 0.85 <= use.final <= 1 + 1e-9


def test_the_simulation_finds_an_allocation_that_ignores_what_is_in_use() -> None:
    def by_traffic_alone(
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

    peaks = [QuotaSimulation(seed, by_traffic_alone).run().peak for seed in range(10)]

    assert sum(peak > 1.01 for peak in peaks) >= 5


def test_an_allocation_among_a_thousand_fits_a_record_and_stands_while_traffic_varies_a_little() -> None:
    traffic = {f"governor-of-some-hall-{n:04d}-1a2b3c4d": 10.0 + n % 7 for n in range(1_024)}
    first = next_allocation(QuotaAllocation(0, ""), "g", traffic, {}, ())
    assert first is not None
    check_sizes((Put("zones/deal", msgspec.json.encode(first), 0),))
    confirmed = dict.fromkeys(traffic, first.generation)
    varied = {member: x * (0.97 + n % 3 * 0.03) for n, (member, x) in enumerate(traffic.items())}

    assert next_allocation(first, "g", varied, confirmed, ()) is None


@pytest.fixture
def coordinator() -> ZoneCoordinator:
    """A coordinator that follows step 4 of generation 3, led by b."""
    config = CoordinatorConfig(
        classes={},
        timing=EvacuationTiming(settle_us=0, min_healthy_us=0, max_healthy_us=0),
        drain_timeout_us=0,
        report_ttl_us=SECOND,
        list_ttl_us=SECOND,
        fallback_hold_us=SECOND,
        fallback_ramp_us=SECOND,
    )
    found = ZoneCoordinator("run", config)
    plan = EvacuationPlan(generation=3, leader="b", step=4, zones={"x": ZoneEvacuation(0.5)})
    assert found.on_plan(0, plan)
    return found


@pytest.mark.parametrize("token", [FencingToken(2, "a"), FencingToken(3, "a")])
def test_a_leader_that_was_replaced_makes_no_step(coordinator: ZoneCoordinator, token: FencingToken) -> None:
    assert coordinator.next_plan(0, token) is None


def test_a_new_leader_first_puts_its_generation_on_the_plan(coordinator: ZoneCoordinator) -> None:
    expected = EvacuationPlan(generation=4, leader="a", step=0, zones={"x": ZoneEvacuation(0.5)})

    assert coordinator.next_plan(0, FencingToken(4, "a")) == expected


def test_neither_an_older_plan_nor_a_lost_one_ends_what_was_agreed(coordinator: ZoneCoordinator) -> None:
    assert not coordinator.on_plan(0, EvacuationPlan(generation=2, leader="a", step=9))
    assert coordinator.on_plan(0, None)
    assert coordinator.current_quotas(0, 1.0).zone_quotas == {"x": 0.5}
