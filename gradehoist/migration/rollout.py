"""Runs a staged release: the operator's command for each worker, the roster for its return, the governors'
figures for harm. It may be killed anywhere: started again it reads its record and goes on."""

from __future__ import annotations

import asyncio
import shlex
import sys
import time
from collections import deque
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from gradehoist.cells.rollout import (
    Rollout,
    RolloutStep,
    TrafficCounts,
    are_other_cells_stable,
    describe_regression,
)
from gradehoist.migration.queries import fetch_endpoints, fetch_governor_status
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import Settings
from gradehoist.store.atomic_file import write_file

COMMAND_NOT_FOUND = 127  # as shells say it of a command that is not there
LOOK = 0.5  # seconds between looks at the figures
CountsByCell = dict[str, TrafficCounts]


def load_rollout(store: Path) -> Rollout | None:
    """The last release. Raises ValueError for a file that is no record."""
    paths = sorted(store.glob("*.release"))
    if not paths:
        return None
    try:
        found: Rollout = msgspec.json.decode(paths[-1].read_bytes(), type=Rollout)
    except msgspec.MsgspecError as fault:
        raise ValueError(
            f"{paths[-1]}: no record of a release: {fault}; put back a copy or remove it"
        ) from None
    return found


def save(store: Path, release: Rollout) -> None:
    write_file(store / f"{release.id}.release", msgspec.json.encode(release))


class GovernorCounts:
    """Counts of all governors, added up; one that starts anew counts from zero and goes on from there."""

    def __init__(self, settings: Settings, cells: tuple[str, ...]) -> None:
        self._clients = {
            g.name: HttpClient(*g.listen_address, connect_timeout_s=0.5) for g in settings.governors
        }
        self._last: dict[str, tuple[str, CountsByCell]] = {}
        self.totals: CountsByCell = {c: TrafficCounts() for c in cells}

    async def refresh(self) -> bool:
        """Brings the totals up to now; False where a governor did not answer: its relays are not seen."""
        return all(await asyncio.gather(*(self._ask(name) for name in self._clients)))

    async def _ask(self, name: str) -> bool:
        status = await fetch_governor_status(self._clients[name])
        if status is None:
            return False
        now = {
            c: TrafficCounts(x["came"], x["unanswered"], x["tries"] - x["bad"], x["elapsed"])
            for c, x in status["cells"].items()
        }
        epoch, before = self._last.get(name, ("", now))  # what it counted before we looked is not ours
        if epoch and epoch != status["epoch"]:
            before = {c: TrafficCounts() for c in now}
        for cell, seen in now.items():
            if cell in self.totals:
                self.totals[cell] = self.totals[cell].plus(seen.since(before.get(cell, TrafficCounts())))
        self._last[name] = (status["epoch"], now)
        return True

    def close(self) -> None:
        for client in self._clients.values():
            client.close()


class RolloutRunner:
    """`soak` and `patience` (for a worker's return) in seconds; `told` hears each change of the record."""

    def __init__(
        self,
        settings: Settings,
        store: Path,
        soak_s: float,
        return_timeout_s: float,
        on_change: Callable[[Rollout, str], None],
    ) -> None:
        assert settings.fleet.placement is not None
        self.settings, self.store, self.soak_s, self.return_timeout_s, self.on_change = (
            settings,
            store,
            soak_s,
            return_timeout_s,
            on_change,
        )
        self.figures = GovernorCounts(settings, settings.fleet.placement.cells)
        self._roster = HttpClient(*settings.fleet.endpoint_list_address, connect_timeout_s=0.5)
        self._past: deque[tuple[float, CountsByCell]] = deque()  # totals of late, to compare with
        self._heard = 0.0  # when all governors last answered

    async def run(self, release: Rollout) -> Rollout:
        """To its end or a halt, which puts back what was touched where a command is given for it."""
        try:
            if release.step is not RolloutStep.ROLL_BACK:
                await self._watch(release, self.soak_s)  # what was usual before
            while release.step in (RolloutStep.UPDATE, RolloutStep.SOAK):
                if not release.before:
                    release = release.with_baseline(self._window(self.soak_s))
                release = await self._stage(release, release.before, dict(self.figures.totals))
            return await self._put_back(release) if release.step is RolloutStep.ROLL_BACK else release
        finally:
            self.figures.close()
            self._roster.close()

    def _keep(self, release: Rollout, text: str) -> Rollout:
        save(self.store, release)
        self.on_change(release, text)
        return release

    async def _stage(
        self, release: Rollout, before: Mapping[str, TrafficCounts], start: CountsByCell
    ) -> Rollout:
        while release.step is RolloutStep.UPDATE:
            some = release.next_batch()
            if (boots := await self._lives()) is None:
                why = f"the roster did not answer within {self.return_timeout_s:g} s"
                return self._keep(release.with_rollback_started(why), f"halted: {why}")
            release = self._keep(
                release.with_batch_started(some), f"{release.cell}: renews {', '.join(some)}"
            )
            for worker in some:
                if code := await self._command(release.run, worker, release.cell):
                    why = f"the command for {worker} ended with {code}"
                    return self._keep(release.with_rollback_started(why), f"halted: {why}")
            if why := await self._back_again(release, some, boots, before, start):
                return self._keep(release.with_rollback_started(why), f"halted: {why}")
            # Reports come late: without a look after each batch a cell was renewed whole before harm showed.
            if why := await self._watch(release, self.soak_s / 2, before, start):
                return self._keep(release.with_rollback_started(why), f"halted: {why}")
            release = self._keep(
                release.with_batch_updated(some), f"{release.cell}: {', '.join(some)} renewed"
            )
        why = await self._watch(release, self.soak_s, before, start)
        if why:
            return self._keep(release.with_rollback_started(why), f"halted: {why}")
        while why := self._waits(release, before):
            self.on_change(release, f"{why}: waits")
            if harm := await self._watch(release, self.soak_s, before, start):
                return self._keep(release.with_rollback_started(harm), f"halted: {harm}")
        return self._keep(release.with_stage_completed(), f"{release.cell}: no harm seen")

    def _waits(self, release: Rollout, before: Mapping[str, TrafficCounts]) -> str:
        """Why the next cell may not be begun yet, though no harm was seen in this one."""
        if self._heard < time.monotonic() - self.soak_s:
            return "a governor does not answer, so nobody can say"
        if not are_other_cells_stable(release.cell, before, self._window(self.soak_s)):
            return "other cells fail more than before"
        return ""

    def _window(self, seconds: float) -> CountsByCell:
        """What was met within the last seconds."""
        now, last = time.monotonic(), self.figures.totals
        then = next((w for at, w in self._past if at >= now - seconds), last)
        return {c: last[c].since(then[c]) for c in last}

    async def _look(self) -> None:
        heard = await self.figures.refresh()
        now = time.monotonic()
        self._heard = now if heard else self._heard
        self._past.append((now, dict(self.figures.totals)))
        while self._past[0][0] < now - 4 * self.soak_s:
            self._past.popleft()

    async def _watch(
        self,
        release: Rollout,
        seconds: float,
        before: Mapping[str, TrafficCounts] | None = None,
        start: CountsByCell | None = None,
    ) -> str:
        """Looks for so long; why the cell is harmed, as soon as it shows."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self._look()
            if before and start and (why := self._harm(release, before, start)):
                return why
            await asyncio.sleep(LOOK)
        return ""

    def _harm(self, release: Rollout, before: Mapping[str, TrafficCounts], start: CountsByCell) -> str:
        total = self.figures.totals
        whole = {c: total[c].since(start[c]) for c in total}
        return describe_regression(release.cell, before, whole) or describe_regression(
            release.cell, before, self._window(self.soak_s)
        )

    async def _back_again(
        self,
        release: Rollout,
        workers: tuple[str, ...],
        boots: dict[str, str],
        before: Mapping[str, TrafficCounts],
        start: CountsByCell,
    ) -> str:
        """Waits until the roster lists the workers as ready in a new life; why not, or the harm seen."""
        end = time.monotonic() + self.return_timeout_s
        while True:
            if why := await self._watch(release, LOOK, before, start):
                return why
            now = await self._boots() or {}
            missing = [w for w in workers if now.get(w) in (None, boots.get(w))]
            if not missing:
                return ""
            if time.monotonic() > end:
                return f"{', '.join(missing)} did not come back within {self.return_timeout_s:g} s"

    async def _lives(self) -> dict[str, str] | None:
        """What the roster lists before a batch, once it answers: with nothing to compare, a worker still in
        its old life passed for one that is back, and the next was taken down beside it."""
        end = time.monotonic() + self.return_timeout_s
        while (found := await self._boots()) is None and time.monotonic() < end:
            await asyncio.sleep(LOOK)
        return found

    async def _boots(self) -> dict[str, str] | None:
        """By worker that is listed as ready, the name of its life; None where no answer came."""
        entries = await fetch_endpoints(self._roster, self.settings.governors[0].zone)
        return None if entries is None else {e.replica: e.incarnation for e in entries if e.phase == "ready"}

    async def _command(self, command: str, worker: str, cell: str) -> int:
        words = [w.replace("{worker}", worker).replace("{cell}", cell) for w in shlex.split(command)]
        try:
            process = await asyncio.create_subprocess_exec(*words)
        except OSError as fault:
            print(f"{words[0]}: {fault.strerror or fault}", file=sys.stderr, flush=True)
            return COMMAND_NOT_FOUND
        return await process.wait()

    async def _put_back(self, release: Rollout) -> Rollout:
        """The touched workers of the cell; a kill on the way begins with the first again."""
        for worker in release.workers[release.cell]:
            if release.back and worker in release.touched:
                self.on_change(release, f"{release.cell}: puts {worker} back")
                if code := await self._command(release.back, worker, release.cell):
                    self.on_change(release, f"{worker} was not put back: the command ended with {code}")
        return self._keep(release.with_rollback_completed(), "halted for good")
