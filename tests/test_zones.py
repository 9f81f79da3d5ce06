"""What governors see of zones, what they make of it together, and how an allowance is dealt."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

import msgspec
import pytest

from gradehoist.coordination.fencing import Right
from gradehoist.coordination.store import Put, checked
from gradehoist.zones.coordinator import Board
from gradehoist.zones.evacuation import Plan, Rules, Stay
from gradehoist.zones.health import Fleet, Sight, State, Trouble, View
from gradehoist.zones.warmup_quota import Deal, dealt

SECOND = 1_000_000
WELL = Sight(100, 2, 3, 10, 0, 0, 0)
BAD = Sight(100, 90, 3, 10, 2, 0, 0)
SLOW = Sight(100, 5, 80, 10, 0, 0, 0)
ZONES = ("x", "y", "z")


def fleet(*views: tuple[str, dict[str, Sight]], traffic: float = 100.0, list_age: int = 0) -> Fleet:
    """Governors by their zone, with what they see otherwise than well."""
    out = Fleet(10 * SECOND, 20 * SECOND)
    for n, (zone, other) in enumerate(views):
        out.took(0, f"g{n}", View(zone, traffic, list_age, {z: other.get(z, WELL) for z in ZONES}))
    return out


def all_see(zone: str, sight: Sight) -> list[tuple[str, dict[str, Sight]]]:
    return [(z, {zone: sight}) for z in ZONES for _ in range(2)]


@pytest.mark.parametrize(
    ("views", "states", "trouble", "left_out"),
    [
        ([(z, {}) for z in ZONES], {}, Trouble.NONE, 0),
        (all_see("x", BAD), {"x": State.FAILING}, Trouble.NONE, 0),
        # Its own observers still see it well: the others can't reach it, its relays can.
        ([("x", {}), ("x", {}), ("y", {"x": BAD}), ("z", {"x": BAD})], {"x": State.CUT_OFF}, Trouble.NONE, 0),
        # Observers of a zone that is cut off see all others fail: it is they.
        (
            [("x", {"y": BAD, "z": BAD}), ("x", {"y": BAD, "z": BAD}), ("y", {"x": BAD}), ("z", {"x": BAD})],
            {"x": State.CUT_OFF},
            Trouble.NONE,
            2,
        ),
        # One observer's machine is cut off, its own zone included.
        ([("x", {"x": BAD, "y": BAD, "z": BAD}), ("x", {}), ("y", {}), ("z", {})], {}, Trouble.NONE, 1),
        (all_see("x", SLOW), {"x": State.SLOW}, Trouble.NONE, 0),
        # A release that fails everywhere leaves no zone better than another.
        (
            [(z, {"x": BAD, "y": BAD, "z": BAD}) for z in ZONES],
            {"x": State.FAILING, "y": State.FAILING, "z": State.FAILING},
            Trouble.RELEASE,
            0,
        ),
        # Two at once: one zone fails, another is slow.
        ([(z, {"x": BAD, "y": SLOW}) for z in ZONES], {"x": State.FAILING, "y": State.SLOW}, Trouble.NONE, 0),
        # Two at once: a zone fails while an observer elsewhere lies about another.
        ([*all_see("x", BAD), ("z", {"x": BAD, "y": BAD})], {"x": State.FAILING}, Trouble.NONE, 0),
    ],
)
def test_each_trouble_is_told_from_the_others(
    views: list[tuple[str, dict[str, Sight]]], states: dict[str, State], trouble: Trouble, left_out: int
) -> None:
    found = fleet(*views).judge(SECOND)
    assert found.zones == {z: states.get(z, State.WELL) for z in ZONES}
    assert found.trouble is trouble and len(found.left_out) == left_out


def test_discovery_lost_and_nothing_else() -> None:
    found = fleet(*((z, {}) for z in ZONES), list_age=30 * SECOND).judge(SECOND)
    assert found.trouble is Trouble.LIST and set(found.zones.values()) == {State.WELL}


def test_a_liar_with_any_traffic_it_claims_and_a_stale_view_move_nothing() -> None:
    some = fleet(("x", {}), ("y", {}), ("z", {}))
    some.took(0, "liar", View("y", 1e9, 0, {z: BAD if z == "x" else WELL for z in ZONES}))
    assert some.judge(SECOND).zones["x"] is State.WELL
    late = fleet(*all_see("x", BAD))
    late.took(9 * SECOND, "new", View("x", 1.0, 0, {z: WELL for z in ZONES}))
    assert late.judge(9 * SECOND).zones["x"] is State.FAILING
    assert late.judge(12 * SECOND).zones["x"] is State.WELL  # the others have said nothing for too long


def test_probes_speak_where_nothing_is_sent_and_few_tries_do_not() -> None:
    few = {"x": Sight(10, 9)}
    assert fleet(*((z, few) for z in ZONES)).judge(SECOND).zones["x"] is State.UNSEEN
    probed = {"x": Sight(0, 0, 0, 10, 0, 4, 4)}
    assert fleet(*((z, probed) for z in ZONES)).judge(SECOND).zones["x"] is State.FAILING
    answered = {"x": Sight(0, 0, 0, 10, 10, 4, 0)}
    assert fleet(*((z, answered) for z in ZONES)).judge(SECOND).zones["x"] is State.WELL


Dealer = Callable[[Deal, str, Mapping[str, float], Mapping[str, int], Collection[str]], Deal | None]


def play(seed: int, dealer: Dealer) -> tuple[float, float, int]:
    """The most of the allowance in use at once, what is in use after a quiet end, and by how many."""
    dice = random.Random(seed)
    deal, members, born = Deal(0, "first"), dict[str, float](), 0
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
                if one in deal.parts:
                    holds[one], gens[one] = deal.parts[one], deal.gen
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
            holds[one], gens[one] = deal.parts[one], deal.gen
    return worst, sum(holds.values()), len(members)


@pytest.mark.parametrize("seed", range(60))
def test_the_parts_in_use_never_pass_the_allowance_whoever_dies_starts_or_stands_still(seed: int) -> None:
    worst, end, members = play(seed, dealt)
    assert worst <= 1 + 1e-9
    assert not members or 0.85 <= end <= 1 + 1e-9


def test_a_deal_among_a_thousand_fits_a_record_and_unsteady_traffic_is_no_new_one() -> None:
    traffic = {f"governor-of-some-hall-{n:04d}-1a2b3c4d": 10.0 + n % 7 for n in range(1_024)}
    deal = dealt(Deal(0, ""), "g", traffic, {}, ())
    assert deal is not None
    checked((Put("zones/deal", msgspec.json.encode(deal), 0),))
    confirmed = dict.fromkeys(traffic, deal.gen)
    assert (
        dealt(
            deal,
            "g",
            {m: x * (0.97 + n % 3 * 0.03) for n, (m, x) in enumerate(traffic.items())},
            confirmed,
            (),
        )
        is None
    )


def test_one_whose_right_is_over_makes_no_step_and_a_lost_plan_ends_none() -> None:
    board = Board("run", {}, Rules(0, 0, 0), 0, SECOND, SECOND, SECOND, SECOND)
    assert board.planned(0, Plan(3, "b", 4, {"x": Stay(0.5)}))
    assert board.next_plan(0, Right(2, "a")) is None and board.next_plan(0, Right(3, "a")) is None
    assert board.next_plan(0, Right(4, "a")) == Plan(4, "a", 0, {"x": Stay(0.5)})
    assert not board.planned(0, Plan(2, "a", 9)) and board.planned(0, None)
    assert board.now(0, 1.0).zones == {"x": 0.5}


def test_parts_dealt_anew_without_a_look_at_what_is_in_use_do_pass_it() -> None:
    def careless(
        deal: Deal,
        holder: str,
        traffic: Mapping[str, float],
        confirmed: Mapping[str, int],
        gone: Collection[str],
    ) -> Deal:
        parts = {m: x / sum(traffic.values()) for m, x in traffic.items()}
        return Deal(deal.gen + 1, holder, parts, parts)

    assert sum(play(seed, careless)[0] > 1.01 for seed in range(10)) >= 5
