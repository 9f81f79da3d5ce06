"""Processes of a fleet, faults injected between them, and their histories checked after the fact."""

from __future__ import annotations

import asyncio
import resource
import signal
import zlib
from pathlib import Path

import pytest

from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.linearizability import find_linearizability_violations
from gradehoist.history.records import Effect, RejectedEffect, load_history
from tests.support.fleet import Fleet, ProcessHandle, run_fleet


async def kill_and_restart(process: ProcessHandle) -> None:
    process.kill()
    await asyncio.sleep(0.3)
    process.start()


async def stop_beyond_its_session(process: ProcessHandle) -> None:
    process.send(signal.SIGSTOP)
    await asyncio.sleep(3.0)
    process.send(signal.SIGCONT)


async def end_and_restart(process: ProcessHandle) -> None:
    process.send(signal.SIGTERM)
    process.process.wait(5)
    process.start()


INTERRUPTIONS = (kill_and_restart, stop_beyond_its_session, end_and_restart)


@pytest.mark.parametrize("store", ["embedded", "engine"])
def test_processes_killed_stopped_and_ended_leave_one_order_of_effects(store: str, tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.until_settled()
        if store == "engine":
            await fleet.inject_fault(lose=0.05, drop=0.05, repeat=True, cut=5, seed=3)
        for number in range(6):
            if number % 2:
                process = await fleet.until(fleet.leader, 40)
            else:
                process = fleet.actors[zlib.crc32(f"{store}{number}".encode()) % len(fleet.actors)]
            await INTERRUPTIONS[number % 3](process)
            await asyncio.sleep(0.5)
        if store == "engine":
            await fleet.inject_fault()
        await fleet.until_settled()

    fleet = run_fleet(tmp_path, store, 4, work)
    history = fleet.check_history()
    assert len({entry.generation for entry in history if isinstance(entry, Effect)}) >= 3


@pytest.mark.parametrize("checks_tokens", [True, False])
def test_an_effect_of_a_leader_that_was_stopped_is_rejected_by_its_older_token(
    checks_tokens: bool, tmp_path: Path
) -> None:
    """With the check taken out of the ledger, the checker shows the older generation's effect."""

    async def work(fleet: Fleet) -> None:
        await fleet.until_settled()
        first = await fleet.until(fleet.leader)
        await asyncio.sleep(1.0)
        first.send(signal.SIGSTOP)

        async def another_takes_effect() -> bool:
            return any(
                isinstance(entry, Effect) and not entry.holder.startswith(first.spec.name + "-")
                for entry in load_history([fleet.folder / "ledger.jsonl"])
            )

        await fleet.until(another_takes_effect)
        first.send(signal.SIGCONT)
        await asyncio.sleep(1.5)
        await fleet.until_settled()

    fleet = run_fleet(tmp_path, "embedded", 2, work, checks_tokens=checks_tokens, effect_delay_s=0.7)
    violations = find_fencing_violations(fleet.history())
    rejected = [entry for entry in fleet.history() if isinstance(entry, RejectedEffect)]
    if checks_tokens:
        assert not violations
        assert rejected
        assert rejected[0].generation < rejected[0].highest_generation
        fleet.check_history()
    else:
        assert "took effect after" in str(violations[0])
        assert len(violations[0].effects) == 2


def test_a_store_that_is_lost_for_long_ends_no_process_and_all_rejoin(tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.until_settled()
        leader = await fleet.until(fleet.leader)
        await fleet.inject_fault(away=True)

        async def all_suspended() -> bool:
            return all(status and not status["joined"] for status in await fleet.statuses())

        await fleet.until(all_suspended)
        await asyncio.sleep(4.0)
        assert all(actor.process.poll() is None for actor in fleet.actors)
        await fleet.inject_fault(do="extend")
        await fleet.inject_fault()
        await fleet.until_settled()
        assert await fleet.leader() is leader

    fleet = run_fleet(tmp_path, "engine", 5, work, session_s=6.0)
    fleet.check_history()
    events = [entry.event for entry in fleet.process_events()]
    assert events.count("session_suspended") >= 5
    assert "process_fenced" not in events


def test_a_store_rolled_back_is_reported_once_and_generations_go_on_above(tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.until_settled()
        await fleet.inject_fault(do="snapshot")
        first = await fleet.until(fleet.leader)
        first.kill()  # generations that the snapshot does not know
        await asyncio.sleep(0.2)

        async def another_leads() -> bool:
            return (await fleet.leader()) not in (None, first)

        await fleet.until(another_leads)
        await asyncio.sleep(1.0)
        first.start()
        await fleet.until_settled()
        await fleet.inject_fault(do="restore")
        await fleet.inject_fault(away=True)
        await asyncio.sleep(0.5)
        await fleet.inject_fault()

        async def all_fenced() -> bool:
            return len(fenced_processes(fleet)) >= 3

        await fleet.until(all_fenced)
        before = max(entry.generation for entry in fleet.history() if isinstance(entry, Effect))

        async def higher_generation() -> bool:
            return any(isinstance(x, Effect) and x.generation > before for x in fleet.history())

        await fleet.until(higher_generation)
        await fleet.until_settled()

    fleet = run_fleet(tmp_path, "engine", 3, work)
    history = fleet.history()
    violations = find_fencing_violations(history) + find_duplicate_effects(history)
    assert not violations, violations[0]
    fenced = [x.process for x in fleet.process_events() if x.event == "process_fenced"]
    assert len(fenced) == len(set(fenced)), "reported in one line each"
    assert find_linearizability_violations(
        history
    ), "a store that was rolled back is not linearizable, and the checker sees it"


def fenced_processes(fleet: Fleet) -> set[str]:
    return {entry.process for entry in fleet.process_events() if entry.event == "process_fenced"}


def test_a_full_disk_of_one_process_costs_its_own_part_alone(tmp_path: Path) -> None:
    """A limit on the size of files stands for the full disk: writes of that process fail, reads go on."""

    async def work(fleet: Fleet) -> None:
        await fleet.until_settled()
        pid = fleet.actors[0].process.pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1024, resource.RLIM_INFINITY))
        await asyncio.sleep(4.0)
        assert fleet.actors[0].process.poll() is None

        async def others_go_on() -> bool:
            statuses = (await fleet.statuses())[1:]
            return all(s.get("joined") for s in statuses) and any(s["rights"] for s in statuses)

        await fleet.until(others_go_on)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        await fleet.until_settled()

    run_fleet(tmp_path, "embedded", 3, work).check_history()
