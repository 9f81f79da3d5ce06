"""Writes what a process asks of the register and is answered, as lines of a history."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gradehoist.coordination import store as r
from gradehoist.coordination.agent import Ask
from gradehoist.history.records import Answered, Asked, Line, Saw, Wrote, now


def _saw(records: tuple[r.Record, ...]) -> tuple[Saw, ...]:
    return tuple(Saw(x.key, x.version, x.token) for x in records)


class Scribe:
    """Of reads, commits and watches; what sessions do shows in the records that go with them."""

    KEPT = ("read", "commit", "watch")

    def __init__(self, write: Callable[[Line], None], by: str, clock: Callable[[], int] = now) -> None:
        self._write, self._by, self._now = write, by, clock

    def asked(self, ask: Ask) -> None:
        if ask.what == "commit":
            changes = tuple(
                Wrote(c.key, c.expect, c.session if isinstance(c, r.Put) else "", isinstance(c, r.Delete))
                for c in ask.args[0]
            )
            self._write(Asked(self._now(), self._by, ask.number, ask.what, ask.args[1], changes=changes))
        elif ask.what in self.KEPT:
            after = ask.args[1] if ask.what == "watch" else 0
            self._write(Asked(self._now(), self._by, ask.number, ask.what, prefix=ask.args[0], after=after))

    def answered(self, ask: Ask, answer: Any) -> None:
        if ask.what not in self.KEPT:
            return
        how, revision, saw = "none", 0, tuple[Saw, ...]()
        match answer:
            case r.Done(revision):
                how = "done"
            case r.Refused(revision, records):
                how, saw = "refused", _saw(records)
                here = {x.key for x in records}
                saw += tuple(Saw(c.key, 0) for c in ask.args[0] if c.key not in here)
            case r.Snapshot(_, revision, records):
                how, saw = "read", _saw(records)
            case r.Batch(_, _, revision, events):
                how = "watched"
                saw = tuple(
                    Saw(e.key, e.revision if e.record else 0, e.record.token if e.record else "")
                    for e in events
                )
            case r.Unknown():
                how = "unknown"
        self._write(Answered(self._now(), self._by, ask.number, how, revision, saw))
