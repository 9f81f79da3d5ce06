"""The policies that a governor runs: one for each cell, or a single one for the whole fleet. No I/O.

A policy numbers its request classes and tables from zero. The governor lays these ranges end to end;
`PolicyInstance` converts a policy's indices to the governor's.
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

TABLES_PER_POLICY = 4_096  # table numbers reserved for each policy; it uses a few for each of its groups


@dataclass(frozen=True, slots=True)
class PolicyRevision:
    """A state of one policy's tables whose acknowledgement that policy waits for."""

    policy: int
    revision: int


@dataclass(frozen=True, slots=True)
class PolicyBatch:
    """The events that one policy is given at one time, in the order in which they came."""

    policy: int
    events: list[Event]


@dataclass(frozen=True, slots=True)
class PolicyReply:
    """The orders that one policy gave at one time; `reasons` by the position of the order, for the log."""

    policy: int
    orders: list[Order]
    reasons: dict[int, str]


@dataclass
class PolicyInstance:
    """One policy as its governor sees it. The core owns it and appends to `events`.

    Attributes:
        number: position among the governor's policies.
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
        """Whether the policy decides for the replica of this name."""
        return self.replicas is None or replica in self.replicas

    def has_list_update(self) -> bool:
        """Whether the policy has an update of the endpoint list to be given."""
        return any(isinstance(event, EndpointsListed) for event in self.events)

    def global_class(self, local_class: int) -> int:
        """The governor's index of one of the policy's request classes."""
        return self.number * self.class_count + local_class

    def global_table(self, local_table: int) -> int:
        """The governor's number of one of the policy's tables."""
        return self.number * TABLES_PER_POLICY + local_table

    def to_global(self, order: Order) -> Order:
        """The order with the governor's indices in place of the policy's."""
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
        """No classes at all stand for every class of the policy."""
        return tuple(self.global_class(index) for index in classes or range(self.class_count))


class PolicySet:
    """All policies of one governor, and the routing of events to them. The core owns it."""

    def __init__(self, instances: list[PolicyInstance]) -> None:
        """The position of each policy is its number."""
        self._instances = instances

    def __iter__(self) -> Iterator[PolicyInstance]:
        """The policies in the order of their numbers."""
        return iter(self._instances)

    def __len__(self) -> int:
        """How many policies there are."""
        return len(self._instances)

    def __getitem__(self, number: int) -> PolicyInstance:
        """The policy of this number."""
        return self._instances[number]

    @property
    def class_count(self) -> int:
        """Number of request classes of each policy."""
        return self._instances[0].class_count

    @property
    def has_pending_events(self) -> bool:
        """Whether any policy has events to be given."""
        return any(policy.events for policy in self._instances)

    def owns_replica(self, replica: str) -> bool:
        """Whether any policy decides for the replica of this name."""
        return any(policy.owns_replica(replica) for policy in self._instances)

    def broadcast(self, event: Event) -> None:
        """Gives every policy the event."""
        for policy in self._instances:
            policy.events.append(event)

    def send_to_owner(self, replica: str, event: Event) -> None:
        """Gives the event to the policies that decide for the replica of this name."""
        for policy in self._instances:
            if policy.owns_replica(replica):
                policy.events.append(event)

    def send_offered(self, offered: RequestsOffered) -> None:
        """Gives an observation of one of the governor's classes to the policy that the class belongs to."""
        policy = self._instances[offered.request_class // self.class_count]
        policy.events.append(replace(offered, request_class=offered.request_class % policy.class_count))

    def introduce_proxy(self, proxy: int, zone: int, request_rate: float) -> None:
        """Tells every policy of a proxy; each is to expect an even part of its requests (per second)."""
        share = request_rate / len(self._instances)
        self.broadcast(ProxyJoined(proxy=proxy, zone=zone, request_rate=share))

    def take_batches(self, urgent_only: bool) -> list[PolicyBatch]:
        """Removes and returns the pending events; if `urgent_only`, of policies with a list update alone."""
        batches: list[PolicyBatch] = []
        for policy in self._instances:
            if not policy.events or (urgent_only and not policy.has_list_update()):
                continue
            batches.append(PolicyBatch(policy=policy.number, events=policy.events))
            policy.events = []
        return batches
