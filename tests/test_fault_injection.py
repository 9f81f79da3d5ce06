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
from gradehoist.migration.records import load_migrations
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import feed, http
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.settings.fleet import CellPlacement
from gradehoist.settings.fleet_parser import read_settings
from gradehoist.testbed.clients import ClientProcess
from gradehoist.testbed.proxy_process import ProxyProcess
from tests.support.governed_fleet import make_endpoint
from tests.support.governor_process import (
    DRAIN_GRACE_S,
    LOOPBACK,
    REPOSITORY,
    FakeEndpointList,
    FakeProxy,
    GovernorProcess,
    run_async,
    run_fleet,
    wait_until,
    write_settings,
)


def test_a_planner_that_hangs_ends_the_governor_before_a_drain_is_late(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, (relay,)):
            planner = (await governor.status())["planner_pid"]
            os.kill(planner, signal.SIGSTOP)
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(
                lambda: not relay.is_joined or not relay.sends_to("w1"), DRAIN_GRACE_S
            ), "a late drain"
            assert await governor.wait_for_exit(3) == 1 and "policy process" in governor.log_path.read_text()
            assert not psutil.pid_exists(planner)

    run_async(work)


def test_a_log_that_nobody_reads_holds_up_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        ours, theirs = os.pipe()
        fcntl.fcntl(theirs, fcntl.F_SETPIPE_SZ, 4096)
        async with run_fleet(tmp_path, stderr=theirs) as (roster, governor, (relay,)):
            os.close(theirs)
            for n in range(40):  # lines enough to fill the pipe
                roster.publish(make_endpoint(3, ("ready", "draining")[n % 2], n // 2 + 1))
                await asyncio.sleep(0.05)
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(
                lambda: not relay.sends_to("w1"), DRAIN_GRACE_S
            ), "stands still behind its log"
            os.close(ours)  # and the reader is gone
            roster.publish(make_endpoint(2, "draining"))
            assert await wait_until(lambda: not relay.sends_to("w2"), DRAIN_GRACE_S), "died with its log"
            assert governor.process.poll() is None
            governor.process.terminate()
            assert await governor.wait_for_exit(5) == 0

    run_async(work)


def test_a_full_disk_costs_the_log_and_the_saved_list_but_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path, resource_limits=((resource.RLIMIT_FSIZE, 1500),)) as (
            roster,
            governor,
            (relay,),
        ):
            for n in range(12):
                roster.publish(make_endpoint(3, ("ready", "draining")[n % 2], n // 2 + 1))
                await asyncio.sleep(0.05)
            assert governor.log_path.stat().st_size == 1500
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not relay.sends_to("w1"), DRAIN_GRACE_S)
            assert governor.process.poll() is None

    run_async(work)


def test_a_shortage_of_files_neither_ends_the_governor_nor_keeps_it_busy(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path, resource_limits=((resource.RLIMIT_NOFILE, 40),)) as (
            roster,
            governor,
            (relay,),
        ):
            held = [await asyncio.open_connection(LOOPBACK, governor.port) for _ in range(80)]
            roster.server.abort()  # its call has to dial anew while there is no file left
            process = psutil.Process(governor.process.pid)
            before = sum(process.cpu_times()[:2])
            await asyncio.sleep(2.0)
            assert governor.process.poll() is None, governor.log_path.read_text()[-500:]
            assert sum(process.cpu_times()[:2]) - before < 1.0, "spins"
            for _, writer in held:
                writer.close()
            roster.server.listen(roster.port, LOOPBACK)
            await asyncio.sleep(0.5)
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not relay.sends_to("w1"), 5.0)

    run_async(work)


def test_one_entry_that_the_settings_do_not_know_hides_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, (relay,)):
            roster.put(make_endpoint(7), zone="a-new-hall")
            roster.put(make_endpoint(8), phase="starting")
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(
                lambda: not relay.sends_to("w1"), DRAIN_GRACE_S
            ), governor.log_path.read_text()[-300:]
            assert "a-new-hall" in governor.log_path.read_text()
            assert not relay.sends_to("w8") and relay.sends_to("w0")

    run_async(work)


@pytest.mark.parametrize("how", ["empty", "older"])
def test_a_roster_that_lost_its_memory_takes_no_replica_away_and_gives_none_back(
    tmp_path: Path, how: str
) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, (relay,)):
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not relay.sends_to("w1"), DRAIN_GRACE_S)
            kept = dict(roster.records)
            if how == "empty":
                roster.incarnation, roster.records = "anew", {}
            else:  # the same life, from a copy that is behind
                roster.version -= 2
                roster.put(make_endpoint(1))
            roster.answer_held_requests()
            await asyncio.sleep(1.5)
            assert relay.sends_to("w0") and not relay.sends_to("w1"), governor.log_path.read_text()[-300:]
            assert "endpoint_list_request_failed" in governor.log_path.read_text()
            roster.version, roster.records = roster.version + 5, kept
            roster.publish(make_endpoint(2, "draining"))
            assert await wait_until(lambda: not relay.sends_to("w2"), 4.0)

    run_async(work)


def test_a_relay_that_never_confirms_holds_up_no_other(tmp_path: Path) -> None:
    async def work() -> None:
        change = (("queue-limit=2000", "queue-limit=150"),)
        async with run_fleet(tmp_path, 2, change) as (roster, governor, (good, _)):
            deaf = FakeProxy(governor.port, "deaf", withholds_acknowledgements=True)
            assert await wait_until(lambda: deaf.state.is_bound, 10)
            for n in range(16):
                roster.publish(make_endpoint(1, ("draining", "ready")[n % 2], n // 2 + 2))
                await asyncio.sleep(0.6)
            assert await wait_until(lambda: good.sends_to("w1"), 6.0), "no replica returns any more"
            roster.publish(make_endpoint(2, "draining"))
            assert await wait_until(lambda: not good.sends_to("w2"), DRAIN_GRACE_S)
            assert "acknowledges nothing" in governor.log_path.read_text()
            deaf.task.cancel()

    run_async(work)


def test_an_address_that_is_none_costs_that_worker_s_lease_alone(tmp_path: Path) -> None:
    async def work() -> None:
        placed = CellPlacement(("c0",), {f"w{n}": "c0" for n in range(4)})
        (tmp_path / "p.json").write_bytes(msgspec.json.encode(placed))
        change = (("    reports", '    cells placement="p.json"\n    reports'),)
        async with run_fleet(tmp_path, 0, change) as (roster, governor, _):
            for n, address in enumerate(("127.0.0.1:99999", "worker.example:80", "nothing", "1.2.3.4:-1")):
                roster.put(make_endpoint(n), address=address)
            roster.publish()
            await asyncio.sleep(2.5)
            assert governor.process.poll() is None, governor.log_path.read_text()[-300:]
            governor.process.terminate()
            assert await governor.wait_for_exit(5) == 0

    run_async(work)


def test_a_slow_disk_holds_up_no_drain(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    async def work() -> None:
        roster = FakeEndpointList()
        (port,) = find_free_ports(1)
        found = read_settings(write_settings(tmp_path, roster.port, port))
        service = GovernorService(found.fleet, found.governors[0])
        running = asyncio.ensure_future(service.run())
        assert await wait_until(lambda: not service.core.endpoint_list.is_stale, 10)
        relay = FakeProxy(port, "r0")
        assert await wait_until(lambda: relay.state.is_bound, 10)
        monkeypatch.setattr(os, "fsync", lambda _: time.sleep(3 * DRAIN_GRACE_S))
        roster.publish(make_endpoint(1, "draining"))
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        assert await wait_until(lambda: not relay.sends_to("w1"), DRAIN_GRACE_S)
        assert asyncio.get_running_loop().time() - began < DRAIN_GRACE_S, "waited for the disk"
        relay.task.cancel()
        service.stop()
        await running
        roster.server.abort()

    run_async(work)


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
        roster, server, (port, worker) = FakeEndpointList(), HttpServer(hang), find_free_ports(2)
        server.listen(worker, LOOPBACK)
        for n in range(4):
            roster.put(make_endpoint(n), address=f"{LOOPBACK}:{worker}")
        found = read_settings(write_settings(tmp_path, roster.port, port, change))
        service = GovernorService(found.fleet, found.governors[0])
        running = asyncio.ensure_future(service.run())
        assert await wait_until(lambda: not service.core.endpoint_list.is_stale, 10)
        await asyncio.sleep(1.2)
        pending = sum("ReplicaLeases.renew" in repr(task) for task in service._tasks)
        service.stop()
        assert await running == 0 and pending <= 4 and 2 <= len(asked) <= 16, (pending, len(asked))
        server.abort()
        roster.server.abort()

    run_async(work)


def test_two_governors_never_share_one_state(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, _):
            (port,) = find_free_ports(1)
            path = tmp_path / "s.kdl"
            text = (
                path.read_text()
                .replace(str(governor.port), str(port))
                .replace('governor "a"', 'governor "b"')
                .replace("listen=", 'state="var/a" listen=')
            )
            path.write_text(text)
            second = GovernorProcess(path, port, "b")
            code = await second.wait_for_exit(10)
            second.kill()
            assert code == 2
            said = second.log_path.read_text()
            assert f"pid {governor.process.pid}" in said and "state" in said and len(said.splitlines()) == 1

    run_async(work)


def test_a_state_that_cannot_be_read_is_named_as_such(tmp_path: Path) -> None:
    (tmp_path / "var").mkdir()
    (tmp_path / "var" / "a").write_text("a file where the folder should be")
    one, two = find_free_ports(2)
    governor = GovernorProcess(write_settings(tmp_path, one, two), two)
    assert governor.process.wait(20) == 2
    assert "> state: " in governor.log_path.read_text() and "address" not in governor.log_path.read_text()


@pytest.mark.parametrize("stage", ["at work", "twice", "planner stopped", "kill"])
def test_the_end_of_a_governor_at_each_stage(tmp_path: Path, stage: str) -> None:
    """As a supervisor ends it: the signal goes to every process of its group, the planner's as well."""

    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, (relay,)):
            planner = (await governor.status())["planner_pid"]
            os.kill(planner, signal.SIGTERM)  # it went first, and the governor called that a failed module
            await asyncio.sleep(0.3)
            assert governor.process.poll() is None
            if stage == "planner stopped":
                os.kill(planner, signal.SIGSTOP)
            os.killpg(governor.process.pid, signal.SIGKILL if stage == "kill" else signal.SIGTERM)
            if stage == "twice":
                os.killpg(governor.process.pid, signal.SIGTERM)
            assert await governor.wait_for_exit(5) == (-signal.SIGKILL if stage == "kill" else 0)
            assert await wait_until(lambda: not psutil.pid_exists(planner), 3), "a planner is left behind"
            assert await wait_until(lambda: not relay.is_joined, 3) and relay.sends_to("w1")  # it stands
            again = GovernorProcess(tmp_path / "s.kdl", governor.port)
            try:
                found = await again.wait_until_serving()
                assert await wait_until(lambda: relay.epoch == found["epoch"] and relay.state.is_bound, 5)
                assert not [x.name for x in (tmp_path / "var" / "a").iterdir() if x.suffix == ".part"]
            finally:
                again.kill()

    run_async(work)


def test_a_roster_that_holds_no_call_is_not_hammered(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, _):
            roster.holds_requests, roster.request_count = False, 0
            roster.answer_held_requests()
            await asyncio.sleep(2.0)
            assert roster.request_count <= 50

    run_async(work)


def test_a_move_whose_disk_is_full_says_so_and_keeps_whole_records(tmp_path: Path) -> None:
    placed = CellPlacement(("c0", "c1"), {f"w{n}": f"c{n % 2}" for n in range(4)}, {"inn": "c0"})
    (tmp_path / "p.json").write_bytes(msgspec.json.encode(placed))
    change = (("    reports", '    cells placement="p.json"\n    reports'),)
    one, two = find_free_ports(2)
    path, store = write_settings(tmp_path, one, two, change), tmp_path / "moves"
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
            cwd=REPOSITORY,
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
        async with run_fleet(tmp_path, 3) as (roster, governor, some):
            for n in range(60):
                await governor.client.request("GET", f"/v1/feed?relay=made-up-{n}&zone=x")
            assert (await governor.status())["relays"] <= 4
            roster.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not any(r.sends_to("w1") for r in some), DRAIN_GRACE_S)

    run_async(work)


def test_a_governor_that_stood_still_tells_of_a_drain_within_the_grace_of_its_return(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (roster, governor, (relay,)):
            epoch = relay.epoch
            os.kill(governor.process.pid, signal.SIGSTOP)
            roster.publish(make_endpoint(1, "draining"))
            await asyncio.sleep(8.0)  # longer than hold and silence: every stream looks silent
            assert relay.sends_to("w0")  # it stands on what it holds
            os.kill(governor.process.pid, signal.SIGCONT)
            assert await wait_until(
                lambda: relay.is_joined and not relay.sends_to("w1"), DRAIN_GRACE_S
            ), "told too late"
            assert await wait_until(lambda: relay.state.is_bound and relay.sends_to("w0"), 5)
            assert governor.process.poll() is None and relay.epoch == epoch

    run_async(work)


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
    plan = build_plan(read_scenario(REPOSITORY / "scenarios" / "short.kdl"), 1)
    came: list[str] = []

    async def answer(request: http.Request, connection: Connection) -> ServerResponse | None:
        came.append(http.get_header(request.headers, "x-transaction") or "")
        return ServerResponse(503, b"", (("x-never-ran", "1"),)) if meets == "proof" else None

    async def work() -> None:
        relay = next(iter(ProxyProcess(plan, "relays-hall-a", tmp_path).proxies.values()))
        server, ports = HttpServer(answer), find_free_ports(2)
        for port in ports:
            server.listen(port, LOOPBACK)
        names = [r.name for r in plan.replicas[:2]]
        relay.sender.replica_ports = dict(zip(names, ports, strict=True))
        cls = next(c for c in plan.classes if c.idempotency == repeat)
        relay.state.apply(
            feed.Message(1, 1, 0, 1, (feed.BindDelta(1, (cls.name,), dict.fromkeys(names, 1.0)),))
        )
        relay.server = HttpServer(relay.handle)
        relay.server.listen(relay.plan.port, LOOPBACK)
        clients = ClientProcess(plan, "clients", tmp_path)
        await clients._send_request("c1", relay.plan.name, cls, 5.0, "")
        assert plan.retries >= 1 and len(came) == arrive(plan.retries), came
        relay.stop()
        server.abort()

    run_async(work)
