"""Ways to place tenants, side by side: who is hurt by one tenant, what a lost worker moves."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

from gradehoist.cells.placement import PlacementRequirements, Replica, Tenant, stable_hash
from gradehoist.cells.placement_planner import plan_placement

CELLS, PER_TENANT = 100, 5  # as many workers for a tenant in each way: 500 over 100 cells
Homes = dict[str, frozenset[str]]  # by tenant: the workers that serve it


def fleet(tenants: int, workers: int) -> tuple[list[Tenant], list[Replica]]:
    """Tenants of uneven demand, half of what the replicas can serve, and replicas in three zones."""
    rng = random.Random(1)
    replicas = [Replica(f"w{n}", f"z{n % 3}", "k", 1.0) for n in range(workers)]
    shares = [rng.lognormvariate(0, 1) for _ in range(tenants)]
    return [Tenant(f"t{n}", 0.5 * workers * x / sum(shares)) for n, x in enumerate(shares)], replicas


def shuffled(tenants: list[Tenant], replicas: list[Replica]) -> Homes:
    """Each tenant its own few workers, the highest by hash: shuffle sharding."""
    names = [w.name for w in replicas]
    return {
        t.name: frozenset(sorted(names, key=lambda w: -stable_hash(t.name, w))[:PER_TENANT]) for t in tenants
    }


def bounded(tenants: list[Tenant], replicas: list[Replica]) -> Homes:
    """Rendezvous over cells of fixed workers with loads bounded at 1.1 of the mean; workers dealt by hash."""
    cells: list[list[str]] = [[] for _ in range(CELLS)]
    for w in replicas:
        best = max(
            range(CELLS), key=lambda c: (len(cells[c]) < len(replicas) / CELLS, stable_hash(c, w.name))
        )
        cells[best].append(w.name)
    most = 1.1 * sum(t.demand for t in tenants) / len(replicas)
    load, out = [0.0] * CELLS, {}
    for t in sorted(tenants, key=lambda t: stable_hash(t.name)):
        ranked = sorted(range(CELLS), key=lambda c: -stable_hash(t.name, c))
        best = next((c for c in ranked if load[c] + t.demand <= most * len(cells[c])), ranked[0])
        load[best] += t.demand
        out[t.name] = frozenset(cells[best])
    return out


def kept() -> Callable[[list[Tenant], list[Replica]], Homes]:
    """The program's way, on its own earlier placement."""
    before = None

    def way(tenants: list[Tenant], replicas: list[Replica]) -> Homes:
        nonlocal before
        before = plan_placement(
            tenants, replicas, PlacementRequirements(CELLS, 4, 3, spare_share=0.1), before
        )
        members: dict[int, set[str]] = {}
        for w, c in before.replicas.items():
            members.setdefault(c, set()).add(w)
        return {t: frozenset(members[c]) for t, c in before.tenants.items()}

    return way


def rows(tenants: int, workers: int) -> list[tuple[object, ...]]:
    """The row of each way: time, tenants harmed by one that poisons its replicas, a lost replica."""
    all_tenants, replicas = fleet(tenants, workers)
    demand = {t.name: t.demand for t in all_tenants}
    out: list[tuple[object, ...]] = []
    ways = {"kept placement": kept(), "rendezvous, bounded": bounded, "shuffle sharding": shuffled}
    for name, way in ways.items():
        began = time.perf_counter()
        first = way(all_tenants, replicas)
        took = time.perf_counter() - began
        by_worker: dict[str, set[str]] = {}
        for t, ws in first.items():
            for w in ws:
                by_worker.setdefault(w, set()).add(t)
        rng, all_gone, touched = random.Random(2), [], []
        for t in rng.sample(sorted(first), 200):  # it poisons every worker that serves it
            hurt = set.union(*(by_worker[w] for w in first[t]))
            all_gone.append(sum(first[x] <= first[t] for x in hurt) / len(first))
            touched.append(len(hurt) / len(first))
        lost = replicas[7].name
        second = way(all_tenants, [w for w in replicas if w.name != lost])
        moved = sum(bool(second[t] - first[t]) or not (first[t] & second[t]) for t in first)
        strangers = sum(demand[t] for t in first if second[t] != first[t] - {lost}) / sum(demand.values())
        load: dict[str, float] = dict.fromkeys((w.name for w in replicas), 0.0)
        for t, ws in first.items():
            for w in ws:
                load[w] += demand[t] / len(ws)
        out.append(
            (
                name,
                f"{took:.2f}",
                f"{100 * statistics.mean(all_gone):.2f}%",
                f"{100 * statistics.mean(touched):.2f}%",
                moved,
                f"{100 * strangers:.2f}%",
                f"{max(load.values()) / statistics.mean(load.values()):.2f}",
            )
        )
    return out
