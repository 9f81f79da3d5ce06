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

from gradehoist.coordination import store as r
from gradehoist.coordination.fencing import Right
from gradehoist.coordination.watch_cache import Backwards, Gap, Mirror, Older

SECOND = 1_000_000
HOLD = 5 * SECOND  # a watch waits so long: short enough to notice a dead path
PATIENCE = 2 * SECOND  # for the answer to any other call, and what a watch may be late
FIRST = SECOND // 5  # the pause after a fault, doubled each time up to half a session's time: sessions that
# an outage left alive are kept on in time, and all together ask no more than they do on a quiet day
GATHER = 20_000  # changes of that long come as one batch: a tenth of what a person notices
DOUBT, SURE = SECOND, 3  # older answers for that long and that often are no stale read: a lagging copy
# catches up in far less; a wrong verdict costs one joining, as generations hold all the same
FLOORS = "floors"  # by key: generations given out before the register went back


class Member(msgspec.Struct, frozen=True):
    """What a process says of itself; `run` is its incarnation's holder, `gen` the generation of its name."""

    role: str
    name: str
    zone: str
    run: str
    gen: int
    address: str = ""


class Named(msgspec.Struct, frozen=True):
    """A right as a record: of a name, or of what one process alone may do. Never deleted, or its
    generations would begin anew."""

    gen: int
    holder: str
    by: str = ""  # key of the holder's member record, where it has one

    @property
    def right(self) -> Right:
        return Right(self.gen, self.holder)


class Ask(NamedTuple):
    """A call to make: `what` names the method of `Home`, `within` (µs) bounds the wait for its answer."""

    number: int
    what: str
    args: tuple[Any, ...]
    within: int


class News(NamedTuple):
    """Kinds: joined, doubt, back, ended, outrun, fenced, full, unread, away, answers, settled, changed; what
    each means is in `docs/coordination.md`."""

    kind: str
    fields: Mapping[str, Any]


@dataclass
class Proposal:
    """A commit in line: whether a try of it had an `unknown` outcome, the revision at which the watch brought
    its token (`seen`), whether the watch missed some of what came since (`gap`)."""

    token: str
    changes: tuple[r.Change, ...]
    unknown: bool = False
    seen: int = 0
    refused: r.Refused | None = None
    gap: bool = False


@dataclass
class Pace:
    """Pauses of one activity after its faults."""

    faults: int = 0
    at: int = 0
    asked: int = -1  # the number of the call under way
    sent: int = 0


@dataclass(frozen=True)
class Me:
    role: str
    name: str
    zone: str
    run: str
    address: str = ""

    @property
    def member(self) -> str:
        return f"members/{self.role}/{self.name}"

    @property
    def named(self) -> str:
        return f"names/{self.role}/{self.name}"


@dataclass
class Agent:
    me: Me
    ttl: int
    seed: int
    news: list[News] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.mirror, self.session, self.until, self.right = Mirror(""), "", 0, Right(0, self.me.run)
        self.joined = self.standing_by = self.stopping = False
        self.floors = dict[str, int]()
        self.writes, self._drawn, self._asked, self._tokens = deque[Proposal](), 0, 0, 0
        self._follow, self._life, self._write = Pace(), Pace(), Pace()
        self._whole, self._older, self._older_since = True, 0, 0
        self._proof, self._proving = False, -1
        self._joining: Proposal | None = None
        self._in = ""  # the session that the member record was written in
        self._unread = set[str]()
        self._calls: dict[int, tuple[Pace, Ask, int]] = {}  # with the revision known when it left
        self._fault = ""  # why the register is away, empty while it answers

    # What the process asks of it

    @property
    def gone(self) -> bool:
        """Left as planned: nothing more to call."""
        return self.stopping and not self.session

    def value(self, key: str, kind: type[Any]) -> Any:
        """A record of the copy as `kind`, or None; one that can't be read costs itself alone."""
        record = self.mirror.records.get(key)
        if record is None or record.unread:
            if record is not None:
                self._strange(key, "no record of ours")
            return None
        try:
            return msgspec.json.decode(record.value, type=kind)
        except msgspec.MsgspecError as fault:
            self._strange(key, str(fault))
            return None

    def version(self, key: str) -> int:
        record = self.mirror.records.get(key)
        return record.version if record else 0

    def propose(self, *changes: r.Change) -> str:
        """Puts a commit in line; news `settled` with its token says how it ended. Raises TooLarge."""
        r.checked(changes)
        self.writes.append(self._proposal(changes))
        return self.writes[-1].token

    def _proposal(self, changes: tuple[r.Change, ...]) -> Proposal:
        self._tokens += 1
        return Proposal(f"{self.me.run}:{self._tokens}", changes)

    def put(self, key: str, value: Any, own: bool = False) -> r.Put:
        """A change against the copy's version; an `own` one goes with this process' session."""
        return r.Put(key, msgspec.json.encode(value), self.version(key), self.session if own else "")

    def floor(self, key: str, gen: int) -> None:
        """Somebody who takes effects knows of generation `gen`: none at or below it is claimed again."""
        self.floors[key] = max(gen, self.floors.get(key, 0))

    def after(self, key: str) -> int:
        """The next generation of a right, above all that is known of it."""
        known = self.value(key, Named)
        mine = self.right.gen if key == self.me.named else 0  # the copy may be behind
        return max(known.gen if known else 0, mine, self.floors.get(key, 0)) + 1

    def leave(self) -> None:
        """A planned end: the session is ended, so that others need not wait for its time to run out."""
        self.stopping, self._life.at = True, 0

    # Calls

    def due(self, now: int) -> int:
        """When `asks` may have something next."""
        times = [p.at for p in self._active(now) if p.asked < 0]
        if self.joined:
            times.append(self.until)
        return min(times, default=now + SECOND)

    def _active(self, now: int) -> list[Pace]:
        if self.standing_by:
            return [self._follow]
        out = [self._follow, self._life]
        return [*out, self._write] if self.writes and self.mirror.begun else out

    def asks(self, now: int) -> list[Ask]:
        """The calls that are due now; each is to be answered or failed by its number."""
        if self.joined and now >= self.until:
            self._tell("doubt", reason=self._fault or "its session was not kept in time")
            self.joined, self._proof = False, True
            self._life.at = min(self._life.at, now)  # stood still: ask at once whether it lives
        out = list[Ask]()
        for pace in self._active(now):
            if pace.asked >= 0 or pace.at > now:
                continue
            ask = self._next(pace, now)
            if ask is not None:
                pace.asked, pace.sent = ask.number, now
                self._calls[ask.number] = (pace, ask, self.mirror.revision)
                out.append(ask)
        return out

    def _ask(self, what: str, *args: Any, within: int = PATIENCE) -> Ask:
        self._asked += 1
        return Ask(self._asked, what, args, within)

    def _next(self, pace: Pace, now: int) -> Ask | None:
        if pace is self._follow:
            if self._whole:
                return self._ask("read", self.mirror.prefix)
            after = self.mirror.proof if self._proof else self.mirror.revision
            ask = self._ask("watch", self.mirror.prefix, after, HOLD, within=HOLD + PATIENCE)
            self._proving = ask.number if self._proof else -1
            return ask
        if pace is self._write:
            return self._write_next(pace, now)
        if self.stopping:
            pace.at = now + SECOND
            return self._ask("end", self.session) if self.session else None
        if not self.mirror.begun or self._whole:  # names and floors are read first
            pace.at = now + FIRST
            return None
        if not self.session:
            return self._ask("open", self.ttl)
        return self._ask("keep", self.session) if self._in == self.session else self._join()

    def _write_next(self, pace: Pace, now: int) -> Ask | None:
        head = self.writes[0]
        if head.refused is None:
            return self._ask("commit", head.changes, head.token)
        pace.at = now + FIRST  # the watch has still to tell whether an earlier try was taken
        self._read_back(head)
        return None

    def _join(self) -> Ask:
        """One commit: the name's next generation, the member record, floors that the register lacks."""
        if self._joining is None:
            gen = self.after(self.me.named)
            member = Member(self.me.role, self.me.name, self.me.zone, self.me.run, gen, self.me.address)
            changes: list[r.Change] = [
                self.put(self.me.named, Named(gen, self.me.run, self.me.member)),
                self.put(self.me.member, member, own=True),
            ]
            held: dict[str, int] = self.value(FLOORS, dict[str, int]) or {}
            if any(gen > held.get(key, 0) for key, gen in self.floors.items()):
                changes.append(
                    self.put(FLOORS, held | {k: max(g, held.get(k, 0)) for k, g in self.floors.items()})
                )
            self._joining = self._proposal(tuple(changes))
        return self._ask("commit", self._joining.changes, self._joining.token)

    # Answers

    def answered(self, now: int, number: int, answer: Any) -> None:
        if number not in self._calls:
            return  # asked before a register that went back
        pace, ask, known = self._calls.pop(number)
        pace.asked = -1
        if ask.what != "commit" or isinstance(answer, r.Done):
            pace.faults = 0
        if self._fault:
            self._tell("answers", reason=self._fault)
            self._fault = ""
        try:
            if ask.what == "keep" and answer < known:
                raise Older(f"revision {answer}, {known} was known")
            getattr(self, "_on_" + ask.what)(now, pace, ask, answer)
        except Gap:
            self._whole = True
        except Older as fault:
            self._on_older(now, str(fault))
        except Backwards as fault:
            self._fence(now, str(fault))

    def failed(self, now: int, number: int, fault: r.Fault) -> None:
        if number not in self._calls:
            return
        pace, ask, _ = self._calls.pop(number)
        pace.asked, self._proof = -1, True
        pace.faults += 1
        pace.at = now + self._pause(pace.faults)
        match fault:
            case r.Compacted():
                self._whole, pace.at, pace.faults = True, now, 0
                return
            case r.Ended():
                self._ended(now, str(fault))
                if ask.what == "commit" and pace is self._write:
                    self._settle(self.writes[0], "ended")
                return
            case r.Full():
                self._tell("full", reason=str(fault))
                if pace is self._write:
                    self._settle(self.writes[0], "full")
                return
            case r.Unknown() if ask.what == "commit":
                head = self._joining if pace is self._life else self.writes[0]
                if head is not None:
                    head.unknown = True
        if ask.what == "end":
            self.session = ""  # its time runs out by itself
        if not self._fault and not isinstance(fault, r.Full):
            self._fault = str(fault) or type(fault).__name__
            self._tell("away", reason=self._fault)

    def _pause(self, faults: int) -> int:
        self._drawn += 1
        chance = zlib.crc32(f"{self.seed}:{self._drawn}".encode()) / 2**32
        return int(min(FIRST << min(faults - 1, 8), self.ttl // 2) * (0.5 + chance))

    def _on_read(self, now: int, pace: Pace, ask: Ask, answer: r.Snapshot) -> None:
        events = self.mirror.whole(answer)
        self._whole, self._proof, self._older = False, False, 0
        self._missed()
        self._took(now, events)

    def _on_watch(self, now: int, pace: Pace, ask: Ask, answer: r.Batch) -> None:
        events = self.mirror.batch(answer)
        self._older, pace.at = 0, now + GATHER
        if ask.number == self._proving:  # not by one that left before the fault
            self._proof = False
        self._took(now, events)

    def _on_open(self, now: int, pace: Pace, ask: Ask, answer: str) -> None:
        self.session, self.until, self._joining = answer, pace.sent + self.ttl, None
        pace.at = now

    def _on_keep(self, now: int, pace: Pace, ask: Ask, revision: int) -> None:
        if ask.args[0] != self.session:
            return
        # From when it was sent: counted from the answer, it would seem to live when it has ended.
        self.until, pace.at = pace.sent + self.ttl, pace.sent + self.ttl // 3
        if not self.joined:
            self.joined = True
            self._tell("back", session=self.session)

    def _on_end(self, now: int, pace: Pace, ask: Ask, answer: None) -> None:
        self.session, self.joined = "", False

    def _on_commit(self, now: int, pace: Pace, ask: Ask, answer: r.Done | r.Refused) -> None:
        if pace is self._life:
            self._on_join(now, answer)
            return
        head = self.writes[0]
        if isinstance(answer, r.Done):
            self._settle(head, "done", answer.revision)
            return
        head.refused = answer
        self._read_back(head)

    def _read_back(self, head: Proposal) -> None:
        """Settles a refused write once it is known whether an earlier try of it was taken."""
        refused = head.refused
        assert refused is not None
        mine = [x for x in refused.records if x.token == head.token]
        if not head.unknown:
            self._settle(head, "refused")
        elif mine or head.seen:
            self._settle(head, "done", max([x.version for x in mine] + [head.seen]))
        elif all(isinstance(c, r.Delete) for c in head.changes) and not refused.records:
            self._settle(head, "done", refused.revision)  # what was to go has gone
        elif head.gap:
            self._settle(head, "unknown")
        elif self.mirror.revision >= refused.revision:
            self._settle(head, "refused")  # the watch brought all up to there, and not its token

    def _missed(self) -> None:
        """A whole read shows the last writer of each record and not those before."""
        if self.writes and (self.writes[0].unknown or self._write.asked >= 0):
            self.writes[0].gap = True

    def _settle(self, head: Proposal, how: str, revision: int = 0) -> None:
        self.writes.remove(head)
        self._write.at = 0
        self._tell("settled", token=head.token, how=how, revision=revision)

    def _on_join(self, now: int, answer: r.Done | r.Refused) -> None:
        joining, self._joining = self._joining, None
        if joining is None:
            return
        mine = isinstance(answer, r.Refused) and any(x.token == joining.token for x in answer.records)
        if isinstance(answer, r.Refused) and not mine:
            # The copy is behind, or the name has gone on. The watch under way is given up for a whole read.
            self._whole, self._life.at = True, now + self._pause(1)
            self._calls.pop(self._follow.asked, None)
            self._follow.asked, self._follow.at = -1, now
            return
        for change in joining.changes:
            if isinstance(change, r.Put) and change.key == self.me.named:
                found: Named = msgspec.json.decode(change.value, type=Named)
                self.right = found.right
        self.joined, self._in, self._life.at = True, self.session, now + self.ttl // 3
        self._tell("joined", gen=self.right.gen, session=self.session)

    # What is lost

    def _ended(self, now: int, reason: str) -> None:
        if self.session:
            self._tell("ended", session=self.session, reason=reason)
        self.session, self.joined, self._joining, self._in = "", False, None, ""
        self._life.at = now + self._pause(1)

    def _on_older(self, now: int, reason: str) -> None:
        """A stale read, or a register that went back: whole reads tell, after some pause."""
        self._older_since = self._older_since if self._older else now
        self._older += 1
        self._whole = True
        self._follow.at = now + FIRST
        if self._older >= SURE and now - self._older_since >= DOUBT:
            self._fence(now, reason)

    def _fence(self, now: int, reason: str) -> None:
        """Nothing held counts any more; generations that were known stand as floors."""
        for key, record in self.mirror.records.items():
            if key.startswith(("names/", "rights/")) and not record.unread:
                found = self.value(key, Named)
                if found is not None:
                    self.floor(key, found.gen)
        self._tell("fenced", reason=reason)
        for n, head in enumerate(list(self.writes)):
            under_way = n == 0 and self._write.asked >= 0
            self._settle(head, "unknown" if head.unknown or under_way else "refused")
        keys = list(self.mirror.records)
        self.mirror, self.session, self.joined, self._joining = Mirror(self.mirror.prefix), "", False, None
        self._whole, self._proof, self._older, self._in, self._calls = True, False, 0, "", {}
        for pace in (self._follow, self._life, self._write):
            pace.asked, pace.at, pace.faults = -1, now + self._pause(1), 0
        self._tell("changed", keys=keys)  # gone, until it is read that they are there

    def _took(self, now: int, events: list[r.Event]) -> None:
        """Changes as the register has them, after what is the agent's own has been seen to."""
        for e in events:
            for head in self.writes:
                if e.record is not None and e.record.token == head.token:
                    head.seen = e.revision
        if any(e.key == FLOORS for e in events):
            for key, gen in (self.value(FLOORS, dict[str, int]) or {}).items():
                self.floor(key, gen)
        named = self.value(self.me.named, Named) if any(e.key == self.me.named for e in events) else None
        if named is not None and named.holder != self.me.run and named.gen > self.right.gen > 0:
            if not self.standing_by:
                self._tell("outrun", by=named.holder, gen=named.gen)
            self.standing_by, self.joined = True, False
        if self._in == self.session != "" and any(
            e.key == self.me.member and e.record is None for e in events
        ):
            self._ended(now, "its record went")
        if events:
            self._tell("changed", keys=[e.key for e in events])

    def _strange(self, key: str, reason: str) -> None:
        if key not in self._unread:
            self._unread.add(key)
            self._tell("unread", key=key, reason=reason)

    def _tell(self, kind: str, **fields: Any) -> None:
        self.news.append(News(kind, fields))
