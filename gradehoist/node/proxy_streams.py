"""The current stream of each proxy and the acknowledgements that are outstanding on it.

The platform's channel queues messages, and the policy tracks how many lines are queued in it. This module
decides when an acknowledgement is overdue; the policy then no longer counts the lines of that message as
queued.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from gradehoist.interface import UpdateAcknowledged
from gradehoist.protocol.lines import Acknowledgement, ProxyHello

SECOND_US = 1_000_000
# A message is overdue this long after a later message to any other proxy was acknowledged.
OVERDUE_US = 2 * SECOND_US
# It is also overdue after this silence of its stream if no proxy has acknowledged anything for OVERDUE_US.
SILENCE_US = 4 * SECOND_US
SWEEP_PERIOD_US = SECOND_US // 4


class SentRevision(NamedTuple):
    """A message that the proxy has to acknowledge."""

    revision: int
    sent_us: int


@dataclass(slots=True)
class ProxyStream:
    """One stream of a proxy; `stream_id` distinguishes it from other streams of the same proxy."""

    proxy: int
    zone: int
    stream_id: int
    request_rate: float
    is_new: bool  # the proxy has no tables and no withdrawals from another node
    last_active_us: int
    unacknowledged: deque[SentRevision] = field(default_factory=deque)  # oldest first
    # Replicas that were withdrawn or restored at least once on this stream.
    notified_replicas: set[int] = field(default_factory=set)
    # Those of them whose withdrawal is in force.
    withdrawn_replicas: set[int] = field(default_factory=set)


class ProxyStreams:
    """The current stream of each joined proxy."""

    def __init__(self, now_us: int) -> None:
        """Creates the registry without streams; silence is measured from `now_us`."""
        self.by_proxy: dict[int, ProxyStream] = {}
        self.overdue_count = 0  # acknowledgements given up; reset by the caller that reports it
        self._opened = 0
        self._swept_us = now_us
        self._last_acknowledged_us = now_us  # when any proxy last acknowledged anything
        self._newest_acknowledged_us = 0  # the latest sending time of any acknowledged message
        # Its value at each of the latest sweeps; the first item is OVERDUE_US old.
        self._newest_at_sweeps = deque([0] * (OVERDUE_US // SWEEP_PERIOD_US))

    def open(self, now_us: int, hello: ProxyHello, zone: int) -> ProxyStream:
        """Opens a new stream and makes it the proxy's current one."""
        self._opened += 1
        stream = ProxyStream(
            proxy=hello.proxy,
            zone=zone,
            stream_id=self._opened,
            request_rate=hello.request_rate,
            is_new=hello.is_new,
            last_active_us=now_us,
        )
        self.by_proxy[hello.proxy] = stream
        return stream

    def find(self, proxy: int, stream_id: int) -> ProxyStream | None:
        """Returns the stream, or None if it is not the current one of its proxy."""
        stream = self.by_proxy.get(proxy)
        if stream is None or stream.stream_id != stream_id:
            return None
        return stream

    def acknowledge(self, now_us: int, stream: ProxyStream, acknowledgement: Acknowledgement) -> bool:
        """Marks a message and all earlier ones as acknowledged; False if the message is not outstanding."""
        if all(sent.revision != acknowledgement.revision for sent in stream.unacknowledged):
            return False
        while True:
            sent = stream.unacknowledged.popleft()
            self._newest_acknowledged_us = max(self._newest_acknowledged_us, sent.sent_us)
            if sent.revision == acknowledgement.revision:
                break
        self._last_acknowledged_us = now_us
        return True

    def expire_overdue(self, now_us: int) -> list[UpdateAcknowledged]:
        """Gives up overdue acknowledgements, at most once in SWEEP_PERIOD_US.

        The acknowledgements were lost, or the proxy is cut off. The stream stays joined, messages are still
        sent on it, and it is not bound again when the proxy resumes. Treating the proxy as having left and
        joined again caused 21 messages to one proxy within 10 s, because the policy counts messages from the
        join.

        Returns:
            For each such stream an event that makes the policy stop counting the lines as queued in the
            channel.
        """
        if now_us < self._swept_us + SWEEP_PERIOD_US:
            return []
        self._swept_us = now_us
        self._newest_at_sweeps.append(self._newest_acknowledged_us)
        delivered_before_us = self._newest_at_sweeps.popleft()
        no_proxy_answers = now_us - self._last_acknowledged_us > OVERDUE_US
        events = []
        for stream in self.by_proxy.values():
            revision = self._expire(stream, now_us, delivered_before_us, no_proxy_answers)
            if revision is not None:
                event = UpdateAcknowledged(proxy=stream.proxy, revision=revision, elapsed_us=0)
                events.append(event)
        return events

    def _expire(
        self, stream: ProxyStream, now_us: int, delivered_before_us: int, no_proxy_answers: bool
    ) -> int | None:
        """Drops the overdue messages of one stream and returns the last revision dropped, or None.

        All messages leave the channel in the order in which they were written: once a later message to any
        proxy is acknowledged, this one has left the channel. Before that, and as long as any acknowledgements
        arrive, a slow channel may still hold the message, and the policy must keep counting its lines as
        queued. OVERDUE_US is therefore measured from the acknowledgement of a later message. When it was
        measured from the sending of the message itself, a queue of 6 s made the lines of 16 of 346 streams
        expire at once, and the queue grew beyond its limit.
        """
        last_dropped = None
        while stream.unacknowledged:
            sent = stream.unacknowledged[0]
            silence_us = now_us - max(stream.last_active_us, sent.sent_us)
            is_silent = no_proxy_answers and silence_us > SILENCE_US
            if sent.sent_us >= delivered_before_us and not is_silent:
                break
            last_dropped = stream.unacknowledged.popleft().revision
            self.overdue_count += 1
        return last_dropped
