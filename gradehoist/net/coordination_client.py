"""Carries an agent's calls to the register's home: a task for each call, one that waits for the next."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any, Protocol

from gradehoist.coordination import store as r
from gradehoist.coordination.agent import Agent, Ask, News

WRITES = ("commit", "open", "end")


def now() -> int:
    return time.monotonic_ns() // 1_000


class Scribe(Protocol):
    """Who writes a history, if one is kept."""

    def asked(self, ask: Ask) -> None: ...

    def answered(self, ask: Ask, answer: Any) -> None: ...


class Coordinator:
    """`run` goes on until `leave` and what that takes, or until it is cancelled. `told` hears all news, in
    order; `ticked` is called after each turn, for what decides on the copy."""

    LAST = 1.0  # seconds for a planned leave: its session runs out by itself

    def __init__(
        self,
        agent: Agent,
        home: r.Home,
        told: Callable[[News], None],
        ticked: Callable[[int], None] = lambda now: None,
        scribe: Scribe | None = None,
    ) -> None:
        self.agent, self.home = agent, home
        self._told, self._ticked, self._scribe = told, ticked, scribe
        self._kick = asyncio.Event()
        self._tasks = set[asyncio.Task[None]]()

    async def run(self) -> None:
        try:
            while not self.agent.gone:
                for ask in self.agent.asks(now()):
                    task = asyncio.ensure_future(self._call(ask))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                self._tell()
                self._ticked(now())
                self._tell()
                wait = min(1.0, (self.agent.due(now()) - now()) / 1e6)
                if wait > 0:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait):
                            await self._kick.wait()
                else:
                    await asyncio.sleep(0)
                self._kick.clear()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self.home.close()

    def kick(self) -> None:
        """Something was proposed."""
        self._kick.set()

    async def leave(self, running: asyncio.Task[None]) -> None:
        """Ends the session, if that is quickly done."""
        self.agent.leave()
        self.kick()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.LAST):
                await asyncio.shield(running)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def _tell(self) -> None:
        while self.agent.news:
            news, self.agent.news = self.agent.news, []
            for one in news:
                self._told(one)

    async def _call(self, ask: Ask) -> None:
        if self._scribe is not None:
            self._scribe.asked(ask)
        answer: Any
        try:
            async with asyncio.timeout(ask.within / 1e6):
                answer = await getattr(self.home, ask.what)(*ask.args)
        except TimeoutError:
            what = r.Unknown if ask.what in WRITES else r.Unreachable
            answer = what(f"no answer to {ask.what} within {ask.within / 1e6:g} s")
        except r.Fault as fault:
            answer = fault
        except Exception as fault:
            # An answer that is none, or a bug: unanswered, the agent would wait for good.
            what = r.Unknown if ask.what in WRITES else r.Unreachable
            answer = what(f"{ask.what}: {fault!r}")
        if self._scribe is not None:
            self._scribe.answered(ask, answer)
        if isinstance(answer, r.Fault):
            self.agent.failed(now(), ask.number, answer)
        else:
            self.agent.answered(now(), ask.number, answer)
        self.kick()
