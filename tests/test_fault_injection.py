"""The ten worst ways to fail, brought about on the real program; `docs/oncall.md` has a line for each."""

from __future__ import annotations

import asyncio
import fcntl
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import psutil
import pytest

from gradehoist.governor.service import GovernorService
from gradehoist.migration.runner import load_migrations
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import feed, http
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.settings.fleet import CellPlacement, read_settings
from gradehoist.testbed.clients import Clients
from gradehoist.testbed.proxy import Relays
from tests.support.governed_fleet import entry
from tests.support.governor_process import (
    GRACE,
    LOCAL,
    ROOT,
    Governor,
    Relay,
    Roster,
    fleet,
    play,
    settings,
    until,
)


def test_a_planner_that_hangs_ends_the_governor_before_a_drain_is_late(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, (relay,)):
            planner = (await governor.status())["planner_pid"]
            os.kill(planner, signal.SIGSTOP)
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.joined or not relay.sends_to("w1"), GRACE), "a late drain"
            assert await governor.ended(3) == 1 and "policy process" in governor.log.read_text()
            assert not psutil.pid_exists(planner)

    play(work)


def test_a_log_that_nobody_reads_holds_up_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        ours, theirs = os.pipe()
        fcntl.fcntl(theirs, fcntl.F_SETPIPE_SZ, 4096)
        async with fleet(tmp_path, log=theirs) as (roster, governor, (relay,)):
            os.close(theirs)
            for n in range(40):  # lines enough to fill the pipe
                roster.list(entry(3, ("ready", "draining")[n % 2], n // 2 + 1))
                await asyncio.sleep(0.05)
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.sends_to("w1"), GRACE), "stands still behind its log"
            os.close(ours)  # and the reader is gone
            roster.list(entry(2, "draining"))
            assert await until(lambda: not relay.sends_to("w2"), GRACE), "died with its log"
            assert governor.process.poll() is None
            governor.process.terminate()
            assert await governor.ended(5) == 0

    play(work)


def test_a_full_disk_costs_the_log_and_the_saved_list_but_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, limits=((resource.RLIMIT_FSIZE, 1500),)) as (roster, governor, (relay,)):
            for n in range(12):
                roster.list(entry(3, ("ready", "draining")[n % 2], n // 2 + 1))
                await asyncio.sleep(0.05)
            assert governor.log.stat().st_size == 1500
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.sends_to("w1"), GRACE)
            assert governor.process.poll() is None

    play(work)


def test_a_shortage_of_files_neither_ends_the_governor_nor_keeps_it_busy(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, limits=((resource.RLIMIT_NOFILE, 40),)) as (roster, governor, (relay,)):
            held = [await asyncio.open_connection(LOCAL, governor.port) for _ in range(80)]
            roster.server.abort()  # its call has to dial anew while there is no file left
            process = psutil.Process(governor.process.pid)
            before = sum(process.cpu_times()[:2])
            await asyncio.sleep(2.0)
            assert governor.process.poll() is None, governor.log.read_text()[-500:]
            assert sum(process.cpu_times()[:2]) - before < 1.0, "spins"
            for _, writer in held:
                writer.close()
            roster.server.listen(roster.port, LOCAL)
            await asyncio.sleep(0.5)
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.sends_to("w1"), 5.0)

    play(work)


def test_one_entry_that_the_settings_do_not_know_hides_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, (relay,)):
            roster.put(entry(7), zone="a-new-hall")
            roster.put(entry(8), phase="starting")
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.sends_to("w1"), GRACE), governor.log.read_text()[-300:]
            assert "a-new-hall" in governor.log.read_text()
            assert not relay.sends_to("w8") and relay.sends_to("w0")

    play(work)


@pytest.mark.parametrize("how", ["empty", "older"])
def test_a_roster_that_lost_its_memory_takes_no_replica_away_and_gives_none_back(
    tmp_path: Path, how: str
) -> None:
    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, (relay,)):
            roster.list(entry(1, "draining"))
            assert await until(lambda: not relay.sends_to("w1"), GRACE)
            kept = dict(roster.entries)
            if how == "empty":
                roster.life, roster.entries = "anew", {}
            else:  # the same life, from a copy that is behind
                roster.version -= 2
                roster.put(entry(1))
            roster.wake()
            await asyncio.sleep(1.5)
            assert relay.sends_to("w0") and not relay.sends_to("w1"), governor.log.read_text()[-300:]
            assert "endpoint_list_request_failed" in governor.log.read_text()
            roster.version, roster.entries = roster.version + 5, kept
            roster.list(entry(2, "draining"))
            assert await until(lambda: not relay.sends_to("w2"), 4.0)

    play(work)


def test_a_relay_that_never_confirms_holds_up_no_other(tmp_path: Path) -> None:
    async def work() -> None:
        change = (("queue-limit=2000", "queue-limit=150"),)
        async with fleet(tmp_path, 2, change) as (roster, governor, (good, _)):
            deaf = Relay(governor.port, "deaf", deaf=True)
            assert await until(lambda: deaf.holdings.is_bound, 10)
            for n in range(16):
                roster.list(entry(1, ("draining", "ready")[n % 2], n // 2 + 2))
                await asyncio.sleep(0.6)
            assert await until(lambda: good.sends_to("w1"), 6.0), "no replica returns any more"
            roster.list(entry(2, "draining"))
            assert await until(lambda: not good.sends_to("w2"), GRACE)
            assert "acknowledges nothing" in governor.log.read_text()
            deaf.task.cancel()

    play(work)


def test_an_address_that_is_none_costs_that_worker_s_lease_alone(tmp_path: Path) -> None:
    async def work() -> None:
        placed = CellPlacement(("c0",), {f"w{n}": "c0" for n in range(4)})
        (tmp_path / "p.json").write_bytes(msgspec.json.encode(placed))
        change = (("    reports", '    cells placement="p.json"\n    reports'),)
        async with fleet(tmp_path, 0, change) as (roster, governor, _):
            for n, address in enumerate(("127.0.0.1:99999", "worker.example:80", "nothing", "1.2.3.4:-1")):
                roster.put(entry(n), address=address)
            roster.list()
            await asyncio.sleep(2.5)
            assert governor.process.poll() is None, governor.log.read_text()[-300:]
            governor.process.terminate()
            assert await governor.ended(5) == 0

    play(work)


def test_a_slow_disk_holds_up_no_drain(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    async def work() -> None:
        roster = Roster()
        (port,) = find_free_ports(1)
        found = read_settings(settings(tmp_path, roster.port, port))
        service = GovernorService(found.fleet, found.governors[0])
        running = asyncio.ensure_future(service.run())
        assert await until(lambda: not service.core.endpoint_list.is_stale, 10)
        relay = Relay(port, "r0")
        assert await until(lambda: relay.holdings.is_bound, 10)
        monkeypatch.setattr(os, "fsync", lambda _: time.sleep(3 * GRACE))
        roster.list(entry(1, "draining"))
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        assert await until(lambda: not relay.sends_to("w1"), GRACE)
        assert asyncio.get_running_loop().time() - began < GRACE, "waited for the disk"
        relay.task.cancel()
        service.stop()
        await running
        roster.server.abort()

    play(work)


def test_leases_to_a_worker_that_hangs_do_not_pile_up(tmp_path: Path) -> None:
    asked: list[str] = []

    async def hang(request: http.Request, connection: Connection) -> ServerResponse | None:
        asked.append(request.target)
        await connection.closed.wait()
        return None

    async def work() -> None:
        placed = CellPlacement(("c0",), {f"w{n}": "c0" for n in range(4)})
        (tmp_path / "p.json").write_bytes(msgspec.json.encode(placed))
        change = (("    reports", '    cells placement="p.json" lease="30ms"\n    reports'),)
        roster, server, (port, worker) = Roster(), HttpServer(hang), find_free_ports(2)
        server.listen(worker, LOCAL)
        for n in range(4):
            roster.put(entry(n), address=f"{LOCAL}:{worker}")
        found = read_settings(settings(tmp_path, roster.port, port, change))
        service = GovernorService(found.fleet, found.governors[0])
        running = asyncio.ensure_future(service.run())
        assert await until(lambda: not service.core.endpoint_list.is_stale, 10)
        await asyncio.sleep(1.2)
        pending = sum("ReplicaLeases.renew" in repr(task) for task in service._tasks)
        service.stop()
        assert await running == 0 and pending <= 4 and 2 <= len(asked) <= 16, (pending, len(asked))
        server.abort()
        roster.server.abort()

    play(work)


def test_two_governors_never_share_one_state(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, _):
            (port,) = find_free_ports(1)
            path = tmp_path / "s.kdl"
            text = (
                path.read_text()
                .replace(str(governor.port), str(port))
                .replace('governor "a"', 'governor "b"')
                .replace("listen=", 'state="var/a" listen=')
            )
            path.write_text(text)
            second = Governor(path, port, "b")
            code = await second.ended(10)
            second.kill()
            assert code == 2
            said = second.log.read_text()
            assert f"pid {governor.process.pid}" in said and "state" in said and len(said.splitlines()) == 1

    play(work)


def test_a_state_that_cannot_be_read_is_named_as_such(tmp_path: Path) -> None:
    (tmp_path / "var").mkdir()
    (tmp_path / "var" / "a").write_text("a file where the folder should be")
    one, two = find_free_ports(2)
    governor = Governor(settings(tmp_path, one, two), two)
    assert governor.process.wait(20) == 2
    assert "> state: " in governor.log.read_text() and "address" not in governor.log.read_text()


@pytest.mark.parametrize("stage", ["at work", "twice", "planner stopped", "kill"])
def test_the_end_of_a_governor_at_each_stage(tmp_path: Path, stage: str) -> None:
    """As a supervisor ends it: the signal goes to every process of its group, the planner's as well."""

    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, (relay,)):
            planner = (await governor.status())["planner_pid"]
            os.kill(planner, signal.SIGTERM)  # it went first, and the governor called that a failed module
            await asyncio.sleep(0.3)
            assert governor.process.poll() is None
            if stage == "planner stopped":
                os.kill(planner, signal.SIGSTOP)
            os.killpg(governor.process.pid, signal.SIGKILL if stage == "kill" else signal.SIGTERM)
            if stage == "twice":
                os.killpg(governor.process.pid, signal.SIGTERM)
            assert await governor.ended(5) == (-signal.SIGKILL if stage == "kill" else 0)
            assert await until(lambda: not psutil.pid_exists(planner), 3), "a planner is left behind"
            assert await until(lambda: not relay.joined, 3) and relay.sends_to("w1")  # it stands
            again = Governor(tmp_path / "s.kdl", governor.port)
            try:
                found = await again.up()
                assert await until(lambda: relay.epoch == found["epoch"] and relay.holdings.is_bound, 5)
                assert not [x.name for x in (tmp_path / "var" / "a").iterdir() if x.suffix == ".part"]
            finally:
                again.kill()

    play(work)


def test_a_roster_that_holds_no_call_is_not_hammered(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, _):
            roster.hold, roster.calls = False, 0
            roster.wake()
            await asyncio.sleep(2.0)
            assert roster.calls <= 50

    play(work)


def test_a_move_whose_disk_is_full_says_so_and_keeps_whole_records(tmp_path: Path) -> None:
    placed = CellPlacement(("c0", "c1"), {f"w{n}": f"c{n % 2}" for n in range(4)}, {"inn": "c0"})
    (tmp_path / "p.json").write_bytes(msgspec.json.encode(placed))
    change = (("    reports", '    cells placement="p.json"\n    reports'),)
    one, two = find_free_ports(2)
    path, store = settings(tmp_path, one, two, change), tmp_path / "moves"
    for where, most in (tmp_path / "p.json" / "x", 10**6), (store, 100):  # no folder; no room for a record

        def limit(most: int = most) -> None:
            resource.setrlimit(resource.RLIMIT_FSIZE, (most, most))

        ended = subprocess.run(
            [
                sys.executable,
                "-m",
                "gradehoist",
                "cells",
                "move",
                str(path),
                "inn",
                "--to",
                "c1",
                "--store",
                str(where),
            ],
            cwd=ROOT,
            capture_output=True,
            timeout=30,
            preexec_fn=limit,
        )
        said = ended.stderr.decode()
        assert ended.returncode == 2 and "Traceback" not in said and "run it again" in said, said
        assert len(said.splitlines()) == 1
    assert not list(store.glob("*.move")) and load_migrations(store) == []


def test_relays_beyond_the_settings_are_turned_away_and_the_others_served(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path, 3) as (roster, governor, some):
            for n in range(60):
                await governor.client.request("GET", f"/v1/feed?relay=made-up-{n}&zone=x")
            assert (await governor.status())["relays"] <= 4
            roster.list(entry(1, "draining"))
            assert await until(lambda: not any(r.sends_to("w1") for r in some), GRACE)

    play(work)


def test_a_governor_that_stood_still_tells_of_a_drain_within_the_grace_of_its_return(tmp_path: Path) -> None:
    async def work() -> None:
        async with fleet(tmp_path) as (roster, governor, (relay,)):
            epoch = relay.epoch
            os.kill(governor.process.pid, signal.SIGSTOP)
            roster.list(entry(1, "draining"))
            await asyncio.sleep(8.0)  # longer than hold and silence: every stream looks silent
            assert relay.sends_to("w0")  # it stands on what it holds
            os.kill(governor.process.pid, signal.SIGCONT)
            assert await until(lambda: relay.joined and not relay.sends_to("w1"), GRACE), "told too late"
            assert await until(lambda: relay.holdings.is_bound and relay.sends_to("w0"), 5)
            assert governor.process.poll() is None and relay.epoch == epoch

    play(work)


# By class and by what meets a try: tries that arrive for one transaction, with two lines in the table.
# A relay tries a second time on proof alone; clients send again what is free, or was refused with proof.
@pytest.mark.parametrize(
    ("repeat", "meets", "arrive"),
    [
        ("free", "proof", lambda retries: 2 * (1 + retries)),
        ("free", "cut", lambda retries: 1 + retries),
        ("single", "proof", lambda retries: 2),
        ("single", "cut", lambda retries: 1),
    ],
)
def test_retries_of_all_layers_together_are_those_of_the_table(
    tmp_path: Path, repeat: str, meets: str, arrive: Callable[[int], int]
) -> None:
    plan = build_plan(read_scenario(ROOT / "scenarios" / "short.kdl"), 1)
    came: list[str] = []

    async def answer(request: http.Request, connection: Connection) -> ServerResponse | None:
        came.append(http.get_header(request.headers, "x-transaction") or "")
        return ServerResponse(503, b"", (("x-never-ran", "1"),)) if meets == "proof" else None

    async def work() -> None:
        relay = next(iter(Relays(plan, "relays-hall-a", tmp_path).all.values()))
        server, ports = HttpServer(answer), find_free_ports(2)
        for port in ports:
            server.listen(port, LOCAL)
        names = [r.name for r in plan.replicas[:2]]
        relay.via = dict(zip(names, ports, strict=True))
        cls = next(c for c in plan.classes if c.repeat == repeat)
        relay.holdings.apply(
            feed.Message(1, 1, 0, 1, (feed.BindDelta(1, (cls.name,), dict.fromkeys(names, 1.0)),))
        )
        relay.server = HttpServer(relay.handle)
        relay.server.listen(relay.plan.port, LOCAL)
        clients = Clients(plan, "clients", tmp_path)
        await clients._one("c1", relay.plan.name, cls, 5.0, "")
        assert plan.retries >= 1 and len(came) == arrive(plan.retries), came
        relay.die()
        server.abort()

    play(work)
