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

from gradehoist.cells.rollout import Release, Seen, Step, calm, judge
from gradehoist.migration import queries
from gradehoist.net.client import Client
from gradehoist.settings.fleet import Settings
from gradehoist.store import atomic_file

NOT_RUN = 127  # as shells say it of a command that is not there
LOOK = 0.5  # seconds between looks at the figures
Window = dict[str, Seen]


def load(store: Path) -> Release | None:
    """The last release. Raises ValueError for a file that is no record."""
    paths = sorted(store.glob("*.release"))
    if not paths:
        return None
    try:
        found: Release = msgspec.json.decode(paths[-1].read_bytes(), type=Release)
    except msgspec.MsgspecError as fault:
        raise ValueError(
            f"{paths[-1]}: no record of a release: {fault}; put back a copy or remove it"
        ) from None
    return found


def save(store: Path, release: Release) -> None:
    atomic_file.write(store / f"{release.id}.release", msgspec.json.encode(release))


class Figures:
    """Counts of all governors, added up; one that starts anew counts from zero and goes on from there."""

    def __init__(self, settings: Settings, cells: tuple[str, ...]) -> None:
        self._clients = {g.name: Client(*g.listen, connect_timeout=0.5) for g in settings.governors}
        self._last: dict[str, tuple[str, Window]] = {}
        self.total: Window = {c: Seen() for c in cells}

    async def look(self) -> bool:
        """Brings the totals up to now; False where a governor did not answer: its relays are not seen."""
        return all(await asyncio.gather(*(self._ask(name) for name in self._clients)))

    async def _ask(self, name: str) -> bool:
        status = await queries.status(self._clients[name])
        if status is None:
            return False
        now = {
            c: Seen(x["came"], x["unanswered"], x["tries"] - x["bad"], x["elapsed"])
            for c, x in status["cells"].items()
        }
        epoch, before = self._last.get(name, ("", now))  # what it counted before we looked is not ours
        if epoch and epoch != status["epoch"]:
            before = {c: Seen() for c in now}
        for cell, seen in now.items():
            if cell in self.total:
                self.total[cell] = self.total[cell].plus(seen.since(before.get(cell, Seen())))
        self._last[name] = (status["epoch"], now)
        return True

    def close(self) -> None:
        for client in self._clients.values():
            client.close()


class Runner:
    """`soak` and `patience` (for a worker's return) in seconds; `told` hears each change of the record."""

    def __init__(
        self,
        settings: Settings,
        store: Path,
        soak: float,
        patience: float,
        told: Callable[[Release, str], None],
    ) -> None:
        assert settings.fleet.cells is not None
        self.settings, self.store, self.soak, self.patience, self.told = settings, store, soak, patience, told
        self.figures = Figures(settings, settings.fleet.cells.cells)
        self._roster = Client(*settings.fleet.roster, connect_timeout=0.5)
        self._past: deque[tuple[float, Window]] = deque()  # totals of late, to compare with
        self._heard = 0.0  # when all governors last answered

    async def run(self, release: Release) -> Release:
        """To its end or a halt, which puts back what was touched where a command is given for it."""
        try:
            if release.step is not Step.BACK:
                await self._watch(release, self.soak)  # what was usual before
            while release.step in (Step.RENEW, Step.SOAK):
                if not release.before:
                    release = release.staged(self._window(self.soak))
                release = await self._stage(release, release.before, dict(self.figures.total))
            return await self._put_back(release) if release.step is Step.BACK else release
        finally:
            self.figures.close()
            self._roster.close()

    def _keep(self, release: Release, text: str) -> Release:
        save(self.store, release)
        self.told(release, text)
        return release

    async def _stage(self, release: Release, before: Mapping[str, Seen], start: Window) -> Release:
        while release.step is Step.RENEW:
            some = release.due()
            if (boots := await self._lives()) is None:
                why = f"the roster did not answer within {self.patience:g} s"
                return self._keep(release.halt(why), f"halted: {why}")
            release = self._keep(release.begun(some), f"{release.cell}: renews {', '.join(some)}")
            for worker in some:
                if code := await self._command(release.run, worker, release.cell):
                    why = f"the command for {worker} ended with {code}"
                    return self._keep(release.halt(why), f"halted: {why}")
            if why := await self._back_again(release, some, boots, before, start):
                return self._keep(release.halt(why), f"halted: {why}")
            # Reports come late: without a look after each batch a cell was renewed whole before harm showed.
            if why := await self._watch(release, self.soak / 2, before, start):
                return self._keep(release.halt(why), f"halted: {why}")
            release = self._keep(release.done(some), f"{release.cell}: {', '.join(some)} renewed")
        why = await self._watch(release, self.soak, before, start)
        if why:
            return self._keep(release.halt(why), f"halted: {why}")
        while why := self._waits(release, before):
            self.told(release, f"{why}: waits")
            if harm := await self._watch(release, self.soak, before, start):
                return self._keep(release.halt(harm), f"halted: {harm}")
        return self._keep(release.soaked(), f"{release.cell}: no harm seen")

    def _waits(self, release: Release, before: Mapping[str, Seen]) -> str:
        """Why the next cell may not be begun yet, though no harm was seen in this one."""
        if self._heard < time.monotonic() - self.soak:
            return "a governor does not answer, so nobody can say"
        if not calm(release.cell, before, self._window(self.soak)):
            return "other cells fail more than before"
        return ""

    def _window(self, seconds: float) -> Window:
        """What was met within the last seconds."""
        now, last = time.monotonic(), self.figures.total
        then = next((w for at, w in self._past if at >= now - seconds), last)
        return {c: last[c].since(then[c]) for c in last}

    async def _look(self) -> None:
        heard = await self.figures.look()
        now = time.monotonic()
        self._heard = now if heard else self._heard
        self._past.append((now, dict(self.figures.total)))
        while self._past[0][0] < now - 4 * self.soak:
            self._past.popleft()

    async def _watch(
        self,
        release: Release,
        seconds: float,
        before: Mapping[str, Seen] | None = None,
        start: Window | None = None,
    ) -> str:
        """Looks for so long; why the cell is harmed, as soon as it shows."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self._look()
            if before and start and (why := self._harm(release, before, start)):
                return why
            await asyncio.sleep(LOOK)
        return ""

    def _harm(self, release: Release, before: Mapping[str, Seen], start: Window) -> str:
        total = self.figures.total
        whole = {c: total[c].since(start[c]) for c in total}
        return judge(release.cell, before, whole) or judge(release.cell, before, self._window(self.soak))

    async def _back_again(
        self,
        release: Release,
        workers: tuple[str, ...],
        boots: dict[str, str],
        before: Mapping[str, Seen],
        start: Window,
    ) -> str:
        """Waits until the roster lists the workers as ready in a new life; why not, or the harm seen."""
        end = time.monotonic() + self.patience
        while True:
            if why := await self._watch(release, LOOK, before, start):
                return why
            now = await self._boots() or {}
            missing = [w for w in workers if now.get(w) in (None, boots.get(w))]
            if not missing:
                return ""
            if time.monotonic() > end:
                return f"{', '.join(missing)} did not come back within {self.patience:g} s"

    async def _lives(self) -> dict[str, str] | None:
        """What the roster lists before a batch, once it answers: with nothing to compare, a worker still in
        its old life passed for one that is back, and the next was taken down beside it."""
        end = time.monotonic() + self.patience
        while (found := await self._boots()) is None and time.monotonic() < end:
            await asyncio.sleep(LOOK)
        return found

    async def _boots(self) -> dict[str, str] | None:
        """By worker that is listed as ready, the name of its life; None where no answer came."""
        entries = await queries.listed(self._roster, self.settings.governors[0].zone)
        return None if entries is None else {e.replica: e.boot for e in entries if e.phase == "ready"}

    async def _command(self, command: str, worker: str, cell: str) -> int:
        words = [w.replace("{worker}", worker).replace("{cell}", cell) for w in shlex.split(command)]
        try:
            process = await asyncio.create_subprocess_exec(*words)
        except OSError as fault:
            print(f"{words[0]}: {fault.strerror or fault}", file=sys.stderr, flush=True)
            return NOT_RUN
        return await process.wait()

    async def _put_back(self, release: Release) -> Release:
        """The touched workers of the cell; a kill on the way begins with the first again."""
        for worker in release.workers[release.cell]:
            if release.back and worker in release.touched:
                self.told(release, f"{release.cell}: puts {worker} back")
                if code := await self._command(release.back, worker, release.cell):
                    self.told(release, f"{worker} was not put back: the command ended with {code}")
        return self._keep(release.ended(), "halted for good")
