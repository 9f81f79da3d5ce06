"""Compares methods of placing tenants: whom one harmful tenant affects, and what a lost replica moves."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

from gradehoist.cells.placement import PlacementRequirements, Replica, Tenant, stable_hash
from gradehoist.cells.placement_planner import plan_placement

# With 500 replicas in 100 cells, a tenant has five replicas with every method.
CELL_COUNT, REPLICAS_PER_TENANT = 100, 5
# The replicas that serve each tenant.
ReplicasByTenant = dict[str, frozenset[str]]


def create_fleet(tenants: int, workers: int) -> tuple[list[Tenant], list[Replica]]:
    """Creates replicas in three zones, and tenants whose uneven demand is half of what they can serve."""
    rng = random.Random(1)
    replicas = [Replica(f"w{n}", f"z{n % 3}", "k", 1.0) for n in range(workers)]
    shares = [rng.lognormvariate(0, 1) for _ in range(tenants)]
    return [Tenant(f"t{n}", 0.5 * workers * x / sum(shares)) for n, x in enumerate(shares)], replicas


def place_by_shuffle_sharding(tenants: list[Tenant], replicas: list[Replica]) -> ReplicasByTenant:
    """Gives each tenant the few replicas with the highest hashes of both names: shuffle sharding."""
    names = [w.name for w in replicas]
    return {
        t.name: frozenset(sorted(names, key=lambda w: -stable_hash(t.name, w))[:REPLICAS_PER_TENANT])
        for t in tenants
    }


def place_by_bounded_rendezvous(tenants: list[Tenant], replicas: list[Replica]) -> ReplicasByTenant:
    """Gives each tenant a cell by rendezvous hashing, with the load of a cell bounded at 1.1 of the mean.

    Replicas are assigned to cells of equal size by hash.
    """
    cells: list[list[str]] = [[] for _ in range(CELL_COUNT)]
    for w in replicas:
        best = max(
            range(CELL_COUNT),
            key=lambda c: (len(cells[c]) < len(replicas) / CELL_COUNT, stable_hash(c, w.name)),
        )
        cells[best].append(w.name)
    max_load = 1.1 * sum(t.demand for t in tenants) / len(replicas)
    load, out = [0.0] * CELL_COUNT, {}
    for t in sorted(tenants, key=lambda t: stable_hash(t.name)):
        ranked = sorted(range(CELL_COUNT), key=lambda c: -stable_hash(t.name, c))
        best = next((c for c in ranked if load[c] + t.demand <= max_load * len(cells[c])), ranked[0])
        load[best] += t.demand
        out[t.name] = frozenset(cells[best])
    return out


def create_planner_method() -> Callable[[list[Tenant], list[Replica]], ReplicasByTenant]:
    """Returns the placement planner as a method that starts from its own previous placement."""
    previous = None

    def place(tenants: list[Tenant], replicas: list[Replica]) -> ReplicasByTenant:
        nonlocal previous
        previous = plan_placement(
            tenants, replicas, PlacementRequirements(CELL_COUNT, 4, 3, spare_share=0.1), previous
        )
        members: dict[int, set[str]] = {}
        for w, c in previous.replicas.items():
            members.setdefault(c, set()).add(w)
        return {t: frozenset(members[c]) for t, c in previous.tenants.items()}

    return place


def compare_methods(tenants: int, workers: int) -> list[tuple[object, ...]]:
    """Returns a row for each method.

    It has the time for the placement, the tenants that one tenant affects if it makes its replicas fail, what
    the loss of a replica moves, and the load of the fullest replica.
    """
    all_tenants, replicas = create_fleet(tenants, workers)
    demand = {t.name: t.demand for t in all_tenants}
    out: list[tuple[object, ...]] = []
    methods = {
        "kept placement": create_planner_method(),
        "rendezvous, bounded": place_by_bounded_rendezvous,
        "shuffle sharding": place_by_shuffle_sharding,
    }
    for name, place in methods.items():
        started = time.perf_counter()
        first = place(all_tenants, replicas)
        duration_s = time.perf_counter() - started
        tenants_by_replica: dict[str, set[str]] = {}
        for t, serving in first.items():
            for w in serving:
                tenants_by_replica.setdefault(w, set()).add(t)
        rng, lost_all_shares, lost_some_shares = random.Random(2), [], []
        # Each of these tenants makes every replica that serves it fail.
        for t in rng.sample(sorted(first), 200):
            affected = set.union(*(tenants_by_replica[w] for w in first[t]))
            lost_all_shares.append(sum(first[x] <= first[t] for x in affected) / len(first))
            lost_some_shares.append(len(affected) / len(first))
        lost = replicas[7].name
        second = place(all_tenants, [w for w in replicas if w.name != lost])
        moved = sum(bool(second[t] - first[t]) or not (first[t] & second[t]) for t in first)
        moved_demand_share = sum(demand[t] for t in first if second[t] != first[t] - {lost}) / sum(
            demand.values()
        )
        load: dict[str, float] = dict.fromkeys((w.name for w in replicas), 0.0)
        for t, serving in first.items():
            for w in serving:
                load[w] += demand[t] / len(serving)
        out.append(
            (
                name,
                f"{duration_s:.2f}",
                f"{100 * statistics.mean(lost_all_shares):.2f}%",
                f"{100 * statistics.mean(lost_some_shares):.2f}%",
                moved,
                f"{100 * moved_demand_share:.2f}%",
                f"{max(load.values()) / statistics.mean(load.values()):.2f}",
            )
        )
    return out
