"""Leaving a zone in steps that the rest bears, and coming back, against a small model of three zones."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from gradehoist.zones.evacuation import (
    MAX_UTILIZATION,
    ClassConstraints,
    EvacuationPlan,
    EvacuationTiming,
    ZoneEvacuation,
    ZoneLoad,
    compute_admission_limits,
    is_step_confirmed,
    next_plan,
    projected_requests_per_s,
)
from gradehoist.zones.health import FleetFault, FleetHealth, ZoneState

SECOND = 1_000_000
RULES = EvacuationTiming(settle_us=3 * SECOND, min_healthy_us=10 * SECOND, max_healthy_us=120 * SECOND)
CLASSES = {"read": ClassConstraints(1.0), "write": ClassConstraints(5.0)}


@dataclass
class Model:
    """Zones with power and traffic; some are bad, some cold since some time. One step of it is a second."""

    power: dict[str, float] = field(default_factory=lambda: {z: 200.0 for z in "xyz"})
    traffic: dict[str, dict[str, float]] = field(
        default_factory=lambda: {z: {"read": 80.0, "write": 20.0} for z in "xyz"}
    )
    classes: dict[str, ClassConstraints] = field(default_factory=lambda: dict(CLASSES))
    bad: dict[str, ZoneState] = field(default_factory=dict)
    bears: dict[str, float] = field(default_factory=dict)
    plan: EvacuationPlan = EvacuationPlan(1, "a")
    well: dict[str, int] = field(default_factory=dict)
    now: int = 0
    last: int = -(10**9)
    trouble: FleetFault = FleetFault.NONE
    history: list[EvacuationPlan] = field(default_factory=list)

    def zones(self) -> dict[str, ZoneLoad]:
        return {z: ZoneLoad(self.traffic[z], self.power[z], self.bears.get(z, 1.0)) for z in self.power}

    def second(self) -> None:
        self.now += SECOND
        for z in self.power:
            self.well[z] = 0 if z in self.bad else self.well.get(z, 0) + SECOND
        verdict = FleetHealth({z: self.bad.get(z, ZoneState.HEALTHY) for z in self.power}, self.trouble, {})
        quiet = self.now - self.last
        found = next_plan(self.plan, verdict, self.zones(), self.classes, self.well, quiet, RULES)
        if found is not None:
            self.plan, self.last = found, self.now
            self.history.append(found)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.second()

    def used(self) -> dict[str, float]:
        """The use of each zone's power under the plan, with what the fleet's shares let in."""
        stays = {z: self.plan.zones.get(z, ZoneEvacuation()) for z in self.power}
        some = {
            z: ZoneLoad(
                {c: x * self.plan.admission_limits.get(c, 1.0) for c, x in self.traffic[z].items()}, p
            )
            for z, p in self.power.items()
        }
        return {z: projected_requests_per_s(z, stays, some) / p for z, p in self.power.items()}


def test_a_failing_zone_is_left_in_steps_that_the_others_bear() -> None:
    model = Model()
    model.bad["x"] = ZoneState.FAILING
    seen = []
    for _ in range(60):
        model.second()
        seen.append(model.plan.traffic_share("x"))
        assert max(u for z, u in model.used().items() if z != "x") <= MAX_UTILIZATION + 1e-9
    assert seen[-1] == 0.0 and seen == sorted(seen, reverse=True) and len(set(seen)) >= 2
    assert (
        not model.plan.admission_limits
        and model.plan.traffic_share("y") == model.plan.traffic_share("z") == 1.0
    )


def test_what_the_rest_cannot_carry_is_refused_in_one_share_the_least_gain_first() -> None:
    model = Model(power={"x": 200.0, "y": 130.0, "z": 130.0})
    model.bad["x"] = ZoneState.FAILING
    model.run(90)
    assert model.plan.traffic_share("x") == 0.0 and set(model.plan.admission_limits) == {"read"}
    admitted = sum(
        x * model.plan.admission_limits.get(c, 1.0) for t in model.traffic.values() for c, x in t.items()
    )
    assert admitted <= MAX_UTILIZATION * 260 and admitted > MAX_UTILIZATION * 260 * 0.9
    assert compute_admission_limits({"read": 50, "write": 50}, CLASSES, 30) == {"write": 0.6, "read": 0.0}


def test_never_the_last_zone_nor_more_than_the_rest_can_carry() -> None:
    model = Model()
    model.bad |= {"x": ZoneState.FAILING, "y": ZoneState.FAILING}
    model.run(120)
    assert model.plan.traffic_share("z") == 1.0 and model.plan.admission_limits  # it carries 170 of 300
    model.bad["z"] = ZoneState.FAILING
    model.run(60)
    assert model.plan.traffic_share("z") == 1.0
    model = Model(power={"x": 200.0, "y": 50.0, "z": 50.0})
    model.bad["x"] = ZoneState.FAILING
    model.run(60)
    assert model.plan == EvacuationPlan(1, "a")
    alone = Model(power={"x": 500.0}, traffic={"x": {"read": 10.0}})
    alone.bad["x"] = ZoneState.FAILING
    alone.run(30)
    assert alone.plan.traffic_share("x") == 1.0


def test_where_most_zones_look_bad_at_once_nothing_is_left() -> None:
    model = Model(trouble=FleetFault.MOST_ZONES_FAILING)
    model.bad |= {"x": ZoneState.FAILING, "y": ZoneState.FAILING, "z": ZoneState.FAILING}
    model.run(60)
    assert model.plan == EvacuationPlan(1, "a")


def test_classes_bound_to_a_zone_do_not_count_as_what_can_go() -> None:
    bound = {"read": ClassConstraints(1.0, zone_local=True), "write": ClassConstraints(5.0, frozenset({"x"}))}
    model = Model(classes=bound)
    model.bad["x"] = ZoneState.FAILING
    model.second()
    assert model.plan.traffic_share("x") == 0.0  # nothing of it goes to the others, who need no steps for it
    assert not ClassConstraints(1.0, frozenset({"x"})).can_move_to(frozenset("yz"))
    assert ClassConstraints(1.0, frozenset("xy")).can_move_to(frozenset("yz"))


def test_a_zone_that_stays_well_is_home_in_bounded_time_and_not_before_it_is_warm() -> None:
    model = Model()
    model.bad["x"] = ZoneState.FAILING
    model.run(60)
    del model.bad["x"]
    model.bears["x"] = 0.2
    model.run(9)
    assert model.plan.traffic_share("x") == 0.0
    seen = [0.0]
    for second in range(60):
        model.bears["x"] = min(1.0, 0.2 + 0.8 * second / 20)
        model.second()
        seen.append(model.plan.traffic_share("x"))
        assert seen[-1] <= model.bears["x"] + 1e-9 and seen[-1] - seen[-2] <= 0.25 + 0.05
    assert seen.index(1.0) <= 30
    model.run(150)
    assert model.plan.zones == {}


def test_harm_halves_and_a_zone_that_flaps_waits_longer_each_time_up_to_a_bound() -> None:
    model = Model()
    waits = []
    for _ in range(8):
        model.bad["x"] = ZoneState.FAILING
        model.run(60)
        assert model.plan.traffic_share("x") == 0.0
        waits.append(model.plan.zones["x"].required_healthy_us)
        del model.bad["x"]
        for _ in range(300):
            model.second()
            if model.plan.traffic_share("x") > 0.4:
                break
        before = model.plan.traffic_share("x")
        model.bad["x"] = ZoneState.SLOW
        model.second()
        assert model.plan.traffic_share("x") == pytest.approx(
            before / 2
        )  # at once, not after the settling time
    assert waits == sorted(waits) and waits[1] == 2 * waits[0] and waits[-1] == RULES.max_healthy_us
    del model.bad["x"]
    model.run(600)
    assert model.plan.zones == {}


def test_a_step_waits_for_all_that_steer() -> None:
    plan = EvacuationPlan(3, "a", 7)
    assert is_step_confirmed(plan, {"a": (3, 7), "b": (3, 7)}, frozenset("ab"))
    assert not is_step_confirmed(plan, {"a": (3, 7), "b": (3, 6)}, frozenset("ab"))
    assert not is_step_confirmed(plan, {"a": (3, 7)}, frozenset("ab"))
    assert is_step_confirmed(plan, {"a": (3, 7), "b": (2, 7)}, frozenset("a"))


@pytest.mark.parametrize("seed", range(40))
def test_any_troubles_leave_a_zone_open_and_all_are_home_in_the_end(seed: int) -> None:
    dice = random.Random(seed)
    model = Model(
        power={z: dice.uniform(100, 300) for z in "wxyz"},
        traffic={z: {"read": dice.uniform(20, 120), "write": dice.uniform(1, 40)} for z in "wxyz"},
    )
    for _ in range(400):
        if dice.random() < 0.05:
            z = dice.choice("wxyz")
            if z in model.bad:
                del model.bad[z]
            else:
                model.bad[z] = dice.choice((ZoneState.FAILING, ZoneState.PARTITIONED, ZoneState.SLOW))
        model.bears = {z: dice.random() if dice.random() < 0.1 else 1.0 for z in "wxyz"}
        model.second()
        assert any(model.plan.traffic_share(z) > 0 for z in "wxyz")
        assert all(0 <= x < 1 for x in model.plan.admission_limits.values())
    steps = [p.step for p in model.history]
    assert steps == list(range(1, len(steps) + 1))
    model.bad, model.bears = {}, {}
    model.run(400)
    assert model.plan.zones == {} and model.plan.admission_limits == {}


def test_a_new_holder_that_knows_nothing_of_a_zone_leaves_its_stay_alone() -> None:
    plan = EvacuationPlan(
        2, "b", 0, {"x": ZoneEvacuation(0.3, ZoneState.FAILING.value, False, 0, 10 * SECOND)}
    )
    verdict = FleetHealth({z: ZoneState.HEALTHY for z in "xyz"}, FleetFault.NONE, {})
    for known in ({}, {"y": ZoneLoad({"read": 1.0}, 5.0)}):
        assert next_plan(plan, verdict, known, CLASSES, {"x": 0}, 10**9, RULES) is None
