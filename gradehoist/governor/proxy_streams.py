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


class OutOfOrderError(Exception):
    """A poll names a message that this stream never sent."""


@dataclass
class ProxyStream:
    """`next` is the number of the next message; `released` those that the channel let out, not yet
    acknowledged; `owed` says why a whole picture is due (empty: none is)."""

    proxy: int
    proxy_name: str
    zone: int
    number: int
    next_seq: int = 1
    acknowledged_seq: int = 0
    sent_seq: int = 0
    unacknowledged: deque[Message] = field(default_factory=deque)
    unacknowledged_lines: float = 0.0
    resync_reason: str = ""
    resync_seq: int = 0  # messages up to this one are part of a picture put after them
    last_poll_us: int = 0
    is_slow: bool = False  # told in the log
    reported_unknown_replica: bool = False  # likewise, of replicas that nobody listed
    is_oversized: bool = False  # likewise, of a table that the queue can never hold
    unacknowledged_since_us: int = (
        0  # since when released messages wait without a word of confirmation; 0: none do
    )
    pending_revisions: deque[tuple[int, tuple[Mark, ...], int]] = field(
        default_factory=deque
    )  # seq, marks, ordered at

    MAX_UNACKNOWLEDGED_LINES = (
        4_000.0  # lines unread: a few tables of a large fleet; beyond, one picture is shorter
    )

    def allocate_seq(self) -> int:
        self.next_seq += 1
        return self.next_seq - 1

    def require_resync(self, why: str) -> None:
        """The messages up to now give way to a picture; their marks are answered with it."""
        self.resync_reason = self.resync_reason or why
        self.unacknowledged.clear()
        self.unacknowledged_lines = 0.0

    def add_released(self, message: Message) -> bool:
        """The channel let a message out; False where a picture has taken its place."""
        if self.resync_reason or message.seq < self.resync_seq:
            return False
        self.unacknowledged.append(message)
        self.unacknowledged_lines += message.cost_lines
        if self.unacknowledged_lines > self.MAX_UNACKNOWLEDGED_LINES and len(self.unacknowledged) > 1:
            self.require_resync("too much unread")
            return False
        return True

    def acknowledge(self, after: int) -> Iterator[tuple[Mark, int]]:
        """Marks, with the time of their order, that a poll naming `after` confirms. Raises OutOfOrder for
        a message that was never sent; an older one than before means that the relay lost what it had."""
        if after > self.sent_seq:
            raise OutOfOrderError(f"message {after} was not sent; the last one was {self.sent_seq}")
        if after < self.acknowledged_seq:
            # Once: the same poll is asked again while it waits, and must not undo the picture it waits for.
            self.acknowledged_seq = after
            self.require_resync("went back")
            return
        self.acknowledged_seq = after
        while self.unacknowledged and self.unacknowledged[0].seq <= after:
            self.unacknowledged_lines -= self.unacknowledged.popleft().cost_lines
        while self.pending_revisions and self.pending_revisions[0][0] <= after:
            _, marks, at = self.pending_revisions.popleft()
            for mark in marks:
                yield mark, at

    def read(self, most: float) -> tuple[Message, ...]:
        """What to answer a poll with: released messages up to about `most` lines, at least one if any."""
        out: list[Message] = []
        lines = 0.0
        for message in self.unacknowledged:
            if out and lines + message.cost_lines > most:
                break
            out.append(message)
            lines += message.cost_lines
        if out:
            self.sent_seq = max(self.sent_seq, out[-1].seq)
        return tuple(out)
