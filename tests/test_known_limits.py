"""What the hardening review found and did not mend: strictly expected to fail, so that a mend shows."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil
import pytest

from gradehoist.cells.migration import ReplicaFence
from gradehoist.governor.policy_process import PolicyProcess
from gradehoist.governor.service import GovernorService
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import read_settings
from tests.support.governed_fleet import World, entry
from tests.support.governor_process import GRACE, ROOT, Relay, Roster, play, settings, until


@pytest.mark.xfail(strict=True, reason="F18: only the module orders withdrawals, and it is at work")
def test_a_planner_that_works_for_longer_than_the_grace_holds_up_no_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    usual, slow = PolicyProcess.handle, [False]

    async def handle(self: PolicyProcess, *given: Any) -> Any:
        if slow.pop():
            await asyncio.sleep(2 * GRACE)
        slow.append(False)
        return await usual(self, *given)

    async def work() -> None:
        monkeypatch.setattr(PolicyProcess, "handle", handle)
        roster, (port,) = Roster(), find_free_ports(1)
        found = read_settings(settings(tmp_path, roster.port, port))
        service = GovernorService(found.fleet, found.governors[0])
        running = asyncio.ensure_future(service.run())
        relay = Relay(port, "r0")
        try:
            assert await until(lambda: relay.holdings.is_bound, 10)
            slow[:] = [True]
            await asyncio.sleep(0.2)
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.sends_to("w1"), GRACE)
        finally:
            relay.task.cancel()
            service.stop()
            await running
            roster.server.abort()

    play(work)


@pytest.mark.xfail(strict=True, reason="F21: keys have no age, and the protocol states none yet")
def test_keys_of_done_writes_do_not_pile_up() -> None:
    fence = ReplicaFence("w", "c", lease_until_us=1 << 60)
    for n in range(2_000):
        fence, _ = fence.check_write(n, "inn", "c", 1, f"k{n}")
        fence = fence.complete_write("inn", f"k{n}")
    assert len(fence.completed["inn"]) < 2_000


@pytest.mark.xfail(strict=True, reason="F24: an index never gives a name back")
def test_names_of_replicas_long_gone_are_given_back() -> None:
    world = World(relays=1)
    for n in range(100, 400):
        world.list(entry(n))
        world.list(entry(n, "gone"))
    world.now += 2 * 3_600_000_000
    world.list(whole=True)
    assert len(world.core.identifiers.replicas) < 300


@pytest.mark.xfail(strict=True, reason="F25: a day's processes do not watch the day")
def test_a_day_that_is_killed_leaves_no_process(tmp_path: Path) -> None:
    scene_path = str(ROOT / "scenarios" / "short.kdl")
    day = subprocess.Popen(
        [sys.executable, "-m", "gradehoist", "day", scene_path, "--quiet", "--out", str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )

    def children() -> list[psutil.Process]:
        """Those that have this run's folder among their words."""
        found = [p for p in psutil.process_iter(["cmdline"]) if p.pid != day.pid]
        return [p for p in found if any(str(tmp_path) in word for word in p.info["cmdline"] or ())]

    try:
        for _ in range(200):
            time.sleep(0.05)
            if len(children()) >= 4:
                break
        day.send_signal(signal.SIGKILL)
        day.wait()
        mine = children()
        assert len(mine) >= 4
        _, left = psutil.wait_procs(mine, 2.0)
        assert not left
    finally:
        for process in children():
            process.kill()
