"""One governor without I/O: polls, sums, roster and due times in; feed answers, probes and log events out.

The module is the caller's to run: `events` gives what it is to be told, `carry_out` takes its orders. Times
are whole microseconds of one monotonic clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import astuple, dataclass, field, replace
from typing import Any

from gradehoist import interface as i
from gradehoist.cells.channel_shares import Budget
from gradehoist.cells.routes import home, label
from gradehoist.governor.cell_stats import Tally
from gradehoist.governor.channel import Channel
from gradehoist.governor.delivery_queue import Ledger, Piece
from gradehoist.governor.intake import Intake, Unknown
from gradehoist.governor.policy_instances import Batch, Part, Reply
from gradehoist.governor.proxy_streams import Mark, OutOfOrder, Stream
from gradehoist.governor.roster import Gap, RosterView
from gradehoist.governor.tables import Tables
from gradehoist.identifiers import Names
from gradehoist.protocol import feed
from gradehoist.settings.fleet import Fleet, Governor, start

__all__ = ["Core", "Gap", "Log", "OutOfOrder", "Poll", "Refused", "Unknown"]

SECOND = 1_000_000
SLICE = 16  # messages made at one go: 5 ms on average while a hundred cells bind a thousand relays
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


@dataclass
class Told:
    """What one proxy is told at one time, and whose marks its answer confirms."""

    deltas: list[feed.Delta] = field(default_factory=list)
    price: float = 0.0
    marks: list[Mark] = field(default_factory=list)


class Core:
    def __init__(self, fleet: Fleet, own: Governor, epoch: str, now: int) -> None:
        self.fleet, self.own, self.epoch = fleet, own, epoch
        placed = fleet.cells
        cells = placed.cells if placed else ("",)
        labels = [label(cell, c.name) for cell in cells for c in fleet.classes]
        self.names = Names(fleet.zones, fleet.kinds, labels)
        self.parts = [
            Part(n, cell, len(fleet.classes), placed.of(cell) if placed else None)
            for n, cell in enumerate(cells)
        ]
        ch = fleet.channel
        share = self._share(len(cells))
        self.starts = [start(fleet, self.names, own.seed + n, share) for n in range(len(cells))]
        # Cells share messages: they answer together, as often as a relay may be written to.
        self.slot = max(10_000, ch.message_window // (ch.message_limit or 20)) if placed else 0
        self.hurry = False  # a drain or exit was listed: it does not wait for the slot
        self.channel = Channel(ch.queue_limit, ch.line_rate, ch.message_limit, ch.message_window)
        # Relays are told of those alone that do not live where their hash says.
        route = None
        if placed:
            ranges = placed.ranges or cells
            route = feed.Route(ranges, {t: c for t, c in placed.named.items() if c != home(t, ranges, {})})
        limits = feed.Limits(*astuple(placed.limits)) if placed and placed.limits else None
        self.tables = Tables(self.names, ch.message_head, route, limits)
        self.tally = Tally(cells, placed.workers) if placed else None
        self.ledger = (
            Ledger(
                self.tables,
                self.parts,
                Budget(
                    len(cells),
                    ch.queue_limit,
                    ch.line_rate,
                    ch.message_limit,
                    ch.message_head,
                    fleet.rules.grace,
                ),
            )
            if placed
            else None
        )
        self._strange: dict[int, float] = {}  # relays that the modules have not heard of, and their rates
        self._served: set[int] = set()  # in this slot
        self._strays: set[str] = set()
        self.intake = Intake(self.names, fleet.intake, fleet.reports.period, now)
        self.roster = RosterView(self.names, fleet.rules.cold_time)
        self.streams: dict[int, Stream] = {}
        self.follow, self.ask = not fleet.reports.must_ask, False
        self.probes: list[int] = []
        self.logs: list[Log] = []
        self.replies = 0
        self._looked, self._slow = now, False
        self._joins = 0
        self._wakes: list[tuple[int, int, int]] = []
        self._owed: dict[int, None] = {}

    def _share(self, parts: int) -> i.Channel:
        """A part's own view of the channel. With several, each counts for itself alone what relays have not
        confirmed, and heads are shared: it gets an even part of the queue, but never less than telling every
        relay takes, or it could tell none. The ledger sees to the whole."""
        ch = self.fleet.channel
        if parts == 1:
            return ch
        least = 4 * self.fleet.relays
        return replace(ch, queue_limit=max(ch.queue_limit / parts, least), message_limit=0, message_head=0)

    # What comes in

    def poll(self, now: int, poll: Poll) -> feed.Feed | None:
        """The answer, or None while there is none. Raises Refused.

        A poll of an earlier epoch or stream joins anew: the answer's epoch and stream tell so."""
        if poll.zone not in self.names.zones:
            raise Refused(422, f"zone {poll.zone!r} is not in the settings")
        proxy = self.names.proxies.get(poll.relay, -1)
        stream = self.streams.get(proxy)
        if stream is None or poll.epoch != self.epoch or poll.stream != stream.number:
            if not self.roster.entries:
                # Bound now, a relay would change the tables that it stands on for empty ones.
                raise Refused(503, "no list of replicas yet; go on with what you hold")
            if stream is None and len(self.streams) >= self.fleet.relays:
                # The queue is made for so many: sixty made-up names left a drain no room in it.
                raise Refused(503, f"all {self.fleet.relays} relays of the settings are here already")
            return self._join(now, self.names.proxies.number(poll.relay), poll)
        stream.seen, acked = now, stream.acked
        try:
            for (part, mark), at in stream.acknowledge(poll.after):
                self.parts[part].events.append(i.Applied(proxy, mark, now - at))
        except OutOfOrder as fault:
            self.log("out_of_order", warn=True, relay=poll.relay, reason=str(fault))
            raise Refused(409, f"{fault}; join anew") from None
        if stream.acked != acked:
            stream.quiet = now if stream.released else 0
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
        if self.ledger:
            self.ledger.joined(proxy)
            self._strange[proxy] = poll.rate
        else:
            self._introduce(stream, poll.rate)
        earlier = "an earlier epoch" if poll.epoch and poll.epoch != self.epoch else ""
        self.log(
            "relay_joined",
            relay=poll.relay,
            zone=poll.zone,
            reason=earlier or "its poll",
            stream=stream.number,
        )
        return feed.Feed(self.epoch, stream.number, joined=True)

    def _introduce(self, stream: Stream, rate: float) -> None:
        for part in self.parts:
            part.events.append(i.Joined(stream.proxy, stream.zone, rate / len(self.parts)))

    def _introductions(self, ledger: Ledger) -> None:
        """With cells a relay that joins takes a table from each. The modules hear of no more at once than the
        channel can bind, those with most traffic first; told of a thousand, each planned them all anew at
        every step, ten seconds long. Until then a relay is told what is shut, and stands on what it holds."""
        classes = len(self.names.classes)
        lines = (len(self.roster.entries) * self.parts[0].classes + classes) or 1
        under_way = sum(
            a.known and (bool(a.binds) or len(self.tables.bound[p]) < classes)
            for p, a in ledger.accounts.items()
        )
        most = max(1, int(2 * ledger.budget.room(len(self.streams), 0.0) / lines))
        for proxy in sorted(self._strange, key=lambda p: -self._strange[p])[: max(0, most - under_way)]:
            self._introduce(self.streams[proxy], self._strange.pop(proxy))
            ledger.accounts[proxy].known = True

    def left(self, proxy: int, reason: str, number: int | None = None) -> None:
        """A stream ended; `number` keeps a late word on an earlier stream from ending a later one."""
        stream = self.streams.get(proxy)
        if stream is None or (number is not None and stream.number != number):
            return
        del self.streams[proxy]
        self.channel.left(proxy)
        self.tables.left(proxy)
        if self.ledger:
            self.ledger.left(proxy)
        self.intake.left(proxy)
        self._owed.pop(proxy, None)
        if self._strange.pop(proxy, None) is None:
            for part in self.parts:
                part.events.append(i.Left(proxy))
        self.log("relay_left", relay=stream.relay, reason=reason, stream=stream.number)

    def sums(self, sums: feed.Sums) -> None:
        """Raises Refused; then nothing of the document is taken."""
        proxy = self.names.proxies.get(sums.relay, -1)
        stream = self.streams.get(proxy)
        if stream is None or sums.epoch != self.epoch:
            raise Refused(409, f"relay {sums.relay!r} has no stream of this epoch; join first")
        try:
            strange = self.intake.add(proxy, stream.zone, sums)
        except Unknown as fault:
            raise Refused(422, str(fault)) from None
        if strange and not stream.strange:
            stream.strange = True
            self.log(
                "sums_strange",
                warn=True,
                relay=stream.relay,
                replica=strange[0],
                reason="stands in no list of this governor; left out",
            )
        if self.tally:
            self.tally.add(sums)

    def listed(self, now: int, document: feed.Roster) -> bool:
        """Takes a roster's answer; False where nothing is new. Raises Gap, Unsound."""
        before, strange = dict(self.roster.entries), dict(self.roster.strange)
        listed = self.roster.take(now, document)
        for name, why in self.roster.strange.items():
            if strange.get(name) != why:
                self.log("entry_strange", warn=True, replica=name, reason=why)
        if listed is None:
            return False
        self._tell_list(listed)
        for name in {*before, *self.roster.entries}:
            old, new = before.get(name), self.roster.entries.get(name)
            was, phase = ("absent" if e is None else e.phase for e in (old, new))
            if was != phase:
                self.hurry |= phase != "ready"
                self.log("replica_listed", replica=name, phase=phase, reason=f"the roster; was {was}")
            elif old and new and old.boot != new.boot:
                self.log("replica_restarted", replica=name, reason="its boot name changed")
        return True

    def list_saved(self, now: int, entries: tuple[feed.Replica, ...]) -> None:
        self._tell_list(self.roster.saved(now, entries))

    def _tell_list(self, listed: i.Listed) -> None:
        """Each part hears of its own workers; one that belongs to no cell is told of once and left alone."""
        names = self.names.replicas.names
        for part in self.parts:
            entries = tuple(e for e in listed.entries if part.mine(names[e.replica]))
            if entries or listed.kind is not i.ListKind.CHANGES:
                part.events.append(i.Listed(listed.kind, entries))
        for e in listed.entries:
            name = names[e.replica]
            if name not in self._strays and not any(part.mine(name) for part in self.parts):
                self._strays.add(name)
                self.log("no_cell", warn=True, replica=name, reason="the placement does not name it")

    def list_failed(self) -> None:
        """A call that the module asked for failed."""
        for part in self.parts:
            part.events.append(i.Listed(i.ListKind.FAILED, ()))

    def probed(self, replica: int, outcome: i.Outcome, elapsed: int, load: i.Load | None) -> None:
        self._by_worker(replica, i.Probed(replica, outcome, elapsed, load))

    def _by_worker(self, replica: int, event: i.Event) -> None:
        name = self.names.replicas.names[replica]
        for part in self.parts:
            if part.mine(name):
                part.events.append(event)

    # Time

    def advance(self, now: int) -> set[int]:
        """Does what is due; the proxies whose poll can now be answered."""
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
                stream.quiet = now if item.message.whole or not stream.quiet else stream.quiet
            elif stream.owed:
                self._owed[item.proxy] = None
        while self._wakes and self._wakes[0][0] <= now:
            _, number, token = heapq.heappop(self._wakes)
            self.parts[number].events.append(i.Due(token))
        for event in self.intake.take(now):
            if isinstance(event, i.Offered):
                part = self.parts[event.cls // self.parts[0].classes]
                part.events.append(replace(event, cls=event.cls % part.classes))
            elif isinstance(event, i.Heard):
                self._by_worker(event.replica, event)
        return ready

    def _look(self, now: int) -> None:
        """Ends silent streams; tells of what is slow, once: a channel under half its stated pace, relays that
        do not confirm."""
        self._looked = now
        if self.ledger:
            self.ledger.sweep()
        silent = now - self.fleet.hold - self.fleet.silence
        for proxy in [p for p, s in self.streams.items() if s.seen < silent]:
            self.left(proxy, "silent")
        # What it never confirmed counted as waiting for ever: weights and returns of all others stopped.
        for proxy in [
            p for p, s in self.streams.items() if s.released and s.quiet < silent - self.fleet.rules.grace
        ]:
            self.left(proxy, "confirms nothing")
        for stream in self.streams.values():
            if (
                stream.large
                and not self.ledger
                and (self.tables.picture(stream.proxy)[1] <= self.channel.queue_limit)
            ):
                stream.owe("its table fits now")
                self._owed[stream.proxy] = None
        slow = self.channel.pace < self.channel.line_rate / 2
        if slow != self._slow:
            self._slow = slow
            self.log(
                "channel_slow" if slow else "channel_well",
                warn=slow,
                lines_a_second=round(self.channel.pace),
                reason=f"stated are {self.channel.line_rate:g}",
            )
        for stream in self.streams.values():
            late = bool(stream.marks) and now - stream.marks[0][2] > self.fleet.rules.grace
            if late and not stream.slow:
                self.log(
                    "relay_slow",
                    warn=True,
                    relay=stream.relay,
                    reason=f"has not confirmed an order of {(now - stream.marks[0][2]) / 1e6:.1f} s ago",
                )
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

    def ceilings(
        self, zones: Mapping[str, float], replicas: Mapping[str, float], levels: Mapping[str, float]
    ) -> None:
        """What the fleet agreed, all of it each time; names that are not known here are left out."""
        names, classes = self.names, [c.name for c in self.fleet.classes]
        event = i.Ceilings(
            tuple((names.zones[z], x) for z, x in zones.items() if z in names.zones),
            tuple((names.replicas[n], x) for n, x in replicas.items() if n in names.replicas),
            tuple((classes.index(c), x) for c, x in levels.items() if c in classes),
        )
        for part in self.parts:
            part.events.append(event)

    def cold(self, now: int) -> tuple[str, ...]:
        """Replicas listed ready that are still cold."""
        started, since = self.roster.started(), now - self.fleet.rules.cold_time
        return tuple(
            sorted(
                n
                for n, e in self.roster.entries.items()
                if e.phase == "ready" and started.get(n, 0) > max(0, since)
            )
        )

    def confirmed(self, since: int) -> bool:
        """The modules know all, and no relay owes an answer to what was ordered by `since`."""
        return not self.waiting and not any(s.marks and s.marks[0][2] <= since for s in self.streams.values())

    def batches(self, hurry: bool = False) -> list[Batch]:
        """What the modules have not been told yet, by part, in the order it came; in a hurry that of the
        parts alone which have heard of a list."""
        out = []
        for part in self.parts:
            if part.events and (not hurry or any(isinstance(e, i.Listed) for e in part.events)):
                out.append((part.number, part.events))
                part.events = []
        return out

    @property
    def waiting(self) -> bool:
        return any(part.events for part in self.parts)

    def carry_out(self, now: int, replies: list[Reply]) -> None:
        """What the modules ordered at one time: one message for each proxy concerned, in the order they are
        first concerned. With cells, drains and exits alone go at once; `spend` brings the rest."""
        self.replies += 1
        told: dict[int, Told] = {}
        for number, orders, reasons in replies:
            self._reply(now, self.parts[number], orders, reasons, told)
        if self.ledger:
            self._drains(now, self.ledger)
        for proxy, mine in told.items():
            if stream := self.streams.get(proxy):
                self._put(
                    now, stream, mine, self.tables.head + self.tables.common() + bool(mine.marks) + mine.price
                )

    def _reply(
        self, now: int, part: Part, orders: list[i.Order], reasons: dict[int, str], told: dict[int, Told]
    ) -> None:
        concerned: dict[int, None] = {}
        mark: i.Mark | None = None

        def tell(proxies: Iterable[int], deltas: list[feed.Delta], price: float) -> None:
            for proxy in proxies:
                mine = told.setdefault(proxy, Told())
                mine.deltas.extend(deltas)
                mine.price += price
                concerned[proxy] = None

        for n, local in enumerate(orders):
            order, why = part.order(local), reasons.get(n, "")
            match order:
                case i.Mark():
                    mark = order
                case i.Probe(replica):
                    self.probes.append(replica)
                case i.Wake(token, delay):
                    heapq.heappush(self._wakes, (now + delay, part.number, token))
                case i.Follow(on):
                    self.follow = on
                case i.AskList():
                    self.ask = True
                case i.Say(text):
                    self.log("module_says", reason=text)
                case _ if self.ledger:
                    self.ledger.order(part.number, order, concerned)
                    self._explain(order, why)
                case i.Bind(proxy, table, classes):
                    deltas, price = self.tables.bind(proxy, table, classes)
                    if deltas:
                        tell([proxy], deltas, price)
                        self._explain(order, why)
                case _:
                    proxies, delta, price = self.tables.order(order)
                    tell(proxies, [delta], price)
                    self._explain(order, why)
        if self.ledger:
            self.ledger.ordered(part.number, mark, concerned, now)
        elif mark is not None:
            if mark.to_all:
                tell([p for p in self.streams if p not in concerned], [], 0.0)
            for proxy in concerned:
                told[proxy].marks.append((part.number, mark.number))

    def _drains(self, now: int, ledger: Ledger) -> str:
        """Drains and exits to all relays, with whatever else fits; empty, or why one could not go."""
        late = ""
        for proxy in ledger.urgent():
            room = ledger.budget.room(len(self.streams), self.channel.waiting)
            late = self._send(now, proxy, ledger.piece(proxy, True, room)) or late
        return late

    def spend(self, now: int, more: bool = False) -> bool:
        """A slot of a governor with cells: in turn, what relays are owed, as far as the budget goes. True
        where it stopped half way, to let others run: it is to be called again, with `more`."""
        ledger = self.ledger
        assert ledger is not None
        if not more:
            self.replies += 1
            self._served.clear()
            if why := self._drains(now, ledger):
                self.log("channel_full", warn=True, relays=len(ledger.urgent()), reason=why)
            self._introductions(ledger)
            ledger.budget.slot()
        budget, relays, sent = ledger.budget, len(self.streams), 0
        for proxy in ledger.owed():
            if (
                proxy in self._served
                or self.streams[proxy].owed
                or not budget.may(self.channel.messages(now, proxy))
            ):
                continue
            if sent == SLICE:
                return True
            room = budget.room(relays, self.channel.waiting)
            if room <= self.tables.head and self.channel.waiting:
                break
            piece = ledger.piece(proxy, False, room)
            if piece.price > room and self.channel.waiting:
                break  # more than fits beside others goes alone, in its turn
            self._send(now, proxy, piece)
            self._served.add(proxy)
            sent += 1
        return False

    def _send(self, now: int, proxy: int, piece: Piece) -> str:
        """Puts a piece; what can't be put stays owed. Empty, or why not."""
        assert self.ledger is not None
        stream = self.streams[proxy]
        if stream.owed:
            return ""  # a picture is due, which holds all of it
        if piece.deltas or piece.marks:
            if why := self.channel.may(now, proxy, piece.price):
                return why
            marks = tuple(mark for mark, _ in piece.marks)
            seq = stream.number_next()
            if marks:
                stream.marks.append((seq, marks, min(at for _, at in piece.marks)))
            message = feed.Message(
                seq, self.replies, now, piece.price, tuple(piece.deltas), marks[-1][1] if marks else None
            )
            self.channel.put(now, proxy, stream.number, message)
        self.ledger.told(proxy, piece)
        return ""

    def _put(self, now: int, stream: Stream, mine: Told, cost: float) -> None:
        seq = stream.number_next()
        if mine.marks:
            stream.marks.append((seq, tuple(mine.marks), now))
        if stream.owed:
            return  # the picture that is due will hold this as well
        deltas = mine.deltas
        if (
            cost > self.channel.queue_limit
            and (whole := self.tables.picture(stream.proxy)[1]) > self.channel.queue_limit
        ):
            deltas, cost = self._loose(stream, deltas, whole)
        mark = mine.marks[-1][1] if mine.marks else None
        message = feed.Message(seq, self.replies, now, cost, tuple(deltas), mark)
        if why := self.channel.put(now, stream.proxy, stream.number, message):
            stream.owe(why)
            self._owed[stream.proxy] = None
            self.log("channel_full", warn=True, relay=stream.relay, lines=cost, reason=why)

    def _loose(
        self, stream: Stream, deltas: Iterable[feed.Delta], cost: float
    ) -> tuple[list[feed.Delta], float]:
        """What a relay is told where its table is more than the queue may ever hold: withdrawals and returns
        for the tables that it stands on. Owed a picture that never fits, it was told of no drain."""
        if not stream.large:
            stream.large = True
            self.log(
                "table_too_large",
                warn=True,
                relay=stream.relay,
                lines=cost,
                reason=f"queue-limit is {self.channel.queue_limit:g}; raise it, or divide the fleet",
            )
        some: list[feed.Delta] = [d for d in deltas if isinstance(d, feed.Out | feed.Back)]
        return some, self.tables.head + 1 + len(some)

    def _picture(self, now: int, proxy: int) -> None:
        """Puts a whole picture where one is owed and the channel has room."""
        stream = self.streams.get(proxy)
        if stream is None or not stream.owed:
            self._owed.pop(proxy, None)
            return
        deltas, cost = self.tables.picture(proxy)
        if whole := cost <= self.channel.queue_limit:
            stream.large = False
        else:
            some, cost = self._loose(stream, deltas, cost)
            deltas = tuple(some)
        if self.channel.may(now, proxy, cost):
            return
        seq = stream.number_next()
        message = feed.Message(seq, self.replies, now, cost, deltas, None, whole=whole)
        if not self.channel.put(now, proxy, stream.number, message):
            if self.ledger and (marks := self.ledger.whole(proxy)):
                stream.marks.append((seq, tuple(marks), now))
            self.log("picture", relay=stream.relay, lines=cost, reason=stream.owed)
            stream.owed, stream.picture = "", seq
            self._owed.pop(proxy, None)

    def _explain(self, order: i.Order, why: str) -> None:
        match order:
            case i.Bind(proxy, table, _):
                self.log("bind", relay=self.names.proxies.names[proxy], table=table, reason=why)
            case i.Withdraw(replica, out):
                event = "withdrawn" if out else "returned"
                self.log(event, replica=self.names.replicas.names[replica], reason=why)
            case i.Admit(_, classes, share, tries):
                names = [self.names.classes.names[k] for k in classes] or list(self.names.classes.names)
                self.log("level", classes=names, share=round(share, 4), tries=tries, reason=why)

    def moved(self, tenant: str, cell: str, gen: int) -> None:
        """A tenant is shut (no cell) or opened in a cell: every relay is owed it, so that fifty moves at once
        are still one message."""
        if self.tables.route is None or self.ledger is None:
            return
        self.tables.route = feed.moved(self.tables.route, feed.Moved(tenant, cell, gen))
        self.ledger.moved(tenant)
        self.log(
            "tenant_moved" if cell else "tenant_shut",
            tenant=tenant,
            cell=cell,
            generation=gen,
            reason="a mover's word",
        )

    def log(self, event: str, *, warn: bool = False, **fields: Any) -> None:
        self.logs.append(Log(event, fields, warn))
