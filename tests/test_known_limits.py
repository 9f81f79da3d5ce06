"""Known faults from the hardening review, as strict expected failures: a fix makes its test fail."""

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


@pytest.mark.xfail(strict=True, reason="F18: only the policy orders withdrawals, and it is busy")
def test_a_policy_that_computes_for_longer_than_the_grace_period_delays_no_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original_handle, is_slow = PolicyProcess.handle, [False]

    async def handle(self: PolicyProcess, *arguments: Any) -> Any:
        if is_slow.pop():
            await asyncio.sleep(2 * DRAIN_GRACE_S)
        is_slow.append(False)
        return await original_handle(self, *arguments)

    async def work() -> None:
        monkeypatch.setattr(PolicyProcess, "handle", handle)
        endpoint_list, (port,) = FakeEndpointList(), find_free_ports(1)
        settings = read_settings(write_settings(tmp_path, endpoint_list.port, port))
        service = GovernorService(settings.fleet, settings.governors[0])
        running = asyncio.ensure_future(service.run())
        proxy = FakeProxy(port, "r0")
        try:
            assert await wait_until(lambda: proxy.state.is_bound, 10)
            is_slow[:] = [True]
            await asyncio.sleep(0.2)
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not proxy.sends_to("w1"), DRAIN_GRACE_S)
        finally:
            proxy.task.cancel()
            service.stop()
            await running
            endpoint_list.server.abort()

    run_async(work)


@pytest.mark.xfail(
    strict=True, reason="F21: idempotency keys have no age, and the protocol does not define one yet"
)
def test_idempotency_keys_of_completed_writes_do_not_accumulate() -> None:
    fence = ReplicaFence("w", "c", lease_until_us=1 << 60)
    for n in range(2_000):
        fence, _ = fence.check_write(n, "inn", "c", 1, f"k{n}")
        fence = fence.complete_write("inn", f"k{n}")
    assert len(fence.completed["inn"]) < 2_000


@pytest.mark.xfail(strict=True, reason="F24: an index never releases a name")
def test_the_names_of_replicas_gone_for_long_are_released() -> None:
    fleet = GovernedFleet(proxy_count=1)
    for n in range(100, 400):
        fleet.update_endpoints(make_endpoint(n))
        fleet.update_endpoints(make_endpoint(n, "gone"))
    fleet.now_us += 2 * 3_600_000_000
    fleet.update_endpoints(is_snapshot=True)
    assert len(fleet.core.identifiers.replicas) < 300


@pytest.mark.xfail(strict=True, reason="F25: the processes of a scenario run do not monitor the run")
def test_a_killed_scenario_run_leaves_no_process(tmp_path: Path) -> None:
    scene_path = str(REPOSITORY / "scenarios" / "short.kdl")
    run = subprocess.Popen(
        [sys.executable, "-m", "gradehoist", "day", scene_path, "--quiet", "--out", str(tmp_path)],
        cwd=REPOSITORY,
        stdout=subprocess.DEVNULL,
    )

    def children() -> list[psutil.Process]:
        """Returns the processes with the folder of this run in their command line."""
        others = [p for p in psutil.process_iter(["cmdline"]) if p.pid != run.pid]
        return [p for p in others if any(str(tmp_path) in argument for argument in p.info["cmdline"] or ())]

    try:
        for _ in range(200):
            time.sleep(0.05)
            if len(children()) >= 4:
                break
        run.send_signal(signal.SIGKILL)
        run.wait()
        run_processes = children()
        assert len(run_processes) >= 4
        _, remaining = psutil.wait_procs(run_processes, 2.0)
        assert not remaining
    finally:
        for process in children():
            process.kill()
