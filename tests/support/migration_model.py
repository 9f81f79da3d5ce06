"""A model of the migration protocol for model checking: messages, losses, crashes, undos and passing time.

All rules of the protocol come from the production code; the model only delivers messages and crashes
processes. A message that is never delivered is lost. A message that is sent twice is in the network once.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Hashable, Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple

import msgspec

from gradehoist.cells.assignment import (
    EMPTY_STRING_SET,
    AssignmentAck,
    ReplicaFence,
    TenantAssignment,
    TenantDirectory,
    WriteDecision,
)
from gradehoist.cells.migration import Migration, MigrationStep

TENANT = "inn"
LEASE_TICKS = 10
FENCING_WAIT_TICKS = 25  # covers the lease, the settle time and the clients' retries
SOURCE, TARGET = "A", "B"

GOVERNORS: tuple[str, ...] = ("g1",)
REPLICAS_BY_CELL: dict[str, tuple[str, ...]] = {SOURCE: ("a1",), TARGET: ("b1",)}


class Route(NamedTuple):
    """Where a proxy sends the tenant's writes."""

    cell: str
    generation: int


class Notification(NamedTuple):
    """The runner notifies a governor or replica of an assignment."""

    recipient: str
    assignment: TenantAssignment


class Acknowledgement(NamedTuple):
    """A governor or replica acknowledges an assignment to the runner."""

    ack: AssignmentAck


class Heartbeat(NamedTuple):
    """A governor renews the lease of a replica."""

    recipient: str
    assignments: tuple[TenantAssignment, ...]


class Write(NamedTuple):
    """A proxy sends a write to a replica."""

    recipient: str
    route: Route
    key: str


Message = Notification | Acknowledgement | Heartbeat | Write


class Mutation(Enum):
    """A rule that is removed from the protocol; the search has to find a violation without it."""

    NONE = "none"
    NO_WAIT = "no wait"
    NO_LEASE = "no lease"
    BUSY_REPLICAS_CONFIRM = "busy replicas confirm"
    COMPLETED_KEYS_LOST = "completed keys lost"
    UNDO_WITHOUT_CLOSING = "undo without closing"


class Bounds(NamedTuple):
    """How often each of these events has occurred, or may occur."""

    writes: int = 0
    crashes: int = 0
    undos: int = 0
    ticks: int = 0


@dataclass(frozen=True)
class ModelState:
    """The state of all processes and of the network.

    Attributes:
        fences: The fence of each replica.
        directories: The directory of each governor.
        routes: The route of each proxy; None while no cell is open.
        migration: The runner's record in memory; None while the runner is down or before the migration
            exists.
        persisted: The persisted record of the migration.
        network: The messages sent and not delivered yet.
        now: The current time in ticks.
        accepted: The route of each accepted write, in the order of acceptance.
        effects: The keys of the writes that took effect.
        event_counts: How often each kind of bounded event has occurred.
        retried_key: The first key sent since time last passed; clients do not retry older keys.
    """

    fences: Mapping[str, ReplicaFence]
    directories: Mapping[str, TenantDirectory]
    routes: Mapping[str, Route | None]
    migration: Migration | None = None
    persisted: Migration | None = None
    network: tuple[Message, ...] = ()
    now: int = 0
    accepted: tuple[Route, ...] = ()
    effects: tuple[str, ...] = ()
    event_counts: Bounds = Bounds()
    retried_key: str = ""

    def search_key(self) -> Hashable:
        """Returns a key that is equal for states with the same possible futures."""
        return (
            tuple(self._fence_key(fence) for fence in self.fences.values()),
            tuple(directory.assignments.get(TENANT) for directory in self.directories.values()),
            self._migration_key(),
            self._persisted_key(),
            tuple(self.routes.values()),
            frozenset(self.network),
            self.accepted[-1:],
            self.effects,
            self.event_counts,
            self.retried_key,
        )

    def _fence_key(self, fence: ReplicaFence) -> Hashable:
        return (
            max(-1, fence.lease_until_us - self.now),
            fence.in_flight.get(TENANT),
            fence.completed.get(TENANT),
            fence.assignments.get(TENANT),
        )

    def _migration_key(self) -> Hashable:
        migration = self.migration
        if migration is None:
            return None
        since = migration.governors_confirmed_us
        waited = self.now - since if since >= 0 else max(-1, since - self.now)
        return (
            migration.id,
            migration.step,
            migration.confirmed_governors,
            migration.confirmed_replicas,
            migration.completed_keys,
            waited,
            migration.must_close_source,
        )

    def _persisted_key(self) -> Hashable:
        record = self.persisted
        return record and (
            record.id,
            record.step,
            record.confirmed_governors,
            record.confirmed_replicas,
            record.completed_keys,
        )


class Transition(NamedTuple):
    """A possible next event: its kind, its description in failed tests, and the state after it."""

    kind: str
    description: str
    state: ModelState


def initial_state(
    governors: tuple[str, ...] = GOVERNORS,
    replicas_by_cell: Mapping[str, tuple[str, ...]] = REPLICAS_BY_CELL,
    proxy_count: int = 2,
) -> ModelState:
    return ModelState(
        fences={
            name: ReplicaFence(name, cell, lease_until_us=LEASE_TICKS)
            for cell, names in replicas_by_cell.items()
            for name in names
        },
        directories={name: TenantDirectory(name) for name in governors},
        routes={f"r{number}": Route(SOURCE, 1) for number in range(proxy_count)},
    )


def first_migration() -> Migration:
    return Migration(id="m", tenant=TENANT, source=SOURCE, target=TARGET, generation=2)


def send(state: ModelState, *messages: Message) -> ModelState:
    new = tuple(message for message in messages if message not in state.network)
    return replace(state, network=state.network + new)


def persist(state: ModelState, migration: Migration) -> ModelState:
    return replace(state, migration=migration, persisted=migration)


def with_fence(state: ModelState, fence: ReplicaFence) -> ModelState:
    return replace(state, fences={**state.fences, fence.name: fence})


class Model:
    """The transitions that are possible in a state, within bounds."""

    def __init__(
        self,
        bounds: Bounds,
        governors: tuple[str, ...] = GOVERNORS,
        replicas_by_cell: Mapping[str, tuple[str, ...]] = REPLICAS_BY_CELL,
        mutation: Mutation = Mutation.NONE,
    ) -> None:
        self.bounds = bounds
        self.governors = governors
        self.replicas_by_cell = replicas_by_cell
        self.mutation = mutation

    def transitions(self, state: ModelState) -> Iterator[Transition]:
        yield from self._runner_transitions(state)
        for message in state.network:
            kind = f"deliver {type(message).__name__}"
            yield Transition(kind, f"delivered {message}", self.deliver(state, message))
        yield from self._governor_transitions(state)
        yield from self._proxy_transitions(state)
        yield from self._replica_transitions(state)
        yield from self._time_transitions(state)

    def _runner_transitions(self, state: ModelState) -> Iterator[Transition]:
        migration = state.migration
        if migration is None and state.persisted is None:
            yield Transition("create", "create the migration", persist(state, first_migration()))
            return
        if migration is None:
            assert state.persisted is not None
            restarted = replace(state, migration=state.persisted.restarted())
            yield Transition("runner", "the runner restarts", restarted)
            return
        assignment = migration.assignment()
        recipients = migration.pending_recipients(self.governors, self.replicas_by_cell)
        notified = send(state, *(Notification(name, assignment) for name in recipients))
        if notified != state:
            yield Transition("runner", "the runner notifies", notified)
        wait = 0 if self.mutation is Mutation.NO_WAIT else FENCING_WAIT_TICKS
        after = migration.advance(state.now, self.governors, self.replicas_by_cell, wait)
        if after != migration:
            yield Transition("runner", f"the runner advances to {after.step.value}", persist(state, after))
        may_undo = migration.step is not MigrationStep.DONE and not migration.is_undo
        if may_undo and state.event_counts.undos < self.bounds.undos:
            yield Transition("undo", "undo", self._undo(state, migration))
        if state.event_counts.crashes < self.bounds.crashes:
            yield Transition("runner", "the runner crashes", replace(self._crash(state), migration=None))

    def _undo(self, state: ModelState, migration: Migration) -> ModelState:
        undo = migration.undo()
        if self.mutation is Mutation.UNDO_WITHOUT_CLOSING:
            undo = msgspec.structs.replace(undo, must_close_source=False)
        event_counts = state.event_counts._replace(undos=state.event_counts.undos + 1)
        return replace(persist(state, undo), event_counts=event_counts)

    @staticmethod
    def _crash(state: ModelState) -> ModelState:
        return replace(
            state, event_counts=state.event_counts._replace(crashes=state.event_counts.crashes + 1)
        )

    @staticmethod
    def _tick(state: ModelState) -> ModelState:
        return replace(state, event_counts=state.event_counts._replace(ticks=state.event_counts.ticks + 1))

    def _governor_transitions(self, state: ModelState) -> Iterator[Transition]:
        for name, directory in state.directories.items():
            for replica in state.fences:
                heartbeat = Heartbeat(replica, directory.heartbeat_assignments())
                if heartbeat not in state.network and state.event_counts.ticks < self.bounds.ticks:
                    after = send(self._tick(state), heartbeat)
                    yield Transition(f"{name} heartbeats", f"{name} heartbeats {replica}", after)
            cell_and_generation = directory.route(TENANT, SOURCE)
            route = None if cell_and_generation is None else Route(*cell_and_generation)
            for proxy, current_route in state.routes.items():
                if route != current_route:
                    after = replace(state, routes={**state.routes, proxy: route})
                    yield Transition(f"{name} routes", f"{name} routes {proxy}", after)

    def _proxy_transitions(self, state: ModelState) -> Iterator[Transition]:
        if state.event_counts.writes >= self.bounds.writes:
            return
        new_key = f"k{state.event_counts.writes}"
        event_counts = state.event_counts._replace(writes=state.event_counts.writes + 1)
        for proxy, route in state.routes.items():
            if route is None:
                continue
            for replica in self.replicas_by_cell[route.cell]:
                # The key is new, or a client retries a write; none is retried after the settle time.
                for key in dict.fromkeys((new_key, state.retried_key or new_key)):
                    write = Write(replica, route, key)
                    after = replace(state, event_counts=event_counts, retried_key=state.retried_key or key)
                    yield Transition(f"{proxy} sends", f"{proxy} sends {write}", send(after, write))

    def _replica_transitions(self, state: ModelState) -> Iterator[Transition]:
        for name, fence in state.fences.items():
            for key in sorted(fence.in_flight.get(TENANT, EMPTY_STRING_SET)):
                yield Transition(
                    f"{name} completes", f"{name} completes {key}", self._complete(state, name, key)
                )
            if state.event_counts.crashes < self.bounds.crashes:
                after = with_fence(self._crash(state), fence.restarted())
                yield Transition(f"{name} restarts", f"{name} restarts", after)

    def _time_transitions(self, state: ModelState) -> Iterator[Transition]:
        """Time passes beyond the fencing wait: leases expire, and writes in flight complete or are lost."""
        if state.event_counts.ticks >= self.bounds.ticks:
            return
        later = replace(
            self._tick(state),
            now=state.now + FENCING_WAIT_TICKS + 1,
            retried_key="",
            network=tuple(message for message in state.network if not isinstance(message, Write)),
        )
        for name, fence in state.fences.items():
            for key in sorted(fence.in_flight.get(TENANT, EMPTY_STRING_SET)):
                later = self._complete(later, name, key)
        yield Transition("time passes", "time passes", later)

    def _complete(self, state: ModelState, name: str, key: str) -> ModelState:
        """Lets a running write take effect.

        The replicas of a cell share a ledger that prevents a second effect of the same key within the cell.
        Preventing it across cells is the task of the migration protocol.
        """
        after = with_fence(state, state.fences[name].complete_write(TENANT, key))
        cell = self.replicas_by_cell[state.fences[name].cell]
        if any(key in state.fences[other].completed.get(TENANT, EMPTY_STRING_SET) for other in cell):
            return after
        return replace(after, effects=tuple(sorted((*state.effects, key))))

    def without_ineffective_messages(self, state: ModelState) -> ModelState:
        """Removes messages that can have no effect, because processes only apply newer assignments."""
        network = tuple(message for message in state.network if not self._has_no_effect(state, message))
        return state if len(network) == len(state.network) else replace(state, network=network)

    def _has_no_effect(self, state: ModelState, message: Message) -> bool:
        if state.migration is None:
            return False
        match message:
            case Acknowledgement(ack):
                return state.migration.with_acknowledgement(state.now, ack, self.governors) == state.migration
            case Notification(recipient, assignment):
                holder = state.directories.get(recipient) or state.fences[recipient]
                known = holder.assignments.get(TENANT)
                return assignment != state.migration.assignment() and not assignment.supersedes(known)
        return False

    def deliver(self, state: ModelState, message: Message) -> ModelState:
        after = replace(state, network=tuple(other for other in state.network if other != message))
        match message:
            case Heartbeat(recipient, assignments):
                fence = state.fences[recipient].renew_lease(state.now, LEASE_TICKS, assignments)
                return with_fence(after, fence)
            case Write():
                return self._deliver_write(after, message)
            case Notification(recipient, assignment):
                return self._deliver_assignment(after, recipient, assignment)
            case Acknowledgement(ack) if state.migration is not None:
                return persist(after, state.migration.with_acknowledgement(state.now, ack, self.governors))
        return after

    def _deliver_write(self, state: ModelState, write: Write) -> ModelState:
        fence = state.fences[write.recipient]
        after, decision = fence.check_write(state.now, TENANT, *write.route, write.key)
        if self.mutation is Mutation.NO_LEASE and decision is WriteDecision.NO_LEASE:
            leased = replace(fence, lease_until_us=state.now + 1)
            after, decision = leased.check_write(state.now, TENANT, *write.route, write.key)
        state = with_fence(state, after)
        if decision is not WriteDecision.ACCEPT:
            return state
        return replace(state, accepted=(*state.accepted, write.route))

    def _deliver_assignment(
        self, state: ModelState, recipient: str, assignment: TenantAssignment
    ) -> ModelState:
        if recipient in state.directories:
            directory, ack = state.directories[recipient].apply_assignment(assignment)
            state = replace(state, directories={**state.directories, recipient: directory})
        else:
            fence, ack = state.fences[recipient].apply_assignment(assignment)
            ack = self._mutate_acknowledgement(ack)
            state = with_fence(state, fence)
        return send(state, Acknowledgement(ack))

    def _mutate_acknowledgement(self, ack: AssignmentAck) -> AssignmentAck:
        if self.mutation is Mutation.BUSY_REPLICAS_CONFIRM:
            return ack._replace(has_writes_in_flight=False)
        if self.mutation is Mutation.COMPLETED_KEYS_LOST:
            return ack._replace(completed_keys=EMPTY_STRING_SET)
        return ack


def find_violation(before: ModelState, after: ModelState) -> str:
    """Describes a violation in the transition from `before` to `after`; returns "" if there is none."""
    if len(set(after.effects)) < len(after.effects):
        return f"a key took effect twice: {after.effects}"
    if len(after.accepted) > len(before.accepted):
        cell, generation = after.accepted[-1]
        if any(other.generation > generation and other.cell != cell for other in after.accepted):
            return f"a write accepted at {cell}, generation {generation}, after a newer cell accepted one"
        others = [f.name for f in after.fences.values() if f.cell != cell and f.in_flight.get(TENANT)]
        if others:
            return f"a write accepted at {cell} while {others} had one in flight"
    return ""


class SearchResult(NamedTuple):
    """The number of states visited, and the steps to the first violation, if there is one."""

    state_count: int
    steps: list[str]


def search(model: Model, state: ModelState, max_states: int) -> SearchResult:
    """Searches all states within the bounds breadth-first, up to `max_states`."""
    reached: dict[Hashable, tuple[Hashable, str]] = {state.search_key(): (None, "")}
    queue = deque([state])
    while queue:
        current = queue.popleft()
        for transition in model.transitions(current):
            after = model.without_ineffective_messages(transition.state)
            violation = find_violation(current, after)
            if violation:
                last_steps = [transition.description, f"VIOLATION: {violation}"]
                return SearchResult(len(reached), _steps_to(reached, current.search_key()) + last_steps)
            key = after.search_key()
            if key in reached:
                continue
            reached[key] = (current.search_key(), transition.description)
            if len(reached) > max_states:
                return SearchResult(len(reached), [])
            queue.append(after)
    return SearchResult(len(reached), [])


def _steps_to(reached: Mapping[Hashable, tuple[Hashable, str]], key: Hashable) -> list[str]:
    steps = []
    while key is not None:
        key, text = reached[key]
        steps.append(text)
    return steps[::-1]


class RandomRun(NamedTuple):
    """The steps of a run, the state after them, and the violation that ended it, or ""."""

    steps: list[str]
    state: ModelState
    violation: str


def run_randomly(seed: int, length: int = 120) -> RandomRun:
    """Takes random transitions with two governors, two replicas per cell, crashes, undos and passing time."""
    governors = ("g1", "g2")
    replicas_by_cell = {SOURCE: ("a1", "a2"), TARGET: ("b1", "b2")}
    bounds = Bounds(writes=12, crashes=5, undos=seed % 2, ticks=14)
    model = Model(bounds, governors, replicas_by_cell)
    state = initial_state(governors, replicas_by_cell, 3)
    generator = random.Random(seed)
    steps: list[str] = []
    for _ in range(length):
        transitions = list(model.transitions(state))
        if not transitions:
            break
        kind = generator.choice(sorted({transition.kind for transition in transitions}))
        transition = generator.choice([transition for transition in transitions if transition.kind == kind])
        steps.append(transition.description)
        violation = find_violation(state, transition.state)
        if violation:
            return RandomRun(steps, transition.state, violation)
        state = transition.state
    return RandomRun(steps, state, "")


def run_to(step: MigrationStep, state: ModelState, model: Model) -> ModelState:
    """Runs a migration without losses or crashes until it reaches a step; returns the state then."""
    for _ in range(200):
        if state.migration and state.migration.step is step:
            return state
        transitions = list(model.transitions(state))
        state = next(
            transition.state
            for prefix in ("the runner advances", "delivered", "the runner notifies", "create")
            for transition in transitions
            if transition.description.startswith(prefix)
        )
    raise AssertionError(f"the migration did not reach {step}")
