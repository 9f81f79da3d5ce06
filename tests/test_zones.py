"""What governors see of zones, what they make of it together, and how an allowance is dealt."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

import msgspec
import pytest

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.store import Put, check_sizes
from gradehoist.zones.coordinator import ZoneCoordinator
from gradehoist.zones.evacuation import EvacuationPlan, EvacuationTiming, ZoneEvacuation
from gradehoist.zones.health import FleetFault, HealthAssessor, HealthReport, ZoneObservation, ZoneState
from gradehoist.zones.warmup_quota import QuotaAllocation, next_allocation

SECOND = 1_000_000
WELL = ZoneObservation(100, 2, 3, 10, 0, 0, 0)
BAD = ZoneObservation(100, 90, 3, 10, 2, 0, 0)
SLOW = ZoneObservation(100, 5, 80, 10, 0, 0, 0)
ZONES = ("x", "y", "z")


def fleet(
    *views: tuple[str, dict[str, ZoneObservation]], traffic: float = 100.0, list_age: int = 0
) -> HealthAssessor:
    """Governors by their zone, with what they see otherwise than well."""
    out = HealthAssessor(10 * SECOND, 20 * SECOND)
    for n, (zone, other) in enumerate(views):
        out.record_report(
            0, f"g{n}", HealthReport(zone, traffic, list_age, {z: other.get(z, WELL) for z in ZONES})
        )
    return out


def all_see(zone: str, sight: ZoneObservation) -> list[tuple[str, dict[str, ZoneObservation]]]:
    return [(z, {zone: sight}) for z in ZONES for _ in range(2)]


@pytest.mark.parametrize(
    ("views", "states", "trouble", "left_out"),
    [
        ([(z, {}) for z in ZONES], {}, FleetFault.NONE, 0),
        (all_see("x", BAD), {"x": ZoneState.FAILING}, FleetFault.NONE, 0),
        # Its own observers still see it well: the others can't reach it, its relays can.
        (
            [("x", {}), ("x", {}), ("y", {"x": BAD}), ("z", {"x": BAD})],
            {"x": ZoneState.PARTITIONED},
            FleetFault.NONE,
            0,
        ),
        # Observers of a zone that is cut off see all others fail: it is they.
        (
            [("x", {"y": BAD, "z": BAD}), ("x", {"y": BAD, "z": BAD}), ("y", {"x": BAD}), ("z", {"x": BAD})],
            {"x": ZoneState.PARTITIONED},
            FleetFault.NONE,
            2,
        ),
        # One observer's machine is cut off, its own zone included.
        ([("x", {"x": BAD, "y": BAD, "z": BAD}), ("x", {}), ("y", {}), ("z", {})], {}, FleetFault.NONE, 1),
        (all_see("x", SLOW), {"x": ZoneState.SLOW}, FleetFault.NONE, 0),
        # A release that fails everywhere leaves no zone better than another.
        (
            [(z, {"x": BAD, "y": BAD, "z": BAD}) for z in ZONES],
            {"x": ZoneState.FAILING, "y": ZoneState.FAILING, "z": ZoneState.FAILING},
            FleetFault.MOST_ZONES_FAILING,
            0,
        ),
        # Two at once: one zone fails, another is slow.
        (
            [(z, {"x": BAD, "y": SLOW}) for z in ZONES],
            {"x": ZoneState.FAILING, "y": ZoneState.SLOW},
            FleetFault.NONE,
            0,
        ),
        # Two at once: a zone fails while an observer elsewhere lies about another.
        ([*all_see("x", BAD), ("z", {"x": BAD, "y": BAD})], {"x": ZoneState.FAILING}, FleetFault.NONE, 0),
    ],
)
def test_each_trouble_is_told_from_the_others(
    views: list[tuple[str, dict[str, ZoneObservation]]],
    states: dict[str, ZoneState],
    trouble: FleetFault,
    left_out: int,
) -> None:
    found = fleet(*views).assess(SECOND)
    assert found.zones == {z: states.get(z, ZoneState.HEALTHY) for z in ZONES}
    assert found.fault is trouble and len(found.excluded_observers) == left_out


def test_discovery_lost_and_nothing_else() -> None:
    found = fleet(*((z, {}) for z in ZONES), list_age=30 * SECOND).assess(SECOND)
    assert found.fault is FleetFault.DISCOVERY_LOST and set(found.zones.values()) == {ZoneState.HEALTHY}


def test_a_liar_with_any_traffic_it_claims_and_a_stale_view_move_nothing() -> None:
    some = fleet(("x", {}), ("y", {}), ("z", {}))
    some.record_report(0, "liar", HealthReport("y", 1e9, 0, {z: BAD if z == "x" else WELL for z in ZONES}))
    assert some.assess(SECOND).zones["x"] is ZoneState.HEALTHY
    late = fleet(*all_see("x", BAD))
    late.record_report(9 * SECOND, "new", HealthReport("x", 1.0, 0, {z: WELL for z in ZONES}))
    assert late.assess(9 * SECOND).zones["x"] is ZoneState.FAILING
    assert (
        late.assess(12 * SECOND).zones["x"] is ZoneState.HEALTHY
    )  # the others have said nothing for too long


def test_probes_speak_where_nothing_is_sent_and_few_tries_do_not() -> None:
    few = {"x": ZoneObservation(10, 9)}
    assert fleet(*((z, few) for z in ZONES)).assess(SECOND).zones["x"] is ZoneState.UNOBSERVED
    probed = {"x": ZoneObservation(0, 0, 0, 10, 0, 4, 4)}
    assert fleet(*((z, probed) for z in ZONES)).assess(SECOND).zones["x"] is ZoneState.FAILING
    answered = {"x": ZoneObservation(0, 0, 0, 10, 10, 4, 0)}
    assert fleet(*((z, answered) for z in ZONES)).assess(SECOND).zones["x"] is ZoneState.HEALTHY


Dealer = Callable[
    [QuotaAllocation, str, Mapping[str, float], Mapping[str, int], Collection[str]], QuotaAllocation | None
]


def play(seed: int, dealer: Dealer) -> tuple[float, float, int]:
    """The most of the allowance in use at once, what is in use after a quiet end, and by how many."""
    dice = random.Random(seed)
    deal, members, born = QuotaAllocation(0, "first"), dict[str, float](), 0
    holds, gens, gone = dict[str, float](), dict[str, int](), set[str]()
    worst = 0.0
    for _ in range(300):
        match dice.randrange(9):
            case 0 | 1:
                born += 1
                members[f"m{born}"] = dice.random() * 100
                holds[f"m{born}"] = 0.0
            case 2 if members:  # its tables go on sending until the grace is over
                members.pop(dice.choice(sorted(members)))
            case 3 if dead := sorted(holds.keys() - members.keys()):
                one = dice.choice(dead)
                gone.add(one)
                del holds[one]
            case 4 | 5 if members:  # one that is not standing still puts the deal into its tables
                one = dice.choice(sorted(members))
                if one in deal.quotas:
                    holds[one], gens[one] = deal.quotas[one], deal.generation
            case 6 if members:
                members[dice.choice(sorted(members))] = dice.random() * 100
            case _ if members:
                deal = dealer(deal, f"d{dice.randrange(3)}", members, gens, gone) or deal
        worst = max(worst, sum(holds.values()))
    for _ in range(6):  # quiet: all confirm, and everything is dealt
        gone |= holds.keys() - members.keys()
        for one in sorted(holds.keys() - members.keys()):
            del holds[one]
        deal = dealer(deal, "d", members, gens, gone) or deal
        for one in members:
            holds[one], gens[one] = deal.quotas[one], deal.generation
    return worst, sum(holds.values()), len(members)


@pytest.mark.parametrize("seed", range(60))
def test_the_parts_in_use_never_pass_the_allowance_whoever_dies_starts_or_stands_still(seed: int) -> None:
    worst, end, members = play(seed, next_allocation)
    assert worst <= 1 + 1e-9
    assert not members or 0.85 <= end <= 1 + 1e-9


def test_a_deal_among_a_thousand_fits_a_record_and_unsteady_traffic_is_no_new_one() -> None:
    traffic = {f"governor-of-some-hall-{n:04d}-1a2b3c4d": 10.0 + n % 7 for n in range(1_024)}
    deal = next_allocation(QuotaAllocation(0, ""), "g", traffic, {}, ())
    assert deal is not None
    check_sizes((Put("zones/deal", msgspec.json.encode(deal), 0),))
    confirmed = dict.fromkeys(traffic, deal.generation)
    assert (
        next_allocation(
            deal,
            "g",
            {m: x * (0.97 + n % 3 * 0.03) for n, (m, x) in enumerate(traffic.items())},
            confirmed,
            (),
        )
        is None
    )


def test_one_whose_right_is_over_makes_no_step_and_a_lost_plan_ends_none() -> None:
    board = ZoneCoordinator("run", {}, EvacuationTiming(0, 0, 0), 0, SECOND, SECOND, SECOND, SECOND)
    assert board.on_plan(0, EvacuationPlan(3, "b", 4, {"x": ZoneEvacuation(0.5)}))
    assert (
        board.next_plan(0, FencingToken(2, "a")) is None and board.next_plan(0, FencingToken(3, "a")) is None
    )
    assert board.next_plan(0, FencingToken(4, "a")) == EvacuationPlan(4, "a", 0, {"x": ZoneEvacuation(0.5)})
    assert not board.on_plan(0, EvacuationPlan(2, "a", 9)) and board.on_plan(0, None)
    assert board.current_quotas(0, 1.0).zone_quotas == {"x": 0.5}


def test_parts_dealt_anew_without_a_look_at_what_is_in_use_do_pass_it() -> None:
    def careless(
        deal: QuotaAllocation,
        holder: str,
        traffic: Mapping[str, float],
        confirmed: Mapping[str, int],
        gone: Collection[str],
    ) -> QuotaAllocation:
        parts = {m: x / sum(traffic.values()) for m, x in traffic.items()}
        return QuotaAllocation(deal.generation + 1, holder, parts, parts)

    assert sum(play(seed, careless)[0] > 1.01 for seed in range(10)) >= 5
