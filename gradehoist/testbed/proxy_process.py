"""The process that runs the proxies of one zone and executes the run's commands for them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from gradehoist.testbed.process import Process
from gradehoist.testbed.proxy import Proxy
from gradehoist.testbed.scenario_plan import Plan


class ProxyProcess(Process):
    """The proxies of one zone: role `relays-ZONE`."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Creates the proxies of the role's zone."""
        super().__init__(plan, role, folder)
        zone = role.removeprefix("relays-")
        self.proxies = {proxy.name: Proxy(self, proxy, plan) for proxy in plan.proxies if proxy.zone == zone}

    async def start(self) -> None:
        """Starts all proxies."""
        for proxy in self.proxies.values():
            proxy.start()

    def on_command(self, do: dict[str, Any]) -> None:
        """Executes `die`, `start` or `aim` for each proxy that the command names."""
        for name in do["relays"]:
            proxy = self.proxies[name]
            match do["do"]:
                case "die":
                    proxy.stop()
                case "start":
                    proxy.start()
                case "aim":
                    proxy.feed.select_governor(do["governor"], after_reconnect=bool(do.get("next")))
                case _:
                    raise ValueError(f"unknown order {do['do']!r}")
