"""Governor processes that evacuate a zone and recover it together while faults are injected."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from tests.support.zone_fleet import EXPLORATORY_SHARE, ZoneFleet, run_zone_fleet


def test_a_failing_zone_is_evacuated_and_recovers_although_the_leader_is_killed(tmp_path: Path) -> None:
    async def steps(fleet: ZoneFleet) -> None:
        await fleet.wait_for_own_zone_share("x", lambda share: share > 0.8)
        fleet.failing_zones.add("x")

        async def has_begun() -> bool:
            return any(s["zones"].get("x", 1.0) < 1.0 for s in await fleet.zone_statuses())

        await fleet.wait_until(has_begun)
        (leader,) = await fleet.leaders()
        fleet.kill(leader)

        async def is_evacuated() -> bool:
            return all(
                s["zones"].get("x") == 0.0 and s["in_force"].get("x") == EXPLORATORY_SHARE
                for s in await fleet.zone_statuses()
            )

        await fleet.wait_until(is_evacuated)
        await fleet.wait_for_own_zone_share("x", lambda share: share < 0.1)
        plans = {tuple(s["plan"]) for s in await fleet.zone_statuses()}
        assert len(plans) == 1
        # The plan has the generation of the next leader.
        assert min(plans)[0] >= 2
        fleet.failing_zones.clear()

        async def has_recovered() -> bool:
            return all(
                s["zones"].get("x", 1.0) == 1.0 and not s["in_force"] for s in await fleet.zone_statuses()
            )

        await fleet.wait_until(has_recovered, 60)
        # The ordinary tables are in force again. They are made for the two governors that are left.
        await fleet.wait_for_own_zone_share("x", lambda share: share > 0.3)

    run_zone_fleet(tmp_path, steps)


def test_a_governor_that_alone_observes_failing_zones_moves_no_traffic(tmp_path: Path) -> None:
    async def steps(fleet: ZoneFleet) -> None:
        for proxy in fleet.proxies:
            proxy.is_partitioned = proxy.zone == "x"
        for _ in range(30):
            await asyncio.sleep(0.3)
            statuses = await fleet.zone_statuses()
            assert all(not s["in_force"] and s["zones"].get("y", 1.0) == 1.0 for s in statuses)
        assert any(s["seen"] for s in await fleet.zone_statuses())

    run_zone_fleet(tmp_path, steps)


def test_without_the_store_the_agreed_limits_are_held_then_relaxed_and_restored(tmp_path: Path) -> None:
    async def steps(fleet: ZoneFleet) -> None:
        fleet.failing_zones.add("x")
        await fleet.wait_until_evacuated("x")
        store = tmp_path / "register"
        # A file in place of the store's folder makes the store unavailable.
        store.rename(tmp_path / "renamed")
        store.write_text("not a folder")
        await asyncio.sleep(3.0)
        assert all(s["in_force"].get("x") == 0.02 for s in await fleet.zone_statuses())

        async def is_relaxed() -> bool:
            return all(not s["in_force"] for s in await fleet.zone_statuses())

        await fleet.wait_until(is_relaxed)
        store.unlink()
        (tmp_path / "renamed").rename(store)
        await fleet.wait_until_evacuated("x")

    run_zone_fleet(tmp_path, steps)


def test_a_suspended_governor_delays_a_step_only_until_its_session_ends(tmp_path: Path) -> None:
    async def steps(fleet: ZoneFleet) -> None:
        suspended = next(iter(set(fleet.governors) - set(await fleet.leaders())))
        os.kill(suspended.process.pid, signal.SIGSTOP)
        fleet.failing_zones.add("x")
        others = [governor for governor in fleet.governors if governor is not suspended]

        async def others_evacuated() -> bool:
            statuses = [(await governor.status())["zones"] for governor in others]
            return all(status["in_force"].get("x") == 0.02 for status in statuses)

        await fleet.wait_until(others_evacuated)
        os.kill(suspended.process.pid, signal.SIGCONT)
        await fleet.wait_until_evacuated("x")

    run_zone_fleet(tmp_path, steps)
