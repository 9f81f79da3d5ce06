"""One process' part in the fleet's register: session, member record, copy, writes. Free of I/O.

It is handed the time and what its calls brought, and returns the calls to make next. Nothing that it holds is
proof of anything: a session may have ended while the process stood still, a copy is old the moment it is
read. What must not happen twice is checked at the one who takes the effect (`generations`). The agent only
sees to it that others know soon what they should do.

What it survives, each by a rule of its own:
- a commit whose answer was lost is sent again under its token: done, or refused by a record that bears the
  token (it was done), or by another's; then the watch tells whether the token ever was there, and where that
  history is gone the outcome is told as unknown;
- a stale read is not taken in; three older answers in a row over `DOUBT` are a register that went back;
- a register that went back (an older snapshot was put back) ends all that was held and is told in one line;
  after each fault the watch repeats the change seen last, so that one that has gone on since shows as well;
  generations known before stand as floors for all to come, in a record of their own;
- a session that can't be kept is in doubt, not ended: once the register answers, it is kept on if it lives;
- after an outage calls come spread over half a session's time, and watches go on from where they were.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    Delete,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    SessionEndedError,
    StoreFullError,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
    check_sizes,
)
from gradehoist.coordination.watch_cache import (
    RevisionGapError,
    StaleReadError,
    StoreRolledBackError,
    WatchCache,
)

SECOND = 1_000_000
WATCH_WAIT_US = 5 * SECOND  # a watch waits so long: short enough to notice a dead path
CALL_TIMEOUT_US = 2 * SECOND  # for the answer to any other call, and what a watch may be late
FIRST_BACKOFF_US = (
    SECOND // 5
)  # the pause after a fault, doubled each time up to half a session's time: sessions that
# an outage left alive are kept on in time, and all together ask no more than they do on a quiet day
WATCH_INTERVAL_US = 20_000  # changes of that long come as one batch: a tenth of what a person notices
ROLLBACK_SUSPICION_US, ROLLBACK_STALE_READS = (
    SECOND,
    3,
)  # older answers for that long and that often are no stale read: a lagging copy
# catches up in far less; a wrong verdict costs one joining, as generations hold all the same
GENERATION_FLOORS_KEY = "floors"  # by key: generations given out before the register went back


class MemberRecord(msgspec.Struct, frozen=True):
    """What a process says of itself; `run` is its incarnation's holder, `gen` the generation of its name."""

    role: str
    name: str
    zone: str
    incarnation: str = msgspec.field(name="run")
    generation: int = msgspec.field(name="gen")
    address: str = ""


class OwnershipRecord(msgspec.Struct, frozen=True):
    """A right as a record: of a name, or of what one process alone may do. Never deleted, or its
    generations would begin anew."""

    generation: int = msgspec.field(name="gen")
    holder: str
    member_key: str = msgspec.field(default="", name="by")

    @property
    def fencing_token(self) -> FencingToken:
        return FencingToken(self.generation, self.holder)


class StoreRequest(NamedTuple):
    """A call to make: `what` names the method of `Home`, `within` (µs) bounds the wait for its answer."""

    request_id: int
    operation: str
    args: tuple[Any, ...]
    timeout_us: int


class Notification(NamedTuple):
    """Kinds: joined, doubt, back, ended, outrun, fenced, full, unread, away, answers, settled, changed; what
    each means is in `docs/coordination.md`."""

    kind: str
    fields: Mapping[str, Any]


@dataclass
class PendingCommit:
    """A commit in line: whether a try of it had an `unknown` outcome, the revision at which the watch brought
    its token (`seen`), whether the watch missed some of what came since (`gap`)."""

    commit_id: str
    changes: tuple[Change, ...]
    outcome_unknown: bool = False
    seen_revision: int = 0
    rejection: CommitRejected | None = None
    missed_events: bool = False


@dataclass
class CallSchedule:
    """Pauses of one activity after its faults."""

    failures: int = 0
    next_at_us: int = 0
    request_id: int = -1  # the number of the call under way
    sent_at_us: int = 0


@dataclass(frozen=True)
class ProcessIdentity:
    role: str
    name: str
    zone: str
    incarnation: str
    address: str = ""

    @property
    def member_key(self) -> str:
        return f"members/{self.role}/{self.name}"

    @property
    def name_key(self) -> str:
        return f"names/{self.role}/{self.name}"


@dataclass
class Participant:
    identity: ProcessIdentity
    session_ttl_us: int
    seed: int
    notifications: list[Notification] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.cache, self.session_id, self.session_valid_until_us, self.fencing_token = (
            WatchCache(""),
            "",
            0,
            FencingToken(0, self.identity.incarnation),
        )
        self.is_joined = self.is_superseded = self.is_stopping = False
        self.generation_floors = dict[str, int]()
        self.pending_commits, self._drawn, self._asked, self._tokens = deque[PendingCommit](), 0, 0, 0
        self._follow, self._life, self._write = CallSchedule(), CallSchedule(), CallSchedule()
        self._whole, self._older, self._older_since = True, 0, 0
        self._proof, self._proving = False, -1
        self._joining: PendingCommit | None = None
        self._in = ""  # the session that the member record was written in
        self._unread = set[str]()
        self._calls: dict[
            int, tuple[CallSchedule, StoreRequest, int]
        ] = {}  # with the revision known when it left
        self._fault = ""  # why the register is away, empty while it answers

    # What the process asks of it

    @property
    def has_left(self) -> bool:
        """Left as planned: nothing more to call."""
        return self.is_stopping and not self.session_id

    def decode_record(self, key: str, kind: type[Any]) -> Any:
        """A record of the copy as `kind`, or None; one that can't be read costs itself alone."""
        record = self.cache.records.get(key)
        if record is None or record.malformed:
            if record is not None:
                self._strange(key, "no record of ours")
            return None
        try:
            return msgspec.json.decode(record.value, type=kind)
        except msgspec.MsgspecError as fault:
            self._strange(key, str(fault))
            return None

    def cached_version(self, key: str) -> int:
        record = self.cache.records.get(key)
        return record.version if record else 0

    def propose(self, *changes: Change) -> str:
        """Puts a commit in line; news `settled` with its token says how it ended. Raises TooLarge."""
        check_sizes(changes)
        self.pending_commits.append(self._proposal(changes))
        return self.pending_commits[-1].commit_id

    def _proposal(self, changes: tuple[Change, ...]) -> PendingCommit:
        self._tokens += 1
        return PendingCommit(f"{self.identity.incarnation}:{self._tokens}", changes)

    def build_put(self, key: str, value: Any, owned_by_session: bool = False) -> Put:
        """A change against the copy's version; an `own` one goes with this process' session."""
        return Put(
            key,
            msgspec.json.encode(value),
            self.cached_version(key),
            self.session_id if owned_by_session else "",
        )

    def raise_generation_floor(self, key: str, gen: int) -> None:
        """Somebody who takes effects knows of generation `gen`: none at or below it is claimed again."""
        self.generation_floors[key] = max(gen, self.generation_floors.get(key, 0))

    def next_generation(self, key: str) -> int:
        """The next generation of a right, above all that is known of it."""
        known = self.decode_record(key, OwnershipRecord)
        mine = self.fencing_token.generation if key == self.identity.name_key else 0  # the copy may be behind
        return max(known.generation if known else 0, mine, self.generation_floors.get(key, 0)) + 1

    def leave(self) -> None:
        """A planned end: the session is ended, so that others need not wait for its time to run out."""
        self.is_stopping, self._life.next_at_us = True, 0

    # Calls

    def next_request_at_us(self, now: int) -> int:
        """When `asks` may have something next."""
        times = [p.next_at_us for p in self._active(now) if p.request_id < 0]
        if self.is_joined:
            times.append(self.session_valid_until_us)
        return min(times, default=now + SECOND)

    def _active(self, now: int) -> list[CallSchedule]:
        if self.is_superseded:
            return [self._follow]
        out = [self._follow, self._life]
        return [*out, self._write] if self.pending_commits and self.cache.is_loaded else out

    def take_due_requests(self, now: int) -> list[StoreRequest]:
        """The calls that are due now; each is to be answered or failed by its number."""
        if self.is_joined and now >= self.session_valid_until_us:
            self._tell("doubt", reason=self._fault or "its session was not kept in time")
            self.is_joined, self._proof = False, True
            self._life.next_at_us = min(
                self._life.next_at_us, now
            )  # stood still: ask at once whether it lives
        out = list[StoreRequest]()
        for pace in self._active(now):
            if pace.request_id >= 0 or pace.next_at_us > now:
                continue
            ask = self._next(pace, now)
            if ask is not None:
                pace.request_id, pace.sent_at_us = ask.request_id, now
                self._calls[ask.request_id] = (pace, ask, self.cache.revision)
                out.append(ask)
        return out

    def _ask(self, what: str, *args: Any, within: int = CALL_TIMEOUT_US) -> StoreRequest:
        self._asked += 1
        return StoreRequest(self._asked, what, args, within)

    def _next(self, pace: CallSchedule, now: int) -> StoreRequest | None:
        if pace is self._follow:
            if self._whole:
                return self._ask("read", self.cache.prefix)
            after = self.cache.verification_revision if self._proof else self.cache.revision
            ask = self._ask(
                "watch", self.cache.prefix, after, WATCH_WAIT_US, within=WATCH_WAIT_US + CALL_TIMEOUT_US
            )
            self._proving = ask.request_id if self._proof else -1
            return ask
        if pace is self._write:
            return self._write_next(pace, now)
        if self.is_stopping:
            pace.next_at_us = now + SECOND
            return self._ask("end", self.session_id) if self.session_id else None
        if not self.cache.is_loaded or self._whole:  # names and floors are read first
            pace.next_at_us = now + FIRST_BACKOFF_US
            return None
        if not self.session_id:
            return self._ask("open", self.session_ttl_us)
        return self._ask("keep", self.session_id) if self._in == self.session_id else self._join()

    def _write_next(self, pace: CallSchedule, now: int) -> StoreRequest | None:
        head = self.pending_commits[0]
        if head.rejection is None:
            return self._ask("commit", head.changes, head.commit_id)
        pace.next_at_us = (
            now + FIRST_BACKOFF_US
        )  # the watch has still to tell whether an earlier try was taken
        self._read_back(head)
        return None

    def _join(self) -> StoreRequest:
        """One commit: the name's next generation, the member record, floors that the register lacks."""
        if self._joining is None:
            gen = self.next_generation(self.identity.name_key)
            member = MemberRecord(
                self.identity.role,
                self.identity.name,
                self.identity.zone,
                self.identity.incarnation,
                gen,
                self.identity.address,
            )
            changes: list[Change] = [
                self.build_put(
                    self.identity.name_key,
                    OwnershipRecord(gen, self.identity.incarnation, self.identity.member_key),
                ),
                self.build_put(self.identity.member_key, member, owned_by_session=True),
            ]
            held: dict[str, int] = self.decode_record(GENERATION_FLOORS_KEY, dict[str, int]) or {}
            if any(gen > held.get(key, 0) for key, gen in self.generation_floors.items()):
                changes.append(
                    self.build_put(
                        GENERATION_FLOORS_KEY,
                        held | {k: max(g, held.get(k, 0)) for k, g in self.generation_floors.items()},
                    )
                )
            self._joining = self._proposal(tuple(changes))
        return self._ask("commit", self._joining.changes, self._joining.commit_id)

    # Answers

    def handle_response(self, now: int, number: int, answer: Any) -> None:
        if number not in self._calls:
            return  # asked before a register that went back
        pace, ask, known = self._calls.pop(number)
        pace.request_id = -1
        if ask.operation != "commit" or isinstance(answer, Committed):
            pace.failures = 0
        if self._fault:
            self._tell("answers", reason=self._fault)
            self._fault = ""
        try:
            if ask.operation == "keep" and answer < known:
                raise StaleReadError(f"revision {answer}, {known} was known")
            getattr(self, "_on_" + ask.operation)(now, pace, ask, answer)
        except RevisionGapError:
            self._whole = True
        except StaleReadError as fault:
            self._on_older(now, str(fault))
        except StoreRolledBackError as fault:
            self._fence(now, str(fault))

    def handle_failure(self, now: int, number: int, fault: CoordinationError) -> None:
        if number not in self._calls:
            return
        pace, ask, _ = self._calls.pop(number)
        pace.request_id, self._proof = -1, True
        pace.failures += 1
        pace.next_at_us = now + self._pause(pace.failures)
        match fault:
            case HistoryCompactedError():
                self._whole, pace.next_at_us, pace.failures = True, now, 0
                return
            case SessionEndedError():
                self._ended(now, str(fault))
                if ask.operation == "commit" and pace is self._write:
                    self._settle(self.pending_commits[0], "ended")
                return
            case StoreFullError():
                self._tell("full", reason=str(fault))
                if pace is self._write:
                    self._settle(self.pending_commits[0], "full")
                return
            case OutcomeUnknownError() if ask.operation == "commit":
                head = self._joining if pace is self._life else self.pending_commits[0]
                if head is not None:
                    head.outcome_unknown = True
        if ask.operation == "end":
            self.session_id = ""  # its time runs out by itself
        if not self._fault and not isinstance(fault, StoreFullError):
            self._fault = str(fault) or type(fault).__name__
            self._tell("away", reason=self._fault)

    def _pause(self, faults: int) -> int:
        self._drawn += 1
        chance = zlib.crc32(f"{self.seed}:{self._drawn}".encode()) / 2**32
        return int(min(FIRST_BACKOFF_US << min(faults - 1, 8), self.session_ttl_us // 2) * (0.5 + chance))

    def _on_read(self, now: int, pace: CallSchedule, ask: StoreRequest, answer: StoreSnapshot) -> None:
        events = self.cache.load_snapshot(answer)
        self._whole, self._proof, self._older = False, False, 0
        self._missed()
        self._took(now, events)

    def _on_watch(self, now: int, pace: CallSchedule, ask: StoreRequest, answer: WatchBatch) -> None:
        events = self.cache.apply_batch(answer)
        self._older, pace.next_at_us = 0, now + WATCH_INTERVAL_US
        if ask.request_id == self._proving:  # not by one that left before the fault
            self._proof = False
        self._took(now, events)

    def _on_open(self, now: int, pace: CallSchedule, ask: StoreRequest, answer: str) -> None:
        self.session_id, self.session_valid_until_us, self._joining = (
            answer,
            pace.sent_at_us + self.session_ttl_us,
            None,
        )
        pace.next_at_us = now

    def _on_keep(self, now: int, pace: CallSchedule, ask: StoreRequest, revision: int) -> None:
        if ask.args[0] != self.session_id:
            return
        # From when it was sent: counted from the answer, it would seem to live when it has ended.
        self.session_valid_until_us, pace.next_at_us = (
            pace.sent_at_us + self.session_ttl_us,
            pace.sent_at_us + self.session_ttl_us // 3,
        )
        if not self.is_joined:
            self.is_joined = True
            self._tell("back", session=self.session_id)

    def _on_end(self, now: int, pace: CallSchedule, ask: StoreRequest, answer: None) -> None:
        self.session_id, self.is_joined = "", False

    def _on_commit(
        self, now: int, pace: CallSchedule, ask: StoreRequest, answer: Committed | CommitRejected
    ) -> None:
        if pace is self._life:
            self._on_join(now, answer)
            return
        head = self.pending_commits[0]
        if isinstance(answer, Committed):
            self._settle(head, "done", answer.revision)
            return
        head.rejection = answer
        self._read_back(head)

    def _read_back(self, head: PendingCommit) -> None:
        """Settles a refused write once it is known whether an earlier try of it was taken."""
        refused = head.rejection
        assert refused is not None
        mine = [x for x in refused.records if x.commit_id == head.commit_id]
        if not head.outcome_unknown:
            self._settle(head, "refused")
        elif mine or head.seen_revision:
            self._settle(head, "done", max([x.version for x in mine] + [head.seen_revision]))
        elif all(isinstance(c, Delete) for c in head.changes) and not refused.records:
            self._settle(head, "done", refused.revision)  # what was to go has gone
        elif head.missed_events:
            self._settle(head, "unknown")
        elif self.cache.revision >= refused.revision:
            self._settle(head, "refused")  # the watch brought all up to there, and not its token

    def _missed(self) -> None:
        """A whole read shows the last writer of each record and not those before."""
        if self.pending_commits and (self.pending_commits[0].outcome_unknown or self._write.request_id >= 0):
            self.pending_commits[0].missed_events = True

    def _settle(self, head: PendingCommit, how: str, revision: int = 0) -> None:
        self.pending_commits.remove(head)
        self._write.next_at_us = 0
        self._tell("settled", token=head.commit_id, how=how, revision=revision)

    def _on_join(self, now: int, answer: Committed | CommitRejected) -> None:
        joining, self._joining = self._joining, None
        if joining is None:
            return
        mine = isinstance(answer, CommitRejected) and any(
            x.commit_id == joining.commit_id for x in answer.records
        )
        if isinstance(answer, CommitRejected) and not mine:
            # The copy is behind, or the name has gone on. The watch under way is given up for a whole read.
            self._whole, self._life.next_at_us = True, now + self._pause(1)
            self._calls.pop(self._follow.request_id, None)
            self._follow.request_id, self._follow.next_at_us = -1, now
            return
        for change in joining.changes:
            if isinstance(change, Put) and change.key == self.identity.name_key:
                found: OwnershipRecord = msgspec.json.decode(change.value, type=OwnershipRecord)
                self.fencing_token = found.fencing_token
        self.is_joined, self._in, self._life.next_at_us = (
            True,
            self.session_id,
            now + self.session_ttl_us // 3,
        )
        self._tell("joined", gen=self.fencing_token.generation, session=self.session_id)

    # What is lost

    def _ended(self, now: int, reason: str) -> None:
        if self.session_id:
            self._tell("ended", session=self.session_id, reason=reason)
        self.session_id, self.is_joined, self._joining, self._in = "", False, None, ""
        self._life.next_at_us = now + self._pause(1)

    def _on_older(self, now: int, reason: str) -> None:
        """A stale read, or a register that went back: whole reads tell, after some pause."""
        self._older_since = self._older_since if self._older else now
        self._older += 1
        self._whole = True
        self._follow.next_at_us = now + FIRST_BACKOFF_US
        if self._older >= ROLLBACK_STALE_READS and now - self._older_since >= ROLLBACK_SUSPICION_US:
            self._fence(now, reason)

    def _fence(self, now: int, reason: str) -> None:
        """Nothing held counts any more; generations that were known stand as floors."""
        for key, record in self.cache.records.items():
            if key.startswith(("names/", "rights/")) and not record.malformed:
                found = self.decode_record(key, OwnershipRecord)
                if found is not None:
                    self.raise_generation_floor(key, found.generation)
        self._tell("fenced", reason=reason)
        for n, head in enumerate(list(self.pending_commits)):
            under_way = n == 0 and self._write.request_id >= 0
            self._settle(head, "unknown" if head.outcome_unknown or under_way else "refused")
        keys = list(self.cache.records)
        self.cache, self.session_id, self.is_joined, self._joining = (
            WatchCache(self.cache.prefix),
            "",
            False,
            None,
        )
        self._whole, self._proof, self._older, self._in, self._calls = True, False, 0, "", {}
        for pace in (self._follow, self._life, self._write):
            pace.request_id, pace.next_at_us, pace.failures = -1, now + self._pause(1), 0
        self._tell("changed", keys=keys)  # gone, until it is read that they are there

    def _took(self, now: int, events: list[WatchEvent]) -> None:
        """Changes as the register has them, after what is the agent's own has been seen to."""
        for e in events:
            for head in self.pending_commits:
                if e.record is not None and e.record.commit_id == head.commit_id:
                    head.seen_revision = e.revision
        if any(e.key == GENERATION_FLOORS_KEY for e in events):
            for key, gen in (self.decode_record(GENERATION_FLOORS_KEY, dict[str, int]) or {}).items():
                self.raise_generation_floor(key, gen)
        named = (
            self.decode_record(self.identity.name_key, OwnershipRecord)
            if any(e.key == self.identity.name_key for e in events)
            else None
        )
        if (
            named is not None
            and named.holder != self.identity.incarnation
            and named.generation > self.fencing_token.generation > 0
        ):
            if not self.is_superseded:
                self._tell("outrun", by=named.holder, gen=named.generation)
            self.is_superseded, self.is_joined = True, False
        if self._in == self.session_id != "" and any(
            e.key == self.identity.member_key and e.record is None for e in events
        ):
            self._ended(now, "its record went")
        if events:
            self._tell("changed", keys=[e.key for e in events])

    def _strange(self, key: str, reason: str) -> None:
        if key not in self._unread:
            self._unread.add(key)
            self._tell("unread", key=key, reason=reason)

    def _tell(self, kind: str, **fields: Any) -> None:
        self.notifications.append(Notification(kind, fields))
