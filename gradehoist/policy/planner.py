"""All decisions of gradehoist. Call `Planner(start, now)`, then `handle(now, events)` for its orders;
events and orders are defined in gradehoist/interface.py. Parts talk only by notes that one loop delivers."""
from __future__ import annotations

import heapq
import zlib
from collections import deque, namedtuple
from dataclasses import replace
from itertools import islice, product
from statistics import fmean, median
from typing import Any

from gradehoist import interface as i

SECOND = 1_000_000
Tables = dict[int, dict[int, float]]  # weights by set of classes, then by replica
Named = list[frozenset[int]]  # the replicas in each of a group's tables

class Mail:  # the one loop: a note goes to a part's inbox, `run` empties the inboxes in the order of arrival
    def __init__(self, seed: int, now: int) -> None:
        self.now, self.seed, self.drawn, self.dues = now, seed, 0, 0
        self.parts, self.work = dict[Any, Part](), deque[Part]()
        self.due = list[tuple[int, int, tuple[Any, ...]]]()
    def put(self, to: Any, *note: Any) -> None:
        self.parts[to].inbox.append(note)
        self.work.append(self.parts[to])
    def later(self, delay: int, to: Any, *note: Any) -> None:
        self.dues += 1
        heapq.heappush(self.due, (self.now + delay, self.dues, (to, *note)))
    def chance(self) -> float:
        self.drawn += 1
        return zlib.crc32(f"{self.seed}:{self.drawn}".encode()) / 2**32
    def run(self) -> None:
        while self.due and self.due[0][0] <= self.now:
            self.put(*heapq.heappop(self.due)[2])
        while self.work:
            part = self.work.popleft()
            kind, *rest = part.inbox.popleft()
            getattr(part, "on_" + kind)(*rest)

class Part:
    def __init__(self, mail: Mail, name: Any) -> None:
        self.put, self.mail, self.name = mail.put, mail, name
        self.inbox: deque[tuple[Any, ...]] = deque()
        mail.parts[name] = self

State = namedtuple("State", "entry open weight ramp busy flight heard tries bad elapsed period")

class Replica(Part):  # one server: smoothed signal, PID, health, low start and ramp, drain
    LOW = 0.1  # the design's start for new servers: a tenth of average
    GAIN_P, GAIN_I = 0.06, 0.005  # a second: lags of up to 8 s bear a loop gain of half a turn at most
    CAP = 0.25  # the design's cap on a step, as a part of the weight
    BAND = 0.05  # the design's dead band, softened by the readings' scatter: weights walked with the noise
    SMOOTH = 1 / 3  # weight of the newest of about five reports: 2 / (5 + 1)
    FEW = 4.0  # tries below which a failing share says nothing: four in a row by chance are rare
    FAILING = 0.8  # impatient clients fail half the tries of a slow server that still answers
    PAUSE = 60 * SECOND  # a longer window tells of a pause of ours: one of an hour froze the loop for minutes
    entry: Any = None
    def __init__(self, mail: Mail, index: int, period: int, cold_time: int, probes: bool) -> None:
        super().__init__(mail, ("replica", index))
        self.index, self.period, self.cold_time, self.probes = index, period, cold_time, probes
        self.weight, self.born = 1.0, -cold_time
        self.reset()
    def reset(self) -> None:
        self.busy = self.flight = self.fresh = type(self).entry
        self.sick, self.trials, self.heard, self.scatter = False, 0, 0, 0.5
        self.integral, self.tries, self.bad, self.elapsed, self.climb = 0.0, 0.0, 0.0, 0.0, self.cold_time
    def tell(self) -> None:
        age = (self.mail.now - self.born) / max(1, self.climb)
        self.ramp = self.LOW + (1 - self.LOW) * min(1.0, max(0.0, age))
        if self.entry:
            self.open = self.entry.phase is i.Phase.READY and not self.sick
            self.put("pool", "state", self.index, State(*(getattr(self, f) for f in State._fields)))
    def on_listed(self, entry: i.Endpoint, weight: float) -> None:
        old, self.entry, self.weight = self.entry, entry, self.weight if self.entry else weight
        if old is None or entry.started_us > old.started_us:
            self.born = entry.started_us if entry.started_us > 0 else -self.cold_time
            self.reset()  # also a restart that was never listed as gone: cold, under its old weight
        self.tell()
    def on_heard(self, e: i.AttemptsReported) -> None:
        self.tries, self.bad = self.tries + e.attempts, self.bad + e.failures
        self.elapsed, self.fresh = self.elapsed + e.elapsed_us * (e.attempts - e.failures), e.load or self.fresh
        window = min(e.window_us, self.PAUSE)  # over the stated period where the intake is full
        self.period += int(self.SMOOTH * (window - self.period))
        if not self.sick and self.tries >= self.FEW and self.bad > self.FAILING * self.tries:
            self.put("pool", "failing", self.index, self.bad / self.tries)
    def on_period(self) -> None:
        if new := self.fresh:
            self.busy, self.flight = self.mix(self.busy, new.busy_share), self.mix(self.flight, new.in_flight)
            self.fresh, self.heard = None, self.mail.now
        self.tell()
        keep = 0.5 ** min(1.0, self.period / SECOND)  # half forgotten in a period, or in a second
        self.tries, self.bad, self.elapsed = (keep * x for x in (self.tries, self.bad, self.elapsed))
    def mix(self, old: float | None, new: float | None) -> float | None:
        if old and new is not None:  # slowly, so that a true change does not pass for scatter
            self.scatter += 0.1 * (min(1.0, abs(new - old) / old) - self.scatter)
        return new if old is None or new is None else old + self.SMOOTH * (new - old)
    def on_step(self, error: float, missing: bool, scale: float) -> None:
        error *= 0.0 if abs(error) < self.BAND else error**2 / (error**2 + self.scatter**2)
        if self.ramp >= 1.0 and not missing:  # below that the ramp speaks for it
            out = (self.GAIN_P * error + self.GAIN_I * (self.integral + error)) * self.period / SECOND
            step = max(-self.CAP * self.weight, min(self.CAP * self.weight, out))
            self.integral += error * (step == out)  # no winding up while the step is clamped
            self.weight += step
        weight, self.weight = self.weight, max(Pool.FLOOR, min(Pool.CEILING, self.weight * scale))
        self.integral *= self.weight == weight * scale  # no winding up at the floor or ceiling either
        self.tell()
    def on_eject(self) -> None:
        self.sick, self.trials = True, self.trials + (not self.sick)
        hold = max(2 * self.period, 2 * SECOND) * 2 ** min(self.trials - 1, 3)  # longer if flapping
        self.mail.later(hold, self.name, "retry", self.trials)
        self.tell()
    def on_retry(self, trial: int) -> None:
        if trial == self.trials:
            self.put("publisher", "write", [i.CheckHealth(self.index)], [], 0) if self.probes else self.on_back()
    def on_probed(self, e: i.HealthChecked) -> None:
        if self.sick:
            (self.on_back if e.outcome is i.HealthCheckOutcome.HEALTHY else self.on_eject)()
    def on_back(self) -> None:  # flapping servers restart low each return
        if self.sick:
            self.sick, self.born, self.tries, self.bad = False, self.mail.now, 0.0, 0.0
            self.climb = max(2 * self.period, self.cold_time // 4)  # warm as a rule: it climbs back sooner
            self.tell()

class Pool(Part):  # the average, the skip rule, normalizing; the zone layer; who may be ejected
    FLOOR, CEILING = 0.05, 4.0  # the design's bounds on a normalized weight
    MISSING = 0.15  # the design's share of missing reports that skips an update
    PANIC = 0.5  # the field's usual panic threshold: with fewer left, cold ones would be pushed over instead
    SLACK = 0.3  # how far an idle zone may run off the average before its traffic crosses
    WARM = 0.8  # stress from which a zone has none of that slack, shrinking up to there
    JAM = 1.2  # stress from which cold servers wait: a fifth more than their like can do
    FULL = 0.92  # busy share at which queues outgrow the goals; servers are never all this busy by chance
    LATE = 0.6  # mean answer time as a part of the goal: beyond it the slowest tenth is late
    FAILS = 0.25  # failing part of the tries at the median server, which no outlier can bring about
    TASTE = 0.01  # part of a zone's traffic each other zone gets anyway, so that its reports keep coming
    RECENT = 0.9  # of what came, kept each period: some ten seconds' sums, by which a few tell classes apart
    FORGET = 3600 * SECOND  # long past any flapping list: 3,000 replaced servers made a step 27 times as long
    def __init__(self, mail: Mail, zones: int, proxies: int, classes: tuple[i.RequestClass, ...],
                 sets: list[tuple[int, ...]], period: int, cold: int, homes: list[int], probes: bool,
                 most: int) -> None:
        super().__init__(mail, "pool")
        self.most, self.turned, self.rings = most, mail.chance(), dict[int, float]()
        self.zones, self.proxies, self.classes, self.sets, self.probes = zones, proxies, classes, sets, probes
        self.cold_time, self.homes, self.known, self.stated = cold, homes, dict[int, i.Endpoint](), period
        self.period, self.goal, self.thin = period, min(c.latency_objective_us for c in classes), list[tuple[int, int]]()
        self.states, self.rates, self.calm = dict[int, State](), dict[int, tuple[int, list[float]]](), 0
        self.heat, self.slack, self.came = dict[int, float](), dict[int, float](), [0.0] * len(classes)
        self.held, self.opening, self.unnamed = set[int](), set[int](), set[int]()
        self.leaving = set[int]()  # gone for good: forgotten once their withdrawal is lifted
        self.caps, self.parts = dict[int, float](), dict[int, float]()  # agreed: by zone, by cold replica
        self.wide, self.places = [1.0] * len(homes), dict[int, int]()  # of arcs, by group; groups, by proxy
    def allowed(self, e: i.Endpoint, zone: int, k: int) -> bool:
        c = self.classes[self.sets[k][0]]
        return ((c.allowed_zones is None or e.zone in c.allowed_zones) and (not c.zone_local or e.zone == zone)
                and (c.allowed_kinds is None or e.kind in c.allowed_kinds))
    def choices(self, of: i.Endpoint) -> Any:  # per class and zone that may use it: the warm ones
        for k, zone in product(range(len(self.sets)), range(self.zones)):
            if self.allowed(of, zone, k):
                yield {n: bool(s.open) for n, s in self.states.items() if s.entry.phase is i.Phase.READY and
                       s.entry.started_us <= self.old and self.allowed(s.entry, zone, k)}
    @property
    def old(self) -> int:  # started by then: warm; on a machine just booted too, where long past is told as 0
        return max(0, self.mail.now - self.cold_time)
    def on_listed(self, e: i.EndpointsListed) -> None:
        if e.kind is i.EndpointListKind.FAILED:
            return self.put("publisher", "follow")
        gone = {n: replace(x, phase=i.Phase.GONE) for n, x in self.known.items()}
        news = (gone if e.kind is not i.EndpointListKind.DELTA else {}) | {x.replica: x for x in e.endpoints}
        mean = fmean([x.size or 1 for x in (self.known | news).values() if x.phase is i.Phase.READY] or [1])
        for n, x in news.items():
            if n not in self.known:
                self.rings[n] = self.mail.chance()  # each governor's own order, or all would crowd alike
                Replica(self.mail, n, self.period, self.cold_time, self.probes)
            if self.known.get(n) != x:
                self.put(("replica", n), "listed", x, max(self.FLOOR, min(self.CEILING, x.size / mean)))
        self.known |= news
    def on_state(self, index: int, state: State) -> None:  # the start alone may change: cold, told late
        if index not in self.known:
            return  # a last word of one just forgotten
        old, self.states[index] = self.states.get(index), state
        self.zones = max(self.zones, state.entry.zone + 1)
        said = [(s.entry.phase, s.open, s.entry.started_us) for s in (old, state) if s is not None]
        if said[:1] != said[1:]:
            # Ejection must not leave a class without an open replica once the list takes the others.
            for ready in [] if state.open else self.choices(state.entry):
                for n in [] if any(ready.values()) else ready:
                    self.put(("replica", n), "back")
            self.replan()
            # Many restarted at once are withdrawn first: their low lines alone would take too long.
            again = bool(old and old.open and old.entry.started_us < state.entry.started_us)
            kind = "gone" if state.entry.phase is i.Phase.GONE else "open" if state.open else "eject"
            (self.mail.later(self.FORGET, "pool", "forget", index) if kind == "gone" else
             self.leaving.discard(index))
            kind = "drain" if self.jammed(index, again) or state.entry.phase is i.Phase.DRAINING else kind
            if old or kind != "open":  # a first line comes with the tables
                self.opening |= {index} if kind == "open" else set()
                self.put("publisher", "job", kind, index)
    def replan(self) -> None:  # once for all that a batch brings: a first list names the whole fleet
        if ("after", "plan") not in self.inbox:
            self.put("pool", "after", "plan")
    def jammed(self, n: int, again: bool = False) -> bool:
        # In a jam a cold one gets far more than its weight, the first of a class with few others all of it.
        s, bar, old = self.states[n], 3 * SECOND if n in self.held else 1, self.old
        warm = any(x.open and x.entry.started_us <= old for x in self.states.values())
        again |= any(self.allowed(s.entry, z, k) for z, k in self.thin)
        wait = s.open and warm and s.entry.started_us > old and (again or self.calm < bar)
        (self.held.add if wait else self.held.discard)(n)
        return n in self.held
    def on_failing(self, index: int, share: float) -> None:  # a fault that all share ejects nobody
        s, ready = self.states.get(index), [s for s in self.states.values() if s.entry.phase is i.Phase.READY]
        usual = sum(s.bad for s in ready) / max(1.0, sum(s.tries for s in ready))
        if s and share >= 2 * usual and s.open and all(
                len(w) - sum(w.values()) + 1 <= self.PANIC * len(w) for w in self.choices(s.entry)):
            self.states[index] = s._replace(open=None)  # at once: a batch's must not each pass as the first
            self.put(("replica", index), "eject")
    def on_joined(self, e: i.ProxyJoined) -> None:
        self.rates[e.proxy] = (e.zone, [e.request_rate / len(self.classes)] * len(self.classes))
    def on_placed(self, proxy: int, group: int) -> None:
        self.places |= {proxy: group} if proxy in self.rates else {}  # it may have left in the same batch
    def on_left(self, e: i.ProxyLeft) -> None:
        self.rates.pop(e.proxy, None)
        self.places.pop(e.proxy, None)
    def on_offered(self, e: i.RequestsOffered) -> None:
        if e.window_us > 0 and (known := self.rates.get(e.proxy)):
            known[1][e.request_class] += Replica.SMOOTH * (e.requests * SECOND / e.window_us - known[1][e.request_class])
            self.came[e.request_class] += e.requests
    def on_period(self) -> None:
        for n in self.known:
            self.put(("replica", n), "period")
        self.put("pool", "after", "judge")
    def on_ceilings(self, e: i.QuotasAgreed) -> None:
        self.caps, self.parts = dict(e.zone_quotas), dict(e.warmup_quotas)
        self.replan()
    def on_judge(self) -> None:
        self.period = int(max(self.stated, median([s.period for s in self.states.values() if s.open] or [0])))
        self.put("publisher", "pace", self.period, self.most < len(self.known))
        # By what came: guessed in equal parts at joining, the cheap class was cut to nothing for the others.
        mix, self.came = self.came, [self.RECENT * x for x in self.came]
        live = [s for n, s in self.states.items() if s.open and n not in self.unnamed]
        good = 1 - sum(s.bad for s in live) / max(1.0, sum(s.tries for s in live))
        jam = (stress := self.stress(live)) > self.JAM or not any(s.tries for s in live)
        self.calm = 0 if jam else self.calm + self.period  # a fresh governor's first reports are few
        for n, s in self.states.items():
            if s.open and (n in self.held) != self.jammed(n):
                self.opening |= {n} - self.held
                self.put("publisher", "job", "drain" if n in self.held else "open", n)
        self.put("admission", "pulse", stress, good, mix, self.period)
        for z in range(self.zones):
            hot = self.stress([s for s in live if s.entry.zone == z])
            self.slack[z] = max(0.0, min(self.SLACK, self.WARM - hot))
        self.replan()
    def stress(self, some: list[State]) -> float:  # 1: the middle server is saturated
        signs = ([s.busy / self.FULL for s in some if s.busy is not None],
                 [s.bad / s.tries / self.FAILS for s in some if s.tries >= 1],
                 [s.elapsed / (s.tries - s.bad) / self.goal / self.LATE for s in some if s.tries > s.bad])
        # Few speak for none: the first server heard, a slow one, made a fresh governor refuse half of all.
        return max(sorted(x)[len(x) // 2] if 2 * len(x) > len(some) else 0.0 for x in signs)
    def on_step(self) -> None:  # when every group holds the last weights
        live = {n: s for n, s in self.states.items() if s.open}
        known = {n: s for n, s in live.items() if s.heard}
        stale = [n for n, s in known.items() if self.mail.now - s.heard > 3 * self.period]
        if not known or len(stale) > self.MISSING * len(known):
            return
        busy = {n: s.busy for n, s in known.items() if s.busy is not None}
        # One more, as chance counts of an idle pool are no load; the root, as size may be cores or speed.
        size = sum(s.entry.size for s in known.values()) / len(known) or 1.0
        flight = {n: 1 + s.flight / max(s.entry.size / size, 0.01) ** 0.5
                  for n, s in known.items() if s.flight is not None}
        used, scale = dict[int, float](), 1 / (fmean(s.weight for s in live.values()) or 1.0)
        for figures in (busy, flight):
            mean = sum(figures.values()) / max(1, len(figures)) or 1.0
            used |= {n: max(used.get(n, 0.0), v / mean) for n, v in figures.items()}
        # Servers that fail tries, or report too little, look idle: load counts by what is answered.
        used = {n: v / max(0.1, 1 - known[n].bad / max(1.0, known[n].tries)) for n, v in used.items()}
        average = sum(used.values()) / max(1, len(used)) or 1.0
        for z in range(self.zones):
            # A zone within the slack of the average is left alone, and only its own servers even out.
            here = [n for n, s in live.items() if s.entry.zone == z]
            slack, mean = average * self.slack.get(z, 0.0), fmean([used[n] for n in here if n in used] or [0])
            goal, self.heat[z] = max(average - slack, min(average + slack, mean)), mean / average
            for n in here:
                self.put(("replica", n), "step", goal - used[n] if n in used else 0.0, n in stale, scale)
        self.replan()
    def on_after(self, kind: str) -> None: self.put("pool", kind)  # behind the states the replicas send now
    def on_opened(self, some: list[int]) -> None:  # low, in the message of its return, not at full weight
        self.opening.difference_update(some)
        self.on_plan()  # once: a hundred that came back at a time were a step of 1.3 s
        for g, n in product(range(len(self.homes)), some):
            self.put(("group", g), "line", n)
        for n in self.leaving.intersection(some):
            self.leaving.discard(n)
            del self.known[n], self.states[n], self.rings[n], self.mail.parts["replica", n]
            self.replan()
    def on_forget(self, n: int) -> None:
        if n in self.states and self.states[n].entry.phase is i.Phase.GONE:
            self.leaving.add(n)
            self.put("publisher", "lift", n)
    def on_plan(self) -> None:  # the zone layer: traffic stays while its zone's weights carry it
        # Those that wait are no room yet: counted, a zone's first ones back would get what it keeps for all.
        ready = {n: (s.entry, s.weight * s.ramp * max(1e-3, self.parts.get(n, 1.0)))  # of nothing no shares
                 for n, s in self.states.items() if s.open}
        live = {n: x for n, x in ready.items() if n not in self.held and n not in self.opening}
        zones, sets, whole = range(self.zones), range(len(self.sets)), sum(w for _, w in live.values()) or 1.0
        # A hot zone spills at once, before its weights have fallen: clients may gather where few were known.
        free = [min(1.0, (1 + Replica.BAND + self.slack.get(z, 0.0)) / (self.heat.get(z) or 1.0)) / whole *
                sum(w for e, w in live.values() if e.zone == z) for z in zones]
        mine = [[sum(r[c] for y, r in self.rates.values() if y == z for c in self.sets[k]) for k in sets]
                for z in zones]
        total, part = sum(map(sum, mine)) or 1.0, min(1.0, len(self.rates) / max(1, self.proxies))
        # Other governors' as if zones had alike proxies: by weight, a drowning zone would send none away.
        held = [y for y, _ in self.rates.values()]
        room = [max(0.0, 1 / self.zones - held.count(z) / max(1, self.proxies)) for z in zones]
        fill = (1 - part) / (sum(room) or 1.0)
        # Lines of gone servers leave: binds would grow by them, and joining take longer than a drain's grace.
        shut = {n for n, s in self.states.items() if n not in live and s.entry.phase is not i.Phase.GONE}
        self.thin, wanted = [], list[Tables]({} for _ in zones)
        for k in sets:
            mix = sum(m[k] for m in mine) / total
            stay = [0.0 for _ in zones]
            weights = [[sum(w for e, w in live.values() if e.zone == y and self.allowed(e, z, k))
                        for y in zones] for z in zones]
            for z in zones:
                asked = part * mine[z][k] / total + room[z] * fill * mix
                likes = sum(w for e, w in ready.values() if self.allowed(e, z, k))
                self.thin += [(z, k)] * (asked * whole > 2 * likes)
                if weights[z][z] > 0:
                    cap, slack = self.caps.get(z, 1.0), self.slack.get(z, 0.0)
                    kept = min(asked * cap, max(0.0, free[z] + slack * weights[z][z] / whole))
                    stay[z], free[z] = kept / asked if asked > 0 else cap, free[z] - kept
            for z in zones:
                to = {y: max(free[y], w / whole / 50) * cap for y, w in enumerate(weights[z])
                      if w and y != z and (cap := self.caps.get(y, 1.0))}
                split = {y: max(self.TASTE, (1 - stay[z]) * f / sum(to.values())) for y, f in to.items()}
                split[z] = stay[z] if to else 1.0
                wanted[z][k] = {n: max(1e-4, len(live) * split.get(e.zone, 0.0) * w / weights[z][e.zone])
                                for n, (e, w) in live.items() if self.allowed(e, z, k)}
        self.unnamed, here = set(live) if held else set(), set(held)  # our proxies can't tell of these
        loads = [0.0] * len(self.homes)
        for p, g in self.places.items():
            loads[g] += sum(self.rates[p][1])
        for g, zone in enumerate(self.homes):
            # As wide as the group's load: one proxy with a tenth of all traffic on some twenty lines pushed
            # over the cold ones among them (roll+mass 5). Widths stay for small moves, or lines would flap.
            load, wide = loads[g] * self.homes.count(zone) / (sum(mine[zone]) or 1.0), self.wide[g]
            self.wide[g] = wide if wide / 3 < load < 1.5 * wide else max(1.0, load)
            tables = {k: self.deal(t, g) for k, t in wanted[zone].items()}
            self.unnamed -= {n for t in tables.values() for n in t if zone in here}
            self.put(("group", g), "wanted", tables, shut)

    # Where the channel could not bring all proxies whole tables within a drain's grace, a group has an arc
    # of each zone's ring of servers: at 200 servers and 1,600 proxies those that joined waited for 20 s.
    def deal(self, table: dict[int, float], g: int) -> dict[int, float]:
        if len(table) <= self.most:
            return table
        total, out, step = sum(table.values()), dict[int, float](), 1 / self.homes.count(self.homes[g])
        for zone in range(self.zones):
            ring = sorted([n for n in table if self.known[n].zone == zone], key=lambda n: self.rings[n])
            whole = sum(table[n] for n in ring)
            if whole > 2 * self.TASTE * total:
                lines = min(len(ring), max(1, round(self.most * whole / total)))
                # As wide as whole steps between their starts, and by rank, arcs name each server alike often.
                wide = max(1, round(lines / len(ring) / step)) * step * self.wide[g]
                lines, at = int(lines * self.wide[g]), self.turned + g * step
                far = sorted(((r / len(ring) - at) % 1, n) for r, n in enumerate(ring))
                arc = [n for _, n in far[:max(1, lines // 2, sum(x < wide for x, _ in far))]]
                out |= {n: table[n] * whole / sum(table[y] for y in arc) for n in arc}
        return out

class Group(Part):  # some proxies of one zone and the tables they share, as last sent
    MOVED = 0.05  # the design's threshold for sending a line
    def __init__(self, mail: Mail, index: int, sets: list[tuple[int, ...]]) -> None:
        super().__init__(mail, ("group", index))
        self.index, self.sets, self.members, self.shut = index, sets, dict[int, None](), set[int]()
        self.sent, self.wanted = [Tables({k: {} for k in range(len(sets))}) for _ in range(2)]
    def moved(self, only: int | None = None, late: int = 1) -> Any:
        for k, want in self.wanted.items():
            sent, both = self.sent[k], [n for n in want if n != only and want[n] * self.sent[k].get(n, 0)]
            # Tables hold ratios: a line that leaves must not count as a move of all the others.
            scale = sum(sent[n] for n in both) / sum(want[n] for n in both) if both else 1.0
            # A light line's moves hardly move traffic: by its own weight they were a third of the orders.
            least = fmean(sent[n] for n in both) if both else 0.0
            for n in sorted(want.keys() | {x for x in sent if x == only or x not in self.shut}):
                old, new = sent.get(n, 0.0), want.get(n, 0.0) * scale
                far = abs(new - old) > late * self.MOVED * max(old, least) or (old > 0) != (new > 0)
                if n == only or (only is None and far):
                    yield k, n, new
    def write(self, lines: list[tuple[int, int, float]]) -> None:
        news = sum(n not in self.sent[k] for k, n, _ in lines)
        for k, n, w in lines:
            self.sent[k][n] = w
            if not w:
                del self.sent[k][n]
        if orders := [i.SetWeight(self.index * len(self.sets) + k, n, w) for k, n, w in lines]:
            self.put("publisher", "write", orders, list(self.members), len(orders), news)
        self.put("publisher", "differs", self.index, bool(self.members) and any(self.moved()),
                 [frozenset(t) for t in self.sent.values()])
    def on_wanted(self, wanted: Tables, shut: set[int]) -> None:
        self.wanted, self.shut = wanted, shut
        self.on_turn(0 if self.members else 1e9)  # unused, lines cost nothing and stand ready
    def on_turn(self, room: float, late: int = 1) -> None:  # late: the periods it waited
        self.write(list(islice(self.moved(late=late), int(room / max(1, len(self.members))))))
    def on_line(self, replica: int) -> None: self.write(list(self.moved(replica)))
    def on_leave(self, proxy: int) -> None: self.members.pop(proxy, None)
    def on_join(self, proxy: int, extra: int, holds: int) -> None:
        self.members[proxy] = None
        binds = [i.BindProxy(proxy, self.index * len(self.sets) + k, c) for k, c in enumerate(self.sets)]
        size = sum(1 + extra + (1 + holds) * len(t) for t in self.sent.values())
        self.put("publisher", "write", binds, [proxy], size)

class Publisher(Part):  # turns, pace, acknowledgements; guards go before weights, with room of their own
    HALF = 0.5  # the design's part of the queue limit for binds and lines
    OFTEN = 0.6  # of a proxy's messages; the rest waits for drains
    ROUNDS = 0.3  # of a proxy's messages for what goes to all: ejections, returns and levels share them
    GUARDS = 0.85  # drains may fill more, yet leave a margin for lines not counted exactly
    def __init__(self, mail: Mail, queue: float, head: float, limit: int, window: int, period: int,
                 homes: list[int], must_ask: bool, sets: int, grace: int) -> None:
        super().__init__(mail, "publisher")
        self.queue, self.head, self.window, self.period = queue, head + 1, window, period
        self.orders, self.levels, self.pending_binds = list[i.Order](), list[i.Order](), list[tuple[float, ...]]()
        self.lines, self.group_by_proxy = dict[int, float](), dict[int, int]()  # lines: of this reply, by proxy
        self.unacknowledged, self.message_times = dict[int, deque[tuple[int, float]]](), dict[int, deque[int]]()
        self.jobs, self.withdrawn, self.differs = dict[int, str](), dict[int, str](), [False] * len(homes)
        self.mark = self.stepped = self.level_lines = self.round = 0
        self.unacknowledged_lines, self.booked, self.sets, self.named = 0.0, 0.0, sets, [Named()] * len(homes)
        self.holds, self.grace, self.sizes, self.dealt = set[int](), grace, [0] * len(homes), False
        self.bound, self.turns = [dict[int, None]() for _ in homes], [-period] * len(homes)  # last turns
        self.pulse, self.must_ask = max(period // len(homes), 20_000), must_ask  # a turn a group and period
        self.limit, self.homes, self.next_period = limit or 1e9, homes, mail.now + period
        self.orders.append(i.SetTimer(0, int(self.pulse * (0.5 + mail.chance()))))
        self.on_follow()
    def on_follow(self) -> None: self.orders += [i.SubscribeEndpoints(True)] * self.must_ask
    def room(self, proxies: list[int], part: float, lines: float) -> float:  # after a write
        # What notes on their way will write is booked, or a batch's writes would each pass as the only one.
        left = part * self.queue - self.unacknowledged_lines - self.booked - sum(self.lines.values())
        for p in proxies:
            left, past = left - lines - self.head * (p not in self.lines), self.message_times[p]
            while past and past[0] <= self.mail.now - self.window:
                past.popleft()
            left -= 1e9 * (p not in self.lines and len(past) >= max(self.OFTEN, part) * self.limit)
        return left
    def on_joined(self, e: i.ProxyJoined) -> None:
        self.unacknowledged[e.proxy], self.message_times[e.proxy] = deque(), deque()
        near = [g for g, z in enumerate(self.homes) if z == e.zone] or [0]
        self.group_by_proxy[e.proxy] = g = min(near, key=lambda g: (self.sizes[g], g))
        self.sizes[g] += 1
        self.put("pool", "placed", e.proxy, g)
        (self.holds.add if e.may_hold_withdrawals else self.holds.discard)(e.proxy)
        # Those with most traffic are bound first, yet all of them within the grace that runs from joining.
        heapq.heappush(self.pending_binds, (self.mail.now // max(1, self.grace // 4), -e.request_rate, e.proxy))
    def on_left(self, e: i.ProxyLeft) -> None:
        self.put(("group", g := self.group_by_proxy.pop(e.proxy)), "leave", e.proxy)
        self.sizes[g] -= 1
        if self.bound[g].pop(e.proxy, e) is e:  # a thousand that left each sorted them all
            self.pending_binds = sorted(b for b in self.pending_binds if b[2] != e.proxy)
        self.unacknowledged_lines -= sum(n for _, n in self.unacknowledged.pop(e.proxy))
        self.message_times.pop(e.proxy)
    def on_applied(self, e: i.UpdateAcknowledged) -> None:
        while any(m == e.revision for m, _ in self.unacknowledged.get(e.proxy, ())):
            self.unacknowledged_lines -= self.unacknowledged[e.proxy].popleft()[1]
    def on_job(self, kind: str, replica: int) -> None:  # drain, eject or open
        if replica in self.withdrawn:
            self.jobs.pop(replica, None)  # else a job keeps its place: the first told goes first
        (self.withdrawn if kind != "open" and replica in self.withdrawn else self.jobs)[replica] = kind
    def on_lift(self, replica: int) -> None:
        if self.withdrawn.get(replica) == "gone":
            self.jobs[replica] = "open"
    def on_differs(self, group: int, yes: bool, named: Named) -> None:
        self.differs[group], self.named[group] = yes, named
    def open(self, g: int) -> float:  # the part of a group's lines that is not withdrawn: it gets all
        return min((1 + len(x - self.withdrawn.keys())) / (1 + len(x)) for x in self.named[g])
    def usual(self) -> float:  # proxies whose tables name a replica, on average
        lines = sum(len(some) * len(self.named[g][0]) for g, some in enumerate(self.bound) if some)
        return lines / max(1, len(frozenset().union(*(named[0] for named in self.named if named))))
    def holders(self, n: int) -> list[int]:  # a withdrawal concerns those alone whose tables name it
        return [p for named, some in zip(self.named, self.bound, strict=True) if any(n in x for x in named)
                for p in some]
    def on_pace(self, period: int, dealt: bool) -> None: self.period, self.dealt = period, dealt
    def on_levels(self, orders: list[i.Order]) -> None: self.levels = orders
    def on_write(self, orders: list[i.Order], proxies: list[int], lines: int, news: int = 0) -> None:
        self.orders += orders  # a line new to it lets a proxy back that others may have shut out from there
        self.lines |= {p: self.lines.get(p, self.head) + lines + news * (p in self.holds)
                       for p in proxies if p in self.group_by_proxy}
    def on_guards(self) -> None:  # withdrawals, returns, binds, levels, while the queue has room
        everyone, may = list(self.group_by_proxy), self.mail.now >= self.round
        # Before ejections and returns, which ride along: behind them a level over with stood for 5 s more.
        waits = {"drain", "gone"} & set(self.jobs.values())
        if self.levels and may and not waits and self.room(everyone, self.HALF, len(self.levels)) >= 0:
            self.on_write(self.levels, everyone, len(self.levels))
            self.level_lines, self.levels = len(self.levels), []
        # Ejections keep to the half, or they use up the messages that a drain needs once it comes. As long as
        # there are more, a message of fewer lines than two heads waits: sent by few, drains came too late.
        for kinds, part in (("drain", "gone"), self.GUARDS), (("eject",) * may, self.HALF):
            due = [n for n, k in self.jobs.items() if k in kinds]
            if not due:
                continue  # the room of a thousand proxies was counted at every note of every cell's module
            hold = {n: self.holders(n) for n in due}
            who = list({p: None for some in hold.values() for p in some})
            fit = self.room(who, part, 0) * len(due) / max(1, sum(map(len, hold.values())))
            if (fit >= min(len(due), 2 * self.head) or not self.unacknowledged_lines) and (out := due[:max(0, int(fit))]):
                for n in out:
                    self.withdrawn[n] = self.jobs.pop(n)
                    self.on_write([i.WithdrawReplica(n, True)], hold[n], 1)
        opens, back = [n for n, k in self.jobs.items() if k == "open" and may], list[int]()
        # Lines of a return go to other proxies too: by those shut out alone, some passed the cap on messages.
        left, usual = (self.room(everyone, self.HALF, 0), self.usual()) if opens else (0.0, 0.0)
        for n in opens:
            # While proxies wait for tables, their old ones would give a server that comes back cold too much.
            who = self.holders(n)
            cost = 3 * max(len(who), usual)
            if left >= cost and not (self.pending_binds and self.withdrawn.get(n) != "eject"):
                del self.jobs[n]
                left, self.booked = left - cost, self.booked + cost - 3 * len(who)
                self.on_write([i.WithdrawReplica(n, False)] * (self.withdrawn.pop(n, None) is not None), who, 3)
                back.append(n)
        if back:
            self.put("pool", "opened", back)
        # A proxy that joins may hold tables and withdrawals of an earlier stream: bound as soon as it fits.
        # Not while a drain waits for room: binds took it again and again, 1,382 sends were late (hd28492).
        while self.pending_binds and not (self.unacknowledged_lines and {"drain", "gone"} & set(self.jobs.values())):
            home, holds = self.group_by_proxy[proxy := int(self.pending_binds[0][2])], proxy in self.holds
            extra = self.level_lines + len(self.withdrawn.keys() & frozenset().union(*self.named[home]))
            # On sockets what other governors may have shut it out from is let back in one by one.
            lines = self.head + self.sets * (1 + extra) + sum(map(len, self.named[home])) * (1 + holds)
            if self.room([], self.HALF, 0) < lines and self.unacknowledged_lines + self.booked:
                break  # a table of more than half the queue goes alone
            self.booked += lines
            heapq.heappop(self.pending_binds)
            self.bound[home][proxy] = None
            self.put(("group", home), "join", proxy, extra, holds)
        if may and (len(self.lines) >= len(everyone) or any(n not in self.jobs for n in opens)):
            self.round = self.mail.now + int(self.window / self.limit / self.ROUNDS)
    def on_due(self, _: i.TimerFired) -> None:
        self.orders.append(i.SetTimer(0, self.pulse))
        if self.mail.now >= self.next_period:
            self.next_period = self.mail.now + self.period
            self.put("pool", "period")
        # While a withdrawal waits, another message would count as sent knowing of the restart.
        ready = [g for g, yes in enumerate(self.differs) if yes]
        # For ejections where tables are dealt: the channel is too narrow for both; elsewhere weights starved.
        first = {"drain", "gone", *["eject"] * (self.dealt and self.mail.now >= self.round)}
        waits = first & set(self.jobs.values())
        # Each group once a period, by how long it waits and how few of its lines are open: by number, with a
        # channel that brings a quarter of them a period, the last had no turn, and one a single cold server.
        wait = {g: (self.mail.now - self.turns[g]) / self.period for g in ready}
        due = [g for g in ready if wait[g] >= 1 and not waits]
        for group in sorted(due, key=lambda g: (-wait[g] / self.open(g), g)):
            if (room := self.room(list(self.bound[group]), self.HALF, 0)) >= len(self.bound[group]):
                self.turns[group] = self.mail.now
                self.put(("group", group), "turn", room, int(wait[group]))
            if room > -1e8:
                break  # it waits for the queue; one whose proxies may have no message yet held up all others
        if not ready and not any(self.unacknowledged.values()) and self.mail.now - self.stepped >= self.period:
            self.stepped = self.mail.now
            self.put("pool", "step")
    def flush(self) -> list[i.Order]:
        if self.lines:
            self.mark = (self.mark + 1) % 65536
            # To all where all were meant: a withdrawal reaches those who hold the line, the rest never ack.
            self.orders.append(i.RequestAcknowledgement(self.mark, len(self.lines) >= len(self.group_by_proxy)))
            self.unacknowledged_lines += sum(self.lines.values()) + self.level_lines * len(self.lines)
        for p, lines in self.lines.items():
            self.unacknowledged[p].append((self.mark, lines + self.level_lines))
            self.message_times[p].append(self.mail.now)
        orders, self.orders, self.lines, self.booked = self.orders, [], {}, 0.0
        return orders

class Admission(Part):  # saturated: less is let in, the least gain for its goal first
    HOLD = 2 * SECOND  # and two report periods after a cut: only then do reports show what it did
    UP = 0.2  # a second, of what the stress is under 1: a tenth a second where servers idle half the time
    LEAST = 0.05  # never all: what is let in keeps the reports coming
    def __init__(self, mail: Mail, classes: tuple[i.RequestClass, ...], on: bool) -> None:
        super().__init__(mail, "admission")
        self.classes, self.on, self.held, self.level, self.sent = classes, on, 0, 1.0, [1.0] * len(classes)
        self.agreed = dict[int, float]()  # the fleet's one share of each class
    def on_ceilings(self, e: i.QuotasAgreed) -> None: self.agreed = dict(e.admission_limits)
    def on_pulse(self, stress: float, good: float, mix: list[float], period: int) -> None:
        if stress > 1 and self.on and self.mail.now >= self.held:
            self.held = self.mail.now + self.HOLD + 2 * period
            self.level = max(self.LEAST, self.level * max(0.5, min(0.9, good)))
        elif self.mail.now >= self.held:
            self.level = min(1.0, self.level + self.UP * (1 - stress) * period / SECOND)
        left, levels = self.level, [1.0] * len(mix)
        for k in sorted(range(len(mix)), key=lambda k: -self.classes[k].priority_weight / self.classes[k].latency_objective_us):
            share = max(1e-9, mix[k] / max(1e-9, sum(mix)))
            levels[k], left = max(self.LEAST, min(1.0, left / share + 1e-6)), max(0.0, left - share)
            levels[k] = min(levels[k], max(self.LEAST, self.agreed.get(k, 1.0)))
        if any(abs(a - b) > 0.05 or (a == 1.0) != (b == 1.0) for a, b in zip(levels, self.sent, strict=True)):
            self.sent, tries = levels, int(self.level == 1.0)  # further tries only make an overload worse
            self.put("publisher", "levels", [i.SetAdmission(None, (k,), v, tries) for k, v in enumerate(levels)])

class Planner:  # one instance of the module: events become notes, the loop runs, orders come out
    GROUPS = 10  # the design's number of proxy groups
    ARCS = 48  # groups that a large fleet is dealt to: arcs of few lines that still name every server
    FEWEST = 8  # lines of a table dealt out: with fewer one that hangs takes more than strikes can mend
    ROUTES = {i.ProxyJoined: ("joined", ("pool", "publisher")), i.ProxyLeft: ("left", ("pool", "publisher")),
              i.RequestsOffered: ("offered", ("pool",)), i.UpdateAcknowledged: ("applied", ("publisher",)),
              i.EndpointsListed: ("listed", ("pool",)), i.TimerFired: ("due", ("publisher",)),
              i.QuotasAgreed: ("ceilings", ("pool", "admission")), i.AttemptsReported: ("heard", ()),
              i.HealthChecked: ("probed", ())}
    def __init__(self, start: i.PolicyConfig, now: int) -> None:
        self.mail, self.slices, rep, ch = Mail(start.seed, now), start.key_range_count, start.load_reporting, start.channel
        alike: dict[Any, list[int]] = {}
        for k, c in enumerate(start.classes):
            alike.setdefault((c.allowed_zones, c.allowed_kinds, c.zone_local), []).append(k)
        # The most bound classes come first: the zone layer gives them their room before the others.
        sets = [tuple(alike[v]) for v in sorted(alike, key=lambda v: (not v[2], not v[0], not v[1]))]
        many, zones = max(self.GROUPS, min(self.ARCS, start.proxy_count // self.FEWEST)), max(1, start.zone_count)
        homes = sorted(g % zones for g in range(max(many, zones)))
        # Twice: what other governors may have shut a proxy out from is let back in one by one.
        fits = ch.lines_per_s * start.safety.drain_grace_us / SECOND / max(1, start.proxy_count) - ch.message_overhead_lines - 2
        most = max(self.FEWEST, int(fits / 2 / len(sets)))
        Pool(self.mail, start.zone_count, start.proxy_count, start.classes, sets, rep.period_us, start.safety.warmup_us,
             homes, rep.health_checks_allowed, most)
        self.groups = [Group(self.mail, g, sets) for g in range(len(homes))]
        Admission(self.mail, start.classes, start.admission_enabled)
        self.publisher = Publisher(self.mail, ch.queue_limit_lines, ch.message_overhead_lines, ch.messages_per_window,
                                   ch.message_window_us, rep.period_us, homes, rep.must_subscribe, len(sets),
                                   start.safety.drain_grace_us)
    def handle(self, now_us: int, events: list[i.Event]) -> list[i.Order]:
        self.mail.now = now_us
        for e in [] if self.slices else events:
            kind, to = self.ROUTES.get(type(e), ("", ()))
            for part in filter(self.mail.parts.__contains__, to or [("replica", getattr(e, "replica", None))]):
                self.mail.put(part, kind, e)
        self.mail.run()
        self.mail.put("publisher", "guards")
        self.mail.run()
        return self.publisher.flush()
