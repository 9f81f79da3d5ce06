"""A fleet of three governor processes, one in each zone, with simulated proxies that send load reports."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import feed
from gradehoist.scenario.free_ports import find_free_ports
from tests.support.governed_fleet import SETTINGS_TEMPLATE, make_endpoint
from tests.support.governor_process import LOOPBACK, FakeEndpointList, FakeProxy, GovernorProcess

ZONES = ("x", "y", "z")
REPLICA_COUNT = 12
COORDINATION = (
    'coordination folder="register" session="2s" lost="1s" contact="200ms" hold="4s" fall="2s" {\n'
    '        zones settle="1s" well="3s" longest="60s"\n    }'
)
# Share of an evacuated zone's traffic that is still sent there, as the status shows it.
EXPLORATORY_SHARE = 0.02


def zone_of(replica: str) -> str:
    return ZONES[int(replica[1:]) % len(ZONES)]


class ReportingProxy(FakeProxy):
    """A proxy that sends load reports, in which all attempts in the fleet's failing zones fail.

    If the proxy is partitioned, all attempts outside its own zone fail, too.
    """

    REQUESTS_PER_REPORT = 60
    REPORT_INTERVAL_S = 0.25

    def __init__(self, port: int, name: str, zone: str, fleet: ZoneFleet) -> None:
        super().__init__(port, name, zone=zone)
        self.fleet = fleet
        self.is_partitioned = False
        self.reporting = asyncio.ensure_future(self._report())

    def stop(self) -> None:
        self.task.cancel()
        self.reporting.cancel()

    def zone_shares(self) -> dict[str, float]:
        """Returns the share of the proxy's traffic that is sent to each zone."""
        weights = self.state.weights_for("read")
        total = sum(weights.values()) or 1.0
        shares = dict.fromkeys(ZONES, 0.0)
        for replica, weight in weights.items():
            shares[zone_of(replica)] += weight / total
        return shares

    async def _report(self) -> None:
        client = HttpClient(LOOPBACK, self.port)
        remainders = dict[str, float]()  # fractions of an attempt that are carried over, by replica
        while True:
            await asyncio.sleep(self.REPORT_INTERVAL_S)
            report = feed.ProxyLoadReport(
                self.name,
                self.epoch,
                int(self.REPORT_INTERVAL_S * 1e6),
                tuple(self._attempts(remainders)),
                (feed.ClassRequests("read", self.REQUESTS_PER_REPORT),),
            )
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                await client.request("POST", "/v1/sums", msgspec.json.encode(report), timeout_s=1.0)

    def _attempts(self, remainders: dict[str, float]) -> list[feed.ReplicaAttempts]:
        weights = self.state.weights_for("read")
        total = sum(weights.values())
        rows = []
        for replica, weight in weights.items():
            expected_attempts = self.REQUESTS_PER_REPORT * weight / total
            remainders[replica] = remainders.get(replica, 0.0) + expected_attempts
            attempts = int(remainders[replica])
            remainders[replica] -= attempts
            zone = zone_of(replica)
            is_failing = zone in self.fleet.failing_zones or (self.is_partitioned and zone != self.zone)
            busy_share = self.fleet.compute_busy_share(replica, self.name, expected_attempts)
            rows.append(
                feed.ReplicaAttempts(
                    replica,
                    attempts,
                    attempts if is_failing else 0,
                    100_000,
                    busy_share,
                    4 * busy_share,
                    50.0,
                )
            )
        return rows


class ZoneFleet:
    """Governors that share a coordination store in a folder, their proxies and an endpoint list service."""

    def __init__(self, folder: Path) -> None:
        self.failing_zones = set[str]()
        # The attempts per load report, by replica and by proxy.
        self._attempts_by_replica = dict[str, dict[str, float]]()
        self.endpoint_list = FakeEndpointList(0)
        for number in range(REPLICA_COUNT):
            record = msgspec.structs.replace(make_endpoint(number), zone=ZONES[number % len(ZONES)])
            self.endpoint_list.put(record)
        ports = find_free_ports(len(ZONES))
        path = folder / "s.kdl"
        path.write_text(self._settings_text(ports))
        self.governors = [GovernorProcess(path, port, zone) for zone, port in zip(ZONES, ports, strict=True)]
        self.proxies: list[ReportingProxy] = []

    def _settings_text(self, ports: list[int]) -> str:
        text = SETTINGS_TEMPLATE.format(relays=6, queue=4000, rate=4000)
        text = text.replace(":7000", f":{self.endpoint_list.port}")
        text = text.replace('zones "x" "y"', 'zones "x" "y" "z"')
        text = text.replace("    reports", f"    {COORDINATION}\n    reports")
        governors = "".join(
            f'governor "{zone}" zone="{zone}" listen="{LOOPBACK}:{port}"\n'
            for zone, port in zip(ZONES, ports, strict=True)
        )
        return text[: text.index('governor "a"')] + governors

    def compute_busy_share(self, replica: str, proxy: str, attempts: float) -> float:
        """Returns a replica's busy share, in proportion to the attempts of all proxies.

        The busy share is 0.55 if the traffic is spread evenly. With a constant busy share the policy did not
        notice idle replicas, and a zone that had failed for a long time permanently got too little traffic.
        """
        self._attempts_by_replica.setdefault(replica, {})[proxy] = attempts
        even_attempts = ReportingProxy.REQUESTS_PER_REPORT * len(self.proxies) / REPLICA_COUNT
        return min(1.0, 0.55 * sum(self._attempts_by_replica[replica].values()) / max(1.0, even_attempts))

    async def zone_statuses(self) -> list[dict[str, Any]]:
        """Returns the status of the zones from each governor that responds."""

        async def status(governor: GovernorProcess) -> dict[str, Any]:
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                zones: dict[str, Any] = (await governor.status())["zones"]
                return zones
            return {}

        statuses = await asyncio.gather(*(status(governor) for governor in self.governors))
        return [zones for zones in statuses if zones]

    async def leaders(self) -> list[GovernorProcess]:
        """Returns the governors that consider themselves the leader of the election for the zones."""
        return [g for g in self.governors if "zones" in (await g.status())["fleet"]["rights"]]

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], seconds: float = 40.0) -> None:
        deadline = asyncio.get_running_loop().time() + seconds
        while not await condition():
            logs = [governor.log_path.read_text()[-1500:] for governor in self.governors]
            assert asyncio.get_running_loop().time() < deadline, (await self.zone_statuses(), logs)
            await asyncio.sleep(0.1)

    async def wait_until_ready(self) -> None:
        """Waits until every governor has its quota and observes all zones as healthy."""

        async def is_ready() -> bool:
            statuses = await self.zone_statuses()
            observed = [set(status["seen"].values()) for status in statuses if status["seen"]]
            return (
                len(statuses) == len(ZONES)
                and len(observed) > 0
                and all(status["part"] > 0.2 for status in statuses if status["seen"])
                and all(states <= {"well"} for states in observed)
            )

        await self.wait_until(is_ready)

    async def wait_until_evacuated(self, zone: str) -> None:
        """Waits until every governor sends only exploratory traffic to the zone."""

        async def is_evacuated() -> bool:
            return all(s["in_force"].get(zone) == EXPLORATORY_SHARE for s in await self.zone_statuses())

        await self.wait_until(is_evacuated)

    async def wait_for_own_zone_share(
        self, zone: str, condition: Callable[[float], bool], seconds: float = 40.0
    ) -> None:
        """Waits until the share of traffic that a zone's proxies send to their own zone meets a condition."""

        async def is_met() -> bool:
            return all(condition(p.zone_shares()[zone]) for p in self.proxies if p.zone == zone)

        await self.wait_until(is_met, seconds)

    def kill(self, governor: GovernorProcess) -> None:
        """Kills a governor. Its proxies connect to another one."""
        governor.kill()
        self.governors.remove(governor)
        for index, proxy in enumerate(self.proxies):
            if proxy.port == governor.port:
                proxy.stop()
                self.proxies[index] = ReportingProxy(self.governors[0].port, proxy.name, proxy.zone, self)

    def stop(self) -> None:
        for proxy in self.proxies:
            proxy.stop()
        for governor in self.governors:
            governor.kill()
        self.endpoint_list.server.abort()


@contextlib.asynccontextmanager
async def zone_fleet(folder: Path) -> AsyncIterator[ZoneFleet]:
    fleet = ZoneFleet(folder)
    try:
        for governor in fleet.governors:
            await governor.wait_until_serving()
        fleet.proxies = [
            ReportingProxy(governor.port, f"r{zone}{number}", zone, fleet)
            for governor, zone in zip(fleet.governors, ZONES, strict=True)
            for number in (0, 1)
        ]
        await fleet.wait_until_ready()
        yield fleet
    finally:
        fleet.stop()


def run_zone_fleet(folder: Path, steps: Callable[[ZoneFleet], Awaitable[None]]) -> None:
    """Starts a fleet, waits until it is ready, runs the steps of a test, and stops the fleet."""

    async def run() -> None:
        async with zone_fleet(folder) as fleet:
            await steps(fleet)

    asyncio.run(asyncio.wait_for(run(), 150))
