"""Tests of governor processes in a fleet whose coordination store fails and returns while drains continue."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gradehoist.coordination.records import ProcessIdentity
from gradehoist.membership.service import Membership
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CoordinationSettings
from gradehoist.settings.fleet_parser import parse_settings
from gradehoist.settings.reader import SettingsError, SettingsReader
from gradehoist.testbed import etcd_server
from tests.support.governed_fleet import SETTINGS_TEMPLATE, make_endpoint
from tests.support.governor_process import (
    DRAIN_GRACE_S,
    FakeEndpointList,
    FakeProxy,
    GovernorProcess,
    run_async,
    wait_until,
    write_settings,
)

INTERVALS = 'session="2s" lost="1s" contact="100ms"'


@contextlib.asynccontextmanager
async def run_governor_pair(
    folder: Path, store: str
) -> AsyncIterator[tuple[FakeEndpointList, list[GovernorProcess], list[FakeProxy]]]:
    """Runs two governors with the same coordination store, and a proxy connected to each."""
    endpoint_list, ports = FakeEndpointList(), find_free_ports(2)
    path = write_settings(
        folder,
        endpoint_list.port,
        ports[0],
        [("    reports", f"    coordination {store} {INTERVALS}\n    reports")],
    )
    path.write_text(path.read_text() + f'governor "b" zone="y" listen="127.0.0.1:{ports[1]}"\n')
    governors = [GovernorProcess(path, port, name) for port, name in zip(ports, "ab", strict=True)]
    proxies: list[FakeProxy] = []
    try:
        for governor in governors:
            await governor.wait_until_serving()
        proxies += [FakeProxy(port, f"r{n}") for n, port in enumerate(ports)]
        assert await wait_until(lambda: all(proxy.state.is_bound for proxy in proxies), 10)
        yield endpoint_list, governors, proxies
    finally:
        for proxy in proxies:
            proxy.task.cancel()
        for governor in governors:
            governor.kill()
        endpoint_list.server.abort()


async def wait_for_fleet_status(governor: GovernorProcess, seconds: float = 15.0, **expected: object) -> None:
    """Waits until the governor's status of the fleet has the expected values."""
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        status = (await governor.status())["fleet"]
        if all(status[k] == v for k, v in expected.items()):
            return
        assert asyncio.get_running_loop().time() < deadline, (
            status,
            expected,
            governor.log_path.read_text()[-2000:],
        )
        await asyncio.sleep(0.05)


async def check_drain(endpoint_list: FakeEndpointList, proxies: list[FakeProxy], number: int) -> None:
    """Drains a replica, and checks that all proxies stop sending to it within the drain grace."""
    endpoint_list.publish(make_endpoint(number, "draining"))
    assert await wait_until(
        lambda: not any(proxy.sends_to(f"w{number}") for proxy in proxies), DRAIN_GRACE_S
    ), "the replica still got requests after the drain grace"


def test_governors_detect_each_other_and_drains_continue_while_the_store_folder_is_missing(
    tmp_path: Path,
) -> None:
    async def steps() -> None:
        async with run_governor_pair(tmp_path, 'folder="register"') as (endpoint_list, (a, b), proxies):
            for governor in (a, b):
                await wait_for_fleet_status(governor, joined=True, members={"here": 2})
            os.kill(b.process.pid, signal.SIGSTOP)
            await wait_for_fleet_status(a, members={"here": 1, "suspected": 1})
            await wait_for_fleet_status(a, members={"here": 1, "ended": 1})
            os.kill(b.process.pid, signal.SIGCONT)
            await wait_for_fleet_status(a, members={"here": 2})
            await wait_for_fleet_status(b, joined=True, generation=2)
            shutil.rmtree(tmp_path / "register")
            (tmp_path / "register").write_text("not a folder")
            await wait_for_fleet_status(a, joined=False)
            await check_drain(endpoint_list, proxies, 1)
            assert "session_suspended" in a.log_path.read_text()
            (tmp_path / "register").unlink()
            for governor in (a, b):
                await wait_for_fleet_status(governor, 40, joined=True, members={"here": 2})
            # The new folder is another store, which is logged once.
            assert a.log_path.read_text().count("process_fenced") == 1
            await check_drain(endpoint_list, proxies, 2)
            b.process.send_signal(signal.SIGTERM)
            assert await b.wait_for_exit(5) == 0
            await wait_for_fleet_status(a, members={"here": 1, "suspected": 1})

    run_async(steps)


def test_governors_start_serve_and_shut_down_while_etcd_is_unreachable(tmp_path: Path) -> None:
    async def steps() -> None:
        (port,) = find_free_ports(1)
        async with run_governor_pair(tmp_path, f'engine="127.0.0.1:{port}"') as (
            endpoint_list,
            (a, b),
            proxies,
        ):
            await wait_for_fleet_status(a, joined=False)
            await check_drain(endpoint_list, proxies, 1)
            _, server = etcd_server.serve(port)
            for governor in (a, b):
                await wait_for_fleet_status(governor, joined=True, members={"here": 2})
            server.stop()
            await server.close_all_connections()
            await wait_for_fleet_status(a, joined=False)
            await check_drain(endpoint_list, proxies, 2)
            a.process.send_signal(signal.SIGTERM)
            assert await a.wait_for_exit(5) == 0

    run_async(steps)


def test_a_governor_without_coordination_settings_takes_part_in_no_fleet(tmp_path: Path) -> None:
    async def steps() -> None:
        endpoint_list, (port,) = FakeEndpointList(), find_free_ports(1)
        governor = GovernorProcess(write_settings(tmp_path, endpoint_list.port, port), port)
        try:
            await governor.wait_until_serving()
            assert (await governor.status())["fleet"] == {}
            response = await governor.client.request("GET", "/healthz")
            assert response.status == 404
        finally:
            governor.kill()
            endpoint_list.server.abort()

    run_async(steps)


def test_a_bug_in_coordination_is_logged_and_notifies_failure_listeners(tmp_path: Path) -> None:
    """Without the notification the last limits would stay in force, as no tick would relax them any more."""
    events: list[str] = []

    async def steps() -> None:
        settings = CoordinationSettings(tmp_path / "register", None, "", 10**7, 10**6, 10**6, 10**6, 10**6)
        identity = ProcessIdentity(role="governor", name="a", zone="x", incarnation="a-1", address="")
        membership = Membership(settings, identity, seed=1, log=lambda event, *_, **__: events.append(event))
        membership.tick_listeners.append(lambda now: events.remove("missing"))
        membership.failure_listeners.append(lambda: events.append("failed"))
        await membership.run()

    run_async(steps)
    assert events == ["coordination_failed", "failed"]


@pytest.mark.parametrize(
    ("node", "message"),
    [
        ("coordination", "> coordination: expected the location of the coordination store; give folder="),
        ('coordination folder="a" engine="127.0.0.1:2379"', "one of the two"),
        ('coordination engine="engine:2379"', 'expected an address such as "127.0.0.1:7101"'),
        ('coordination folder="a" session="10ms"', 'expected a time of "1s" or more'),
        ('coordination folder="a" leases=true', "unknown property; known here: "),
    ],
)
def test_errors_in_coordination_settings_name_the_place_and_the_remedy(node: str, message: str) -> None:
    text = SETTINGS_TEMPLATE.format(relays=4, queue=2000, rate=2000).replace(
        "    reports", f"    {node}\n    reports"
    )
    reader = SettingsReader("s.kdl")
    parse_settings(reader.parse(text), Path("."))
    with pytest.raises(SettingsError, match="s.kdl:9: fleet > coordination") as error:
        reader.raise_errors()
    assert message in str(error.value)
