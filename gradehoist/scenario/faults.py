"""The kinds of trouble, as timed orders to the stand-ins. Free of I/O: a plan and a trouble in, steps out.

Names and meanings are the operators' own; each kind strikes as the deployments' records describe it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from gradehoist.settings.reader import Node, choice_parser, number_parser, parse_duration_us
from gradehoist.testbed.process import dice
from gradehoist.testbed.scenario_plan import Plan, Replica, Step

SECOND = 1_000_000
LINE_BYTES = 40  # of an answer, for each line of its messages: 260 of one withdrawal, which costs six


@dataclass(frozen=True, slots=True)
class Notice:
    """How late the roster is, µs: `died` for a process that ended, `silent` for one that fell silent."""

    died: int
    silent: int
    add: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """`part` of the replicas (or relays) that it strikes, of `zone` and `kind` if named; `size` and `extra`
    as the kind says."""

    kind: str
    at: int
    span: int
    part: float
    size: float
    extra: int
    zone: str
    machine: str
    governor: str
    how: str


def parse(
    n: Node, zones: tuple[str, ...], kinds: tuple[str, ...], governors: tuple[str, ...], length: int
) -> Trouble:
    kind = n.get_name("a kind of trouble")
    if kind and kind not in SCRIPTS:
        n.add_error(f"unknown kind {kind}", "known are " + ", ".join(sorted(SCRIPTS)))
    out = Trouble(
        kind,
        n.get("at", parse_duration_us),
        n.get("for", parse_duration_us, 10 * SECOND),
        n.get("part", number_parser(0, 1), 0.2),
        n.get("size", number_parser(0, 1000), 3.0),
        n.get("extra", parse_duration_us, 3 * SECOND),
        n.get("zone", choice_parser(zones), "") if "zone" in n.props else "",
        n.get("machine", choice_parser(kinds), "") if "machine" in n.props else "",
        n.get("governor", choice_parser(governors), "") if "governor" in n.props else "",
        n.get("how", choice_parser(HOWS), "any"),
    )
    n.read_keys |= {"zone", "machine", "governor"}
    if out.at and length and out.at >= length:
        n.add_error("begins after the day's end", "set at under the scene's length", "at")
    n.reject_unread(expected_args=1)
    return out


class Script:
    """Gathers the steps of one trouble."""

    def __init__(self, plan: Plan, trouble: Trouble, notice: Notice, chance: Random) -> None:
        self.plan, self.t, self.notice, self.chance = plan, trouble, notice, chance
        self.steps: list[Step] = []
        self.zone_of = {x.name: x.zone for x in plan.replicas}

    def at(self, when: int, role: str, do: str, **what: Any) -> None:
        self.steps.append(Step(when, role, {"do": do, **what}))

    def replicas(self, when: int, do: str, names: Iterable[str], value: Any = None) -> None:
        by_zone: dict[str, list[str]] = {}
        for name in names:
            by_zone.setdefault(self.zone_of[name], []).append(name)
        for zone, some in by_zone.items():
            self.at(when, f"replicas-{zone}", do, replicas=some, value=value)

    def listed(self, when: int, names: list[str], phase: str, restarted: bool = False, ago: int = 0) -> None:
        self.at(when, "roster", "list", replicas=names, phase=phase, restarted=restarted, ago=ago)

    def injure(self, when: int, harm: dict[str, Any], **links: Any) -> None:
        self.at(when, "links", "injure", harm=harm, **links)

    def struck(self) -> list[str]:
        """The replicas struck: `part` of those that fit, one at least."""
        fit = [x for x in self.plan.replicas if x.listed and self._fits(x)]
        number = max(1, round(self.t.part * len(fit)))
        return [x.name for x in self.chance.sample(fit, min(number, len(fit)))]

    def _fits(self, x: Replica) -> bool:
        return (not self.t.zone or x.zone == self.t.zone) and (not self.t.machine or x.kind == self.t.machine)

    def relays(self) -> list[str]:
        fit = [x.name for x in self.plan.relays if not self.t.zone or x.zone == self.t.zone]
        return self.chance.sample(fit, max(1, round(self.t.part * len(fit))))

    def die(self, when: int, names: list[str], silent: bool = False, told: bool = True) -> None:
        """Processes end, or fall silent with their machine; the roster hears of it late."""
        self.injure(when, {"hole": True} if silent else {"refuse": True}, targets=names)
        self.replicas(when, "die", names)
        if told:
            self.listed(when + (self.notice.silent if silent else self.notice.died), names, "gone")

    def back(self, when: int, names: list[str]) -> None:
        """They start anew, cold."""
        self.replicas(when, "start", names)
        self.injure(when, {}, targets=names)
        self.listed(when + self.notice.add, names, "ready", restarted=True, ago=self.notice.add)


def script(plan: Plan, some: tuple[Trouble, ...], notice: Notice) -> tuple[Step, ...]:
    """All steps of a day, in time."""
    steps: list[Step] = []
    for n, trouble in enumerate(some):
        one = Script(plan, trouble, notice, dice(plan.seed, "trouble", n))
        SCRIPTS[trouble.kind](one)
        steps += one.steps
    return tuple(sorted((s for s in steps), key=lambda s: s.at))


def crash(s: Script) -> None:
    names = s.struck()
    s.die(s.t.at, names)
    s.back(s.t.at + s.t.span, names)


def vanish(s: Script) -> None:
    names = s.struck()
    s.die(s.t.at, names, silent=True, told=s.t.span > s.notice.silent)
    s.back(s.t.at + s.t.span, names)


def slow(s: Script) -> None:
    names = s.struck()
    s.replicas(s.t.at, "slow", names, s.t.size)
    s.replicas(s.t.at + s.t.span, "slow", names, 1.0)


def hang(s: Script) -> None:
    names = s.struck()
    s.replicas(s.t.at, "hang", names, True)
    s.replicas(s.t.at + s.t.span, "hang", names, False)


def neighbour(s: Script) -> None:
    names, when, on = s.struck(), s.t.at, True
    while when < s.t.at + s.t.span:
        s.replicas(when, "taken", names, s.t.size if on else 0.0)
        when, on = when + int(s.t.extra * s.chance.uniform(0.5, 1.5)), not on
    s.replicas(s.t.at + s.t.span, "taken", names, 0.0)


def hot_caller(s: Script) -> None:
    """A few relays get `size` of all traffic on top."""
    names = s.relays()
    share = sum(x.share for x in s.plan.relays if x.name in names)
    s.at(s.t.at, "clients", "factor", relays=names, value=1 + s.t.size / max(share, 1e-6))
    s.at(s.t.at + s.t.span, "clients", "factor", relays=names, value=1.0)


def zone_loss(s: Script) -> None:
    """All replicas of a zone, with `how` all its relays and governors too, fall silent and return cold."""
    zone = s.t.zone or s.chance.choice(s.plan.zones)
    names = [x.name for x in s.plan.replicas if x.zone == zone and x.listed]
    s.die(s.t.at, names, silent=s.t.how == "silent")
    s.back(s.t.at + s.t.span, names)
    if s.t.how == "all":
        relays = [x.name for x in s.plan.relays if x.zone == zone]
        s.at(s.t.at, f"relays-{zone}", "die", relays=relays)
        s.at(s.t.at + s.t.span, f"relays-{zone}", "start", relays=relays)
        s.at(s.t.at, "clients", "factor", relays=relays, value=0.0)
        s.at(s.t.at + s.t.span + SECOND // 2, "clients", "factor", relays=relays, value=1.0)
        for name, where, _ in s.plan.governors:
            if where == zone:
                s.at(s.t.at, "day", "kill", governor=name)
                s.at(s.t.at + s.t.span, "day", "start", governor=name)


def zone_cut(s: Script) -> None:
    zone = s.t.zone or s.chance.choice(s.plan.zones)
    s.injure(s.t.at, {"hole": True}, across=zone)
    s.injure(s.t.at + s.t.span, {}, across=zone)


def shrink(s: Script) -> None:
    """Traffic falls to 1 / size; as many replicas drain, and end after `extra`."""
    names = s.struck()
    fall = 1 / max(1.0, s.t.size)
    for n in range(5):
        s.at(s.t.at + n * s.t.span // 4, "clients", "whole", value=1 + (fall - 1) * n / 4)
    for n, name in enumerate(names):
        when = s.t.at + (n + 1) * s.t.span // len(names)
        drain_one(s, when, [name], s.t.extra)


def drain_one(s: Script, when: int, names: list[str], extra: int) -> None:
    s.listed(when + s.notice.add, names, "draining")
    s.die(when + s.notice.add + extra, names)


def drain(s: Script) -> None:
    """Replicas are listed as draining, end after `extra`, and come back cold at the end of the span."""
    names = s.struck()
    drain_one(s, s.t.at, names, s.t.extra)
    s.back(s.t.at + max(s.t.span, s.t.extra + 2 * s.notice.add + s.notice.died + SECOND), names)


def origin_slow(s: Script) -> None:
    """The channels send `size` times slower, in bytes shared by all readers of a governor."""
    pace = s.plan.rules.line_rate * LINE_BYTES / max(1.0, s.t.size)
    names = [s.t.governor] if s.t.governor else [g for g, _, _ in s.plan.governors]
    s.at(s.t.at, "links", "pace", targets=names, value=pace)
    s.at(s.t.at + s.t.span, "links", "pace", targets=names, value=0.0)


def counter_down(s: Script) -> None:
    """A share of the relays reach no governor and go on forwarding."""
    relays, governors = s.relays(), [g for g, _, _ in s.plan.governors]
    s.injure(s.t.at, {"refuse" if s.t.how == "refuse" else "hole": True}, relays=relays, targets=governors)
    s.injure(s.t.at + s.t.span, {}, relays=relays, targets=governors)


def reconnect(s: Script) -> None:
    s.at(s.t.at, "links", "reset", relays=s.relays(), targets=[g for g, _, _ in s.plan.governors])


def redial(s: Script) -> None:
    """All streams break at once and every relay dials one and the same governor."""
    governor = s.t.governor or s.plan.governors[0][0]
    for zone in s.plan.zones:
        some = [x.name for x in s.plan.relays if x.zone == zone]
        if some:
            s.at(s.t.at, f"relays-{zone}", "aim", relays=some, governor=governor, next=True)
    s.at(s.t.at + 1, "links", "reset", targets=[g for g, _, _ in s.plan.governors])


def governor_kill(s: Script) -> None:
    """A governor is killed outright, and started again at the end of the span."""
    governor = s.t.governor or s.chance.choice([g for g, _, _ in s.plan.governors])
    s.at(s.t.at, "day", "kill", governor=governor)
    s.at(s.t.at + s.t.span, "day", "start", governor=governor)


def shift(s: Script) -> None:
    """For good, `size` of the traffic moves to one zone within the span."""
    zone = s.t.zone or s.chance.choice(s.plan.zones)
    there = [x.name for x in s.plan.relays if x.zone == zone]
    others = [x.name for x in s.plan.relays if x.zone != zone]
    here = sum(x.share for x in s.plan.relays if x.zone == zone)
    for n in range(1, 5):
        share = here + (max(here, s.t.size) - here) * n / 4
        when = s.t.at + n * s.t.span // 4
        s.at(when, "clients", "factor", relays=there, value=share / here)
        s.at(when, "clients", "factor", relays=others, value=(1 - share) / (1 - here))


def preempt(s: Script) -> None:
    """Listed as draining, dead `extra` later; replacements, which are new, start cold at the span's end."""
    names = s.struck()
    s.listed(s.t.at + s.notice.add, names, "draining")
    s.die(s.t.at + s.notice.add + s.t.extra, names)
    spare = [x.name for x in s.plan.replicas if not x.listed][: len(names)]
    if spare:
        s.back(s.t.at + s.t.span, spare)


def false_reports(s: Script) -> None:
    """Slower by `size`, and showing only a part of their load (`extra` as a share of a second)."""
    names = s.struck()
    s.replicas(s.t.at, "slow", names, s.t.size)
    s.replicas(s.t.at, "shown", names, s.t.extra / SECOND)
    s.replicas(s.t.at + s.t.span, "slow", names, 1.0)
    s.replicas(s.t.at + s.t.span, "shown", names, 1.0)


def mass_restart(s: Script) -> None:
    """Replicas of one kind restart at once; `how` unlisted: too quick for the roster to see them gone."""
    names = s.struck()
    quick = s.t.how == "unlisted"
    s.die(s.t.at, names, told=not quick)
    s.back(s.t.at + s.t.span, names)


def one_sided(s: Script) -> None:
    """The relays of one zone have trouble with replicas that serve the others as usual."""
    zone = s.t.zone or s.chance.choice(s.plan.zones)
    names = [x.name for x in s.chance.sample(s.plan.replicas, max(1, round(s.t.part * len(s.plan.replicas))))]
    harm = {"delay": {"delay": 0.25}, "lose": {"lose": s.t.size}}.get(s.t.how, {"reset": s.t.size})
    s.injure(s.t.at, harm, zones=[zone], targets=names)
    s.injure(s.t.at + s.t.span, {}, zones=[zone], targets=names)


def ageing(s: Script) -> None:
    """Slower and slower, up to `size` times, then one crash; back cold after `extra`."""
    names = s.struck()
    for n in range(1, 9):
        s.replicas(s.t.at + n * s.t.span // 8, "slow", names, 1 + (s.t.size - 1) * n / 8)
    s.die(s.t.at + s.t.span, names)
    s.back(s.t.at + s.t.span + s.t.extra, names)


def roster_down(s: Script) -> None:
    """The roster answers nobody; with `how` forget it has a new life afterwards, its versions start anew."""
    s.at(s.t.at, "roster", "down", value="silent" if s.t.how == "silent" else "refusing")
    s.at(s.t.at + s.t.span, "roster", "down", value="")
    if s.t.how == "forget":
        s.at(s.t.at + s.t.span, "roster", "forget")


def flap(s: Script) -> None:
    """The roster lists replicas as gone and ready by turns, while they run on."""
    names, when, gone = s.struck(), s.t.at, True
    while when < s.t.at + s.t.span:
        s.listed(when, names, "gone" if gone else "ready")
        when, gone = when + s.t.extra, not gone
    s.listed(s.t.at + s.t.span, names, "ready")


def flood(s: Script) -> None:
    """One tenant of middling share asks for `size` times its share."""
    tenant = sorted(s.plan.tenants, key=lambda t: t[1])[len(s.plan.tenants) // 2][0]
    s.at(s.t.at, "clients", "louder", tenant=tenant, value=s.t.size)
    s.at(s.t.at + s.t.span, "clients", "louder", tenant=tenant, value=1.0)


def move(s: Script) -> None:
    """`part` of the tenants of one cell are moved to the next, by the mover itself."""
    source, target = s.plan.cells[0], s.plan.cells[1 % len(s.plan.cells)]
    fit = sorted(t for t, c in s.plan.named.items() if c == source)
    some = s.chance.sample(fit, max(1, round(s.t.part * len(fit))))
    s.at(s.t.at, "day", "move", governor="", tenants=some, to=target)


def release(s: Script) -> None:
    """A staged release, cell by cell, of a version that fails `part` of its work and takes `size` times as
    long for the rest; put back where it halts."""
    s.at(s.t.at, "day", "release", governor="", fails=s.t.part, slow=s.t.size, soak=s.t.extra / SECOND)


SCRIPTS: dict[str, Callable[[Script], None]] = {
    f.__name__: f
    for f in (
        crash,
        vanish,
        slow,
        hang,
        neighbour,
        hot_caller,
        zone_loss,
        zone_cut,
        shrink,
        drain,
        origin_slow,
        counter_down,
        reconnect,
        redial,
        governor_kill,
        shift,
        preempt,
        false_reports,
        mass_restart,
        one_sided,
        ageing,
        roster_down,
        flap,
        flood,
        move,
        release,
    )
}
HOWS = ("any", "silent", "all", "refuse", "delay", "lose", "unlisted", "forget")
