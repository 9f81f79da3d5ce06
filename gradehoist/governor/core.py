"""One governor without I/O: polls, sums, roster and due times in; feed answers, probes and log events out.

The module is the caller's to run: `events` gives what it is to be told, `carry_out` takes its orders. Times
are whole microseconds of one monotonic clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from gradehoist import interface as i
from gradehoist.governor.channel import Channel
from gradehoist.governor.intake import Intake, Unknown
from gradehoist.governor.roster import Gap, RosterView
from gradehoist.governor.streams import OutOfOrder, Stream
from gradehoist.governor.tables import Tables
from gradehoist.names import Names
from gradehoist.protocol import feed
from gradehoist.settings.fleet import Fleet, Governor, start

__all__ = ["Core", "Gap", "Log", "OutOfOrder", "Poll", "Refused", "Unknown"]

SECOND = 1_000_000
ANSWER_LINES = 4_000.0  # about what one answer brings: more than any table, less than a megabyte


@dataclass(frozen=True, slots=True)
class Poll:
    """One poll as it came in; `epoch` empty and `stream` 0 where the relay joins."""

    relay: str
    zone: str
    rate: float = 0.0
    epoch: str = ""
    stream: int = 0
    after: int = 0


@dataclass(frozen=True, slots=True)
class Log:
    """An event of the log: a name, what it concerns, and why."""

    event: str
    fields: dict[str, Any]
    warn: bool = False


class Refused(Exception):
    """A poll or sums that can't be taken: `status` is the HTTP answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Core:
    def __init__(self, fleet: Fleet, own: Governor, epoch: str, now: int) -> None:
        self.fleet, self.own, self.epoch = fleet, own, epoch
        self.names = Names(fleet.zones, fleet.kinds, [c.name for c in fleet.classes])
        self.start = start(fleet, self.names, own.seed)
        ch = self.start.channel
        self.channel = Channel(ch.queue_limit, ch.line_rate, ch.message_limit, ch.message_window)
        self.tables = Tables(self.names, ch.message_head)
        self.intake = Intake(self.names, fleet.intake, fleet.reports.period, now)
        self.roster = RosterView(self.names, fleet.rules.cold_time)
        self.streams: dict[int, Stream] = {}
        self.follow, self.ask = not fleet.reports.must_ask, False
        self.probes: list[int] = []
        self.logs: list[Log] = []
        self.replies = 0
        self._looked, self._slow = now, False
        self._joins = 0
        self._events: list[i.Event] = []
        self._wakes: list[tuple[int, int]] = []
        self._owed: dict[int, None] = {}

    # What comes in

    def poll(self, now: int, poll: Poll) -> feed.Feed | None:
        """The answer, or None while there is none. Raises Refused.

        A poll of an earlier epoch or stream joins anew: the answer's epoch and stream tell so."""
        if poll.zone not in self.names.zones:
            raise Refused(422, f"zone {poll.zone!r} is not in the settings")
        proxy = self.names.proxies.number(poll.relay)
        stream = self.streams.get(proxy)
        if stream is None or poll.epoch != self.epoch or poll.stream != stream.number:
            if not self.roster.entries:
                # Bound now, a relay would change the tables that it stands on for empty ones.
                raise Refused(503, "no list of replicas yet; go on with what you hold")
            return self._join(now, proxy, poll)
        stream.seen = now
        try:
            for mark, at in stream.acknowledge(poll.after):
                self._events.append(i.Applied(proxy, mark, now - at))
        except OutOfOrder as fault:
            self.log("out_of_order", warn=True, relay=poll.relay, reason=str(fault))
            raise Refused(409, f"{fault}; join anew") from None
        if stream.owed:
            self._owed[proxy] = None
        messages = stream.read(ANSWER_LINES)
        return feed.Feed(self.epoch, stream.number, messages) if messages else None

    def _join(self, now: int, proxy: int, poll: Poll) -> feed.Feed:
        if proxy in self.streams:
            self.left(proxy, "joined anew")
        self._joins += 1
        stream = Stream(proxy, poll.relay, self.names.zones[poll.zone], self._joins, seen=now)
        self.streams[proxy] = stream
        self.channel.joined(proxy)
        self.tables.joined(proxy)
        self._events.append(i.Joined(proxy, stream.zone, poll.rate))
        earlier = "an earlier epoch" if poll.epoch and poll.epoch != self.epoch else ""
        self.log("relay_joined", relay=poll.relay, zone=poll.zone, reason=earlier or "its poll",
                 stream=stream.number)
        return feed.Feed(self.epoch, stream.number, joined=True)

    def left(self, proxy: int, reason: str, number: int | None = None) -> None:
        """A stream ended; `number` keeps a late word on an earlier stream from ending a later one."""
        stream = self.streams.get(proxy)
        if stream is None or (number is not None and stream.number != number):
            return
        del self.streams[proxy]
        self.channel.left(proxy)
        self.tables.left(proxy)
        self.intake.left(proxy)
        self._owed.pop(proxy, None)
        self._events.append(i.Left(proxy))
        self.log("relay_left", relay=stream.relay, reason=reason, stream=stream.number)

    def sums(self, now: int, sums: feed.Sums) -> None:
        """Raises Refused; then nothing of the document is taken."""
        proxy = self.names.proxies.get(sums.relay, -1)
        stream = self.streams.get(proxy)
        if stream is None or sums.epoch != self.epoch:
            raise Refused(409, f"relay {sums.relay!r} has no stream of this epoch; join first")
        try:
            self.intake.add(now, proxy, stream.zone, sums)
        except Unknown as fault:
            raise Refused(422, str(fault)) from None

    def listed(self, now: int, document: feed.Roster) -> bool:
        """Takes a roster's answer; False where nothing is new. Raises Gap, ValueError."""
        before = dict(self.roster.entries)
        listed = self.roster.take(now, document)
        if listed is None:
            return False
        self._events.append(listed)
        for name in {*before, *self.roster.entries}:
            old, new = before.get(name), self.roster.entries.get(name)
            was, phase = ("absent" if e is None else e.phase for e in (old, new))
            if was != phase:
                self.log("replica_listed", replica=name, phase=phase, reason=f"the roster; was {was}")
            elif old and new and old.boot != new.boot:
                self.log("replica_restarted", replica=name, reason="its boot name changed")
        return True

    def list_saved(self, now: int, entries: tuple[feed.Replica, ...]) -> None:
        self._events.append(self.roster.saved(now, entries))

    def list_failed(self) -> None:
        """A call that the module asked for failed."""
        self._events.append(i.Listed(i.ListKind.FAILED, ()))

    def probed(self, replica: int, outcome: i.Outcome, elapsed: int, load: i.Load | None) -> None:
        self._events.append(i.Probed(replica, outcome, elapsed, load))

    # Time

    def advance(self, now: int) -> set[int]:
        """Does what is due; the proxies whose poll can now be answered."""
        late = now - self.fleet.hold - self.fleet.silence
        for proxy in [p for p, s in self.streams.items() if s.seen < late]:
            self.left(proxy, "silent")
        for proxy in list(self._owed):
            self._picture(now, proxy)
        if now >= self._looked + SECOND:
            self._look(now)
        ready: set[int] = set()
        for item in self.channel.leave(now):
            stream = self.streams.get(item.proxy)
            if stream is None or stream.number != item.stream:
                continue
            if stream.release(item.message):
                ready.add(item.proxy)
            elif stream.owed:
                self._owed[item.proxy] = None
        while self._wakes and self._wakes[0][0] <= now:
            self._events.append(i.Due(heapq.heappop(self._wakes)[1]))
        self._events += self.intake.take(now)
        return ready

    def _look(self, now: int) -> None:
        """Tells of what is slow, once: a channel under half its stated pace, relays that do not confirm."""
        self._looked = now
        slow = self.channel.pace < self.channel.line_rate / 2
        if slow != self._slow:
            self._slow = slow
            self.log("channel_slow" if slow else "channel_well", warn=slow,
                     lines_a_second=round(self.channel.pace), reason=f"stated are {self.channel.line_rate:g}")
        for stream in self.streams.values():
            late = bool(stream.marks) and now - stream.marks[0][2] > self.fleet.rules.grace
            if late and not stream.slow:
                self.log("relay_slow", warn=True, relay=stream.relay,
                         reason=f"has not confirmed an order of {(now - stream.marks[0][2]) / 1e6:.1f} s ago")
            stream.slow = late

    def due(self) -> int:
        """When `advance` has something to do next."""
        times = [self.intake.due()]
        if self._wakes:
            times.append(self._wakes[0][0])
        if (leaves := self.channel.due()) is not None:
            times.append(leaves)
        return min(times)

    # The module

    def events(self) -> list[i.Event]:
        """What the module has not been told yet, in the order it came."""
        events, self._events = self._events, []
        return events

    @property
    def waiting(self) -> bool:
        return bool(self._events)

    def carry_out(self, now: int, orders: list[i.Order], reasons: dict[int, str]) -> None:
        """One reply: one message for each proxy concerned, in the order they are first concerned."""
        self.replies += 1
        told: dict[int, tuple[list[feed.Delta], list[float]]] = {}
        mark: i.Mark | None = None
        for n, order in enumerate(orders):
            match order:
                case i.Bind(proxy, table, classes):
                    deltas, price = self.tables.bind(proxy, table, classes)
                    if deltas:
                        self._tell(told, [proxy], deltas, price)
                        self.log("bind", relay=self.names.proxies.names[proxy], table=table,
                                 reason=reasons.get(n, ""))
                case i.Mark():
                    mark = order
                case i.Probe(replica):
                    self.probes.append(replica)
                case i.Wake(token, delay):
                    heapq.heappush(self._wakes, (now + delay, token))
                case i.Follow(on):
                    self.follow = on
                case i.AskList():
                    self.ask = True
                case i.Say(text):
                    self.log("module_says", reason=text)
                case _:
                    concerned, delta, price = self.tables.order(order)
                    self._tell(told, concerned, [delta], price)
                    self._explain(order, reasons.get(n, ""))
        if mark is not None and mark.to_all:
            self._tell(told, [p for p in self.streams if p not in told], [], 0.0)
        extra = self.tables.head + self.tables.common + (mark is not None)
        for proxy, (deltas, prices) in told.items():
            if stream := self.streams.get(proxy):
                self._put(now, stream, tuple(deltas), extra + sum(prices), mark)

    @staticmethod
    def _tell(told: dict[int, tuple[list[feed.Delta], list[float]]], proxies: Iterable[int],
              deltas: list[feed.Delta], price: float) -> None:
        for proxy in proxies:
            have = told.setdefault(proxy, ([], []))
            have[0].extend(deltas)
            have[1].append(price)

    def _put(self, now: int, stream: Stream, deltas: tuple[feed.Delta, ...], cost: float,
             mark: i.Mark | None) -> None:
        seq = stream.number_next()
        if mark is not None:
            stream.marks.append((seq, mark.number, now))
        if stream.owed:
            return  # the picture that is due will hold this as well
        message = feed.Message(seq, self.replies, now, cost, deltas, mark.number if mark else None)
        if why := self.channel.put(now, stream.proxy, stream.number, message):
            stream.owe(why)
            self._owed[stream.proxy] = None
            self.log("channel_full", warn=True, relay=stream.relay, lines=cost, reason=why)

    def _picture(self, now: int, proxy: int) -> None:
        """Puts a whole picture where one is owed and the channel has room."""
        stream = self.streams.get(proxy)
        if stream is None or not stream.owed:
            self._owed.pop(proxy, None)
            return
        deltas, cost = self.tables.picture(proxy)
        if self.channel.may(now, proxy, cost):
            return
        seq = stream.number_next()
        message = feed.Message(seq, self.replies, now, cost, deltas, None, whole=True)
        if not self.channel.put(now, proxy, stream.number, message):
            self.log("picture", relay=stream.relay, lines=cost, reason=stream.owed)
            stream.owed, stream.picture = "", seq
            self._owed.pop(proxy, None)

    def _explain(self, order: i.Order, why: str) -> None:
        match order:
            case i.Withdraw(replica, out):
                event = "withdrawn" if out else "returned"
                self.log(event, replica=self.names.replicas.names[replica], reason=why)
            case i.Admit(_, classes, share, tries):
                names = [self.names.classes.names[k] for k in classes] or list(self.names.classes.names)
                self.log("level", classes=names, share=round(share, 4), tries=tries, reason=why)

    def log(self, event: str, *, warn: bool = False, **fields: Any) -> None:
        self.logs.append(Log(event, fields, warn))
