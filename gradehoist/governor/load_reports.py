"""Sums on their way to the module: merged by zone and replica, let through at a limited rate, oldest first.

What does not get through in its period adds up and follows with a longer window, as the module is used to.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from gradehoist import interface as i
from gradehoist.identifiers import Identifiers
from gradehoist.protocol import feed

SECOND = 1_000_000


@dataclass
class _Met:
    tries: int = 0
    bad: int = 0
    elapsed: float = 0.0  # of all good tries, µs
    load: i.LoadReport | None = None


@dataclass
class _Came:
    number: int = 0
    unanswered: int = 0


class InvalidLoadReportError(Exception):
    """A sum names something that this governor never heard of."""


class LoadReportQueue:
    """`rate` in lines a second, `period` in µs. `add` takes a relay's sums, `take` gives the module's."""

    def __init__(self, names: Identifiers, rate: float, period: int, now: int) -> None:
        self._names, self._rate, self._period = names, rate, period
        self._met: dict[tuple[int, int], _Met] = {}
        self._came: dict[tuple[int, int], _Came] = {}
        self._ready: dict[tuple[str, int, int], int] = {}  # since when, in the order of their first line
        self._next, self._credit, self._at = now + period, 0.0, now

    def add(self, proxy: int, zone: int, sums: feed.ProxyLoadReport) -> list[str]:
        """The replicas that stand in no list of this governor: their rows are left out, as a relay's tables
        may be an earlier governor's, and refused whole its other figures were missing. Raises Unknown, and
        then nothing of the document is taken."""
        replicas, classes = self._names.replicas, self._names.classes
        for row in sums.attempts:
            if row.failures > row.attempts:
                raise InvalidLoadReportError(f"replica {row.replica!r}: more bad tries than tries")
        for came in sums.requests:
            if came.request_class not in classes:
                raise InvalidLoadReportError(f"class {came.request_class!r} is not in the settings")
        strange = list[str]()
        for row in sums.attempts:
            replica = replicas.get(row.replica, -1)
            if replica < 0:
                strange.append(row.replica)
                continue
            met = self._met.setdefault((zone, replica), _Met())
            met.tries, met.bad = met.tries + row.attempts, met.bad + row.failures
            met.elapsed += row.elapsed_us * (row.attempts - row.failures)
            if row.busy_share is not None or row.in_flight is not None:
                met.load = i.LoadReport(row.busy_share, row.in_flight, row.service_ms)
        for came in sums.requests:
            known = self._came.setdefault((proxy, classes[came.request_class]), _Came())
            known.number, known.unanswered = known.number + came.requests, known.unanswered + came.incomplete
        return strange

    def remove_proxy(self, proxy: int) -> None:
        for key in [k for k in self._came if k[0] == proxy]:
            del self._came[key]
            self._ready.pop(("came", *key), None)

    def take_due(self, now: int) -> list[i.Event]:
        """Lines due by now. A line's window reaches from its last delivery, a period at least."""
        if now >= self._next:
            self._next += ((now - self._next) // self._period + 1) * self._period
            for zone_replica in self._met:
                self._ready.setdefault(("met", *zone_replica), now)
            for proxy_class in self._came:
                self._ready.setdefault(("came", *proxy_class), now)
        # A burst of a period's lines at most, so that an idle time does not add up to a flood.
        most = max(1.0, self._rate * self._period / SECOND)
        self._credit = min(most, self._credit + self._rate * (now - self._at) / SECOND)
        self._at = now
        out: list[i.Event] = []
        for key in list(islice(self._ready, int(self._credit))):
            due = self._ready.pop(key)
            kind, a, b = key
            window = self._period + now - due  # what waited covers its wait as well
            if kind == "met":
                met = self._met.pop((a, b))
                good = met.tries - met.bad
                out.append(
                    i.AttemptsReported(
                        a, b, met.tries, met.bad, round(met.elapsed / good) if good else 0, window, met.load
                    )
                )
            else:
                came = self._came.pop((a, b))
                out.append(i.RequestsOffered(a, b, came.number, came.unanswered, window))
        self._credit -= len(out)
        return out

    def next_due_us(self) -> int:
        if self._ready:
            return self._at + max(1_000, round((1 - self._credit) / self._rate * SECOND))
        return self._next

    @property
    def waiting_count(self) -> int:
        return len(self._ready)
