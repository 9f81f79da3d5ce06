"""Tests of the evacuation and the recovery of zones, in steps, against a small model of zones."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
import pytest

from gradehoist.zones.evacuation import (
    ClassConstraints,
    EvacuationPlan,
    EvacuationTiming,
    ZoneEvacuation,
    ZoneLoad,
)
from gradehoist.zones.evacuation_steps import (
    MAX_UTILIZATION,
    FleetConditions,
    compute_admission_limits,
    is_step_confirmed,
    next_plan,
    projected_requests_per_s,
)
from gradehoist.zones.health import FleetFault, FleetHealth, PlanVersion, ZoneState

SECOND = 1_000_000
TIMING = EvacuationTiming(settle_us=3 * SECOND, min_healthy_us=10 * SECOND, max_healthy_us=120 * SECOND)
CLASSES = {"read": ClassConstraints(1.0), "write": ClassConstraints(5.0)}
EMPTY_PLAN = EvacuationPlan(generation=1, leader="a")


@dataclass
class Model:
    """A model of zones that advances by seconds.

    Attributes:
        capacity_per_s: Capacity by zone.
        traffic: Requests per second by zone and request class.
        classes: Constraints by request class.
        unhealthy: State of the zones that are not healthy.
        sustainable_share: Share of its traffic that a zone sustains; 1.0 for zones that are not listed.
        fault: The fault of the fleet.
        plan: The plan in force.
        history: All plans so far.
        healthy_for_us: How long each zone has been healthy.
        now_us: The time.
        last_step_us: When the last step was taken.
    """

    capacity_per_s: dict[str, float] = field(default_factory=lambda: dict.fromkeys("xyz", 200.0))
    traffic: dict[str, dict[str, float]] = field(
        default_factory=lambda: {zone: {"read": 80.0, "write": 20.0} for zone in "xyz"}
    )
    classes: dict[str, ClassConstraints] = field(default_factory=lambda: dict(CLASSES))
    unhealthy: dict[str, ZoneState] = field(default_factory=dict)
    sustainable_share: dict[str, float] = field(default_factory=dict)
    fault: FleetFault = FleetFault.NONE
    plan: EvacuationPlan = EMPTY_PLAN
    history: list[EvacuationPlan] = field(default_factory=list)
    healthy_for_us: dict[str, int] = field(default_factory=dict)
    now_us: int = 0
    last_step_us: int = -(10**9)

    def loads(self, admitted: Mapping[str, float] | None = None) -> dict[str, ZoneLoad]:
        """Returns the load of each zone, reduced to the admitted share of each class."""
        admitted = admitted or {}
        return {
            zone: ZoneLoad(
                requests_per_s_by_class={c: x * admitted.get(c, 1.0) for c, x in self.traffic[zone].items()},
                capacity_per_s=capacity,
                sustainable_share=self.sustainable_share.get(zone, 1.0),
            )
            for zone, capacity in self.capacity_per_s.items()
        }

    def advance_second(self) -> None:
        self.now_us += SECOND
        for zone in self.capacity_per_s:
            healthy_us = self.healthy_for_us.get(zone, 0) + SECOND
            self.healthy_for_us[zone] = 0 if zone in self.unhealthy else healthy_us
        states = {zone: self.unhealthy.get(zone, ZoneState.HEALTHY) for zone in self.capacity_per_s}
        conditions = FleetConditions(
            health=FleetHealth(zones=states, fault=self.fault, excluded_observers={}),
            loads=self.loads(),
            classes=self.classes,
            healthy_for_us=self.healthy_for_us,
            since_last_step_us=self.now_us - self.last_step_us,
        )
        plan = next_plan(self.plan, conditions, TIMING)
        if plan is not None:
            self.plan = plan
            self.last_step_us = self.now_us
            self.history.append(plan)

    def advance(self, seconds: int) -> None:
        for _ in range(seconds):
            self.advance_second()

    def share(self, zone: str) -> float:
        return self.plan.traffic_share(zone)

    def utilization(self) -> dict[str, float]:
        """Returns the utilization of each zone under the plan and its admission limits."""
        evacuations = {zone: self.plan.zones.get(zone, ZoneEvacuation()) for zone in self.capacity_per_s}
        loads = self.loads(self.plan.admission_limits)
        return {
            zone: projected_requests_per_s(zone, evacuations, loads) / capacity
            for zone, capacity in self.capacity_per_s.items()
        }


def test_a_failing_zone_is_evacuated_in_steps_within_the_capacity_of_the_others() -> None:
    model = Model(unhealthy={"x": ZoneState.FAILING})
    shares = []
    for _ in range(60):
        model.advance_second()
        shares.append(model.share("x"))
        others = [utilization for zone, utilization in model.utilization().items() if zone != "x"]
        assert max(others) <= MAX_UTILIZATION + 1e-9
    assert shares[-1] == 0.0
    assert shares == sorted(shares, reverse=True)
    assert len(set(shares)) >= 2
    assert not model.plan.admission_limits
    assert model.share("y") == model.share("z") == 1.0


def test_traffic_beyond_the_others_capacity_is_shed_by_one_limit_lowest_priority_first() -> None:
    model = Model(capacity_per_s={"x": 200.0, "y": 130.0, "z": 130.0}, unhealthy={"x": ZoneState.FAILING})

    model.advance(90)

    assert model.share("x") == 0.0
    assert set(model.plan.admission_limits) == {"read"}
    admitted = sum(load.requests_per_s for load in model.loads(model.plan.admission_limits).values())
    assert admitted <= MAX_UTILIZATION * 260
    assert admitted > MAX_UTILIZATION * 260 * 0.9


def test_admission_limits_shed_the_class_of_the_lowest_priority_first() -> None:
    limits = compute_admission_limits({"read": 50, "write": 50}, CLASSES, 30)

    assert limits == {"write": 0.6, "read": 0.0}


def test_the_last_zone_is_never_evacuated() -> None:
    model = Model(unhealthy={"x": ZoneState.FAILING, "y": ZoneState.FAILING})
    model.advance(120)
    assert model.share("z") == 1.0
    # The zone can serve 170 of 300 requests per second.
    assert model.plan.admission_limits

    model.unhealthy["z"] = ZoneState.FAILING
    model.advance(60)
    assert model.share("z") == 1.0

    alone = Model(
        capacity_per_s={"x": 500.0},
        traffic={"x": {"read": 10.0}},
        unhealthy={"x": ZoneState.FAILING},
    )
    alone.advance(30)
    assert alone.share("x") == 1.0


def test_a_zone_is_not_evacuated_if_the_others_lack_the_capacity_to_replace_it() -> None:
    model = Model(capacity_per_s={"x": 200.0, "y": 50.0, "z": 50.0}, unhealthy={"x": ZoneState.FAILING})

    model.advance(60)

    assert model.plan == EMPTY_PLAN


def test_no_zone_is_evacuated_if_most_zones_fail_at_once() -> None:
    model = Model(fault=FleetFault.MOST_ZONES_FAILING, unhealthy=dict.fromkeys("xyz", ZoneState.FAILING))

    model.advance(60)

    assert model.plan == EMPTY_PLAN


def test_a_zone_whose_traffic_must_not_move_is_evacuated_in_one_step() -> None:
    model = Model(
        classes={
            "read": ClassConstraints(1.0, zone_local=True),
            "write": ClassConstraints(5.0, frozenset({"x"})),
        },
        unhealthy={"x": ZoneState.FAILING},
    )

    model.advance_second()

    assert model.share("x") == 0.0


def test_a_class_can_move_only_to_its_allowed_zones() -> None:
    assert not ClassConstraints(1.0, frozenset({"x"})).can_move_to(frozenset("yz"))
    assert ClassConstraints(1.0, frozenset("xy")).can_move_to(frozenset("yz"))


def test_a_healthy_zone_recovers_in_bounded_time_and_not_before_its_replicas_are_warm() -> None:
    model = Model(unhealthy={"x": ZoneState.FAILING})
    model.advance(60)
    del model.unhealthy["x"]
    model.sustainable_share["x"] = 0.2
    model.advance(9)
    assert model.share("x") == 0.0

    shares = [0.0]
    for second in range(60):
        model.sustainable_share["x"] = min(1.0, 0.2 + 0.8 * second / 20)
        model.advance_second()
        shares.append(model.share("x"))
        assert shares[-1] <= model.sustainable_share["x"] + 1e-9
        assert shares[-1] - shares[-2] <= 0.25 + 0.05
    assert shares.index(1.0) <= 30
    model.advance(150)
    assert model.plan.zones == {}


def test_a_relapse_halves_the_share_and_doubles_the_wait_up_to_a_bound() -> None:
    model = Model()
    waits = []
    for _ in range(8):
        model.unhealthy["x"] = ZoneState.FAILING
        model.advance(60)
        assert model.share("x") == 0.0
        waits.append(model.plan.zones["x"].required_healthy_us)
        del model.unhealthy["x"]
        for _ in range(300):
            model.advance_second()
            if model.share("x") > 0.4:
                break
        before = model.share("x")
        model.unhealthy["x"] = ZoneState.SLOW
        model.advance_second()
        # A relapse takes effect at once, without the settling time.
        assert model.share("x") == pytest.approx(before / 2)
    assert waits == sorted(waits)
    assert waits[1] == 2 * waits[0]
    assert waits[-1] == TIMING.max_healthy_us
    del model.unhealthy["x"]
    model.advance(600)
    assert model.plan.zones == {}


@pytest.mark.parametrize(
    ("confirmed", "observers", "is_confirmed"),
    [
        ({"a": PlanVersion(3, 7), "b": PlanVersion(3, 7)}, "ab", True),
        ({"a": PlanVersion(3, 7), "b": PlanVersion(3, 6)}, "ab", False),
        ({"a": PlanVersion(3, 7)}, "ab", False),
        ({"a": PlanVersion(3, 7), "b": PlanVersion(2, 7)}, "a", True),
    ],
)
def test_a_step_waits_for_every_governor_with_traffic(
    confirmed: dict[str, PlanVersion], observers: str, is_confirmed: bool
) -> None:
    plan = EvacuationPlan(generation=3, leader="a", step=7)

    assert is_step_confirmed(plan, confirmed, frozenset(observers)) is is_confirmed


@pytest.mark.parametrize("seed", range(40))
def test_one_zone_always_stays_in_service_and_all_zones_recover_after_random_faults(seed: int) -> None:
    generator = random.Random(seed)
    model = Model(
        capacity_per_s={zone: generator.uniform(100, 300) for zone in "wxyz"},
        traffic={
            zone: {"read": generator.uniform(20, 120), "write": generator.uniform(1, 40)} for zone in "wxyz"
        },
    )
    for _ in range(400):
        if generator.random() < 0.05:
            zone = generator.choice("wxyz")
            if zone in model.unhealthy:
                del model.unhealthy[zone]
            else:
                model.unhealthy[zone] = generator.choice(
                    (ZoneState.FAILING, ZoneState.PARTITIONED, ZoneState.SLOW)
                )
        model.sustainable_share = {
            zone: generator.random() if generator.random() < 0.1 else 1.0 for zone in "wxyz"
        }
        model.advance_second()
        assert any(model.share(zone) > 0 for zone in "wxyz")
        assert all(0 <= limit < 1 for limit in model.plan.admission_limits.values())
    steps = [plan.step for plan in model.history]
    assert steps == list(range(1, len(steps) + 1))

    model.unhealthy = {}
    model.sustainable_share = {}
    model.advance(400)
    assert model.plan.zones == {}
    assert model.plan.admission_limits == {}


@pytest.mark.parametrize("loads", [{}, {"y": ZoneLoad({"read": 1.0}, 5.0)}], ids=["no zone", "another zone"])
def test_a_new_leader_does_not_change_a_zone_whose_load_it_does_not_know(loads: dict[str, ZoneLoad]) -> None:
    evacuation = ZoneEvacuation(
        traffic_share=0.3, reason=ZoneState.FAILING.value, required_healthy_us=10 * SECOND
    )
    plan = EvacuationPlan(generation=2, leader="b", zones={"x": evacuation})
    conditions = FleetConditions(
        health=FleetHealth(
            zones=dict.fromkeys("xyz", ZoneState.HEALTHY), fault=FleetFault.NONE, excluded_observers={}
        ),
        loads=loads,
        classes=CLASSES,
        healthy_for_us={"x": 0},
        since_last_step_us=10**9,
    )

    assert next_plan(plan, conditions, TIMING) is None


def test_records_keep_their_stored_field_names() -> None:
    plan = EvacuationPlan(
        generation=3,
        leader="a",
        step=7,
        zones={"x": ZoneEvacuation(0.5, "failing", True, 2, SECOND)},
        admission_limits={"read": 0.5},
    )

    assert msgspec.json.encode(plan) == (
        b'{"gen":3,"holder":"a","step":7,"zones":{"x":{"to":0.5,"why":"failing","back":true,"flaps":2,'
        b'"wait":1000000}},"levels":{"read":0.5}}'
    )
