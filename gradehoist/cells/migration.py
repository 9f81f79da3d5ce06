"""Moving a tenant between cells, so that old and new cell never both take a write of it. Free of I/O.

Each tenant has a generation. A generation has one cell; a higher one ends all lower ones where it is known.
Three parts, each a frozen value with functions that return the next one:

- `Fence`, at a worker: takes a write only under a lease and only of the generation that is open there. What
  it was told and which keys it has done outlive a crash; its lease does not.
- `Book`, at a governor: what movers told it, kept before it is confirmed. Its heartbeats renew leases and
  carry all of the book, so no worker has a lease from a governor that knows more than the worker does.
- `Move`, at the mover: a record whose step is kept before anything of that step is sent. SHUT: governors and
  the old cell's workers are told. OPEN: only when each old worker has confirmed with nothing in hand, or when
  every governor has confirmed and lease and settle time have passed since, as by then a worker that did not
  hear has no lease, and a write that it held is settled and past any client's repeat. DONE: all know.

Undoing is a move of the next generation back to the old cell; it waits for the new cell only if that may have
been opened. Assumed: clocks run at one rate within the margin of the lease; kept state is not lost; one mover
store orders all moves (two with one generation: the second is refused wherever the first is known).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from gradehoist.coordination.fencing import Right, Standing, standing

Keys = frozenset[str]
NONE: Keys = frozenset()


class Step(Enum):
    SHUT = "shut"
    OPEN = "open"
    DONE = "done"


class Verdict(Enum):
    """What a worker says to a write. Only TAKE runs it; MOVED and LEASE prove that it never ran."""

    TAKE = "take"
    KNOWN = "known"  # the key was done before: answered again, run once
    BUSY = "busy"  # the key is in hand: come back
    MOVED = "moved"
    LEASE = "no lease"


class Word(NamedTuple):
    """What is true of a tenant from generation `gen` on: shut everywhere, or open in `cell`, whose workers
    must know the `keys` that were done elsewhere."""

    tenant: str
    gen: int
    move: str
    cell: str = ""
    keys: Keys = NONE

    def over(self, other: Word | None) -> bool:
        """Newer than another word on the tenant: a higher generation, or its own move's opening."""
        match standing(self.right, None if other is None else other.right):
            case Standing.NEWER:
                return True
            case Standing.SAME:
                return bool(self.cell) and other is not None and not other.cell
        return False

    @property
    def right(self) -> Right:
        return Right(self.gen, self.move)


class Confirm(NamedTuple):
    """An answer to a word: `held` is what the answerer now holds true, `busy` that writes are in hand."""

    by: str
    held: Word
    busy: bool = False
    keys: Keys = NONE


Words = Mapping[str, Word]


@dataclass(frozen=True, slots=True)
class Fence:
    """`words` and `done` are kept; `until` (the lease, µs) and `hand` go with the process."""

    name: str
    cell: str
    words: Words = field(default_factory=dict)
    done: Mapping[str, Keys] = field(default_factory=dict)
    until: int = -1
    hand: Mapping[str, Keys] = field(default_factory=dict)

    def restarted(self) -> Fence:
        return replace(self, until=-1, hand={})

    def write(self, now: int, tenant: str, cell: str, gen: int, key: str) -> tuple[Fence, Verdict]:
        word = self.words.get(tenant)
        mine = cell == self.cell and (
            gen == 1 if word is None else gen == word.gen and word.cell == self.cell
        )
        if not mine:
            return self, Verdict.MOVED
        if now >= self.until:
            return self, Verdict.LEASE
        if key in self.done.get(tenant, NONE) or (word is not None and key in word.keys):
            return self, Verdict.KNOWN
        held = self.hand.get(tenant, NONE)
        if key in held:
            return self, Verdict.BUSY
        return replace(self, hand={**self.hand, tenant: held | {key}}), Verdict.TAKE

    def finish(self, tenant: str, key: str) -> Fence:
        """The effect of a write that was taken; kept together with it."""
        left = self.hand.get(tenant, NONE) - {key}
        return replace(
            self,
            hand={**self.hand, tenant: left},
            done={**self.done, tenant: self.done.get(tenant, NONE) | {key}},
        )

    def dropped(self, tenant: str, key: str) -> Fence:
        """A write that was taken and will never run: it waited, and nobody waits for it."""
        return replace(self, hand={**self.hand, tenant: self.hand.get(tenant, NONE) - {key}})

    def told(self, word: Word) -> tuple[Fence, Confirm]:
        """A word from a mover or in a heartbeat. The answer is due once the fence is kept."""
        known = self.words.get(word.tenant)
        after = replace(self, words={**self.words, word.tenant: word}) if word.over(known) else self
        held = after.words[word.tenant]
        return after, Confirm(
            self.name, held, bool(after.hand.get(word.tenant)), after.done.get(word.tenant, NONE) | held.keys
        )

    def heartbeat(self, now: int, lease: int, words: Iterable[Word]) -> Fence:
        after = self
        for word in words:
            after, _ = after.told(word)
        return replace(after, until=max(after.until, now + lease))


@dataclass(frozen=True, slots=True)
class Book:
    """A governor's: all of it is kept before it confirms."""

    name: str
    words: Words = field(default_factory=dict)

    def told(self, word: Word) -> tuple[Book, Confirm]:
        known = self.words.get(word.tenant)
        after = replace(self, words={**self.words, word.tenant: word}) if word.over(known) else self
        return after, Confirm(self.name, after.words[word.tenant])

    def heartbeat(self) -> tuple[Word, ...]:
        return tuple(self.words.values())

    def route(self, tenant: str, home: str) -> tuple[str, int] | None:
        """Cell and generation for relays; None while the tenant is shut. `home` is its first cell."""
        word = self.words.get(tenant)
        if word is None:
            return home, 1
        return (word.cell, word.gen) if word.cell else None


@dataclass(frozen=True, slots=True)
class Move:
    """The mover's record. `since` is when the last governor confirmed SHUT, by this process's clock; it is
    not kept: a mover that starts again waits anew."""

    id: str
    tenant: str
    source: str
    target: str
    gen: int
    step: Step = Step.SHUT
    fenced: bool = True  # False: nothing can be open elsewhere, as in an undo before any opening
    known: Keys = NONE  # governors that confirmed this step
    shut: Keys = NONE  # workers of the source that confirmed, with nothing in hand
    keys: Keys = NONE
    since: int = -1
    undone: bool = False
    conflict: str = ""

    def restarted(self) -> Move:
        return replace(self, since=-1)

    def word(self) -> Word:
        cell = "" if self.step is Step.SHUT else self.target
        return Word(self.tenant, self.gen, self.id, cell, self.keys)

    def sends(self, governors: Iterable[str], cells: Mapping[str, Iterable[str]]) -> list[str]:
        """Who has still to be told the word of this step."""
        if self.conflict or self.step is Step.DONE:
            return []
        due = [g for g in governors if g not in self.known]
        if self.step is Step.SHUT and self.fenced:
            due += [w for w in cells[self.source] if w not in self.shut]
        elif self.step is Step.OPEN:
            due += [w for w in cells[self.target] if w not in self.shut]
        return due

    def confirmed(self, now: int, c: Confirm, governors: Iterable[str]) -> Move:
        """Takes an answer; one to an earlier step or generation changes nothing."""
        if c.held.tenant != self.tenant or self.step is Step.DONE:
            return self
        if standing(c.held.right, Right(self.gen, self.id)) in (Standing.NEWER, Standing.RIVAL):
            return replace(self, conflict=f"{c.by} holds generation {c.held.gen} of move {c.held.move}")
        if c.held.gen < self.gen or (self.step is Step.OPEN) != bool(c.held.cell):
            return self
        if c.by in set(governors):
            after = replace(self, known=self.known | {c.by})
            everyone = after.known >= set(governors)
            return replace(after, since=now) if everyone and after.since < 0 else after
        if c.busy:
            return self
        keys = self.keys | c.keys if self.step is Step.SHUT else self.keys
        return replace(self, shut=self.shut | {c.by}, keys=keys)

    def advance(
        self, now: int, governors: Iterable[str], cells: Mapping[str, Iterable[str]], wait: int
    ) -> Move:
        """The next step if its time has come; `wait` is lease, settle time and margin (µs). The caller keeps
        the record before it sends anything of the new step."""
        if self.conflict:
            return self
        if self.step is Step.SHUT:
            heard = not self.fenced or set(cells[self.source]) <= self.shut
            waited = self.known >= set(governors) and 0 <= self.since <= now - wait
            if heard or waited:
                return replace(self, step=Step.OPEN, known=NONE, shut=NONE, since=-1)
            if self.known >= set(governors) and self.since < 0:
                # Killed after the last governor's answer it asks nobody again: the wait begins anew here.
                return replace(self, since=now)
        elif self.step is Step.OPEN and self.known >= set(governors):
            return replace(self, step=Step.DONE)
        return self

    def undo(self) -> Move:
        """Back to the source by the next generation. Raises ValueError where that can't be."""
        if self.step is Step.DONE:
            raise ValueError(f"move {self.id} is done; order a move back to {self.source}")
        if self.undone:
            raise ValueError(f"move {self.id} is being undone already")
        return Move(
            self.id + "-undo",
            self.tenant,
            self.target,
            self.source,
            self.gen + 1,
            fenced=self.step is Step.OPEN,
            keys=self.keys,
            undone=True,
        )

    def waits(self, now: int, governors: Iterable[str], cells: Mapping[str, Iterable[str]], wait: int) -> str:
        """What the move waits for, in words for a person."""
        if self.conflict:
            return "stopped: " + self.conflict
        missing = sorted(g for g in governors if g not in self.known)
        if self.step is Step.SHUT and self.fenced:
            quiet = sorted(w for w in cells[self.source] if w not in self.shut)
            if missing:
                more = f"governors {', '.join(missing)}, then {wait / 1e6:g} s"
            else:
                more = f"{max(0, self.since + wait - now) / 1e6:.1f} s more"
            return f"{', '.join(quiet)} to confirm; or {more}"
        if self.step is Step.OPEN:
            return "governors " + ", ".join(missing) if missing else "nothing"
        return "nothing"
