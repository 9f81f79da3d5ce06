"""A governor's hands in what all agree on zones: its view out, plan and deal in, ceilings to the module."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from gradehoist.coordination import store as r
from gradehoist.coordination.fencing import Right
from gradehoist.governor.core import Core
from gradehoist.governor.zone_stats import Sights
from gradehoist.membership.service import Membership
from gradehoist.settings.fleet import Fleet
from gradehoist.zones.coordinator import DEAL, PLAN, VIEWS, Board, Now
from gradehoist.zones.evacuation import Class, Plan, Rules
from gradehoist.zones.health import View
from gradehoist.zones.warmup_quota import Deal

T = TypeVar("T")
LISTED = 15_000_000  # µs: a list that was not confirmed for so long is lost; roster calls are held for 5 s
TURN = 500_000  # µs between looks: a step takes seconds to show anyway
SAID = 3_000_000  # a view is written so often at least; others take none for twice as long and more as fresh


@dataclass
class Told(Generic[T]):
    """Of plan or deal: the `latest` that the module was told, from when (µs) its orders are out, and the one
    that all relays' tables hold."""

    latest: T
    due: int = 0

    def __post_init__(self) -> None:
        self.holds = self.latest

    def told(self, what: T, due: int) -> None:
        if what != self.latest:
            self.latest, self.due = what, due


class Zoning:
    """`told` is called after the module has something new to hear. All on the membership's turns."""

    def __init__(
        self,
        fleet: Fleet,
        rules: Rules,
        own_zone: str,
        core: Core,
        member: Membership,
        told: Callable[[], None],
        log: Callable[..., None],
        now: int,
    ) -> None:
        self.core, self.member, self.sights = core, member, Sights(fleet, now)
        self._own_zone, self._told, self._log = own_zone, told, log
        self._turns = 2 * fleet.reports.period  # in which the module gives each group of relays its turn
        settings = member.settings
        classes = {
            c.name: Class(c.gain, None if c.only_zones is None else frozenset(c.only_zones), c.stays_local)
            for c in fleet.classes
        }
        # Tables of one that has gone may be sent by until its relays have joined others.
        linger = fleet.hold + fleet.silence + fleet.rules.grace
        self.board = Board(
            member.agent.me.run, classes, rules, linger, 3 * SAID, LISTED, settings.hold, settings.fall
        )
        self.claim = member.claim("zones", settings.lost)
        member.changed.append(self._changed)
        member.settled.append(self._settled)
        member.ticked.append(self.turn)
        member.failed.append(self.failed)
        self.heard = now  # when the list was last confirmed
        self._next, self._said_at, self._said = 0, -SAID, ((0, 0), -1)
        self._writing = dict[str, str]()  # token by what is being written
        self._now, self._cold = Now({}, 1.0, {}), tuple[str, ...]()
        self._plan, self._deal = Told((0, 0)), Told(-1)
        self._since = now

    def status(self) -> dict[str, Any]:
        verdict = self.board.verdict
        plan = self.board.plan
        return {
            "plan": [plan.gen, plan.step],
            "zones": {z: s.to for z, s in plan.zones.items()},
            "levels": plan.levels,
            "in_force": dict(self._now.zones),
            "cold": self._now.cold,
            "seen": {z: s.value for z, s in verdict.zones.items()} if verdict else {},
            "trouble": verdict.trouble.value if verdict else "",
            "part": self.board.deal.parts.get(self.board.run, 0.0),
        }

    def _changed(self, key: str) -> None:
        agent, at = self.member.agent, self._since
        if key == PLAN:
            before = self.board.plan
            if not self.board.planned(at, agent.value(PLAN, Plan)):
                self._log("zones_older_plan", True, key=key)
            elif self.board.plan.zones != before.zones or self.board.plan.levels != before.levels:
                self._log(
                    "zones_plan",
                    False,
                    gen=self.board.plan.gen,
                    step=self.board.plan.step,
                    zones={z: s.to for z, s in self.board.plan.zones.items()},
                    why={z: s.why for z, s in self.board.plan.zones.items()},
                    levels=self.board.plan.levels,
                )
        elif key == DEAL:
            self.board.dealt(agent.value(DEAL, Deal))
        elif key.startswith(VIEWS):
            self.board.view(at, key.removeprefix(VIEWS), agent.value(key, View))

    def _settled(self, token: str, how: str) -> None:
        self._writing = {what: t for what, t in self._writing.items() if t != token}

    def turn(self, now: int) -> None:
        self._since = now
        if now < self._next:
            return
        self._next = now + TURN
        (self.board.back if self.member.agent.joined else self.board.away)(now)
        self._tell(now)
        if self.member.agent.joined:
            self._say(now)
            self.board.look(now)  # all do: the next one to lead has to know what zones can do
            if self.claim.right is not None:
                self._decide(now, self.claim.right)

    def _tell(self, now: int) -> None:
        """The ceilings in force to the module, where they changed; then what its tables hold."""
        stands = self.board.now(now, self.sights.traffic)
        cold = self.core.cold(now) if stands.cold < 1.0 else ()
        if (stands, cold) != (self._now, self._cold):
            self._now, self._cold = stands, cold
            self.core.ceilings(stands.zones, dict.fromkeys(cold, stands.cold), stands.levels)
            self._told()
        plan = self.board.plan
        self._plan.told((plan.gen, plan.step), now + self._turns)
        self._deal.told(self.board.deal.gen, now + self._turns)
        for one in (self._plan, self._deal):
            if one.holds != one.latest and now >= one.due and self.core.confirmed(one.due):
                one.holds = one.latest

    def _say(self, now: int) -> None:
        """The view, where what it confirms has changed or the last one grows old."""
        holds = self._plan.holds, self._deal.holds
        if "view" in self._writing or (holds == self._said and now - self._said_at < SAID):
            return
        self._said, self._said_at = holds, now
        roster = self.core.roster
        view = self.sights.view(
            now, self._own_zone, self.board.run, now - self.heard, roster.entries, roster.started(), *holds
        )
        self._write("view", self.member.agent.put(VIEWS + self.member.agent.me.name, view, own=True))

    def _decide(self, now: int, right: Right) -> None:
        if "plan" not in self._writing and (plan := self.board.next_plan(now, right)) is not None:
            self._write("plan", self.member.agent.put(PLAN, plan))
        if "deal" not in self._writing and (deal := self.board.next_deal(now, right)) is not None:
            self._write("deal", self.member.agent.put(DEAL, deal))

    def _write(self, what: str, change: r.Change) -> None:
        if token := self.member.propose(change):
            self._writing[what] = token

    def failed(self) -> None:
        """No more turns come: a bug in what they share. Held for good, the last ceilings would outlive it."""
        self.core.ceilings({}, {}, {})
        self._told()
