"""Governors as members of a fleet: the register is there, goes, comes back; the rules stand without it."""

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
from gradehoist.testbed import etcd_server as standin
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

RATES = 'session="2s" lost="1s" contact="100ms"'


@contextlib.asynccontextmanager
async def pair(
    folder: Path, where: str
) -> AsyncIterator[tuple[FakeEndpointList, list[GovernorProcess], list[FakeProxy]]]:
    """Two governors of one register, a relay at each."""
    roster, ports = FakeEndpointList(), find_free_ports(2)
    path = write_settings(
        folder, roster.port, ports[0], [("    reports", f"    coordination {where} {RATES}\n    reports")]
    )
    path.write_text(path.read_text() + f'governor "b" zone="y" listen="127.0.0.1:{ports[1]}"\n')
    governors = [GovernorProcess(path, port, name) for port, name in zip(ports, "ab", strict=True)]
    relays: list[FakeProxy] = []
    try:
        for g in governors:
            await g.wait_until_serving()
        relays += [FakeProxy(port, f"r{n}") for n, port in enumerate(ports)]
        assert await wait_until(lambda: all(x.state.is_bound for x in relays), 10)
        yield roster, governors, relays
    finally:
        for relay in relays:
            relay.task.cancel()
        for g in governors:
            g.kill()
        roster.server.abort()


async def fleet_is(governor: GovernorProcess, seconds: float = 15.0, **wanted: object) -> None:
    """Until its status says so."""
    end = asyncio.get_running_loop().time() + seconds
    while True:
        found = (await governor.status())["fleet"]
        if all(found[k] == v for k, v in wanted.items()):
            return
        assert asyncio.get_running_loop().time() < end, (found, wanted, governor.log_path.read_text()[-2000:])
        await asyncio.sleep(0.05)


async def drained(roster: FakeEndpointList, relays: list[FakeProxy], name: int) -> None:
    roster.publish(make_endpoint(name, "draining"))
    assert await wait_until(
        lambda: not any(x.sends_to(f"w{name}") for x in relays), DRAIN_GRACE_S
    ), "a late drain"


def test_governors_of_one_machine_see_each_other_and_lose_nothing_with_the_register(tmp_path: Path) -> None:
    async def work() -> None:
        async with pair(tmp_path, 'folder="register"') as (roster, (a, b), relays):
            for g in (a, b):
                await fleet_is(g, joined=True, members={"here": 2})
            os.kill(b.process.pid, signal.SIGSTOP)
            await fleet_is(a, members={"here": 1, "suspected": 1})
            await fleet_is(a, members={"here": 1, "ended": 1})
            os.kill(b.process.pid, signal.SIGCONT)
            await fleet_is(a, members={"here": 2})
            await fleet_is(b, joined=True, generation=2)
            shutil.rmtree(tmp_path / "register")
            (tmp_path / "register").write_text("no folder")
            await fleet_is(a, joined=False)
            await drained(roster, relays, 1)
            assert "session_suspended" in a.log_path.read_text()
            (tmp_path / "register").unlink()
            for g in (a, b):
                await fleet_is(g, 40, joined=True, members={"here": 2})
            assert (
                a.log_path.read_text().count("process_fenced") == 1
            )  # another register: told, nothing assumed
            await drained(roster, relays, 2)
            b.process.send_signal(signal.SIGTERM)
            assert await b.wait_for_exit(5) == 0
            await fleet_is(a, members={"here": 1, "suspected": 1})

    run_async(work)


def test_governors_start_serve_and_end_while_the_engine_is_away(tmp_path: Path) -> None:
    async def work() -> None:
        (port,) = find_free_ports(1)
        async with pair(tmp_path, f'engine="127.0.0.1:{port}"') as (roster, (a, b), relays):
            await fleet_is(a, joined=False)
            await drained(roster, relays, 1)
            _, server = standin.serve(port)
            for g in (a, b):
                await fleet_is(g, joined=True, members={"here": 2})
            server.stop()
            await server.close_all_connections()
            await fleet_is(a, joined=False)
            await drained(roster, relays, 2)
            a.process.send_signal(signal.SIGTERM)
            assert await a.wait_for_exit(5) == 0

    run_async(work)


def test_a_governor_without_the_setting_has_no_part_of_it(tmp_path: Path) -> None:
    async def work() -> None:
        roster, (port,) = FakeEndpointList(), find_free_ports(1)
        governor = GovernorProcess(write_settings(tmp_path, roster.port, port), port)
        try:
            await governor.wait_until_serving()
            assert (await governor.status())["fleet"] == {}
            response = await governor.client.request("GET", "/healthz")
            assert response.status == 404
        finally:
            governor.kill()
            roster.server.abort()

    run_async(work)


def test_a_bug_in_what_processes_share_ends_their_agreement_and_not_the_role(tmp_path: Path) -> None:
    """The last ceilings would have stood for good, as no turn came any more to leave them."""
    told: list[str] = []

    async def work() -> None:
        shared = CoordinationSettings(tmp_path / "register", None, "", 10**7, 10**6, 10**6, 10**6, 10**6)
        identity = ProcessIdentity(role="governor", name="a", zone="x", incarnation="a-1", address="")
        member = Membership(shared, identity, seed=1, log=lambda event, *_, **__: told.append(event))
        member.tick_listeners.append(lambda now: told.remove("no such thing"))
        member.failure_listeners.append(lambda: told.append("failed"))
        await member.run()

    run_async(work)
    assert told == ["coordination_failed", "failed"]


@pytest.mark.parametrize(
    ("node", "said"),
    [
        ("coordination", "> coordination: expected the location of the coordination store; give folder="),
        ('coordination folder="a" engine="127.0.0.1:2379"', "one of the two"),
        ('coordination engine="engine:2379"', 'expected an address such as "127.0.0.1:7101"'),
        ('coordination folder="a" session="10ms"', 'expected a time of "1s" or more'),
        ('coordination folder="a" leases=true', "unknown property; known here: "),
    ],
)
def test_settings_of_the_register_are_checked_with_place_and_remedy(node: str, said: str) -> None:
    text = SETTINGS_TEMPLATE.format(relays=4, queue=2000, rate=2000).replace(
        "    reports", f"    {node}\n    reports"
    )
    reader = SettingsReader("s.kdl")
    parse_settings(reader.parse(text), Path("."))
    with pytest.raises(SettingsError, match="s.kdl:9: fleet > coordination") as fault:
        reader.raise_errors()
    assert said in str(fault.value)
