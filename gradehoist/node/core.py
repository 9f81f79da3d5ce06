"""The node without I/O: joins, sums, marks, lists, due times in; bytes for streams, probes, log lines out.

The platform's channel paces and counts what is written; the module's books keep its limits. So an order is
encoded and handed out at once, one message for each proxy concerned, and proxies that are told the same
share the bytes. Times are whole microseconds of Unix time that never steps back.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from gradehoist import interface as i
from gradehoist.governor.tables import PublishedTables
from gradehoist.identifiers import Identifiers
from gradehoist.node.discovery import DiscoveredEndpoint, EndpointList, EndpointListUpdate
from gradehoist.policy.planner import Planner
from gradehoist.protocol import feed, lines
from gradehoist.settings import platform

SECOND = 1_000_000
PHASES = {"active": i.Phase.READY, "leaving": i.Phase.DRAINING, "left": i.Phase.GONE}
BEHIND = 2 * SECOND  # a stream that owes an answer this long after others gave theirs to later messages
MUTE = 4 * SECOND  # or that has said nothing for so long, where for BEHIND nobody has answered either


@dataclass
class ProxyStream:
    """One proxy's stream. `number` tells it from earlier and later ones of the same proxy."""

    proxy: int
    zone: int
    stream_id: int
    request_rate: float
    last_active_us: int
    fresh: bool  # holds nothing of other governors
    unacknowledged: deque[tuple[int, int]] = field(
        default_factory=deque
    )  # that it owes an answer: mark, when
    notified_replicas: set[int] = field(
        default_factory=set
    )  # replicas it was told of on this stream: out or back
    withdrawn_replicas: set[int] = field(default_factory=set)  # those of them that it is shut out from


class JoinRejectedError(Exception):
    """A joining that names what does not exist."""


class NodeCore:
    def __init__(
        self,
        names: Identifiers,
        start: i.PolicyConfig,
        saved: EndpointListUpdate,
        now: int,
        trace: bool = False,
    ) -> None:
        self.identifiers, self.policy_config = names, start
        self.passed: dict[int, list[float]] | None = {} if trace else None  # by replica, since last told
        self.tables = PublishedTables(names, start.channel.message_overhead_lines)
        self.streams: dict[int, ProxyStream] = {}
        self.endpoint_list = EndpointList()
        self.replica_zones: dict[str, str] = {}  # of each replica, as the settings name it
        self.due_health_checks: list[int] = []
        self.log_lines: list[str] = []
        self.malformed_counts: Counter[str] = Counter()  # by kind and reason, since last told
        self._joins, self._wakes = 0, list[tuple[int, int]]()
        self._answered = 0  # the latest time of a message that some proxy has answered
        self.unacknowledged_count = 0  # marks given up, since last told
        self._sure = deque([0] * (4 * BEHIND // SECOND))  # the same at the latest looks, BEHIND long
        self._acked = now  # when any proxy last answered anything
        self._looked = now
        self.outbound: list[tuple[int, int, bytes]] = []  # proxy, number of its stream, what it is written
        self.pending_events: list[i.Event] = []
        self.policy = Planner(start, now)
        members = self.endpoint_list.apply_update(saved)
        self.pending_events.append(i.EndpointsListed(i.EndpointListKind.CACHED, self._entries(members or ())))

    # What comes in

    def on_endpoint_update(self, change: EndpointListUpdate, watch: int = 0) -> None:
        """What a watch has told; `watch` numbers it, later ones higher, and 0 tells it from none."""
        before = {m.replica: (m.phase, m.started_us) for m in self.endpoint_list.endpoints.values()}
        told = self.endpoint_list.apply_update(change, watch)
        if told is None:
            return
        # Of a whole list that is let pass, drains alone are told: what it lacks has not gone.
        whole = change.is_snapshot and change.revision == self.endpoint_list.revision
        kind = i.EndpointListKind.SNAPSHOT if whole else i.EndpointListKind.DELTA
        self.pending_events.append(i.EndpointsListed(kind, self._entries(told)))
        for m in told:
            if before.get(m.replica) != (m.phase, m.started_us):
                self.log_lines.append(
                    f"listed {m.replica} {m.phase} zone {m.zone} started {m.started_us or 0}"
                )

    def _entries(self, members: Iterable[DiscoveredEndpoint]) -> tuple[i.Endpoint, ...]:
        out = []
        for m in members:
            zone = m.zone or ""
            if zone not in self.identifiers.zones:
                self._spoil("entry", f"zone {m.zone!r} is not in the settings")
                # A drain or exit of one known by another zone must not be hidden by that.
                if m.replica not in self.replica_zones:
                    continue
                zone = self.replica_zones[m.replica]
            self.replica_zones[m.replica] = zone
            out.append(
                i.Endpoint(
                    self.identifiers.replicas.intern(m.replica),
                    self.identifiers.zones[zone],
                    self.identifiers.kinds.intern(m.kind or ""),
                    m.cell or 0,
                    PHASES[m.phase or "leaving"],
                    m.size if m.size is not None else 1.0,
                    m.started_us or 0,
                )
            )
        return tuple(out)

    def on_proxy_joined(self, now: int, hello: lines.ProxyHello) -> int:
        """The number of the new stream; an earlier one of this proxy has left. Raises Refused."""
        if hello.proxy >= self.policy_config.proxy_count:
            raise JoinRejectedError(f"no proxy {hello.proxy}")
        if hello.zone not in self.identifiers.zones:
            raise JoinRejectedError(f"no zone {hello.zone}")
        if hello.proxy in self.streams:
            self.on_proxy_left(hello.proxy, self.streams[hello.proxy].stream_id, "joined anew")
        self._joins += 1
        stream = ProxyStream(
            hello.proxy,
            self.identifiers.zones[hello.zone],
            self._joins,
            hello.request_rate,
            now,
            hello.is_new,
        )
        self.streams[hello.proxy] = stream
        self.tables.add_proxy(stream.proxy)
        self.pending_events.append(
            i.ProxyJoined(stream.proxy, stream.zone, stream.request_rate, not stream.fresh)
        )
        return stream.stream_id

    def on_proxy_left(self, proxy: int, number: int, why: str) -> None:
        """A stream ended; a late word on an earlier one touches nothing."""
        stream = self.streams.get(proxy)
        if stream is None or stream.stream_id != number:
            return
        del self.streams[proxy]
        self.tables.remove_proxy(proxy)
        self.pending_events.append(i.ProxyLeft(proxy))
        self.log_lines.append(f"left {proxy}: {why}")

    def on_stream_active(self, now: int, proxy: int, number: int) -> None:
        stream = self.streams.get(proxy)
        if stream is not None and stream.stream_id == number:
            stream.last_active_us = now

    def on_acknowledged(self, now: int, proxy: int, number: int, ack: lines.Acknowledgement) -> None:
        stream = self.streams.get(proxy)
        if stream is None or stream.stream_id != number:
            return
        if ack.proxy != proxy or all(mark != ack.revision for mark, _ in stream.unacknowledged):
            return self._spoil("ack", "of another proxy, or a mark that waits for no answer")
        while True:
            mark, at = stream.unacknowledged.popleft()
            self._answered = max(self._answered, at)
            if mark == ack.revision:
                break
        self._acked = now
        self.pending_events.append(i.UpdateAcknowledged(proxy, ack.revision, ack.elapsed_us))

    def on_demand_reported(self, demand: lines.Demand, stream: int | None) -> None:
        """Over a proxy's stream its own usage alone, over a collector anyone's."""
        if stream not in (None, demand.proxy) or demand.request_class not in self.identifiers.classes:
            return self._spoil("demand", "an unknown class, or of another proxy")
        known = self.streams.get(demand.proxy)
        if known is None:
            return self._spoil("demand", "of a proxy that has not joined")
        self.pending_events.append(
            i.RequestsOffered(
                demand.proxy,
                self.identifiers.classes[demand.request_class],
                demand.requests,
                demand.incomplete,
                demand.window_us,
            )
        )

    def on_outcomes_reported(self, o: lines.AttemptOutcomes) -> None:
        if o.zone not in self.identifiers.zones or o.replica not in self.identifiers.replicas:
            return self._spoil("outcomes", "an unknown zone or replica")
        load = None if o.load is None else platform.parse_load_report(o.load)
        replica = self.identifiers.replicas[o.replica]
        zone = self.identifiers.zones[o.zone]
        self.pending_events.append(
            i.AttemptsReported(zone, replica, o.attempts, o.failures, o.elapsed_us, o.window_us, load)
        )
        if self.passed is not None:
            row = self.passed.setdefault(replica, [0.0, 0.0, 0.0, -1.0, -1.0])
            row[0], row[1] = row[0] + o.attempts, row[1] + o.failures
            row[2] += o.elapsed_us * (o.attempts - o.failures) / 1e6
            if load is not None:
                row[3:] = [-1.0 if x is None else x for x in (load.busy_share, load.in_flight)]

    def on_health_checked(
        self, replica: int, outcome: i.HealthCheckOutcome, elapsed: int, load: i.LoadReport | None
    ) -> None:
        self.pending_events.append(i.HealthChecked(replica, outcome, elapsed, load))

    def _spoil(self, kind: str, why: str) -> None:
        self.malformed_counts[f"{kind}: {why}"[:200] if len(self.malformed_counts) < 50 else "others"] += 1

    def on_malformed_message(self, spoilt: lines.MalformedLine) -> None:
        self._spoil(spoilt.kind, spoilt.reason)

    # Time

    def beliefs(self) -> list[str]:
        """What the module believes of each replica, beside what the sums said since this was last asked."""
        found, passed, self.passed = [], self.passed or {}, {}
        replicas = self.policy.fleet.replicas.actors
        for name, member in self.endpoint_list.endpoints.items():
            n = self.identifiers.replicas[name]
            if n not in replicas:
                continue
            b = replicas[n].state
            tries, bad, elapsed, busy, flight = passed.get(n, [0.0, 0.0, 0.0, -1.0, -1.0])
            mean = elapsed / (tries - bad) if tries > bad else 0.0
            found.append(
                f"trace {name} {member.zone} {member.kind} {member.phase} size {member.size:g} "
                f"weight {b.weight:.3f} ramp {b.slow_start:.2f} busy {b.busy_share} flight {b.in_flight} "
                f"sick {int(b.is_ejected)} "
                f"out {int(n in self.tables.withdrawn)} | tries {tries:g} bad {bad:g} mean {mean:.3f} "
                f"busy {busy:.2f} flight {flight:.1f}"
            )
        fleet = self.policy.fleet
        pending = {n: availability.value for n, availability in fleet.withdrawals.pending.items()}
        found.append(
            f"trace pool level {self.policy.admission.admitted_share:.3f} "
            f"waiting {fleet.flow.unacknowledged_lines:.0f} "
            f"binds {len(fleet.proxies.pending_binds)} jobs {pending}"
        )
        return found

    def next_timer_us(self) -> int | None:
        return self._wakes[0][0] if self._wakes else None

    def advance(self, now_us: int) -> None:
        """What is due by now, then the module with all that came in; its orders are in `out` after it."""
        while self._wakes and self._wakes[0][0] <= now_us:
            self.pending_events.append(i.TimerFired(heapq.heappop(self._wakes)[1]))
        if now_us >= self._looked + SECOND // 4:
            self._look(now_us)
        if self.pending_events:
            events, self.pending_events = self.pending_events, []
            self._carry_out(now_us, self.policy.handle(now_us, events))

    def _look(self, now: int) -> None:
        """An answer that is long overdue was lost, or its proxy is cut off: the module hears that its lines
        have left the channel. It goes on being told, and is not bound anew when it is heard: taken for left
        and joined again, one was written 21 messages in 10 s, as the module counts them from the joining."""
        self._looked = now
        self._sure.append(self._answered)
        passed = self._sure.popleft()
        for stream in self.streams.values():
            # Messages leave in the order written: one written later that was answered says ours is out. As
            # long as answers come at all, a slow channel may still hold it, and its lines have to stay in the
            # module's books. So BEHIND runs from that answer: run from the message, a queue of 6 s gave up
            # the lines of 16 streams of 346 at once, and the queue grew too long.
            mute = now - self._acked > BEHIND
            last = -1
            while stream.unacknowledged:
                mark, at = stream.unacknowledged[0]
                quiet = now - max(stream.last_active_us, at)
                if not (at < passed or (mute and quiet > MUTE)):
                    break
                last = stream.unacknowledged.popleft()[0]
                self.unacknowledged_count += 1
            if last >= 0:
                self.pending_events.append(i.UpdateAcknowledged(stream.proxy, last, 0))

    # Orders

    def _carry_out(self, now: int, orders: list[i.Order]) -> None:
        told: dict[int, list[feed.Delta]] = {}
        mark: i.RequestAcknowledgement | None = None
        for order in orders:
            match order:
                case i.RequestAcknowledgement():
                    mark = order
                case i.CheckHealth(replica):
                    self.due_health_checks.append(replica)
                case i.SetTimer(token, delay):
                    heapq.heappush(self._wakes, (now + delay, token))
                case i.SubscribeEndpoints() | i.RequestEndpoints():
                    pass  # the watch is always open, and its first line holds what was missed
                case i.LogRemark(text):
                    self.log_lines.append(f"module: {text}")
                case i.BindProxy(proxy, table, classes):
                    if proxy in self.streams:
                        told.setdefault(proxy, []).extend(self._bind(proxy, table, classes))
                case _:
                    proxies, delta, _ = self.tables.apply(order)
                    for proxy in self._concerned(order) if isinstance(order, i.WithdrawReplica) else proxies:
                        told.setdefault(proxy, []).append(delta)
                    if isinstance(order, i.WithdrawReplica | i.SetAdmission):
                        self.log_lines.append(f"order {delta}")
        if mark is not None and mark.to_all:
            for proxy in self.streams:
                told.setdefault(proxy, [])
        cache: dict[object, bytes] = {}
        for proxy, deltas in told.items():
            self._write(now, self.streams[proxy], deltas, mark, cache)

    def _bind(self, proxy: int, table: int, classes: tuple[int, ...]) -> list[feed.Delta]:
        """A whole table without the replicas that are withdrawn, so that it needs no word on these: with all
        withdrawals a bind of a large fleet cost twice as much, and its proxies waited as long for it."""
        deltas: list[feed.Delta] = []
        for d in self.tables.bind(proxy, table, classes)[0]:
            if isinstance(d, feed.BindDelta):
                held = {
                    name: w
                    for name, w in d.weights.items()
                    if self.identifiers.replicas[name] not in self.tables.withdrawn
                }
                deltas.append(feed.BindDelta(d.table, d.classes, held))
            elif not isinstance(d, feed.WithdrawalDelta):
                deltas.append(d)
        return deltas

    def _concerned(self, order: i.WithdrawReplica) -> list[int]:
        """Out: whose tables name the replica, as told on this stream; others hear of it if ever their tables
        come to name it. Back: whom it was told out to."""
        replica, streams = order.replica, self.streams.values()
        if order.withdrawn:
            on = {table for table, rows in self.tables.weights.items() if replica in rows}
            some = [s for s in streams if not on.isdisjoint(self.tables.bindings[s.proxy].values())]
            for stream in some:
                stream.withdrawn_replicas.add(replica)
        else:
            some = [s for s in streams if replica in s.withdrawn_replicas]
            for stream in some:
                stream.withdrawn_replicas.discard(replica)
        return [s.proxy for s in some]

    def _write(
        self,
        now: int,
        stream: ProxyStream,
        deltas: list[feed.Delta],
        mark: i.RequestAcknowledgement | None,
        cache: dict[object, bytes],
    ) -> None:
        bound = self.tables.bindings[stream.proxy]
        backs = () if stream.fresh else self._backs(stream, deltas)
        # A bind's deltas are made anew for each proxy: those on one table are told alike all the same. What
        # concerns no table is the same for all.
        binds = any(isinstance(d, feed.BindDelta) for d in deltas)
        tables = tuple(bound.items()) if any(getattr(d, "table", None) is not None for d in deltas) else ()
        key = (len(deltas) if binds else tuple(map(id, deltas)), tables, backs)
        data = cache.get(key)
        if data is None:
            ticket = None if mark is None else mark.revision
            data = cache[key] = lines.format_push(self._parts(deltas, bound, backs, ticket))
        if mark is not None:
            stream.unacknowledged.append((mark.revision, now))
        self.outbound.append((stream.proxy, stream.stream_id, data))

    def _backs(self, stream: ProxyStream, deltas: list[feed.Delta]) -> tuple[str, ...]:
        """Replicas that come into its tables and that another governor may have shut it out from: it keeps
        that over a change of streams, and would shun them for good."""
        replicas = self.identifiers.replicas
        told = {d.replica for d in deltas if isinstance(d, feed.WithdrawalDelta | feed.RestorationDelta)}
        stream.notified_replicas.update(replicas[name] for name in told)
        new: dict[str, None] = {}
        for d in deltas:
            if isinstance(d, feed.BindDelta):
                new |= dict.fromkeys(d.weights)
            elif isinstance(d, feed.WeightDelta) and d.weight > 0:
                new[d.replica] = None
        found = [
            name
            for name in new
            if replicas[name] not in stream.notified_replicas and replicas[name] not in self.tables.withdrawn
        ]
        stream.notified_replicas.update(replicas[name] for name in found)
        return tuple(found)

    def _parts(
        self, deltas: list[feed.Delta], bound: dict[int, int], backs: tuple[str, ...], ticket: int | None
    ) -> list[lines.PushPart]:
        """What one message says, drains first; the last word on each line, replica and level holds."""
        of: dict[int, list[int]] = {}
        for cls, table in bound.items():
            of.setdefault(table, []).append(cls)
        shut: dict[str, bool] = dict.fromkeys(backs, False)
        tables: dict[int, dict[str, float]] = {}
        whole: set[int] = set()
        levels: dict[int, None] = {}  # classes whose level is told
        for d in deltas:
            match d:
                case feed.BindDelta():
                    whole.add(d.table)
                    tables[d.table] = dict(d.weights)
                case feed.ClearDelta():
                    whole.add(d.table)
                    tables[d.table] = {}
                case feed.WeightDelta():
                    tables.setdefault(d.table, {})[d.replica] = d.weight
                case feed.WithdrawalDelta():
                    shut[d.replica] = True
                case feed.RestorationDelta():
                    shut[d.replica] = False
                case feed.AdmissionDelta():
                    meant = [self.identifiers.classes[name] for name in d.classes]
                    levels |= dict.fromkeys(k for k in meant if d.table is None or bound.get(k) == d.table)
        for table in whole:
            tables[table] = {n: w for n, w in tables[table].items() if w > 0}
            levels |= dict.fromkeys(of.get(table, []))  # a whole table forgets them
        parts = []
        for table, rows in tables.items():
            if table in of and (rows or table in whole):
                parts.append(lines.PushPart(self._classes(of[table]), table in whole, tuple(rows.items())))
        alike: dict[tuple[float, int], list[int]] = {}
        for cls in levels:
            stands = self._level(cls, bound.get(cls))
            if stands is not None:
                alike.setdefault(stands, []).append(cls)
        parts += [lines.PushPart(self._classes(some), admission=level) for level, some in alike.items()]
        out, back = (tuple(n for n, x in shut.items() if x is yes) for yes in (True, False))
        if out or back or ticket is not None or not parts:
            parts.insert(0, lines.PushPart(withdrawn=out, restored=back, revision=ticket))
        return parts

    def _classes(self, some: list[int]) -> tuple[str, ...]:
        """None are named where all are meant."""
        names = self.identifiers.classes.names
        return () if len(some) == len(names) else tuple(names[k] for k in sorted(some))

    def _level(self, cls: int, table: int | None) -> tuple[float, int] | None:
        """The lower of a table's level and the one for all, with the table's own way of trying again."""
        own, common = self.tables.admission.get((table, cls)), self.tables.admission.get((None, cls))
        if own is None or common is None or table is None:
            return own if own is not None and table is not None else common
        return min(own[0], common[0]), own[1]
