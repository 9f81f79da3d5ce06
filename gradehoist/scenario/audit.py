"""Judges the rules from the stand-ins' records of what crossed their sockets, never from a governor's word.

`judge` is a pure function of plan and records. A rule is kept, broken, or not judged: the latter where the
records are not enough to tell or the day gave it no occasion. `near` is how far its limit was used up.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.cells.routes import class_label
from gradehoist.protocol import feed
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.testbed.scenario_plan import Class, Plan, Replica

Rec = dict[str, Any]
ALWAYS = 1 << 62
PACE_SLACK = 5_000  # µs: clocks are one machine's, yet a stamp and a leaving are taken moments apart
NAMES = {
    "line": "1 a line to pick for each class",
    "twice": "2 no effect twice",
    "drain": "3 drains kept within the grace",
    "cold": "4 no cold replica pushed over",
    "moves": "6 each write once, none at a former cell",
    "queue": "5 queue and messages under their limits",
    "placement": "+ classes on their zones and kinds",
}


class Finding(msgspec.Struct):
    """One break: when (s into the day), who, what, and the records that show it."""

    at: float
    relay: str
    replica: str
    text: str
    records: list[Rec]


class Judged(msgspec.Struct):
    rule: str
    name: str
    state: str = "not judged"
    near: float = 0.0
    occasions: int = 0
    why: str = ""
    breaks: list[Finding] = msgspec.field(default_factory=list)


class Verdict(msgspec.Struct):
    """`complete`: every process recorded to its end. `answered`: gain within the goal over gain asked."""

    complete: bool
    why: str
    rules: list[Judged]
    answered: float
    by_class: dict[str, float]
    transactions: int

    @property
    def good(self) -> bool:
        return self.complete and all(r.state != "broken" for r in self.rules)


def load(folder: Path) -> list[Rec]:
    """All records in time. Raises ValueError naming the file and line of one that can't be read."""
    out: list[Rec] = []
    decoder: msgspec.json.Decoder[Rec] = msgspec.json.Decoder(dict[str, Any])
    for path in sorted(folder.glob("*.jsonl")):
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    record = decoder.decode(line)
                    record["t"] + 0
                    record["e"] + ""
                except (msgspec.MsgspecError, KeyError, TypeError) as fault:
                    if not line.endswith(b"\n"):
                        continue  # cut off by a kill: the record was not finished
                    raise ValueError(f"{path}:{number}: not a record: {fault}") from None
                record["role"] = path.stem
                out.append(record)
    out.sort(key=lambda r: r["t"])
    return out


def queue(ordered: Iterable[tuple[float, float]], line_rate: float) -> Iterator[tuple[float, float]]:
    """A channel played again at its pace, from times of order (µs, in order) and costs in lines: after each
    message, when its last line is out (µs) and how many lines wait."""
    leaves = deque[tuple[float, float]]()
    free = waiting = 0.0
    for at, cost in ordered:
        while leaves and leaves[0][0] <= at:
            waiting -= leaves.popleft()[1]
        free = max(free, at) + cost / line_rate * 1e6
        leaves.append((free, cost))
        waiting += cost
        yield free, waiting


@dataclass
class Told:
    """What the roster told one governor: per replica the phase and boot, since when."""

    phase: dict[str, tuple[str, int]] = field(default_factory=dict)
    shut: int = 0  # times that a replica was told to drain or to be gone
    boot: dict[str, tuple[int, int]] = field(default_factory=dict)

    def take(self, at: int, record: Rec) -> None:
        entries: dict[str, list[Any]] = record["entries"]
        if record["whole"]:
            for name in self.phase:
                if name not in entries:
                    self._set(at, name, "gone")
        for name, (phase, boot) in entries.items():
            self._set(at, name, phase)
            if self.boot.get(name, (0, 0))[0] != boot:
                self.boot[name] = (boot, at)

    def _set(self, at: int, name: str, phase: str) -> None:
        old = self.phase.get(name)
        shut = ("draining", "gone")
        if old is None or (old[0] != phase and not (old[0] in shut and phase in shut)):
            self.phase[name] = (phase, at)
            self.shut += phase in shut
        elif old[0] != phase:
            self.phase[name] = (phase, old[1])  # from draining to gone the grace runs on


@dataclass
class Joined:
    governor: str
    since: int
    last: int = 0  # when the last applied message was ordered


class Judge:
    def __init__(self, plan: Plan, records: list[Rec]) -> None:
        self.plan, self.records = plan, records
        self.t0 = next((r["t"] for r in records if r["e"] == "day_begins"), records[0]["t"] if records else 0)
        self.rules = {key: Judged(key, name) for key, name in NAMES.items()}
        self.replicas: dict[str, Replica] = {r.name: r for r in plan.replicas}
        self.zone = {r.name: r.zone for r in plan.relays}
        self.classes: dict[str, Class] = {c.name: c for c in plan.classes}
        self.labels = [
            (cell, class_label(cell, c.name), c) for cell in plan.cells or ("",) for c in plan.classes
        ]
        self.joined: dict[str, Joined] = {}
        self.holds: dict[str, ProxyState] = defaultdict(ProxyState)
        self.told: dict[str, Told] = defaultdict(Told)
        self.started: dict[str, int] = {}  # replica: when its last cold start was; absent: long past
        self.bare: dict[tuple[str, str], int] = {}

    def found(self, rule: str, at: int, relay: str, replica: str, text: str, records: Iterable[Rec]) -> None:
        breaks = self.rules[rule].breaks
        if len(breaks) < 50:
            breaks.append(Finding(round((at - self.t0) / 1e6, 3), relay, replica, text, list(records)))

    def allowed(self, c: Class, replica: Replica, zone: str) -> bool:
        return (
            (c.only_zones is None or replica.zone in c.only_zones)
            and (c.only_kinds is None or replica.kind in c.only_kinds)
            and (not c.stays_local or replica.zone == zone)
        )

    def run(self) -> Verdict:
        tries: dict[tuple[str, str], list[Rec]] = defaultdict(list)
        ends: dict[tuple[str, str, int], Rec] = {}
        effects: dict[str, list[Rec]] = defaultdict(list)
        away: dict[str, set[str]] = defaultdict(set)
        fenced: dict[str, set[str]] = defaultdict(set)
        arrived: dict[str, set[str]] = defaultdict(set)
        cold: dict[tuple[str, int], list[tuple[Rec, bool]]] = defaultdict(list)
        fell: list[Rec] = []
        messages: dict[str, list[tuple[Rec, feed.Message]]] = defaultdict(list)
        for r in self.records:
            at = r["t"]
            match r["e"]:
                case "joined":
                    self._lost(at, r["relay"])
                    self.joined[r["relay"]] = Joined(r["governor"], at)
                    self.holds[r["relay"]].begin_stream()
                    self._bare(at, r["relay"], r)
                case "lost" | "relay_down":
                    self._lost(at, r["relay"])
                    if r["e"] == "relay_down":
                        self.holds.pop(r["relay"], None)
                case "killed":
                    for relay in [x for x, j in self.joined.items() if j.governor == r["governor"]]:
                        self._lost(at, relay)
                case "applied":
                    message = msgspec.convert(r["message"], feed.Message)
                    self.holds[r["relay"]].apply(message)
                    if r["relay"] in self.joined:
                        self.joined[r["relay"]].last = message.created_us
                    messages[r["epoch"]].append((r, message))
                    self._bare(at, r["relay"], r)
                case "told" if r["role"] == "roster":
                    self.told[r["reader"]].take(at, r)
                    for relay in [x for x, j in self.joined.items() if j.governor == r["reader"]]:
                        self._bare(at, relay, r)
                case "relay_up":
                    self.holds[r["relay"]] = ProxyState()
                    self.holds[r["relay"]].install_default_tables(r["standing"])
                case "up":
                    if r["cold"]:
                        self.started[r["replica"]] = at
                case "try":
                    tries[r["relay"], r["tx"]].append(r)
                    self._sent(at, r)
                case "tried":
                    ends[r["relay"], r["tx"], r["n"]] = r
                case "arrive":
                    arrived[r["tx"]].add(r["replica"])
                    if r["warmth"] < 1:
                        cold[r["replica"], r["boot"]].append((r, self._knows(at, r["relay"], r["replica"])))
                case "turned_away":
                    away[r["tx"]].add(r["replica"])
                case "fenced" if r["why"] in ("moved", "no lease"):
                    fenced[r["tx"]].add(r["replica"])
                case "effect":
                    effects[r["tx"]].append(r)
                case "fell":
                    fell.append(r)
        if self.records:
            for relay in list(self.joined):
                self._lost(self.records[-1]["t"], relay)
        self._moves(effects)
        self._twice(tries, effects, arrived, away, fenced)
        self._cold(cold, fell)
        for epoch, some in messages.items():
            self._channel(epoch, some)
        return self._verdict(bool(messages))

    # Rule 1

    def _lost(self, at: int, relay: str) -> None:
        if relay in self.joined:
            for _, name, _ in self.labels:
                self._close(at, relay, name)
            del self.joined[relay]

    def _close(self, at: int, relay: str, cls: str) -> None:
        since = self.bare.pop((relay, cls), None)
        if since is None:
            return
        rule = self.rules["line"]
        rule.near = max(rule.near, (at - since) / self.plan.rules.bare_limit)
        if at - since > self.plan.rules.bare_limit:
            self.found(
                "line",
                since,
                relay,
                "",
                f"{cls}: no line to pick for {(at - since) / 1e6:.2f} s",
                [r for r in self.records if r["e"] == "applied" and r["relay"] == relay and r["t"] <= since][
                    -1:
                ],
            )

    def _bare(self, at: int, relay: str, record: Rec) -> None:
        """Brings the bare times of a relay up to now; a warm replica must stand open for one to run."""
        told = self.told[self.joined[relay].governor] if relay in self.joined else None
        if told is None:
            return
        for cell, name, c in self.labels:
            self.rules["line"].occasions += 1
            held = self.holds[relay]
            bare = not held.weights_for(name if name in held.table_by_class else c.name)
            open_one = bare and any(
                phase == "ready"
                and self.plan.workers.get(x, "") == cell
                and self.allowed(c, self.replicas[x], self.zone[relay])
                and at - self.started.get(x, -ALWAYS) >= self.plan.rules.cold_time
                for x, (phase, _) in told.phase.items()
                if x in self.replicas
            )
            if open_one:
                self.bare.setdefault((relay, name), at)
            else:
                self._close(at, relay, name)

    # Rules 3 and placement

    def _sent(self, at: int, r: Rec) -> None:
        replica, c = self.replicas[r["replica"]], self.classes[r["cls"]]
        placement = self.rules["placement"]
        placement.occasions += 1
        if not self.allowed(c, replica, self.zone[r["relay"]]):
            self.found("placement", at, r["relay"], replica.name, f"{c.name} is not open there", [r])
        if (
            (cell := r.get("cell"))
            and self.plan.workers.get(replica.name) != cell
            and (class_label(cell, c.name) in self.holds[r["relay"]].table_by_class)
        ):
            self.found("placement", at, r["relay"], replica.name, f"sent for cell {cell}", [r])
        joined = self.joined.get(r["relay"])
        if joined is None:
            return
        phase, since = self.told[joined.governor].phase.get(replica.name, ("", 0))
        if phase == "draining" or (phase == "gone" and not self.plan.rules.gone_is_advice):
            drain, late = self.rules["drain"], at - max(since, joined.since)
            drain.near = max(drain.near, late / self.plan.rules.grace)
            if late > self.plan.rules.grace:
                self.found(
                    "drain",
                    at,
                    r["relay"],
                    replica.name,
                    f"sent {late / 1e6:.2f} s after {joined.governor} was told it is {phase}",
                    [r],
                )

    # Rule 2

    def _twice(
        self,
        tries: dict[tuple[str, str], list[Rec]],
        effects: dict[str, list[Rec]],
        arrived: dict[str, set[str]],
        away: dict[str, set[str]],
        fenced: dict[str, set[str]],
    ) -> None:
        rule = self.rules["twice"]
        for (relay, tx), some in tries.items():
            c = self.classes[some[0]["cls"]]
            if c.repeat == "free":
                continue
            rule.occasions += 1
            if c.repeat == "guarded":
                rule.why = f"{c.name} is guarded: groups are not in these records"
                continue
            if len(some) > 1 and len(effects[tx]) > 1:
                rule.near = 1.0
                self.found(
                    "twice", some[-1]["t"], relay, some[-1]["replica"], f"{tx} took effect twice", effects[tx]
                )
            for n, later in enumerate(some[1:], 1):
                ran = {x["replica"] for x in some[:n] if x["replica"] in arrived[tx]}
                unproven = ran - fenced[tx] - (away[tx] if self.plan.full_is_proof else set())
                if unproven:
                    rule.near, where = 1.0, ", ".join(sorted(unproven))
                    self.found(
                        "twice",
                        later["t"],
                        relay,
                        later["replica"],
                        f"{tx} sent again though it may have run at {where}",
                        some,
                    )

    # Rule 6

    def _moves(self, effects: dict[str, list[Rec]]) -> None:
        """By the workers' own effects: a key once over all cells; after a later generation's first effect
        none of an earlier one at another cell; and none that a client was told of is missing."""
        rule = self.rules["moves"]
        done: dict[str, list[Rec]] = defaultdict(list)
        latest: dict[str, tuple[int, str]] = {}
        writes = sorted((r for some in effects.values() for r in some if "tenant" in r), key=lambda r: r["t"])
        for r in writes:
            rule.occasions += 1
            done[r["tx"].partition(".")[0]].append(r)
            gen, cell = latest.get(r["tenant"], (0, ""))
            if r["gen"] < gen and r["cell"] != cell:
                self.found(
                    "moves",
                    r["t"],
                    "",
                    r["replica"],
                    f"{r['tenant']}: generation {r['gen']} at {r['cell']} after {gen} at {cell}",
                    [r],
                )
            if r["gen"] > gen:
                latest[r["tenant"]] = (r["gen"], r["cell"])
        for key, some in done.items():
            if len(some) > 1:
                self.found("moves", some[-1]["t"], "", some[-1]["replica"], f"{key} was written twice", some)
        if not self.plan.cells:
            return
        for r in self.records:
            if (
                r["e"] == "transaction"
                and r["status"] == 200
                and r["tx"] not in done
                and self.classes[r["cls"]].repeat == "single"
            ):
                self.found("moves", r["t"], r["relay"], "", f"{r['tx']} was answered and never written", [r])

    # Rule 4

    def _knows(self, at: int, relay: str, replica: str) -> bool:
        joined = self.joined.get(relay)
        if joined is None:
            return False
        phase, _ = self.told[joined.governor].phase.get(replica, ("", 0))
        _, since = self.told[joined.governor].boot.get(replica, (0, ALWAYS))
        if phase == "" or since < self.started.get(replica, 0):
            return False  # it was told of an earlier start only
        return joined.last > since or at - max(since, joined.since) > self.plan.rules.grace

    def _cold(self, cold: dict[tuple[str, int], list[tuple[Rec, bool]]], fell: list[Rec]) -> None:
        rule, rules = self.rules["cold"], self.plan.rules
        for (name, boot), some in cold.items():
            rule.occasions += 1
            replica = self.replicas[name]
            window: deque[tuple[Rec, bool]] = deque()
            for r, knows in some:
                window.append((r, knows))
                while window[0][0]["t"] < r["t"] - rules.fall_span:
                    window.popleft()
                work = sum(x["work"] for x, _ in window)
                knowing = sum(x["work"] for x, k in window if k)
                capacity = replica.cores * replica.speed * r["warmth"] * 1e-3
                budget = rules.fall_multiple * capacity * rules.fall_span
                if knowing >= work * 2 / 3:
                    rule.near = max(rule.near, work / budget)
                    down = [x for x in fell if x["replica"] == name and abs(x["t"] - r["t"]) < 100_000]
                    if work > budget and down:
                        self.found(
                            "cold",
                            r["t"],
                            r["relay"],
                            name,
                            f"pushed over in boot {boot}: {work:.0f} ms of work in the span, "
                            f"{budget:.0f} can be borne",
                            down,
                        )
        if fell and not rule.breaks:
            rule.why = f"{len(fell)} fell, mostly by relays whose governor could not know of the start"

    # Rule 5

    def _channel(self, epoch: str, some: list[tuple[Rec, feed.Message]]) -> None:
        """The queue is played again from the order stamps and the messages' own lines at the stated pace;
        a message that came before its lines could be out shows that the stamps or the pace do not hold."""
        rule, rules = self.rules["queue"], self.plan.rules
        unique: dict[tuple[str, int, int], tuple[Rec, feed.Message]] = {}
        for r, m in some:
            unique.setdefault((r["relay"], r["stream"], m.seq), (r, m))
        ordered = sorted(unique.values(), key=lambda x: (x[1].reply_number, x[1].created_us, x[0]["t"]))
        rule.occasions += len(ordered)
        costs = [(m.created_us, max(self.price(m), m.cost_lines)) for _, m in ordered]
        for (r, m), (_, waiting) in zip(ordered, queue(costs, rules.line_rate), strict=True):
            rule.near = max(rule.near, waiting / rules.queue_limit)
            if waiting > rules.queue_limit + 1e-6:
                self.found(
                    "queue",
                    m.created_us,
                    r["relay"],
                    "",
                    f"{waiting:.0f} lines waited in the channel of {r['governor']}",
                    [r],
                )
            if r["t"] < m.created_us:
                self.found("queue", r["t"], r["relay"], "", "a message came before its order", [r])
        # Whatever the order within one reply: what was ordered since `began` and has come by now must fit
        # between the two at the stated pace. What was ordered earlier may have been out before.
        began, paid = 0, 0.0
        for r, m in sorted(ordered, key=lambda x: x[0]["t"]):
            if m.created_us > began + paid / rules.line_rate * 1e6:
                began, paid = m.created_us, 0.0
            if m.created_us < began:
                continue
            paid += self.price(m)
            if r["t"] + PACE_SLACK < began + paid / rules.line_rate * 1e6:
                self.found(
                    "queue",
                    r["t"],
                    r["relay"],
                    "",
                    f"{r['governor']} writes faster than its stated pace",
                    [r],
                )
        by_relay: dict[tuple[str, int], list[tuple[int, Rec]]] = defaultdict(list)
        for r, m in ordered:
            by_relay[r["relay"], r["stream"]].append((m.created_us, r))
        if rules.message_limit:
            for (relay, _), stamps in by_relay.items():
                times = sorted(at for at, _ in stamps)
                for n, at in enumerate(times):
                    within = n + 1 - bisect_right(times, at - rules.message_window)
                    rule.near = max(rule.near, within / rules.message_limit)
                    if within > rules.message_limit:
                        self.found(
                            "queue",
                            at,
                            relay,
                            "",
                            f"{within} messages within the window",
                            [r for _, r in stamps][:1],
                        )

    def price(self, m: feed.Message) -> float:
        """A message's least price, from what it brought: its head, a line each, tables by their lines."""
        return (
            self.plan.rules.message_head
            + len(m.deltas)
            + (m.revision is not None)
            + sum(len(d.weights) for d in m.deltas if isinstance(d, feed.BindDelta))
            + sum(len(d.cell_by_tenant) for d in m.deltas if isinstance(d, feed.TenantRoutes))
        )

    # The whole

    def _verdict(self, any_message: bool) -> Verdict:
        roles = set(self.plan.controls)
        ended = {r["role"] for r in self.records if r["e"] == "ended"}
        failed = [r for r in self.records if r["e"] == "stand_in_failed"]
        why = ""
        if failed:
            why = f"{failed[0]['role']} failed: {failed[0]['reason']}"
        elif roles - ended:
            why = "no end in the records of " + ", ".join(sorted(roles - ended))
        self.rules["drain"].occasions = sum(told.shut for told in self.told.values())
        for rule in self.rules.values():
            rule.near = round(rule.near, 4)
            if rule.breaks:
                rule.state = "broken"
            elif why:
                rule.why = "the records are not whole: " + why
            elif rule.why and rule.rule == "twice":
                rule.state = "not judged"
            elif rule.rule == "queue" and not any_message:
                rule.why = "no relay applied a message"
            elif rule.occasions:
                rule.state = "kept"
            else:
                rule.why = "the day gave no occasion"
        shares = answered(self.plan, self.records)
        total = sum(x[1] for x in shares.values())
        return Verdict(
            not why,
            why,
            list(self.rules.values()),
            round(sum(x[0] for x in shares.values()) / total, 4) if total else 0.0,
            {k: round(a / b, 4) if b else 0.0 for k, (a, b) in shares.items()},
            sum(r["e"] == "transaction" for r in self.records),
        )


def answered(
    plan: Plan, records: Iterable[Rec], key: Callable[[Rec], str] | None = None
) -> dict[str, tuple[float, float]]:
    """By class, or by `key`: gain of what was answered within its latency goal, and gain asked for."""
    classes = {c.name: c for c in plan.classes}
    out: dict[str, tuple[float, float]] = {} if key else {name: (0.0, 0.0) for name in classes}
    for r in records:
        if r["e"] == "transaction":
            c = classes[r["cls"]]
            took = r["t"] - r["began"]
            good = (
                c.gain
                if r["status"] == 200 and took <= c.goal
                else (c.gain * c.late_gain if r["status"] == 200 and took <= c.cutoff else 0.0)
            )
            name = key(r) if key else c.name
            a, b = out.get(name, (0.0, 0.0))
            out[name] = (a + good, b + c.gain)
    return out


def judge(plan: Plan, records: list[Rec]) -> Verdict:
    return Judge(plan, records).run()


def folder(path: Path) -> tuple[Plan, Verdict]:
    """Judges a run folder. Raises ValueError or OSError where it is none."""
    try:
        plan: Plan = msgspec.json.decode((path / "plan.json").read_bytes(), type=Plan)
    except msgspec.MsgspecError as fault:
        raise ValueError(f"{path / 'plan.json'}: {fault}") from None
    try:
        return plan, judge(plan, load(path))
    except (KeyError, TypeError) as fault:
        raise ValueError(f"{path}: a record without what it should tell: {fault!r}") from None
