"""One relay's stream: what it was sent, what it acknowledged, what it is owed. Free of I/O.

Unread messages are kept up to a bound; past it they give way to one whole picture, so a relay that reads
slowly costs no more memory than its tables.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from gradehoist.protocol.feed import Message

Mark = tuple[int, int]  # a part of the governor, and the number that its module gave


class OutOfOrder(Exception):
    """A poll names a message that this stream never sent."""


@dataclass
class Stream:
    """`next` is the number of the next message; `released` those that the channel let out, not yet
    acknowledged; `owed` says why a whole picture is due (empty: none is)."""

    proxy: int
    relay: str
    zone: int
    number: int
    next: int = 1
    acked: int = 0
    sent: int = 0
    released: deque[Message] = field(default_factory=deque)
    lines: float = 0.0
    owed: str = ""
    picture: int = 0  # messages up to this one are part of a picture put after them
    seen: int = 0
    slow: bool = False  # told in the log
    strange: bool = False  # likewise, of replicas that nobody listed
    large: bool = False  # likewise, of a table that the queue can never hold
    quiet: int = 0  # since when released messages wait without a word of confirmation; 0: none do
    marks: deque[tuple[int, tuple[Mark, ...], int]] = field(default_factory=deque)  # seq, marks, ordered at

    MOST = 4_000.0  # lines unread: a few tables of a large fleet; beyond, one picture is shorter

    def number_next(self) -> int:
        self.next += 1
        return self.next - 1

    def owe(self, why: str) -> None:
        """The messages up to now give way to a picture; their marks are answered with it."""
        self.owed = self.owed or why
        self.released.clear()
        self.lines = 0.0

    def release(self, message: Message) -> bool:
        """The channel let a message out; False where a picture has taken its place."""
        if self.owed or message.seq < self.picture:
            return False
        self.released.append(message)
        self.lines += message.cost
        if self.lines > self.MOST and len(self.released) > 1:
            self.owe("too much unread")
            return False
        return True

    def acknowledge(self, after: int) -> Iterator[tuple[Mark, int]]:
        """Marks, with the time of their order, that a poll naming `after` confirms. Raises OutOfOrder for
        a message that was never sent; an older one than before means that the relay lost what it had."""
        if after > self.sent:
            raise OutOfOrder(f"message {after} was not sent; the last one was {self.sent}")
        if after < self.acked:
            # Once: the same poll is asked again while it waits, and must not undo the picture it waits for.
            self.acked = after
            self.owe("went back")
            return
        self.acked = after
        while self.released and self.released[0].seq <= after:
            self.lines -= self.released.popleft().cost
        while self.marks and self.marks[0][0] <= after:
            _, marks, at = self.marks.popleft()
            for mark in marks:
                yield mark, at

    def read(self, most: float) -> tuple[Message, ...]:
        """What to answer a poll with: released messages up to about `most` lines, at least one if any."""
        out: list[Message] = []
        lines = 0.0
        for message in self.released:
            if out and lines + message.cost > most:
                break
            out.append(message)
            lines += message.cost
        if out:
            self.sent = max(self.sent, out[-1].seq)
        return tuple(out)
