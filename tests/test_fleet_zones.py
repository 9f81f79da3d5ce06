"""Governors that leave a zone and take it back together, as processes, with faults between them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import feed
from gradehoist.scenario.free_ports import find_free_ports
from tests.support.governed_fleet import TEXT, entry
from tests.support.governor_process import LOCAL, Governor, Relay, Roster

ZONES = ("x", "y", "z")
REPLICAS = 12
FLEET = (
    'coordination folder="register" session="2s" lost="1s" contact="200ms" hold="4s" fall="2s" {\n'
    '        zones settle="1s" well="3s" longest="60s"\n    }'
)


class Fed(Relay):
    """A relay that tells what it met: in `failing` zones every try fails; `blind`: in all but its own."""

    RATE = 60

    def __init__(self, port: int, name: str, zone: str, site: Site) -> None:
        super().__init__(port, name, zone=zone)
        self.site, self.blind = site, False
        self.feeding = asyncio.ensure_future(self._feed())

    def end(self) -> None:
        self.task.cancel()
        self.feeding.cancel()

    def to(self) -> dict[str, float]:
        """Of its traffic what goes to each zone."""
        lines = self.holdings.weights_for("read")
        whole = sum(lines.values()) or 1.0
        out = dict.fromkeys(ZONES, 0.0)
        for replica, weight in lines.items():
            out[self.site.zone(replica)] += weight / whole
        return out

    async def _feed(self) -> None:
        client, owed = HttpClient(LOCAL, self.port), dict[str, float]()
        while True:
            await asyncio.sleep(0.25)
            lines = self.holdings.weights_for("read")
            whole, rows = sum(lines.values()), list[feed.ReplicaAttempts]()
            for replica, weight in lines.items():
                owed[replica] = owed.get(replica, 0.0) + self.RATE * weight / whole
                tries, zone = int(owed[replica]), self.site.zone(replica)
                owed[replica] -= tries
                bad = zone in self.site.failing or (self.blind and zone != self.zone)
                busy = self.site.busy(replica, self.name, self.RATE * weight / whole)
                rows.append(
                    feed.ReplicaAttempts(replica, tries, tries if bad else 0, 100_000, busy, 4 * busy, 50.0)
                )
            sums = feed.ProxyLoadReport(
                self.name, self.epoch, 250_000, tuple(rows), (feed.ClassRequests("read", self.RATE),)
            )
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                await client.request("POST", "/v1/sums", msgspec.json.encode(sums), timeout_s=1.0)


class Site:
    def __init__(self, folder: Path) -> None:
        self.failing = set[str]()
        self.sent = dict[str, dict[str, float]]()  # tries a period, by replica and relay
        self.roster = Roster(0)
        for n in range(REPLICAS):
            self.roster.put(msgspec.structs.replace(entry(n), zone=ZONES[n % 3]))
        ports = find_free_ports(3)
        text = TEXT.format(relays=6, queue=4000, rate=4000).replace(":7000", f":{self.roster.port}")
        text = text.replace('zones "x" "y"', 'zones "x" "y" "z"')
        text = text.replace("    reports", f"    {FLEET}\n    reports")
        text = text[: text.index('governor "a"')] + "".join(
            f'governor "{z}" zone="{z}" listen="{LOCAL}:{p}"\n' for z, p in zip(ZONES, ports, strict=True)
        )
        path = folder / "s.kdl"
        path.write_text(text)
        self.governors = [Governor(path, p, z) for z, p in zip(ZONES, ports, strict=True)]
        self.relays: list[Fed] = []

    def busy(self, replica: str, relay: str, tries: float) -> float:
        """A replica's share, by what all relays send it: 0.55 where they spread evenly. Of one that said so
        whatever came the loop never learnt that it was idle, and a zone that had failed long got little for
        good."""
        self.sent.setdefault(replica, {})[relay] = tries
        even = Fed.RATE * len(self.relays) / REPLICAS
        return min(1.0, 0.55 * sum(self.sent[replica].values()) / max(1.0, even))

    def zone(self, replica: str) -> str:
        return ZONES[int(replica[1:]) % 3]

    async def zones(self) -> list[dict[str, Any]]:
        """What each living governor says of the zones."""

        async def one(g: Governor) -> dict[str, Any]:
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                found: dict[str, Any] = (await g.status())["zones"]
                return found
            return {}

        return [s for s in await asyncio.gather(*(one(g) for g in self.governors)) if s]

    async def leads(self) -> list[Governor]:
        """Who says that it holds the right to make steps."""
        return [g for g in self.governors if "zones" in (await g.status())["fleet"]["rights"]]

    async def until(self, what: Callable[[], Awaitable[bool]], seconds: float = 40.0) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while not await what():
            told = await self.zones(), [g.log.read_text()[-1500:] for g in self.governors]
            assert asyncio.get_running_loop().time() < end, told
            await asyncio.sleep(0.1)

    def kill(self, governor: Governor) -> None:
        """Its relays join another one, as relays do."""
        governor.kill()
        self.governors.remove(governor)
        for n, relay in enumerate(self.relays):
            if relay.port == governor.port:
                relay.end()
                self.relays[n] = Fed(self.governors[0].port, relay.name, relay.zone, self)

    async def share(self, zone: str, test: Callable[[float], bool], seconds: float = 40.0) -> None:
        async def good() -> bool:
            return all(test(r.to()[zone]) for r in self.relays if r.zone == zone)

        await self.until(good, seconds)


@contextlib.asynccontextmanager
async def site(folder: Path) -> AsyncIterator[Site]:
    own = Site(folder)
    try:
        for g in own.governors:
            await g.up()
        own.relays = [
            Fed(g.port, f"r{z}{n}", z, own) for g, z in zip(own.governors, ZONES, strict=True) for n in (0, 1)
        ]

        async def ready() -> bool:
            found = await own.zones()
            return (
                len(found) == 3
                and all(s["part"] > 0.2 and set(s["seen"].values()) <= {"well"} for s in found if s["seen"])
                and any(s["seen"] for s in found)
            )

        await own.until(ready)
        yield own
    finally:
        for relay in own.relays:
            relay.end()
        for g in own.governors:
            g.kill()
        own.roster.server.abort()


def play(work: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await asyncio.wait_for(work(), 150)

    asyncio.run(run())


def test_a_failing_zone_is_left_by_all_and_taken_back_though_the_one_that_leads_dies(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path) as own:
            await own.share("x", lambda s: s > 0.8)
            own.failing.add("x")

            async def begun() -> bool:
                return any(s["zones"].get("x", 1.0) < 1.0 for s in await own.zones())

            await own.until(begun)
            (lead,) = await own.leads()
            own.kill(lead)

            async def away() -> bool:
                return all(
                    s["zones"].get("x") == 0.0 and s["in_force"].get("x") == 0.02 for s in await own.zones()
                )

            await own.until(away)
            await own.share("x", lambda s: s < 0.1)
            gens = {tuple(s["plan"]) for s in await own.zones()}
            assert len(gens) == 1 and min(gens)[0] >= 2  # the next one's own generation
            own.failing.clear()

            async def home() -> bool:
                return all(s["zones"].get("x", 1.0) == 1.0 and not s["in_force"] for s in await own.zones())

            await own.until(home, 60)
            await own.share("x", lambda s: s > 0.3)  # by the ordinary tables again, which know two governors

    play(work)


def test_a_governor_that_alone_sees_zones_fail_moves_nobody(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path) as own:
            for relay in own.relays:
                relay.blind = relay.zone == "x"
            for _ in range(30):
                await asyncio.sleep(0.3)
                assert all(not s["in_force"] and s["zones"].get("y", 1.0) == 1.0 for s in await own.zones())
            assert any(s["seen"] for s in await own.zones())

    play(work)


def test_without_the_register_what_was_agreed_is_held_then_left_and_come_back_to(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path) as own:
            own.failing.add("x")

            async def away() -> bool:
                return all(s["in_force"].get("x") == 0.02 for s in await own.zones())

            await own.until(away)
            register = tmp_path / "register"
            register.rename(tmp_path / "aside")
            register.write_text("in the way")
            await asyncio.sleep(3.0)
            assert all(s["in_force"].get("x") == 0.02 for s in await own.zones())

            async def alone() -> bool:
                return all(not s["in_force"] for s in await own.zones())

            await own.until(alone)
            register.unlink()
            (tmp_path / "aside").rename(register)
            await own.until(away)

    play(work)


def test_one_that_stands_still_holds_a_step_up_only_until_its_session_ends(tmp_path: Path) -> None:
    async def work() -> None:
        async with site(tmp_path) as own:
            still = next(iter(set(own.governors) - set(await own.leads())))
            os.kill(still.process.pid, signal.SIGSTOP)
            own.failing.add("x")
            others = [g for g in own.governors if g is not still]

            async def away() -> bool:
                return all([(await g.status())["zones"]["in_force"].get("x") == 0.02 for g in others])

            await own.until(away)
            os.kill(still.process.pid, signal.SIGCONT)

            async def follows() -> bool:
                return all(s["in_force"].get("x") == 0.02 for s in await own.zones())

            await own.until(follows)

    play(work)
