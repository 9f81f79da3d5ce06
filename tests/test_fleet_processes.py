"""Fleets of processes with injected faults, whose histories are checked afterwards."""

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


async def suspend_beyond_its_session(process: ProcessHandle) -> None:
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(3.0)
    process.send_signal(signal.SIGCONT)


async def shut_down_and_restart(process: ProcessHandle) -> None:
    process.send_signal(signal.SIGTERM)
    process.process.wait(5)
    process.start()


INTERRUPTIONS = (kill_and_restart, suspend_beyond_its_session, shut_down_and_restart)


@pytest.mark.parametrize("store", ["embedded", "engine"])
def test_effects_stay_in_order_when_processes_are_killed_suspended_or_shut_down(
    store: str, tmp_path: Path
) -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.wait_until_settled()
        if store == "engine":
            await fleet.inject_fault(lose=0.05, drop=0.05, repeat=True, cut=5, seed=3)
        for number in range(6):
            if number % 2:
                process = await fleet.wait_until(fleet.leader, 40)
            else:
                process = fleet.actors[zlib.crc32(f"{store}{number}".encode()) % len(fleet.actors)]
            await INTERRUPTIONS[number % 3](process)
            await asyncio.sleep(0.5)
        if store == "engine":
            await fleet.inject_fault()
        await fleet.wait_until_settled()

    fleet = run_fleet(tmp_path, store, 4, steps)
    history = fleet.check_history()
    assert len({entry.generation for entry in history if isinstance(entry, Effect)}) >= 3


@pytest.mark.parametrize("checks_tokens", [True, False])
def test_the_older_token_of_a_suspended_leader_gets_its_effect_rejected(
    checks_tokens: bool, tmp_path: Path
) -> None:
    """A ledger that does not check tokens applies the effect, and the checker finds the violation."""

    async def steps(fleet: Fleet) -> None:
        await fleet.wait_until_settled()
        first = await fleet.wait_until(fleet.leader)
        await asyncio.sleep(1.0)
        first.send_signal(signal.SIGSTOP)

        async def another_leader_has_effect() -> bool:
            return any(
                isinstance(entry, Effect) and not entry.holder.startswith(first.spec.name + "-")
                for entry in load_history([fleet.folder / "ledger.jsonl"])
            )

        await fleet.wait_until(another_leader_has_effect)
        first.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.5)
        await fleet.wait_until_settled()

    fleet = run_fleet(tmp_path, "embedded", 2, steps, checks_tokens=checks_tokens, effect_delay_s=0.7)
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


def test_processes_survive_a_long_outage_of_the_store_and_rejoin(tmp_path: Path) -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.wait_until_settled()
        leader = await fleet.wait_until(fleet.leader)
        await fleet.inject_fault(away=True)

        async def all_suspended() -> bool:
            return all(status and not status["joined"] for status in await fleet.statuses())

        await fleet.wait_until(all_suspended)
        await asyncio.sleep(4.0)
        assert all(actor.process.poll() is None for actor in fleet.actors)
        await fleet.inject_fault(do="extend")
        await fleet.inject_fault()
        await fleet.wait_until_settled()
        assert await fleet.leader() is leader

    fleet = run_fleet(tmp_path, "engine", 5, steps, session_s=6.0)
    fleet.check_history()
    events = [entry.event for entry in fleet.process_events()]
    assert events.count("session_suspended") >= 5
    assert "process_fenced" not in events


def test_a_rollback_of_the_store_is_logged_once_and_generations_continue_to_grow(tmp_path: Path) -> None:
    async def steps(fleet: Fleet) -> None:
        await fleet.wait_until_settled()
        await fleet.inject_fault(do="snapshot")
        first = await fleet.wait_until(fleet.leader)
        # The next leader gets a generation that the snapshot does not contain.
        first.kill()
        await asyncio.sleep(0.2)

        async def another_leads() -> bool:
            return (await fleet.leader()) not in (None, first)

        await fleet.wait_until(another_leads)
        await asyncio.sleep(1.0)
        first.start()
        await fleet.wait_until_settled()
        await fleet.inject_fault(do="restore")
        await fleet.inject_fault(away=True)
        await asyncio.sleep(0.5)
        await fleet.inject_fault()

        async def all_fenced() -> bool:
            return len(fenced_processes(fleet)) >= 3

        await fleet.wait_until(all_fenced)
        before = max(entry.generation for entry in fleet.history() if isinstance(entry, Effect))

        async def higher_generation() -> bool:
            return any(isinstance(x, Effect) and x.generation > before for x in fleet.history())

        await fleet.wait_until(higher_generation)
        await fleet.wait_until_settled()

    fleet = run_fleet(tmp_path, "engine", 3, steps)
    history = fleet.history()
    violations = find_fencing_violations(history) + find_duplicate_effects(history)
    assert not violations, violations[0]
    fenced = [x.process for x in fleet.process_events() if x.event == "process_fenced"]
    assert len(fenced) == len(set(fenced)), "a process logged process_fenced more than once"
    assert find_linearizability_violations(
        history
    ), "the checker did not detect that a store that was rolled back is not linearizable"


def fenced_processes(fleet: Fleet) -> set[str]:
    return {entry.process for entry in fleet.process_events() if entry.event == "process_fenced"}


def test_a_full_disk_affects_only_the_process_whose_writes_fail(tmp_path: Path) -> None:
    """A limit on the size of files simulates the full disk: writes of the process fail, its reads succeed."""

    async def steps(fleet: Fleet) -> None:
        await fleet.wait_until_settled()
        pid = fleet.actors[0].process.pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1024, resource.RLIM_INFINITY))
        await asyncio.sleep(4.0)
        assert fleet.actors[0].process.poll() is None

        async def others_are_working() -> bool:
            statuses = (await fleet.statuses())[1:]
            return all(s.get("joined") for s in statuses) and any(s["rights"] for s in statuses)

        await fleet.wait_until(others_are_working)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        await fleet.wait_until_settled()

    run_fleet(tmp_path, "embedded", 3, steps).check_history()
