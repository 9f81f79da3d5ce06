"""The state that the parts of a proxy share: its plan, random generator, tables and load counters."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from random import Random

import msgspec

from gradehoist.protocol import feed, orca
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.testbed.process import Process
from gradehoist.testbed.scenario_plan import Plan, ProxyPlan


@dataclass
class ReplicaLoad:
    """The attempts at one replica within a reporting period.

    Attributes:
        attempts: The number of attempts that ended.
        failures: The number of those that failed.
        elapsed_us: The total duration of the successful ones.
        report: The latest load report of the replica in this period.
    """

    attempts: int = 0
    failures: int = 0
    elapsed_us: int = 0
    report: orca.OrcaReport | None = None

    def build_record(self, replica: str) -> feed.ReplicaAttempts:
        """Builds the entry of a replica in the load report of a proxy."""
        successes = max(1, self.attempts - self.failures)
        return feed.ReplicaAttempts(
            replica,
            self.attempts,
            self.failures,
            self.elapsed_us // successes,
            *(msgspec.structs.astuple(self.report) if self.report else ()),
        )


@dataclass
class ClassLoad:
    """The requests of one class within a reporting period, and the number that were not completed."""

    requests: int = 0
    incomplete: int = 0


@dataclass
class ProxyContext:
    """The shared state of one proxy."""

    process: Process
    plan: ProxyPlan
    run_plan: Plan
    random: Random
    state: ProxyState = field(default_factory=ProxyState)
    replica_loads: dict[str, ReplicaLoad] = field(default_factory=lambda: defaultdict(ReplicaLoad))
    class_loads: dict[str, ClassLoad] = field(default_factory=lambda: defaultdict(ClassLoad))

    def reset_loads(self) -> None:
        """Starts a reporting period with new counters; attempts in flight still add to the previous ones."""
        self.replica_loads = defaultdict(ReplicaLoad)
        self.class_loads = defaultdict(ClassLoad)
