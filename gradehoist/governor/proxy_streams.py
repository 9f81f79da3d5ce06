"""One proxy's stream: what it was sent, what it acknowledged and why it has to be resynced. No I/O.

Unacknowledged messages are kept up to a bound. Beyond it they are replaced by one full resync, so a proxy
that reads slowly costs no more memory than its tables.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gradehoist.governor.errors import GovernorError
from gradehoist.governor.policy_instances import PolicyRevision
from gradehoist.protocol.feed import Message


class OutOfOrderError(GovernorError):
    """A poll acknowledges a message that this stream never sent; the proxy has to join again."""


@dataclass(frozen=True, slots=True)
class PendingAcknowledgement:
    """Revisions that are acknowledged together with message `seq`; ordered at `ordered_us`."""

    seq: int
    revisions: tuple[PolicyRevision, ...]
    ordered_us: int


@dataclass(frozen=True, slots=True)
class OrderedRevision:
    """A revision of a policy, and when that policy ordered it (µs)."""

    revision: PolicyRevision
    ordered_us: int


@dataclass
class ProxyStream:
    """The messages of one proxy from a join to the next. The core owns it.

    Attributes:
        proxy: the proxy's index.
        proxy_name: its name.
        zone: index of its zone.
        number: of the stream; a proxy that joins again gets a higher one.
        next_seq: number of the next message.
        acknowledged_seq: the last message that the proxy applied.
        sent_seq: the last message that an answer to a poll held.
        unacknowledged: messages that the channel released and the proxy did not acknowledge.
        unacknowledged_lines: their cost.
        unacknowledged_since_us: since when the proxy acknowledges none of them; 0 while there are none.
        pending: revisions that no poll has acknowledged, oldest first.
        resync_reason: why a full resync is due; empty while none is.
        resync_seq: number of the last full resync, which replaces all earlier messages.
        last_poll_us: when the last poll came.
        is_slow: whether a late acknowledgement has been logged.
        is_oversized: whether the proxy's tables are larger than the channel's queue.
        reported_unknown_replica: whether a report on an unlisted replica has been logged.
    """

    proxy: int
    proxy_name: str
    zone: int
    number: int
    next_seq: int = 1
    acknowledged_seq: int = 0
    sent_seq: int = 0
    unacknowledged: deque[Message] = field(default_factory=deque)
    unacknowledged_lines: float = 0.0
    unacknowledged_since_us: int = 0
    pending: deque[PendingAcknowledgement] = field(default_factory=deque)
    resync_reason: str = ""
    resync_seq: int = 0
    last_poll_us: int = 0
    is_slow: bool = False
    is_oversized: bool = False
    reported_unknown_replica: bool = False

    MAX_UNACKNOWLEDGED_LINES = 4_000.0  # a few tables of a large fleet; beyond, a resync is shorter

    def allocate_seq(self) -> int:
        """The number for the next message."""
        seq = self.next_seq
        self.next_seq += 1
        return seq

    def expect_acknowledgement(
        self, seq: int, revisions: tuple[PolicyRevision, ...], ordered_us: int
    ) -> None:
        """Notes the revisions that message `seq` brings, if any."""
        if revisions:
            self.pending.append(PendingAcknowledgement(seq=seq, revisions=revisions, ordered_us=ordered_us))

    def require_resync(self, reason: str) -> None:
        """Drops the messages up to now: a full resync replaces them and is acknowledged for them."""
        self.resync_reason = self.resync_reason or reason
        self.unacknowledged.clear()
        self.unacknowledged_lines = 0.0

    def add_released(self, message: Message) -> bool:
        """Takes a message that the channel released; False if a full resync replaces it."""
        if self.resync_reason or message.seq < self.resync_seq:
            return False
        self.unacknowledged.append(message)
        self.unacknowledged_lines += message.cost_lines
        if self.unacknowledged_lines > self.MAX_UNACKNOWLEDGED_LINES and len(self.unacknowledged) > 1:
            self.require_resync("too much unread")
            return False
        return True

    def acknowledge(self, seq: int) -> list[OrderedRevision]:
        """Takes the last message that the proxy has applied and returns the revisions that it confirms.

        A lower number than before means that the proxy lost what it had: it is resynced.

        Raises:
            OutOfOrderError: the message was never sent.
        """
        if seq > self.sent_seq:
            raise OutOfOrderError(f"message {seq} was not sent; the last one was {self.sent_seq}")
        if seq < self.acknowledged_seq:
            # Only once: the held poll is evaluated again and must not undo the resync that it waits for.
            self.acknowledged_seq = seq
            self.require_resync("went back")
            return []
        self.acknowledged_seq = seq
        while self.unacknowledged and self.unacknowledged[0].seq <= seq:
            self.unacknowledged_lines -= self.unacknowledged.popleft().cost_lines
        confirmed: list[OrderedRevision] = []
        while self.pending and self.pending[0].seq <= seq:
            pending = self.pending.popleft()
            confirmed += [OrderedRevision(revision, pending.ordered_us) for revision in pending.revisions]
        return confirmed

    def read(self, max_lines: float) -> tuple[Message, ...]:
        """The answer to a poll: messages of about `max_lines` in all, at least one if there is any."""
        messages: list[Message] = []
        lines = 0.0
        for message in self.unacknowledged:
            if messages and lines + message.cost_lines > max_lines:
                break
            messages.append(message)
            lines += message.cost_lines
        if messages:
            self.sent_seq = max(self.sent_seq, messages[-1].seq)
        return tuple(messages)

    def overdue_us(self, now_us: int) -> int:
        """How long the oldest revision that was not acknowledged has been ordered; 0 if there is none."""
        return now_us - self.pending[0].ordered_us if self.pending else 0
