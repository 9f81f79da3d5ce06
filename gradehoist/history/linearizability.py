"""Is the register linearizable? A search by key over what processes asked and were answered.

For each key the calls must have an order in which each takes place at one moment between its leaving and its
answer, every write finds the version that it expected, and every look shows the last write. A write without
an answer may have taken place at any time since it left, or never. A record that goes with a session may go
at any time. Looks change nothing, so each is placed as early as the state fits; what is searched is the order
of writes alone (after Wing and Gong, with Lowe's search from answer to answer).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from gradehoist.history.records import Answered, Asked, Line

State = tuple[int, str]  # version and token; (0, "") is not there, version -1 one that nobody saw
NOTHING: State = (0, "")
Config = tuple[State, frozenset[int]]
MOST = 200_000  # configurations at once: far beyond any history that is in order


@dataclass(frozen=True)
class Op:
    """`finds` is the version that a change expects; `shows` what a look saw; `makes` what a write left."""

    n: int
    by: str
    what: str
    began: int
    ended: float
    finds: int = -1
    shows: State | None = None
    makes: State | None = None

    def __str__(self) -> str:
        end = f"{self.ended / 1e6:.6f}" if self.ended < math.inf else "?"
        did = f"saw {self.shows}" if self.shows is not None else f"version {self.finds} -> {self.makes}"
        return f"{self.began / 1e6:.6f} to {end} s {self.by}: {self.what} {did}"


@dataclass(frozen=True)
class Breach:
    """`stretch` is the shortest run of calls up to the one that fits nowhere, whatever state it began in."""

    key: str
    stretch: tuple[Op, ...]

    def __str__(self) -> str:
        return "\n".join(
            [
                f"{self.key}: no order of these calls is one of a register:",
                *(f"  {op}" for op in self.stretch),
            ]
        )


@dataclass
class _Keyed:
    ops: list[Op] = field(default_factory=list)
    sessions: dict[int, str] = field(default_factory=dict)  # by write: it may go by itself


def _pairs(lines: Iterable[Line]) -> list[tuple[Asked, Answered | None]]:
    answers = {(x.by, x.n): x for x in lines if isinstance(x, Answered)}
    return [(x, answers.get((x.by, x.n))) for x in lines if isinstance(x, Asked)]


def _merged(pairs: list[tuple[Asked, Answered | None]]) -> Iterable[tuple[Asked, Answered | None]]:
    """Tries of one commit under one token: at most one can find the version that it expects. Where one was
    done, those of unknown outcome were not; else they are one call that began with the first."""
    done = {a.token for a, answer in pairs if a.what == "commit" and answer and answer.how == "done"}
    open_ones = set[str]()
    for asked, answer in pairs:
        if asked.what == "commit" and (answer is None or answer.how == "unknown"):
            if asked.token in done | open_ones:
                continue
            open_ones.add(asked.token)
        yield asked, answer


def by_key(lines: list[Line]) -> dict[str, _Keyed]:
    """The calls of each key. A whole read shows each known key below its prefix, as there or not."""
    pairs = _pairs(lines)
    versions = dict[tuple[str, str], int]()  # key and token to version, from all that anybody saw
    for asked, answer in pairs:
        if answer is not None:
            versions |= {(s.key, s.token): s.version for s in answer.saw if s.version}
            if answer.how == "done":
                versions |= {(c.key, asked.token): answer.revision for c in asked.changes}
    keys = {key for key, _ in versions} | {c.key for asked, _ in pairs for c in asked.changes}
    out: defaultdict[str, _Keyed] = defaultdict(_Keyed)

    def add(key: str, op: Op, session: str = "") -> None:
        keyed = out[key]
        if session:
            keyed.sessions[len(keyed.ops)] = session
        keyed.ops.append(replace(op, n=len(keyed.ops)))

    for asked, answer in _merged(pairs):
        how = answer.how if answer is not None else "unknown"
        ended = answer.t if answer is not None and how not in ("unknown", "none") else math.inf
        if asked.what == "read" and how == "read" and answer is not None:
            here = {s.key: (s.version, s.token) for s in answer.saw}
            for key in keys:
                if key.startswith(asked.prefix):
                    add(key, Op(0, asked.by, "read", asked.t, ended, shows=here.get(key, NOTHING)))
        elif asked.what == "commit" and how == "refused" and answer is not None:
            for saw in answer.saw:
                shown = (saw.version, saw.token)
                add(saw.key, Op(0, asked.by, "refused commit", asked.t, ended, shows=shown))
        elif asked.what == "commit" and how in ("done", "unknown"):
            for c in asked.changes:
                made = (versions.get((c.key, asked.token), -1), asked.token) if not c.gone else NOTHING
                add(
                    c.key,
                    Op(0, asked.by, f"commit {asked.token}", asked.t, ended, c.expect, makes=made),
                    c.session,
                )
    return dict(out)


def check(lines: list[Line]) -> list[Breach]:
    """A breach for each key that has no order."""
    out = []
    for key, keyed in sorted(by_key(lines).items()):
        ops = list(keyed.ops)
        for n in keyed.sessions:  # the going of a record with its session, by nobody's call
            made = ops[n].makes
            if made is not None:
                ops.append(
                    Op(
                        len(ops),
                        "register",
                        f"end of session {keyed.sessions[n]}",
                        ops[n].began,
                        math.inf,
                        made[0] if made[0] > 0 else -2,
                        makes=NOTHING,
                        shows=None,
                    )
                )
        bad = _search(ops, {NOTHING})
        if bad is not None:
            out.append(Breach(key, _shortest(ops, bad)))
    return out


def _fits(op: Op, state: State) -> bool:
    if op.shows is not None:
        return op.shows == state
    return op.finds == state[0]


def _search(ops: list[Op], starts: set[State]) -> int | None:
    """The call at whose answer no order is left, or None."""
    points = sorted(
        [(op.began, 0, op.n) for op in ops] + [(op.ended, 1, op.n) for op in ops if op.ended < math.inf]
    )
    table = {op.n: op for op in ops}
    least = {op.makes: op.finds for op in ops if op.makes is not None and op.makes[0] < 0}
    back = any(op.makes == NOTHING for op in ops)
    loose = {op.n for op in ops if op.ended == math.inf}
    pending = set[int]()
    looks, writes = set[int](), set[int]()
    configs: set[Config] = {(s, frozenset()) for s in starts}
    for _, end, n in points:
        op = table[n]
        if not end:
            pending.add(n)
            (looks if op.shows is not None else writes).add(n)
            if op.shows is not None:
                configs = {(s, done | {n}) if op.shows == s else (s, done) for s, done in configs}
            continue
        configs = {c for config in configs for c in _until(config, n, table, looks, writes)}
        configs = {(s, done - {n} | _dead(s, loose & writes, table, least, back)) for s, done in configs}
        pending.discard(n)
        looks.discard(n)
        writes.discard(n)
        if not configs:
            return n
        if len(configs) > MOST:
            raise OverflowError(f"over {MOST} orders are possible at once: the history is too loose to judge")
    return None


def _dead(
    state: State, some: set[int], table: dict[int, Op], least: dict[State, int], back: bool
) -> frozenset[int]:
    """Writes of unknown outcome that can find their version no more: whether they took place is all one."""
    version = state[0] if state[0] >= 0 else least.get(state, 0) + 1
    return frozenset(
        n for n in some if (found := table[n].finds) < version and (found or (state != NOTHING and not back))
    )


def _until(start: Config, n: int, table: dict[int, Op], looks: set[int], writes: set[int]) -> set[Config]:
    """All that can be once call `n` has taken place, by way of any calls that are under way."""
    out, seen, work = set[Config](), {start}, [start]
    while work:
        state, done = work.pop()
        if n in done:
            out.add((state, done))
            continue  # what more may have taken place by now is looked at when it has to be
        for w in writes - done:
            op = table[w]
            if _fits(op, state) and op.makes is not None:
                after = op.makes
                now = done | {w} | {k for k in looks if table[k].shows == after}
                if (after, now) not in seen:
                    seen.add((after, now))
                    work.append((after, now))
    return out


def _shortest(ops: list[Op], bad: int) -> tuple[Op, ...]:
    """The fewest last calls that fit nowhere, whatever the state before them."""
    end = next(op.ended for op in ops if op.n == bad)
    some = sorted((op for op in ops if op.began <= end), key=lambda op: (op.ended, op.began))
    states = {s for op in some for s in (op.shows, op.makes) if s is not None} | {NOTHING}
    states |= {(op.finds, "") for op in some if op.finds > 0}
    definite = [op for op in some if op.ended <= end]
    loose = [op for op in some if op.ended > end]
    for first in range(len(definite) - 1, -1, -1):
        window = definite[first:]
        if _search([*window, *loose], states) is not None:
            return tuple(window)
    return tuple(definite)
