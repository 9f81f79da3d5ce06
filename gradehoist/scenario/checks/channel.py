"""Rule 5: a governor's channel keeps its limits on queued lines, sending rate and messages per proxy."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from gradehoist.protocol.feed import BindDelta, Message, TenantRoutes
from gradehoist.scenario.checks.checker import Checker, RunContext
from gradehoist.scenario.checks.records import MessageApplied, Record
from gradehoist.scenario.checks.verdict import Rule
from gradehoist.testbed.scenario_plan import SafetyRules

# The times of a message's creation and application are recorded by two processes, each with some delay.
SENDING_RATE_TOLERANCE_US = 5_000
# The costs are sums of floating-point numbers, which are subject to rounding.
QUEUE_TOLERANCE_LINES = 1e-6


@dataclass(frozen=True)
class QueuedMessage:
    """A message that was queued at `created_us`; its cost is in lines of the channel."""

    created_us: float
    cost_lines: float


@dataclass(frozen=True)
class QueueState:
    """The channel after a message was queued: the time at which its last line is sent, and its length."""

    sent_us: float
    waiting_lines: float


def replay_channel(messages: Iterable[QueuedMessage], lines_per_s: float) -> Iterator[QueueState]:
    """Replays a channel that sends at the given rate; the messages must be in the order of creation."""
    queue = deque[tuple[float, float]]()  # The time at which a message is sent, and its lines.
    sent_us = 0.0
    waiting_lines = 0.0
    for message in messages:
        while queue and queue[0][0] <= message.created_us:
            waiting_lines -= queue.popleft()[1]
        sent_us = max(sent_us, message.created_us) + message.cost_lines / lines_per_s * 1e6
        queue.append((sent_us, message.cost_lines))
        waiting_lines += message.cost_lines
        yield QueueState(sent_us=sent_us, waiting_lines=waiting_lines)


def minimum_cost_lines(message: Message, rules: SafetyRules) -> float:
    """Returns the minimum cost of a message: its overhead, one line per delta, and the lines of tables."""
    lines = rules.message_overhead_lines + len(message.deltas)
    if message.revision is not None:
        lines += 1
    for delta in message.deltas:
        if isinstance(delta, BindDelta):
            lines += len(delta.weights)
        elif isinstance(delta, TenantRoutes):
            lines += len(delta.cell_by_tenant)
    return lines


@dataclass(frozen=True)
class AppliedMessage:
    """A message, and the record of its application by a proxy."""

    record: Record
    event: MessageApplied

    @property
    def message(self) -> Message:
        """The applied message."""
        return self.event.message


class ChannelChecker(Checker):
    """Replays the channel of each epoch of a governor from the times and the contents of its messages."""

    rule = Rule.CHANNEL
    reason_without_occasion = "no relay applied a message"

    def __init__(self, context: RunContext) -> None:
        """Creates a checker that has seen no messages."""
        super().__init__(context)
        self.applied_by_epoch: dict[str, list[AppliedMessage]] = defaultdict(list)

    def on_record(self, record: Record) -> None:
        """Stores applied messages."""
        if isinstance(record.event, MessageApplied):
            self.applied_by_epoch[record.event.epoch].append(AppliedMessage(record, record.event))

    def finish(self, end_us: int) -> None:
        """Checks the messages of each epoch."""
        for applied in self.applied_by_epoch.values():
            first_by_message: dict[tuple[str, int, int], AppliedMessage] = {}
            for each in applied:
                key = (each.event.proxy, each.event.stream, each.message.seq)
                first_by_message.setdefault(key, each)
            ordered = sorted(first_by_message.values(), key=_creation_order)
            self.result.occasions += len(ordered)
            self._check_queue(ordered)
            self._check_sending_rate(ordered)
            if self.context.plan.rules.messages_per_window:
                self._check_message_rates(ordered)

    def _minimum_cost(self, applied: AppliedMessage) -> float:
        return minimum_cost_lines(applied.message, self.context.plan.rules)

    def _check_queue(self, ordered: list[AppliedMessage]) -> None:
        """Checks the queue length, and that no message is applied before its creation."""
        rules = self.context.plan.rules
        queued = [
            QueuedMessage(
                created_us=applied.message.created_us,
                cost_lines=max(self._minimum_cost(applied), applied.message.cost_lines),
            )
            for applied in ordered
        ]
        states = replay_channel(queued, rules.lines_per_s)
        for applied, state in zip(ordered, states, strict=True):
            event, record = applied.event, applied.record
            created_us = applied.message.created_us
            self.update_limit_used(state.waiting_lines / rules.queue_limit_lines)
            if state.waiting_lines > rules.queue_limit_lines + QUEUE_TOLERANCE_LINES:
                description = f"{state.waiting_lines:.0f} lines waited in the channel of {event.governor}"
                self.add_violation(created_us, description, [record], proxy=event.proxy)
            if record.time_us < created_us:
                self.add_violation(
                    record.time_us, "a message came before its order", [record], proxy=event.proxy
                )

    def _check_sending_rate(self, ordered: list[AppliedMessage]) -> None:
        """Checks the times of application against the sending rate, which reveals false times or costs.

        The lines that were created since `busy_since_us` and have been applied by now must have been sent in
        between at the stated rate, whatever the order of the messages within one reply. Messages that were
        created earlier may have been sent earlier and don't count.
        """
        lines_per_s = self.context.plan.rules.lines_per_s
        busy_since_us = 0
        sent_lines = 0.0
        for applied in sorted(ordered, key=lambda each: each.record.time_us):
            created_us = applied.message.created_us
            if created_us > busy_since_us + sent_lines / lines_per_s * 1e6:
                busy_since_us = created_us
                sent_lines = 0.0
            if created_us < busy_since_us:
                continue
            sent_lines += self._minimum_cost(applied)
            time_us = applied.record.time_us
            if time_us + SENDING_RATE_TOLERANCE_US < busy_since_us + sent_lines / lines_per_s * 1e6:
                description = f"{applied.event.governor} writes faster than its stated pace"
                self.add_violation(time_us, description, [applied.record], proxy=applied.event.proxy)

    def _check_message_rates(self, ordered: list[AppliedMessage]) -> None:
        """Checks the number of messages of each stream within a sliding window."""
        rules = self.context.plan.rules
        by_stream: dict[tuple[str, int], list[AppliedMessage]] = defaultdict(list)
        for applied in ordered:
            by_stream[applied.event.proxy, applied.event.stream].append(applied)
        for (proxy, _), stream_messages in by_stream.items():
            times_us = sorted(applied.message.created_us for applied in stream_messages)
            for number, time_us in enumerate(times_us, 1):
                in_window = number - bisect_right(times_us, time_us - rules.message_window_us)
                self.update_limit_used(in_window / rules.messages_per_window)
                if in_window > rules.messages_per_window:
                    description = f"{in_window} messages within the window"
                    self.add_violation(time_us, description, [stream_messages[0].record], proxy=proxy)


def _creation_order(applied: AppliedMessage) -> tuple[int, int, int]:
    message = applied.message
    return (message.reply_number, message.created_us, applied.record.time_us)
