"""Event counts of a run, which the report shows with the verdict."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gradehoist.scenario.checks.records import (
    AttemptSent,
    MessageApplied,
    Record,
    RequestCompleted,
    RequestRejected,
    StreamLost,
)


@dataclass(frozen=True)
class RunCounts:
    """The numbers of events of a run; `feed_bytes` is the total size of the poll responses with messages."""

    requests: int
    attempts: int
    messages: int
    feed_bytes: int
    rejected: int
    lost_streams: int


def count_events(records: Iterable[Record]) -> RunCounts:
    """Counts the events of a run; a poll response with several messages adds its size for each of them."""
    events = [record.event for record in records]
    messages = [event for event in events if isinstance(event, MessageApplied)]
    response_bytes = {
        (event.proxy, event.stream, event.epoch, event.message.seq): event.response_bytes
        for event in messages
    }
    return RunCounts(
        requests=sum(isinstance(event, RequestCompleted) for event in events),
        attempts=sum(isinstance(event, AttemptSent) for event in events),
        messages=len(messages),
        feed_bytes=sum(response_bytes.values()),
        rejected=sum(isinstance(event, RequestRejected) for event in events),
        lost_streams=sum(isinstance(event, StreamLost) for event in events),
    )
