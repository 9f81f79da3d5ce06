"""Agents over a register under a virtual clock, with faults drawn from a seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gradehoist.coordination.agent import Notification, Participant, ProcessIdentity, StoreRequest
from gradehoist.coordination.election import LeaderElection
from gradehoist.coordination.fencing import Fence, FencingToken
from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    Delete,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    Record,
    SessionEndedError,
    StoreFullError,
    StoreSnapshot,
    StoreUnavailableError,
    WatchBatch,
    WatchEvent,
)
from gradehoist.history.recorder import HistoryRecorder
from gradehoist.history.records import Effect, HistoryEntry
from gradehoist.testbed.etcd_keyspace import Entry, Gone, Keyspace, NoLease

SECOND = 1_000_000
TTL = 6 * SECOND


def record(e: Entry) -> Record:
    token, _, value = e.value.partition(b"\0")
    return Record(e.key.decode(), value, e.modified, token.decode(), str(e.lease or ""))


@dataclass
class Faults:
    """Shares of calls; `away` answers none; `pace` the longest way of a call or answer, µs."""

    lose: float = 0.0
    drop: float = 0.0
    stale: float = 0.0
    repeat: float = 0.0
    cut: float = 0.0
    away: bool = False
    full: bool = False
    pace: int = SECOND // 50


@dataclass
class Process:
    agent: Participant
    claim: LeaderElection
    news: list[Notification] = field(default_factory=list)
    stopped: bool = False
    held_back: list[Callable[[], None]] = field(default_factory=list)
    turns: int = 0
    counting: str = ""  # token of its last increment under way
    scribe: HistoryRecorder | None = None

    def told(self, kind: str) -> list[Notification]:
        return [n for n in self.news if n.kind == kind]


class World:
    """`without`: the guard of `GUARDS` that is taken out, to see that a checker catches it."""

    GUARDS = (
        "generation at the effect",
        "version at the commit",
        "reads as of now",
        "an ended session stays ended",
    )

    def __init__(self, seed: int, count: int = 3, without: str = "") -> None:
        assert not without or without in self.GUARDS
        self.now, self.dice, self.without = 0, random.Random(seed), without
        self.space, self.faults, self.kept = Keyspace(), Faults(), Keyspace()
        self.heap = list[tuple[int, int, Callable[[], None]]]()
        self.pushed, self.items = 0, 0
        self.lines, self.gate = list[HistoryEntry](), Fence()
        self.waiting = list[Callable[[], None]]()
        self.life = 0
        self.asked = dict[str, int]()
        self.processes = [self.process(f"p{n}", seed * 100 + n) for n in range(count)]

    def process(self, name: str, seed: int, run: str = "") -> Process:
        me = ProcessIdentity("actor", name, "x", run or f"{name}-run", f"127.0.0.1:{7000 + seed % 1000}")
        p = Process(Participant(me, TTL, seed), LeaderElection("job", SECOND, self.dice.random()))
        p.scribe = HistoryRecorder(self.lines.append, me.incarnation, lambda: self.now)
        self.later(self.dice.randrange(SECOND // 10), lambda: self.turn(p))
        return p

    def later(self, delay: int, do: Callable[[], None]) -> None:
        self.pushed += 1
        heapq.heappush(self.heap, (self.now + delay, self.pushed, do))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, do = heapq.heappop(self.heap)
            self.expire()
            do()
        self.now = end
        self.expire()

    def expire(self) -> None:
        if not self.faults.away:  # a register that is away ends nobody
            revision = self.space.revision
            self.space.expire(self.now)
            if self.space.revision != revision:
                self.changed()

    # Processes

    def turn(self, p: Process) -> None:
        """One look of a process at its agent; it comes again when something is due."""
        if p.stopped:
            p.held_back.append(lambda: self.turn(p))
            return
        p.turns += 1
        for ask in p.agent.take_due_requests(self.now):
            self.call(p, ask)
        for one in p.agent.notifications:
            p.news.append(one)
            if one.kind == "settled":
                p.claim.on_commit_settled(one.fields["token"], one.fields["how"])
                if one.fields["token"] == p.counting:
                    p.counting = ""
        p.agent.notifications = []
        p.claim.advance(self.now, p.agent)
        self.later(
            max(1_000, min(SECOND // 4, p.agent.next_request_at_us(self.now) - self.now)),
            lambda: self.turn(p),
        )

    def stop(self, p: Process) -> None:
        p.stopped = True

    def go_on(self, p: Process) -> None:
        p.stopped = False
        held, p.held_back = p.held_back, []
        for do in held:
            self.later(0, do)

    def act(self, p: Process, pause: int = 0) -> None:
        """A step under the right: looked at now, its effect taken after `pause` and its way."""
        right = p.claim.fencing_token
        if p.stopped or right is None or not p.agent.is_joined:
            return
        self.items += 1
        item = f"{p.agent.identity.incarnation}:{self.items}"
        self.later(pause + self.dice.randrange(1, self.faults.pace + 1), lambda: self.take(p, right, item))

    def take(self, p: Process, right: FencingToken, item: str) -> None:
        if p.stopped:
            p.held_back.append(lambda: self.take(p, right, item))
            return
        gate, against = self.gate.present("job", right)
        # Who trusts a session asks whether it lives, and takes its word for what it holds.
        trusted = self.without == "an ended session stays ended" and p.agent.session_id != ""
        if against is not None and self.without != "generation at the effect" and not trusted:
            p.claim.on_token_rejected(p.agent, against)
            return
        self.gate = gate
        self.lines.append(Effect(self.now, "ledger", "job", right.generation, right.holder, item))

    def count(self, p: Process) -> None:
        """Adds one to a record that all write."""
        if p.agent.cache.is_loaded and not p.counting and not p.stopped:
            known = p.agent.decode_record("counter", int) or 0
            p.counting = p.agent.propose(p.agent.build_put("counter", known + 1))

    # The register's side

    def call(self, p: Process, ask: StoreRequest) -> None:
        self.asked[ask.operation] = self.asked.get(ask.operation, 0) + 1
        assert p.scribe is not None
        p.scribe.record_invocation(ask)
        way, back = (self.dice.randrange(1, self.faults.pace + 1) for _ in range(2))
        dropped, lost = self.dice.random() < self.faults.drop, self.dice.random() < self.faults.lose
        done, life = [False], self.life

        def fail(fault: CoordinationError) -> None:
            self.answer(p, ask, fault, done)

        def late() -> None:
            fail(
                OutcomeUnknownError("no answer")
                if ask.operation in ("commit", "open", "end")
                else StoreUnavailableError("none")
            )

        self.later(ask.timeout_us, late)
        if dropped:
            return

        def arrive() -> None:
            if self.faults.away or life != self.life:
                self.later(back, lambda: fail(StoreUnavailableError("away")))
                return
            answer = self.take_place(ask, arrive)
            if answer is None:
                return  # a watch that waits: it looks again when something changes
            if not lost:
                self.later(back, lambda: self.answer(p, ask, answer, done))

        self.later(way, arrive)
        if ask.operation == "watch":
            prefix, after, wait = ask.args

            def quiet() -> None:
                if not self.faults.away and life == self.life and not lost:
                    self.answer(p, ask, WatchBatch("one", after, after, ()), done)

            self.later(wait, quiet)

    def answer(self, p: Process, ask: StoreRequest, answer: Any, done: list[bool]) -> None:
        if p.stopped:
            p.held_back.append(lambda: self.answer(p, ask, answer, done))
            return
        if done[0]:
            return
        done[0] = True
        assert p.scribe is not None
        p.scribe.record_completion(ask, answer)
        if isinstance(answer, CoordinationError):
            p.agent.handle_failure(self.now, ask.request_id, answer)
        else:
            p.agent.handle_response(self.now, ask.request_id, answer)

    def take_place(self, ask: StoreRequest, again: Callable[[], None]) -> Any:
        space = self.space
        match ask.operation, ask.args:
            case "read", (prefix,):
                at = 0
                stale = 0.5 if self.without == "reads as of now" else self.faults.stale
                if self.dice.random() < stale:
                    at = max(space.compacted, space.revision - self.dice.randrange(1, 4), 1)
                found = space.range(prefix.encode(), prefix.encode() + b"\xff", at)
                return StoreSnapshot("one", at or space.revision, tuple(record(e) for e in found))
            case "commit", (changes, token):
                return self.commit(changes, token)
            case "open", (ttl,):
                return str(space.grant(self.now, ttl))
            case "keep", (session,):
                lives = space.renew(self.now, int(session)) or self.without == "an ended session stays ended"
                return space.revision if lives else SessionEndedError("ended")
            case "end", (session,):
                space.revoke(int(session))
                self.changed()
                return 0
            case "watch", (prefix, after, _):
                return self.watch(prefix, after, again)
        raise AssertionError(ask)

    def commit(self, changes: tuple[Change, ...], token: str) -> Any:
        space = self.space
        wrong = any(space.modified(c.key.encode()) != c.expected_version for c in changes)
        if wrong and self.without != "version at the commit":
            found = [e for c in changes for e in space.range(c.key.encode())]
            return CommitRejected(space.revision, tuple(record(e) for e in found))
        if self.faults.full:
            return StoreFullError("no room")
        puts = [
            (c.key.encode(), token.encode() + b"\0" + c.value, int(c.session_id or "0"))
            for c in changes
            if isinstance(c, Put)
        ]
        try:
            revision = space.write(puts, [c.key.encode() for c in changes if isinstance(c, Delete)])
        except NoLease:
            return SessionEndedError("no such session")
        self.changed()
        return Committed(revision)

    def watch(self, prefix: str, after: int, again: Callable[[], None]) -> Any:
        if self.dice.random() < self.faults.cut:
            return StoreUnavailableError("cut")
        if self.dice.random() < self.faults.repeat:
            after = max(self.space.compacted, after - 3)
        try:
            past = self.space.since(after + 1, prefix.encode(), prefix.encode() + b"\xff")
        except Gone:
            return HistoryCompactedError("gone")
        if not past and self.space.revision >= after:
            self.waiting.append(again)
            return None
        events = tuple(
            WatchEvent(x.key.decode(), x.revision, record(x.entry) if x.entry else None) for x in past
        )
        return WatchBatch("one", after, self.space.revision, events)

    def changed(self) -> None:
        waiting, self.waiting = self.waiting, []
        for again in waiting:
            self.later(1, again)

    def restore(self, space: Keyspace) -> None:
        """An older snapshot is put back: what was connected is cut, leases have their time anew."""
        self.space, self.life = space.snapshot(), self.life + 1
        self.space.extend(self.now)
        self.changed()
