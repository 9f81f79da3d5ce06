"""The trace: log lines that show the policy's estimates beside the reported load, for debugging."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass

from gradehoist.identifiers import Identifiers
from gradehoist.interface import LoadReport
from gradehoist.messages import ReplicaState
from gradehoist.node.endpoint_list import ListedEndpoint
from gradehoist.policy.planner import Planner
from gradehoist.protocol.lines import AttemptOutcomes

MICROSECONDS_PER_SECOND = 1e6
NOT_REPORTED = -1.0


@dataclass(slots=True)
class Traffic:
    """The totals of the reports on one replica since the last trace."""

    attempts: int = 0
    failures: int = 0
    elapsed_s: float = 0.0  # total of the successful attempts
    busy_share: float = NOT_REPORTED  # from the latest load report
    in_flight: float = NOT_REPORTED  # from the latest load report

    @property
    def mean_s(self) -> float:
        """The mean duration of a successful attempt, or 0 if there was none."""
        successes = self.attempts - self.failures
        return self.elapsed_s / successes if successes > 0 else 0.0

    def add(self, outcomes: AttemptOutcomes, load: LoadReport | None) -> None:
        """Adds one report."""
        successes = outcomes.attempts - outcomes.failures
        self.attempts += outcomes.attempts
        self.failures += outcomes.failures
        self.elapsed_s += outcomes.elapsed_us * successes / MICROSECONDS_PER_SECOND
        if load is not None:
            self.busy_share = NOT_REPORTED if load.busy_share is None else load.busy_share
            self.in_flight = NOT_REPORTED if load.in_flight is None else load.in_flight


class PolicyTrace:
    """Collects reported traffic between traces and formats the lines of a trace."""

    def __init__(self, identifiers: Identifiers) -> None:
        """Creates a trace without traffic."""
        self._identifiers = identifiers
        self._traffic: dict[int, Traffic] = {}

    def record(self, replica: int, outcomes: AttemptOutcomes, load: LoadReport | None) -> None:
        """Adds one report on a replica."""
        self._traffic.setdefault(replica, Traffic()).add(outcomes, load)

    def take_lines(
        self, policy: Planner, endpoints: Mapping[str, ListedEndpoint], withdrawn: Container[int]
    ) -> list[str]:
        """Returns a line for each listed replica and one for the fleet, and resets the traffic."""
        traffic, self._traffic = self._traffic, {}
        actors = policy.fleet.replicas.actors
        lines = []
        for name, endpoint in endpoints.items():
            replica = self._identifiers.replicas[name]
            if replica in actors:
                estimate = _format_estimate(actors[replica].state, replica in withdrawn)
                reported = _format_traffic(traffic.get(replica, Traffic()))
                lines.append(f"trace {_format_endpoint(endpoint)} {estimate} | {reported}")
        lines.append(_format_fleet(policy))
        return lines


def _format_endpoint(endpoint: ListedEndpoint) -> str:
    phase = endpoint.phase.value
    return f"{endpoint.replica} {endpoint.zone} {endpoint.kind} {phase} size {endpoint.size:g}"


def _format_estimate(state: ReplicaState, is_withdrawn: bool) -> str:
    return (
        f"weight {state.weight:.3f} slow_start {state.slow_start:.2f} busy_share {state.busy_share} "
        f"in_flight {state.in_flight} ejected {int(state.is_ejected)} withdrawn {int(is_withdrawn)}"
    )


def _format_traffic(traffic: Traffic) -> str:
    return (
        f"attempts {traffic.attempts:g} failures {traffic.failures:g} mean_s {traffic.mean_s:.3f} "
        f"busy_share {traffic.busy_share:.2f} in_flight {traffic.in_flight:.1f}"
    )


def _format_fleet(policy: Planner) -> str:
    fleet = policy.fleet
    pending = {replica: availability.value for replica, availability in fleet.withdrawals.pending.items()}
    return (
        f"trace fleet admitted_share {policy.admission.admitted_share:.3f} "
        f"unacknowledged_lines {fleet.flow.unacknowledged_lines:.0f} "
        f"pending_binds {len(fleet.proxies.pending_binds)} pending_updates {pending}"
    )
