"""The stream of one proxy: sent and acknowledged messages, and pending resyncs.

Unacknowledged messages are kept up to a limit. Beyond it they are replaced by one full resync, so a slow
proxy needs no more memory than its tables. This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gradehoist.governor.errors import GovernorError
from gradehoist.governor.policy_instances import PolicyRevision
from gradehoist.protocol.feed import Message


class OutOfOrderError(GovernorError):
    """A poll acknowledges a message that was never sent; the proxy has to join again."""


@dataclass(frozen=True, slots=True)
class PendingAcknowledgement:
    """Revisions that were ordered at `ordered_us` and are acknowledged with message `seq`."""

    seq: int
    revisions: tuple[PolicyRevision, ...]
    ordered_us: int


@dataclass(frozen=True, slots=True)
class OrderedRevision:
    """A revision of a policy, and the time when the policy ordered it."""

    revision: PolicyRevision
    ordered_us: int


@dataclass
class ProxyStream:
    """The messages to one proxy between two joins. The core owns it.

    Attributes:
        proxy: index of the proxy.
        proxy_name: name of the proxy.
        zone: index of the proxy's zone.
        number: number of the stream; a proxy that joins again gets a higher one.
        next_seq: number of the next message.
        acknowledged_seq: number of the last message that the proxy has applied.
        sent_seq: number of the last message that was part of an answer to a poll.
        unacknowledged: messages that the channel released and the proxy has not acknowledged.
        unacknowledged_lines: total cost of these messages.
        unacknowledged_since_us: time since which the proxy has acknowledged none of these messages; 0 while
            there are none.
        pending: revisions that have not been acknowledged, oldest first.
        resync_reason: why a full resync is pending; empty while none is pending.
        resync_seq: number of the last full resync, which replaces all earlier messages.
        last_poll_us: time of the last poll.
        is_acknowledgement_late: whether a late acknowledgement has been logged.
        is_oversized: whether the proxy's tables are larger than the channel's queue.
        has_logged_unknown_replica: whether a report on an unlisted replica has been logged.
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
    is_acknowledgement_late: bool = False
    is_oversized: bool = False
    has_logged_unknown_replica: bool = False

    MAX_UNACKNOWLEDGED_LINES = 4_000.0  # a few tables of a large fleet; beyond this, a resync is shorter

    def allocate_seq(self) -> int:
        """Returns the number for the next message."""
        seq = self.next_seq
        self.next_seq += 1
        return seq

    def expect_acknowledgement(
        self, seq: int, revisions: tuple[PolicyRevision, ...], ordered_us: int
    ) -> None:
        """Records the revisions that an acknowledgement of message `seq` covers, if any."""
        if revisions:
            self.pending.append(PendingAcknowledgement(seq=seq, revisions=revisions, ordered_us=ordered_us))

    def require_resync(self, reason: str) -> None:
        """Drops all messages so far: a full resync and its acknowledgement replace them."""
        self.resync_reason = self.resync_reason or reason
        self.unacknowledged.clear()
        self.unacknowledged_lines = 0.0

    def add_released(self, message: Message) -> bool:
        """Adds a message that the channel released; returns False if a full resync replaces it."""
        if self.resync_reason or message.seq < self.resync_seq:
            return False
        self.unacknowledged.append(message)
        self.unacknowledged_lines += message.cost_lines
        if self.unacknowledged_lines > self.MAX_UNACKNOWLEDGED_LINES and len(self.unacknowledged) > 1:
            self.require_resync("too much unread")
            return False
        return True

    def acknowledge(self, seq: int) -> list[OrderedRevision]:
        """Records the last message that the proxy has applied; returns the revisions that this acknowledges.

        A lower number than before means that the proxy lost its state and has to be resynced.

        Raises:
            OutOfOrderError: the message was never sent.
        """
        if seq > self.sent_seq:
            raise OutOfOrderError(f"message {seq} was not sent; the last one was {self.sent_seq}")
        if seq < self.acknowledged_seq:
            # The number is stored so that this happens once: the held poll is evaluated again, and must not
            # cancel the resync that it waits for.
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
        """Returns the messages for an answer to a poll: about `max_lines` lines, and at least one message."""
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
        """Returns the age of the oldest unacknowledged revision; 0 if there is none."""
        return now_us - self.pending[0].ordered_us if self.pending else 0
