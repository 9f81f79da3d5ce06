"""Rule 4: no replica that is warming up is overloaded by proxies whose governor knew of its start."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass

from gradehoist.scenario.checks.checker import Checker, RunContext
from gradehoist.scenario.checks.records import AttemptArrived, Record, ReplicaOverloaded
from gradehoist.scenario.checks.verdict import Rule

# An overload counts if at least 2/3 of the work in the window came from proxies whose governors knew of the
# start; the other governors could not have prevented it. The share is given as two integers, so that rounding
# does not exclude a share of exactly 2/3.
KNOWN_NUMERATOR = 2
KNOWN_DENOMINATOR = 3
CRASH_WINDOW_US = 100_000  # A crash this close to an arrival is attributed to the load of its window.


@dataclass(frozen=True)
class Arrival:
    """Work that arrived during a warm-up; `is_start_known` if the proxy's governor knew of the start."""

    record: Record
    attempt: AttemptArrived
    is_start_known: bool


class OverloadChecker(Checker):
    """Checks the sum of the work in a sliding window after each cold start of a replica."""

    rule = Rule.OVERLOAD

    def __init__(self, context: RunContext) -> None:
        """Creates a checker that has seen no arrivals."""
        super().__init__(context)
        self.arrivals: dict[tuple[str, int], list[Arrival]] = defaultdict(list)  # By replica and incarnation.
        self.crashes: list[tuple[Record, ReplicaOverloaded]] = []

    def on_record(self, record: Record) -> None:
        """Stores arrivals at replicas that are warming up, and crashes by overload."""
        match record.event:
            case AttemptArrived(replica=replica, incarnation=incarnation, proxy=proxy, warmth=warmth):
                if warmth < 1:
                    is_start_known = self._knows_of_start(proxy, replica, record.time_us)
                    arrival = Arrival(record=record, attempt=record.event, is_start_known=is_start_known)
                    self.arrivals[replica, incarnation].append(arrival)
            case ReplicaOverloaded():
                self.crashes.append((record, record.event))

    def finish(self, end_us: int) -> None:
        """Checks each cold start of a replica."""
        for (replica, incarnation), arrivals in self.arrivals.items():
            self.result.occasions += 1
            self._check_warmup(replica, incarnation, arrivals)
        if self.crashes and not self.result.violations:
            self.result.reason = (
                f"{len(self.crashes)} fell, mostly by relays whose governor could not know of the start"
            )

    def _knows_of_start(self, proxy: str, replica: str, time_us: int) -> bool:
        """Returns whether the proxy's governor knew of the replica's last start early enough to act."""
        replay = self.context.replay
        stream = replay.streams.get(proxy)
        if stream is None:
            return False
        view = replay.endpoint_views[stream.governor]
        known = view.incarnations.get(replica)
        if known is None or known.since_us < replay.cold_starts_us.get(replica, 0):
            return False  # The governor was only notified of an earlier start.
        if stream.last_created_us > known.since_us:
            return True
        return time_us - max(known.since_us, stream.since_us) > self.context.plan.rules.drain_grace_us

    def _check_warmup(self, name: str, incarnation: int, arrivals: list[Arrival]) -> None:
        rules = self.context.plan.rules
        replica = self.context.fleet.replicas[name]
        window: deque[Arrival] = deque()
        for arrival in arrivals:
            window.append(arrival)
            while window[0].record.time_us < arrival.record.time_us - rules.overload_window_us:
                window.popleft()
            work_ms = sum(each.attempt.work_ms for each in window)
            known_ms = sum(each.attempt.work_ms for each in window if each.is_start_known)
            if known_ms < work_ms * KNOWN_NUMERATOR / KNOWN_DENOMINATOR:
                continue
            capacity = replica.cores * replica.speed * arrival.attempt.warmth * 1e-3  # ms of work per µs
            budget_ms = rules.overload_multiple * capacity * rules.overload_window_us
            self.update_limit_used(work_ms / budget_ms)
            crashes = self._crashes_near(name, arrival.record.time_us)
            if work_ms > budget_ms and crashes:
                description = (
                    f"pushed over in boot {incarnation}: {work_ms:.0f} ms of work in the span, "
                    f"{budget_ms:.0f} can be borne"
                )
                proxy = arrival.attempt.proxy
                self.add_violation(arrival.record.time_us, description, crashes, proxy=proxy, replica=name)

    def _crashes_near(self, replica: str, time_us: int) -> list[Record]:
        return [
            record
            for record, crash in self.crashes
            if crash.replica == replica and abs(record.time_us - time_us) < CRASH_WINDOW_US
        ]
