"""A fleet of three governors, one in each zone, as processes, with proxies that report what they meet."""

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
EXPLORATORY_SHARE = 0.02  # of an evacuated zone's traffic, as the status shows it


def zone_of(replica: str) -> str:
    return ZONES[int(replica[1:]) % len(ZONES)]


class ReportingProxy(FakeProxy):
    """A proxy that reports what it meets: in failing zones every attempt fails.

    One whose network is cut sees every attempt fail outside its own zone.
    """

    REQUESTS = 60  # in each load report
    REPORT_INTERVAL_S = 0.25

    def __init__(self, port: int, name: str, zone: str, fleet: ZoneFleet) -> None:
        super().__init__(port, name, zone=zone)
        self.fleet = fleet
        self.is_network_cut = False
        self.reporting = asyncio.ensure_future(self._report())

    def end(self) -> None:
        self.task.cancel()
        self.reporting.cancel()

    def zone_shares(self) -> dict[str, float]:
        """The share of its traffic that goes to each zone."""
        weights = self.state.weights_for("read")
        total = sum(weights.values()) or 1.0
        shares = dict.fromkeys(ZONES, 0.0)
        for replica, weight in weights.items():
            shares[zone_of(replica)] += weight / total
        return shares

    async def _report(self) -> None:
        client = HttpClient(LOOPBACK, self.port)
        fractions = dict[str, float]()  # of attempts that were not made yet, by replica
        while True:
            await asyncio.sleep(self.REPORT_INTERVAL_S)
            report = feed.ProxyLoadReport(
                self.name,
                self.epoch,
                int(self.REPORT_INTERVAL_S * 1e6),
                tuple(self._attempts(fractions)),
                (feed.ClassRequests("read", self.REQUESTS),),
            )
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                await client.request("POST", "/v1/sums", msgspec.json.encode(report), timeout_s=1.0)

    def _attempts(self, fractions: dict[str, float]) -> list[feed.ReplicaAttempts]:
        weights = self.state.weights_for("read")
        total = sum(weights.values())
        rows = []
        for replica, weight in weights.items():
            sent = self.REQUESTS * weight / total
            fractions[replica] = fractions.get(replica, 0.0) + sent
            attempts = int(fractions[replica])
            fractions[replica] -= attempts
            zone = zone_of(replica)
            is_failing = zone in self.fleet.failing_zones or (self.is_network_cut and zone != self.zone)
            busy = self.fleet.busy_share(replica, self.name, sent)
            rows.append(
                feed.ReplicaAttempts(
                    replica, attempts, attempts if is_failing else 0, 100_000, busy, 4 * busy, 50.0
                )
            )
        return rows


class ZoneFleet:
    """Governors, proxies and endpoint list over one coordination store in a folder."""

    def __init__(self, folder: Path) -> None:
        self.failing_zones = set[str]()
        self._sent = dict[str, dict[str, float]]()  # attempts of a report, by replica and proxy
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

    def busy_share(self, replica: str, proxy: str, attempts: float) -> float:
        """A replica's busy share by what all proxies send it: 0.55 where they spread evenly.

        With one that was always the same the policy never learnt that a replica was idle, and a zone that had
        failed for long got little for good.
        """
        self._sent.setdefault(replica, {})[proxy] = attempts
        even = ReportingProxy.REQUESTS * len(self.proxies) / REPLICA_COUNT
        return min(1.0, 0.55 * sum(self._sent[replica].values()) / max(1.0, even))

    async def zone_statuses(self) -> list[dict[str, Any]]:
        """What each living governor says of the zones."""

        async def status(governor: GovernorProcess) -> dict[str, Any]:
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                found: dict[str, Any] = (await governor.status())["zones"]
                return found
            return {}

        found = await asyncio.gather(*(status(governor) for governor in self.governors))
        return [zones for zones in found if zones]

    async def leaders(self) -> list[GovernorProcess]:
        """The governors that say they lead the zones' election."""
        return [g for g in self.governors if "zones" in (await g.status())["fleet"]["rights"]]

    async def until(self, condition: Callable[[], Awaitable[bool]], seconds: float = 40.0) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while not await condition():
            logs = [governor.log_path.read_text()[-1500:] for governor in self.governors]
            assert asyncio.get_running_loop().time() < end, (await self.zone_statuses(), logs)
            await asyncio.sleep(0.1)

    async def until_ready(self) -> None:
        """Wait until every governor has its quota and sees all zones healthy."""

        async def is_ready() -> bool:
            statuses = await self.zone_statuses()
            observed = [set(status["seen"].values()) for status in statuses if status["seen"]]
            return (
                len(statuses) == len(ZONES)
                and len(observed) > 0
                and all(status["part"] > 0.2 for status in statuses if status["seen"])
                and all(states <= {"well"} for states in observed)
            )

        await self.until(is_ready)

    async def until_evacuated(self, zone: str) -> None:
        """Wait until every governor leaves it only exploratory traffic."""

        async def is_evacuated() -> bool:
            return all(s["in_force"].get(zone) == EXPLORATORY_SHARE for s in await self.zone_statuses())

        await self.until(is_evacuated)

    async def until_own_share(
        self, zone: str, condition: Callable[[float], bool], seconds: float = 40.0
    ) -> None:
        """Wait until the share that a zone's proxies send to their own zone meets a condition."""

        async def is_met() -> bool:
            return all(condition(p.zone_shares()[zone]) for p in self.proxies if p.zone == zone)

        await self.until(is_met, seconds)

    def kill(self, governor: GovernorProcess) -> None:
        """Kill a governor; its proxies join another one."""
        governor.kill()
        self.governors.remove(governor)
        for index, proxy in enumerate(self.proxies):
            if proxy.port == governor.port:
                proxy.end()
                self.proxies[index] = ReportingProxy(self.governors[0].port, proxy.name, proxy.zone, self)

    def end(self) -> None:
        for proxy in self.proxies:
            proxy.end()
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
        await fleet.until_ready()
        yield fleet
    finally:
        fleet.end()


def run_zone_fleet(folder: Path, work: Callable[[ZoneFleet], Awaitable[None]]) -> None:
    """Run a fleet that is ready while `work` does."""

    async def run() -> None:
        async with zone_fleet(folder) as fleet:
            await work(fleet)

    asyncio.run(asyncio.wait_for(run(), 150))
