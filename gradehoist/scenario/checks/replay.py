"""Reconstructs the state of a run from its records: streams, the proxies' tables, and endpoint lists.

The checkers read the state after each record.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from gradehoist.cells.routes import class_label
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.scenario.checks.records import (
    EndpointsNotified,
    GovernorKilled,
    Incarnation,
    MessageApplied,
    ProxyStarted,
    ProxyStopped,
    Record,
    ReplicaStarted,
    StreamBegan,
    StreamLost,
)
from gradehoist.testbed.scenario_plan import Plan, ReplicaPlan, RequestClassPlan

READY = "ready"
DRAINING = "draining"
GONE = "gone"
WITHDRAWN_PHASES = (DRAINING, GONE)


class Fleet:
    """The replicas, proxies and classes of a plan by name."""

    def __init__(self, plan: Plan) -> None:
        """Builds the indexes."""
        self.replicas: dict[str, ReplicaPlan] = {replica.name: replica for replica in plan.replicas}
        self.zone_by_proxy = {proxy.name: proxy.zone for proxy in plan.proxies}
        self.classes: dict[str, RequestClassPlan] = {
            request_class.name: request_class for request_class in plan.classes
        }

    def is_allowed(self, request_class: RequestClassPlan, replica: ReplicaPlan, proxy: str) -> bool:
        """Returns whether the proxy may send the class to the replica by its zones and kinds."""
        proxy_zone = self.zone_by_proxy[proxy]
        if request_class.allowed_zones is not None and replica.zone not in request_class.allowed_zones:
            return False
        if request_class.allowed_kinds is not None and replica.kind not in request_class.allowed_kinds:
            return False
        return not request_class.zone_local or replica.zone == proxy_zone


@dataclass(frozen=True)
class ClassInCell:
    """A class in one cell, and its label in the tables; the cell is empty in a run without cells."""

    cell: str
    label: str
    request_class: RequestClassPlan


def list_classes_by_cell(plan: Plan) -> list[ClassInCell]:
    """Returns every class in every cell, in the order of the plan."""
    return [
        ClassInCell(cell=cell, label=class_label(cell, request_class.name), request_class=request_class)
        for cell in plan.cells or ("",)
        for request_class in plan.classes
    ]


@dataclass(frozen=True)
class PhaseSince:
    """A replica's phase, and the time of the notification from which it counts."""

    phase: str
    since_us: int


@dataclass(frozen=True)
class IncarnationSince:
    """A replica's incarnation, and the time of the first notification of it."""

    incarnation: Incarnation
    since_us: int


@dataclass
class EndpointView:
    """The endpoint list as known to one governor."""

    phases: dict[str, PhaseSince] = field(default_factory=dict)
    incarnations: dict[str, IncarnationSince] = field(default_factory=dict)
    withdrawals: int = 0  # The number of times that a replica began to drain or was gone.

    def apply(self, event: EndpointsNotified, time_us: int) -> None:
        """Applies a notification; a known replica that a snapshot does not contain is gone."""
        if event.is_snapshot:
            for replica in self.phases:
                if replica not in event.endpoints:
                    self._set_phase(replica, GONE, time_us)
        for replica, (phase, incarnation) in event.endpoints.items():
            self._set_phase(replica, phase, time_us)
            known = self.incarnations.get(replica)
            if known is None or known.incarnation != incarnation:
                self.incarnations[replica] = IncarnationSince(incarnation, time_us)

    def _set_phase(self, replica: str, phase: str, time_us: int) -> None:
        known = self.phases.get(replica)
        if known is not None and known.phase == phase:
            return
        if known is not None and known.phase in WITHDRAWN_PHASES and phase in WITHDRAWN_PHASES:
            # The drain grace is counted from the first of the two phases.
            self.phases[replica] = PhaseSince(phase, known.since_us)
            return
        self.phases[replica] = PhaseSince(phase, time_us)
        if phase in WITHDRAWN_PHASES:
            self.withdrawals += 1


@dataclass
class Stream:
    """A stream from a governor to a proxy."""

    governor: str
    since_us: int
    last_created_us: int = 0  # The creation time of the message that was applied last.


class Replay:
    """The state after the records given to `apply`, which must be in order of time."""

    def __init__(self) -> None:
        """Creates a state without streams."""
        self.streams: dict[str, Stream] = {}  # By proxy.
        self.proxy_states: dict[str, ProxyState] = defaultdict(ProxyState)
        self.endpoint_views: dict[str, EndpointView] = defaultdict(EndpointView)  # By governor.
        self.cold_starts_us: dict[str, int] = {}  # The last cold start, by replica.
        self.ended_streams: list[str] = []  # The proxies whose stream was ended by the last record.

    def view_of(self, proxy: str) -> EndpointView | None:
        """Returns the endpoint list of the governor that the proxy has a stream from, or None."""
        stream = self.streams.get(proxy)
        return None if stream is None else self.endpoint_views[stream.governor]

    def proxies_of(self, governor: str) -> list[str]:
        """Returns the proxies with a stream from the governor, oldest stream first."""
        return [proxy for proxy, stream in self.streams.items() if stream.governor == governor]

    def apply(self, record: Record) -> None:
        """Applies a record."""
        self.ended_streams = []
        match record.event:
            case StreamBegan(proxy=proxy, governor=governor):
                self._end_stream(proxy)
                self.streams[proxy] = Stream(governor=governor, since_us=record.time_us)
                self.proxy_states[proxy].begin_stream()
            case StreamLost(proxy=proxy):
                self._end_stream(proxy)
            case ProxyStopped(proxy=proxy):
                self._end_stream(proxy)
                self.proxy_states.pop(proxy, None)
            case GovernorKilled(governor=governor):
                for proxy in self.proxies_of(governor):
                    self._end_stream(proxy)
            case MessageApplied():
                self._apply_message(record.event)
            case EndpointsNotified(governor=governor):
                self.endpoint_views[governor].apply(record.event, record.time_us)
            case ProxyStarted(proxy=proxy, default_tables=tables):
                self.proxy_states[proxy] = ProxyState()
                self.proxy_states[proxy].install_default_tables(tables)
            case ReplicaStarted(replica=replica, is_cold=True):
                self.cold_starts_us[replica] = record.time_us

    def end(self) -> None:
        """Ends all streams at the end of the records."""
        self.ended_streams = []
        for proxy in list(self.streams):
            self._end_stream(proxy)

    def _end_stream(self, proxy: str) -> None:
        if self.streams.pop(proxy, None) is not None:
            self.ended_streams.append(proxy)

    def _apply_message(self, event: MessageApplied) -> None:
        self.proxy_states[event.proxy].apply(event.message)
        stream = self.streams.get(event.proxy)
        if stream is not None:
            stream.last_created_us = event.message.created_us
