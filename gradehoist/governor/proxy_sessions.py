"""Handles the polls, joins, acknowledgements and load reports of proxies. This module does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.governor.core_state import CoreState
from gradehoist.governor.errors import RequestRejectedError
from gradehoist.governor.load_reports import InvalidLoadReportError
from gradehoist.governor.proxy_streams import OutOfOrderError, ProxyStream
from gradehoist.interface import UpdateAcknowledged
from gradehoist.protocol.feed import PollResponse, ProxyLoadReport

RESPONSE_LINES = 4_000.0  # target size of one answer: more than any table, less than a megabyte


@dataclass(frozen=True, slots=True)
class FeedPoll:
    """A received poll; `epoch` is empty and `stream` is 0 if the proxy joins.

    Attributes:
        proxy_name: name of the proxy, which is the same at every governor.
        zone: name of the proxy's zone.
        request_rate: requests per second that the proxy usually receives.
        epoch: epoch of the governor from which the proxy got its stream.
        stream: number of the proxy's stream.
        acknowledged_seq: number of the last message that the proxy has applied.
    """

    proxy_name: str
    zone: str
    request_rate: float = 0.0
    epoch: str = ""
    stream: int = 0
    acknowledged_seq: int = 0


class ProxySessions:
    """Answers the polls of proxies and accepts their load reports. The core owns it."""

    def __init__(self, state: CoreState) -> None:
        """Creates the sessions without proxies."""
        self._state = state
        self._join_count = 0

    def handle_poll(self, now_us: int, poll: FeedPoll) -> PollResponse | None:
        """Returns the answer to a poll, or None while there are no messages for the proxy.

        A poll with an earlier epoch or stream joins again, and the answer contains the new epoch and stream.

        Raises:
            RequestRejectedError: this governor can't serve the proxy.
        """
        if poll.zone not in self._state.identifiers.zones:
            raise RequestRejectedError(422, f"zone {poll.zone!r} is not in the settings")
        stream = self._find_stream(poll.proxy_name)
        if stream is None or poll.epoch != self._state.epoch or poll.stream != stream.number:
            self._check_join(stream)
            return self._join(now_us, poll)
        stream.last_poll_us = now_us
        self._acknowledge(now_us, stream, poll.acknowledged_seq)
        if stream.resync_reason:
            self._state.publisher.request_resync(stream.proxy)
        messages = stream.read(RESPONSE_LINES)
        if not messages:
            return None
        return PollResponse(epoch=self._state.epoch, stream=stream.number, messages=messages)

    def remove_proxy(self, proxy: int, reason: str, stream_number: int | None = None) -> None:
        """Ends a proxy's stream; with `stream_number`, only if the proxy has not rejoined since."""
        stream = self._state.publisher.streams.get(proxy)
        if stream is None or (stream_number is not None and stream.number != stream_number):
            return
        self._state.publisher.remove_proxy(proxy)
        self._state.load_reports.remove_proxy(proxy)
        self._state.identifiers.proxies.release(stream.proxy_name)
        self._state.log.info("proxy_left", proxy=stream.proxy_name, reason=reason, stream=stream.number)

    def handle_load_report(self, report: ProxyLoadReport) -> None:
        """Accepts a proxy's load report.

        Raises:
            RequestRejectedError: the proxy has no stream of this epoch, or the report is invalid. None of the
                report has been used.
        """
        stream = self._find_stream(report.proxy)
        if stream is None or report.epoch != self._state.epoch:
            raise RequestRejectedError(409, f"relay {report.proxy!r} has no stream of this epoch; join first")
        try:
            unknown = self._state.load_reports.add(stream.proxy, stream.zone, report)
        except InvalidLoadReportError as error:
            raise RequestRejectedError(422, str(error)) from None
        if unknown and not stream.has_logged_unknown_replica:
            stream.has_logged_unknown_replica = True
            self._state.log.warning(
                "load_report_trimmed",
                proxy=stream.proxy_name,
                replica=unknown[0],
                reason="it was never in an endpoint list of this governor; its row is skipped",
            )

    def _find_stream(self, proxy_name: str) -> ProxyStream | None:
        return self._state.publisher.streams.get(self._state.identifiers.proxies.get(proxy_name, -1))

    def _check_join(self, earlier: ProxyStream | None) -> None:
        """Raises RequestRejectedError if a proxy with this earlier stream, if any, can't join now."""
        if not self._state.endpoint_list.endpoints:
            # A proxy that is bound now would replace its tables by empty ones.
            raise RequestRejectedError(503, "no list of replicas yet; go on with what you hold")
        if earlier is None and len(self._state.publisher.streams) >= self._state.fleet.proxy_count:
            # The queue limit is sized for that number: with sixty made-up proxies, withdrawals did not fit.
            raise RequestRejectedError(
                503, f"all {self._state.fleet.proxy_count} relays of the settings are here already"
            )

    def _join(self, now_us: int, poll: FeedPoll) -> PollResponse:
        earlier = self._find_stream(poll.proxy_name)
        if earlier is not None:
            self.remove_proxy(earlier.proxy, "joined again")
        proxy = self._state.identifiers.proxies.intern(poll.proxy_name)
        self._join_count += 1
        stream = ProxyStream(
            proxy=proxy,
            proxy_name=poll.proxy_name,
            zone=self._state.identifiers.zones[poll.zone],
            number=self._join_count,
            last_poll_us=now_us,
        )
        self._state.publisher.add_proxy(stream, poll.request_rate)
        has_earlier_epoch = bool(poll.epoch) and poll.epoch != self._state.epoch
        self._state.log.info(
            "proxy_joined",
            proxy=poll.proxy_name,
            zone=poll.zone,
            reason="its poll names an earlier epoch" if has_earlier_epoch else "its poll",
            stream=stream.number,
        )
        return PollResponse(epoch=self._state.epoch, stream=stream.number, is_new_stream=True)

    def _acknowledge(self, now_us: int, stream: ProxyStream, seq: int) -> None:
        before = stream.acknowledged_seq
        try:
            confirmed = stream.acknowledge(seq)
        except OutOfOrderError as error:
            self._state.log.warning("acknowledgement_rejected", proxy=stream.proxy_name, reason=str(error))
            raise RequestRejectedError(409, f"{error}; join anew") from None
        for ordered in confirmed:
            event = UpdateAcknowledged(
                proxy=stream.proxy,
                revision=ordered.revision.revision,
                elapsed_us=now_us - ordered.ordered_us,
            )
            self._state.policies[ordered.revision.policy].events.append(event)
        if stream.acknowledged_seq != before:
            stream.unacknowledged_since_us = now_us if stream.unacknowledged else 0
