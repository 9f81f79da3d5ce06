"""A model of the migration protocol: messages, losses, crashes, undos and passing time.

Every rule of the protocol is the shipped code's; the model only carries messages and lets processes crash. A
message that is never delivered is lost, and one that is sent again is the same.
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
    NO_WRITE_KEYS,
    AssignmentAck,
    ReplicaFence,
    TenantAssignment,
    TenantDirectory,
    WriteDecision,
)
from gradehoist.cells.migration import Migration, MigrationStep

TENANT = "inn"
LEASE = 10  # ticks
WAIT = 25  # ticks; it covers lease, settle time and the clients' retries
SOURCE, TARGET = "A", "B"

GOVERNORS: tuple[str, ...] = ("g1",)
REPLICAS_BY_CELL: dict[str, tuple[str, ...]] = {SOURCE: ("a1",), TARGET: ("b1",)}


class Route(NamedTuple):
    """Where a proxy sends the tenant's writes."""

    cell: str
    generation: int


class Notify(NamedTuple):
    """The runner notifies a governor or replica."""

    recipient: str
    assignment: TenantAssignment


class Answer(NamedTuple):
    """The runner is answered."""

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


Message = Notify | Answer | Heartbeat | Write


class Weakness(Enum):
    """A protocol that lacks one of its rules; the search has to find each."""

    NONE = "none"
    NO_WAIT = "no wait"
    NO_LEASE = "no lease"
    BUSY_REPLICAS_CONFIRM = "busy replicas confirm"
    COMPLETED_KEYS_LOST = "completed keys lost"
    UNDO_WITHOUT_CLOSING = "undo without closing"


class Bounds(NamedTuple):
    """How often each of these may happen."""

    writes: int = 0
    crashes: int = 0
    undos: int = 0
    ticks: int = 0


@dataclass(frozen=True)
class World:
    """The state of all processes and of the network.

    Attributes:
        migration: The runner's record in memory; None while it is dead or before the order.
        persisted: The record as persisted.
        accepted: Cell and generation of each accepted write, in their true order.
        effects: Keys that took effect.
        retried_key: The first key sent since time passed: no client retries an older one.
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
    happened: Bounds = Bounds()
    retried_key: str = ""

    def key(self) -> Hashable:
        """Equal for worlds from which the same may happen."""
        return (
            tuple(self._fence_key(fence) for fence in self.fences.values()),
            tuple(directory.assignments.get(TENANT) for directory in self.directories.values()),
            self._migration_key(),
            self._persisted_key(),
            tuple(self.routes.values()),
            frozenset(self.network),
            self.accepted[-1:],
            self.effects,
            self.happened,
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
        m = self.migration
        if m is None:
            return None
        since = m.governors_confirmed_us
        waited = self.now - since if since >= 0 else max(-1, since - self.now)
        return (
            m.id,
            m.step,
            m.confirmed_governors,
            m.confirmed_replicas,
            m.completed_keys,
            waited,
            m.must_close_source,
        )

    def _persisted_key(self) -> Hashable:
        m = self.persisted
        return m and (m.id, m.step, m.confirmed_governors, m.confirmed_replicas, m.completed_keys)


class Option(NamedTuple):
    """What may happen next: its kind, a text for people, and the world after it."""

    kind: str
    text: str
    world: World


def initial_world(
    governors: tuple[str, ...] = GOVERNORS,
    replicas_by_cell: Mapping[str, tuple[str, ...]] = REPLICAS_BY_CELL,
    proxy_count: int = 2,
) -> World:
    return World(
        fences={
            name: ReplicaFence(name, cell, lease_until_us=LEASE)
            for cell, names in replicas_by_cell.items()
            for name in names
        },
        directories={name: TenantDirectory(name) for name in governors},
        routes={f"r{number}": Route(SOURCE, 1) for number in range(proxy_count)},
    )


def first_migration() -> Migration:
    return Migration(id="m", tenant=TENANT, source=SOURCE, target=TARGET, generation=2)


def send(world: World, *messages: Message) -> World:
    new = tuple(message for message in messages if message not in world.network)
    return replace(world, network=world.network + new)


def persist(world: World, migration: Migration) -> World:
    return replace(world, migration=migration, persisted=migration)


def with_fence(world: World, fence: ReplicaFence) -> World:
    return replace(world, fences={**world.fences, fence.name: fence})


class Model:
    """What may happen in a world, within bounds."""

    def __init__(
        self,
        bounds: Bounds,
        governors: tuple[str, ...] = GOVERNORS,
        replicas_by_cell: Mapping[str, tuple[str, ...]] = REPLICAS_BY_CELL,
        weakness: Weakness = Weakness.NONE,
    ) -> None:
        self.bounds = bounds
        self.governors = governors
        self.replicas_by_cell = replicas_by_cell
        self.weakness = weakness

    def options(self, world: World) -> Iterator[Option]:
        yield from self._runner_options(world)
        for message in world.network:
            kind = f"deliver {type(message).__name__}"
            yield Option(kind, f"delivered {message}", self.deliver(world, message))
        yield from self._governor_options(world)
        yield from self._proxy_options(world)
        yield from self._replica_options(world)
        yield from self._time_options(world)

    def _runner_options(self, world: World) -> Iterator[Option]:
        migration = world.migration
        if migration is None and world.persisted is None:
            yield Option("create", "create the migration", persist(world, first_migration()))
            return
        if migration is None:
            assert world.persisted is not None
            restarted = replace(world, migration=world.persisted.restarted())
            yield Option("runner", "the runner starts again", restarted)
            return
        assignment = migration.assignment()
        recipients = migration.pending_recipients(self.governors, self.replicas_by_cell)
        notified = send(world, *(Notify(name, assignment) for name in recipients))
        if notified != world:
            yield Option("runner", "the runner notifies", notified)
        wait = 0 if self.weakness is Weakness.NO_WAIT else WAIT
        after = migration.advance(world.now, self.governors, self.replicas_by_cell, wait)
        if after != migration:
            yield Option("runner", f"the runner goes to {after.step.value}", persist(world, after))
        may_undo = migration.step is not MigrationStep.DONE and not migration.is_undo
        if may_undo and world.happened.undos < self.bounds.undos:
            yield Option("undo", "undo", self._undo(world, migration))
        if world.happened.crashes < self.bounds.crashes:
            yield Option("runner", "the runner dies", replace(self._crash(world), migration=None))

    def _undo(self, world: World, migration: Migration) -> World:
        undo = migration.undo()
        if self.weakness is Weakness.UNDO_WITHOUT_CLOSING:
            undo = msgspec.structs.replace(undo, must_close_source=False)
        happened = world.happened._replace(undos=world.happened.undos + 1)
        return replace(persist(world, undo), happened=happened)

    @staticmethod
    def _crash(world: World) -> World:
        return replace(world, happened=world.happened._replace(crashes=world.happened.crashes + 1))

    @staticmethod
    def _tick(world: World) -> World:
        return replace(world, happened=world.happened._replace(ticks=world.happened.ticks + 1))

    def _governor_options(self, world: World) -> Iterator[Option]:
        for name, directory in world.directories.items():
            for replica in world.fences:
                heartbeat = Heartbeat(replica, directory.heartbeat_assignments())
                if heartbeat not in world.network and world.happened.ticks < self.bounds.ticks:
                    after = send(self._tick(world), heartbeat)
                    yield Option(f"{name} heartbeats", f"{name} heartbeats {replica}", after)
            found = directory.route(TENANT, SOURCE)
            route = None if found is None else Route(*found)
            for proxy, held in world.routes.items():
                if route != held:
                    after = replace(world, routes={**world.routes, proxy: route})
                    yield Option(f"{name} routes", f"{name} routes {proxy}", after)

    def _proxy_options(self, world: World) -> Iterator[Option]:
        if world.happened.writes >= self.bounds.writes:
            return
        new_key = f"k{world.happened.writes}"
        happened = world.happened._replace(writes=world.happened.writes + 1)
        for proxy, route in world.routes.items():
            if route is None:
                continue
            for replica in self.replicas_by_cell[route.cell]:
                # A new write, or a client's retry: longer than the settle time none is retried.
                for key in dict.fromkeys((new_key, world.retried_key or new_key)):
                    write = Write(replica, route, key)
                    after = replace(world, happened=happened, retried_key=world.retried_key or key)
                    yield Option(f"{proxy} sends", f"{proxy} sends {write}", send(after, write))

    def _replica_options(self, world: World) -> Iterator[Option]:
        for name, fence in world.fences.items():
            for key in sorted(fence.in_flight.get(TENANT, NO_WRITE_KEYS)):
                yield Option(f"{name} completes", f"{name} completes {key}", self._complete(world, name, key))
            if world.happened.crashes < self.bounds.crashes:
                after = with_fence(self._crash(world), fence.restarted())
                yield Option(f"{name} restarts", f"{name} restarts", after)

    def _time_options(self, world: World) -> Iterator[Option]:
        """Leases expire, and what is in flight is settled well within the wait."""
        if world.happened.ticks >= self.bounds.ticks:
            return
        later = replace(
            self._tick(world),
            now=world.now + WAIT + 1,
            retried_key="",
            network=tuple(message for message in world.network if not isinstance(message, Write)),
        )
        for name, fence in world.fences.items():
            for key in sorted(fence.in_flight.get(TENANT, NO_WRITE_KEYS)):
                later = self._complete(later, name, key)
        yield Option("time passes", "time passes", later)

    def _complete(self, world: World, name: str, key: str) -> World:
        """The effect of a write. Within a cell its ledger takes a key once; between cells migrations must."""
        after = with_fence(world, world.fences[name].complete_write(TENANT, key))
        cell = self.replicas_by_cell[world.fences[name].cell]
        if any(key in world.fences[other].completed.get(TENANT, NO_WRITE_KEYS) for other in cell):
            return after
        return replace(after, effects=tuple(sorted((*world.effects, key))))

    def without_idle_messages(self, world: World) -> World:
        """Leave out messages that can change nothing any more: what is held only ever grows newer."""
        network = tuple(message for message in world.network if not self._is_idle(world, message))
        return world if len(network) == len(world.network) else replace(world, network=network)

    def _is_idle(self, world: World, message: Message) -> bool:
        if world.migration is None:
            return False
        match message:
            case Answer(ack):
                return world.migration.with_acknowledgement(world.now, ack, self.governors) == world.migration
            case Notify(recipient, assignment):
                holder = world.directories.get(recipient) or world.fences[recipient]
                known = holder.assignments.get(TENANT)
                return assignment != world.migration.assignment() and not assignment.supersedes(known)
        return False

    def deliver(self, world: World, message: Message) -> World:
        after = replace(world, network=tuple(other for other in world.network if other != message))
        match message:
            case Heartbeat(recipient, assignments):
                fence = world.fences[recipient].renew_lease(world.now, LEASE, assignments)
                return with_fence(after, fence)
            case Write():
                return self._deliver_write(after, message)
            case Notify(recipient, assignment):
                return self._deliver_assignment(after, recipient, assignment)
            case Answer(ack) if world.migration is not None:
                return persist(after, world.migration.with_acknowledgement(world.now, ack, self.governors))
        return after

    def _deliver_write(self, world: World, write: Write) -> World:
        fence = world.fences[write.recipient]
        after, decision = fence.check_write(world.now, TENANT, *write.route, write.key)
        if self.weakness is Weakness.NO_LEASE and decision is WriteDecision.NO_LEASE:
            leased = replace(fence, lease_until_us=world.now + 1)
            after, decision = leased.check_write(world.now, TENANT, *write.route, write.key)
        world = with_fence(world, after)
        if decision is not WriteDecision.ACCEPT:
            return world
        return replace(world, accepted=(*world.accepted, write.route))

    def _deliver_assignment(self, world: World, recipient: str, assignment: TenantAssignment) -> World:
        if recipient in world.directories:
            directory, ack = world.directories[recipient].apply_assignment(assignment)
            world = replace(world, directories={**world.directories, recipient: directory})
        else:
            fence, ack = world.fences[recipient].apply_assignment(assignment)
            ack = self._weaken(ack)
            world = with_fence(world, fence)
        return send(world, Answer(ack))

    def _weaken(self, ack: AssignmentAck) -> AssignmentAck:
        if self.weakness is Weakness.BUSY_REPLICAS_CONFIRM:
            return ack._replace(has_writes_in_flight=False)
        if self.weakness is Weakness.COMPLETED_KEYS_LOST:
            return ack._replace(completed_keys=NO_WRITE_KEYS)
        return ack


def find_violation(before: World, after: World) -> str:
    """What must never be, or "". A write is settled when it has taken effect."""
    if len(set(after.effects)) < len(after.effects):
        return f"a key took effect twice: {after.effects}"
    if len(after.accepted) > len(before.accepted):
        cell, generation = after.accepted[-1]
        if any(other.generation > generation and other.cell != cell for other in after.accepted):
            return f"a write at {cell}, generation {generation}, after a later cell took one"
        others = [f.name for f in after.fences.values() if f.cell != cell and f.in_flight.get(TENANT)]
        if others:
            return f"a write taken at {cell} while {others} has one in hand"
    return ""


class SearchResult(NamedTuple):
    """How many worlds were seen, and the steps to the first violation, if there is one."""

    world_count: int
    steps: list[str]


def search(model: Model, world: World, max_worlds: int) -> SearchResult:
    """Search breadth first through all worlds that the bounds allow, up to `max_worlds`."""
    reached: dict[Hashable, tuple[Hashable, str]] = {world.key(): (None, "")}
    queue = deque([world])
    while queue:
        here = queue.popleft()
        for option in model.options(here):
            after = model.without_idle_messages(option.world)
            violation = find_violation(here, after)
            if violation:
                last_steps = [option.text, f"WRONG: {violation}"]
                return SearchResult(len(reached), _steps_to(reached, here.key()) + last_steps)
            key = after.key()
            if key in reached:
                continue
            reached[key] = (here.key(), option.text)
            if len(reached) > max_worlds:
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
    """The steps of a run, the world after them, and the violation that ended it or ""."""

    steps: list[str]
    world: World
    violation: str


def run_randomly(seed: int, length: int = 120) -> RandomRun:
    """One long run with two governors, two replicas a cell, crashes, undos and passing time."""
    governors = ("g1", "g2")
    replicas_by_cell = {SOURCE: ("a1", "a2"), TARGET: ("b1", "b2")}
    bounds = Bounds(writes=12, crashes=5, undos=seed % 2, ticks=14)
    model = Model(bounds, governors, replicas_by_cell)
    world = initial_world(governors, replicas_by_cell, 3)
    generator = random.Random(seed)
    steps: list[str] = []
    for _ in range(length):
        options = list(model.options(world))
        if not options:
            break
        kind = generator.choice(sorted({option.kind for option in options}))
        option = generator.choice([option for option in options if option.kind == kind])
        steps.append(option.text)
        violation = find_violation(world, option.world)
        if violation:
            return RandomRun(steps, option.world, violation)
        world = option.world
    return RandomRun(steps, world, "")


def run_to(step: MigrationStep, world: World, model: Model) -> World:
    """The world when the migration comes to a step without any loss."""
    for _ in range(200):
        if world.migration and world.migration.step is step:
            return world
        options = list(model.options(world))
        world = next(
            option.world
            for prefix in ("the runner goes", "delivered", "the runner notifies", "create")
            for option in options
            if option.text.startswith(prefix)
        )
    raise AssertionError(f"never came to {step}")
