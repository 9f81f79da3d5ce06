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

from gradehoist.history.records import Completion, HistoryEntry, Invocation

RecordState = tuple[int, str]  # version and token; (0, "") is not there, version -1 one that nobody saw
ABSENT: RecordState = (0, "")
Configuration = tuple[RecordState, frozenset[int]]
MAX_CONFIGURATIONS = 200_000  # configurations at once: far beyond any history that is in order


@dataclass(frozen=True)
class Operation:
    """`finds` is the version that a change expects; `shows` what a look saw; `makes` what a write left."""

    index: int
    process: str
    description: str
    invoked_us: int
    completed_us: float
    expected_version: int = -1
    observed: RecordState | None = None
    written: RecordState | None = None

    def __str__(self) -> str:
        end = f"{self.completed_us / 1e6:.6f}" if self.completed_us < math.inf else "?"
        did = (
            f"saw {self.observed}"
            if self.observed is not None
            else f"version {self.expected_version} -> {self.written}"
        )
        return f"{self.invoked_us / 1e6:.6f} to {end} s {self.process}: {self.description} {did}"


@dataclass(frozen=True)
class LinearizabilityViolation:
    """`stretch` is the shortest run of calls up to the one that fits nowhere, whatever state it began in."""

    key: str
    operations: tuple[Operation, ...]

    def __str__(self) -> str:
        return "\n".join(
            [
                f"{self.key}: no order of these calls is one of a register:",
                *(f"  {op}" for op in self.operations),
            ]
        )


@dataclass
class _Keyed:
    ops: list[Operation] = field(default_factory=list)
    sessions: dict[int, str] = field(default_factory=dict)  # by write: it may go by itself


def _pairs(lines: Iterable[HistoryEntry]) -> list[tuple[Invocation, Completion | None]]:
    answers = {(x.process, x.call_id): x for x in lines if isinstance(x, Completion)}
    return [(x, answers.get((x.process, x.call_id))) for x in lines if isinstance(x, Invocation)]


def _merged(
    pairs: list[tuple[Invocation, Completion | None]],
) -> Iterable[tuple[Invocation, Completion | None]]:
    """Tries of one commit under one token: at most one can find the version that it expects. Where one was
    done, those of unknown outcome were not; else they are one call that began with the first."""
    done = {
        a.commit_id for a, answer in pairs if a.operation == "commit" and answer and answer.outcome == "done"
    }
    open_ones = set[str]()
    for asked, answer in pairs:
        if asked.operation == "commit" and (answer is None or answer.outcome == "unknown"):
            if asked.commit_id in done | open_ones:
                continue
            open_ones.add(asked.commit_id)
        yield asked, answer


def group_by_key(lines: list[HistoryEntry]) -> dict[str, _Keyed]:
    """The calls of each key. A whole read shows each known key below its prefix, as there or not."""
    pairs = _pairs(lines)
    versions = dict[tuple[str, str], int]()  # key and token to version, from all that anybody saw
    for asked, answer in pairs:
        if answer is not None:
            versions |= {(s.key, s.commit_id): s.version for s in answer.observed if s.version}
            if answer.outcome == "done":
                versions |= {(c.key, asked.commit_id): answer.revision for c in asked.changes}
    keys = {key for key, _ in versions} | {c.key for asked, _ in pairs for c in asked.changes}
    out: defaultdict[str, _Keyed] = defaultdict(_Keyed)

    def add(key: str, op: Operation, session: str = "") -> None:
        keyed = out[key]
        if session:
            keyed.sessions[len(keyed.ops)] = session
        keyed.ops.append(replace(op, index=len(keyed.ops)))

    for asked, answer in _merged(pairs):
        how = answer.outcome if answer is not None else "unknown"
        ended = answer.time_us if answer is not None and how not in ("unknown", "none") else math.inf
        if asked.operation == "read" and how == "read" and answer is not None:
            here = {s.key: (s.version, s.commit_id) for s in answer.observed}
            for key in keys:
                if key.startswith(asked.prefix):
                    add(
                        key,
                        Operation(
                            0, asked.process, "read", asked.time_us, ended, observed=here.get(key, ABSENT)
                        ),
                    )
        elif asked.operation == "commit" and how == "refused" and answer is not None:
            for saw in answer.observed:
                shown = (saw.version, saw.commit_id)
                add(
                    saw.key,
                    Operation(0, asked.process, "refused commit", asked.time_us, ended, observed=shown),
                )
        elif asked.operation == "commit" and how in ("done", "unknown"):
            for c in asked.changes:
                made = (
                    (versions.get((c.key, asked.commit_id), -1), asked.commit_id)
                    if not c.is_deletion
                    else ABSENT
                )
                add(
                    c.key,
                    Operation(
                        0,
                        asked.process,
                        f"commit {asked.commit_id}",
                        asked.time_us,
                        ended,
                        c.expected_version,
                        written=made,
                    ),
                    c.session_id,
                )
    return dict(out)


def find_linearizability_violations(lines: list[HistoryEntry]) -> list[LinearizabilityViolation]:
    """A breach for each key that has no order."""
    out = []
    for key, keyed in sorted(group_by_key(lines).items()):
        ops = list(keyed.ops)
        for n in keyed.sessions:  # the going of a record with its session, by nobody's call
            made = ops[n].written
            if made is not None:
                ops.append(
                    Operation(
                        len(ops),
                        "register",
                        f"end of session {keyed.sessions[n]}",
                        ops[n].invoked_us,
                        math.inf,
                        made[0] if made[0] > 0 else -2,
                        written=ABSENT,
                        observed=None,
                    )
                )
        bad = _search(ops, {ABSENT})
        if bad is not None:
            out.append(LinearizabilityViolation(key, _shortest(ops, bad)))
    return out


def _fits(op: Operation, state: RecordState) -> bool:
    if op.observed is not None:
        return op.observed == state
    return op.expected_version == state[0]


def _search(ops: list[Operation], starts: set[RecordState]) -> int | None:
    """The call at whose answer no order is left, or None."""
    points = sorted(
        [(op.invoked_us, 0, op.index) for op in ops]
        + [(op.completed_us, 1, op.index) for op in ops if op.completed_us < math.inf]
    )
    table = {op.index: op for op in ops}
    least = {op.written: op.expected_version for op in ops if op.written is not None and op.written[0] < 0}
    back = any(op.written == ABSENT for op in ops)
    loose = {op.index for op in ops if op.completed_us == math.inf}
    pending = set[int]()
    looks, writes = set[int](), set[int]()
    configs: set[Configuration] = {(s, frozenset()) for s in starts}
    for _, end, n in points:
        op = table[n]
        if not end:
            pending.add(n)
            (looks if op.observed is not None else writes).add(n)
            if op.observed is not None:
                configs = {(s, done | {n}) if op.observed == s else (s, done) for s, done in configs}
            continue
        configs = {c for config in configs for c in _until(config, n, table, looks, writes)}
        configs = {(s, done - {n} | _dead(s, loose & writes, table, least, back)) for s, done in configs}
        pending.discard(n)
        looks.discard(n)
        writes.discard(n)
        if not configs:
            return n
        if len(configs) > MAX_CONFIGURATIONS:
            raise OverflowError(
                f"over {MAX_CONFIGURATIONS} orders are possible at once: the history is too loose to judge"
            )
    return None


def _dead(
    state: RecordState, some: set[int], table: dict[int, Operation], least: dict[RecordState, int], back: bool
) -> frozenset[int]:
    """Writes of unknown outcome that can find their version no more: whether they took place is all one."""
    version = state[0] if state[0] >= 0 else least.get(state, 0) + 1
    return frozenset(
        n
        for n in some
        if (found := table[n].expected_version) < version and (found or (state != ABSENT and not back))
    )


def _until(
    start: Configuration, n: int, table: dict[int, Operation], looks: set[int], writes: set[int]
) -> set[Configuration]:
    """All that can be once call `n` has taken place, by way of any calls that are under way."""
    out, seen, work = set[Configuration](), {start}, [start]
    while work:
        state, done = work.pop()
        if n in done:
            out.add((state, done))
            continue  # what more may have taken place by now is looked at when it has to be
        for w in writes - done:
            op = table[w]
            if _fits(op, state) and op.written is not None:
                after = op.written
                now = done | {w} | {k for k in looks if table[k].observed == after}
                if (after, now) not in seen:
                    seen.add((after, now))
                    work.append((after, now))
    return out


def _shortest(ops: list[Operation], bad: int) -> tuple[Operation, ...]:
    """The fewest last calls that fit nowhere, whatever the state before them."""
    end = next(op.completed_us for op in ops if op.index == bad)
    some = sorted((op for op in ops if op.invoked_us <= end), key=lambda op: (op.completed_us, op.invoked_us))
    states = {s for op in some for s in (op.observed, op.written) if s is not None} | {ABSENT}
    states |= {(op.expected_version, "") for op in some if op.expected_version > 0}
    definite = [op for op in some if op.completed_us <= end]
    loose = [op for op in some if op.completed_us > end]
    for first in range(len(definite) - 1, -1, -1):
        window = definite[first:]
        if _search([*window, *loose], states) is not None:
            return tuple(window)
    return tuple(definite)
