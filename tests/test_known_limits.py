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

from gradehoist.cells.assignment import ReplicaFence
from gradehoist.governor.policy_process import PolicyProcess
from gradehoist.governor.service import GovernorService
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet_parser import read_settings
from tests.support.governed_fleet import GovernedFleet, make_endpoint
from tests.support.governor_process import (
    DRAIN_GRACE_S,
    REPOSITORY,
    FakeEndpointList,
    FakeProxy,
    run_async,
    wait_until,
    write_settings,
)


@pytest.mark.xfail(strict=True, reason="F18: only the module orders withdrawals, and it is at work")
def test_a_planner_that_works_for_longer_than_the_grace_holds_up_no_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    usual, slow = PolicyProcess.handle, [False]

    async def handle(self: PolicyProcess, *given: Any) -> Any:
        if slow.pop():
            await asyncio.sleep(2 * DRAIN_GRACE_S)
        slow.append(False)
        return await usual(self, *given)

    async def work() -> None:
        monkeypatch.setattr(PolicyProcess, "handle", handle)
        roster, (port,) = FakeEndpointList(), find_free_ports(1)
        found = read_settings(write_settings(tmp_path, roster.port, port))
        service = GovernorService(found.fleet, found.governors[0])
        running = asyncio.ensure_future(service.run())
        relay = FakeProxy(port, "r0")
        try:
            assert await wait_until(lambda: relay.state.is_bound, 10)
            slow[:] = [True]
            await asyncio.sleep(0.2)
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not relay.sends_to("w1"), DRAIN_GRACE_S)
        finally:
            relay.task.cancel()
            service.stop()
            await running
            roster.server.abort()

    run_async(work)


@pytest.mark.xfail(strict=True, reason="F21: keys have no age, and the protocol states none yet")
def test_keys_of_done_writes_do_not_pile_up() -> None:
    fence = ReplicaFence("w", "c", lease_until_us=1 << 60)
    for n in range(2_000):
        fence, _ = fence.check_write(n, "inn", "c", 1, f"k{n}")
        fence = fence.complete_write("inn", f"k{n}")
    assert len(fence.completed["inn"]) < 2_000


@pytest.mark.xfail(strict=True, reason="F24: an index never gives a name back")
def test_names_of_replicas_long_gone_are_given_back() -> None:
    world = GovernedFleet(proxy_count=1)
    for n in range(100, 400):
        world.update_endpoints(make_endpoint(n))
        world.update_endpoints(make_endpoint(n, "gone"))
    world.now_us += 2 * 3_600_000_000
    world.update_endpoints(is_snapshot=True)
    assert len(world.core.identifiers.replicas) < 300


@pytest.mark.xfail(strict=True, reason="F25: a day's processes do not watch the day")
def test_a_day_that_is_killed_leaves_no_process(tmp_path: Path) -> None:
    scene_path = str(REPOSITORY / "scenarios" / "short.kdl")
    day = subprocess.Popen(
        [sys.executable, "-m", "gradehoist", "day", scene_path, "--quiet", "--out", str(tmp_path)],
        cwd=REPOSITORY,
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
