"""The proxies' streams: which one is current, and which acknowledgements each owes.

The platform's channel queues what is written, and the policy keeps account of how many lines wait in it.
This module decides when an acknowledgement is overdue, so that the lines it stands for leave that account.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from gradehoist.interface import UpdateAcknowledged
from gradehoist.protocol.lines import Acknowledgement, ProxyHello

SECOND_US = 1_000_000
OVERDUE_US = (
    2 * SECOND_US
)  # a message is overdue this long after later ones to other proxies were acknowledged
SILENCE_US = 4 * SECOND_US  # or after this silence of its stream, where no proxy has answered for OVERDUE_US
SWEEP_PERIOD_US = SECOND_US // 4


class SentRevision(NamedTuple):
    """A message that is to be acknowledged."""

    revision: int
    sent_us: int


@dataclass(slots=True)
class ProxyStream:
    """One stream of a proxy. `stream_id` tells it from earlier and later streams of the same proxy."""

    proxy: int
    zone: int
    stream_id: int
    request_rate: float
    is_new: bool  # the proxy holds no table and no withdrawal of another node
    last_active_us: int
    unacknowledged: deque[SentRevision] = field(default_factory=deque)  # the oldest first
    notified_replicas: set[int] = field(
        default_factory=set
    )  # withdrawn or restored at least once on this stream
    withdrawn_replicas: set[int] = field(default_factory=set)  # those of them that are withdrawn now


class ProxyStreams:
    """The current stream of each joined proxy."""

    def __init__(self, now_us: int) -> None:
        """Starts without streams; silence is measured from `now_us`."""
        self.by_proxy: dict[int, ProxyStream] = {}
        self.overdue_count = 0  # acknowledgements given up; whoever reports it sets it back to 0
        self._opened = 0
        self._swept_us = now_us
        self._last_acknowledged_us = now_us  # when any proxy last acknowledged anything
        self._newest_acknowledged_us = 0  # when the newest message that some proxy has acknowledged was sent
        # The same at the latest sweeps: the first item is OVERDUE_US old.
        self._newest_at_sweeps = deque([0] * (OVERDUE_US // SWEEP_PERIOD_US))

    def open(self, now_us: int, hello: ProxyHello, zone: int) -> ProxyStream:
        """Makes a new stream the current one of its proxy."""
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
        """The stream, or None where it is not the current one of its proxy."""
        stream = self.by_proxy.get(proxy)
        if stream is None or stream.stream_id != stream_id:
            return None
        return stream

    def acknowledge(self, now_us: int, stream: ProxyStream, acknowledgement: Acknowledgement) -> bool:
        """Settles a message and all before it; False where no such message is unacknowledged."""
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

        They were lost, or the proxy is cut off. Its stream stays joined and is written to, and is not bound
        anew when it is heard again: taken for left and joined again, one proxy was written 21 messages in
        10 s, as the policy counts them from the joining.

        Returns:
            For each such stream an event that lets its lines leave the policy's account of the channel.
        """
        if now_us < self._swept_us + SWEEP_PERIOD_US:
            return []
        self._swept_us = now_us
        self._newest_at_sweeps.append(self._newest_acknowledged_us)
        settled_us = self._newest_at_sweeps.popleft()
        none_answers = now_us - self._last_acknowledged_us > OVERDUE_US
        events = []
        for stream in self.by_proxy.values():
            revision = self._expire(stream, now_us, settled_us, none_answers)
            if revision is not None:
                event = UpdateAcknowledged(proxy=stream.proxy, revision=revision, elapsed_us=0)
                events.append(event)
        return events

    def _expire(self, stream: ProxyStream, now_us: int, settled_us: int, none_answers: bool) -> int | None:
        """Drops what is overdue on one stream and returns the last revision dropped.

        Messages leave in the order written: that one written later was acknowledged says that ours has left
        the channel. As long as acknowledgements come at all, a slow channel may still hold it, and its lines
        have to stay in the policy's account. So OVERDUE_US runs from that acknowledgement. Where it ran from
        the message, a queue of 6 s gave up the lines of 16 streams of 346 at once, and the queue grew too
        long.
        """
        revision = None
        while stream.unacknowledged:
            sent = stream.unacknowledged[0]
            silence_us = now_us - max(stream.last_active_us, sent.sent_us)
            is_silent = none_answers and silence_us > SILENCE_US
            if sent.sent_us >= settled_us and not is_silent:
                break
            revision = stream.unacknowledged.popleft().revision
            self.overdue_count += 1
        return revision
