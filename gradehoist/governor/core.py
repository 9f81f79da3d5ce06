"""One governor without I/O: polls, sums, roster and due times in; feed answers, probes and log events out.

The module is the caller's to run: `events` gives what it is to be told, `carry_out` takes its orders. Times
are whole microseconds of one monotonic clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from gradehoist import interface as i
from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.cells.routes import class_label, home_cell
from gradehoist.governor.cell_stats import CellStats
from gradehoist.governor.channel import Channel
from gradehoist.governor.delivery_queue import Delivery, DeliveryQueue
from gradehoist.governor.endpoint_list import EndpointList, EndpointListGapError
from gradehoist.governor.load_reports import InvalidLoadReportError, LoadReportQueue
from gradehoist.governor.policy_instances import Batch, PolicyInstance, Reply
from gradehoist.governor.proxy_streams import Mark, OutOfOrderError, ProxyStream
from gradehoist.governor.tables import PublishedTables
from gradehoist.identifiers import Identifiers
from gradehoist.protocol import feed
from gradehoist.settings.fleet import FleetSettings, GovernorSettings, policy_config

__all__ = [
    "EndpointListGapError",
    "GovernorCore",
    "InvalidLoadReportError",
    "LogEvent",
    "OutOfOrderError",
    "Poll",
    "RequestRejectedError",
]

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
class LogEvent:
    """An event of the log: a name, what it concerns, and why."""

    name: str
    fields: dict[str, Any]
    is_warning: bool = False


class RequestRejectedError(Exception):
    """A poll or sums that can't be taken: `status` is the HTTP answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass
class PendingMessage:
    """What one proxy is told at one time, and whose marks its answer confirms."""

    deltas: list[feed.Delta] = field(default_factory=list)
    cost_lines: float = 0.0
    revisions: list[Mark] = field(default_factory=list)


class GovernorCore:
    def __init__(self, fleet: FleetSettings, own: GovernorSettings, epoch: str, now: int) -> None:
        self.fleet, self.settings, self.epoch = fleet, own, epoch
        placed = fleet.placement
        cells = placed.cells if placed else ("",)
        labels = [class_label(cell, c.name) for cell in cells for c in fleet.classes]
        self.identifiers = Identifiers(fleet.zones, fleet.kinds, labels)
        self.policies = [
            PolicyInstance(n, cell, len(fleet.classes), placed.replicas_of(cell) if placed else None)
            for n, cell in enumerate(cells)
        ]
        ch = fleet.channel
        share = self._share(len(cells))
        self.policy_configs = [
            policy_config(fleet, self.identifiers, own.seed + n, share) for n in range(len(cells))
        ]
        # Cells share messages: they answer together, as often as a relay may be written to.
        self.slot_us = max(10_000, ch.message_window_us // (ch.messages_per_window or 20)) if placed else 0
        self.has_urgent_change = False  # a drain or exit was listed: it does not wait for the slot
        self.channel = Channel(
            ch.queue_limit_lines, ch.lines_per_s, ch.messages_per_window, ch.message_window_us
        )
        # Relays are told of those alone that do not live where their hash says.
        route = None
        if placed:
            ranges = placed.cell_by_range or cells
            route = feed.TenantRoutes(
                ranges, {t: c for t, c in placed.cell_by_tenant.items() if c != home_cell(t, ranges, {})}
            )
        limits = (
            feed.RateLimitsDelta(*msgspec.structs.astuple(placed.limits))
            if placed and placed.limits
            else None
        )
        self.tables = PublishedTables(self.identifiers, ch.message_overhead_lines, route, limits)
        self.cell_stats = CellStats(cells, placed.cell_by_replica) if placed else None
        self.delivery_queue = (
            DeliveryQueue(
                self.tables,
                self.policies,
                ChannelShares(len(cells), ch, fleet.safety.drain_grace_us),
            )
            if placed
            else None
        )
        self._unintroduced: dict[
            int, float
        ] = {}  # relays that the modules have not heard of, and their rates
        self._served: set[int] = set()  # in this slot
        self._strays: set[str] = set()
        self.load_reports = LoadReportQueue(
            self.identifiers, fleet.report_lines_per_s, fleet.load_reporting.period_us, now
        )
        self.endpoint_list = EndpointList(self.identifiers, fleet.safety.warmup_us)
        self.streams: dict[int, ProxyStream] = {}
        self.endpoints_subscribed, self.endpoints_requested = not fleet.load_reporting.must_subscribe, False
        self.pending_health_checks: list[int] = []
        self.pending_logs: list[LogEvent] = []
        self.reply_count = 0
        self._looked, self._slow = now, False
        self._joins = 0
        self._wakes: list[tuple[int, int, int]] = []
        self._owed: dict[int, None] = {}

    def _share(self, parts: int) -> i.ChannelLimits:
        """A part's own view of the channel. With several, each counts for itself alone what relays have not
        confirmed, and heads are shared: it gets an even part of the queue, but never less than telling every
        relay takes, or it could tell none. The ledger sees to the whole."""
        ch = self.fleet.channel
        if parts == 1:
            return ch
        least = 4 * self.fleet.proxy_count
        return replace(
            ch,
            queue_limit_lines=max(ch.queue_limit_lines / parts, least),
            messages_per_window=0,
            message_overhead_lines=0,
        )

    # What comes in

    def handle_poll(self, now: int, poll: Poll) -> feed.PollResponse | None:
        """The answer, or None while there is none. Raises Refused.

        A poll of an earlier epoch or stream joins anew: the answer's epoch and stream tell so."""
        if poll.zone not in self.identifiers.zones:
            raise RequestRejectedError(422, f"zone {poll.zone!r} is not in the settings")
        proxy = self.identifiers.proxies.get(poll.relay, -1)
        stream = self.streams.get(proxy)
        if stream is None or poll.epoch != self.epoch or poll.stream != stream.number:
            if not self.endpoint_list.endpoints:
                # Bound now, a relay would change the tables that it stands on for empty ones.
                raise RequestRejectedError(503, "no list of replicas yet; go on with what you hold")
            if stream is None and len(self.streams) >= self.fleet.proxy_count:
                # The queue is made for so many: sixty made-up names left a drain no room in it.
                raise RequestRejectedError(
                    503, f"all {self.fleet.proxy_count} relays of the settings are here already"
                )
            return self._join(now, self.identifiers.proxies.intern(poll.relay), poll)
        stream.last_poll_us, acked = now, stream.acknowledged_seq
        try:
            for (part, mark), at in stream.acknowledge(poll.after):
                self.policies[part].events.append(i.UpdateAcknowledged(proxy, mark, now - at))
        except OutOfOrderError as fault:
            self.log("out_of_order", warn=True, relay=poll.relay, reason=str(fault))
            raise RequestRejectedError(409, f"{fault}; join anew") from None
        if stream.acknowledged_seq != acked:
            stream.unacknowledged_since_us = now if stream.unacknowledged else 0
        if stream.resync_reason:
            self._owed[proxy] = None
        messages = stream.read(ANSWER_LINES)
        return feed.PollResponse(self.epoch, stream.number, messages) if messages else None

    def _join(self, now: int, proxy: int, poll: Poll) -> feed.PollResponse:
        if proxy in self.streams:
            self.remove_proxy(proxy, "joined anew")
        self._joins += 1
        stream = ProxyStream(
            proxy, poll.relay, self.identifiers.zones[poll.zone], self._joins, last_poll_us=now
        )
        self.streams[proxy] = stream
        self.channel.add_proxy(proxy)
        self.tables.add_proxy(proxy)
        if self.delivery_queue:
            self.delivery_queue.add_proxy(proxy)
            self._unintroduced[proxy] = poll.rate
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
        return feed.PollResponse(self.epoch, stream.number, is_new_stream=True)

    def _introduce(self, stream: ProxyStream, rate: float) -> None:
        for part in self.policies:
            part.events.append(i.ProxyJoined(stream.proxy, stream.zone, rate / len(self.policies)))

    def _introductions(self, ledger: DeliveryQueue) -> None:
        """With cells a relay that joins takes a table from each. The modules hear of no more at once than the
        channel can bind, those with most traffic first; told of a thousand, each planned them all anew at
        every step, ten seconds long. Until then a relay is told what is shut, and stands on what it holds."""
        classes = len(self.identifiers.classes)
        lines = (len(self.endpoint_list.endpoints) * self.policies[0].class_count + classes) or 1
        under_way = sum(
            a.is_introduced and (bool(a.pending_binds) or len(self.tables.bindings[p]) < classes)
            for p, a in ledger.backlogs.items()
        )
        most = max(1, int(2 * ledger.budget.available_lines(len(self.streams), 0.0) / lines))
        for proxy in sorted(self._unintroduced, key=lambda p: -self._unintroduced[p])[
            : max(0, most - under_way)
        ]:
            self._introduce(self.streams[proxy], self._unintroduced.pop(proxy))
            ledger.backlogs[proxy].is_introduced = True

    def remove_proxy(self, proxy: int, reason: str, number: int | None = None) -> None:
        """A stream ended; `number` keeps a late word on an earlier stream from ending a later one."""
        stream = self.streams.get(proxy)
        if stream is None or (number is not None and stream.number != number):
            return
        del self.streams[proxy]
        self.channel.remove_proxy(proxy)
        self.tables.remove_proxy(proxy)
        if self.delivery_queue:
            self.delivery_queue.remove_proxy(proxy)
        self.load_reports.remove_proxy(proxy)
        self._owed.pop(proxy, None)
        if self._unintroduced.pop(proxy, None) is None:
            for part in self.policies:
                part.events.append(i.ProxyLeft(proxy))
        self.log("relay_left", relay=stream.proxy_name, reason=reason, stream=stream.number)

    def handle_load_report(self, sums: feed.ProxyLoadReport) -> None:
        """Raises Refused; then nothing of the document is taken."""
        proxy = self.identifiers.proxies.get(sums.proxy, -1)
        stream = self.streams.get(proxy)
        if stream is None or sums.epoch != self.epoch:
            raise RequestRejectedError(409, f"relay {sums.proxy!r} has no stream of this epoch; join first")
        try:
            strange = self.load_reports.add(proxy, stream.zone, sums)
        except InvalidLoadReportError as fault:
            raise RequestRejectedError(422, str(fault)) from None
        if strange and not stream.reported_unknown_replica:
            stream.reported_unknown_replica = True
            self.log(
                "sums_strange",
                warn=True,
                relay=stream.proxy_name,
                replica=strange[0],
                reason="stands in no list of this governor; left out",
            )
        if self.cell_stats:
            self.cell_stats.add(sums)

    def handle_endpoint_list(self, now: int, document: feed.EndpointListUpdate) -> bool:
        """Takes a roster's answer; False where nothing is new. Raises Gap, Unsound."""
        before, strange = dict(self.endpoint_list.endpoints), dict(self.endpoint_list.invalid)
        listed = self.endpoint_list.apply(now, document)
        for name, why in self.endpoint_list.invalid.items():
            if strange.get(name) != why:
                self.log("entry_strange", warn=True, replica=name, reason=why)
        if listed is None:
            return False
        self._tell_list(listed)
        for name in {*before, *self.endpoint_list.endpoints}:
            old, new = before.get(name), self.endpoint_list.endpoints.get(name)
            was, phase = ("absent" if e is None else e.phase for e in (old, new))
            if was != phase:
                self.has_urgent_change |= phase != "ready"
                self.log("replica_listed", replica=name, phase=phase, reason=f"the roster; was {was}")
            elif old and new and old.incarnation != new.incarnation:
                self.log("replica_restarted", replica=name, reason="its boot name changed")
        return True

    def load_cached_endpoints(self, now: int, entries: tuple[feed.EndpointRecord, ...]) -> None:
        self._tell_list(self.endpoint_list.load_cached(now, entries))

    def _tell_list(self, listed: i.EndpointsListed) -> None:
        """Each part hears of its own workers; one that belongs to no cell is told of once and left alone."""
        names = self.identifiers.replicas.names
        for part in self.policies:
            entries = tuple(e for e in listed.endpoints if part.owns_replica(names[e.replica]))
            if entries or listed.kind is not i.EndpointListKind.DELTA:
                part.events.append(i.EndpointsListed(listed.kind, entries))
        for e in listed.endpoints:
            name = names[e.replica]
            if name not in self._strays and not any(part.owns_replica(name) for part in self.policies):
                self._strays.add(name)
                self.log("no_cell", warn=True, replica=name, reason="the placement does not name it")

    def handle_endpoint_request_failed(self) -> None:
        """A call that the module asked for failed."""
        for part in self.policies:
            part.events.append(i.EndpointsListed(i.EndpointListKind.FAILED, ()))

    def handle_health_check(
        self, replica: int, outcome: i.HealthCheckOutcome, elapsed: int, load: i.LoadReport | None
    ) -> None:
        self._by_worker(replica, i.HealthChecked(replica, outcome, elapsed, load))

    def _by_worker(self, replica: int, event: i.Event) -> None:
        name = self.identifiers.replicas.names[replica]
        for part in self.policies:
            if part.owns_replica(name):
                part.events.append(event)

    # Time

    def advance(self, now: int) -> set[int]:
        """Does what is due; the proxies whose poll can now be answered."""
        for proxy in list(self._owed):
            self._picture(now, proxy)
        if now >= self._looked + SECOND:
            self._look(now)
        ready: set[int] = set()
        for item in self.channel.take_released(now):
            stream = self.streams.get(item.proxy)
            if stream is None or stream.number != item.stream:
                continue
            if stream.add_released(item.message):
                ready.add(item.proxy)
                stream.unacknowledged_since_us = (
                    now
                    if item.message.is_snapshot or not stream.unacknowledged_since_us
                    else stream.unacknowledged_since_us
                )
            elif stream.resync_reason:
                self._owed[item.proxy] = None
        while self._wakes and self._wakes[0][0] <= now:
            _, number, token = heapq.heappop(self._wakes)
            self.policies[number].events.append(i.TimerFired(token))
        for event in self.load_reports.take_due(now):
            if isinstance(event, i.RequestsOffered):
                part = self.policies[event.request_class // self.policies[0].class_count]
                part.events.append(replace(event, request_class=event.request_class % part.class_count))
            elif isinstance(event, i.AttemptsReported):
                self._by_worker(event.replica, event)
        return ready

    def _look(self, now: int) -> None:
        """Ends silent streams; tells of what is slow, once: a channel under half its stated pace, relays that
        do not confirm."""
        self._looked = now
        if self.delivery_queue:
            self.delivery_queue.drop_delivered()
        silent = now - self.fleet.poll_hold_us - self.fleet.silence_limit_us
        for proxy in [p for p, s in self.streams.items() if s.last_poll_us < silent]:
            self.remove_proxy(proxy, "silent")
        # What it never confirmed counted as waiting for ever: weights and returns of all others stopped.
        for proxy in [
            p
            for p, s in self.streams.items()
            if s.unacknowledged and s.unacknowledged_since_us < silent - self.fleet.safety.drain_grace_us
        ]:
            self.remove_proxy(proxy, "confirms nothing")
        for stream in self.streams.values():
            if (
                stream.is_oversized
                and not self.delivery_queue
                and (self.tables.proxy_snapshot(stream.proxy)[1] <= self.channel.queue_limit_lines)
            ):
                stream.require_resync("its table fits now")
                self._owed[stream.proxy] = None
        slow = self.channel.measured_lines_per_s < self.channel.lines_per_s / 2
        if slow != self._slow:
            self._slow = slow
            self.log(
                "channel_slow" if slow else "channel_well",
                warn=slow,
                lines_a_second=round(self.channel.measured_lines_per_s),
                reason=f"stated are {self.channel.lines_per_s:g}",
            )
        for stream in self.streams.values():
            late = (
                bool(stream.pending_revisions)
                and now - stream.pending_revisions[0][2] > self.fleet.safety.drain_grace_us
            )
            if late and not stream.is_slow:
                self.log(
                    "relay_slow",
                    warn=True,
                    relay=stream.proxy_name,
                    reason="has not confirmed an order of "
                    f"{(now - stream.pending_revisions[0][2]) / 1e6:.1f} s ago",
                )
            stream.is_slow = late

    def next_due_us(self) -> int:
        """When `advance` has something to do next."""
        times = [self.load_reports.next_due_us()]
        if self._wakes:
            times.append(self._wakes[0][0])
        if (leaves := self.channel.next_release_us()) is not None:
            times.append(leaves)
        return min(times)

    # The module

    def set_quotas(
        self, zones: Mapping[str, float], replicas: Mapping[str, float], levels: Mapping[str, float]
    ) -> None:
        """What the fleet agreed, all of it each time; names that are not known here are left out."""
        names, classes = self.identifiers, [c.name for c in self.fleet.classes]
        event = i.QuotasAgreed(
            tuple((names.zones[z], x) for z, x in zones.items() if z in names.zones),
            tuple((names.replicas[n], x) for n, x in replicas.items() if n in names.replicas),
            tuple((classes.index(c), x) for c, x in levels.items() if c in classes),
        )
        for part in self.policies:
            part.events.append(event)

    def warming_up_replicas(self, now: int) -> tuple[str, ...]:
        """Replicas listed ready that are still cold."""
        started, since = self.endpoint_list.start_times_us(), now - self.fleet.safety.warmup_us
        return tuple(
            sorted(
                n
                for n, e in self.endpoint_list.endpoints.items()
                if e.phase == "ready" and started.get(n, 0) > max(0, since)
            )
        )

    def is_acknowledged(self, since: int) -> bool:
        """The modules know all, and no relay owes an answer to what was ordered by `since`."""
        return not self.has_pending_events and not any(
            s.pending_revisions and s.pending_revisions[0][2] <= since for s in self.streams.values()
        )

    def take_batches(self, hurry: bool = False) -> list[Batch]:
        """What the modules have not been told yet, by part, in the order it came; in a hurry that of the
        parts alone which have heard of a list."""
        out = []
        for part in self.policies:
            if part.events and (not hurry or any(isinstance(e, i.EndpointsListed) for e in part.events)):
                out.append((part.number, part.events))
                part.events = []
        return out

    @property
    def has_pending_events(self) -> bool:
        return any(part.events for part in self.policies)

    def apply_replies(self, now: int, replies: list[Reply]) -> None:
        """What the modules ordered at one time: one message for each proxy concerned, in the order they are
        first concerned. With cells, drains and exits alone go at once; `spend` brings the rest."""
        self.reply_count += 1
        told: dict[int, PendingMessage] = {}
        for number, orders, reasons in replies:
            self._reply(now, self.policies[number], orders, reasons, told)
        if self.delivery_queue:
            self._drains(now, self.delivery_queue)
        for proxy, mine in told.items():
            if stream := self.streams.get(proxy):
                self._put(
                    now,
                    stream,
                    mine,
                    self.tables.message_overhead_lines
                    + self.tables.count_common_admission()
                    + bool(mine.revisions)
                    + mine.cost_lines,
                )

    def _reply(
        self,
        now: int,
        part: PolicyInstance,
        orders: list[i.Order],
        reasons: dict[int, str],
        told: dict[int, PendingMessage],
    ) -> None:
        concerned: dict[int, None] = {}
        mark: i.RequestAcknowledgement | None = None

        def tell(proxies: Iterable[int], deltas: list[feed.Delta], price: float) -> None:
            for proxy in proxies:
                mine = told.setdefault(proxy, PendingMessage())
                mine.deltas.extend(deltas)
                mine.cost_lines += price
                concerned[proxy] = None

        for n, local in enumerate(orders):
            order, why = part.to_global(local), reasons.get(n, "")
            match order:
                case i.RequestAcknowledgement():
                    mark = order
                case i.CheckHealth(replica):
                    self.pending_health_checks.append(replica)
                case i.SetTimer(token, delay):
                    heapq.heappush(self._wakes, (now + delay, part.number, token))
                case i.SubscribeEndpoints(on):
                    self.endpoints_subscribed = on
                case i.RequestEndpoints():
                    self.endpoints_requested = True
                case i.LogRemark(text):
                    self.log("module_says", reason=text)
                case _ if self.delivery_queue:
                    self.delivery_queue.apply(part.number, order, concerned)
                    self._explain(order, why)
                case i.BindProxy(proxy, table, classes):
                    deltas, price = self.tables.bind(proxy, table, classes)
                    if deltas:
                        tell([proxy], deltas, price)
                        self._explain(order, why)
                case _:
                    proxies, delta, price = self.tables.apply(order)
                    tell(proxies, [delta], price)
                    self._explain(order, why)
        if self.delivery_queue:
            self.delivery_queue.finish_reply(part.number, mark, concerned, now)
        elif mark is not None:
            if mark.to_all:
                tell([p for p in self.streams if p not in concerned], [], 0.0)
            for proxy in concerned:
                told[proxy].revisions.append((part.number, mark.revision))

    def _drains(self, now: int, ledger: DeliveryQueue) -> str:
        """Drains and exits to all relays, with whatever else fits; empty, or why one could not go."""
        late = ""
        for proxy in ledger.urgent_proxies():
            room = ledger.budget.available_lines(len(self.streams), self.channel.waiting_lines)
            late = self._send(now, proxy, ledger.next_delivery(proxy, True, room)) or late
        return late

    def publish_slot(self, now: int, more: bool = False) -> bool:
        """A slot of a governor with cells: in turn, what relays are owed, as far as the budget goes. True
        where it stopped half way, to let others run: it is to be called again, with `more`."""
        ledger = self.delivery_queue
        assert ledger is not None
        if not more:
            self.reply_count += 1
            self._served.clear()
            if why := self._drains(now, ledger):
                self.log("channel_full", warn=True, relays=len(ledger.urgent_proxies()), reason=why)
            self._introductions(ledger)
            ledger.budget.decay_usage()
        budget, relays, sent = ledger.budget, len(self.streams), 0
        for proxy in ledger.pending_proxies():
            if (
                proxy in self._served
                or self.streams[proxy].resync_reason
                or not budget.allows_message(self.channel.count_messages(now, proxy))
            ):
                continue
            if sent == SLICE:
                return True
            room = budget.available_lines(relays, self.channel.waiting_lines)
            if room <= self.tables.message_overhead_lines and self.channel.waiting_lines:
                break
            piece = ledger.next_delivery(proxy, False, room)
            if piece.cost_lines > room and self.channel.waiting_lines:
                break  # more than fits beside others goes alone, in its turn
            self._send(now, proxy, piece)
            self._served.add(proxy)
            sent += 1
        return False

    def _send(self, now: int, proxy: int, piece: Delivery) -> str:
        """Puts a piece; what can't be put stays owed. Empty, or why not."""
        assert self.delivery_queue is not None
        stream = self.streams[proxy]
        if stream.resync_reason:
            return ""  # a picture is due, which holds all of it
        if piece.deltas or piece.revisions:
            if why := self.channel.rejection_reason(now, proxy, piece.cost_lines):
                return why
            marks = tuple(mark for mark, _ in piece.revisions)
            seq = stream.allocate_seq()
            if marks:
                stream.pending_revisions.append((seq, marks, min(at for _, at in piece.revisions)))
            message = feed.Message(
                seq,
                self.reply_count,
                now,
                piece.cost_lines,
                tuple(piece.deltas),
                marks[-1][1] if marks else None,
            )
            self.channel.put(now, proxy, stream.number, message)
        self.delivery_queue.mark_delivered(proxy, piece)
        return ""

    def _put(self, now: int, stream: ProxyStream, mine: PendingMessage, cost: float) -> None:
        seq = stream.allocate_seq()
        if mine.revisions:
            stream.pending_revisions.append((seq, tuple(mine.revisions), now))
        if stream.resync_reason:
            return  # the picture that is due will hold this as well
        deltas = mine.deltas
        if (
            cost > self.channel.queue_limit_lines
            and (whole := self.tables.proxy_snapshot(stream.proxy)[1]) > self.channel.queue_limit_lines
        ):
            deltas, cost = self._loose(stream, deltas, whole)
        mark = mine.revisions[-1][1] if mine.revisions else None
        message = feed.Message(seq, self.reply_count, now, cost, tuple(deltas), mark)
        if why := self.channel.put(now, stream.proxy, stream.number, message):
            stream.require_resync(why)
            self._owed[stream.proxy] = None
            self.log("channel_full", warn=True, relay=stream.proxy_name, lines=cost, reason=why)

    def _loose(
        self, stream: ProxyStream, deltas: Iterable[feed.Delta], cost: float
    ) -> tuple[list[feed.Delta], float]:
        """What a relay is told where its table is more than the queue may ever hold: withdrawals and returns
        for the tables that it stands on. Owed a picture that never fits, it was told of no drain."""
        if not stream.is_oversized:
            stream.is_oversized = True
            self.log(
                "table_too_large",
                warn=True,
                relay=stream.proxy_name,
                lines=cost,
                reason=f"queue-limit is {self.channel.queue_limit_lines:g}; raise it, or divide the fleet",
            )
        some: list[feed.Delta] = [
            d for d in deltas if isinstance(d, feed.WithdrawalDelta | feed.RestorationDelta)
        ]
        return some, self.tables.message_overhead_lines + 1 + len(some)

    def _picture(self, now: int, proxy: int) -> None:
        """Puts a whole picture where one is owed and the channel has room."""
        stream = self.streams.get(proxy)
        if stream is None or not stream.resync_reason:
            self._owed.pop(proxy, None)
            return
        deltas, cost = self.tables.proxy_snapshot(proxy)
        if whole := cost <= self.channel.queue_limit_lines:
            stream.is_oversized = False
        else:
            some, cost = self._loose(stream, deltas, cost)
            deltas = tuple(some)
        if self.channel.rejection_reason(now, proxy, cost):
            return
        seq = stream.allocate_seq()
        message = feed.Message(seq, self.reply_count, now, cost, deltas, None, is_snapshot=whole)
        if not self.channel.put(now, proxy, stream.number, message):
            if self.delivery_queue and (marks := self.delivery_queue.mark_resynced(proxy)):
                stream.pending_revisions.append((seq, tuple(marks), now))
            self.log("picture", relay=stream.proxy_name, lines=cost, reason=stream.resync_reason)
            stream.resync_reason, stream.resync_seq = "", seq
            self._owed.pop(proxy, None)

    def _explain(self, order: i.Order, why: str) -> None:
        match order:
            case i.BindProxy(proxy, table, _):
                self.log("bind", relay=self.identifiers.proxies.names[proxy], table=table, reason=why)
            case i.WithdrawReplica(replica, out):
                event = "withdrawn" if out else "returned"
                self.log(event, replica=self.identifiers.replicas.names[replica], reason=why)
            case i.SetAdmission(_, classes, share, tries):
                names = [self.identifiers.classes.names[k] for k in classes] or list(
                    self.identifiers.classes.names
                )
                self.log("level", classes=names, share=round(share, 4), tries=tries, reason=why)

    def handle_migration(self, tenant: str, cell: str, gen: int) -> None:
        """A tenant is shut (no cell) or opened in a cell: every relay is owed it, so that fifty moves at once
        are still one message."""
        if self.tables.route is None or self.delivery_queue is None:
            return
        self.tables.route = feed.apply_migration(self.tables.route, feed.TenantMigrated(tenant, cell, gen))
        self.delivery_queue.add_migration(tenant)
        self.log(
            "tenant_moved" if cell else "tenant_shut",
            tenant=tenant,
            cell=cell,
            generation=gen,
            reason="a mover's word",
        )

    def log(self, event: str, *, warn: bool = False, **fields: Any) -> None:
        self.pending_logs.append(LogEvent(event, fields, warn))
