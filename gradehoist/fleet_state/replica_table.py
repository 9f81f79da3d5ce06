"""The states of all replicas, and which of them each request class may use."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import product
from statistics import fmean, median

from gradehoist.actors import MessageLoop
from gradehoist.fleet_state.replica_actor import ReplicaActor
from gradehoist.interface import (
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Phase,
    PolicyConfig,
    RequestClass,
)
from gradehoist.messages import HoldBackReason, ReplicaState
from gradehoist.numeric import majority_median


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may get a line in a table, and its planned weight."""

    endpoint: Endpoint
    weight: float


Candidates = dict[int, Candidate]  # by replica


class ReplicaTable:
    """Replicas by index: their entries in the endpoint list, and the states that their actors publish."""

    def __init__(
        self, loop: MessageLoop, config: PolicyConfig, class_sets: Sequence[tuple[int, ...]]
    ) -> None:
        """Create an empty table; the classes of a class set have the same placement limits."""
        self._loop = loop
        self._warmup_us = config.safety.warmup_us
        self.endpoints: dict[int, Endpoint] = {}
        self.actors: dict[int, ReplicaActor] = {}
        # Position of each replica on the ring of its zone, from 0 to 1.
        self.positions: dict[int, float] = {}
        # Cold replicas that stay withdrawn for now, and why.
        self.held_back: dict[int, HoldBackReason] = {}
        # Open replicas whose readmission is not written yet.
        self.readmission_pending: set[int] = set()
        # Live replicas without a line in the tables of this governor's own proxies.
        self.unused: set[int] = set()
        self.states: dict[int, ReplicaState] = {}
        self.zone_count = config.zone_count
        self.class_sets = class_sets
        self._limits = [config.classes[members[0]] for members in class_sets]

    def update_endpoints(self, listed: EndpointsListed) -> list[Endpoint]:
        """Apply an endpoint list; return the changed entries. A complete list marks missing ones as gone."""
        if listed.kind is EndpointListKind.FAILED:
            return []
        entries = {endpoint.replica: endpoint for endpoint in listed.endpoints}
        if listed.kind is not EndpointListKind.DELTA:
            gone = {n: replace(endpoint, phase=Phase.GONE) for n, endpoint in self.endpoints.items()}
            entries = gone | entries
        changed = [endpoint for n, endpoint in entries.items() if self.endpoints.get(n) != endpoint]
        self.endpoints |= entries
        return changed

    def mean_size(self) -> float:
        """Return the mean size of the ready endpoints, or 1 if there are none; a size of 0 counts as 1."""
        return fmean([e.size or 1 for e in self.endpoints.values() if e.phase is Phase.READY] or [1])

    def update(self, state: ReplicaState) -> bool:
        """Store a replica's new state; return whether tables and withdrawals have to be reconsidered."""
        replica = state.endpoint.replica
        # The actor of a removed replica may still have sent a message.
        if replica not in self.actors:
            return False
        old = self.states.get(replica)
        self.states[replica] = state
        self.zone_count = max(self.zone_count, state.endpoint.zone + 1)
        return not state.is_routed_like(old)

    def add(self, actor: ReplicaActor) -> None:
        """Add a replica that is listed for the first time, at a random position of its zone's ring."""
        replica = actor.state.endpoint.replica
        self.actors[replica] = actor
        self.positions[replica] = self._loop.random()

    def mark_ejecting(self, replica: int) -> None:
        """Count a replica as ejected before its actor confirms it.

        Otherwise, all replicas that fail in one batch could be ejected, each as if it were the first.
        """
        self.states[replica] = replace(self.states[replica], is_ejecting=True)

    def ring(self, zone: int, replicas: Iterable[int]) -> list[int]:
        """Return the replicas that are in a zone, ordered by their positions on its ring."""
        members = [replica for replica in replicas if self.endpoints[replica].zone == zone]
        return sorted(members, key=lambda replica: self.positions[replica])

    def send(self, replica: int, message: object) -> None:
        """Send a message to the actor of a replica."""
        self._loop.send(self.actors[replica], message)

    def remove(self, replica: int) -> None:
        """Remove a replica and all that is known of it."""
        del self.actors[replica]
        del self.positions[replica]
        del self.endpoints[replica]
        del self.states[replica]

    def send_all(self, message: object) -> None:
        """Send a message to the actors of all replicas."""
        for actor in self.actors.values():
            self._loop.send(actor, message)

    def allows(self, class_set: int, endpoint: Endpoint, zone: int) -> bool:
        """Return whether proxies of a zone may send requests of a class set to an endpoint."""
        return self._limits[class_set].allows(endpoint, zone)

    def allowed(self, class_set: int, zone: int, candidates: Candidates) -> Candidates:
        """Return the candidates that proxies of a zone may use for a class set."""
        allows = self._limits[class_set].allows
        return {n: c for n, c in candidates.items() if allows(c.endpoint, zone)}

    def candidates(self, quotas: Mapping[int, float], min_quota: float) -> Candidates:
        """Return the open replicas, each with its weight multiplied by its slow start and its quota."""
        return {
            n: Candidate(state.endpoint, state.weight * state.slow_start * max(min_quota, quotas.get(n, 1.0)))
            for n, state in self.open().items()
        }

    def live(self, ready: Candidates) -> Candidates:
        """Return the candidates that are neither held back nor still to be readmitted."""
        return {n: c for n, c in ready.items() if self.is_in_use(n)}

    def is_in_use(self, replica: int) -> bool:
        """Return whether an open replica is neither held back nor still to be readmitted."""
        return replica not in self.held_back and replica not in self.readmission_pending

    def open(self) -> dict[int, ReplicaState]:
        """Return the replicas that may get requests."""
        return {n: state for n, state in self.states.items() if state.is_open}

    def open_by_zone(self, zone: int) -> dict[int, ReplicaState]:
        """Return the replicas of a zone that may get requests."""
        return {n: state for n, state in self.open().items() if state.endpoint.zone == zone}

    def ready(self) -> list[ReplicaState]:
        """Return the replicas that are listed as ready, ejected ones included."""
        return [state for state in self.states.values() if state.is_ready]

    def peers(self, endpoint: Endpoint) -> Iterator[dict[int, bool]]:
        """Yield, for each class set and zone that may use an endpoint, all replicas that these may use.

        Only ready and warm replicas are included; the values say which of them are open.
        """
        warm_since_us = self.warm_since_us()
        for class_set, zone in product(range(len(self.class_sets)), range(self.zone_count)):
            if self.allows(class_set, endpoint, zone):
                yield {
                    n: state.is_open
                    for n, state in self.states.items()
                    if state.is_ready
                    and state.endpoint.started_us <= warm_since_us
                    and self.allows(class_set, state.endpoint, zone)
                }

    def warm_since_us(self) -> int:
        """Return the latest start time of a replica that is warm now.

        It is not below 0: a start long ago is reported as 0, also when the clock is younger than the warm-up.
        """
        return max(0, self._loop.now_us - self._warmup_us)

    def set_held_back(self, replica: int, reason: HoldBackReason | None) -> None:
        """Set why a cold replica is held back, that is, kept withdrawn for now; None if it is not."""
        if reason is None:
            self.held_back.pop(replica, None)
        else:
            self.held_back[replica] = reason

    def listed(self) -> set[int]:
        """Return the replicas that are not gone, withdrawn ones included.

        The lines of replicas that are gone are removed from tables: otherwise binds would grow, and joining
        would take longer than a drain's grace.
        """
        return {n for n, state in self.states.items() if state.endpoint.phase is not Phase.GONE}

    def open_cold(self) -> set[int]:
        """Return the open replicas that are not warm yet."""
        return {n for n in self.open() if self.is_cold(n)}

    def is_cold(self, replica: int) -> bool:
        """Return whether a replica started too recently to be warm."""
        return self.states[replica].endpoint.started_us > self.warm_since_us()

    def median_period_us(self, at_least_us: int) -> int:
        """Return the median report period of the open replicas, at least `at_least_us`."""
        return int(max(at_least_us, median([s.period_us for s in self.open().values()] or [0])))

    def mean_weight(self) -> float:
        """Return the mean weight of the open replicas; at least one must be open."""
        return fmean(state.weight for state in self.open().values())

    def in_use(self) -> list[ReplicaState]:
        """Return the open replicas that have lines in the tables of this governor's own proxies."""
        return [state for n, state in self.open().items() if n not in self.unused]

    def has_warm_open(self) -> bool:
        """Return whether any warm replica is open."""
        warm_since_us = self.warm_since_us()
        return any(s.is_open and s.endpoint.started_us <= warm_since_us for s in self.states.values())


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """The replicas that requests of a class may be sent to."""

    allowed_zones: tuple[int, ...] | None
    allowed_kinds: tuple[int, ...] | None
    zone_local: bool


def classes_by_limits(classes: Sequence[RequestClass]) -> dict[PlacementLimits, tuple[int, ...]]:
    """Return the indices of the classes, grouped by their placement limits."""
    by_limits: dict[PlacementLimits, list[int]] = {}
    for index, request_class in enumerate(classes):
        limits = PlacementLimits(
            request_class.allowed_zones, request_class.allowed_kinds, request_class.zone_local
        )
        by_limits.setdefault(limits, []).append(index)
    return {limits: tuple(members) for limits, members in by_limits.items()}


def total_weight(candidates: Iterable[Candidate]) -> float:
    """Return the sum of the candidates' weights."""
    return sum(candidate.weight for candidate in candidates)


def weight_by_zone(candidates: Candidates, zones: Iterable[int]) -> list[float]:
    """Return the sum of the candidates' weights in each zone."""
    return [total_weight(c for c in candidates.values() if c.endpoint.zone == zone) for zone in zones]


def saturation(
    states: Collection[ReplicaState],
    busy_limit: float,
    failure_limit: float,
    latency_objective_us: int,
    latency_limit: float,
) -> float:
    """Return the highest of the median busy share, failure share and latency, each relative to its limit.

    A signal counts only if a majority of the replicas have readings of it. Without this rule, the first
    replica to report, a slow one, made a newly started governor reject half of all requests.
    """
    totals = [s.totals for s in states]
    busy = [s.busy_share / busy_limit for s in states if s.busy_share is not None]
    failures = [t.failures / t.attempts / failure_limit for t in totals if t.attempts >= 1]
    latency = [
        t.mean_latency_us / latency_objective_us / latency_limit for t in totals if t.attempts > t.failures
    ]
    return max(majority_median(signal, len(states)) for signal in (busy, failures, latency))


def failure_share(states: Iterable[ReplicaState]) -> float:
    """Return the share of recent attempts at these replicas that failed."""
    totals = [state.totals for state in states]
    return sum(t.failures for t in totals) / max(1.0, sum(t.attempts for t in totals))
