"""The ten worst faults and others, injected into the real program.

`docs/oncall.md` has an entry for each of the ten.
"""

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


def test_a_hanging_policy_process_ends_the_governor_before_a_drain_is_late(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, (proxy,)):
            policy_process_id = (await governor.status())["planner_pid"]
            os.kill(policy_process_id, signal.SIGSTOP)
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(
                lambda: not proxy.is_joined or not proxy.sends_to("w1"), DRAIN_GRACE_S
            ), "the drain is late"
            assert await governor.wait_for_exit(3) == 1 and "policy process" in governor.log_path.read_text()
            assert not psutil.pid_exists(policy_process_id)

    run_async(work)


def test_a_log_that_nobody_reads_delays_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        read_end, write_end = os.pipe()
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
        async with run_fleet(tmp_path, stderr=write_end) as (endpoint_list, governor, (proxy,)):
            os.close(write_end)
            for n in range(40):  # enough log lines to fill the pipe
                endpoint_list.publish(make_endpoint(3, ("ready", "draining")[n % 2], n // 2 + 1))
                await asyncio.sleep(0.05)
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(
                lambda: not proxy.sends_to("w1"), DRAIN_GRACE_S
            ), "the governor is blocked by its log"
            os.close(read_end)
            endpoint_list.publish(make_endpoint(2, "draining"))
            assert await wait_until(
                lambda: not proxy.sends_to("w2"), DRAIN_GRACE_S
            ), "the governor ended with the reader of its log"
            assert governor.process.poll() is None
            governor.process.terminate()
            assert await governor.wait_for_exit(5) == 0

    run_async(work)


def test_a_full_disk_stops_the_log_and_the_cached_list_but_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path, resource_limits=((resource.RLIMIT_FSIZE, 1500),)) as (
            endpoint_list,
            governor,
            (proxy,),
        ):
            for n in range(12):
                endpoint_list.publish(make_endpoint(3, ("ready", "draining")[n % 2], n // 2 + 1))
                await asyncio.sleep(0.05)
            assert governor.log_path.stat().st_size == 1500
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not proxy.sends_to("w1"), DRAIN_GRACE_S)
            assert governor.process.poll() is None

    run_async(work)


def test_a_shortage_of_file_descriptors_neither_ends_the_governor_nor_makes_it_spin(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path, resource_limits=((resource.RLIMIT_NOFILE, 40),)) as (
            endpoint_list,
            governor,
            (proxy,),
        ):
            connections = [await asyncio.open_connection(LOOPBACK, governor.port) for _ in range(80)]
            endpoint_list.server.abort()  # the governor has to reconnect while no file descriptor is free
            process = psutil.Process(governor.process.pid)
            cpu_before_s = sum(process.cpu_times()[:2])
            await asyncio.sleep(2.0)
            assert governor.process.poll() is None, governor.log_path.read_text()[-500:]
            assert sum(process.cpu_times()[:2]) - cpu_before_s < 1.0, "the governor spins"
            for _, writer in connections:
                writer.close()
            endpoint_list.server.listen(endpoint_list.port, LOOPBACK)
            await asyncio.sleep(0.5)
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not proxy.sends_to("w1"), 5.0)

    run_async(work)


def test_an_endpoint_record_that_does_not_match_the_settings_hides_no_drain(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, (proxy,)):
            endpoint_list.put(make_endpoint(7), zone="a-new-hall")
            endpoint_list.put(make_endpoint(8), phase="starting")
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(
                lambda: not proxy.sends_to("w1"), DRAIN_GRACE_S
            ), governor.log_path.read_text()[-300:]
            assert "a-new-hall" in governor.log_path.read_text()
            assert not proxy.sends_to("w8") and proxy.sends_to("w0")

    run_async(work)


@pytest.mark.parametrize("how", ["empty", "older"])
def test_an_endpoint_list_that_lost_its_state_removes_no_replica_and_restores_none(
    tmp_path: Path, how: str
) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, (proxy,)):
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not proxy.sends_to("w1"), DRAIN_GRACE_S)
            saved_records = dict(endpoint_list.records)
            if how == "empty":
                endpoint_list.incarnation, endpoint_list.records = "anew", {}
            else:  # the same incarnation, from a lagging copy
                endpoint_list.version -= 2
                endpoint_list.put(make_endpoint(1))
            endpoint_list.answer_held_requests()
            await asyncio.sleep(1.5)
            assert proxy.sends_to("w0") and not proxy.sends_to("w1"), governor.log_path.read_text()[-300:]
            assert "endpoint_list_request_failed" in governor.log_path.read_text()
            endpoint_list.version, endpoint_list.records = endpoint_list.version + 5, saved_records
            endpoint_list.publish(make_endpoint(2, "draining"))
            assert await wait_until(lambda: not proxy.sends_to("w2"), 4.0)

    run_async(work)


def test_a_proxy_that_never_acknowledges_delays_no_other(tmp_path: Path) -> None:
    async def work() -> None:
        replacements = (("queue-limit=2000", "queue-limit=150"),)
        async with run_fleet(tmp_path, 2, replacements) as (
            endpoint_list,
            governor,
            (acknowledging_proxy, _),
        ):
            silent_proxy = FakeProxy(governor.port, "silent", withholds_acknowledgements=True)
            assert await wait_until(lambda: silent_proxy.state.is_bound, 10)
            for n in range(16):
                endpoint_list.publish(make_endpoint(1, ("draining", "ready")[n % 2], n // 2 + 2))
                await asyncio.sleep(0.6)
            assert await wait_until(
                lambda: acknowledging_proxy.sends_to("w1"), 6.0
            ), "the replica is not restored"
            endpoint_list.publish(make_endpoint(2, "draining"))
            assert await wait_until(lambda: not acknowledging_proxy.sends_to("w2"), DRAIN_GRACE_S)
            assert "acknowledges nothing" in governor.log_path.read_text()
            silent_proxy.task.cancel()

    run_async(work)


def test_a_malformed_replica_address_affects_only_the_lease_of_that_replica(tmp_path: Path) -> None:
    async def work() -> None:
        placement = CellPlacement(("c0",), {f"w{n}": "c0" for n in range(4)})
        (tmp_path / "p.json").write_bytes(msgspec.json.encode(placement))
        replacements = (("    reports", '    cells placement="p.json"\n    reports'),)
        async with run_fleet(tmp_path, 0, replacements) as (endpoint_list, governor, _):
            for n, address in enumerate(("127.0.0.1:99999", "worker.example:80", "nothing", "1.2.3.4:-1")):
                endpoint_list.put(make_endpoint(n), address=address)
            endpoint_list.publish()
            await asyncio.sleep(2.5)
            assert governor.process.poll() is None, governor.log_path.read_text()[-300:]
            governor.process.terminate()
            assert await governor.wait_for_exit(5) == 0

    run_async(work)


def test_a_slow_disk_delays_no_drain(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    async def work() -> None:
        endpoint_list = FakeEndpointList()
        (port,) = find_free_ports(1)
        settings = read_settings(write_settings(tmp_path, endpoint_list.port, port))
        service = GovernorService(settings.fleet, settings.governors[0])
        running = asyncio.ensure_future(service.run())
        assert await wait_until(lambda: not service.core.endpoint_list.is_stale, 10)
        proxy = FakeProxy(port, "r0")
        assert await wait_until(lambda: proxy.state.is_bound, 10)
        monkeypatch.setattr(os, "fsync", lambda _: time.sleep(3 * DRAIN_GRACE_S))
        endpoint_list.publish(make_endpoint(1, "draining"))
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        assert await wait_until(lambda: not proxy.sends_to("w1"), DRAIN_GRACE_S)
        assert asyncio.get_running_loop().time() - began < DRAIN_GRACE_S, "the drain waited for the disk"
        proxy.task.cancel()
        service.stop()
        await running
        endpoint_list.server.abort()

    run_async(work)


def test_heartbeats_to_a_hanging_replica_do_not_accumulate(tmp_path: Path) -> None:
    requests: list[str] = []

    async def hang(request: http.Request, connection: Connection) -> ServerResponse | None:
        requests.append(request.target)
        await connection.closed.wait()
        return None

    async def work() -> None:
        placement = CellPlacement(("c0",), {f"w{n}": "c0" for n in range(4)})
        (tmp_path / "p.json").write_bytes(msgspec.json.encode(placement))
        replacements = (("    reports", '    cells placement="p.json" lease="30ms"\n    reports'),)
        endpoint_list, server, (port, replica_port) = FakeEndpointList(), HttpServer(hang), find_free_ports(2)
        server.listen(replica_port, LOOPBACK)
        for n in range(4):
            endpoint_list.put(make_endpoint(n), address=f"{LOOPBACK}:{replica_port}")
        settings = read_settings(write_settings(tmp_path, endpoint_list.port, port, replacements))
        service = GovernorService(settings.fleet, settings.governors[0])
        running = asyncio.ensure_future(service.run())
        assert await wait_until(lambda: not service.core.endpoint_list.is_stale, 10)
        await asyncio.sleep(1.2)
        pending = sum("ReplicaLeases.renew" in repr(task) for task in service._tasks)
        service.stop()
        assert await running == 0 and pending <= 4 and 2 <= len(requests) <= 16, (pending, len(requests))
        server.abort()
        endpoint_list.server.abort()

    run_async(work)


def test_two_governors_never_share_one_state_folder(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, _):
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
            output = second.log_path.read_text()
            assert (
                f"pid {governor.process.pid}" in output
                and "state" in output
                and len(output.splitlines()) == 1
            )

    run_async(work)


def test_an_unusable_state_folder_is_reported_as_such(tmp_path: Path) -> None:
    (tmp_path / "var").mkdir()
    (tmp_path / "var" / "a").write_text("a file where the folder should be")
    one, two = find_free_ports(2)
    governor = GovernorProcess(write_settings(tmp_path, one, two), two)
    assert governor.process.wait(20) == 2
    assert "> state: " in governor.log_path.read_text() and "address" not in governor.log_path.read_text()


@pytest.mark.parametrize("stage", ["at work", "twice", "policy process stopped", "kill"])
def test_a_governor_can_be_ended_at_each_stage(tmp_path: Path, stage: str) -> None:
    """Ends a governor as a supervisor does, with a signal to its whole process group."""

    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, (proxy,)):
            policy_process_id = (await governor.status())["planner_pid"]
            # The policy process once ended on this signal before the governor did, and the governor reported
            # a failed policy.
            os.kill(policy_process_id, signal.SIGTERM)
            await asyncio.sleep(0.3)
            assert governor.process.poll() is None
            if stage == "policy process stopped":
                os.kill(policy_process_id, signal.SIGSTOP)
            os.killpg(governor.process.pid, signal.SIGKILL if stage == "kill" else signal.SIGTERM)
            if stage == "twice":
                os.killpg(governor.process.pid, signal.SIGTERM)
            assert await governor.wait_for_exit(5) == (-signal.SIGKILL if stage == "kill" else 0)
            assert await wait_until(
                lambda: not psutil.pid_exists(policy_process_id), 3
            ), "the policy process is still running"
            # The proxy keeps its tables.
            assert await wait_until(lambda: not proxy.is_joined, 3) and proxy.sends_to("w1")
            restarted = GovernorProcess(tmp_path / "s.kdl", governor.port)
            try:
                status = await restarted.wait_until_serving()
                assert await wait_until(lambda: proxy.epoch == status["epoch"] and proxy.state.is_bound, 5)
                assert not [x.name for x in (tmp_path / "var" / "a").iterdir() if x.suffix == ".part"]
            finally:
                restarted.kill()

    run_async(work)


def test_an_endpoint_list_that_holds_no_requests_is_not_flooded(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, _):
            endpoint_list.holds_requests, endpoint_list.request_count = False, 0
            endpoint_list.answer_held_requests()
            await asyncio.sleep(2.0)
            assert endpoint_list.request_count <= 50

    run_async(work)


def test_a_migration_reports_a_full_disk_and_keeps_complete_records(tmp_path: Path) -> None:
    placement = CellPlacement(("c0", "c1"), {f"w{n}": f"c{n % 2}" for n in range(4)}, {"inn": "c0"})
    (tmp_path / "p.json").write_bytes(msgspec.json.encode(placement))
    replacements = (("    reports", '    cells placement="p.json"\n    reports'),)
    one, two = find_free_ports(2)
    path, store = write_settings(tmp_path, one, two, replacements), tmp_path / "moves"
    # The first store is not in a folder, and the second has no space for a record.
    for where, most in (
        (tmp_path / "p.json" / "x", 10**6),
        (store, 100),
    ):

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
        output = ended.stderr.decode()
        assert ended.returncode == 2 and "Traceback" not in output and "run it again" in output, output
        assert len(output.splitlines()) == 1
    assert not list(store.glob("*.move")) and load_migrations(store) == []


def test_proxies_beyond_the_configured_number_are_rejected_and_the_others_served(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path, 3) as (endpoint_list, governor, proxies):
            for n in range(60):
                await governor.client.request("GET", f"/v1/feed?relay=made-up-{n}&zone=x")
            assert (await governor.status())["relays"] <= 4
            endpoint_list.publish(make_endpoint(1, "draining"))
            assert await wait_until(lambda: not any(r.sends_to("w1") for r in proxies), DRAIN_GRACE_S)

    run_async(work)


def test_a_stopped_governor_sends_a_drain_within_the_grace_period_once_it_continues(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with run_fleet(tmp_path) as (endpoint_list, governor, (proxy,)):
            epoch = proxy.epoch
            os.kill(governor.process.pid, signal.SIGSTOP)
            endpoint_list.publish(make_endpoint(1, "draining"))
            await asyncio.sleep(8.0)  # longer than hold time and silence limit: every stream looks silent
            assert proxy.sends_to("w0")  # the proxy keeps its tables
            os.kill(governor.process.pid, signal.SIGCONT)
            assert await wait_until(
                lambda: proxy.is_joined and not proxy.sends_to("w1"), DRAIN_GRACE_S
            ), "the drain is late"
            assert await wait_until(lambda: proxy.state.is_bound and proxy.sends_to("w0"), 5)
            assert governor.process.poll() is None and proxy.epoch == epoch

    run_async(work)


# The attempts that arrive for one request, by idempotency of the class and by failure, with two replicas in
# the table. A proxy retries only if the first attempt provably did not run. Clients retry idempotent
# requests, and other requests if they provably did not run. "proof" is a response which says that the attempt
# never ran, and "cut" is a connection that is closed without a response.
@pytest.mark.parametrize(
    ("idempotency", "failure", "expected_attempts"),
    [
        ("free", "proof", lambda retries: 2 * (1 + retries)),
        ("free", "cut", lambda retries: 1 + retries),
        ("single", "proof", lambda retries: 2),
        ("single", "cut", lambda retries: 1),
    ],
)
def test_the_attempts_of_clients_and_proxies_together_match_the_table(
    tmp_path: Path, idempotency: str, failure: str, expected_attempts: Callable[[int], int]
) -> None:
    plan = build_plan(read_scenario(REPOSITORY / "scenarios" / "short.kdl"), 1)
    received: list[str] = []

    async def answer(request: http.Request, connection: Connection) -> ServerResponse | None:
        received.append(http.get_header(request.headers, "x-transaction") or "")
        return ServerResponse(503, b"", (("x-never-ran", "1"),)) if failure == "proof" else None

    async def work() -> None:
        proxy = next(iter(ProxyProcess(plan, "relays-hall-a", tmp_path).proxies.values()))
        server, ports = HttpServer(answer), find_free_ports(2)
        for port in ports:
            server.listen(port, LOOPBACK)
        names = [r.name for r in plan.replicas[:2]]
        proxy.sender.replica_ports = dict(zip(names, ports, strict=True))
        request_class = next(c for c in plan.classes if c.idempotency == idempotency)
        proxy.state.apply(
            feed.Message(1, 1, 0, 1, (feed.BindDelta(1, (request_class.name,), dict.fromkeys(names, 1.0)),))
        )
        proxy.server = HttpServer(proxy.handle)
        proxy.server.listen(proxy.plan.port, LOOPBACK)
        clients = ClientProcess(plan, "clients", tmp_path)
        await clients._send_request("c1", proxy.plan.name, request_class, 5.0, "")
        assert plan.retries >= 1 and len(received) == expected_attempts(plan.retries), received
        proxy.stop()
        server.abort()

    run_async(work)
