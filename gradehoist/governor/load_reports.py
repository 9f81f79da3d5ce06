"""Merges load reports by zone and replica, and passes them to the policies at a limited rate.

Lines that exceed the rate are accumulated and passed on later with a longer window, oldest first. This module
does no I/O. All times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from gradehoist.governor.errors import GovernorError
from gradehoist.identifiers import Identifiers
from gradehoist.interface import AttemptsReported, LoadReport, RequestsOffered
from gradehoist.protocol.feed import ProxyLoadReport, ReplicaAttempts

SECOND_US = 1_000_000
MIN_WAIT_US = 1_000  # between two checks of the queue, however little credit is missing


class InvalidLoadReportError(GovernorError):
    """A load report is inconsistent or names an unknown class; none of it has been added."""


@dataclass(frozen=True, slots=True)
class _AttemptsKey:
    zone: int
    replica: int


@dataclass(frozen=True, slots=True)
class _RequestsKey:
    proxy: int
    request_class: int


@dataclass
class _AttemptTotals:
    attempts: int = 0
    failures: int = 0
    elapsed_us: float = 0.0  # total over all successful attempts
    load: LoadReport | None = None


@dataclass
class _RequestTotals:
    requests: int = 0
    incomplete: int = 0


class LoadReportQueue:
    """Totals of the load reports that have not been passed to the policies yet. The core owns it."""

    def __init__(self, identifiers: Identifiers, lines_per_s: float, period_us: int, now_us: int) -> None:
        """Creates an empty queue that passes on at most `lines_per_s`, and each line once per `period_us`."""
        self._identifiers = identifiers
        self._lines_per_s = lines_per_s
        self._period_us = period_us
        self._attempts: dict[_AttemptsKey, _AttemptTotals] = {}
        self._requests: dict[_RequestsKey, _RequestTotals] = {}
        # The time at which each line became due, the oldest first.
        self._due_since_us: dict[_AttemptsKey | _RequestsKey, int] = {}
        self._next_period_us = now_us + period_us
        self._credit_lines = 0.0
        self._credit_at_us = now_us

    def add(self, proxy: int, zone: int, report: ProxyLoadReport) -> list[str]:
        """Adds a proxy's report and returns the names of replicas that were never in an endpoint list.

        Rows of these replicas are skipped: the proxy may still use the tables of an earlier governor, and
        rejecting the whole report would lose its other rows.

        Raises:
            InvalidLoadReportError: the report is invalid, and none of it has been added.
        """
        self._validate(report)
        unknown = list[str]()
        for row in report.attempts:
            replica = self._identifiers.replicas.get(row.replica, -1)
            if replica < 0:
                unknown.append(row.replica)
            else:
                self._add_attempts(_AttemptsKey(zone, replica), row)
        for offered in report.requests:
            key = _RequestsKey(proxy, self._identifiers.classes[offered.request_class])
            totals = self._requests.setdefault(key, _RequestTotals())
            totals.requests += offered.requests
            totals.incomplete += offered.incomplete
        return unknown

    def remove_proxy(self, proxy: int) -> None:
        """Drops the request counts of a proxy that has left; its attempts at replicas still count."""
        for key in [key for key in self._requests if key.proxy == proxy]:
            del self._requests[key]
            self._due_since_us.pop(key, None)

    def take_due(self, now_us: int) -> list[AttemptsReported | RequestsOffered]:
        """Removes and returns the lines that may be passed on now.

        The window of a line covers its period and the time that it waited.
        """
        if now_us >= self._next_period_us:
            self._begin_period(now_us)
        self._add_credit(now_us)
        keys = list(islice(self._due_since_us, int(self._credit_lines)))
        self._credit_lines -= len(keys)
        return [self._take_line(key, now_us) for key in keys]

    def next_due_us(self) -> int:
        """Returns the next time at which `take_due` may return lines."""
        if not self._due_since_us:
            return self._next_period_us
        missing_us = round((1 - self._credit_lines) / self._lines_per_s * SECOND_US)
        return self._credit_at_us + max(MIN_WAIT_US, missing_us)

    @property
    def waiting_count(self) -> int:
        """The number of lines that are due and have not been passed on."""
        return len(self._due_since_us)

    def _validate(self, report: ProxyLoadReport) -> None:
        for row in report.attempts:
            if row.failures > row.attempts:
                raise InvalidLoadReportError(f"replica {row.replica!r}: more bad tries than tries")
        for offered in report.requests:
            if offered.request_class not in self._identifiers.classes:
                raise InvalidLoadReportError(f"class {offered.request_class!r} is not in the settings")

    def _add_attempts(self, key: _AttemptsKey, row: ReplicaAttempts) -> None:
        totals = self._attempts.setdefault(key, _AttemptTotals())
        totals.attempts += row.attempts
        totals.failures += row.failures
        totals.elapsed_us += row.elapsed_us * (row.attempts - row.failures)
        if row.busy_share is not None or row.in_flight is not None:
            totals.load = LoadReport(
                busy_share=row.busy_share, in_flight=row.in_flight, service_ms=row.service_ms
            )

    def _begin_period(self, now_us: int) -> None:
        periods = (now_us - self._next_period_us) // self._period_us + 1
        self._next_period_us += periods * self._period_us
        for attempts_key in self._attempts:
            self._due_since_us.setdefault(attempts_key, now_us)
        for requests_key in self._requests:
            self._due_since_us.setdefault(requests_key, now_us)

    def _add_credit(self, now_us: int) -> None:
        # The credit is capped at the lines of one period, so that an idle time is not followed by a larger
        # burst.
        max_credit_lines = max(1.0, self._lines_per_s * self._period_us / SECOND_US)
        earned_lines = self._lines_per_s * (now_us - self._credit_at_us) / SECOND_US
        self._credit_lines = min(max_credit_lines, self._credit_lines + earned_lines)
        self._credit_at_us = now_us

    def _take_line(self, key: _AttemptsKey | _RequestsKey, now_us: int) -> AttemptsReported | RequestsOffered:
        window_us = self._period_us + now_us - self._due_since_us.pop(key)
        if isinstance(key, _RequestsKey):
            offered = self._requests.pop(key)
            return RequestsOffered(
                proxy=key.proxy,
                request_class=key.request_class,
                requests=offered.requests,
                incomplete=offered.incomplete,
                window_us=window_us,
            )
        totals = self._attempts.pop(key)
        successes = totals.attempts - totals.failures
        return AttemptsReported(
            zone=key.zone,
            replica=key.replica,
            attempts=totals.attempts,
            failures=totals.failures,
            mean_latency_us=round(totals.elapsed_us / successes) if successes else 0,
            window_us=window_us,
            load=totals.load,
        )
