"""Rule 4: no cold replica is pushed over, by the requests that the proxies of a simulated fleet send."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from gradehoist.governor.order_reasons import explain_hold_back
from tests.support.loaded_fleet import FleetShape, LoadedFleet
from tests.support.policy_fleet import UNRESTRICTED, ZONE_LOCAL

NOTICES_S = (0.6, 0.65, 0.7, 0.75, 0.8, 0.85)
IN_FIRST_ZONE = replace(ZONE_LOCAL, allowed_zones=(0,), zone_local=False)
SHAPES = {
    "two zones": FleetShape(),
    "three zones, few messages": FleetShape(
        zone_sizes=(4, 5, 4), zone_loads=(0.5, 0.3, 0.2), messages_per_window=12
    ),
    "a class of one zone alone": FleetShape(
        zone_sizes=(5, 4, 4),
        zone_loads=(0.4, 0.3, 0.3),
        classes=(UNRESTRICTED, IN_FIRST_ZONE),
        class_shares=(0.7, 0.3),
    ),
    "most requests stay local": FleetShape(
        zone_sizes=(3, 6), zone_loads=(0.35, 0.65), class_shares=(0.3, 0.7), utilization=0.65
    ),
    "four zones, every message allowed": FleetShape(
        zone_sizes=(4, 4, 4, 4), zone_loads=(0.4, 0.2, 0.2, 0.2), messages_per_window=0
    ),
    "a queue with space for three readmissions": FleetShape(queue_limit_lines=200.0),
    "tables of a subset": FleetShape(zone_sizes=(18, 14), proxies_per_zone=6, lines_per_s=100.0),
}


def lose_first_zone(fleet: LoadedFleet, seconds: float = 10.0) -> list[int]:
    """End all replicas of zone 0 and start them again, still unlisted; return them in a random order."""
    zone = list(range(fleet.shape.zone_sizes[0]))
    fleet.advance(6)
    fleet.end(zone)
    fleet.advance(seconds - 1.5)
    fleet.start(zone)
    fleet.rng.shuffle(zone)
    return zone


def list_in_turn(fleet: LoadedFleet, replicas: Sequence[int], notices_s: Sequence[float] = NOTICES_S) -> None:
    """List replicas one after another; those beyond the given times follow together with the last one."""
    notified_s = 0.0
    times_s = [*notices_s, *[notices_s[-1]] * len(replicas)]
    for replica, notice_s in zip(replicas, times_s, strict=False):
        fleet.advance(notice_s - notified_s)
        notified_s = notice_s
        fleet.list_replicas([replica])


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_no_replica_of_a_zone_that_returns_is_readmitted_alone(shape: FleetShape, seed: int) -> None:
    """The last one listed was readmitted 1.7 s before the others, and got all requests of a class."""
    fleet = LoadedFleet(replace(shape, seed=seed))
    list_in_turn(fleet, lose_first_zone(fleet))
    fleet.advance(13)
    assert not fleet.overloaded()
    assert not fleet.withdrawn, "all replicas are back"


def test_it_is_explained_why_a_cold_replica_is_held_back() -> None:
    fleet = LoadedFleet(FleetShape())
    list_in_turn(fleet, lose_first_zone(fleet)[:1])
    (replica,) = fleet.policy.fleet.replicas.held_back
    predicted = fleet.policy.warmup.predicted_loads[replica]
    assert predicted.requests_per_s > 2 * predicted.limit_per_s
    reason = explain_hold_back(fleet.policy, replica)
    assert reason.startswith("warming up, started 0.60 s ago, ")
    assert reason.endswith(" requests/s, held back: it would be sent more than it can do while it warms up")


def restart_under_the_same_names(fleet: LoadedFleet, zone: list[int]) -> None:
    """The endpoint list never shows the replicas as gone."""
    fleet.advance(6)
    fleet.down.update(zone)
    fleet.advance(1)
    fleet.start(zone)
    list_in_turn(fleet, zone)


def replace_by_new_replicas(fleet: LoadedFleet, zone: list[int]) -> None:
    fleet.advance(6)
    fleet.end(zone)
    fleet.advance(4)
    fleet.start(fleet.spares)
    list_in_turn(fleet, fleet.spares)


def return_in_two_groups(fleet: LoadedFleet, zone: list[int]) -> None:
    list_in_turn(fleet, lose_first_zone(fleet), (0.6, 0.65, 3.0, 3.05, 3.1, 3.15))


def return_without_the_others(fleet: LoadedFleet, zone: list[int]) -> None:
    list_in_turn(fleet, lose_first_zone(fleet)[:1])


def lose_others_while_they_return(fleet: LoadedFleet, zone: list[int]) -> None:
    back = lose_first_zone(fleet)
    list_in_turn(fleet, back)
    fleet.advance(2.5)
    fleet.end(back[1:], notice_s=0.6)


def restart_the_governor_while_they_return(fleet: LoadedFleet, zone: list[int]) -> None:
    back = lose_first_zone(fleet)
    list_in_turn(fleet, back[:2])
    fleet.restart_governor()
    list_in_turn(fleet, back[2:])


def start_the_governor_after_the_loss(fleet: LoadedFleet, zone: list[int]) -> None:
    """The governor has no load reports of the time before."""
    back = lose_first_zone(fleet)
    fleet.restart_governor()
    list_in_turn(fleet, back)


def let_proxies_join_while_they_return(fleet: LoadedFleet, zone: list[int]) -> None:
    back = lose_first_zone(fleet)
    list_in_turn(fleet, back)
    fleet.advance(1.5)
    for number in range(2 * fleet.shape.proxies_per_zone):
        fleet.join(1000 + number, 0, 0.3 * fleet.rates[0])


def fail_while_they_return(fleet: LoadedFleet, zone: list[int]) -> None:
    """They hang and are ejected, and are readmitted one by one."""
    back = lose_first_zone(fleet)
    list_in_turn(fleet, back)
    fleet.advance(3)
    fleet.down.update(back)
    fleet.advance(3)
    fleet.down.clear()


def lose_the_warm_replicas_of_the_zone(fleet: LoadedFleet, zone: list[int]) -> None:
    """One replica is restarted, and then the others of its zone are lost."""
    fleet.advance(6)
    fleet.down.add(zone[0])
    fleet.advance(1)
    fleet.start(zone[:1])
    fleet.list_replicas(zone[:1])
    fleet.advance(3)
    fleet.end(zone[1:], notice_s=0.6)


def return_while_admission_recovers(fleet: LoadedFleet, zone: list[int]) -> None:
    """Admission control rejects half of all requests until shortly before the return."""
    fleet.rates = {proxy: 2 * rate for proxy, rate in fleet.rates.items()}
    back = lose_first_zone(fleet)
    fleet.rates = {proxy: rate / 2 for proxy, rate in fleet.rates.items()}
    list_in_turn(fleet, back)


PATHS = [
    restart_under_the_same_names,
    replace_by_new_replicas,
    return_in_two_groups,
    return_without_the_others,
    lose_others_while_they_return,
    restart_the_governor_while_they_return,
    start_the_governor_after_the_loss,
    let_proxies_join_while_they_return,
    fail_while_they_return,
    lose_the_warm_replicas_of_the_zone,
    return_while_admission_recovers,
]


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
@pytest.mark.parametrize("path", PATHS)
def test_a_cold_replica_is_not_pushed_over_on_related_paths(
    path: Callable[[LoadedFleet, list[int]], None], shape: FleetShape
) -> None:
    """Each way by which a cold replica can come to serve a class with few others."""
    fleet = LoadedFleet(replace(shape, spares=shape.zone_sizes[0]))
    path(fleet, list(range(shape.zone_sizes[0])))
    fleet.advance(14)
    assert not fleet.overloaded()
