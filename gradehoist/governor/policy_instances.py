"""The policies that a governor runs: one for each cell, or a single one for the whole fleet.

Each policy numbers its request classes and tables from zero. The governor gives each policy a consecutive
range of its own indices; `PolicyInstance` converts a policy's indices to the governor's. This module does no
I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field, replace

from gradehoist.interface import (
    BindProxy,
    ClearTable,
    EndpointsListed,
    Event,
    Order,
    ProxyJoined,
    RequestsOffered,
    SetAdmission,
    SetWeight,
)

TABLES_PER_POLICY = 4_096  # table numbers reserved for each policy, which uses a few per group of proxies


@dataclass(frozen=True, slots=True)
class PolicyRevision:
    """A revision of one policy's tables for which the policy requested acknowledgements."""

    policy: int
    revision: int


@dataclass(frozen=True, slots=True)
class PolicyBatch:
    """The events that one policy is given at one time, in the order of arrival."""

    policy: int
    events: list[Event]


@dataclass(frozen=True, slots=True)
class PolicyReply:
    """The orders that one policy gave at one time; `reasons` explains them for the log, by position."""

    policy: int
    orders: list[Order]
    reasons: dict[int, str]


@dataclass
class PolicyInstance:
    """The governor's view of one policy. The core owns it and appends to `events`.

    Attributes:
        number: index of the policy.
        cell: name of its cell; empty without cells.
        class_count: number of request classes of each policy.
        replicas: names of the cell's replicas; None means every replica.
        events: events that the policy has not been given yet.
    """

    number: int
    cell: str
    class_count: int
    replicas: Collection[str] | None = None
    events: list[Event] = field(default_factory=list)

    def owns_replica(self, replica: str) -> bool:
        """Returns whether the policy decides about the replica with this name."""
        return self.replicas is None or replica in self.replicas

    def has_list_update(self) -> bool:
        """Returns whether an update of the endpoint list is among the pending events."""
        return any(isinstance(event, EndpointsListed) for event in self.events)

    def global_class(self, local_class: int) -> int:
        """Returns the governor's index of one of the policy's request classes."""
        return self.number * self.class_count + local_class

    def global_table(self, local_table: int) -> int:
        """Returns the governor's number of one of the policy's tables."""
        return self.number * TABLES_PER_POLICY + local_table

    def to_global(self, order: Order) -> Order:
        """Returns the order with the governor's indices in place of the policy's."""
        match order:
            case SetWeight(table=table) | ClearTable(table=table):
                return replace(order, table=self.global_table(table))
            case BindProxy(table=table, classes=classes):
                return replace(order, table=self.global_table(table), classes=self._global_classes(classes))
            case SetAdmission(table=table, classes=classes):
                return replace(
                    order,
                    table=None if table is None else self.global_table(table),
                    classes=self._global_classes(classes),
                )
        return order

    def _global_classes(self, classes: tuple[int, ...]) -> tuple[int, ...]:
        """Converts class indices; an empty tuple means every class of the policy."""
        return tuple(self.global_class(index) for index in classes or range(self.class_count))


class PolicySet:
    """All policies of one governor; routes events to them. The core owns it."""

    def __init__(self, instances: list[PolicyInstance]) -> None:
        """Creates the set; the position of each policy has to be its number."""
        self._instances = instances

    def __iter__(self) -> Iterator[PolicyInstance]:
        """Iterates over the policies in the order of their numbers."""
        return iter(self._instances)

    def __len__(self) -> int:
        """Returns the number of policies."""
        return len(self._instances)

    def __getitem__(self, number: int) -> PolicyInstance:
        """Returns the policy with this number."""
        return self._instances[number]

    @property
    def class_count(self) -> int:
        """Number of request classes of each policy."""
        return self._instances[0].class_count

    @property
    def has_pending_events(self) -> bool:
        """Whether any policy has pending events."""
        return any(policy.events for policy in self._instances)

    def owns_replica(self, replica: str) -> bool:
        """Returns whether any policy decides about the replica with this name."""
        return any(policy.owns_replica(replica) for policy in self._instances)

    def broadcast(self, event: Event) -> None:
        """Appends the event to the pending events of every policy."""
        for policy in self._instances:
            policy.events.append(event)

    def send_to_owner(self, replica: str, event: Event) -> None:
        """Appends the event to the pending events of the policies that own the replica with this name."""
        for policy in self._instances:
            if policy.owns_replica(replica):
                policy.events.append(event)

    def send_offered(self, offered: RequestsOffered) -> None:
        """Appends a count of requests to the pending events of the policy that owns the request class."""
        policy = self._instances[offered.request_class // self.class_count]
        policy.events.append(replace(offered, request_class=offered.request_class % policy.class_count))

    def introduce_proxy(self, proxy: int, zone: int, request_rate: float) -> None:
        """Notifies every policy of a proxy; each is to expect an equal share of its requests per second."""
        share = request_rate / len(self._instances)
        self.broadcast(ProxyJoined(proxy=proxy, zone=zone, request_rate=share))

    def take_batches(self, urgent_only: bool) -> list[PolicyBatch]:
        """Removes and returns the pending events; with `urgent_only`, only of policies with a list update."""
        batches: list[PolicyBatch] = []
        for policy in self._instances:
            if not policy.events or (urgent_only and not policy.has_list_update()):
                continue
            batches.append(PolicyBatch(policy=policy.number, events=policy.events))
            policy.events = []
        return batches
